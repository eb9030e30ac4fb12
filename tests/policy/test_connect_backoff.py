"""Connect backoff: how it grows and which outcomes end it."""

import random

import pytest
from support.policy import START, S

from flintridge.api import Outcome
from flintridge.policy.connect_backoff import CONNECT_BACKOFF_MAX_NS, ConnectBackoff


def failed(times: int) -> ConnectBackoff:
    backoff = ConnectBackoff()
    for _ in range(times):
        backoff.record(Outcome.CONNECT_FAILED, START, random.Random(times))
    return backoff


@pytest.mark.parametrize(("failures", "longest"), [(1, S), (2, 2 * S), (4, 8 * S), (5, 16 * S), (90, 16 * S)])
def test_each_consecutive_failure_doubles_the_backoff_up_to_a_limit(failures, longest):
    backoff = failed(failures)
    assert backoff.failures == failures
    assert longest / 2 <= backoff.until - START <= longest <= CONNECT_BACKOFF_MAX_NS


@pytest.mark.parametrize("outcome", [each for each in Outcome if each is not Outcome.CONNECT_FAILED])
def test_an_outcome_ends_the_backoff_only_if_there_was_a_connection(outcome):
    is_inconclusive = outcome in (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.TIMEOUT)
    backoff = failed(3)
    backoff.record(outcome, START + S, random.Random(1))
    assert (
        (backoff.failures == 3 and backoff.until > START) if is_inconclusive else backoff == ConnectBackoff()
    )
