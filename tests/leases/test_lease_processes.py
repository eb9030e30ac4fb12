"""Real processes that lend one another parts of budgets, over relays that fail. The sum is looked at from
outside: what arrives at the stand-in servers under strict quotas, and what consoles tell. No verdict rests on
how long a thing took; each test waits for what it wants to see."""

import asyncio
import json
import subprocess

import pytest

from flintridge.lab.partial.rig import Rig
from flintridge.lab.records import Asked, Attempt, Datagram
from flintridge.lab.scenario.model import Group, Load, Nodes, Peers, RequestClass, Scenario, Tenant

LEASE = 1_500.0
LASTS = LEASE * 1.02 / 0.98
QUOTA = 40.0  # 60 a second over all nodes
TABLE = {"tenants": True, "strict": True, "lease_ms": LEASE}
NAME = "quota a"


def world(count: int, rate: float) -> Scenario:
    """All of the load at the first half of the nodes, which is more than all even parts of these."""
    return Scenario(
        name="rig", zones=("a", "b"), nodes=Nodes(count=count), peers=Peers(),
        load=Load(rate_per_s=rate, zone_skew=0.5), length_s=3600.0, warmup_s=0.0,
        classes=(RequestClass(name="read", work_ms=1.0),), tenants=(Tenant(name="a", quota_per_s=QUOTA),),
        servers=(Group(kind="box", count=4),),
    )  # fmt: skip


def run(count, work, rate=0.5, table=None, quiet=True, aim=lambda rig: None):
    """`work(rig)` with so many nodes; what arrived keeps the quota. `aim` comes before they start."""

    async def play():
        tables = {"budgets": TABLE | (table or {})}
        rig = Rig(count, 3, world(count, rate), tables, loaded=True)
        aim(rig)
        async with rig:
            await rig.until(rig.all_hear)
            await work(rig)
            assert table or over(rig, count) == []
            assert not quiet or [breach.text for breach in rig.breaches()] == []
            assert not rig.nodes.unexpected
            pids = [rig.nodes.pid(name) for name in rig.names]
        for pid in pids:
            assert subprocess.run(["kill", "-0", str(pid)], capture_output=True).returncode != 0

    asyncio.run(asyncio.wait_for(play(), 150))


def arrivals(rig) -> list[float]:
    """When each request first reached a server, whichever node sent it."""
    asked = {one.uid for one in rig.log if isinstance(one, Asked)}
    first = {}
    for one in rig.log:
        if isinstance(one, Attempt) and one.uid in asked:
            first.setdefault(one.uid, one.t)
    return sorted(first.values())


def over(rig, processes: int) -> list[tuple[float, int]]:
    """Windows in which more arrived than the budget: 1.5 x quota x T, and a bucket (8, or a second's worth of
    what it holds) for each process that ever was; of those of one name that followed one another as well."""
    times, found = arrivals(rig), []
    lives = processes + sum(1 for one in rig.nodes._lives.values() for _ in one[1:])
    for seconds in (1, 2, 5, 10):
        most = 1.5 * QUOTA * (seconds + 0.1) + 8 * lives + 1.5 * QUOTA
        begin = 0
        for end, at in enumerate(times):
            while times[begin] < at - seconds * 1000:
                begin += 1
            if end - begin + 1 > most:
                found.append((at, end - begin + 1))
    return found[:3]


async def budget(rig, node: str) -> dict:
    said = await rig.console(node, "/admin/budgets")
    return {} if said is None else said["budgets"][0] | {"counts": said["counts"], "alone": said["alone"]}


async def seen(rig, node: str, holds) -> dict:
    """Wait until that holds of a node's budget as its console tells it."""
    async with asyncio.timeout(40):
        while not ((one := await budget(rig, node)) and holds(one)):
            await asyncio.sleep(0.05)
    return one


def lending(one: dict) -> bool:
    return bool(one["lent"])


def borrowing(one: dict) -> bool:
    return one["usable"] > 1.05


def even(one: dict) -> bool:
    return one["usable"] == 1.0 and not one["lent"] and not one["borrowed"]


def at_word(word: str, source: str, target: str | None, deed, nth: int = 1):
    """An aim: `deed(rig)` the moment the n-th such word from one node to another (None: to any) passes the
    relay."""

    def aim(rig):
        left = [nth]

        def look(record):
            same = isinstance(record, Datagram) and record.source == source
            if same and target in (None, record.target) and word in record.words and left[0]:
                left[0] -= 1
                if not left[0]:
                    deed(rig)

        rig.log.watch(look)

    return aim


