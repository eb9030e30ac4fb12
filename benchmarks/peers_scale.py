"""What presence costs and how soon it knows, by the size of the fleet and the share of datagrams lost.

    python -m benchmarks.peers_scale              # 20, 200 nodes, some minutes
    python -m benchmarks.peers_scale 20 200 --seeds 2 --rows rows.jsonl
    python -m benchmarks.peers_scale 1000 --seeds 1 --steady 10 --rows rows.jsonl --plot peers.svg

In virtual time, by seed; a row each. Times are seconds after the event, until half, or 99%, of the living
know of it. "Missed" counts, for each node and hour, moments in which a life that runs stops being heard;
"wrong" are those of them in which it is held for silent, and not only not heard of for too long. Bytes are
those of datagrams; "tables" is the most that exchanges of tables took of a second, at the start.
"""

import gc
import json
import math
import os
import statistics
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

from benchmarks import harness
from flintridge.lab.partial.virtual_fleet import MembershipFleet
from flintridge.lab.partial.virtual_network import Link
from flintridge.membership.messages import MemberState

SETTLE_S = 25
PATIENCE_MS = 60_000.0
HEADS = (
    *("nodes", "loss", "begun", "death 1/2", "death 99%", "return 1/2", "return 99%"),
    *("missed", "wrong", "age 99%", "limit", "B/s", "most B/s", "tables", "CPU ms/s"),
)


