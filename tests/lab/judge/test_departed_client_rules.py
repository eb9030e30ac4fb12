"""The rule `lost` on attempts for clients that have closed their connections."""

import pytest
from support.judge import attempt, node_state, request, response, violated_rules

from flintridge.lab import records as r

LEFT_EARLY = r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True)

LINGERING = r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True, lingers_ms=75)

SHARED_CONNECTION = [
    request(0, "u0"),
    request(),
    r.RequestAbandoned(at_ms=380, node="n0", request_id="u1", left_early=True, lingers_ms=75),
    r.RequestAbandoned(at_ms=390, node="n0", request_id="u0", left_early=True),
]


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        # an attempt that starts more than 0.1 s after its client closed, whatever else happened
        ([request(), LEFT_EARLY, *attempt(499.9)], set()),
        ([request(), LEFT_EARLY, *attempt(500.1)], {"lost"}),
        ([request(), *attempt(5, served_ms=400, outcome="miss"), LEFT_EARLY, *attempt(500.1)], {"lost"}),
        ([request(), *attempt(5, served_ms=400), LEFT_EARLY, *attempt(500.1, is_origin=True)], {"lost"}),
        ([request(), LEFT_EARLY, response(401, "reset"), *attempt(500.1)], {"lost"}),
        (
            [request(), node_state(390, "paused"), LEFT_EARLY, node_state(800, "resumed"), *attempt(801)],
            {"lost"},
        ),
        ([request(), LINGERING, *attempt(570)], set()),
        ([request(), LINGERING, *attempt(580)], {"lost"}),
        # closed at 390 ms for another request on the connection, before the client's own linger time ended
        ([*SHARED_CONNECTION, *attempt(489)], set()),
        ([*SHARED_CONNECTION, *attempt(491)], {"lost"}),
    ],
)
def test_attempts_when_started_long_after_the_client_closed_then_count_as_lost(log, rules):
    assert set(violated_rules(log)) == rules
