"""After a cut of 30 s heals: how long until all copies are the same, and by how many bytes. Virtual time.

    python -m benchmarks.replica_converge 5 20 200 --seeds 20
    python -m benchmarks.replica_converge --returned
    python -m benchmarks.replica_converge 200 --seeds 5 --entries 10000 --bytes-per-s 64000

In each half of the cut 20 entries are written, five of them on keys that the other half writes as well.
A node's time is from the end of the cut to the last change of its copy; figures are over all nodes of all
days.
Bytes: what the topic and the exchanges of a node sent from the end of the cut until all copies were the same,
against a whole copy.
"""

import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from benchmarks import harness
from flintridge.lab.partial.replica_fleet import ReplicaProcesses
from flintridge.replication.comparison import SyncState
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.messages import encode_chunk
from flintridge.replication.replica import Replica
from flintridge.replication.value_types import encode_body

WARM = 15_000.0  # ms
CUT = 30_000.0  # ms
MOST = 600_000.0  # ms
WRITES = 20
BOTH = 5
STEP = 50.0  # ms
NOTE = encode_body("note", {"text": "an incident's name, and a line on it"})


@dataclass(frozen=True)
class Convergence:
    """How a day went on after its cut.

    Attributes:
        node_ms: Until the last change of each node's copy.
        node_bytes: What a node sent, the mean.
        copy_bytes: Of a whole copy.
    """

    node_ms: list[float]
    node_bytes: float
    copy_bytes: float


def day(count: int, seed: int, entries: int, bytes_per_s: float) -> Convergence:
    """Cut a fleet in two, write in both halves, and heal it."""
    # Half of the bytes are for exchanges, as in a node; the machines count the datagrams' half.
    fleet = ReplicaProcesses(count, seed, ReplicaLimits(max_entries=100_000), bytes_per_s=bytes_per_s / 2)

    def write(copy: Replica, now: float) -> None:
        for i in range(entries):
            copy.write(now, ("note", f"before-{i}"), NOTE, "ann", "so that there is something")

    fleet.run(100.0)
    fleet.initialize(write)
    fleet.run(WARM)
    half = fleet.names[: count // 2], fleet.names[count // 2 :]
    fleet.cut(*half)
    for i in range(WRITES):
        fleet.run(CUT / WRITES)
        for side in (0, 1):
            name = half[side][i % len(half[side])]
            key = ("note", f"both-{i}" if i < BOTH else f"half-{side}-{i}")
            fleet.detector(name).replica.write(fleet.clock(name), key, NOTE, "bob", "during the cut")
    fleet.heal()
    healed = fleet.now
    before = [_bytes(fleet, name) for name in fleet.names]
    roots = {name: fleet.detector(name).replica.root() for name in fleet.names}
    last = dict.fromkeys(fleet.names, 0.0)
    while (
        not fleet.have_equal_roots()
        or len(fleet.detector(fleet.names[0]).replica.entries) < entries + 2 * WRITES - BOTH
    ):
        fleet.run(STEP)
        for name in fleet.names:
            if (root := fleet.detector(name).replica.root()) != roots[name]:
                roots[name], last[name] = root, fleet.now - healed
        if fleet.now > healed + MOST:
            raise RuntimeError(f"{count} nodes, seed {seed}: not the same after {MOST:g} ms")
    spent = [_bytes(fleet, name) - then for name, then in zip(fleet.names, before, strict=True)]
    one = fleet.detector(fleet.names[0]).replica
    none = Replica(("x", 1), one.limits, 0.0)
    chunk = one.make_chunk(none.next_request(one.writer), 1 << 30)
    whole = sum(map(len, encode_chunk(one.writer, chunk, fleet.clock(fleet.names[0]))))
    return Convergence(list(last.values()), statistics.fmean(spent), float(whole))


def returned(count: int, entries: int, bytes_per_s: float) -> tuple[float, float]:
    """How long a node that starts empty takes to catch up, in ms; the bytes that were sent for it."""
    fleet = ReplicaProcesses(
        count, 1, ReplicaLimits(max_entries=100_000, sync_wait_ms=1e9), bytes_per_s=bytes_per_s / 2
    )

    def write(copy: Replica, now: float) -> None:
        for i in range(entries):
            copy.write(now, ("note", f"before-{i}"), NOTE, "ann", "so that there is something")

    fleet.run(100.0)
    fleet.initialize(write)
    fleet.run(WARM)
    name = fleet.names[0]
    fleet.kill(name)
    fleet.run(1_000.0)
    sent = sum(_bytes(fleet, other) for other in fleet.names[1:])
    fleet.start(name)
    began = fleet.now
    fleet.run(MOST, lambda: fleet.detector(name).replica.sync_state is SyncState.SYNCHRONIZED)
    return fleet.now - began, sum(_bytes(fleet, other) for other in fleet.names[1:]) - sent


def _bytes(fleet: ReplicaProcesses, name: str) -> int:
    keeper = fleet.detector(name)
    return keeper.spreader.bytes_sent + keeper.exchange_bytes


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("counts", type=int, nargs="*", default=[5, 20])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--entries", type=int, default=200)
    parser.add_argument("--bytes-per-s", type=float, default=16_000.0)
    parser.add_argument("--returned", action="store_true", help="a node that starts empty, by size of state")
    arguments = parser.parse_args()
    os.nice(10)
    if arguments.returned:
        harness.print_table_head(["entries", "bytes a second", "until `mn`, s", "bytes sent"])
        for entries in (100, 1_000, 10_000):
            for rate in (16_000.0, 128_000.0):
                ms, sent = returned(5, entries, rate)
                harness.print_table_row([f"{entries:,}", f"{rate:,.0f}", f"{ms / 1000:.1f}", f"{sent:,.0f}"])
        return
    harness.print_table_head(
        [
            "nodes",
            "days",
            "entries",
            "median s",
            "p99 s",
            "longest s",
            "bytes a node",
            "whole copy",
            "took s",
        ]
    )
    with ProcessPoolExecutor(2) as pool:
        for count in arguments.counts:
            began = time.perf_counter()
            seeds = range(arguments.seeds)
            rest = (
                [count] * arguments.seeds,
                seeds,
                [arguments.entries] * arguments.seeds,
                [arguments.bytes_per_s] * arguments.seeds,
            )
            days = list(pool.map(day, *rest))
            times = sorted(ms / 1000 for outcome in days for ms in outcome.node_ms)
            p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
            spent = statistics.fmean(outcome.node_bytes for outcome in days)
            whole = statistics.fmean(outcome.copy_bytes for outcome in days)
            took = time.perf_counter() - began
            harness.print_table_row(
                [
                    f"{count}",
                    f"{arguments.seeds}",
                    f"{arguments.entries}",
                    f"{statistics.median(times):.1f}",
                    f"{p99:.1f}",
                    f"{times[-1]:.1f}",
                    f"{spent:,.0f}",
                    f"{whole:,.0f}",
                    f"{took:.0f}",
                ]
            )


if __name__ == "__main__":
    main()
