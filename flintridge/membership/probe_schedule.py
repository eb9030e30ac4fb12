"""When a node probes: at a steady rate, and faster just after its start or a clock gap."""

from random import Random

from flintridge.membership.byte_budget import ByteBudget

PROBE_INTERVAL_MS = 300.0
EAGER_PROBE_INTERVAL_MS = 100.0  # just after the start, and after a clock gap
EAGER_MS = 2_000.0  # how long the eager interval is used
EAGER_BUDGET_FRACTION = 0.5  # fraction of a second's bytes that must be left for the eager interval
INTERVAL_VARIATION = 0.1  # fraction by which an interval is longer or shorter, at random


class ProbeSchedule:
    """Decides when a node sends its probes. Times are float milliseconds."""

    def __init__(self, budget: ByteBudget, now: float, rng: Random) -> None:
        """Begin with the eager interval at `now`.

        Args:
            budget: Byte budget of the node's datagrams.
            now: The current time.
            rng: Varies the intervals.
        """
        self._budget = budget
        self._rng = rng
        self._next_at = now + rng.uniform(0, EAGER_PROBE_INTERVAL_MS)
        self._eager_until = now + EAGER_MS

    def is_due(self, now: float) -> bool:
        """Whether to probe now; if so, the next probe is due an interval later."""
        if now < self._next_at:
            return False
        interval = self._interval_ms(now) * self._rng.uniform(1 - INTERVAL_VARIATION, 1 + INTERVAL_VARIATION)
        self._next_at = max(now, self._next_at + interval)
        return True

    def restart(self, now: float) -> None:
        """Probe at once and at the eager interval again, as all evidence is too old."""
        self._eager_until = now + EAGER_MS
        self._next_at = now

    def _interval_ms(self, now: float) -> float:
        is_eager = now < self._eager_until
        if is_eager and self._budget.available(now) > EAGER_BUDGET_FRACTION * self._budget.per_second:
            return EAGER_PROBE_INTERVAL_MS
        return PROBE_INTERVAL_MS
