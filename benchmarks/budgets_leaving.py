"""Five of ten nodes leave in order, or are killed: what is lost, and what comes back by lending.

    python -m benchmarks.budgets_leaving [--seeds 4] [--first 1] [--jobs 2] [--json FILE]
    python -m benchmarks.budgets_leaving --holdings

Half of the day `uneven` (400 requests a second, three servers, half of the quotas) with even traffic, in
virtual time; the five go at 4 s for good. Each seed is played with even parts and with parts lent, for both
ways to go.
`due` is that of `benchmarks/budgets_gain.py`, here of the requests that were due within each span of seconds.

`--holdings`: lease managers alone: the sum, in even parts, that the five that stay of ten may use, over time.
"""

import tempfile
from collections import Counter, defaultdict
from functools import partial
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from benchmarks import harness
from flintridge.lab.experiment.stats import bootstrap, mean
from flintridge.lab.judge.goodput import request_outcomes
from flintridge.lab.judge.history import History
from flintridge.lab.partial.admin_records import REPORT_INTERVAL_MS
from flintridge.lab.partial.lease_fleet import LeaseProcesses
from flintridge.lab.record_log import read_records
from flintridge.lab.records import LeaseReported
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import NodeKill, NodeRestart, Scenario
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, LeaseTerms

GONE = (0, 1, 2, 3, 4)  # of zones in turn
AT_S = 4.0
LENGTH_S = 16.0
WARMUP_S = 9.0
SPANS = ((0, 4), (4, 5), (5, 6), (6, 8), (8, 10), (10, 12), (12, 16))  # s of the day
MODES = {"even": [], "lent": ["peers={}", "budgets={tenants=true, floors=true}"]}
HOWS = ("killed", "left")
SERVES_ON = 700.0  # ms after a node was told to leave, as `Node.leave` does


def scenario_of(how: str, mode: str) -> Scenario:
    """The day, by how the five go and what is lent."""
    day = load("uneven", ["load.zone_skew=0", "load.rate_per_s=400", "servers[0].count=3", *MODES[mode]])
    gone = (
        NodeKill(at_s=AT_S, for_s=0.0, nodes=GONE)
        if how == "killed"
        else NodeRestart(at_s=AT_S, for_s=100_000.0, nodes=GONE)
    )
    tenants = tuple(replace(tenant, quota_per_s=tenant.quota_per_s / 2) for tenant in day.tenants)
    return replace(day, length_s=LENGTH_S, warmup_s=WARMUP_S, tenants=tenants, faults=(gone,))


