"""Real processes that lease one another fractions of limits, over relays that inject faults.

The sum is checked from outside, by the requests that arrive at the stand-in servers under strict quotas and
by the responses of the admin APIs. No result depends on how long something takes: each test waits until it
observes the expected state.
"""

import asyncio
import json
import os
from dataclasses import dataclass

import pytest

from flintridge.lab.partial.rig import Rig
from flintridge.lab.records import AttemptReceived, DatagramRelayed, RequestSent
from flintridge.lab.scenario.model import Group, Load, Nodes, Peers, RequestClass, Scenario, Tenant

LEASE_MS = 1_500.0
GRANTOR_LEASE_MS = LEASE_MS * 1.02 / 0.98
QUOTA = 40.0  # configured requests a second; the limit of all nodes together is 60
TABLE = {"tenants": True, "strict": True, "lease_ms": LEASE_MS}
NAME = "quota a"


def scenario(count: int, rate_per_s: float) -> Scenario:
    """A scenario with all of the load at the first half of the nodes; high rates exceed their fractions."""
    return Scenario(
        name="rig", zones=("a", "b"), nodes=Nodes(count=count), peers=Peers(),
        load=Load(rate_per_s=rate_per_s, zone_skew=0.5), length_s=3600.0, warmup_s=0.0,
        classes=(RequestClass(name="read", work_ms=1.0),), tenants=(Tenant(name="a", quota_per_s=QUOTA),),
        servers=(Group(kind="box", count=4),),
    )  # fmt: skip


def run(count, check, rate_per_s=0.5, table=None, expect_no_breaches=True, prepare=lambda rig: None):
    """Run `check(rig)` with `count` nodes, after `prepare(rig)`.

    With the default table [budgets], also check that the requests that arrived are within the quota.
    """

    async def run_rig():
        tables = {"budgets": TABLE | (table or {})}
        rig = Rig(count, 3, scenario(count, rate_per_s), tables, loaded=True)
        prepare(rig)
        async with rig:
            await rig.wait_until(rig.all_reachable)
            await check(rig)
            assert table or excesses(rig, count) == []
            assert not expect_no_breaches or [breach.text for breach in rig.violations()] == []
            assert not rig.nodes.unexpected_ends
            pids = [rig.nodes.pid(name) for name in rig.names]
        for pid in pids:
            with pytest.raises(ProcessLookupError):
                os.kill(pid, 0)

    asyncio.run(asyncio.wait_for(run_rig(), 150))


def arrivals(rig) -> list[float]:
    """Times at which each request first reached a server, whichever node sent it."""
    requested = {record.request_id for record in rig.log if isinstance(record, RequestSent)}
    first = {}
    for record in rig.log:
        if isinstance(record, AttemptReceived) and record.request_id in requested:
            first.setdefault(record.request_id, record.at_ms)
    return sorted(first.values())


@dataclass(frozen=True)
class Excess:
    """A window in which more requests arrived than allowed."""

    ended_at: float
    arrivals: int


def excesses(rig, processes: int) -> list[Excess]:
    """Windows of T seconds with more arrivals than allowed: 1.5 x quota x T, and one bucket for each process.

    A bucket holds 8 requests, or as many as its process may send in a second. Each process that ever ran has
    one, also those of the same name that followed one another.
    """
    times = arrivals(rig)
    found = []
    incarnations = processes + sum(1 for started in rig.nodes.processes.values() for _ in started[1:])
    for seconds in (1, 2, 5, 10):
        maximum = 1.5 * QUOTA * (seconds + 0.1) + 8 * incarnations + 1.5 * QUOTA
        begin = 0
        for end, at in enumerate(times):
            while times[begin] < at - seconds * 1000:
                begin += 1
            if end - begin + 1 > maximum:
                found.append(Excess(at, end - begin + 1))
    return found[:3]


async def limit_status(rig, node: str) -> dict:
    """The first limit in a node's GET /admin/budgets; empty if the node does not respond."""
    body = await rig.request_admin(node, "/admin/budgets")
    return {} if body is None else body["budgets"][0] | {"counts": body["counts"], "alone": body["alone"]}


