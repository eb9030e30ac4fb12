"""Adaptive concurrency limiters: limit the attempts in flight, depending on how many of them are slow."""

import math
from dataclasses import dataclass, field
from enum import Enum

from flintridge.policy.open_request import OpenRequest

NS_PER_MS = 1_000_000
MAX_SLOW_FRACTION = 0.2  # the limit decreases if more of a round's attempts are slow
ROUND_MIN_ATTEMPTS = 8  # with fewer attempts, a few slow ones may be chance
# This many slow attempts end the round early if there never were ROUND_MIN_ATTEMPTS in flight.
EARLY_END_SLOW_ATTEMPTS = 4
MAX_DECREASE_FRACTION = 0.45  # of the limit, after a round in which all attempts are slow
# With less of the limit in use, a good round does not show that a higher limit would be good too.
MIN_USED_FRACTION = 0.7
INCREASE_FRACTION = 0.05  # of the limit, after a good round
DURATION_SMOOTHING = 0.05  # the weight of one attempt in the exponential moving average of durations
LATENCY_SMOOTHING = 0.05  # the weight of one response in the exponential moving averages
# A response takes longer than the mean plus this many mean deviations only rarely (RFC 6298).
LIKELY_DEVIATIONS = 4.0
INITIAL_DEVIATION_FRACTION = 0.5  # of the first latency of a class (RFC 6298)
INITIAL_LIMIT_PER_SERVER = 2.0
MIN_FLOOR = 0.1  # attempts; enough to notice a recovery
MAX_MIN_INCREASE = 1.0  # attempts; upper bound of `ConcurrencyLimiter.min_increase`


class RoundResult(Enum):
    """The state of a limiter's round after the end of an attempt."""

    RUNNING = "running"
    """The round is not over."""
    GOOD = "good"
    BAD = "bad"
    """Too many attempts of the round were slow, so the limit has decreased."""


