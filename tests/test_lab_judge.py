"""The judge on hand-made logs: for each rule the breach and its nearest lawful neighbour."""

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from flintridge.lab import records as r
from flintridge.lab.judge.verdict import RULES, judge
from flintridge.lab.scenario.model import Scenario

FIXED = hypothesis_settings(derandomize=True, deadline=None, database=None, max_examples=60)
CLASSES = [
    {"name": "read", "aim_ms": 500.0, "deadline_ms": 2000.0, "late_share": 0.5},
    {"name": "put", "write": True, "effect": "keyed", "window_ms": 400.0, "deadline_ms": 3000.0},
    {"name": "zonal", "write": True, "effect": "keyed", "group": "zone", "window_ms": 400.0},
    {"name": "pay", "write": True, "effect": "unsafe", "worth": 3.0},
]
WAIT, SLACK = 1000.0, 70.0


def scenario(**changes) -> Scenario:
    base = {"zones": ["a", "b"], "classes": CLASSES, "length_s": 20.0, "limits": {"max_attempts": 3}}
    return msgspec.convert(base | changes, Scenario)


def asked(t=0.0, uid="u1", conn=1, cls="read", wait=WAIT, node="n0", **more) -> r.RequestSent:
    values = {
        "first_request_id": uid,
        "attempt_number": 0,
        "scheduled_ms": t,
        "tenant": "",
        "key": "k",
        "write": cls != "read",
    }
    return r.RequestSent(
        at_ms=t,
        node=node,
        connection=conn,
        request_id=uid,
        class_name=cls,
        time_left_ms=wait,
        **(values | more),
    )


def answered(t, kind="served", uid="u1", node="n0", **more) -> r.ResponseReceived:
    token = "" if kind != "served" else f"of-{uid}"
    return r.ResponseReceived(
        at_ms=t, node=node, request_id=uid, kind=kind, **({"body_digest": token} | more)
    )


numbers = iter(range(1, 1 << 30))


def sent(t, uid="u1", server="s1", made=None, outcome="value", conn=1, **more) -> list[r.AnyRecord]:
    """An attempt that arrives 1 ms after it began, and what the server made of it, if anything."""
    number = next(numbers)
    values = {
        "node": "n0",
        "is_origin": False,
        "key": "k",
        "write": False,
        "time_left_ms": 1.0,
        "started_ms": t,
    }
    found = [
        r.AttemptReceived(
            at_ms=t + 1, server=server, connection=conn, attempt_id=number, request_id=uid, **(values | more)
        )
    ]
    if made is not None:
        token = f"of-{uid}" if outcome in ("value", "receipt") else ""
        ran = outcome not in ("busy", "miss")
        found.append(
            r.AttemptServed(
                at_ms=made,
                server=server,
                attempt_id=number,
                request_id=uid,
                outcome=outcome,
                executed=ran,
                body_digest=token,
            )
        )
    return found


def served(t=0.0, uid="u1", took=100.0, **more) -> list[r.AnyRecord]:
    return [asked(t, uid, **more), *sent(t + 5, uid, made=t + took - 5), answered(t + took, uid=uid)]


def end(t=15_000.0) -> r.AnyRecord:
    return r.FaultChanged(at_ms=t, name="flush", begins=True)


def said(t, state, node="n0", code=0) -> r.NodeStateChanged:
    return r.NodeStateChanged(at_ms=t, node=node, state=state, code=code)


def told(t, phase, complete=False, up_since=0.0, server="s1", **more) -> r.EndpointNotified:
    members = [(server, phase, up_since)] if phase else []
    return r.EndpointNotified(at_ms=t, node="n0", revision=1, complete=complete, endpoints=members, **more)


def started(t, server="s1") -> r.ServerStateChanged:
    return r.ServerStateChanged(at_ms=t, server=server, state="started", zone="a")


def broken(log, backend="virtual", **changes) -> dict[str, int]:
    """The broken rules; each with its proof."""
    day = [*log, end()]
    result = judge(sorted(day, key=lambda record: record.at_ms), scenario(**changes), 1, backend)
    assert tuple(result.rules) == RULES
    for breach in result.violations:
        assert breach.text and breach.records
        list(r.read_records(line.encode() for line in breach.records))
    found = {rule: count for rule, count in result.rules.items() if count}
    assert {b.rule for b in result.violations} == set(found)
    return found


