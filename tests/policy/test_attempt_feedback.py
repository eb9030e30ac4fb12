"""Attempt feedback: which mechanism takes in which end of an attempt."""

import math
import random

import pytest
from support.policy import MS, START, S, ended, open_request

from flintridge import api
from flintridge.api import Outcome
from flintridge.policy.attempt_feedback import AttemptFeedback
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.endpoint_state import Server, ServerTable
from flintridge.policy.open_request import Attempt
from flintridge.policy.outlier_detection import OutlierDetection
from flintridge.policy.quota import Quotas
from flintridge.policy.slow_start import SlowStartBudget
from flintridge.policy.stale_connections import StaleConnections

CONNECT_TIMEOUT_NS = 250 * MS


class Feedback:
    """The mechanisms that an attempt may tell something, and an attempt at a server."""

    def __init__(self) -> None:
        chance, rules = random.Random(1), api.Rules(overload_window_ns=S)
        table = ServerTable(None, rules)
        self.quotas = Quotas((), 1, chance)
        self.outliers = OutlierDetection(table, rules)
        self.slow_start = SlowStartBudget(api.Settings(rules=rules), table, chance)
        self.stale = StaleConnections(60 * S)
        self.limiter = ConcurrencyLimiter(10.0)
        self.server = Server(api.Endpoint("s"), 0)
        self.feedback = AttemptFeedback(
            CONNECT_TIMEOUT_NS, self.quotas, self.outliers, self.slow_start, self.stale, chance
        )

    def end(self, outcome: Outcome, latency_ms: int = 10, is_cache: bool = True, **changes) -> None:
        request = open_request(work_ns=changes.pop("work_ns", MS))
        attempt = Attempt("s", START, changes.pop("idle_ns", 0))
        event = ended(outcome, latency_ms * MS, **changes)
        self.feedback.record(request, attempt, self.server, self.limiter, event, is_cache, START)


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
def test_each_outcome_tells_only_those_whom_it_concerns(outcome, counted, slow, costs, fails_connect):
    made = Feedback()
    made.end(outcome)
    assert (made.limiter.round_attempts, made.limiter.round_slow) == (counted, slow)
    assert (made.server.evidence > 0) is costs
    assert (made.server.connect_backoff.failures > 0) is fails_connect
    assert bool(made.limiter.latencies_ns) is (outcome is Outcome.OK)
    origin = Feedback()
    origin.end(outcome, is_cache=False)
    assert (origin.limiter.round_attempts, origin.limiter.round_slow) == (counted, slow)
    assert origin.server.evidence == origin.server.used_at == origin.server.connect_backoff.failures == 0


@pytest.mark.parametrize(
    ("latency_ms", "changes", "slow"),
    [
        (260, {}, 1),  # half of the objective and its own work is 251 ms
        (250, {}, 0),
        (400, {"work_ns": 200 * MS}, 0),
        (500, {"idle_ns": None}, 0),  # a connection was opened for it
        (510, {"idle_ns": None}, 1),
        (10, {"malformed": True}, 0),
    ],
)
def test_an_attempt_is_slow_beyond_its_own_work_and_the_opening_of_its_connection(latency_ms, changes, slow):
    made = Feedback()
    made.end(Outcome.ERROR if "malformed" in changes else Outcome.OK, latency_ms, **changes)
    assert made.limiter.round_slow == slow


def test_the_failures_of_an_unhealthy_server_and_lost_connections_are_no_sign_of_load():
    made = Feedback()
    made.outliers.fleet_cost, made.server.cost, made.server.evidence, made.server.cost_at = (
        1.0,
        13.0,
        9.0,
        START,
    )
    made.end(Outcome.ERROR)
    assert made.limiter.round_attempts == 0 and made.server.evidence == 10
    made = Feedback()
    made.stale.stale_after_ns = 1.0 * S
    made.end(Outcome.TIMEOUT, idle_ns=2 * S)
    assert made.limiter.round_attempts == 0 and made.server.evidence == 0


def test_a_bad_round_halves_what_is_admitted_beyond_quotas():
    made = Feedback()
    for _ in range(4):  # so many slow ones end the round of a node with few attempts
        made.end(Outcome.FULL)
    assert made.quotas.admitted_over_quota == 0.5 and made.limiter.decreased_at > -math.inf