async def wait_for_status(rig, node: str, condition) -> dict:
    """Wait until `condition` is true of a node's first limit in its admin API, and return that limit."""
    async with asyncio.timeout(40):
        status = await limit_status(rig, node)
        while not status or not condition(status):
            await asyncio.sleep(0.05)
            status = await limit_status(rig, node)
    return status


def has_granted(status: dict) -> bool:
    """Whether the node has granted a lease."""
    return bool(status["lent"])


def has_acquired(status: dict) -> bool:
    """Whether the node may use more than its even fraction."""
    return status["usable"] > 1.05


def has_even_fraction(status: dict) -> bool:
    """Whether the node may use its even fraction, and has neither granted nor acquired a lease."""
    return status["usable"] == 1.0 and not status["lent"] and not status["borrowed"]


def at_message(kind: str, source: str, target: str | None, action, nth: int = 1):
    """Prepare a call of `action(rig)` when the n-th such message to a node (None: to any) is relayed."""

    def prepare(rig):
        remaining = nth

        def watch(record):
            nonlocal remaining
            matches = isinstance(record, DatagramRelayed) and record.source == source
            if matches and target in (None, record.target) and kind in record.lease_messages and remaining:
                remaining -= 1
                if not remaining:
                    action(rig)

        rig.log.watch(watch)

    return prepare


def test_busy_node_when_others_are_idle_acquires_leases_and_the_quota_holds():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        await wait_for_status(rig, "n1", has_granted)
        begin = rig.fabric.clock.now()
        await rig.wait_until(lambda: rig.fabric.clock.now() > begin + 4_000)
        # More than the even fractions and the buckets of the two busy nodes allow.
        assert sum(begin < at <= begin + 4_000 for at in arrivals(rig)) > 4 * 30 + 30
        # A partition while leases are in use: once they have expired, each node has its even fraction and may
        # lease within its side.
        rig.cut([0, 2], [1, 3])
        for name in ("n1", "n3"):
            await wait_for_status(rig, name, has_even_fraction)
        rig.heal()
        await wait_for_status(rig, "n0", has_acquired)

    run(4, check, rate_per_s=100.0)


def test_lessee_when_stopped_past_its_leases_expiry_resumes_with_its_even_fraction():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        rig.nodes.pause("n0")
        for name in ("n1", "n3"):
            await wait_for_status(
                rig, name, lambda status: not any(lease["to"] == "n0" for lease in status["lent"])
            )
        rig.cut([0], [1, 2, 3])
        rig.nodes.resume("n0")  # it then receives all that was sent to it during the pause
        resumed = await wait_for_status(rig, "n0", lambda status: True)
        assert resumed["usable"] <= 1.0
        assert not resumed["borrowed"]

    run(4, check, rate_per_s=100.0)


def test_grant_when_lost_counts_as_granted_until_its_expiry():
    async def check(rig):
        grantor = await wait_for_status(rig, "n1", has_granted)
        lessee = await limit_status(rig, "n0")
        assert lessee["usable"] <= 1.0
        assert grantor["usable"] < 1.0
        await wait_for_status(rig, "n1", has_even_fraction)

    run(
        2,
        check,
        rate_per_s=80.0,
        prepare=at_message("ask", "n0", "n1", lambda rig: rig.cut([1], [0], both=False)),
    )


def test_grantor_when_killed_between_debit_and_grant_restarts_with_its_floor():
    async def check(rig):
        await rig.nodes.ended("n1")
        assert (await limit_status(rig, "n0"))["usable"] <= 1.0
        rig.heal()
        await rig.runner.start("n1")
        restarted = await wait_for_status(rig, "n1", lambda status: True)
        assert restarted["usable"] == restarted["own"] == 0.25
        await wait_for_status(rig, "n1", lambda status: status["own"] == 1.0)

    def prepare(rig):
        at_message("ask", "n0", "n1", lambda rig: rig.cut([1], [0], both=False))(rig)
        # By then n1 has deducted the lease, and nobody has received the grant.
        at_message("grant", "n1", "n0", lambda rig: rig.kill("n1"))(rig)

    run(2, check, rate_per_s=80.0, prepare=prepare)


