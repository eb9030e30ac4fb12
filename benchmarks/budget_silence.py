"""A node that hears nothing for a minute under full load: does it hold its even part, and no more?

    python -m benchmarks.budget_silence --seconds 60

Three real processes with strict quotas; the crowded one borrows, then its ways are cut. Its console is
asked ten times a second. Exit code 1 if it told anything but its even part once its loans were over, or if
more arrived at the servers than the quota allows.
"""

import asyncio
import sys
import time

from benchmarks import harness
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import fleet_limits as rules
from flintridge.lab.partial.rig import Rig
from flintridge.lab.scenario.model import Budgets, Group, Load, Nodes, Peers, RequestClass, Scenario, Tenant

LEASE_MS = 4_000.0
POLL_S = 0.1
SCENARIO = Scenario(
    name="silence",
    zones=("a", "b"),
    nodes=Nodes(count=3),
    peers=Peers(),
    budgets=Budgets(tenants=True, strict=True, lease_ms=LEASE_MS),
    load=Load(rate_per_s=200.0, zone_skew=0.4),
    length_s=86_400.0,
    warmup_s=0.0,
    classes=(RequestClass(name="read", work_ms=1.0),),
    tenants=(Tenant(name="a", quota_per_s=50.0),),
    servers=(Group(kind="box", count=4),),
)


async def play(seconds: float) -> bool:
    """Whether the node held its even part, and the servers got no more than the quota."""
    async with Rig(3, 1, SCENARIO, loaded=True) as rig:
        await rig.wait_until(rig.all_reachable)

        async def usable() -> float:
            response = await rig.request_admin("n0", "/admin/budgets")
            return float("nan") if response is None else response["budgets"][0]["usable"]

        while not await usable() > 1.05:  # noqa: ASYNC110  the console is all there is to ask
            await asyncio.sleep(POLL_S)
        before = await usable()
        rig.cut([0], [1, 2])
        await asyncio.sleep(LEASE_MS * 1.02 / 0.98 / 1000)
        end = time.monotonic() + seconds
        seen = []
        while time.monotonic() < end:
            seen.append(await usable())
            await asyncio.sleep(POLL_S)
        findings = Findings(rules.RULES)
        rules.check(History(rig.log, rig.scenario, "loopback"), findings)
    wrong = [fraction for fraction in seen if fraction != 1.0]
    print(f"before the cut {before:g} parts; {len(seen)} looks in {seconds:g} s, not 1 part: {len(wrong)}")
    print("quota_sum:", "; ".join(violation.text for violation in findings.violations) or "kept")
    return not wrong and not findings.violations


def main() -> None:
    """Play what the arguments ask for and print it."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    sys.exit(not asyncio.run(play(parser.parse_args().seconds)))


if __name__ == "__main__":
    main()
