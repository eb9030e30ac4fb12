"""Open requests: which attempts count, and what may have been executed."""

import pytest
from support.policy import MS, START, attempted, open_request

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Outcome
from flintridge.policy.open_request import MAX_WITHDRAWN, Attempt


@pytest.mark.parametrize("outcome", Outcome)
def test_the_first_attempt_that_may_have_been_executed_is_noted(outcome):
    request = open_request()
    attempted(request, "s1", outcome, cell=1)
    attempted(request, "s2", Outcome.ERROR, cell=2)
    assert request.executed_by.cell == (2 if outcome in NEVER_EXECUTED else 1)
    assert request.executed_at == START
    assert request.missed_at == ("s1" if outcome is Outcome.MISS else None)


@pytest.mark.parametrize(
    ("withdrawn", "failed", "made"),
    [(0, 0, 0), (3, 0, 0), (3, 2, 2), (MAX_WITHDRAWN, 1, 1), (MAX_WITHDRAWN + 2, 1, 3)],
)
def test_withdrawn_attempts_do_not_count_until_there_are_too_many(withdrawn, failed, made):
    request = open_request()
    for outcome in [Outcome.WITHDRAWN] * withdrawn + [Outcome.ERROR] * failed:
        attempted(request, "s", outcome)
    assert request.attempts_made == made
    assert request.is_unsent is (failed == 0)


def test_an_attempt_is_in_flight_until_it_ends_and_ends_once():
    request = open_request()
    assert not request.is_in_flight and request.open_attempt(0) is None
    attempt = Attempt("s", START, None)
    request.attempts.append(attempt)
    assert request.is_in_flight and not request.is_unsent
    assert request.open_attempt(0) is attempt
    assert request.open_attempt(1) is request.open_attempt(-1) is None
    request.record_end(attempt, Outcome.OK, api.Endpoint("s"))
    assert not request.is_in_flight and request.open_attempt(0) is None


@pytest.mark.parametrize(("work_ns", "work"), [(None, 1.0), (20 * MS, 20.0)])
def test_work_is_expected_by_the_hint_and_slow_is_half_of_the_objective(work_ns, work):
    request = open_request(work_ns=work_ns)
    assert request.work == work and request.slow_after_ns == 250 * MS
