"""One real process of a node, from its start to its end."""

import asyncio
import contextlib
import os
import signal
import subprocess
from enum import Enum

from flintridge.lab.backend.node_output import NodeOutput
from flintridge.lab.backend.process_resources import ProcessResources

KILL_TIMEOUT_S = 5.0  # how long the end of a process may take after SIGKILL


class EndRequest(Enum):
    """How and by whom a process was asked to end."""

    NONE = "none"
    TERM = "term"  # a fault of the scenario, by SIGTERM
    KILL = "kill"
    CLOSE = "close"  # the end of the run


class NodeProcess:
    """One process of a node.

    Attributes:
        node: The node's name.
        popen: The subprocess.
        pidfd: A descriptor that is readable once the process has ended.
        output: The output of the process.
        resources: The resources that the process uses.
        end_request: Whether and how it was asked to end.
        ended: Set once the process has ended and was reaped.
    """

    def __init__(self, node: str, popen: subprocess.Popen[bytes]) -> None:
        """Take over a process that was just started.

        Args:
            node: The node's name.
            popen: The process, with its output in a pipe.
        """
        assert popen.stdout is not None
        self.node = node
        self.popen = popen
        self.pidfd = os.pidfd_open(popen.pid)
        self.output = NodeOutput(popen.stdout.fileno())
        self.resources = ProcessResources(popen.pid)
        self.end_request = EndRequest.NONE
        self.ended = asyncio.Event()

    def send_signal(self, number: int) -> None:
        """Send a signal through the pidfd, so that it cannot reach a process that reuses the process ID.

        Args:
            number: The signal number.
        """
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.pidfd, number)

    def reap(self) -> int | None:
        """Reap the process once it has ended.

        Returns:
            The exit code (the negative signal number if killed by a signal), or None while the process runs.
        """
        pid, status, usage = os.wait4(self.popen.pid, os.WNOHANG)
        if not pid:
            return None
        self.resources.cpu_s = usage.ru_utime + usage.ru_stime
        self.popen.returncode = os.waitstatus_to_exitcode(status)
        return self.popen.returncode

    def kill_now(self) -> None:
        """Kill the process and its process group, and wait for its end without an event loop."""
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.popen.pid, signal.SIGKILL)
        with contextlib.suppress(ChildProcessError, subprocess.TimeoutExpired):
            self.popen.wait(KILL_TIMEOUT_S)

    def close(self) -> None:
        """Close the descriptors of a process that has ended."""
        os.close(self.pidfd)
        assert self.popen.stdout is not None
        self.popen.stdout.close()
        self.ended.set()
