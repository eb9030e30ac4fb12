"""Measures cost and detection times of membership, by the fleet's size and the fraction of lost datagrams.

    python -m benchmarks.peers_scale              # 20, 200 nodes, some minutes
    python -m benchmarks.peers_scale 20 200 --seeds 2 --rows rows.jsonl
    python -m benchmarks.peers_scale 1000 --seeds 1 --steady 10 --rows rows.jsonl --plot peers.svg

The runs are in virtual time, one per seed; a row of the table has the means of the seeds. The columns are:

"begun": seconds from the start until 99% of the nodes are reachable from every node.
"death", "return": seconds after a node is killed or restarted until half, or 99%, of the other nodes know.
"missed": how often per node and hour a running process stopped being reachable from another node.
"wrong": those of them in which the process was held for failed; in the others, there was only no recent
    evidence that it ran.
"age 99%": the 99th percentile, in seconds, of the age of the last evidence that a member runs.
"limit": the age in seconds beyond which evidence no longer counts.
"B/s", "most B/s": bytes of datagrams that a node sends per second, the mean and the maximum.
"tables": the maximum bytes per second that a node sent in transfers of member tables, at the start.
"CPU ms/s": CPU time per node and second.
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
TIMEOUT_MS = 60_000.0
HEADS = (
    *("nodes", "loss", "begun", "death 1/2", "death 99%", "return 1/2", "return 99%"),
    *("missed", "wrong", "age 99%", "limit", "B/s", "most B/s", "tables", "CPU ms/s"),
)


def measure_fleet(job: tuple[int, float, int, int]) -> list[float]:
    """Measure a fleet, and return its row, in the order of HEADS."""
    count, loss, seed, steady_s = job
    gc.disable()  # a run has a million members, and no reference cycles among the objects that it drops

    def report(what: str, *values: float) -> None:
        formatted = " ".join(f"{value:.4g}" for value in values)
        print(f"{count} nodes, {loss}, seed {seed}: {what} {formatted}", file=sys.stderr, flush=True)

    fleet = MembershipFleet(
        count, seed, bytes_per_s=8_000.0, link=Link(loss=loss, jitter_ms=2.0), key=b"k" * 32
    )
    names = fleet.names

    def all_reach(required: int) -> bool:
        return all(fleet.detector(name).reachability.reachable >= required for name in names)

    begun = fleet.run(TIMEOUT_MS, lambda: all_reach(max(2, round(0.99 * count))))
    report("begun", fleet.now)
    fleet.run(SETTLE_S * 1000.0 - fleet.now if fleet.now < SETTLE_S * 1000 else 0.0)
    steady_from, cpu = fleet.now, time.process_time()
    missed, wrong = _count_lost_members(fleet, steady_s)
    cpu = time.process_time() - cpu
    ages = sorted(
        fleet.living(name)[0].clock(fleet.now) - member.last_alive_at
        for name in names
        for member in fleet.detector(name).table
    )
    bytes_per_s = [
        size
        for name in names
        for second, size in fleet.living(name)[0].datagram_bytes.items()
        if steady_from / 1000 <= second < steady_from / 1000 + steady_s - 1
    ]
    most = max(max(process.datagram_bytes.values()) for name in names for process in fleet.processes[name])
    tables = max(
        max(process.transfer_bytes.values(), default=0) for name in names for process in fleet.processes[name]
    )
    report("missed, wrong, bytes, most, tables", missed, wrong, statistics.mean(bytes_per_s), most, tables)
    report("ages 1/2, 99%, CPU", ages[len(ages) // 2], ages[int(0.99 * len(ages))], cpu / count / steady_s)
    victim, others = names[0], names[1:]
    incarnation = fleet.detector(victim).table.incarnation
    fleet.kill(victim)
    failure_times = [
        _seconds_until_known(
            fleet, fraction, others, lambda name: not _reaches(fleet, name, victim, incarnation)
        )
        for fraction in (0.5, 0.99)
    ]
    report("death", *failure_times)
    incarnation = fleet.start(victim).detector.table.incarnation
    return_times = [
        _seconds_until_known(fleet, fraction, others, lambda name: _reaches(fleet, name, victim, incarnation))
        for fraction in (0.5, 0.99)
    ]
    report("return", *return_times)
    return [
        count,
        loss,
        (begun or float("nan")) / 1000,
        *failure_times,
        *return_times,
        missed * 3600 / steady_s / count,
        wrong * 3600 / steady_s / count,
        ages[int(0.99 * len(ages))] / 1000,
        fleet.detector(others[0]).max_age_ms / 1000,
        statistics.mean(bytes_per_s),
        most,
        tables,
        cpu / count / steady_s * 1000,
    ]


def _count_lost_members(fleet: MembershipFleet, steady_s: int) -> tuple[int, int]:
    """Count the running members that become unreachable, and those of them that are held for failed."""
    missed = wrong = 0
    before = {name: set(fleet.detector(name).table.reachable_members) for name in fleet.names}
    for _ in range(steady_s * 2):
        fleet.run(500)
        for name in fleet.names:
            reachable = set(fleet.detector(name).table.reachable_members)
            lost = before[name] - reachable
            missed += len(lost)
            wrong += sum(member.state >= MemberState.FAILED for member in lost)
            before[name] = reachable
    return missed, wrong


def _reaches(fleet: MembershipFleet, observer: str, name: str, incarnation: int) -> bool:
    member = fleet.detector(observer).table.find(name, incarnation)
    return member is not None and member.reachable


_event_times: dict[int, float] = {}  # the time of the last event of each fleet, by the fleet's id()


def _seconds_until_known(
    fleet: MembershipFleet, fraction: float, others: tuple[str, ...], knows: Callable[[str], bool]
) -> float:
    """Run until a fraction of the other nodes know, and return the seconds since the event.

    The call with the fraction 0.5 comes first after an event, and sets the event's time.
    """
    if fraction == 0.5:
        _event_times[id(fleet)] = fleet.now
    required = fraction * len(others)
    known_at = fleet.run(TIMEOUT_MS, lambda: sum(map(knows, others)) >= required)
    return float("nan") if known_at is None else (known_at - _event_times[id(fleet)]) / 1000


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("counts", nargs="*", type=int, default=[20, 200])
    parser.add_argument("--seeds", type=int, default=3)
    harness.add_jobs(parser, 4)
    parser.add_argument("--loss", nargs="*", type=float, default=[0.0, 0.1, 0.3])
    parser.add_argument("--steady", type=int, default=40, help="seconds without faults that are measured")
    parser.add_argument("--rows", help="file that stores rows; stored runs are not repeated")
    parser.add_argument(
        "--plot", help="SVG file for a plot of the times by number of nodes, of all stored rows"
    )
    arguments = parser.parse_args()
    seeds = range(1, arguments.seeds + 1)
    jobs = [
        (n, loss, seed, arguments.steady)
        for n in arguments.counts
        for loss in arguments.loss
        for seed in seeds
    ]
    stored: dict[tuple[float, ...], list[float]] = {}
    if arguments.rows and os.path.exists(arguments.rows):
        with open(arguments.rows) as file:
            stored = {tuple(job): values for job, values in map(json.loads, file)}
    new_jobs = [job for job in jobs if job not in stored]
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for job, values in zip(new_jobs, pool.map(measure_fleet, new_jobs), strict=True):
            stored[job] = values
            if arguments.rows:
                with open(arguments.rows, "a") as file:
                    file.write(json.dumps([job, values]) + "\n")
    rows = [stored[job] for job in jobs]
    harness.print_table_head(HEADS)
    for n in arguments.counts:
        for loss in arguments.loss:
            of_size = [row for row in rows if (row[0], row[1]) == (n, loss)]
            means = [statistics.mean(column) for column in zip(*of_size, strict=True)]
            for index in (12, 13):  # "most B/s" and "tables" are maxima
                means[index] = max(row[index] for row in of_size)
            harness.print_table_row([f"{value:.3g}" if value < 100 else f"{value:.0f}" for value in means])
    if arguments.plot:
        _plot([*stored.values()], arguments.plot)


def _plot(rows: list[list[float]], path: str) -> None:
    import matplotlib

    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "peers"
    from matplotlib import pyplot

    figure, charts = pyplot.subplots(1, 2, figsize=(9, 3.6), sharex=True)
    counts, losses = sorted({row[0] for row in rows}), sorted({row[1] for row in rows})
    for chart, event, half_column in zip(charts, ("a death", "a return"), (3, 5), strict=True):
        for loss, color in zip(losses, ("tab:blue", "tab:orange", "tab:red"), strict=False):
            for column, style in ((half_column, "--"), (half_column + 1, "-")):
                means = [
                    statistics.mean(row[column] for row in rows if (row[0], row[1]) == (n, loss))
                    for n in counts
                ]
                fraction = "half" if column == half_column else "99%"
                chart.plot(
                    [math.log10(n) for n in counts], means, style, color=color, marker="o",
                    label=f"{loss:.0%} lost, {fraction}",
                )  # fmt: skip
        chart.set_title(f"until {event} is known, s")
        chart.set_xticks([math.log10(n) for n in counts], [f"{n:.0f}" for n in counts])
        chart.set_xlabel("nodes (log)")
        chart.set_ylim(bottom=0)
        chart.grid(alpha=0.3)
    charts[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})


if __name__ == "__main__":
    main()
