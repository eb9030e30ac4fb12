"""Cold servers in a large fleet: the work there, and who walks on, by chance and with parts lent.

    python -m benchmarks.budgets_cold [--nodes 60] [--servers 60] [--replaced 12] [--seeds 2] [--jobs 2]
                                      [--skews 0,0.4] [--rate 600] [--quota 0] [--json FILE]

A day of 13 s in virtual time after 9 s of warm-up; so many servers are replaced by new ones, which are cold
for 9 s, at 2 s. `off`: each node keeps within its even part; `cold`: nodes lend parts of it. `--quota` over
all nodes, in requests a second: 0 for none. `--skews`: of the traffic, what the first of two zones gets
beyond its half.

`used`: mean over the servers' six rule windows of the work that came, of the budget of rule 4 at the window's
end; `most`: the greatest of any server and window that ends with an attempt. `met`: requests that came to a
cold server on their walk; `walked`: the part of them that its budget sent on, at any time. `dealt`: of these
looks at a cold server, those in which the part that is lent was more than what the node saw warm servers do,
and so decided. `missed`: attempts at caches that found nothing, of all; `origin`: fetches there for each
request; `borrowed`: even parts a node, the mean of all looks from 2 s on.
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
    """The day of that size."""
    day = load("uneven", [f"load.zone_skew={skew}", f"load.rate_per_s={args['rate']}", *MODES[mode]])
    return replace(
        day,
        length_s=LENGTH_S,
        warmup_s=WARMUP_S,
        nodes=replace(day.nodes, count=args["nodes"]),
        servers=(replace(day.servers[0], count=args["servers"]),),
        classes=(replace(day.classes[0], work_ms=WORK_MS, latency_objective_ms=600.0, deadline_ms=2000.0),),
        tenants=(Tenant(name="all", quota_per_s=args["quota"]),),
        faults=(Replace(at_s=AT_S, for_s=0.5, count=args["replaced"]),),
        wall_limit_s=3000.0,
    )


class Walks:
    """Counts at the decisions where a cold server's budget sent a request on. It changes none of them."""

    def __init__(self) -> None:
        self.met: set[str] = set()
        self.walked: set[str] = set()
        self.looks = 0
        self.dealt = 0
        is_within_budget = ServerSelection.is_within_budget

        def counted(selection: ServerSelection, server: Server, request: OpenRequest, now: int) -> bool:
            free = is_within_budget(selection, server, request, now)
            slow_start = selection.slow_start
            if slow_start.warmth(server.endpoint, now) < 1:
                self.met.add(request.event.id)
                self.looks += 1
                if slow_start.node_work() > slow_start.warm_work:
                    self.dealt += 1
                if not free:
                    self.walked.add(request.event.id)
            return free

        self._is_within_budget = is_within_budget
        setattr(ServerSelection, "is_within_budget", counted)  # noqa: B010  mypy refuses an assignment

    def close(self) -> None:
        """Let the decisions go uncounted again."""
        setattr(ServerSelection, "is_within_budget", self._is_within_budget)  # noqa: B010


@dataclass(frozen=True)
class ColdLoad:
    """The work at cold servers, as fractions of what rule 4 allows in a window.

    Attributes:
        used: By server and window.
        most: The greatest of any window that ends with an attempt.
    """

    used: list[float]
    most: float


def cold_load(day: History, scenario: Scenario, caches: list[AttemptOutcome]) -> ColdLoad:
    """What came to servers that started during the day, while they were cold."""
    by_server: dict[str, list[AttemptOutcome]] = {}
    for sent in caches:
        by_server.setdefault(sent.record.server, []).append(sent)
    rules = scenario.rules
    used = []
    most = 0.0
    for starts in day.server_starts.values():
        for start in (start for start in starts if start.at_ms > 0):
            mine = [
                s
                for s in by_server.get(start.server, [])
                if 0 <= s.record.at_ms - start.at_ms < start.warm_up_ms
            ]
            for i in range(round(start.warm_up_ms / rules.overload_window_ms)):
                since = start.at_ms + i * rules.overload_window_ms
                until = since + rules.overload_window_ms
                work = sum(sent.record.work_ms for sent in mine if since <= sent.record.at_ms < until)
                used.append(
                    work / (rules.overload_multiple * capacity(start, until) * rules.overload_window_ms)
                )
            for window, work in windows(mine, rules.overload_window_ms):
                budget = (
                    rules.overload_multiple
                    * capacity(start, window[-1].record.at_ms)
                    * rules.overload_window_ms
                )
                most = max(most, work / budget)
    return ColdLoad(used, most)


def play_job(job: tuple[dict[str, Any], str, float, int]) -> dict[str, Any]:
    """A day played: the figures."""
    args, mode, skew, seed = job
    scenario = scenario_of(args, mode, skew)
    walks = Walks()
    try:
        with TemporaryDirectory() as folder:
            events = Path(folder) / "events"
            result = play(scenario, seed, events=events)
            with events.open("rb") as lines:
                day = History(read_records(lines), scenario, "virtual")
    finally:
        walks.close()
    caches = [sent for sent in day.outcomes.values() if not sent.record.is_origin]
    load_of_cold = cold_load(day, scenario, caches)
    held = [
        record for record in day.records if isinstance(record, LeaseReported) and record.at_ms > AT_S * 1000
    ]
    lent = [report.borrowed for report in held]
    report_times = {report.at_ms for report in held}
    outcomes = Counter(sent.served.outcome for sent in caches if sent.served is not None)
    return {
        "args": args,
        "mode": mode,
        "skew": skew,
        "seed": seed,
        "fallen": sum(map(len, day.server_overloads.values())),
        "rule": result.rules.get("cold", 0),
        "used": mean(load_of_cold.used),
        "most": load_of_cold.most,
        "met": len(walks.met),
        "walked": len(walks.walked) / max(1, len(walks.met)),
        "dealt": walks.dealt / max(1, walks.looks),
        "missed": outcomes["miss"] / max(1, len(caches)),
        "origin": result.origin_per_request,
        "goodput": result.goodput,
        "p99": result.latency_ms.p99,
        "borrowed": sum(lent) / (max(1, len(report_times)) * args["nodes"]),
        "ended": result.end_reason,
        "rules": {rule: count for rule, count in result.rules.items() if count},
        "wall_s": result.wall_s,
    }


def main() -> None:
    """Play what the arguments ask for and print it."""
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
    kept = harness.KeptRows(arguments.json)
    kept.select(["args"], [args])
    known = kept.keys(["mode", "skew", "seed"])
    print(f"{'skew':>5} {'mode':5} {'seed':>4}" + "".join(f"{name:>10}" for name in FIGURES))
    for row in kept.rows:
        print_row(row)
    for row in kept.play(play_job, [job for job in jobs if job[1:] not in known], arguments.jobs):
        print_row(row)


def print_row(row: dict[str, Any]) -> None:
    """Print a row."""
    figures = "".join(f"{row[name]:>10.4g}" for name in FIGURES)
    print(
        f"{row['skew']:>5} {row['mode']:5} {row['seed']:>4}{figures}  {row['ended']} {row['rules']}",
        flush=True,
    )


if __name__ == "__main__":
    main()
