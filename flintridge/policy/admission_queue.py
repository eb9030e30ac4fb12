"""Admission queues: requests that wait for a permit of a concurrency limiter, and which is served next.

A request waits for as long as its client can still be answered in time, whether it was attempted before or
not, and whether it is its client's first try or a repeat. If the queue gets too long for all of them to be
answered in time, those that are served last are rejected at once.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Callable
from typing import NamedTuple

from flintridge import api
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.endpoint_state import Server
from flintridge.policy.open_request import OpenRequest, Upstream

MAX_SKIPPED = 4  # after this many requests without a free server, those behind them are not tried
CACHES_LIMIT = 4.0  # initial limit of attempts in flight at the cache servers
ORIGIN_LIMIT = 8.0  # initial limit of attempts in flight at the origin
ORIGIN_FLOOR_ATTEMPTS = 2.0  # upper bound of the origin limiter's floor, before the allocation is applied


class QueueEntry(NamedTuple):
    """A request that waits, with what its place depends on; entries are sorted by all fields in this order.

    Attributes:
        is_over_quota: Whether the request is over its tenant's quota; such requests come last.
        negative_weight: The priority weight of its class, negated.
        latest_start: Until when the request may wait, as estimated when it was queued, in nanoseconds.
        order: A number that increases with each entry.
        request: The request.
    """

    is_over_quota: bool
    negative_weight: float
    latest_start: int
    order: int
    request: OpenRequest


class AdmissionQueue:
    """The requests that wait for a permit of one limiter.

    Requests within their tenant's quota come first, then those of classes with a higher priority weight.
    Among these, the request that has to be sent the earliest to be in time is served first, as long as all
    requests can be. Once they cannot, and until the queue is empty, the request with the most time left is
    served first: a miss or a slow response makes it late the least often, so most clients are answered.

    Attributes:
        upstream: Where the attempts at these requests will be sent.
        limiter: The limiter that grants the permits.
        next_limiter: The limiter of the attempt that follows a miss; None if no other attempt follows.
    """

    def __init__(
        self, upstream: Upstream, limiter: ConcurrencyLimiter, next_limiter: ConcurrencyLimiter | None = None
    ) -> None:
        self.upstream = upstream
        self.limiter = limiter
        self.next_limiter = next_limiter
        self._entries: list[QueueEntry] = []  # sorted
        self._entry_of: dict[OpenRequest, QueueEntry] = {}
        self._is_overloaded = False  # whether the queue got too long since it was last empty
        self._scheduled_wake_up = 0  # the last instant that `admit` returned
        self._scheduled_expiry = 0  # the last instant that `next_expiry` returned

    @property
    def waiting(self) -> int:
        """The number of requests that wait for a permit."""
        return len(self._entries)

    def push(self, request: OpenRequest, order: int) -> None:
        """Add a request to the queue; `order` has to increase with each call."""
        if not self._entries:
            self._is_overloaded = False
        request.queued_for = self.upstream
        weight = request.request_class.priority_weight
        self._add(QueueEntry(request.over_quota, -weight, self.latest_start(request), order, request))

    def admit(
        self, now: int, try_send: Callable[[OpenRequest], bool], reject: Callable[[OpenRequest], None]
    ) -> int | None:
        """Try to send requests, in order of the queue, while there are permits.

        Args:
            now: The current instant in nanoseconds.
            try_send: Sends or ends a request; returns False if no server can take it now and it has to wait.
            reject: Ends a request that can no longer be served in time.

        Returns:
            The instant in nanoseconds at which `admit` has to be called again even if no attempt ends before;
            None if that is not necessary. Each such instant is returned only once.
        """
        skipped: list[QueueEntry] = []
        while self._entries and len(skipped) < MAX_SKIPPED and self.limiter.has_permit(now):
            entry = self._entries[self._first_index()]
            request = entry.request
            self._remove(request)
            if now + self._mean_attempt_ns(request) > request.event.deadline:
                reject(request)
            elif not try_send(request):
                skipped.append(entry)
        for entry in skipped:
            self._add(entry)
        return self._next_wake_up(now)

    def shed(self, now: int) -> list[OpenRequest]:
        """Remove and return the requests that are not expected to get a permit in time.

        Their clients are better told now than when their time is over: they may still try elsewhere.
        """
        shed: list[OpenRequest] = []
        while self._entries:
            wait_ns = self.expected_wait_ns(self.waiting - 1, now)
            request = self._entries[self._last_index()].request
            if now + wait_ns <= self.latest_start(request):
                break
            if self._is_overloaded:
                self._remove(request)
                shed.append(request)
            else:
                self._is_overloaded = True  # which changes the order
        return shed

    def expire(self, now: int) -> list[OpenRequest]:
        """Remove and return the requests that can no longer be sent in time."""
        expired: list[OpenRequest] = []
        while self._entries:
            entry = self._earliest_entry()
            if entry.latest_start > now:
                break
            request = entry.request
            self._remove(request)
            latest_start = self.latest_start(request)
            if latest_start <= now:
                expired.append(request)
            else:
                self._add(entry._replace(latest_start=latest_start))
        return expired

    def next_expiry(self, now: int) -> int | None:
        """Return the instant in nanoseconds at which `expire` has to be called.

        None if no request waits, or if an instant that is as early was returned before. Guards memory: there
        are few timers, however many requests come and go.
        """
        if not self._entries:
            return None
        earliest = self._earliest_entry().latest_start
        if now < self._scheduled_expiry <= earliest:
            return None
        self._scheduled_expiry = earliest
        return earliest

    def holds(self, request: OpenRequest) -> bool:
        """Return whether a request waits for a permit, and not for another request's fetch."""
        return request in self._entry_of

    def abandon(self, request: OpenRequest) -> None:
        """Remove a finished request, which may also have waited for another request's fetch."""
        request.queued_for = None
        if request in self._entry_of:
            self._remove(request)

    def latest_start(self, request: OpenRequest) -> int:
        """Return until when a request may wait for its client to be answered in time, in nanoseconds.

        The client's time also has to suffice for an attempt at the origin, unless a server has just stored
        the value.
        """
        needed_ns = self._likely_attempt_ns(self.limiter, request)
        if self.next_limiter is not None and request.preferred_server is None:
            needed_ns += self._likely_attempt_ns(self.next_limiter, request)
        return request.event.deadline - int(needed_ns)

    def expected_wait_ns(self, ahead: int, now: int, assumed_duration_ns: float = 0.0) -> float:
        """Estimate how long a request waits for a permit behind others, in nanoseconds.

        Args:
            ahead: The number of others.
            now: The current instant in nanoseconds.
            assumed_duration_ns: The duration of an attempt that is assumed if none has ended yet.
        """
        limiter = self.limiter
        interval_ns = limiter.permit_interval_ns(assumed_duration_ns)
        if limiter.inflight == 0:
            return max(0, limiter.paused_until - now) + ahead * interval_ns
        return (ahead + 1) * interval_ns

    def _mean_attempt_ns(self, request: OpenRequest) -> float:
        """Return how long an attempt takes on average, in nanoseconds; at most its time budget.

        It is 0 if it is unknown: with a permit, there is nothing to lose by an attempt.
        """
        mean_ns = max(self.limiter.mean_latency_ns(request), request.event.work_ns or 0)
        return min(mean_ns, request.attempt_budget_ns)

    @staticmethod
    def _likely_attempt_ns(limiter: ConcurrencyLimiter, request: OpenRequest) -> float:
        """Return a duration that an attempt rarely exceeds, in nanoseconds; at most its time budget.

        With the budget as the upper bound, requests of a class that was slow may still wait for the limiter
        to make it faster. It is also assumed if no request of the class was served yet.
        """
        likely_ns = limiter.likely_latency_ns(request)
        if likely_ns is None:
            return request.attempt_budget_ns
        return min(max(likely_ns, request.event.work_ns or 0), request.attempt_budget_ns)

    def _add(self, entry: QueueEntry) -> None:
        insort(self._entries, entry)
        self._entry_of[entry.request] = entry

    def _remove(self, request: OpenRequest) -> None:
        entry = self._entry_of.pop(request)
        del self._entries[bisect_left(self._entries, entry)]

    def _earliest_entry(self) -> QueueEntry:
        """Return the entry with the earliest latest start; in each group, it is the first one."""
        earliest = self._entries[0]
        index = self._end_of_group(earliest)
        while index < len(self._entries):
            entry = self._entries[index]
            if entry.latest_start < earliest.latest_start:
                earliest = entry
            index = self._end_of_group(entry)
        return earliest

    def _end_of_group(self, entry: QueueEntry) -> int:
        """Return the index behind the entries with the same quota status and weight."""
        return bisect_left(self._entries, (entry.is_over_quota, entry.negative_weight, math.inf))

    def _first_index(self) -> int:
        """Return the index of the entry that is served first."""
        if not self._is_overloaded:
            return 0
        return self._end_of_group(self._entries[0]) - 1

    def _last_index(self) -> int:
        """Return the index of the entry that is served last."""
        if not self._is_overloaded:
            return len(self._entries) - 1
        last = self._entries[-1]
        return bisect_left(self._entries, (last.is_over_quota, last.negative_weight))

    def _next_wake_up(self, now: int) -> int | None:
        """Return the end of the limiter's pause if requests wait for nothing else, or None."""
        limiter = self.limiter
        paused_until = limiter.paused_until
        if (
            not self._entries
            or limiter.inflight
            or now >= paused_until
            or paused_until == self._scheduled_wake_up
        ):
            return None
        self._scheduled_wake_up = paused_until
        return paused_until


