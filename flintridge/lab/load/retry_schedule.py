"""When a client retries a request: the delay, the number of retries, the deadline, and whether it is safe."""

import random
from dataclasses import dataclass
from typing import Literal

from flintridge.lab.scenario.model import RequestClass, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw

MIN_REMAINING_MS = 5.0  # no retry is sent with less time left than this


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The retry policy of all clients.

    Attributes:
        max_retries: Maximum number of attempts after the first.
        backoff: How the delay is chosen: no delay, the mean, or with jitter 0.5 to 1.5 times the mean.
        backoff_ms: The mean delay.
        max_retry_after_ms: A longer retry-after time counts as this.
    """

    max_retries: int
    backoff: Literal["none", "fixed", "jitter"]
    backoff_ms: float
    max_retry_after_ms: float

    @classmethod
    def of(cls, scenario: Scenario, seeds: Seeds) -> "RetryPolicy":
        """Return the retry policy of a scenario's clients."""
        return cls(
            max_retries=scenario.clients.retries,
            backoff=scenario.clients.backoff,
            backoff_ms=draw(seeds.of("load/backoff"), scenario.clients.backoff_ms),
            max_retry_after_ms=scenario.limits.max_retry_after_ms,
        )


class RetrySchedule:
    """The retries of one request.

    Attributes:
        deadline_ms: When the client gives up the request.
        attempt_number: The number of the current attempt: 0 for the first, -1 before it.
    """

    __slots__ = (
        "_class",
        "_first_sent_ms",
        "_follows_retry_after",
        "_is_keyed_everywhere",
        "_policy",
        "attempt_number",
        "deadline_ms",
    )

    def __init__(
        self,
        policy: RetryPolicy,
        request_class: RequestClass,
        deadline_ms: float,
        follows_retry_after: bool,
    ) -> None:
        self._policy = policy
        self._class = request_class
        self._follows_retry_after = follows_retry_after
        # All servers drop repeats of such a request within its deduplication window.
        self._is_keyed_everywhere = (
            request_class.effect == "keyed" and request_class.deduplication_scope == "all"
        )
        self._first_sent_ms: float | None = None  # when the first attempt that a node accepted was sent
        self.deadline_ms = deadline_ms
        self.attempt_number = -1

    def start_attempt(self) -> None:
        """Count a new attempt."""
        self.attempt_number += 1

    def attempt_sent(self, now_ms: float) -> None:
        """Record that an attempt was sent: the deduplication window starts with the first one."""
        if self._first_sent_ms is None:
            self._first_sent_ms = now_ms

    def is_in_window(self, at_ms: float) -> bool:
        """Whether `at_ms` is within the deduplication window; True if the request does not rely on one."""
        if not self._is_keyed_everywhere or self._first_sent_ms is None:
            return True
        return at_ms <= self._first_sent_ms + self._class.deduplication_window_ms

    def next_attempt_ms(
        self, now_ms: float, is_harmless: bool, retry_after_ms: float, rng: random.Random
    ) -> float | None:
        """Return when to retry.

        Args:
            now_ms: When the attempt ended.
            is_harmless: Whether that attempt was surely not executed.
            retry_after_ms: The retry-after time of the node's rejection; 0: none.
            rng: The request's random generator.

        Returns:
            The time of the next attempt; None if there is none.
        """
        at_ms = now_ms + self._delay_ms(retry_after_ms, rng)
        if self.attempt_number >= self._policy.max_retries or at_ms + MIN_REMAINING_MS > self.deadline_ms:
            return None
        return at_ms if self._may_repeat(is_harmless, at_ms) else None

    def _may_repeat(self, is_harmless: bool, at_ms: float) -> bool:
        """Whether the client may repeat the request: it is safe, or it can't be executed twice."""
        if self._class.effect == "safe":
            return True
        # If all servers drop repeats, a node may reject what was executed, so the window applies in any case.
        if self._is_keyed_everywhere:
            return self.is_in_window(at_ms)
        return is_harmless  # all earlier attempts were harmless too, or this one would not exist

    def _delay_ms(self, retry_after_ms: float, rng: random.Random) -> float:
        jitter = rng.random()
        if retry_after_ms > 0 and self._follows_retry_after:
            return min(retry_after_ms, self._policy.max_retry_after_ms)
        if self._policy.backoff == "none":
            return 0.0
        return self._policy.backoff_ms * (0.5 + jitter if self._policy.backoff == "jitter" else 1.0)
