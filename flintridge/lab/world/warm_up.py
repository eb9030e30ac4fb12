"""The warm-up curve: the fraction of its capacity that a server has while it warms up."""

from math import inf, sqrt


class WarmUpCurve:
    """A fraction of the full capacity that grows linearly from `initial_fraction` to 1.

    With a duration of 0 ms the server is warm from its start.
    """

    __slots__ = ("_slope", "_started_at", "_warm_at")

    def __init__(self, started_at: float, duration_ms: float, initial_fraction: float) -> None:
        """Start the curve.

        Args:
            started_at: When the server started (ms of the run).
            duration_ms: Time until the full capacity is reached (ms).
            initial_fraction: Fraction of the capacity at the start.
        """
        self._started_at = started_at
        self._warm_at = -inf
        self._slope = 0.0  # growth of the fraction per millisecond
        if duration_ms:
            self._warm_at = started_at + duration_ms
            self._slope = (1.0 - initial_fraction) / duration_ms

    @property
    def duration_ms(self) -> float:
        """Duration of the warm-up (ms); 0 for a server that starts with its full capacity."""
        return max(0.0, self._warm_at - self._started_at)

    def is_warming_up(self, now: float) -> bool:
        """Whether the full capacity is not reached yet at `now` (ms)."""
        return now < self._warm_at

    def fraction(self, now: float) -> float:
        """Return the fraction of the full capacity at `now` (ms)."""
        if now >= self._warm_at:
            return 1.0
        return 1.0 - self._slope * (self._warm_at - max(now, self._started_at))

    def warm_ms(self, start_at: float, elapsed_ms: float) -> float:
        """Return how long a warm server needs for the work that this server does in an interval.

        Args:
            start_at: Start of the interval (ms of the run).
            elapsed_ms: Length of the interval in milliseconds.

        Returns:
            Milliseconds, at most `elapsed_ms`.
        """
        warming_ms = min(elapsed_ms, self._warm_at - start_at)
        if warming_ms <= 0:
            return elapsed_ms
        return warming_ms * (self.fraction(start_at) + self._slope * warming_ms / 2) + elapsed_ms - warming_ms

    def elapsed_ms(self, start_at: float, warm_ms: float) -> float:
        """Return how long this server needs for the work of a warm one; the inverse of `warm_ms`.

        Args:
            start_at: Start of the work (ms of the run).
            warm_ms: How long a warm server needs for the work, in milliseconds.

        Returns:
            Milliseconds, at least `warm_ms`.
        """
        remaining_ms = self._warm_at - start_at
        if remaining_ms <= 0:
            return max(0.0, warm_ms)
        warm_up_ms = self.warm_ms(start_at, remaining_ms)
        if warm_ms >= warm_up_ms:
            return remaining_ms + warm_ms - warm_up_ms
        fraction = self.fraction(start_at)
        if not self._slope:
            return max(0.0, warm_ms / fraction)
        return max(0.0, 2 * warm_ms / (sqrt(fraction * fraction + 2 * self._slope * warm_ms) + fraction))
