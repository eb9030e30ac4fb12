"""A bound on bytes: so many a second, and in any second no more."""

from collections import deque


class Bucket:
    """Times are float milliseconds, passed in.

    Guards the others: unlike a bucket with a burst on top, the sum over *every* window of a second stays
    under `rate`, so that a node's bytes can be added up over a fleet without a share for chance.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._spent: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def room(self, now: float) -> float:
        while self._spent and self._spent[0][0] <= now - 1000:
            self._sum -= self._spent.popleft()[1]
        if not self._spent:
            self._sum = 0.0  # sums of floats drift
        return max(0.0, self.rate - self._sum)

    def take(self, now: float, amount: float) -> bool:
        """False, and nothing is taken, where there is no room for all of it."""
        if amount > self.room(now):
            return False
        self._spent.append((now, amount))
        self._sum += amount
        return True