def row(job: tuple[int, float, int, int]) -> list[float]:
    """The figures of one fleet, in the order of HEADS."""
    count, loss, seed, steady_s = job
    gc.disable()  # a million lives, and no cycles among what ends

    def step(what: str, *values: float) -> None:
        said = " ".join(f"{value:.4g}" for value in values)
        print(f"{count} nodes, {loss}, seed {seed}: {what} {said}", file=sys.stderr, flush=True)

    machines = MembershipFleet(
        count, seed, bytes_per_s=8_000.0, link=Link(loss=loss, jitter_ms=2.0), key=b"k" * 32
    )
    names = machines.names

    def hear(least: int) -> bool:
        return all(machines.detector(name).reachability.reachable >= least for name in names)

    begun = machines.run(PATIENCE_MS, lambda: hear(max(2, round(0.99 * count))))
    step("begun", machines.now)
    machines.run(SETTLE_S * 1000.0 - machines.now if machines.now < SETTLE_S * 1000 else 0.0)
    steady_from, cpu = machines.now, time.process_time()
    missed, wrong = _steady(machines, steady_s)
    cpu = time.process_time() - cpu
    ages = sorted(
        machines.living(name)[0].clock(machines.now) - one.last_alive_at
        for name in names
        for one in machines.detector(name).table
    )
    seconds = [
        size
        for name in names
        for second, size in machines.living(name)[0].datagram_bytes.items()
        if steady_from / 1000 <= second < steady_from / 1000 + steady_s - 1
    ]
    most = max(max(process.datagram_bytes.values()) for name in names for process in machines.processes[name])
    tables = max(
        max(process.transfer_bytes.values(), default=0)
        for name in names
        for process in machines.processes[name]
    )
    step("missed, wrong, bytes, most, tables", missed, wrong, statistics.mean(seconds), most, tables)
    step("ages 1/2, 99%, CPU", ages[len(ages) // 2], ages[int(0.99 * len(ages))], cpu / count / steady_s)
    dead, rest = names[0], names[1:]
    life = machines.detector(dead).table.incarnation
    machines.kill(dead)
    death = [
        _until(machines, part, rest, lambda name: not _reaches(machines, name, dead, life))
        for part in (0.5, 0.99)
    ]
    step("death", *death)
    life = machines.start(dead).detector.table.incarnation
    back = [
        _until(machines, part, rest, lambda name: _reaches(machines, name, dead, life))
        for part in (0.5, 0.99)
    ]
    step("return", *back)
    return [
        count,
        loss,
        (begun or float("nan")) / 1000,
        *death,
        *back,
        missed * 3600 / steady_s / count,
        wrong * 3600 / steady_s / count,
        ages[int(0.99 * len(ages))] / 1000,
        machines.detector(rest[0]).max_age_ms / 1000,
        statistics.mean(seconds),
        most,
        tables,
        cpu / count / steady_s * 1000,
    ]


def _steady(machines: MembershipFleet, steady_s: int) -> tuple[int, int]:
    missed = wrong = 0
    was = {name: set(machines.detector(name).table.reachable_members) for name in machines.names}
    for _ in range(steady_s * 2):
        machines.run(500)
        for name in machines.names:
            reachable = set(machines.detector(name).table.reachable_members)
            lost = was[name] - reachable
            missed += len(lost)
            wrong += sum(one.state >= MemberState.FAILED for one in lost)
            was[name] = reachable
    return missed, wrong


def _reaches(machines: MembershipFleet, at: str, name: str, life: int) -> bool:
    one = machines.detector(at).table.find(name, life)
    return one is not None and one.reachable


_begun: dict[int, float] = {}


def _until(
    machines: MembershipFleet, part: float, rest: tuple[str, ...], knows: Callable[[str], bool]
) -> float:
    """Seconds from the call with the lesser part on."""
    if part == 0.5:
        _begun[id(machines)] = machines.now
    want = part * len(rest)
    found = machines.run(PATIENCE_MS, lambda: sum(map(knows, rest)) >= want)
    return float("nan") if found is None else (found - _begun[id(machines)]) / 1000


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("counts", nargs="*", type=int, default=[20, 200])
    parser.add_argument("--seeds", type=int, default=3)
    harness.add_jobs(parser, 4)
    parser.add_argument("--loss", nargs="*", type=float, default=[0.0, 0.1, 0.3])
    parser.add_argument("--steady", type=int, default=40, help="seconds of calm that are looked at")
    parser.add_argument("--rows", help="a file that keeps rows: those in it are not played again")
    parser.add_argument("--plot", help="an SVG of the times against the number of nodes, of all rows kept")
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    jobs = [
        (n, loss, seed, arguments.steady)
        for n in arguments.counts
        for loss in arguments.loss
        for seed in seeds
    ]
    known: dict[tuple[float, ...], list[float]] = {}
    if arguments.rows and os.path.exists(arguments.rows):
        with open(arguments.rows) as file:
            known = {tuple(job): values for job, values in map(json.loads, file)}
    new = [job for job in jobs if job not in known]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for job, values in zip(new, pool.map(row, new), strict=True):
            known[job] = values
            if arguments.rows:
                with open(arguments.rows, "a") as file:
                    file.write(json.dumps([job, values]) + "\n")
    rows = [known[job] for job in jobs]
    harness.print_table_head(HEADS)
    for n in arguments.counts:
        for loss in arguments.loss:
            same = [one for one in rows if (one[0], one[1]) == (n, loss)]
            means = [statistics.mean(column) for column in zip(*same, strict=True)]
            for most in (12, 13):
                means[most] = max(one[most] for one in same)
            harness.print_table_row([f"{value:.3g}" if value < 100 else f"{value:.0f}" for value in means])
    if arguments.plot:
        _plot([*known.values()], arguments.plot)


def _plot(rows: list[list[float]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "peers"
    from matplotlib import pyplot

    figure, charts = pyplot.subplots(1, 2, figsize=(9, 3.6), sharex=True)
    counts, losses = sorted({one[0] for one in rows}), sorted({one[1] for one in rows})
    for chart, what, half in zip(charts, ("a death", "a return"), (3, 5), strict=True):
        for loss, colour in zip(losses, ("tab:blue", "tab:orange", "tab:red"), strict=False):
            for column, style in ((half, "--"), (half + 1, "-")):
                means = [
                    statistics.mean(one[column] for one in rows if (one[0], one[1]) == (n, loss))
                    for n in counts
                ]
                part = "half" if column == half else "99%"
                chart.plot(
                    [math.log10(n) for n in counts], means, style, color=colour, marker="o",
                    label=f"{loss:.0%} lost, {part}",
                )  # fmt: skip
        chart.set_title(f"until {what} is known, s")
        chart.set_xticks([math.log10(n) for n in counts], [f"{n:.0f}" for n in counts])
        chart.set_xlabel("nodes (log)")
        chart.set_ylim(bottom=0)
        chart.grid(alpha=0.3)
    charts[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


if __name__ == "__main__":
    main()