def test_grantor_when_killed_after_its_grant_has_its_floor_until_the_lease_expires():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        rig.kill("n1")
        await rig.nodes.ended("n1")
        await rig.runner.start("n1")
        # Only the lessee has a record of the previous incarnation's lease. The sum of both never exceeds 2.
        while True:
            grantor = await limit_status(rig, "n1")
            lessee = await limit_status(rig, "n0")
            if grantor and lessee:
                assert grantor["usable"] + lessee["usable"] <= 2 + 1e-9, (grantor, lessee)
                if grantor["own"] == 1.0:
                    break
            await asyncio.sleep(0.05)
        await wait_for_status(rig, "n0", has_acquired)

    run(2, check, rate_per_s=80.0)


@pytest.mark.parametrize(
    "wrong", [{"duplication": 1.0, "jitter_ms": 100}, {"added_delay_ms": 1.2 * LEASE_MS}, {"loss": 0.3}]
)
def test_grants_when_duplicated_late_or_lost_never_exceed_the_limit(wrong):
    async def check(rig):
        if "added_delay_ms" in wrong:
            status = await wait_for_status(
                rig, "n0", lambda status: status["counts"].get("unanswered", 0) >= 2
            )
            counts = status["counts"]
            # All leases had expired when their grants arrived.
            assert not counts.get("granted")
            assert not counts.get("renewed")
            assert (await limit_status(rig, "n0"))["usable"] <= 1.0
        else:
            await wait_for_status(rig, "n0", lambda status: status["counts"].get("renewed", 0) >= 3)
        rig.heal()
        await wait_for_status(rig, "n0", has_acquired)

    def inject_faults(rig):
        rig.set_link_faults([1, 2], [0], both=False, **wrong)

    # From n0's first request on. Which node receives it depends on which process gets its load first.
    run(3, check, rate_per_s=100.0, prepare=at_message("ask", "n0", None, inject_faults))


@pytest.mark.parametrize("both", [True, False])
def test_leases_when_the_lessee_is_cut_off_between_grants_expire_and_are_acquired_again(both):
    async def check(rig):
        for name in rig.names[1:]:
            await wait_for_status(
                rig, name, lambda status: not any(lease["to"] == "n0" for lease in status["lent"])
            )
        assert (await wait_for_status(rig, "n0", lambda status: not status["borrowed"]))["usable"] <= 1.0
        rig.heal()
        await wait_for_status(rig, "n0", has_acquired)

    def cut(rig):
        rig.cut([0], [1, 2, 3], both=both)

    run(4, check, rate_per_s=100.0, prepare=at_message("grant", "n1", "n0", cut, nth=2))


def test_nodes_when_all_restart_at_once_begin_with_their_floors():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        for name in rig.names:
            rig.kill(name)
        await asyncio.gather(*(rig.nodes.ended(name) for name in rig.names))
        for name in rig.names:
            await rig.runner.start(name)
        for name in rig.names:
            assert (await wait_for_status(rig, name, lambda status: True))["usable"] <= 1.0
        await rig.wait_until(rig.all_reachable)
        await wait_for_status(rig, "n0", has_acquired)

    run(4, check, rate_per_s=100.0)


def test_processes_of_one_node_when_both_run_use_half_each_and_grant_nothing():
    async def check(rig):
        await wait_for_status(rig, "n0", lambda status: status["own"] == 1.0)
        host, _ = rig.fabric.address("listen", "n0")
        port = rig.network.admin_address("n0")[1] + 1
        second_process = await rig.nodes.start_beside("n0", f"{host}:{port}")
        await wait_for_status(rig, "n0", lambda status: not status["alone"])
        assert (await limit_status(rig, "n0"))["usable"] <= 0.5
        await rig.wait_until(
            lambda: rig.log_lines("leases_process_joined", "n0")
            and rig.log_lines("leases_process_joined", second_process)
        )
        rig.nodes.term("n0")
        await rig.wait_until(lambda: rig.log_lines("leases_process_left", second_process))

    run(2, check, expect_no_breaches=False)  # the judge of peers expects one process for each node


