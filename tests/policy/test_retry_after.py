"""Retry-after times of rejections: when a permit or a token of the quota is expected to be free."""

import math
import random

import pytest
from support.policy import MS, START, S, open_request

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.open_request import Upstream
from flintridge.policy.quota import Quotas
from flintridge.policy.retry_after import retry_after_ns

LIMITS = api.Limits(retry_after=True, max_retry_after_ns=60 * S)
NO_QUOTAS = Quotas((), 1, random.Random(1))


def queue_of(waiting: int, **changes) -> AdmissionQueue:
    limiter = ConcurrencyLimiter(4.0, mean_duration_ns=200 * MS, inflight=4)
    for name, value in changes.items():
        setattr(limiter, name, value)
    queue = AdmissionQueue(Upstream.CACHES, limiter)
    for order in range(waiting):
        queue.push(open_request(), order)
    return queue


@pytest.mark.parametrize(
    ("waiting", "changes", "expected_ms"),
    [
        (0, {}, 50),  # an attempt ends every 50 ms
        (3, {}, 200),
        (3, {"limit": 8.0}, 100),
        (3, {"max_permits": 2}, 400),
        (3, {"mean_duration_ns": 0.0}, 1000),  # no attempt has ended: its time budget is assumed
        (0, {"limit": 0.1, "inflight": 1}, 2000),  # an attempt, and the pause after it
        (0, {"limit": 0.1, "inflight": 0, "paused_until": START + 300 * MS}, 300),
        (2, {"limit": 0.1, "inflight": 0, "paused_until": START + 300 * MS}, 4300),
        (0, {"mean_duration_ns": 1.0}, 1),  # 0 would be no advice
        (0, {"inflight": 0}, 1),  # there is a permit
        (3, {"limit": 0.001, "max_permits": math.inf}, 60_000),  # the maximum of the settings
    ],
)
def test_a_client_may_retry_when_the_requests_that_wait_will_have_got_their_permits(
    waiting, changes, expected_ms
):
    queue = queue_of(waiting, **changes)
    assert retry_after_ns(open_request(), NO_QUOTAS, queue, LIMITS, START) == expected_ms * MS


def test_a_client_over_its_quota_may_retry_when_there_is_a_token():
    quotas = Quotas((api.Tenant("one", 2.0),), 1, random.Random(1))
    while quotas.try_take(0, START):
        pass
    request = open_request(over_quota=True)
    wait_ns = retry_after_ns(request, quotas, queue_of(9), LIMITS, START)
    assert wait_ns == pytest.approx(S / 3)  # 1.5 times two a second
    assert quotas.level(0, START + wait_ns) == pytest.approx(1)


def test_there_is_no_retry_after_time_if_the_settings_forbid_it():
    limits = api.Limits(retry_after=False, max_retry_after_ns=60 * S)
    assert retry_after_ns(open_request(), NO_QUOTAS, queue_of(3), limits, START) == 0
