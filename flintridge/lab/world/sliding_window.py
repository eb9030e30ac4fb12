"""A sum over a sliding window of time."""

from collections import deque


class SlidingWindowSum:
    """Sums the amounts added within the last `window_ms`; times must not decrease between calls."""

    __slots__ = ("_entries", "_total", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        """Start empty.

        Args:
            window_ms: How long an amount counts, in milliseconds.
        """
        self._window_ms = window_ms
        self._entries: deque[tuple[float, float]] = deque()  # time and amount
        self._total = 0.0

    def add(self, now: float, amount: float) -> float:
        """Add an amount.

        Args:
            now: Time of the run in milliseconds.
            amount: The amount.

        Returns:
            The sum over the window, including this amount.
        """
        entries = self._entries
        entries.append((now, amount))
        self._total += amount
        while entries[0][0] <= now - self._window_ms:
            self._total -= entries.popleft()[1]
        return self._total

    def clear(self) -> None:
        """Remove all amounts."""
        self._entries.clear()
        self._total = 0.0
