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

import argparse
import os
import statistics
import time
from concurrent.futures import ProcessPoolExecutor

from flintridge.lab.partial.replica_fleet import ReplicaProcesses
from flintridge.replication.comparison import SyncState
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.messages import encode_chunk
from flintridge.replication.replica import Replica
from flintridge.replication.value_types import encode_body

WARM, CUT, MOST = 15_000.0, 30_000.0, 600_000.0
WRITES, BOTH = 20, 5
STEP = 50.0
NOTE = encode_body("note", {"text": "an incident's name, and a line on it"})


def day(count: int, seed: int, entries: int, bytes_per_s: float) -> tuple[list[float], float, float, float]:
    """Each node's time in ms; until all were the same; a node's bytes; those of a whole copy."""
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
    return list(last.values()), fleet.now - healed, statistics.fmean(spent), float(whole)


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
    asked = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    asked.add_argument("counts", type=int, nargs="*", default=[5, 20])
    asked.add_argument("--seeds", type=int, default=10)
    asked.add_argument("--entries", type=int, default=200)
    asked.add_argument("--bytes-per-s", type=float, default=16_000.0)
    asked.add_argument("--returned", action="store_true", help="a node that starts empty, by size of state")
    given = asked.parse_args()
    os.nice(10)
    if given.returned:
        print("| entries | bytes a second | until `mn`, s | bytes sent |\n| --- | --- | --- | --- |")
        for entries in (100, 1_000, 10_000):
            for rate in (16_000.0, 128_000.0):
                ms, sent = returned(5, entries, rate)
                print(f"| {entries:,} | {rate:,.0f} | {ms / 1000:.1f} | {sent:,.0f} |", flush=True)
        return
    print("| nodes | days | entries | median s | p99 s | longest s | bytes a node | whole copy | took s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with ProcessPoolExecutor(2) as pool:
        for count in given.counts:
            began = time.perf_counter()
            seeds = range(given.seeds)
            rest = (
                [count] * given.seeds,
                seeds,
                [given.entries] * given.seeds,
                [given.bytes_per_s] * given.seeds,
            )
            days = list(pool.map(day, *rest))
            times = sorted(ms / 1000 for one in days for ms in one[0])
            p99 = times[min(len(times) - 1, int(0.99 * len(times)))]
            spent, whole = (statistics.fmean(one[i] for one in days) for i in (2, 3))
            took = time.perf_counter() - began
            print(
                f"| {count} | {given.seeds} | {given.entries} | {statistics.median(times):.1f} | {p99:.1f} |"
                f" {times[-1]:.1f} | {spent:,.0f} | {whole:,.0f} | {took:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
