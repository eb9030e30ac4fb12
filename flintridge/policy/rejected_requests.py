"""Rejected requests: computes retry-after times and recognizes retries of rejected requests."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.quota import Quotas

MIN_RETRY_AFTER_NS = 1_000_000
# How many rejections are remembered: a client can have any number of requests rejected within their time.
MAX_REMEMBERED_REJECTIONS = 2_048
EXPIRY_CHECKS_PER_CALL = 2  # entries checked, and dropped if expired, for each new entry


class Fingerprint(NamedTuple):
    """The properties that a retry has in common with the rejected request.

    Attributes:
        class_index: The index of the request class.
        tenant: The index of the tenant.
        key: The key of the object that the request reads or writes.
        work_ns: The expected work in nanoseconds.
    """

    class_index: int
    tenant: int
    key: str | None
    work_ns: int | None

    @classmethod
    def of(cls, event: api.RequestReceived) -> "Fingerprint":
        """Return the fingerprint of a request."""
        return cls(event.class_index, event.tenant, event.key, event.work_ns)


@dataclass(slots=True, frozen=True)
class Rejection:
    """A rejected request, as it is remembered until its client may have given up.

    Attributes:
        first_arrived_at: The instant at which the first try of the request arrived, in nanoseconds.
        over_quota: Whether the request was over its tenant's quota.
    """

    first_arrived_at: int
    over_quota: bool


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


class RejectedRequests:
    """The rejected requests whose clients may still retry, by fingerprint."""

    def __init__(self, classes: Sequence[api.RequestClass], max_remembered: int) -> None:
        self._classes = classes
        self._max_remembered = max_remembered
        self._rejections: dict[Fingerprint, Rejection] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._rejections)

    def record(self, request: OpenRequest, now: int) -> None:
        """Remember a request that is rejected now; it replaces an earlier one with the same fingerprint."""
        rejections = self._rejections
        newest = Fingerprint.of(request.event)
        rejections.pop(newest, None)
        rejections[newest] = Rejection(request.first_arrived_at, request.over_quota)
        for oldest in list(itertools.islice(rejections, EXPIRY_CHECKS_PER_CALL)):
            if self._is_expired(rejections[oldest], oldest.class_index, now):
                del rejections[oldest]
        if len(rejections) > self._max_remembered:
            del rejections[next(iter(rejections))]

    def pop_match(self, event: api.RequestReceived, now: int) -> Rejection | None:
        """Remove and return the rejection that a request is a retry of.

        Args:
            event: The request. If it is not marked as a retry and has no expected work, it counts as new.
            now: The current instant in nanoseconds.

        Returns:
            The rejection; None if the request is new or the client of the rejected one has given up.
        """
        if not self._rejections or not (event.retry or event.work_ns is not None):
            return None
        rejection = self._rejections.pop(Fingerprint.of(event), None)
        if rejection is None or self._is_expired(rejection, event.class_index, now):
            return None
        return rejection

    def _is_expired(self, rejection: Rejection, class_index: int, now: int) -> bool:
        return now >= rejection.first_arrived_at + self._classes[class_index].deadline_ns