def malformed(outcome, elapsed_ms):
    return r.MalformedClientEnded(
        at_ms=1, node="n0", kind="flood", outcome=outcome, elapsed_ms=elapsed_ms, limit_ms=9
    )


def late(t):
    return [asked(), *sent(5, made=500), answered(t)]


UNANSWERED = [asked(), *sent(5, made=500)]
LEFT = r.RequestAbandoned(at_ms=WAIT, node="n0", request_id="u1")
LEFT_EARLY = r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True)
LINGERS = r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True, lingers_ms=75)
BEFORE = [asked(0, "u0", wait=3000)]
SHARED = [
    asked(0, "u0"),
    asked(),
    r.RequestAbandoned(at_ms=380, node="n0", request_id="u1", left_early=True, lingers_ms=75),
    r.RequestAbandoned(at_ms=390, node="n0", request_id="u0", left_early=True),
]
UNSAFE = [asked(cls="pay", wait=2000.0), *sent(5, server="origin", is_origin=True, write=True)]
KEYED = [asked(cls="put", wait=2000.0), *sent(5, server="origin", is_origin=True, write=True)]
ZONAL = [
    asked(cls="zonal", wait=2000.0),
    *(
        r.ServerStateChanged(at_ms=-9, server=s, state="started", zone=z)
        for s, z in (("s1", "a"), ("s2", "b"), ("s3", "a"))
    ),
    *sent(5, write=True),
]
RESET = answered(900, "reset")


def told_to_wait(ms, origin=False):
    """A request with 600 ms left to its client, sent on with so much to wait."""
    return [asked(), *sent(400, made=880, time_left_ms=ms, is_origin=origin), answered(930)]


TERM = said(300, "term")
STALLS = r.FaultChanged(at_ms=-90, name="stall", begins=True)
STALLS_END = r.FaultChanged(at_ms=-10, name="stall", begins=False)


def again(t, server="origin", **more):
    return sent(t, server=server, write=True, **({"is_origin": server == "origin"} | more))