@dataclass(slots=True, eq=False)
class ConcurrencyLimiter:
    """An AIMD concurrency limiter (additive increase, multiplicative decrease).

    Attempts are counted in rounds. The fraction of slow attempts in a round decides whether the limit
    increases or decreases, and by how much it decreases.

    Attributes:
        limit: The limit of attempts in flight. Below 1, there is one attempt at a time and a pause after it.
        floor: The limit never decreases below this number of attempts.
        max_permits: The allocated maximum of attempts in flight, which applies in addition to `limit`.
        min_increase: The minimum number of attempts by which a good round increases the limit.
        inflight: The number of attempts in flight.
        peak_inflight: The maximum of `inflight` in this round.
        paused_until: While the limit is below 1, the next attempt may start at this instant, in nanoseconds.
        decreased_at: The instant of the last decrease of the limit, in nanoseconds; -inf if there was none.
        doubling: Whether good rounds double the limit, which is the case until the first bad round.
        round_started_at: The instant at which this round started, in nanoseconds.
        round_attempts: The number of attempts that ended in this round.
        round_slow: The number of slow attempts among them.
        mean_duration_ns: The mean duration of attempts in nanoseconds, however they ended; 0 if none has.
        latencies_ns: The mean latency of served requests in nanoseconds, by request class.
        deviations_ns: The mean deviation from it in nanoseconds, by request class.
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
    mean_duration_ns: float = 0.0
    latencies_ns: dict[int, float] = field(default_factory=dict)
    deviations_ns: dict[int, float] = field(default_factory=dict)

    def set_floor(self, attempts: float) -> None:
        """Set the floor to this node's share of the floors of all nodes, in attempts."""
        self.floor = max(MIN_FLOOR, attempts)
        self.min_increase = min(MAX_MIN_INCREASE, self.floor)

    def raise_initial_limit(self, servers: int) -> None:
        """Raise the limit to the initial limit for this number of servers, unless there was a bad round."""
        if self.doubling:
            self.limit = max(self.limit, INITIAL_LIMIT_PER_SERVER * servers)

    def has_permit(self, now: int) -> bool:
        """Return whether one more attempt may start."""
        is_paused = self.inflight == 0 and now < self.paused_until
        return self.inflight < min(self.max_permits, max(1.0, self.limit)) and not is_paused

    def acquire(self) -> None:
        """Count an attempt that starts as in flight."""
        self.inflight += 1
        if self.inflight > self.peak_inflight:
            self.peak_inflight = self.inflight

    def release(self, now: int, latency_ns: int) -> None:
        """Stop counting an attempt as in flight; if the limit is below 1, a pause begins."""
        self.inflight -= 1
        mean_ns = self.mean_duration_ns or float(latency_ns)
        self.mean_duration_ns = mean_ns + DURATION_SMOOTHING * (latency_ns - mean_ns)
        self.paused_until = now + int(latency_ns * (1 / self.limit - 1)) if self.limit < 1 else 0

    def permit_interval_ns(self, assumed_duration_ns: float = 0.0) -> float:
        """Return the mean time between two permits while all are in use, in nanoseconds; 0 if there are none.

        Args:
            assumed_duration_ns: The duration of an attempt that is assumed if none has ended yet.
        """
        permits = min(self.limit, self.max_permits)
        return (self.mean_duration_ns or assumed_duration_ns) / permits if permits > 0 else 0.0

    def record(self, now: int, slow: bool, sent_at: int) -> RoundResult:
        """Record the end of an attempt, and adapt the limit if this ends the round.

        Args:
            now: The current instant in nanoseconds.
            slow: Whether the attempt was slow or failed.
            sent_at: The instant at which it was sent. Only an attempt that was sent in this round can end it.

        Returns:
            The state of the round.
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
        """Return the mean latency of a request's class, or `unknown_ns` if no request of it was served."""
        return self.latencies_ns.get(request.event.class_index, unknown_ns)

    def likely_latency_ns(self, request: OpenRequest) -> float | None:
        """Return a latency that requests of this class rarely exceed, or None if none was served."""
        mean_ns = self.latencies_ns.get(request.event.class_index)
        if mean_ns is None:
            return None
        return mean_ns + LIKELY_DEVIATIONS * self.deviations_ns.get(request.event.class_index, 0.0)

    def record_latency(self, request: OpenRequest, latency_ns: int) -> None:
        """Record the latency of a request that was served."""
        class_index = request.event.class_index
        mean_ns = self.latencies_ns.get(class_index)
        if mean_ns is None:
            self.latencies_ns[class_index] = float(latency_ns)
            self.deviations_ns[class_index] = INITIAL_DEVIATION_FRACTION * latency_ns
            return
        error_ns = latency_ns - mean_ns
        deviation_ns = self.deviations_ns.get(class_index, 0.0)
        self.latencies_ns[class_index] = mean_ns + LATENCY_SMOOTHING * error_ns
        self.deviations_ns[class_index] = deviation_ns + LATENCY_SMOOTHING * (abs(error_ns) - deviation_ns)

    def _decrease(self, now: int) -> None:
        self.doubling = False
        self.decreased_at = now
        used_limit = min(self.limit, max(self.peak_inflight, self.inflight) + 1)
        slow_fraction = self.round_slow / self.round_attempts
        self.limit = max(self.floor, used_limit * (1 - MAX_DECREASE_FRACTION * slow_fraction**2))

    def _round_length(self) -> int:
        """Return the length of the round in attempts.

        With few attempts in flight, a round ends early once it is clearly slow.
        """
        has_low_concurrency = self.peak_inflight < ROUND_MIN_ATTEMPTS
        is_clearly_slow = has_low_concurrency and self.round_slow >= EARLY_END_SLOW_ATTEMPTS
        return max(EARLY_END_SLOW_ATTEMPTS if is_clearly_slow else ROUND_MIN_ATTEMPTS, self.inflight)
