"""Attempts in flight under a fleet-wide limit on permits, as the core reports them."""

from flintridge.core.request import UpstreamAttempt
from flintridge.leases.demand import RecentPeak
from flintridge.leases.fleet_limit import FleetLimit


class PermitUsage:
    """The permits of one limit that are taken up.

    Attributes:
        limit: The limit; its unit is a permit.
    """

    def __init__(self, limit: FleetLimit, now: float) -> None:
        """Nothing is in flight at `now`."""
        self.limit = limit
        self._in_flight: set[tuple[str, int]] = set()  # request id, number of the attempt
        self._peak = RecentPeak(now)

    @property
    def count(self) -> int:
        """Attempts in flight."""
        return len(self._in_flight)

    def even_fractions(self) -> float:
        """Attempts in flight, in even fractions of the limit."""
        return len(self._in_flight) * self.limit.nodes / self.limit.total

    def start(self, attempt: UpstreamAttempt) -> None:
        """An attempt begins."""
        self._in_flight.add((attempt.id, attempt.number))

    def end(self, attempt: UpstreamAttempt) -> None:
        """An attempt has ended, whether or not it counted here."""
        self._in_flight.discard((attempt.id, attempt.number))

    def update_peak(self, now: float) -> float:
        """The most that was taken up of late, in even fractions."""
        self._peak.update(now, self.even_fractions())
        return self._peak.value