def test_a_crowded_node_uses_what_others_do_not_need_and_the_quota_holds():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        await seen(rig, "n1", lending)
        begin = rig.fabric.clock.now()
        await rig.until(lambda: rig.fabric.clock.now() > begin + 4_000)
        # More than the even parts of the two crowded nodes come to, with their buckets.
        assert sum(begin < at <= begin + 4_000 for at in arrivals(rig)) > 4 * 30 + 30
        # Cut off while they borrow: within the loans' time each has its even part, and lends within its side.
        rig.cut([0, 2], [1, 3])
        for name in ("n1", "n3"):
            await seen(rig, name, even)
        rig.heal()
        await seen(rig, "n0", borrowing)

    run(4, work, rate=100.0)


def test_a_borrower_that_is_stopped_past_its_loans_end_wakes_with_its_even_part():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        rig.nodes.pause("n0")
        for name in ("n1", "n3"):
            await seen(rig, name, lambda one: not any(loan["to"] == "n0" for loan in one["lent"]))
        rig.cut([0], [1, 2, 3])
        rig.nodes.resume("n0")  # with all that was sent to it meanwhile
        woken = await seen(rig, "n0", lambda one: True)
        assert woken["usable"] <= 1.0 and not woken["borrowed"]

    run(4, work, rate=100.0)


def test_a_grant_that_is_lost_stays_lent_until_its_end():
    async def work(rig):
        lent = await seen(rig, "n1", lending)
        borrower = await budget(rig, "n0")
        assert borrower["usable"] <= 1.0 and lent["usable"] < 1.0
        await seen(rig, "n1", even)

    run(2, work, rate=80.0, aim=at_word("ask", "n0", "n1", lambda rig: rig.cut([1], [0], both=False)))


def test_a_lender_killed_between_its_debit_and_its_grant_and_back_with_no_memory():
    async def work(rig):
        await rig.nodes.ended("n1")
        assert (await budget(rig, "n0"))["usable"] <= 1.0
        rig.heal()
        await rig.runner.start("n1")
        begun = await seen(rig, "n1", lambda one: True)
        assert begun["usable"] == begun["own"] == 0.25
        await seen(rig, "n1", lambda one: one["own"] == 1.0)

    def aim(rig):
        at_word("ask", "n0", "n1", lambda rig: rig.cut([1], [0], both=False))(rig)
        at_word("grant", "n1", "n0", lambda rig: rig.kill("n1"))(rig)  # its debit is made, and nobody heard

    run(2, work, rate=80.0, aim=aim)


def test_a_lender_killed_after_its_grant_holds_its_floor_while_the_loan_is_out():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        rig.kill("n1")
        await rig.nodes.ended("n1")
        await rig.runner.start("n1")
        # What the life before lent is known to its borrower alone: the sum of both is never over.
        while True:
            lender, borrower = await budget(rig, "n1"), await budget(rig, "n0")
            if lender and borrower:
                assert lender["usable"] + borrower["usable"] <= 2 + 1e-9, (lender, borrower)
                if lender["own"] == 1.0:
                    break
            await asyncio.sleep(0.05)
        await seen(rig, "n0", borrowing)

    run(2, work, rate=80.0)


@pytest.mark.parametrize("wrong", [{"double": 1.0, "jitter_ms": 100}, {"add_ms": 1.2 * LEASE}, {"loss": 0.3}])
def test_grants_that_come_twice_late_or_seldom(wrong):
    async def work(rig):
        if "add_ms" in wrong:
            counts = (await seen(rig, "n0", lambda one: one["counts"].get("unanswered", 0) >= 2))["counts"]
            assert not counts.get("granted") and not counts.get("renewed")  # all were over when they came
            assert (await budget(rig, "n0"))["usable"] <= 1.0
        else:
            await seen(rig, "n0", lambda one: one["counts"].get("renewed", 0) >= 3)
        rig.heal()
        await seen(rig, "n0", borrowing)

    def late(rig):
        rig.ways([1, 2], [0], both=False, **wrong)

    # At its first ask of all: whom it asks first depends on which process has its load first.
    run(3, work, rate=100.0, aim=at_word("ask", "n0", None, late))