def play_job(job: tuple[str, str, int]) -> dict[str, Any]:
    """A day played: goodput and due of each span, and what was lent."""
    how, mode, seed = job
    scenario = scenario_of(how, mode)
    with tempfile.TemporaryDirectory() as folder:
        events = Path(folder) / "events"
        result = play(scenario, seed, events=events)
        with events.open("rb") as lines:
            played = History(read_records(lines), scenario, "virtual")
    outcomes = request_outcomes(played)
    # Of all nodes that run, in even parts of one budget, seconds of the day: of the tenants' three the mean.
    borrowed = [0.0] * int(LENGTH_S)
    for record in played.records:
        if (
            isinstance(record, LeaseReported)
            and 0 <= record.at_ms < LENGTH_S * 1000
            and record.limit_name.startswith("quota")
        ):
            borrowed[int(record.at_ms // 1000)] += (
                record.borrowed * REPORT_INTERVAL_MS / 1000 / len(scenario.tenants)
            )
    asked: Counter[tuple[int, str]] = Counter()
    got: defaultdict[tuple[int, str], float] = defaultdict(float)
    for outcome in outcomes.values():
        for i, (since, until) in enumerate(SPANS):
            if since <= outcome.scheduled_ms / 1000 < until:
                asked[i, outcome.tenant] += 1
                got[i, outcome.tenant] += outcome.achieved_weight / outcome.offered_weight
    found: dict[str, Any] = {"how": how, "mode": mode, "seed": seed, "goodput": [], "due": []}
    for i, (since, until) in enumerate(SPANS):
        all_got = sum(got[i, tenant.name] for tenant in scenario.tenants)
        all_asked = sum(asked[i, tenant.name] for tenant in scenario.tenants)
        quotas = {tenant.name: tenant.quota_per_s * (until - since) for tenant in scenario.tenants}
        owed = sum(min(asked[i, name], quota) for name, quota in quotas.items())
        found["goodput"].append(all_got / all_asked)
        found["due"].append(sum(min(got[i, name], quota) for name, quota in quotas.items()) / owed)
    broken = {rule: count for rule, count in result.rules.items() if count}
    return found | {"rules": broken, "ended": result.end_reason, "borrowed": borrowed}


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print the means of each span, and what lending gains in it."""
    heads = "".join(f"{f'{since}-{until} s':>10}" for since, until in SPANS)
    for figure in ("goodput", "due"):
        print(f"\n{figure:18}{heads}")
        for how in HOWS:
            of = {mode: [r for r in rows if (r["how"], r["mode"]) == (how, mode)] for mode in MODES}
            for mode, found in of.items():
                means = (mean([row[figure][i] for row in found]) for i in range(len(SPANS)))
                print(f"{how + ' ' + mode:18}" + "".join(f"{value:>10.3f}" for value in means))
            print("    lent less even:")
            for i, (since, until) in enumerate(SPANS):
                pairs = [b[figure][i] - a[figure][i] for a, b in zip(of["even"], of["lent"], strict=True)]
                low, high = bootstrap(pairs)
                print(f"    {since}-{until} s {mean(pairs):+.3f} ({low:+.3f} to {high:+.3f})")
    for row in rows:
        if row["mode"] == "lent" or row["rules"] or row["ended"] != "whole":
            parts = [round(parts, 2) for parts in row["borrowed"]]
            print(row["how"], row["mode"], row["seed"], row["ended"], row["rules"], "borrowed", parts)


def holdings() -> None:
    """Five of ten nodes go at 20 s: what the five others may use, in even parts."""
    heads = "".join(f"{how + ', ' + kind:>22}" for how in HOWS for kind in NEEDS)
    print(f"ms after   {heads}")
    columns = [list(usable(how, *needs)) for how in HOWS for needs in NEEDS.values()]
    for i, after in enumerate(AFTER):
        print(f"{after:8}   " + "".join(f"{column[i]:>22.2f}" for column in columns))


# What those need that stay, and those that go: before, and those that stay after it.
NEEDS = {"even": (0.9, 0.9, 1.8), "lenders go": (1.8, 0.2, 1.8), "borrowers go": (0.2, 1.8, 0.4)}
AFTER = (-100, 100, 500, 1000, 2000, 3000, 4000, 5000, 8000, 15000)  # ms


def usable(how: str, stay: float, go: float, then: float) -> list[float]:
    """The sum that those that stay may use, in even fractions, at each of AFTER."""
    fleet = LeaseProcesses(10, 1, LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_000.0))
    for i, name in enumerate(fleet.names):
        fleet.set_demand(name, go if i in GONE else stay)
    fleet.run(20_000.0 + AFTER[0])
    staying = [name for i, name in enumerate(fleet.names) if i not in GONE]
    sums = [sum(fleet.usable(name) for name in staying)]
    fleet.run(-AFTER[0])
    for name in [fleet.names[i] for i in GONE]:
        if how == "killed":
            fleet.kill(name)
            continue
        fleet.manager(name).begin_shutdown(fleet.living(name)[-1].clock(fleet.now))
        fleet.at(fleet.now + SERVES_ON, partial(fleet.leave, name))
    for name in staying:
        fleet.set_demand(name, then)
    for after in AFTER[1:]:
        fleet.run(20_000.0 + after - fleet.now)
        sums.append(sum(fleet.usable(name) for name in staying))
    assert not fleet.violations, fleet.violations[0]
    return sums


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    harness.add_first_seed(parser)
    harness.add_jobs(parser, 2)
    harness.add_json(parser)
    parser.add_argument("--holdings", action="store_true", help="lease managers alone")
    arguments = parser.parse_args()
    if arguments.holdings:
        holdings()
        return
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    jobs = [(how, mode, seed) for seed in seeds for how in HOWS for mode in MODES]
    kept = harness.KeptRows(arguments.json)
    known = kept.keys(["how", "mode", "seed"])
    for _ in kept.play(play_job, [job for job in jobs if job not in known], arguments.jobs):
        pass
    print_rows(sorted((row for row in kept.rows if row["seed"] in seeds), key=lambda row: row["seed"]))


if __name__ == "__main__":
    main()
