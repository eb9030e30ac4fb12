"""What a bad datagram costs, what a life takes in memory, and what peers cost a node that hears none of them.

    python -m benchmarks.peers_cost

Microseconds are of this process, means of 20,000 datagrams of some 600 bytes at a node with 1,000 peers.
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
COUNT = 20_000  # datagrams
NAMES = tuple(f"n{i}" for i in range(1, 1001))
KEY = b"k" * 32
ENTRIES = tuple(GossipEntry(f"n{i}", i, 0, 0, 5) for i in range(24))
PEERS = ", ".join(f'n{i} = "127.0.0.1:{7300 + i}"' for i in range(1, 21))
TABLE = f'\n[peers]\nlisten = "127.0.0.1:7301"\nfleet = "c"\nknown = {{ {PEERS} }}\n'


def node(key: bytes | None) -> FailureDetector:
    """A failure detector with a thousand peers."""
    return FailureDetector("n0", 7, NAMES, MessageCodec("fleet", key), 8_000.0, 0.0, Random(1))


def cost(name: str, key: bytes | None, data: bytes, flood: bool = False) -> None:
    """Print the microseconds that receiving a datagram takes."""
    machine = node(key)
    if not flood:
        machine._datagrams_in.per_second = 1e12  # else all but 400 would be a flood
    began = time.perf_counter()
    for i in range(COUNT):
        machine.receive(1.0 + i * 0.001, data)
    print(f"{name}: {(time.perf_counter() - began) / COUNT * 1e6:.1f} us")


def message(fleet: str) -> Message:
    """A gossip message with 24 entries."""
    return Message(fleet, "n1", 9, 0, 1, 1, 5, 1, entries=ENTRIES)


def idle(name: str, text: str) -> None:
    """A node of its own format, 4 s after its start, over 10 s."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "n1.toml"
        file.write_text(text)
        env = {**os.environ, "PROXY_CONFIG": str(file), "TMPDIR": folder}
        command = [sys.executable, "-m", "flintridge"]
        with subprocess.Popen(command, cwd=ROOT, env=env, stdout=subprocess.DEVNULL) as process:
            time.sleep(4)
            rollup = Path(f"/proc/{process.pid}/smaps_rollup").read_text().splitlines()[1:]
            held = {line.split(":")[0]: int(line.split()[1]) / 1024 for line in rollup}
            before = ticks(process.pid)
            time.sleep(10)
            used = (ticks(process.pid) - before) / os.sysconf("SC_CLK_TCK") * 100
            process.terminate()
    private = held["Private_Clean"] + held["Private_Dirty"]
    print(f"{name}: {held['Rss']:.1f} MB resident, {private:.1f} private, {used:.0f} ms of CPU a second")


def ticks(pid: int) -> int:
    """Clock ticks of CPU that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(fields[11]) + int(fields[12])


def main() -> None:
    """Print all costs."""
    cost("no datagram of ours", None, b"GET / HTTP/1.1\r\n" + bytes(584))
    cost("without the right seal", KEY, b"FP\x01" + bytes(597))
    cost("malformed", None, b"FP\x01" + bytes(597))
    cost("of another fleet", None, MessageCodec("other", None).encode(message("other")))
    cost("a sealed replay", KEY, MessageCodec("fleet", KEY).encode(message("fleet")))
    cost("beyond 400 a second", None, bytes(600), flood=True)
    tracemalloc.start()
    machine = node(None)
    before = tracemalloc.get_traced_memory()[0]
    for i, name in enumerate(NAMES):
        machine.table.find_or_add(name, 1 << 60 | i, 0.0)
    print(f"a life: {(tracemalloc.get_traced_memory()[0] - before) / len(NAMES):.0f} bytes")
    tracemalloc.stop()
    example = (ROOT / "examples" / "node.toml").read_text()
    idle("without peers", example)
    idle("with 19 peers, none of which runs", example + TABLE)


if __name__ == "__main__":
    main()