@pytest.mark.parametrize("both", [True, False])
def test_a_cut_in_the_middle_of_a_round_of_loans(both):
    async def work(rig):
        for name in rig.names[1:]:
            await seen(rig, name, lambda one: not any(loan["to"] == "n0" for loan in one["lent"]))
        assert (await seen(rig, "n0", lambda one: not one["borrowed"]))["usable"] <= 1.0
        rig.heal()
        await seen(rig, "n0", borrowing)

    def cut(rig):
        rig.cut([0], [1, 2, 3], both=both)

    run(4, work, rate=100.0, aim=at_word("grant", "n1", "n0", cut, nth=2))


def test_all_nodes_restarted_at_once_begin_with_their_floors():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        for name in rig.names:
            rig.kill(name)
        await asyncio.gather(*(rig.nodes.ended(name) for name in rig.names))
        for name in rig.names:
            await rig.runner.start(name)
        for name in rig.names:
            assert (await seen(rig, name, lambda one: True))["usable"] <= 1.0
        await rig.until(rig.all_hear)
        await seen(rig, "n0", borrowing)

    run(4, work, rate=100.0)


def test_old_and_new_process_of_one_node_use_half_each_and_lend_nothing():
    async def work(rig):
        await seen(rig, "n0", lambda one: one["own"] == 1.0)
        host, _ = rig.fabric.address("listen", "n0")
        port = rig.net.console("n0")[1] + 1
        beside = await rig.nodes.start_beside("n0", f"{host}:{port}")
        await seen(rig, "n0", lambda one: not one["alone"])
        assert (await budget(rig, "n0"))["usable"] <= 0.5
        await rig.until(lambda: rig.lines("budgets_together", "n0") and rig.lines("budgets_together", beside))
        rig.nodes.term("n0")
        await rig.until(lambda: rig.lines("budgets_alone", beside))

    run(2, work, quiet=False)  # the judge of peers knows one process a node


def test_nodes_that_differ_on_a_size_lend_one_another_nothing():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        rig.net.own_tables["n1"] = {"tenants": [{"name": "a", "quota_per_s": QUOTA / 2, "share": 1.0}]}
        rig.nodes.reload("n1", rig.world.node_config("n1"))
        await rig.until(lambda: rig.lines("reloaded", "n1"))
        assert "settings" in json.loads(rig.lines("reloaded", "n1")[0].fields)["until_restart"]
        assert (await budget(rig, "n1"))["whole"] == 1.5 * QUOTA  # as it was: a quota waits for a restart
        rig.kill("n1")
        await rig.nodes.ended("n1")
        await rig.runner.start("n1")
        await rig.until(lambda: rig.lines("budgets_terms_differ", "n0"))
        await seen(rig, "n0", lambda one: not one["borrowed"] and one["usable"] == 1.0)
        assert (await seen(rig, "n1", lambda one: one["own"] == 1.0))["whole"] == 0.75 * QUOTA

    run(2, work, rate=80.0)


def test_a_node_that_hears_nobody_under_full_load_holds_its_even_part():
    async def work(rig):
        await seen(rig, "n0", borrowing)
        rig.cut([0], [1, 2])
        await seen(rig, "n0", even)
        begin = rig.fabric.clock.now()
        while rig.fabric.clock.now() < begin + 4 * LASTS:  # a minute: benchmarks/budget_silence.py
            assert (await seen(rig, "n0", lambda one: True))["usable"] == 1.0
            await asyncio.sleep(0.1)

    run(3, work, rate=100.0)


def test_places_at_the_origin_are_never_more_than_all_nodes_have():
    async def work(rig):
        await seen(rig, "n0", lambda one: one["name"] == "origin places" and one["own"] == 1.0)
        begin = rig.fabric.clock.now()
        await rig.until(lambda: sum(isinstance(one, Attempt) and one.origin for one in rig.log) > 200)
        assert rig.fabric.clock.now() > begin and most_at_origin(rig) <= 6

    table = {"tenants": False, "strict": False, "origin_places": 6, "lease_ms": 5_000.0}
    run(3, work, rate=80.0, table=table)


def most_at_origin(rig) -> int:
    """Attempts out at the origin at once, over all nodes, as the origin saw them come and end."""
    out, most = set(), 0
    for one in rig.log:
        if isinstance(one, Attempt) and one.origin:
            out.add(one.number)
            most = max(most, len(out))
        elif hasattr(one, "number"):
            out.discard(one.number)
    return most
