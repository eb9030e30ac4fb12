"""Attempt timeouts: set only if another attempt does no harm, is no extra load and can be in time."""

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
        ({}, {}, 250),  # after which an attempt counts as slow
        ({"work_ns": 100 * MS}, {}, 350),
        ({}, {"usual_ms": 100}, 400),  # four times the mean latency
        ({}, {"usual_ms": 300}, 1200),
        ({}, {"usual_ms": 450}, 0),  # the next attempt would be late
        ({}, {"decreased_s": 4}, 0),  # under load
        ({}, {"decreased_s": 6}, 250),
        ({}, {"decreased_s": 4, "is_stale": True}, 250),  # lost connections do not indicate load
        ({}, {"max_attempts": 2}, 0),  # it is the last attempt
        ({"effect": Effect.UNSAFE}, {}, 0),
        ({"effect": Effect.KEYED, "deduplication_window_ns": S}, {}, 250),
        (
            {"effect": Effect.KEYED, "deduplication_window_ns": 400 * MS},
            {},
            0,
        ),  # the deduplication window would have ended
    ],
)
def test_a_timeout_is_set_only_if_another_attempt_is_useful(request_changes, changes, expected_ms):
    queue = AdmissionQueues(None).caches
    queue.limiter.latencies_ns[0] = changes.get("usual_ms", 20) * MS
    if "decreased_s" in changes:
        queue.limiter.decreased_at = START - changes["decreased_s"] * S
    stale = StaleConnections(60 * S)
    if "is_stale" in changes:
        stale.stale_after_ns = S
    retries = RetryPolicy(changes.get("max_attempts", 4), 0, has_origin=False)
    request = open_request(**request_changes)
    attempted(request, "s1", Outcome.CONNECT_FAILED)  # counts as an attempt, but was not executed
    assert AttemptTimeout(retries, stale).timeout_ns(request, queue, START) == expected_ms * MS
