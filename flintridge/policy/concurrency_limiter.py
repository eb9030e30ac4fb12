"""Adaptive concurrency limiters: how many attempts may be in flight, by how many of them are slow."""

import math
from dataclasses import dataclass, field
from enum import Enum

from flintridge.policy.open_request import OpenRequest

NS_PER_MS = 1_000_000
MAX_SLOW_FRACTION = 0.2  # of a round's attempts, before the limit decreases
ROUND_MIN_ATTEMPTS = 8  # fewer slow ones may be rng
EARLY_END_SLOW_ATTEMPTS = 4  # end the round of a node that never has ROUND_MIN_ATTEMPTS in flight
MAX_DECREASE_FRACTION = 0.45  # of the limit, by a round whose attempts are all slow
MIN_USED_FRACTION = 0.7  # of the limit; with fewer in flight a good round says nothing of a larger one
INCREASE_FRACTION = 0.05  # of the limit, by a good round
LATENCY_SMOOTHING = 0.05  # the weight of one response in the mean
INITIAL_LIMIT_PER_SERVER = 2.0
MIN_FLOOR = 0.1  # of a limit: enough to notice a recovery
MAX_MIN_INCREASE = 1.0  # that a good round adds at least


class RoundResult(Enum):
    """What an attempt's end means for its limiter's round."""

    RUNNING = "running"
    """The round is not over."""
    GOOD = "good"
    BAD = "bad"
    """Too many of its attempts were slow: the limit has decreased."""


@dataclass(slots=True, eq=False)
class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease by the fraction of a round's attempts that are slow.

    Attributes:
        limit: Attempts in flight; below 1: one at a time, with a pause after each.
        floor: It never decreases below.
        max_permits: The allocation: what may be in flight whatever the limit.
        min_increase: What a good round adds at least.
        inflight: Attempts in flight.
        peak_inflight: The most of them in this round.
        paused_until: With a limit below 1, the next attempt may start at this instant, in nanoseconds.
        decreased_at: When the limit last decreased; -inf: never.
        doubling: Whether good rounds double the limit, which they do until the first bad one.
        round_started_at: In nanoseconds.
        round_attempts: Attempts that ended in this round.
        round_slow: The slow ones of them.
        latencies_ns: The usual latency of what was served, by request class.
    """

    limit: float
    floor: float = 1.0
    max_permits: float = math.inf
    min_increase: float = 1.0
    inflight: int = 0
    peak_inflight: int = 0
    paused_until: int = 0
    decreased_at: float = -math.inf
    doubling: bool = True
    round_started_at: int = 0
    round_attempts: int = 0
    round_slow: int = 0
    latencies_ns: dict[int, float] = field(default_factory=dict)

    def set_floor(self, attempts: float) -> None:
        """Set this node's part of what all nodes' floors together admit, in attempts."""
        self.floor = max(MIN_FLOOR, attempts)
        self.min_increase = min(MAX_MIN_INCREASE, self.floor)

    def raise_initial_limit(self, servers: int) -> None:
        """Begin with a limit for so many servers, unless a bad round has shown better."""
        if self.doubling:
            self.limit = max(self.limit, INITIAL_LIMIT_PER_SERVER * servers)

    def has_permit(self, now: int) -> bool:
        """Whether one more attempt may start."""
        is_paused = self.inflight == 0 and now < self.paused_until
        return self.inflight < min(self.max_permits, max(1.0, self.limit)) and not is_paused

    def acquire(self) -> None:
        """Count an attempt that starts."""
        self.inflight += 1
        if self.inflight > self.peak_inflight:
            self.peak_inflight = self.inflight

    def release(self, now: int, latency_ns: int) -> None:
        """Count an attempt that ended no more; with a limit below 1 the pause begins."""
        self.inflight -= 1
        self.paused_until = now + int(latency_ns * (1 / self.limit - 1)) if self.limit < 1 else 0

    def record(self, now: int, slow: bool, sent_at: int) -> RoundResult:
        """Take in an attempt that ended, and change the limit where its round is over.

        Args:
            now: In nanoseconds.
            slow: Whether it was slow or failed.
            sent_at: When it was sent; a round ends with an attempt that was sent in it.

        Returns:
            How the round stands.
        """
        self.round_attempts += 1
        self.round_slow += slow
        if self.round_attempts < self._round_length() or sent_at < self.round_started_at:
            return RoundResult.RUNNING
        is_bad = self.round_slow > MAX_SLOW_FRACTION * self.round_attempts
        if is_bad:
            self._decrease(now)
        elif self.inflight + 1 >= MIN_USED_FRACTION * self.limit:
            self.limit += (
                self.limit if self.doubling else max(self.min_increase, INCREASE_FRACTION * self.limit)
            )
        self.round_started_at = now
        self.round_attempts = 0
        self.round_slow = 0
        self.peak_inflight = self.inflight
        return RoundResult.BAD if is_bad else RoundResult.GOOD

    def mean_latency_ns(self, request: OpenRequest, unknown_ns: float = 0.0) -> float:
        """The usual latency of a request's class; `unknown_ns` where none was served."""
        return self.latencies_ns.get(request.event.class_index, unknown_ns)

    def record_latency(self, request: OpenRequest, latency_ns: int) -> None:
        """Take in the latency of a request that was served."""
        mean_latency_ns = self.mean_latency_ns(request, float(latency_ns))
        smoothed_ns = mean_latency_ns + LATENCY_SMOOTHING * (latency_ns - mean_latency_ns)
        self.latencies_ns[request.event.class_index] = smoothed_ns

    def _decrease(self, now: int) -> None:
        self.doubling = False
        self.decreased_at = now
        reached = min(self.limit, max(self.peak_inflight, self.inflight) + 1)
        slow_fraction = self.round_slow / self.round_attempts
        self.limit = max(self.floor, reached * (1 - MAX_DECREASE_FRACTION * slow_fraction**2))

    def _round_length(self) -> int:
        """In attempts: a thin node's round ends once it is clearly slow."""
        has_low_concurrency = self.peak_inflight < ROUND_MIN_ATTEMPTS
        is_clearly_slow = has_low_concurrency and self.round_slow >= EARLY_END_SLOW_ATTEMPTS
        return max(EARLY_END_SLOW_ATTEMPTS if is_clearly_slow else ROUND_MIN_ATTEMPTS, self.inflight)
