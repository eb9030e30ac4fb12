"""The work that was asked of a server lately, by which it may fall."""

from collections import deque


class Offered:
    """A sum over the last `window_ms`; calls come in the order of their times (ms)."""

    __slots__ = ("_parts", "_sum", "_window_ms")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._parts: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, now: float, work: float) -> float:
        """Count this work too: the sum with it."""
        parts = self._parts
        parts.append((now, work))
        self._sum += work
        while parts[0][0] <= now - self._window_ms:
            self._sum -= parts.popleft()[1]
        return self._sum

    def clear(self) -> None:
        self._parts.clear()
        self._sum = 0.0
