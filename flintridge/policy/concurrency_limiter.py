"""Open requests, and the adaptive concurrency limiters in whose queues they wait for a permit."""

import heapq
import math
from dataclasses import dataclass, field

from flintridge import api

NS_PER_MS = 1_000_000
MAX_SLOW_FRACTION = 0.2  # of a round's attempts, before the limit decreases
MAX_WITHDRAWN = 32  # attempts at a request that do not count; guards against one that never ends
MAX_FIRST_WAIT_FRACTION = 0.45  # of its client's time that a request waits for its first attempt


@dataclass(slots=True)
class Attempt:
    server: str
    sent_at: int
    idle_ns: int | None  # how long its connection was unused; None: it had to be opened
    open: bool = True
    withdrawn: bool = False


@dataclass(slots=True, eq=False)
class OpenRequest:
    event: api.RequestReceived
    request_class: api.RequestClass
    slow_after_ns: float  # an attempt that takes longer counts as slow
    work: float  # as expected, in milliseconds; 1 where nothing is known
    first_arrived_at: int  # when its client sent it first, as far as known
    arrived_at: int
    over_quota: bool = False
    limiter: "ConcurrencyLimiter | None" = None  # whose permit it waits for
    missed_at: str | None = None  # the first server that missed: it stores what the origin answers
    preferred: str | None = None  # the server that has just stored its key
    attempts: list[Attempt] = field(default_factory=list)
    failed_servers: list[str] = field(default_factory=list)
    repeated_servers: list[str] = field(default_factory=list)  # that were asked once more
    executed_at: int | None = None  # send of the first ended attempt that may have been executed
    executed_by: api.Endpoint | None = None
    done: bool = False

    @property
    def attempts_made(self) -> int:  # those that were withdrawn were never sent
        withdrawn = sum(attempt.withdrawn for attempt in self.attempts)
        return len(self.attempts) - min(withdrawn, MAX_WITHDRAWN)


@dataclass(slots=True, eq=False)
class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease by the fraction of a round's attempts that are slow."""

    limit: float  # attempts in flight; below 1: one at a time, with a pause after each
    floor: float = 1.0  # it never decreases below
    max_permits: float = math.inf  # the allocation: what may be in flight whatever the limit
    step: float = 1.0  # what a good round adds at least
    inflight: int = 0
    peak_inflight: int = 0  # in this round
    next_at: int = 0  # with a limit below 1, the next attempt may start then
    decreased_at: float = -math.inf
    doubling: bool = True  # until the first bad round
    round_started_at: int = 0
    round_attempts: int = 0
    round_slow: int = 0
    queue: list[tuple[float, int, OpenRequest]] = field(default_factory=list)  # heap
    abandoned: int = 0  # entries of the queue whose requests are finished
    timer_at: int = 0  # set for `next_at`
    latencies_ns: dict[int, float] = field(default_factory=dict)  # means of what was served, by request class

    def has_permit(self, now: int) -> bool:
        is_paused = self.inflight == 0 and now < self.next_at
        return self.inflight < min(self.max_permits, max(1.0, self.limit)) and not is_paused

    def release(self, now: int, latency_ns: int) -> None:
        self.inflight -= 1
        self.next_at = now + int(latency_ns * (1 / self.limit - 1)) if self.limit < 1 else 0

    def record(self, now: int, slow: bool, sent_at: int) -> bool | None:  # a bad round; None: no end
        self.round_attempts += 1
        self.round_slow += slow
        if self.round_attempts < max(8, self.inflight) or sent_at < self.round_started_at:
            return None
        is_bad = self.round_slow > MAX_SLOW_FRACTION * self.round_attempts
        if is_bad:
            self.doubling = False
            self.decreased_at = now
            base = min(self.limit, max(self.peak_inflight, self.inflight) + 1)  # what was reached
            self.limit = max(self.floor, base * (1 - 0.3 * self.round_slow / self.round_attempts))
        elif self.inflight + 1 >= 0.7 * self.limit:
            self.limit += self.limit if self.doubling else max(self.step, 0.05 * self.limit)
        self.round_started_at = now
        self.round_attempts = self.round_slow = 0
        self.peak_inflight = self.inflight
        return is_bad

    def mean_latency_ns(self, request: OpenRequest, unknown_ns: float = 0.0) -> float:
        return self.latencies_ns.get(request.event.class_index, unknown_ns)

    def record_latency(self, request: OpenRequest, latency_ns: int) -> None:
        mean_latency_ns = self.mean_latency_ns(request, float(latency_ns))
        self.latencies_ns[request.event.class_index] = mean_latency_ns + 0.05 * (latency_ns - mean_latency_ns)

    def push(self, request: OpenRequest, priority: float, order: int) -> None:  # the newest first of equals
        request.limiter = self
        heapq.heappush(self.queue, (-priority, -order, request))

    def abandon(self) -> None:  # a finished request; entries are dropped many at once
        self.abandoned += 1
        if self.abandoned > 32 and self.abandoned > len(self.queue) / 2:
            self.queue = [entry for entry in self.queue if entry[2].limiter is self and not entry[2].done]
            heapq.heapify(self.queue)
            self.abandoned = 0

    def latest_start(self, request: OpenRequest) -> int:  # to be in time, or rejected early
        request_class = request.request_class
        mean_latency_ns = min(self.mean_latency_ns(request), request.slow_after_ns)
        is_late_useful = request_class.late_weight_fraction > 0
        useful_ns = request_class.deadline_ns if is_late_useful else request_class.latency_objective_ns
        latest = min(request.first_arrived_at + useful_ns, request.event.deadline) - int(mean_latency_ns)
        if all(attempt.withdrawn for attempt in request.attempts):
            client_ns = request.event.deadline - request.arrived_at
            wait_ns = max(0.0, MAX_FIRST_WAIT_FRACTION * client_ns - mean_latency_ns)
            latest = min(latest, request.arrived_at + int(wait_ns))
        return latest
