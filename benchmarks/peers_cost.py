"""Measures the cost of invalid datagrams, the memory of a member, and the cost of peers that are unreachable.

    python -m benchmarks.peers_cost

The cost of datagrams is the mean time in this process over 20,000 datagrams of about 600 bytes, which a node
with 1,000 peers receives. Each process of a node that the others learn of is a member.
"""

import os
import subprocess
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path
from random import Random

from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import GossipEntry, Message, MessageCodec

ROOT = Path(__file__).resolve().parent.parent
DATAGRAM_COUNT = 20_000
NAMES = tuple(f"n{i}" for i in range(1, 1001))
KEY = b"k" * 32
ENTRIES = tuple(GossipEntry(f"n{i}", i, 0, 0, 5) for i in range(24))
PEERS = ", ".join(f'n{i} = "127.0.0.1:{7300 + i}"' for i in range(1, 21))
PEERS_SECTION = f'\n[peers]\nlisten = "127.0.0.1:7301"\nfleet = "c"\nknown = {{ {PEERS} }}\n'


def create_detector(key: bytes | None) -> FailureDetector:
    """Create a failure detector with 1,000 peers."""
    return FailureDetector("n0", 7, NAMES, MessageCodec("fleet", key), 8_000.0, 0.0, Random(1))


def print_receive_cost(name: str, key: bytes | None, data: bytes, flood: bool = False) -> None:
    """Print the microseconds that receiving a datagram takes; without `flood`, the rate limit is lifted."""
    detector = create_detector(key)
    if not flood:
        detector._datagrams_in.per_second = 1e12  # otherwise all but 400 would be dropped as a flood
    started_at = time.perf_counter()
    for i in range(DATAGRAM_COUNT):
        detector.receive(1.0 + i * 0.001, data)
    print(f"{name}: {(time.perf_counter() - started_at) / DATAGRAM_COUNT * 1e6:.1f} us")


def gossip_message(fleet: str) -> Message:
    """Create a gossip message with 24 entries."""
    return Message(fleet, "n1", 9, 0, 1, 1, 5, 1, entries=ENTRIES)


def print_idle_cost(name: str, text: str) -> None:
    """Print memory and CPU time of an idle node with this TOML file, over 10 s from 4 s after its start."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "n1.toml"
        file.write_text(text)
        env = {**os.environ, "PROXY_CONFIG": str(file), "TMPDIR": folder}
        command = [sys.executable, "-m", "flintridge"]
        with subprocess.Popen(command, cwd=ROOT, env=env, stdout=subprocess.DEVNULL) as process:
            time.sleep(4)
            rollup = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()[1:]
            memory_mb = {line.split(":")[0]: int(line.split()[1]) / 1024 for line in rollup}
            before = cpu_ticks(process.pid)
            time.sleep(10)
            cpu_ms_per_s = (cpu_ticks(process.pid) - before) / os.sysconf("SC_CLK_TCK") * 100
            process.terminate()
    private = memory_mb["Private_Clean"] + memory_mb["Private_Dirty"]
    print(
        f"{name}: {memory_mb['Rss']:.1f} MB resident, {private:.1f} private, "
        f"{cpu_ms_per_s:.0f} ms of CPU per second"
    )


def cpu_ticks(pid: int) -> int:
    """Clock ticks of CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def main() -> None:
    """Measure and print all costs."""
    print_receive_cost("a datagram of another protocol", None, b"GET / HTTP/1.1\r\n" + bytes(584))
    print_receive_cost("without a valid authentication tag", KEY, b"FP\x01" + bytes(597))
    print_receive_cost("malformed", None, b"FP\x01" + bytes(597))
    print_receive_cost("of another fleet", None, MessageCodec("other", None).encode(gossip_message("other")))
    print_receive_cost(
        "an authenticated replay", KEY, MessageCodec("fleet", KEY).encode(gossip_message("fleet"))
    )
    print_receive_cost("beyond 400 per second", None, bytes(600), flood=True)
    tracemalloc.start()
    detector = create_detector(None)
    before = tracemalloc.get_traced_memory()[0]
    for i, name in enumerate(NAMES):
        detector.table.find_or_add(name, 1 << 60 | i, 0.0)
    print(f"a member: {(tracemalloc.get_traced_memory()[0] - before) / len(NAMES):.0f} bytes")
    tracemalloc.stop()
    example = (ROOT / "examples" / "node.toml").read_text()
    print_idle_cost("without peers", example)
    print_idle_cost("with 19 peers, none of which runs", example + PEERS_SECTION)


if __name__ == "__main__":
    main()
