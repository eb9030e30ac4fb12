"""Open requests: which attempts count, and what may have been executed."""

import pytest
from support.policy import START, attempted, open_request

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Outcome
from flintridge.policy.open_request import Attempt


@pytest.mark.parametrize("outcome", Outcome)
def test_the_first_attempt_that_may_have_been_executed_is_recorded(outcome):
    request = open_request()
    attempted(request, "s1", outcome, cell=1)
    attempted(request, "s2", Outcome.ERROR, cell=2)
    assert request.executed_by.cell == (2 if outcome in NEVER_EXECUTED else 1)
    assert request.executed_at == START
    assert request.missed_by == ("s1" if outcome is Outcome.MISS else None)


def test_an_attempt_is_in_flight_until_it_ends_and_ends_once():
    request = open_request()
    assert not request.is_in_flight and request.open_attempt(0) is None
    attempt = Attempt("s", START, None)
    request.attempts.append(attempt)
    assert request.is_in_flight and request.attempts_made == 1
    assert request.open_attempt(0) is attempt
    assert request.open_attempt(1) is request.open_attempt(-1) is None
    request.record_end(attempt, Outcome.OK, api.Endpoint("s"))
    assert not request.is_in_flight and request.open_attempt(0) is None
