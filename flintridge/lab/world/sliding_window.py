"""A sum over the most recent stretch of time."""

from collections import deque


class SlidingWindowSum:
    """Sums what was added within the last `window_ms`; calls come in the order of their times."""

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
        """Count an amount.

        Args:
            now: Time of the run in milliseconds.
            amount: What to add.

        Returns:
            The sum of the window, this amount included.
        """
        entries = self._entries
        entries.append((now, amount))
        self._total += amount
        while entries[0][0] <= now - self._window_ms:
            self._total -= entries.popleft()[1]
        return self._total

    def clear(self) -> None:
        """Forget everything."""
        self._entries.clear()
        self._total = 0.0
