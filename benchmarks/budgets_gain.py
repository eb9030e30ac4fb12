"""What it gains to lend budgets between nodes, beside parts dealt out by one who sees all demand.

    python -m benchmarks.budgets_gain [--days uneven,zones] [--modes even,quotas,floors,oracle] [--seeds 20]
                                      [--jobs 4] [--json FILE]

Days in virtual time, each seed played in each mode. `level` is the same day with even traffic and even parts;
`even` has even parts; `quotas`, `floors` and `oracle` (both) have those budgets dealt out by demand, once a
second. `lent` lends between the nodes, `lent-cut` with all ways between them cut from the start, `lent-third`
with a third of them cut off from 5 s on; `heard` has the peers of those and lends nothing.

`goodput` is of all requests, also those beyond quotas. `due` counts of each tenant what its quota entitles it
to, and of that what it got: `min(got, quota) / min(asked, quota)`, by requests. Intervals: 95%, paired.
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
# From when on (s), and one of how many nodes. The first: before the warm-up, as soon as all nodes are ready
# and before any may have lent.
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


def scenario_of(day: str, mode: str, more: list[str]) -> Scenario:
    """The day in a mode."""
    file = DAYS / f"bench-{day}.toml"
    source = file if file.exists() else day
    scenario = load(source, [*MODES[mode][1], *more])
    if mode == "level":
        tenants = tuple(replace(tenant, zone=None) for tenant in scenario.tenants)
        return replace(scenario, load=replace(scenario.load, zone_skew=0.0), tenants=tenants)
    if mode in CUTS:
        at_s, one_in = CUTS[mode]
        cut = range(0, scenario.nodes.count, one_in)
        # Each of them by itself: cut off from all others, also from those that are cut off.
        ways = [PeerLink(at_s=at_s, for_s=FOR_GOOD_S, nodes=(i,), both=True, cut=True) for i in cut]
        return replace(scenario, faults=(*scenario.faults, *ways))
    return scenario


def play_job(job: tuple[str, str, int, list[str]]) -> dict[str, Any]:
    """A day played: the figures."""
    day, mode, seed, more = job
    scenario = scenario_of(day, mode, more)
    result = play(scenario, seed, allocation=MODES[mode][0])
    sent = sum(tenant.share * tenant.usage for tenant in scenario.tenants)
    owed = got = 0.0
    for tenant in scenario.tenants:
        asked = scenario.load.rate_per_s * tenant.share * tenant.usage / sent
        owed += min(asked, tenant.quota_per_s)
        got += min(asked * result.goodput_by_tenant[tenant.name], tenant.quota_per_s)
    figures = {"goodput": result.goodput, "due": got / owed}
    figures |= {name: share for name, share in sorted(result.goodput_by_tenant.items())}
    rest = {"attempts": result.attempts_per_request, "deferred": result.rejected / result.requests}
    broken = {rule: count for rule, count in result.rules.items() if count}
    return {
        "day": day,
        "mode": mode,
        "seed": seed,
        "set": more,
        **figures,
        **rest,
        "rules": broken,
        "ended": result.end_reason,
    }


def print_rows(day: str, modes: list[str], rows: list[dict[str, Any]]) -> None:
    """Print the means of a day by mode, and how they differ from even parts."""
    names = [name for name in rows[0] if name not in ("day", "mode", "seed", "set", "rules", "ended")]
    by_mode = {mode: [row for row in rows if row["mode"] == mode] for mode in modes}
    same = set.intersection(*({row["seed"] for row in found} for found in by_mode.values()))
    by_mode = {mode: [row for row in found if row["seed"] in same] for mode, found in by_mode.items()}
    print(f"\n{day}, {len(by_mode[modes[0]])} seeds")
    print(f"{'mode':12}" + "".join(f"{name:>11}" for name in names))
    for mode in modes:
        means = [mean([row[name] for row in by_mode[mode]]) for name in names]
        print(f"{mode:12}" + "".join(f"{value:>11.4f}" for value in means))
    for mode in modes:
        if mode == "even" or "even" not in by_mode:
            continue
        print(f"{mode} against even")
        for name in names:
            pairs = [b[name] - a[name] for a, b in zip(by_mode["even"], by_mode[mode], strict=True)]
            low, high = bootstrap(pairs)
            print(f"    {name:12} {mean(pairs):+.4f} ({low:+.4f} to {high:+.4f})")
    for row in rows:
        if row["rules"] or row["ended"] != "whole":
            print(f"seed {row['seed']} {row['mode']}: {row['ended']} {row['rules']}")


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--days", default="uneven,zones")
    parser.add_argument("--modes", default="level,even,quotas,floors,oracle")
    parser.add_argument("--seeds", type=int, default=20)
    harness.add_first_seed(parser)
    harness.add_jobs(parser, 4)
    parser.add_argument("--set", action="append", default=[], help="a change of the day, as of `lab run`")
    harness.add_json(parser)
    arguments = parser.parse_args()
    days = arguments.days.split(",")
    modes = arguments.modes.split(",")
    seeds = range(arguments.first, arguments.first + arguments.seeds)
    jobs = [(day, mode, seed, arguments.set) for day in days for seed in seeds for mode in modes]
    kept = harness.KeptRows(arguments.json)
    kept.select(["set"], [arguments.set])
    known = kept.keys(["day", "mode", "seed"])
    for _ in kept.play(play_job, [job for job in jobs if job[:3] not in known], arguments.jobs):
        pass
    for day in days:
        of_day = [row for row in kept.rows if row["day"] == day]
        print_rows(day, modes, sorted(of_day, key=lambda row: row["seed"]))


if __name__ == "__main__":
    main()
