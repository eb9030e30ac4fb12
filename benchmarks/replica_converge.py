"""Measures how long replicas take to converge after a partition of 30 s, and how many bytes they send for it.

    python -m benchmarks.replica_converge 5 20 200 --seeds 20
    python -m benchmarks.replica_converge --returned
    python -m benchmarks.replica_converge 200 --seeds 5 --entries 10000 --bytes-per-s 64000

The runs are in virtual time. In each half of the partition 20 entries are written, five of them with keys
that the other half writes as well. A node's time is from the end of the partition to the last change of its
replica; the statistics are over all nodes of all runs. The bytes are those that a node sent as gossip and in
exchanges from the end of the partition until all replicas were equal, beside the size of a whole replica.
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

WARMUP_MS = 15_000.0
PARTITION_MS = 30_000.0
TIMEOUT_MS = 600_000.0
WRITES = 20  # in each half
CONFLICTING_WRITES = 5  # writes of each half with keys that the other half writes as well
STEP_MS = 50.0
NOTE = encode_body("note", {"text": "an incident's name, and a line on it"})


@dataclass(frozen=True)
class Convergence:
    """The convergence of the replicas after the partition of a run.

    Attributes:
        node_ms: For each node, the time until the last change of its replica, in milliseconds.
        node_bytes: Bytes that a node sent, the mean over the nodes.
        replica_bytes: The encoded size of a whole replica.
    """

    node_ms: list[float]
    node_bytes: float
    replica_bytes: float


def run_partition(count: int, seed: int, entries: int, bytes_per_s: float) -> Convergence:
    """Partition a fleet into two halves, write in both, and heal the partition."""
    # Half of the bytes are for exchanges, as in a node; `bytes_per_s` of the fleet is the half for datagrams.
    fleet = ReplicaProcesses(count, seed, ReplicaLimits(max_entries=100_000), bytes_per_s=bytes_per_s / 2)

    def write(replica: Replica, now: float) -> None:
        for i in range(entries):
            replica.write(now, ("note", f"before-{i}"), NOTE, "ann", "so that there is something")

    fleet.run(100.0)
    fleet.initialize(write)
    fleet.run(WARMUP_MS)
    halves = fleet.names[: count // 2], fleet.names[count // 2 :]
    fleet.cut(*halves)
    for i in range(WRITES):
        fleet.run(PARTITION_MS / WRITES)
        for side in (0, 1):
            name = halves[side][i % len(halves[side])]
            key = ("note", f"both-{i}" if i < CONFLICTING_WRITES else f"half-{side}-{i}")
            fleet.detector(name).replica.write(fleet.clock(name), key, NOTE, "bob", "during the cut")
    fleet.heal()
    healed_at = fleet.now
    before = [_bytes_sent(fleet, name) for name in fleet.names]
    roots = {name: fleet.detector(name).replica.root() for name in fleet.names}
    last_change_ms = dict.fromkeys(fleet.names, 0.0)
    while (
        not fleet.have_equal_roots()
        or len(fleet.detector(fleet.names[0]).replica.entries) < entries + 2 * WRITES - CONFLICTING_WRITES
    ):
        fleet.run(STEP_MS)
        for name in fleet.names:
            if (root := fleet.detector(name).replica.root()) != roots[name]:
                roots[name], last_change_ms[name] = root, fleet.now - healed_at
        if fleet.now > healed_at + TIMEOUT_MS:
            raise RuntimeError(f"{count} nodes, seed {seed}: replicas differ after {TIMEOUT_MS:g} ms")
    sent = [
        _bytes_sent(fleet, name) - sent_before for name, sent_before in zip(fleet.names, before, strict=True)
    ]
    replica = fleet.detector(fleet.names[0]).replica
    empty_replica = Replica(("x", 1), replica.limits, 0.0)
    chunk = replica.make_chunk(empty_replica.next_request(replica.writer), 1 << 30)
    replica_bytes = sum(map(len, encode_chunk(replica.writer, chunk, fleet.clock(fleet.names[0]))))
    return Convergence(list(last_change_ms.values()), statistics.fmean(sent), float(replica_bytes))


def run_restart(count: int, entries: int, bytes_per_s: float) -> tuple[float, float]:
    """Restart a node with an empty replica.

    Returns:
        The milliseconds until it has synchronized, and the bytes that the other nodes sent meanwhile.
    """
    fleet = ReplicaProcesses(
        count, 1, ReplicaLimits(max_entries=100_000, sync_wait_ms=1e9), bytes_per_s=bytes_per_s / 2
    )

    def write(replica: Replica, now: float) -> None:
        for i in range(entries):
            replica.write(now, ("note", f"before-{i}"), NOTE, "ann", "so that there is something")

    fleet.run(100.0)
    fleet.initialize(write)
    fleet.run(WARMUP_MS)
    name = fleet.names[0]
    fleet.kill(name)
    fleet.run(1_000.0)
    sent_before = sum(_bytes_sent(fleet, other) for other in fleet.names[1:])
    fleet.start(name)
    started_at = fleet.now
    fleet.run(TIMEOUT_MS, lambda: fleet.detector(name).replica.sync_state is SyncState.SYNCHRONIZED)
    return fleet.now - started_at, sum(_bytes_sent(fleet, other) for other in fleet.names[1:]) - sent_before


def _bytes_sent(fleet: ReplicaProcesses, name: str) -> int:
    detector = fleet.detector(name)
    return detector.spreader.bytes_sent + detector.exchange_bytes


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("counts", type=int, nargs="*", default=[5, 20])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--entries", type=int, default=200)
    parser.add_argument("--bytes-per-s", type=float, default=16_000.0)
    parser.add_argument(
        "--returned", action="store_true", help="measure a node that starts empty, by number of entries"
    )
    arguments = parser.parse_args()
    os.nice(10)
    if arguments.returned:
        harness.print_table_head(["entries", "bytes per second", "until `mn`, s", "bytes sent"])
        for entries in (100, 1_000, 10_000):
            for rate in (16_000.0, 128_000.0):
                ms, sent = run_restart(5, entries, rate)
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
            "bytes per node",
            "replica bytes",
            "took s",
        ]
    )
    with ProcessPoolExecutor(2) as pool:
        for count in arguments.counts:
            started_at = time.perf_counter()
            seeds = range(arguments.seeds)
            parameters = (
                [count] * arguments.seeds,
                seeds,
                [arguments.entries] * arguments.seeds,
                [arguments.bytes_per_s] * arguments.seeds,
            )
            runs = list(pool.map(run_partition, *parameters))
            times = sorted(ms / 1000 for run in runs for ms in run.node_ms)
            p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
            node_bytes = statistics.fmean(run.node_bytes for run in runs)
            replica_bytes = statistics.fmean(run.replica_bytes for run in runs)
            took = time.perf_counter() - started_at
            harness.print_table_row(
                [
                    f"{count}",
                    f"{arguments.seeds}",
                    f"{arguments.entries}",
                    f"{statistics.median(times):.1f}",
                    f"{p99:.1f}",
                    f"{times[-1]:.1f}",
                    f"{node_bytes:,.0f}",
                    f"{replica_bytes:,.0f}",
                    f"{took:.0f}",
                ]
            )


if __name__ == "__main__":
    main()
