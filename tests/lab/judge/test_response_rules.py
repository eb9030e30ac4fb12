"""Rules on responses: each request gets one final response, in time."""

import pytest
from support.judge import (
    ABANDONED,
    REQUEST_BEFORE,
    RESPONSE_TOLERANCE_MS,
    TERMINATION,
    TIMEOUT_MS,
    UNANSWERED,
    attempt,
    late_response,
    node_state,
    request,
    response,
    served,
    violated_rules,
)

from flintridge.lab import records as r

RESET = response(900, "reset")


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        # `lost` and `late`
        ([*UNANSWERED, ABANDONED], {"lost"}),
        ([*UNANSWERED, r.RequestAbandoned(at_ms=400, node="n0", request_id="u1", left_early=True)], set()),
        (UNANSWERED, {"lost"}),
        (late_response(TIMEOUT_MS + RESPONSE_TOLERANCE_MS), set()),
        (late_response(TIMEOUT_MS + RESPONSE_TOLERANCE_MS + 1), {"late"}),
        ([*UNANSWERED, RESET], {"lost"}),
        ([*UNANSWERED, node_state(-50, "started"), node_state(899, "killed"), RESET], set()),
        (
            [
                *UNANSWERED,
                node_state(-50, "started"),
                node_state(TIMEOUT_MS + RESPONSE_TOLERANCE_MS + 5, "killed"),
                ABANDONED,
            ],
            {"lost"},
        ),
        (
            [
                *UNANSWERED,
                node_state(-50, "started"),
                node_state(-20, "killed"),
                node_state(-10, "started"),
                RESET,
            ],
            {"lost"},
        ),
        ([*UNANSWERED, node_state(900, "paused"), node_state(5000, "resumed"), ABANDONED], set()),
        ([*UNANSWERED, node_state(-900, "paused"), node_state(-250, "resumed"), ABANDONED], {"lost"}),
        # a close between requests that crosses a request, which the client then sends again
        ([request(), response(1, "closed"), *served(3, connection=2)], set()),
        ([request(), response(1, "closed")], {"lost"}),
        ([request(), response(400, "closed"), *served(403, connection=2)], {"lost"}),
        ([request(), *attempt(0.5), response(1.4, "closed"), *served(3, connection=2)], {"lost"}),
        ([request(), *served(3, connection=2)], set()),
        ([request(), *served(403, connection=2)], {"lost"}),
        # the time spent waiting for an earlier response on the same connection does not count
        (
            [
                *REQUEST_BEFORE,
                *late_response(2900),
                *attempt(5, "u0", served_ms=2800),
                response(2895, request_id="u0"),
            ],
            set(),
        ),
        (
            [
                *REQUEST_BEFORE,
                *late_response(2900),
                *attempt(5, "u0", served_ms=100),
                response(200, request_id="u0"),
            ],
            {"late"},
        ),
        # an earlier response that has already arrived excuses nothing
        (
            [
                *REQUEST_BEFORE,
                *UNANSWERED,
                ABANDONED,
                *attempt(5, "u0", served_ms=100),
                response(200, request_id="u0"),
            ],
            {"lost"},
        ),
        (
            [
                *REQUEST_BEFORE,
                *UNANSWERED,
                ABANDONED,
                *attempt(5, "u0", served_ms=900),
                response(995, request_id="u0"),
            ],
            set(),
        ),
        # a request that arrives within 0.7 s after SIGTERM must get a response
        ([request(990), TERMINATION, response(995, "closed"), node_state(1500, "exited")], {"lost"}),
        ([request(1001), TERMINATION, response(1005, "closed"), node_state(1500, "exited")], set()),
        # a later request that is forwarded all the same must get a response, unless the process is killed
        (
            [
                request(1001),
                TERMINATION,
                *attempt(1003),
                response(1050, "closed"),
                node_state(1500, "exited"),
            ],
            {"lost"},
        ),
        (
            [request(1001), TERMINATION, *attempt(1003), node_state(1500, "killed"), response(1501, "reset")],
            set(),
        ),
        # SIGKILL follows SIGTERM by the longest deadline and 0.7 s: until then requests must get responses
        (
            [
                request(990, time_left_ms=3000),
                TERMINATION,
                node_state(4000, "killed"),
                response(4001, "reset"),
            ],
            {"lost", "stopped"},
        ),
        (
            [
                request(990, time_left_ms=3000),
                TERMINATION,
                node_state(3990, "killed"),
                response(3991, "reset"),
            ],
            set(),
        ),
        (
            [
                request(1001, time_left_ms=3000),
                TERMINATION,
                node_state(4000, "killed"),
                response(4001, "reset"),
            ],
            {"stopped"},
        ),
        # `double` and `garbled`: two responses, or one that can't be parsed
        ([*served(), response(120)], {"double"}),
        ([*served(), response(120, "refused")], {"double"}),
        ([*served(), response(120, "closed")], set()),
        ([request(), *attempt(5, served_ms=50), response(60, "garbled")], {"garbled"}),
    ],
)
def test_responses_when_lost_late_double_or_garbled_then_violate_only_their_rules(log, rules):
    assert set(violated_rules(log)) == rules
