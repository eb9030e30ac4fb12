"""Measures the gain by leasing fleet-wide limits between nodes, and by an oracle that knows all demand.

    python -m benchmarks.budgets_gain [--days uneven,zones] [--modes even,quotas,floors,oracle] [--seeds 20]
                                      [--jobs 4] [--json FILE]

The runs are in virtual time, each seed in each of these modes:

`level`: even fractions, and even traffic in place of the scenario's.
`even`: even fractions.
`quotas`, `floors`, `oracle` (both): an oracle allocates these limits by demand, once a second.
`heard`: the nodes are peers, but lease nothing.
`lent`: the nodes lease fractions to one another; `lent-quotas` and `lent-floors` only of these limits.
`lent-strict`: as `lent`, with strict quotas.
`lent-cut`: as `lent`, with all links between the nodes cut from the start.
`lent-third`: as `lent`, with a third of the nodes cut off from 5 s on.

`goodput` is that of all requests, including those beyond quotas. `due` is the fraction that tenants got of
the requests that their quotas entitle them to: the sum of `min(got, quota)` over the sum of
`min(asked, quota)`. The intervals are paired 95% confidence intervals.
"""

from pathlib import Path
from typing import Any

from msgspec.structs import replace

from benchmarks import harness
from flintridge.lab.experiment.stats import bootstrap, mean
from flintridge.lab.partial.allocation_oracle import AllocationMode
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load
from flintridge.lab.scenario.model import PeerLink, Scenario

DAYS = Path(__file__).resolve().parent / "days"
FOR_GOOD_S = 100_000.0
# For each mode, the start of the cut in seconds, and n if every nth node is cut off. `lent-cut` starts before
# the warm-up: as soon as all nodes are ready, and before any can have granted a lease.
CUTS = {"lent-cut": (-60.0, 1), "lent-third": (5.0, 3)}
PEERS = "peers={}"
MODES: dict[str, tuple[AllocationMode | None, list[str]]] = {
    "level": (None, []),
    "even": (None, []),
    "quotas": (AllocationMode(tenants=True), []),
    "floors": (AllocationMode(floors=True), []),
    "oracle": (AllocationMode(tenants=True, floors=True), []),
    "heard": (None, [PEERS]),
    "lent": (None, [PEERS, "budgets={tenants=true, floors=true}"]),
    "lent-quotas": (None, [PEERS, "budgets={tenants=true}"]),
    "lent-floors": (None, [PEERS, "budgets={floors=true}"]),
    "lent-strict": (None, [PEERS, "budgets={tenants=true, floors=true, strict=true}"]),
    "lent-cut": (None, [PEERS, "budgets={tenants=true, floors=true}"]),
    "lent-third": (None, [PEERS, "budgets={tenants=true, floors=true}"]),
}


def scenario_of(day: str, mode: str, overrides: list[str]) -> Scenario:
    """The scenario of a mode."""
    file = DAYS / f"bench-{day}.toml"
    source = file if file.exists() else day
    scenario = load(source, [*MODES[mode][1], *overrides])
    if mode == "level":
        tenants = tuple(replace(tenant, zone=None) for tenant in scenario.tenants)
        return replace(scenario, load=replace(scenario.load, zone_skew=0.0), tenants=tenants)
    if mode in CUTS:
        at_s, step = CUTS[mode]
        cut = range(0, scenario.nodes.count, step)
        # A fault for each node, so that the nodes are also cut off from one another.
        faults = [PeerLink(at_s=at_s, for_s=FOR_GOOD_S, nodes=(i,), both=True, cut=True) for i in cut]
        return replace(scenario, faults=(*scenario.faults, *faults))
    return scenario


def run_job(job: tuple[str, str, int, list[str]]) -> dict[str, Any]:
    """Run a scenario, and return its result row."""
    day, mode, seed, overrides = job
    scenario = scenario_of(day, mode, overrides)
    result = play(scenario, seed, allocation=MODES[mode][0])
    usage = sum(tenant.share * tenant.usage for tenant in scenario.tenants)
    entitled = got = 0.0
    for tenant in scenario.tenants:
        asked = scenario.load.rate_per_s * tenant.share * tenant.usage / usage
        entitled += min(asked, tenant.quota_per_s)
        got += min(asked * result.goodput_by_tenant[tenant.name], tenant.quota_per_s)
    goodput = {"goodput": result.goodput, "due": got / entitled}
    goodput |= {name: fraction for name, fraction in sorted(result.goodput_by_tenant.items())}
    rest = {"attempts": result.attempts_per_request, "deferred": result.rejected / result.requests}
    violations = {rule: count for rule, count in result.rules.items() if count}
    return {
        "day": day,
        "mode": mode,
        "seed": seed,
        "set": overrides,
        **goodput,
        **rest,
        "rules": violations,
        "ended": result.end_reason,
    }


def print_rows(day: str, modes: list[str], rows: list[dict[str, Any]]) -> None:
    """Print the means of a scenario by mode, and their differences from the mode `even`."""
    names = [name for name in rows[0] if name not in ("day", "mode", "seed", "set", "rules", "ended")]
    by_mode = {mode: [row for row in rows if row["mode"] == mode] for mode in modes}
    common_seeds = set.intersection(*({row["seed"] for row in of_mode} for of_mode in by_mode.values()))
    by_mode = {
        mode: [row for row in of_mode if row["seed"] in common_seeds] for mode, of_mode in by_mode.items()
    }
    print(f"\n{day}, {len(by_mode[modes[0]])} seeds")
    print(f"{'mode':12}" + "".join(f"{name:>11}" for name in names))
    for mode in modes:
        means = [mean([row[name] for row in by_mode[mode]]) for name in names]
        print(f"{mode:12}" + "".join(f"{value:>11.4f}" for value in means))
    for mode in modes:
        if mode == "even" or "even" not in by_mode:
            continue
        print(f"{mode} compared with even")
        for name in names:
            differences = [b[name] - a[name] for a, b in zip(by_mode["even"], by_mode[mode], strict=True)]
            low, high = bootstrap(differences)
            print(f"    {name:12} {mean(differences):+.4f} ({low:+.4f} to {high:+.4f})")
    for row in rows:
        if row["rules"] or row["ended"] != "whole":
            print(f"seed {row['seed']} {row['mode']}: {row['ended']} {row['rules']}")


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", default="uneven,zones")
    parser.add_argument("--modes", default="level,even,quotas,floors,oracle")
    parser.add_argument("--seeds", type=int, default=20)
    harness.add_first_seed(parser)
    harness.add_jobs(parser, 4)
    parser.add_argument(
        "--set", action="append", default=[], help="overrides a scenario value, as in `lab run`"
    )
    harness.add_json(parser)
    arguments = parser.parse_args()
    days = arguments.days.split(",")
    modes = arguments.modes.split(",")
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    jobs = [(day, mode, seed, arguments.set) for day in days for seed in seeds for mode in modes]
    stored = harness.StoredRows(arguments.json)
    stored.select(["set"], [arguments.set])
    known = stored.keys(["day", "mode", "seed"])
    for _ in stored.run_jobs(run_job, [job for job in jobs if job[:3] not in known], arguments.jobs):
        pass
    for day in days:
        of_day = [row for row in stored.rows if row["day"] == day]
        print_rows(day, modes, sorted(of_day, key=lambda row: row["seed"]))


if __name__ == "__main__":
    main()
