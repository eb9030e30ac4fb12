"""Measures how leases change the work at cold servers in a large fleet, and the requests that skip them.

    python -m benchmarks.budgets_cold [--nodes 60] [--servers 60] [--replaced 12] [--seeds 2] [--jobs 2]
                                      [--skews 0,0.4] [--rate 600] [--quota 0] [--json FILE]

Each run takes 13 s in virtual time after 9 s of warm-up. At 2 s, `--replaced` servers are replaced by new
ones, which are cold (warming up) for 9 s. In the mode `off` each node keeps within its even fraction of a
cold server's budget; in the mode `cold` nodes lease fractions of it to one another. `--quota` is over all
nodes, in requests per second; 0 for none. `--skews` are the fractions of the traffic that the first of two
zones gets beyond its half.

The columns are:

`fallen`: overloads of servers.
`rule`: violations of the rule `cold`.
`used`: the work that arrived at a cold server in a window of the rule `cold`, as a fraction of the rule's
    budget at the window's end; the mean over the servers' six windows.
`most`: the greatest such fraction of any server and window that ends with an attempt.
`met`: requests whose walk on the ring reached a cold server.
`walked`: the fraction of these requests that skipped a cold server at least once because of its budget.
`dealt`: the fraction of budget checks of a cold server in which the allocation allowed more than the work
    that the node had observed at warm servers, and so determined the budget.
`missed`: the fraction of the attempts at cache servers that were a miss.
`origin`: fetches from the origin per request.
`borrowed`: even fractions borrowed per node, the mean over all reports after 2 s.
"""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from msgspec.structs import replace

from benchmarks import harness
from flintridge.lab.experiment.stats import mean
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome
from flintridge.lab.judge.rules.warming_up import capacity, windows
from flintridge.lab.record_log import read_records
from flintridge.lab.records import LeaseReported
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import Replace, Scenario, Tenant
from flintridge.policy.endpoint_state import Server
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.server_selection import ServerSelection

MODES = {"off": [], "cold": ["peers={}", "budgets={cold=true}"]}
AT_S = 2.0
LENGTH_S = 13.0
WARMUP_S = 9.0
WORK_MS = 60.0
FIGURES = (
    "fallen",
    "rule",
    "used",
    "most",
    "met",
    "walked",
    "dealt",
    "missed",
    "origin",
    "goodput",
    "p99",
    "borrowed",
)


def scenario_of(args: dict[str, Any], mode: str, skew: float) -> Scenario:
    """The scenario of the given size."""
    base = load("uneven", [f"load.zone_skew={skew}", f"load.rate_per_s={args['rate']}", *MODES[mode]])
    return replace(
        base,
        length_s=LENGTH_S,
        warmup_s=WARMUP_S,
        nodes=replace(base.nodes, count=args["nodes"]),
        servers=(replace(base.servers[0], count=args["servers"]),),
        classes=(replace(base.classes[0], work_ms=WORK_MS, latency_objective_ms=600.0, deadline_ms=2000.0),),
        tenants=(Tenant(name="all", quota_per_s=args["quota"]),),
        faults=(Replace(at_s=AT_S, for_s=0.5, count=args["replaced"]),),
        wall_limit_s=3000.0,
    )


class BudgetChecks:
    """Counts the budget checks of cold servers and their results, without changing any decision.

    Attributes:
        met: The ids of the requests whose walk reached a cold server.
        skipped: The ids of the requests that a cold server's budget did not admit.
        count: Number of checks.
        by_allocation: Number of checks in which the allocation determined the budget.
    """

    def __init__(self) -> None:
        self.met: set[str] = set()
        self.skipped: set[str] = set()
        self.count = 0
        self.by_allocation = 0
        is_within_budget = ServerSelection.is_within_budget

        def check_and_count(
            selection: ServerSelection, server: Server, request: OpenRequest, now: int
        ) -> bool:
            admitted = is_within_budget(selection, server, request, now)
            slow_start = selection.slow_start
            if slow_start.warmth(server.endpoint, now) < 1:
                self.met.add(request.event.id)
                self.count += 1
                if slow_start.node_work() > slow_start.warm_work:
                    self.by_allocation += 1
                if not admitted:
                    self.skipped.add(request.event.id)
            return admitted

        self._is_within_budget = is_within_budget
        setattr(  # noqa: B010  mypy rejects an assignment
            ServerSelection, "is_within_budget", check_and_count
        )

    def close(self) -> None:
        """Restore the original method."""
        setattr(ServerSelection, "is_within_budget", self._is_within_budget)  # noqa: B010


@dataclass(frozen=True)
class ColdLoad:
    """The work at cold servers, as fractions of what the rule `cold` allows in a window.

    Attributes:
        used: The fraction of each server and window.
        most: The greatest fraction of any window that ends with an attempt.
    """

    used: list[float]
    most: float


