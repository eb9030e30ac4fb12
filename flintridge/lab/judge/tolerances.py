"""How much later than a limit an event may be recorded, because bytes take time on their way."""

from dataclasses import dataclass

from flintridge.lab.scenario.model import Scenario, Span

REAL_TIME_TOLERANCE_MS = 50.0  # added to every limit in real time
ROUNDING_MS = 0.01  # covers rounding errors of floating-point sums
LINK_MARGIN_MS = 1.0
ROUND_TRIP_MARGIN_MS = 5.0


def maximum_of(span: Span) -> float:
    """Return the largest value that can be drawn from a span."""
    return span if isinstance(span, (int, float)) else max(span)


@dataclass(frozen=True, slots=True)
class Tolerances:
    """What the delay of links may add to a limit, in milliseconds.

    Attributes:
        client_ms: Maximum one-way delay between a client and a node.
        server_ms: Maximum one-way delay between a node and a server.
        limit_ms: Added to every limit of a rule: 0 in virtual time.
    """

    client_ms: float
    server_ms: float
    limit_ms: float

    @classmethod
    def of(cls, scenario: Scenario, is_real_time: bool) -> "Tolerances":
        """Return the tolerances that follow from a scenario's links."""
        links = scenario.links
        factor = 1 + links.jitter
        server_ms = max(maximum_of(links.same_ms), maximum_of(links.cross_ms)) * factor
        return cls(
            client_ms=maximum_of(links.client_ms) * factor + LINK_MARGIN_MS,
            server_ms=server_ms + LINK_MARGIN_MS,
            limit_ms=REAL_TIME_TOLERANCE_MS if is_real_time else 0.0,
        )

    @property
    def client_round_trip_ms(self) -> float:
        """Maximum round trip between a client and a node."""
        return 2 * self.client_ms + ROUND_TRIP_MARGIN_MS + self.limit_ms

    @property
    def server_round_trip_ms(self) -> float:
        """Maximum round trip between a node and a server."""
        return 2 * self.server_ms + ROUND_TRIP_MARGIN_MS + self.limit_ms
