"""Attempt timeouts: only where another attempt does no harm, adds to no load and can still be in time."""

import pytest
from support.policy import MS, START, S, attempted, open_request

from flintridge.api import Effect, Outcome
from flintridge.policy.admission_queue import AdmissionQueues
from flintridge.policy.attempt_timeout import AttemptTimeout
from flintridge.policy.retry import RetryPolicy
from flintridge.policy.stale_connections import StaleConnections


@pytest.mark.parametrize(
    ("request_changes", "changes", "expected_ms"),
    [
        ({}, {}, 250),  # half of the objective: slow from then on
        ({"work_ns": 100 * MS}, {}, 350),
        ({}, {"usual_ms": 100}, 400),  # four times the usual
        ({}, {"usual_ms": 200}, 0),  # the next would be late
        ({}, {"decreased_s": 4}, 0),  # under load
        ({}, {"decreased_s": 6}, 250),
        ({}, {"decreased_s": 4, "is_stale": True}, 250),  # connections that are lost are no load
        ({}, {"max_attempts": 2}, 0),  # it is the last one
        ({"effect": Effect.UNSAFE}, {}, 0),
        ({"effect": Effect.KEYED, "deduplication_window_ns": S}, {}, 250),
        ({"effect": Effect.KEYED, "deduplication_window_ns": 400 * MS}, {}, 0),  # the window would be over
    ],
)
def test_a_timeout_is_set_only_where_another_attempt_is_of_use(request_changes, changes, expected_ms):
    queue = AdmissionQueues(None).caches
    queue.limiter.latencies_ns[0] = changes.get("usual_ms", 20) * MS
    if "decreased_s" in changes:
        queue.limiter.decreased_at = START - changes["decreased_s"] * S
    stale = StaleConnections(60 * S)
    if "is_stale" in changes:
        stale.stale_after_ns = S
    retries = RetryPolicy(changes.get("max_attempts", 4), 0, has_origin=False)
    request = open_request(**request_changes)
    attempted(request, "s1", Outcome.CONNECT_FAILED)  # it counts, and was not executed
    assert AttemptTimeout(retries, stale).timeout_ns(request, queue, START) == expected_ms * MS