def test_processes_of_one_node_when_three_run_use_a_third_each():
    """Guards against the second and the third process both using the half that two processes have."""

    async def check(rig):
        await wait_for_status(rig, "n0", lambda status: status["own"] == 1.0)
        host, _ = rig.fabric.address("listen", "n0")
        first_port = rig.network.admin_address("n0")[1] + 1
        others = []
        for port in (first_port, first_port + 1):
            others.append(await rig.nodes.start_beside("n0", f"{host}:{port}"))
            await rig.wait_until(lambda: rig.log_lines("leases_process_joined", others[-1]))
        await wait_for_status(rig, "n0", lambda status: status["usable"] <= 1 / 3)
        rig.nodes.term("n0")
        for process in others:
            await rig.wait_until(lambda process=process: rig.log_lines("leases_process_left", process))

    run(2, check, expect_no_breaches=False)  # the judge of peers expects one process for each node


def test_nodes_when_a_limits_size_differs_lease_one_another_nothing():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        rig.network.node_tables["n1"] = {"tenants": [{"name": "a", "quota_per_s": QUOTA / 2, "share": 1.0}]}
        rig.nodes.reload("n1", rig.fleet.node_config("n1"))
        await rig.wait_until(lambda: rig.log_lines("reloaded", "n1"))
        assert "settings" in json.loads(rig.log_lines("reloaded", "n1")[0].fields)["until_restart"]
        status = await limit_status(rig, "n1")
        assert status["whole"] == 1.5 * QUOTA  # unchanged: a new quota takes effect at a restart
        rig.kill("n1")
        await rig.nodes.ended("n1")
        await rig.runner.start("n1")
        await rig.wait_until(lambda: rig.log_lines("lease_terms_differ", "n0"))
        await wait_for_status(rig, "n0", lambda status: not status["borrowed"] and status["usable"] == 1.0)
        assert (await wait_for_status(rig, "n1", lambda status: status["own"] == 1.0))[
            "whole"
        ] == 0.75 * QUOTA

    run(2, check, rate_per_s=80.0)


def test_isolated_node_under_full_load_has_its_even_fraction():
    async def check(rig):
        await wait_for_status(rig, "n0", has_acquired)
        rig.cut([0], [1, 2])
        await wait_for_status(rig, "n0", has_even_fraction)
        begin = rig.fabric.clock.now()
        while rig.fabric.clock.now() < begin + 4 * GRANTOR_LEASE_MS:  # benchmarks/budget_silence.py: a minute
            assert (await wait_for_status(rig, "n0", lambda status: True))["usable"] == 1.0
            await asyncio.sleep(0.1)

    run(3, check, rate_per_s=100.0)


def test_permits_at_the_origin_under_load_never_exceed_the_limit():
    async def check(rig):
        await wait_for_status(
            rig, "n0", lambda status: status["name"] == "origin places" and status["own"] == 1.0
        )
        begin = rig.fabric.clock.now()
        await rig.wait_until(
            lambda: sum(isinstance(record, AttemptReceived) and record.is_origin for record in rig.log) > 200
        )
        assert rig.fabric.clock.now() > begin
        assert most_at_origin(rig) <= 6

    table = {"tenants": False, "strict": False, "origin_places": 6, "lease_ms": 5_000.0}
    run(3, check, rate_per_s=80.0, table=table)


def most_at_origin(rig) -> int:
    """Most attempts in flight at the origin, over all nodes, as the origin saw them begin and end."""
    in_flight, most = set(), 0
    for record in rig.log:
        if isinstance(record, AttemptReceived) and record.is_origin:
            in_flight.add(record.attempt_id)
            most = max(most, len(in_flight))
        elif hasattr(record, "attempt_id"):
            in_flight.discard(record.attempt_id)
    return most
