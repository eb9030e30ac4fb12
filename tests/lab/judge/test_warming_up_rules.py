"""The rule `cold` on servers that are warming up."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from support.judge import attempt, endpoints, request, response, served, violated_rules

from flintridge.lab import records as r

FIXED = hypothesis_settings(derandomize=True, deadline=None, database=None, max_examples=60)


@FIXED
@given(st.integers(1, 40), st.booleans(), st.sampled_from([0.0, -5000.0]))
def test_server_when_warming_up_and_over_its_budget_then_violates_the_rule(count, notified, start):
    """Each request is 100 ms of work. Allowed: 3 x 0.4 of a core for 1.5 s, a tenth more and two requests."""
    rules = {"fall_multiple": 3.0, "fall_ms": 1500.0}
    log = [
        r.ServerStateChanged(
            at_ms=start, server="s1", state="started", capacity=1.0, initial_fraction=0.4, warm_up_ms=9000.0
        ),
        endpoints(start + 1 if notified else start + 3000, "in_service", up_since=start or -0.4),
    ]
    for i in range(count):
        log += served(start + 200 + i * 12, f"u{i}", connection=i)
        log[-3].work_ms = 100.0  # the record of the attempt
    # The allowed work grows a little with the age of the server.
    age = 206 + 12 * (count - 1)
    allowed = 1.1 * 3 * (0.4 + 0.6 * age / 9000) * 1500 + 200
    assert violated_rules(log, rules=rules) == ({"cold": 1} if notified and 100 * count > allowed else {})


@pytest.mark.parametrize("nodes", [1, 5])
@pytest.mark.parametrize(("count", "rules"), [(660, {}), (661, {"cold": 1})])
def test_budget_when_any_number_of_nodes_send_then_is_the_same(count, rules, nodes):
    """Each request is 10 ms of work, 246 ms after the start, at a warm-up fraction of 0.3386.

    So 3 x 4 cores x 1.5 s allow 609.5 requests; twice the square root of that and 2 more are added.
    """
    log = [
        r.ServerStateChanged(
            at_ms=0, server="s1", state="started", capacity=4.0, initial_fraction=0.4, warm_up_ms=7000.0
        )
    ]
    log += [endpoints(1, "in_service", up_since=-0.4)]
    log += [msgspec.structs.replace(log[1], node=f"n{i}") for i in range(1, nodes)]
    for i in range(count):
        request_id = f"u{i}"
        node = f"n{i % nodes}"
        log += [
            request(200, request_id, connection=i, node=node),
            *attempt(245, request_id, served_ms=270, node=node),
        ]
        log[-2].work_ms = 10.0
        log += [response(280, request_id=request_id, node=node)]
    assert violated_rules(log, rules={"fall_multiple": 3.0, "fall_ms": 1500.0}) == rules