def declined(t):
    return sent(5, write=True, made=t, outcome="busy")


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        # lost and late
        ([*UNANSWERED, LEFT], {"lost"}),
        ([*UNANSWERED, r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True)], set()),
        (UNANSWERED, {"lost"}),
        (late(WAIT + SLACK), set()),
        (late(WAIT + SLACK + 1), {"late"}),
        ([*UNANSWERED, RESET], {"lost"}),
        ([*UNANSWERED, said(-50, "started"), said(899, "killed"), RESET], set()),
        ([*UNANSWERED, said(-50, "started"), said(WAIT + SLACK + 5, "killed"), LEFT], {"lost"}),
        ([*UNANSWERED, said(-50, "started"), said(-20, "killed"), said(-10, "started"), RESET], {"lost"}),
        ([*UNANSWERED, said(900, "paused"), said(5000, "resumed"), LEFT], set()),
        ([*UNANSWERED, said(-900, "paused"), said(-250, "resumed"), LEFT], {"lost"}),
        # crossing: a close between requests, and the same request once more
        ([asked(), answered(1, "closed"), *served(3, conn=2)], set()),
        ([asked(), answered(1, "closed")], {"lost"}),
        ([asked(), answered(400, "closed"), *served(403, conn=2)], {"lost"}),
        ([asked(), *sent(0.5), answered(1.4, "closed"), *served(3, conn=2)], {"lost"}),
        ([asked(), *served(3, conn=2)], set()),
        ([asked(), *served(403, conn=2)], {"lost"}),
        # an attempt that begins more than 0.1 s after its client closed, whatever else was the matter
        ([asked(), LEFT_EARLY, *sent(499.9)], set()),
        ([asked(), LEFT_EARLY, *sent(500.1)], {"lost"}),
        ([asked(), *sent(5, made=400, outcome="miss"), LEFT_EARLY, *sent(500.1)], {"lost"}),
        ([asked(), *sent(5, made=400), LEFT_EARLY, *sent(500.1, is_origin=True)], {"lost"}),
        ([asked(), LEFT_EARLY, answered(401, "reset"), *sent(500.1)], {"lost"}),
        ([asked(), said(390, "paused"), LEFT_EARLY, said(800, "resumed"), *sent(801)], {"lost"}),
        ([asked(), LINGERS, *sent(570)], set()),
        ([asked(), LINGERS, *sent(580)], {"lost"}),
        # closed over another request on it, at 390, before its own stay was over
        ([*SHARED, *sent(489)], set()),
        ([*SHARED, *sent(491)], {"lost"}),
        # behind another answer on the same connection, time does not count
        ([*BEFORE, *late(2900), *sent(5, "u0", made=2800), answered(2895, uid="u0")], set()),
        ([*BEFORE, *late(2900), *sent(5, "u0", made=100), answered(200, uid="u0")], {"late"}),
        # an answer before it frees no request of its own, once it has come
        ([*BEFORE, *UNANSWERED, LEFT, *sent(5, "u0", made=100), answered(200, uid="u0")], {"lost"}),
        ([*BEFORE, *UNANSWERED, LEFT, *sent(5, "u0", made=900), answered(995, uid="u0")], set()),
        # SIGTERM: what came within 0.7 s is answered
        ([asked(990), TERM, answered(995, "closed"), said(1500, "exited")], {"lost"}),
        ([asked(1001), TERM, answered(1005, "closed"), said(1500, "exited")], set()),
        # what comes later and is sent on all the same is owed its answer, unless the process is killed
        ([asked(1001), TERM, *sent(1003), answered(1050, "closed"), said(1500, "exited")], {"lost"}),
        ([asked(1001), TERM, *sent(1003), said(1500, "killed"), answered(1501, "reset")], set()),
        # SIGKILL comes the longest deadline and 0.7 s after SIGTERM: until then all is answered
        ([asked(990, wait=3000), TERM, said(4000, "killed"), answered(4001, "reset")], {"lost", "stopped"}),
        ([asked(990, wait=3000), TERM, said(3990, "killed"), answered(3991, "reset")], set()),
        ([asked(1001, wait=3000), TERM, said(4000, "killed"), answered(4001, "reset")], {"stopped"}),
        # two answers, or none that can be read
        ([*served(), answered(120)], {"double"}),
        ([*served(), answered(120, "refused")], {"double"}),
        ([*served(), answered(120, "closed")], set()),
        ([asked(), *sent(5, made=50), answered(60, "garbled")], {"garbled"}),
        # nothing done twice
        ([*UNSAFE, *again(300, made=400), answered(410)], {"twice"}),
        ([*UNSAFE[:1], *declined(299), *again(300, made=400), answered(410)], set()),
        ([*UNSAFE[:1], *declined(301), *again(300, made=400), answered(410)], {"twice"}),
        ([*UNSAFE, answered(400, "refused")], {"twice"}),
        ([*UNSAFE, answered(400, "failed")], set()),
        ([*KEYED, answered(400, "refused")], set()),
        ([*KEYED, *again(404, made=500), answered(510)], set()),
        ([*KEYED, *again(406, made=500), answered(510)], {"twice"}),
        ([*ZONAL, *again(300, "s3", made=400), answered(410)], set()),
        ([*ZONAL, *again(300, "s2", made=400), answered(410)], {"twice"}),
        ([*ZONAL, answered(400, "refused")], {"twice"}),
        # attempts
        ([asked(), *sent(5), *sent(20), *sent(30, made=50), answered(60)], set()),
        ([asked(), *sent(5), *sent(20), *sent(30), *sent(40, made=50), answered(60)], {"attempts"}),
        ([*served(), *sent(100.5)], set()),
        ([*served(), *sent(110)], {"after_answer"}),
        ([*served(), *sent(300, conn=2)], set()),
        ([*served(), *sent(390, conn=2)], {"after_answer"}),
        # contents
        ([asked(), *sent(5, made=50), answered(60, body_digest="x")], {"invented"}),
        ([*served(), *served(200, "u2")[:-1], answered(300, uid="u2", body_digest="of-u1")], {"mixed"}),
        ([asked(), *sent(5, made=70), answered(60)], {"invented"}),
        ([asked(), *sent(5, made=50, key="l"), answered(60)], {"altered"}),
        ([asked(idempotency_key="i"), *sent(5, made=50), answered(60)], {"altered"}),
        ([asked(), *sent(400, made=450, time_left_ms=600), answered(460)], set()),
        ([asked(), *sent(400, made=450, time_left_ms=650), answered(460)], {"altered"}),
        ([asked(), *sent(400, made=450, time_left_ms=600, is_origin=True), answered(460)], set()),
        ([asked(), *sent(400, made=450, time_left_ms=650, is_origin=True), answered(460)], {"altered"}),
        # a request read late, behind others on its connection or after a pause: 0.15 s of slack and no more
        ([*BEFORE, answered(900, "refused", uid="u0"), *told_to_wait(749)], set()),
        ([*BEFORE, answered(900, "refused", uid="u0"), *told_to_wait(751)], {"altered"}),
        ([*BEFORE, answered(900, "refused", uid="u0"), *told_to_wait(751, origin=True)], {"altered"}),
        ([said(300, "paused"), said(350, "resumed"), *told_to_wait(749)], set()),
        ([said(300, "paused"), said(350, "resumed"), *told_to_wait(751)], {"altered"}),
        ([said(-50, "paused"), said(350, "resumed"), *told_to_wait(949)], set()),
        # a node that is held up between its clock and its writes
        ([STALLS, *told_to_wait(749)], set()),
        ([STALLS, *told_to_wait(751)], {"altered"}),
        ([STALLS, STALLS_END, *told_to_wait(749)], {"altered"}),
        ([r.MalformedMessage(at_ms=1, node="n0", server="s1", text="mx")], {"malformed"}),
        # held back
        ([asked(), answered(480, "refused")], set()),
        ([asked(), answered(520, "refused")], {"held"}),
        ([asked(), r.FaultChanged(at_ms=1, name="silence", begins=True), answered(990, "refused")], set()),
        # drains
        ([told(0, "terminating"), *served(1990)], set()),
        ([told(0, "terminating"), *served(2010)], {"drain"}),
        ([told(0, "terminating", assumed=True), *served(2010)], {"drain"}),
        ([told(0, "terminating"), told(9, "in_service"), *served(2010)], set()),
        ([told(-9, "in_service"), told(0, "in_service", True, server="s2"), *served(2010)], {"drain"}),
        ([told(0, "in_service", True, server="s2"), *served(2010)], {"drain"}),
        # never listed, and started since: what reached it was sent to the one that had its address before
        ([started(1), told(0, "in_service", True, server="s2"), *served(2010)], set()),
        ([started(-1), told(0, "in_service", True, server="s2"), *served(2010)], {"drain"}),
        ([told(0, "in_service", server="s2"), *served(2010)], set()),
        ([told(0, "terminating"), said(5, "started"), *served(2010)], set()),
        # processes
        ([said(0, "started"), said(5, "exited")], {"stopped"}),
        ([said(0, "started"), said(5, "killed")], set()),
        ([said(0, "started"), said(5, "stuck")], {"stopped"}),
        ([TERM, said(900, "exited")], set()),
        ([TERM, said(900, "exited", code=1)], {"stopped"}),
        ([TERM, said(4200, "exited")], set()),
        ([TERM, said(4400, "exited")], {"stopped"}),
        ([TERM, said(4000, "killed")], {"stopped"}),  # it had all its time
        ([TERM, said(3990, "killed")], set()),
        ([TERM], {"stopped"}),
        ([malformed("served", 1)], {"bad_clients"}),
        ([malformed("nothing", 9)], set()),
    ],
)  # fmt: skip
def test_breaches_and_their_lawful_neighbours(log, rules):
    assert set(broken(log)) == rules