class AdmissionQueues:
    """The queues and limiters for the cache servers and for the origin.

    Attributes:
        caches: The queue for the cache servers; if `origin_kind` is None, for all servers.
        origin: The queue for the origin; unused if `origin_kind` is None.
    """

    def __init__(self, origin_kind: int | None) -> None:
        origin_limiter = ConcurrencyLimiter(ORIGIN_LIMIT)
        after_a_miss = None if origin_kind is None else origin_limiter
        self.caches = AdmissionQueue(Upstream.CACHES, ConcurrencyLimiter(CACHES_LIMIT), after_a_miss)
        self.origin = AdmissionQueue(Upstream.ORIGIN, origin_limiter)
        self._origin_kind = origin_kind

    def select(self, to_origin: bool) -> AdmissionQueue:
        """Return the origin's queue if `to_origin` is true and there is an origin, or the caches' queue."""
        return self.origin if to_origin and self._origin_kind is not None else self.caches

    def of_server(self, server: Server) -> AdmissionQueue:
        """Return the queue whose limiter counts the attempts at a server."""
        return self.origin if server.endpoint.kind == self._origin_kind else self.caches

    def containing(self, request: OpenRequest) -> AdmissionQueue | None:
        """Return the queue in which a request waits, or None if it does not wait."""
        if request.queued_for is None:
            return None
        return self.origin if request.queued_for is Upstream.ORIGIN else self.caches

    def apply(self, allocation: api.AllocationUpdate, servers: float) -> None:
        """Set the floors and maximum permits of the limiters.

        Args:
            allocation: The allocation in effect.
            servers: The number of ready cache servers per node. It is the basis of the floors, so that the
                floors of all nodes together admit one attempt per cache server.
        """
        self.caches.limiter.max_permits = allocation.cache_permits
        self.origin.limiter.max_permits = allocation.origin_permits
        self.caches.limiter.set_floor(servers * allocation.concurrency_floors)
        self.origin.limiter.set_floor(min(ORIGIN_FLOOR_ATTEMPTS, servers) * allocation.concurrency_floors)