def cold_load(history: History, scenario: Scenario, cache_attempts: list[AttemptOutcome]) -> ColdLoad:
    """The work that arrived, while they were cold, at servers that started during the run."""
    by_server: dict[str, list[AttemptOutcome]] = {}
    for attempt in cache_attempts:
        by_server.setdefault(attempt.record.server, []).append(attempt)
    rules = scenario.rules
    used = []
    most = 0.0
    for starts in history.server_starts.values():
        for start in (start for start in starts if start.at_ms > 0):
            attempts = [
                attempt
                for attempt in by_server.get(start.server, [])
                if 0 <= attempt.record.at_ms - start.at_ms < start.warm_up_ms
            ]
            for i in range(round(start.warm_up_ms / rules.overload_window_ms)):
                since = start.at_ms + i * rules.overload_window_ms
                until = since + rules.overload_window_ms
                work = sum(
                    attempt.record.work_ms for attempt in attempts if since <= attempt.record.at_ms < until
                )
                used.append(
                    work / (rules.overload_multiple * capacity(start, until) * rules.overload_window_ms)
                )
            for window, work in windows(attempts, rules.overload_window_ms):
                budget = (
                    rules.overload_multiple
                    * capacity(start, window[-1].record.at_ms)
                    * rules.overload_window_ms
                )
                most = max(most, work / budget)
    return ColdLoad(used, most)


def run_job(job: tuple[dict[str, Any], str, float, int]) -> dict[str, Any]:
    """Run a scenario, and return its result row."""
    args, mode, skew, seed = job
    scenario = scenario_of(args, mode, skew)
    checks = BudgetChecks()
    try:
        with TemporaryDirectory() as folder:
            events = Path(folder) / "events"
            result = play(scenario, seed, events=events)
            with events.open("rb") as lines:
                history = History(read_records(lines), scenario, "virtual")
    finally:
        checks.close()
    cache_attempts = [attempt for attempt in history.outcomes.values() if not attempt.record.is_origin]
    load_of_cold = cold_load(history, scenario, cache_attempts)
    reports = [
        record
        for record in history.records
        if isinstance(record, LeaseReported) and record.at_ms > AT_S * 1000
    ]
    borrowed = [report.borrowed for report in reports]
    report_times = {report.at_ms for report in reports}
    outcomes = Counter(attempt.served.outcome for attempt in cache_attempts if attempt.served is not None)
    return {
        "args": args,
        "mode": mode,
        "skew": skew,
        "seed": seed,
        "fallen": sum(map(len, history.server_overloads.values())),
        "rule": result.rules.get("cold", 0),
        "used": mean(load_of_cold.used),
        "most": load_of_cold.most,
        "met": len(checks.met),
        "walked": len(checks.skipped) / max(1, len(checks.met)),
        "dealt": checks.by_allocation / max(1, checks.count),
        "missed": outcomes["miss"] / max(1, len(cache_attempts)),
        "origin": result.origin_per_request,
        "goodput": result.goodput,
        "p99": result.latency_ms.p99,
        "borrowed": sum(borrowed) / (max(1, len(report_times)) * args["nodes"]),
        "ended": result.end_reason,
        "rules": {rule: count for rule, count in result.rules.items() if count},
        "wall_s": result.wall_s,
    }


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--nodes", type=int, default=60)
    parser.add_argument("--servers", type=int, default=60)
    parser.add_argument("--replaced", type=int, default=12)
    parser.add_argument("--rate", type=float, default=600.0)
    parser.add_argument("--quota", type=float, default=0.0)
    parser.add_argument("--skews", default="0,0.4")
    parser.add_argument("--seeds", type=int, default=2)
    harness.add_jobs(parser, 2)
    harness.add_json(parser)
    arguments = parser.parse_args()
    args = {name: getattr(arguments, name) for name in ("nodes", "servers", "replaced", "rate", "quota")}
    skews = [float(skew) for skew in arguments.skews.split(",")]
    jobs = [(args, mode, s, seed) for s in skews for seed in range(1, arguments.seeds + 1) for mode in MODES]
    stored = harness.StoredRows(arguments.json)
    stored.select(["args"], [args])
    known = stored.keys(["mode", "skew", "seed"])
    print(f"{'skew':>5} {'mode':5} {'seed':>4}" + "".join(f"{name:>10}" for name in FIGURES))
    for row in stored.rows:
        print_row(row)
    for row in stored.run_jobs(run_job, [job for job in jobs if job[1:] not in known], arguments.jobs):
        print_row(row)


def print_row(row: dict[str, Any]) -> None:
    """Print a row, with the columns of FIGURES."""
    cells = "".join(f"{row[name]:>10.4g}" for name in FIGURES)
    print(
        f"{row['skew']:>5} {row['mode']:5} {row['seed']:>4}{cells}  {row['ended']} {row['rules']}",
        flush=True,
    )


if __name__ == "__main__":
    main()
