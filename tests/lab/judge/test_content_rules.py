"""Rules on contents: what clients are served and what servers are sent."""

import pytest
from support.judge import REQUEST_BEFORE, attempt, node_state, request, response, served, violated_rules

from flintridge.lab import records as r


def given_time_left(time_left_ms, is_origin=False):
    """Records of a request that is forwarded with `time_left_ms` when its client has 600 ms left."""
    forwarded = attempt(400, served_ms=880, time_left_ms=time_left_ms, is_origin=is_origin)
    return [request(), *forwarded, response(930)]


STALL = r.FaultChanged(at_ms=-90, name="stall", begins=True)

STALL_END = r.FaultChanged(at_ms=-10, name="stall", begins=False)


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        ([request(), *attempt(5, served_ms=50), response(60, body_digest="x")], {"invented"}),
        (
            [*served(), *served(200, "u2")[:-1], response(300, request_id="u2", body_digest="of-u1")],
            {"mixed"},
        ),
        ([request(), *attempt(5, served_ms=70), response(60)], {"invented"}),
        ([request(), *attempt(5, served_ms=50, key="l"), response(60)], {"altered"}),
        ([request(idempotency_key="i"), *attempt(5, served_ms=50), response(60)], {"altered"}),
        ([request(), *attempt(400, served_ms=450, time_left_ms=600), response(460)], set()),
        ([request(), *attempt(400, served_ms=450, time_left_ms=650), response(460)], {"altered"}),
        ([request(), *attempt(400, served_ms=450, time_left_ms=600, is_origin=True), response(460)], set()),
        (
            [request(), *attempt(400, served_ms=450, time_left_ms=650, is_origin=True), response(460)],
            {"altered"},
        ),
        # a request read late, behind others on its connection or after a pause: at most 150 ms are excused
        ([*REQUEST_BEFORE, response(900, "refused", request_id="u0"), *given_time_left(749)], set()),
        ([*REQUEST_BEFORE, response(900, "refused", request_id="u0"), *given_time_left(751)], {"altered"}),
        (
            [
                *REQUEST_BEFORE,
                response(900, "refused", request_id="u0"),
                *given_time_left(751, is_origin=True),
            ],
            {"altered"},
        ),
        ([node_state(300, "paused"), node_state(350, "resumed"), *given_time_left(749)], set()),
        ([node_state(300, "paused"), node_state(350, "resumed"), *given_time_left(751)], {"altered"}),
        ([node_state(-50, "paused"), node_state(350, "resumed"), *given_time_left(949)], set()),
        # a node that the `stall` fault delays between reading its clock and writing
        ([STALL, *given_time_left(749)], set()),
        ([STALL, *given_time_left(751)], {"altered"}),
        ([STALL, STALL_END, *given_time_left(749)], {"altered"}),
        ([r.MalformedMessage(at_ms=1, node="n0", server="s1", text="mx")], {"malformed"}),
    ],
)
def test_contents_when_invented_mixed_or_altered_then_violate_only_their_rules(log, rules):
    assert set(violated_rules(log)) == rules
