"""Attempt feedback: which mechanisms each outcome of an attempt updates."""

import random

import pytest
from support.policy import MS, START, ended, open_request, settings

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.endpoint_state import Server
from flintridge.policy.mechanisms import Mechanisms
from flintridge.policy.open_request import Attempt


def after(outcome: Outcome, is_cache: bool) -> tuple[Mechanisms, Server]:
    """Returns the mechanisms and the server after one attempt with this outcome."""
    made, server = Mechanisms(settings(), random.Random(1)), Server(api.Endpoint("s"), 0)
    request, attempt = open_request(work_ns=MS), Attempt("s", START, 0)
    made.feedback.record(request, attempt, server, made.cache_limiter, ended(outcome), is_cache, START)
    return made, server


def test_server_when_it_took_a_part_of_a_request_then_gets_no_connect_backoff():
    made, server = Mechanisms(settings(), random.Random(1)), Server(api.Endpoint("s"), 0)
    request, attempt = open_request(work_ns=MS), Attempt("s", START, 0)
    event = ended(Outcome.CONNECT_FAILED, partly_written=True)
    made.feedback.record(request, attempt, server, made.cache_limiter, event, True, START)
    assert (server.connect_backoff.failures, server.connect_backoff.until) == (0, 0)


@pytest.mark.parametrize(
    ("outcome", "counted", "slow", "costs", "fails_connect"),
    [
        (Outcome.OK, 1, 0, True, False),
        (Outcome.MISS, 1, 0, False, False),
        (Outcome.ERROR, 1, 1, True, False),
        (Outcome.FULL, 1, 1, True, False),
        (Outcome.TIMEOUT, 1, 1, True, False),
        (Outcome.RESET, 1, 0, True, False),
        (Outcome.CONNECT_FAILED, 0, 0, False, True),
        (Outcome.CANCELLED, 0, 0, False, False),
        (Outcome.WITHDRAWN, 0, 0, False, False),
    ],
)
def test_each_outcome_updates_only_the_mechanisms_that_it_concerns(
    outcome, counted, slow, costs, fails_connect
):
    made, server = after(outcome, is_cache=True)
    assert (made.cache_limiter.round_attempts, made.cache_limiter.round_slow) == (counted, slow)
    assert (server.evidence > 0) is costs
    assert (server.connect_backoff.failures > 0) is fails_connect
    assert bool(made.cache_limiter.latencies_ns) is (outcome is Outcome.OK)
    made, server = after(outcome, is_cache=False)
    assert (made.cache_limiter.round_attempts, made.cache_limiter.round_slow) == (counted, slow)
    assert server.evidence == server.connection_used_at == server.connect_backoff.failures == 0
