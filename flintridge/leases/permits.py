"""Attempts in flight under a fleet-wide limit on permits, as the request core reports them."""

from flintridge.core.request import UpstreamAttempt
from flintridge.leases.demand import RecentPeak
from flintridge.leases.fleet_limit import FleetLimit


class PermitUsage:
    """The permits of one limit that are in use.

    Attributes:
        limit: The limit, whose unit is a permit.
    """

    def __init__(self, limit: FleetLimit, now: float) -> None:
        """Start at `now` with no attempt in flight."""
        self.limit = limit
        self._in_flight: set[tuple[str, int]] = set()  # request id and attempt number
        self._peak = RecentPeak(now)

    @property
    def count(self) -> int:
        """Number of attempts in flight."""
        return len(self._in_flight)

    def even_fractions(self) -> float:
        """Attempts in flight, in even fractions of the limit."""
        return len(self._in_flight) * self.limit.nodes / self.limit.total

    def start(self, attempt: UpstreamAttempt) -> None:
        """Record that an attempt has begun."""
        self._in_flight.add((attempt.id, attempt.number))

    def end(self, attempt: UpstreamAttempt) -> None:
        """Record that an attempt has ended, whether or not it was counted under this limit."""
        self._in_flight.discard((attempt.id, attempt.number))

    def update_peak(self, now: float) -> float:
        """Update the recent peak of permits in use, and return it in even fractions."""
        self._peak.update(now, self.even_fractions())
        return self._peak.value
