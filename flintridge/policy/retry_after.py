"""Retry-after times: when the client of a rejected request may try again with a prospect of being served."""

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.quota import Quotas

MIN_RETRY_AFTER_NS = 1_000_000  # clients take 0 for no advice


def retry_after_ns(
    request: OpenRequest, quotas: Quotas, queue: AdmissionQueue, limits: api.Limits, now: int
) -> int:
    """Return the retry-after time of a rejection, when the quota or the queue is expected to have capacity.

    Args:
        request: The request that is rejected.
        quotas: The quotas, which determine the time if the request is over quota.
        queue: The queue in which the request would wait.
        limits: The limits, which define whether a retry-after time is sent and its maximum.
        now: The current instant in nanoseconds.

    Returns:
        The time to wait in nanoseconds; 0 if no retry-after time is sent.
    """
    if not limits.retry_after:
        return 0
    wait_ns = quotas.wait_ns(request.event.tenant, now) if request.over_quota else None
    if wait_ns is None:
        wait_ns = queue.expected_wait_ns(queue.waiting, now, request.attempt_budget_ns)
    return int(min(max(wait_ns, MIN_RETRY_AFTER_NS), limits.max_retry_after_ns))
