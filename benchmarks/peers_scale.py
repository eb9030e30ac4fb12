"""What presence costs and how soon it knows, by the size of the fleet and the share of datagrams lost.

    python -m benchmarks.peers_scale              # 20, 200 nodes, some minutes
    python -m benchmarks.peers_scale 20 200 1000 --seeds 2

In virtual time, by seed; a row each. Times are seconds after the event, until half, or 99%, of the living
know of it. "Missed" counts, for each node and hour, moments in which a life that runs stops being heard.
"""

import argparse
import statistics
import time
from concurrent.futures import ProcessPoolExecutor

from flintridge.lab.partial.machines import Link, Machines

SETTLE_S, PATIENCE_MS = 25, 60_000.0
HEADS = (
    *("nodes", "loss", "begun", "death 1/2", "death 99%", "return 1/2", "return 99%"),
    *("missed", "age 99%", "limit", "B/s", "most B/s", "CPU ms/s"),
)


def row(job: tuple[int, float, int, int]) -> list[float]:
    count, loss, seed, steady_s = job
    machines = Machines(count, seed, bytes_per_s=8_000.0, link=Link(loss=loss, jitter=2.0), key=b"k" * 32)
    names = machines.names

    def hear(least: int) -> bool:
        return all(machines.machine(name).view.heard >= least for name in names)

    begun = machines.run(PATIENCE_MS, lambda: hear(max(2, round(0.99 * count))))
    machines.run(SETTLE_S * 1000.0 - machines.now if machines.now < SETTLE_S * 1000 else 0.0)
    steady_from, cpu = machines.now, time.process_time()
    missed = _steady(machines, steady_s)
    cpu = time.process_time() - cpu
    ages = sorted(
        machines.living(name)[0].clock(machines.now) - one.known_at
        for name in names
        for one in machines.machine(name).table
    )
    seconds = [
        size
        for name in names
        for second, size in machines.living(name)[0].seconds.items()
        if steady_from / 1000 <= second < steady_from / 1000 + steady_s - 1
    ]
    most = max(max(process.seconds.values()) for name in names for process in machines.processes[name])
    dead, rest = names[0], names[1:]
    life = machines.machine(dead).table.life
    machines.kill(dead)
    death = [
        _until(machines, part, rest, lambda name: not _fresh(machines, name, dead, life))
        for part in (0.5, 0.99)
    ]
    life = machines.start(dead).machine.table.life
    back = [
        _until(machines, part, rest, lambda name: _fresh(machines, name, dead, life)) for part in (0.5, 0.99)
    ]
    return [
        count,
        loss,
        (begun or float("nan")) / 1000,
        *death,
        *back,
        missed * 3600 / steady_s / count,
        ages[int(0.99 * len(ages))] / 1000,
        machines.machine(rest[0]).limit / 1000,
        statistics.mean(seconds),
        most,
        cpu / count / steady_s * 1000,
    ]


def _steady(machines: Machines, steady_s: int) -> int:
    missed, was = 0, {}
    for _ in range(steady_s * 2):
        machines.run(500)
        for name in machines.names:
            for one in machines.machine(name).table:
                key = name, one.life
                missed += was.get(key, False) and not one.fresh
                was[key] = one.fresh
    return missed


def _fresh(machines: Machines, at: str, name: str, life: int) -> bool:
    one = machines.machine(at).table.find(name, life)
    return one is not None and one.fresh


_begun: dict[int, float] = {}


def _until(machines: Machines, part: float, rest: tuple[str, ...], knows) -> float:
    """Seconds from the call with the lesser part on."""
    if part == 0.5:
        _begun[id(machines)] = machines.now
    want = part * len(rest)
    found = machines.run(PATIENCE_MS, lambda: sum(map(knows, rest)) >= want)
    return float("nan") if found is None else (found - _begun[id(machines)]) / 1000


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("counts", nargs="*", type=int, default=[20, 200])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--loss", nargs="*", type=float, default=[0.0, 0.1, 0.3])
    parser.add_argument("--steady", type=int, default=40, help="seconds of calm that are looked at")
    asked = parser.parse_args()
    seeds = range(1, asked.seeds + 1)
    jobs = [(n, loss, seed, asked.steady) for n in asked.counts for loss in asked.loss for seed in seeds]
    with ProcessPoolExecutor(asked.jobs) as pool:
        rows = list(pool.map(row, jobs))
    print("| " + " | ".join(HEADS) + " |\n|" + " --- |" * len(HEADS))
    for n in asked.counts:
        for loss in asked.loss:
            same = [one for one in rows if (one[0], one[1]) == (n, loss)]
            means = [statistics.mean(column) for column in zip(*same, strict=True)]
            means[11] = max(one[11] for one in same)
            print(
                "| " + " | ".join(f"{value:.3g}" if value < 100 else f"{value:.0f}" for value in means) + " |"
            )


if __name__ == "__main__":
    main()
