"""Helpers for tests of the lab's judge: hand-made records, and the rules that a log of records violates."""

import itertools

import msgspec

from flintridge.lab import records as r
from flintridge.lab.judge.verdict import RULES, judge
from flintridge.lab.record_log import read_records
from flintridge.lab.scenario.model import Scenario

CLASSES = [
    {"name": "read", "aim_ms": 500.0, "deadline_ms": 2000.0, "late_share": 0.5},
    {"name": "put", "write": True, "effect": "keyed", "window_ms": 400.0, "deadline_ms": 3000.0},
    {"name": "zonal", "write": True, "effect": "keyed", "group": "zone", "window_ms": 400.0},
    {"name": "pay", "write": True, "effect": "unsafe", "worth": 3.0},
]
TIMEOUT_MS = 1000.0
RESPONSE_TOLERANCE_MS = 70.0

attempt_ids = itertools.count(1)


def scenario(**changes) -> Scenario:
    base = {"zones": ["a", "b"], "classes": CLASSES, "length_s": 20.0, "limits": {"max_attempts": 3}}
    return msgspec.convert(base | changes, Scenario)


def request(
    at_ms=0.0, request_id="u1", connection=1, class_name="read", time_left_ms=TIMEOUT_MS, node="n0", **more
) -> r.RequestSent:
    values = {
        "first_request_id": request_id,
        "attempt_number": 0,
        "scheduled_ms": at_ms,
        "tenant": "",
        "key": "k",
        "write": class_name != "read",
    }
    return r.RequestSent(
        at_ms=at_ms,
        node=node,
        connection=connection,
        request_id=request_id,
        class_name=class_name,
        time_left_ms=time_left_ms,
        **(values | more),
    )


def response(at_ms, kind="served", request_id="u1", node="n0", **more) -> r.ResponseReceived:
    digest = f"of-{request_id}" if kind == "served" else ""
    values = {"body_digest": digest} | more
    return r.ResponseReceived(at_ms=at_ms, node=node, request_id=request_id, kind=kind, **values)


def attempt(
    started_ms, request_id="u1", server="s1", served_ms=None, outcome="value", connection=1, **more
) -> list[r.AnyRecord]:
    """Records of an attempt that arrives 1 ms after its start, and of the server's response, if any."""
    attempt_id = next(attempt_ids)
    values = {
        "node": "n0",
        "is_origin": False,
        "key": "k",
        "write": False,
        "time_left_ms": 1.0,
        "started_ms": started_ms,
    }
    records = [
        r.AttemptReceived(
            at_ms=started_ms + 1,
            server=server,
            connection=connection,
            attempt_id=attempt_id,
            request_id=request_id,
            **(values | more),
        )
    ]
    if served_ms is not None:
        records.append(
            r.AttemptServed(
                at_ms=served_ms,
                server=server,
                attempt_id=attempt_id,
                request_id=request_id,
                outcome=outcome,
                executed=outcome not in ("busy", "miss"),
                body_digest=f"of-{request_id}" if outcome in ("value", "receipt") else "",
            )
        )
    return records


def served(at_ms=0.0, request_id="u1", duration_ms=100.0, **more) -> list[r.AnyRecord]:
    """Records of a request that its first attempt serves."""
    return [
        request(at_ms, request_id, **more),
        *attempt(at_ms + 5, request_id, served_ms=at_ms + duration_ms - 5),
        response(at_ms + duration_ms, request_id=request_id),
    ]


def last_record(at_ms=15_000.0) -> r.AnyRecord:
    return r.FaultChanged(at_ms=at_ms, name="flush", begins=True)


def node_state(at_ms, state, node="n0", code=0) -> r.NodeStateChanged:
    return r.NodeStateChanged(at_ms=at_ms, node=node, state=state, code=code)


def endpoints(at_ms, phase, complete=False, up_since=0.0, server="s1", **more) -> r.EndpointNotified:
    members = [(server, phase, up_since)] if phase else []
    return r.EndpointNotified(
        at_ms=at_ms, node="n0", revision=1, complete=complete, endpoints=members, **more
    )


def server_started(at_ms, server="s1") -> r.ServerStateChanged:
    return r.ServerStateChanged(at_ms=at_ms, server=server, state="started", zone="a")


def violated_rules(log, backend="virtual", **changes) -> dict[str, int]:
    """Return how often each rule is violated, and check that each violation has its evidence."""
    records = sorted([*log, last_record()], key=lambda record: record.at_ms)
    result = judge(records, scenario(**changes), 1, backend)
    assert tuple(result.rules) == RULES
    for violation in result.violations:
        assert violation.text and violation.records
        list(read_records(line.encode() for line in violation.records))
    found = {rule: count for rule, count in result.rules.items() if count}
    assert {violation.rule for violation in result.violations} == set(found)
    return found


def late_response(at_ms):
    """Records of a request whose response arrives at `at_ms`."""
    return [request(), *attempt(5, served_ms=500), response(at_ms)]


def repeat(started_ms, server="origin", **more):
    """Records of another attempt at a write."""
    values = {"is_origin": server == "origin"} | more
    return attempt(started_ms, server=server, write=True, **values)


UNANSWERED = [request(), *attempt(5, served_ms=500)]
ABANDONED = r.RequestAbandoned(at_ms=TIMEOUT_MS, node="n0", request_id="u1")
REQUEST_BEFORE = [request(0, "u0", time_left_ms=3000)]
KEYED = [
    request(class_name="put", time_left_ms=2000.0),
    *attempt(5, server="origin", is_origin=True, write=True),
]
TERMINATION = node_state(300, "term")