def test_real_time_makes_every_limit_longer():
    assert broken([told(0, "terminating"), *served(2045)], "loopback") == {}
    assert broken([*KEYED, *again(450, made=500), answered(510)], "loopback") == {}
    # A client that leaves at its time cannot tell late from never: only what was surely silent counts.
    assert broken([*UNANSWERED, LEFT], "loopback") == {"lost": 1}
    assert broken([asked(), *sent(5, made=980), LEFT], "loopback") == {}


def test_second_copies_where_they_are_not_allowed():
    limits = {"second_copies": False, "max_attempts": 6}
    over = [asked(), *sent(5, made=60, outcome="error"), *sent(58, made=90), answered(95)]
    beside = [asked(), *sent(5, made=160, outcome="error"), *sent(58, made=90), answered(95)]
    vanished = [asked(), *sent(5), *sent(58, made=90), answered(95)]
    assert broken(over, limits=limits) == {}
    assert broken(vanished, limits=limits) == {}
    assert broken(beside, limits=limits) == {"twice": 1}
    assert broken(beside) == {}


@pytest.mark.parametrize(
    ("t", "outcome", "held"), [(905, "miss", False), (960, "miss", True), (960, "spoilt", False)]
)
def test_a_refusal_held_until_it_is_of_no_use(t, outcome, held):
    """A spoilt answer may never end: its node may still have waited for the rest."""
    log = [record for i in range(4) for record in served(i * 10.0, f"w{i}", conn=i + 5)]
    origin = {"server": "origin", "is_origin": True}
    for i in range(4):
        uid = f"o{i}"
        log += [asked(i, uid, conn=i + 20), *sent(i, uid, made=i + 95, **origin), answered(i + 100, uid=uid)]
    log += [asked(200), *sent(205, made=250, outcome=outcome), answered(200 + t, "refused")]
    assert broken(log) == ({"held": 1} if held else {})


