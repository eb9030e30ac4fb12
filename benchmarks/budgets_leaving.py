"""Measures what is lost when five of ten nodes are shut down or killed, and what leasing recovers.

    python -m benchmarks.budgets_leaving [--seeds 4] [--first 1] [--jobs 2] [--json FILE]
    python -m benchmarks.budgets_leaving --holdings

The runs are in virtual time, in half of the scenario `uneven` (400 requests per second, three servers, half
of the quotas) with even traffic. The five nodes end at 4 s and don't return. Each seed is run with even
fractions and with leases, and both with an orderly shutdown (`left`) and with a kill (`killed`).
`due` is that of `benchmarks/budgets_gain.py`, for the requests that were scheduled within each span of time.

`--holdings` runs lease managers alone, and prints the sum, in even fractions, that the five remaining nodes
may use over time.
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

REMOVED = (0, 1, 2, 3, 4)  # indexes of the nodes that end; consecutive nodes are of different zones
AT_S = 4.0
LENGTH_S = 16.0
WARMUP_S = 9.0
SPANS = ((0, 4), (4, 5), (5, 6), (6, 8), (8, 10), (10, 12), (12, 16))  # seconds of the run
MODES = {"even": [], "lent": ["peers={}", "budgets={tenants=true, floors=true}"]}
HOWS = ("killed", "left")
SERVES_ON_MS = 700.0  # how long a node still serves after its shutdown has begun, as with `Node.leave`


def scenario_of(how: str, mode: str) -> Scenario:
    """The scenario, by the way the five nodes end and by the mode."""
    base = load("uneven", ["load.zone_skew=0", "load.rate_per_s=400", "servers[0].count=3", *MODES[mode]])
    fault = (
        NodeKill(at_s=AT_S, for_s=0.0, nodes=REMOVED)
        if how == "killed"
        else NodeRestart(at_s=AT_S, for_s=100_000.0, nodes=REMOVED)
    )
    tenants = tuple(replace(tenant, quota_per_s=tenant.quota_per_s / 2) for tenant in base.tenants)
    return replace(base, length_s=LENGTH_S, warmup_s=WARMUP_S, tenants=tenants, faults=(fault,))


def run_job(job: tuple[str, str, int]) -> dict[str, Any]:
    """Run a scenario, and return its row: goodput and `due` of each span, and what was borrowed."""
    how, mode, seed = job
    scenario = scenario_of(how, mode)
    with tempfile.TemporaryDirectory() as folder:
        events = Path(folder) / "events"
        result = play(scenario, seed, events=events)
        with events.open("rb") as lines:
            history = History(read_records(lines), scenario, "virtual")
    outcomes = request_outcomes(history)
    # By second of the run: the sum that all running nodes have borrowed of a quota, in even fractions, as the
    # mean over the quotas of the three tenants.
    borrowed = [0.0] * int(LENGTH_S)
    for record in history.records:
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
    row: dict[str, Any] = {"how": how, "mode": mode, "seed": seed, "goodput": [], "due": []}
    for i, (since, until) in enumerate(SPANS):
        all_got = sum(got[i, tenant.name] for tenant in scenario.tenants)
        all_asked = sum(asked[i, tenant.name] for tenant in scenario.tenants)
        quotas = {tenant.name: tenant.quota_per_s * (until - since) for tenant in scenario.tenants}
        entitled = sum(min(asked[i, name], quota) for name, quota in quotas.items())
        row["goodput"].append(all_got / all_asked)
        row["due"].append(sum(min(got[i, name], quota) for name, quota in quotas.items()) / entitled)
    violations = {rule: count for rule, count in result.rules.items() if count}
    return row | {"rules": violations, "ended": result.end_reason, "borrowed": borrowed}


def print_rows(rows: list[dict[str, Any]]) -> None:
    """Print the means of each span, and the gain by leasing in it."""
    heads = "".join(f"{f'{since}-{until} s':>10}" for since, until in SPANS)
    for figure in ("goodput", "due"):
        print(f"\n{figure:18}{heads}")
        for how in HOWS:
            by_mode = {
                mode: [row for row in rows if (row["how"], row["mode"]) == (how, mode)] for mode in MODES
            }
            for mode, of_mode in by_mode.items():
                means = (mean([row[figure][i] for row in of_mode]) for i in range(len(SPANS)))
                print(f"{how + ' ' + mode:18}" + "".join(f"{value:>10.3f}" for value in means))
            print("    lent minus even:")
            for i, (since, until) in enumerate(SPANS):
                differences = [
                    b[figure][i] - a[figure][i] for a, b in zip(by_mode["even"], by_mode["lent"], strict=True)
                ]
                low, high = bootstrap(differences)
                print(f"    {since}-{until} s {mean(differences):+.3f} ({low:+.3f} to {high:+.3f})")
    for row in rows:
        if row["mode"] == "lent" or row["rules"] or row["ended"] != "whole":
            fractions = [round(fraction, 2) for fraction in row["borrowed"]]
            print(row["how"], row["mode"], row["seed"], row["ended"], row["rules"], "borrowed", fractions)


def print_usable_sums() -> None:
    """Print what the remaining five of ten nodes may use, in even fractions, when the others end at 20 s."""
    heads = "".join(f"{how + ', ' + kind:>22}" for how in HOWS for kind in DEMANDS)
    print(f"ms after   {heads}")
    columns = [list(usable_sums(how, *demands)) for how in HOWS for demands in DEMANDS.values()]
    for i, after in enumerate(AFTER_MS):
        print(f"{after:8}   " + "".join(f"{column[i]:>22.2f}" for column in columns))


# Demands per node in even fractions: of the nodes that stay and of those that end, until these end; and
# afterwards of the nodes that stay.
DEMANDS = {"even": (0.9, 0.9, 1.8), "lenders go": (1.8, 0.2, 1.8), "borrowers go": (0.2, 1.8, 0.4)}
# When the sums are taken, in milliseconds after the nodes end.
AFTER_MS = (-100, 100, 500, 1000, 2000, 3000, 4000, 5000, 8000, 15000)


def usable_sums(
    how: str, staying_demand: float, removed_demand: float, staying_demand_after: float
) -> list[float]:
    """The sum that the remaining nodes may use, in even fractions, at each of AFTER_MS."""
    fleet = LeaseProcesses(10, 1, LeaseTerms(EVEN_FRACTION_UNITS, 250, 4_000.0))
    for i, name in enumerate(fleet.names):
        fleet.set_demand(name, removed_demand if i in REMOVED else staying_demand)
    fleet.run(20_000.0 + AFTER_MS[0])
    staying = [name for i, name in enumerate(fleet.names) if i not in REMOVED]
    sums = [sum(fleet.usable(name) for name in staying)]
    fleet.run(-AFTER_MS[0])
    for name in [fleet.names[i] for i in REMOVED]:
        if how == "killed":
            fleet.kill(name)
            continue
        fleet.manager(name).begin_shutdown(fleet.living(name)[-1].clock(fleet.now))
        fleet.at(fleet.now + SERVES_ON_MS, partial(fleet.leave, name))
    for name in staying:
        fleet.set_demand(name, staying_demand_after)
    for after in AFTER_MS[1:]:
        fleet.run(20_000.0 + after - fleet.now)
        sums.append(sum(fleet.usable(name) for name in staying))
    assert not fleet.violations, fleet.violations[0]
    return sums


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--seeds", type=int, default=4)
    harness.add_first_seed(parser)
    harness.add_jobs(parser, 2)
    harness.add_json(parser)
    parser.add_argument("--holdings", action="store_true", help="run lease managers alone")
    arguments = parser.parse_args()
    if arguments.holdings:
        print_usable_sums()
        return
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    jobs = [(how, mode, seed) for seed in seeds for how in HOWS for mode in MODES]
    stored = harness.StoredRows(arguments.json)
    known = stored.keys(["how", "mode", "seed"])
    for _ in stored.run_jobs(run_job, [job for job in jobs if job not in known], arguments.jobs):
        pass
    print_rows(sorted((row for row in stored.rows if row["seed"] in seeds), key=lambda row: row["seed"]))


if __name__ == "__main__":
    main()
