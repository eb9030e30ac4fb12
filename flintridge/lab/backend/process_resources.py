"""CPU time, memory and sockets of a process, sampled from `/proc`."""

import contextlib
import os
import time
from pathlib import Path

SAMPLE_S = 1.0  # interval between two samples
SATURATED_CORES = 0.95  # CPU use, in cores, from which on a core counts as saturated
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


class ProcessResources:
    """The resources that one process uses.

    Attributes:
        cpu_s: The CPU time so far, in s.
        memory_mb: The peak resident memory, in MiB.
        peak_cores: The highest CPU use between two samples, in cores.
        max_saturated_s: The longest period in which it saturated a core, in s.
    """

    def __init__(self, pid: int) -> None:
        """Create for a process that has just started.

        Args:
            pid: The process ID.
        """
        self.cpu_s = 0.0
        self.memory_mb = 0.0
        self.peak_cores = 0.0
        self.max_saturated_s = 0.0
        self._folder = Path(f"/proc/{pid}")
        self._saturated_s = 0.0
        self._sampled_at_s = time.monotonic()
        self._sampled_cpu_s = 0.0

    def sample(self) -> None:
        """Sample CPU time and memory; does nothing if the process has ended."""
        try:
            stat = (self._folder / "stat").read_text()
            status = (self._folder / "status").read_text()
        except OSError:
            return
        fields = stat[stat.rindex(")") + 2 :].split()
        now_s = time.monotonic()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        self._add_cpu_sample(now_s, (user_ticks + system_ticks) / TICKS_PER_S)
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.memory_mb = max(self.memory_mb, int(line.split()[1]) / KIB_PER_MIB)

    def open_sockets(self) -> int | None:
        """Return the number of open sockets, or None if the process has ended."""
        count = 0
        try:
            for entry in os.scandir(self._folder / "fd"):
                with contextlib.suppress(FileNotFoundError):
                    if os.readlink(entry.path).startswith("socket:"):
                        count += 1
        except OSError:
            return None
        return count

    def _add_cpu_sample(self, now_s: float, cpu_s: float) -> None:
        elapsed_s = now_s - self._sampled_at_s
        used_s = cpu_s - self._sampled_cpu_s
        self.cpu_s = cpu_s
        if elapsed_s < SAMPLE_S / 2:  # too short for a rate, given the resolution of the kernel's ticks
            return
        self._sampled_at_s = now_s
        self._sampled_cpu_s = cpu_s
        cores = used_s / elapsed_s
        self.peak_cores = max(self.peak_cores, cores)
        self._saturated_s = self._saturated_s + elapsed_s if cores >= SATURATED_CORES else 0.0
        self.max_saturated_s = max(self.max_saturated_s, self._saturated_s)