@FIXED
@given(st.integers(1, 40), st.booleans(), st.sampled_from([0.0, -5000.0]))
def test_cold_servers_get_no_more_than_their_budget(count, knew, start):
    """Requests of 100 ms; 3 x 0.4 of a core for 1.5 s, a tenth of that and two requests are allowed."""
    rules = {"fall_multiple": 3.0, "fall_ms": 1500.0}
    log = [
        r.ServerStateChanged(
            at_ms=start, server="s1", state="started", capacity=1.0, initial_fraction=0.4, warm_up_ms=9000.0
        ),
        told(start + 1 if knew else start + 3000, "in_service", up_since=start or -0.4),
    ]
    for i in range(count):
        log += served(start + 200 + i * 12, f"u{i}", conn=i)
        log[-3].work_ms = 100.0  # the attempt
    # What is allowed grows a little with the age of the server.
    age = 206 + 12 * (count - 1)
    allowed = 1.1 * 3 * (0.4 + 0.6 * age / 9000) * 1500 + 200
    assert broken(log, rules=rules) == ({"cold": 1} if knew and 100 * count > allowed else {})


@pytest.mark.parametrize("nodes", [1, 5])
@pytest.mark.parametrize(("count", "rules"), [(660, {}), (661, {"cold": 1})])
def test_the_budget_of_a_cold_server_is_the_same_however_many_nodes_send(count, rules, nodes):
    """Requests of 10 ms at a share of 0.3386, 246 ms after the start: 3 x 4 cores x 1.5 s
    allow 609.5 of them, and twice the root of that and 2 more."""
    log = [
        r.ServerStateChanged(
            at_ms=0, server="s1", state="started", capacity=4.0, initial_fraction=0.4, warm_up_ms=7000.0
        )
    ]
    log += [told(1, "in_service", up_since=-0.4)]
    log += [msgspec.structs.replace(log[1], node=f"n{i}") for i in range(1, nodes)]
    for i in range(count):
        uid, node = f"u{i}", f"n{i % nodes}"
        log += [asked(200, uid, conn=i, node=node), *sent(245, uid, made=270, node=node)]
        log[-2].work_ms = 10.0
        log += [answered(280, uid=uid, node=node)]
    assert broken(log, rules={"fall_multiple": 3.0, "fall_ms": 1500.0}) == rules


def held_at(counts) -> list[r.AnyRecord]:
    samples = enumerate(counts)
    return [r.ConnectionCount(at_ms=i * 1000.0, node="n0", server_side=n, client_side=9) for i, n in samples]


