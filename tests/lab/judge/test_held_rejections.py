"""The rule `held` on rejections that come too late to be useful."""

import pytest
from support.judge import attempt, request, response, served, violated_rules

from flintridge.lab import records as r


@pytest.mark.parametrize(
    ("log", "rules"),
    [
        ([request(), response(480, "refused")], set()),
        ([request(), response(520, "refused")], {"held"}),
        ([request(), r.FaultChanged(at_ms=1, name="silence", begins=True), response(990, "refused")], set()),
    ],
)
def test_rejection_when_the_class_was_never_served_after_half_of_the_time_then_is_held(log, rules):
    assert set(violated_rules(log)) == rules


def served_before() -> list[r.AnyRecord]:
    """Records of reads that were served by a cache server in 100 ms, or by the origin in 100 ms."""
    log = [record for i in range(4) for record in served(i * 10.0, f"w{i}", connection=i + 5)]
    for i in range(4):
        request_id = f"o{i}"
        log += [
            request(i, request_id, connection=i + 20),
            *attempt(i, request_id, served_ms=i + 95, server="origin", is_origin=True),
            response(i + 100, request_id=request_id),
        ]
    return log


@pytest.mark.parametrize(
    ("after_ms", "held"),
    [
        (520, False),  # it waited for a permit, and could still have been served
        (905, False),
        (960, True),  # less time was left than any response had taken
        (990, True),
    ],
)
def test_rejection_when_without_any_attempt_and_too_late_to_be_served_then_is_held(after_ms, held):
    log = [*served_before(), request(200), response(200 + after_ms, "refused")]
    assert violated_rules(log) == ({"held": 1} if held else {})


@pytest.mark.parametrize(
    ("after_ms", "outcome", "held"), [(905, "miss", False), (960, "miss", True), (960, "spoilt", False)]
)
def test_rejection_when_nothing_was_in_flight_for_long_then_is_held(after_ms, outcome, held):
    """After a corrupted response, the node may still have been waiting for the rest of it."""
    log = served_before()
    log += [request(200), *attempt(205, served_ms=250, outcome=outcome), response(200 + after_ms, "refused")]
    assert violated_rules(log) == ({"held": 1} if held else {})
