"""Checks that a node which is cut off for a minute under full load uses exactly its even fraction.

    python -m benchmarks.budget_silence --seconds 60

Three real processes with strict quotas run. The one with the most load borrows, then its links to the others
are cut. Its admin API is polled ten times a second. The exit code is 1 if it reported anything but its even
fraction after its leases had expired, or if more requests arrived at the servers than the quota allows.
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


async def check_cut_off_node(seconds: float) -> bool:
    """Whether the node used its even fraction, and the servers got no more than the quota."""
    async with Rig(3, 1, SCENARIO, loaded=True) as rig:
        await rig.wait_until(rig.all_reachable)

        async def usable() -> float:
            response = await rig.request_admin("n0", "/admin/budgets")
            return float("nan") if response is None else response["budgets"][0]["usable"]

        while not await usable() > 1.05:  # noqa: ASYNC110  the admin API can only be polled
            await asyncio.sleep(POLL_S)
        before = await usable()
        rig.cut([0], [1, 2])
        await asyncio.sleep(LEASE_MS * 1.02 / 0.98 / 1000)
        end = time.monotonic() + seconds
        fractions = []
        while time.monotonic() < end:
            fractions.append(await usable())
            await asyncio.sleep(POLL_S)
        findings = Findings(rules.RULES)
        rules.check(History(rig.log, rig.scenario, "loopback"), findings)
    wrong = [fraction for fraction in fractions if fraction != 1.0]
    print(
        f"before the cut {before:g} even fractions; {len(fractions)} polls in {seconds:g} s, not 1: "
        f"{len(wrong)}"
    )
    print("quota_sum:", "; ".join(violation.text for violation in findings.violations) or "kept")
    return not wrong and not findings.violations


def main() -> None:
    """Run the benchmark that the arguments describe, and print the results."""
    parser = harness.argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    sys.exit(not asyncio.run(check_cut_off_node(parser.parse_args().datagram_bytes)))


if __name__ == "__main__":
    main()
