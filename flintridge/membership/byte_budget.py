"""A rate limit over a sliding window of one second, for bytes or for datagrams."""

from collections import deque

WINDOW_MS = 1000


class ByteBudget:
    """Grants at most `per_second` units in any window of one second. Times are float milliseconds.

    Limits the load on other nodes. Unlike a token bucket with a burst on top, it keeps the sum over *every*
    window of one second within the rate, so the bytes of all nodes of a fleet can be added up without an
    allowance for chance.
    """

    def __init__(self, per_second: float) -> None:
        """Create a budget with nothing spent.

        Args:
            per_second: Units that may be spent in any second.
        """
        self.per_second = per_second
        self._spent: deque[tuple[float, float]] = deque()
        self._total = 0.0

    def available(self, now: float) -> float:
        """Units that may be spent at `now`."""
        while self._spent and self._spent[0][0] <= now - WINDOW_MS:
            self._total -= self._spent.popleft()[1]
        if not self._spent:
            self._total = 0.0  # clears the rounding errors of the running sum
        return max(0.0, self.per_second - self._total)

    def try_spend(self, now: float, amount: float) -> bool:
        """Spend `amount` units at `now`; False, with nothing spent, if fewer are available."""
        if amount > self.available(now):
            return False
        self._spent.append((now, amount))
        self._total += amount
        return True
