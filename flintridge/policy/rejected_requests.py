"""Rejected requests: when their clients may come again, and which of those that come were rejected before."""

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.quota import Quotas

MIN_RETRY_AFTER_NS = 1_000_000
EXPIRY_CHECKS_PER_CALL = 2  # entries looked at, and dropped if expired, for each one that comes


class Fingerprint(NamedTuple):
    """What a retry has in common with the request that was rejected.

    Attributes:
        class_index: Its request class, by position.
        tenant: Its tenant, by position.
        key: The object that it reads or writes.
        work_ns: The work that it is expected to be.
    """

    class_index: int
    tenant: int
    key: str | None
    work_ns: int | None

    @classmethod
    def of(cls, event: api.RequestReceived) -> "Fingerprint":
        """The fingerprint of a request."""
        return cls(event.class_index, event.tenant, event.key, event.work_ns)


@dataclass(slots=True, frozen=True)
class Rejection:
    """What is remembered of a rejected request.

    Attributes:
        first_arrived_at: When its client sent it first, as far as known.
        over_quota: Whether it was beyond its tenant's quota.
    """

    first_arrived_at: int
    over_quota: bool


def retry_after_ns(
    request: OpenRequest, quotas: Quotas, queue: AdmissionQueue, limits: api.Limits, now: int
) -> int:
    """When a rejected request may come again: its quota or the queue will have capacity then.

    Args:
        request: The one that is rejected.
        quotas: They tell when one that is beyond its quota has a token.
        queue: In which it would wait.
        limits: Whether a rejection says it, and what at the most.
        now: In nanoseconds.

    Returns:
        In nanoseconds from now; 0: not said.
    """
    if not limits.retry_after:
        return 0
    wait_ns = quotas.wait_ns(request.event.tenant, now) if request.over_quota else None
    if wait_ns is None:
        wait_ns = queue.expected_wait_ns(request, now)
    return int(min(max(wait_ns, MIN_RETRY_AFTER_NS), limits.max_retry_after_ns))


class RejectedRequests:
    """The rejections of requests whose clients may still come again, by fingerprint."""

    def __init__(self, classes: Sequence[api.RequestClass], max_remembered: int) -> None:
        self._classes = classes
        self._max_remembered = max_remembered
        self._rejections: dict[Fingerprint, Rejection] = {}  # the oldest first

    def __len__(self) -> int:
        return len(self._rejections)

    def record(self, request: OpenRequest, now: int) -> None:
        """Remember a request that is rejected now, in place of an earlier one of the same fingerprint."""
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
        """Take out the rejection that a request is a retry of.

        Args:
            event: The request. Without a hint of its work or its client's word it is taken for a new one.
            now: In nanoseconds.

        Returns:
            None for a new request, or where the client of the rejected one has given up.
        """
        if not self._rejections or not (event.retry or event.work_ns is not None):
            return None
        rejection = self._rejections.pop(Fingerprint.of(event), None)
        if rejection is None or self._is_expired(rejection, event.class_index, now):
            return None
        return rejection

    def _is_expired(self, rejection: Rejection, class_index: int, now: int) -> bool:
        return now >= rejection.first_arrived_at + self._classes[class_index].deadline_ns