def test_connections_that_leak():
    nodes = {"sockets": 2000}
    assert broken(held_at(range(40, 440, 20)), nodes=nodes) == {"leak": 1}
    assert broken(held_at([*range(40, 240, 20), *[240] * 10]), nodes=nodes) == {}
    assert broken(held_at([500] * 20), nodes={"sockets": 600}) == {}
    assert broken(held_at([500] * 20), nodes={"sockets": 500}) == {"leak": 1}
    # Ten would do for what was ever out: where descriptors end, a leak does not climb on.
    few = [x for i in range(10) for x in sent(1000 + i / 10, f"f{i}", conn=i, time_left_ms=9000.0)]
    few += [asked(990, f"f{i}", conn=i) for i in range(10)]
    assert broken(sorted([*held_at([238] * 20), *few], key=lambda x: x.at_ms), nodes=nodes).get("leak") == 1
    assert "leak" not in broken(sorted([*held_at([70] * 20), *few], key=lambda x: x.at_ms), nodes=nodes)
    # More attempts are out at once as well: that is load.
    load = [x for i in range(300) for x in sent(16_000 + i / 10, f"u{i}", conn=i, time_left_ms=2000.0)]
    assert broken([*held_at(range(40, 440, 20)), *load], nodes=nodes) == {}


def test_only_the_first_breaches_of_a_rule_are_told_in_full():
    log = [asked(float(i), f"u{i}", conn=i) for i in range(9)]
    result = judge([*log, end()], scenario(), 7, "virtual")
    assert result.rules["lost"] == 9
    assert len(result.violations) == 5
    assert (result.seed, result.backend, result.records) == (7, "virtual", 10)


def test_figures():
    log = [
        *served(-900, "w", counted=False),
        *served(100, "in"),
        *served(1200, "late", took=600),
        *served(2300, "over", took=2100, wait=2500, conn=2),
        asked(3000, "r1", conn=3, tenant="t", wait=800),
        answered(3050, "refused", uid="r1"),
        asked(
            3100,
            "r2",
            conn=3,
            first_request_id="r1",
            attempt_number=1,
            scheduled_ms=3000,
            tenant="t",
            wait=800,
        ),
        answered(3150, "refused", uid="r2"),
        r.RequestNotAccepted(
            at_ms=4100,
            node="n0",
            request_id="x",
            first_request_id="x",
            attempt_number=0,
            scheduled_ms=4000,
            class_name="pay",
            tenant="",
            key="k",
            write=True,
        ),
        r.FaultChanged(at_ms=500, name="burst", begins=True, detail="x2"),
        r.FaultChanged(at_ms=900, name="burst", begins=False),
        end(5000),
    ]
    prices = {"late_fail": 0.1}
    goal = {"whole": 0.5, "worst_class": 0.5}
    day = scenario(goal=goal, prices=prices, length_s=8.0)
    got = judge(sorted(log, key=lambda x: x.at_ms), day, 1, "virtual")
    counts = (got.requests, got.served, got.served_within_objective, got.rejected, got.failed)
    assert counts == (5, 3, 1, 1, 1)
    assert got.goodput == pytest.approx(
        1.5 / 7, abs=1e-6
    )  # 1 in time, 0.5 late, of 4 reads and one of worth 3
    assert got.goodput_by_class == {"pay": 0.0, "read": 0.375}
    assert (got.latency_ms.p50, got.latency_ms.max, got.latency_ms.count) == (600.0, 2100.0, 3)
    assert got.client_attempts_per_request == 1.2
    assert got.attempts_per_request == 0.6
    assert got.goal == pytest.approx(0.5 * got.goodput)  # nothing unserved was told after its aim
    assert [w.requests for w in got.windows] == [1, 1, 1, 1, 1, 0, 0, 0]
    assert got.windows[0].in_flight == {"s1": 0.089}
    assert sum(w.in_flight.get("s1", 0) for w in got.windows) == pytest.approx(0.089 + 0.589 + 2.089)
    assert got.faults == [("burst", 0.5, 0.9), ("flush", 5.0, 8.0)]
    assert math.isfinite(got.min_window_goodput)
    assert sum(got.rules.values()) == 0


@FIXED
@given(st.lists(st.tuples(st.floats(0, 9000), st.floats(5, 900)), max_size=20), st.randoms())
def test_sound_requests_break_no_rule(times, random):
    """Whatever a sound node does at once, on however many connections, no rule is broken."""
    log: list[r.AnyRecord] = []
    for i, (t, took) in enumerate(times):
        kind = random.choice(["served", "refused", "failed"])
        log.append(asked(t, f"u{i}", conn=i))
        log += sent(t + 0.4, f"u{i}", made=t + took * 0.9, outcome="value" if kind == "served" else "error")
        log.append(answered(t + took, kind, uid=f"u{i}"))
    assert broken(log) == {}
