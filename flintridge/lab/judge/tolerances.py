"""How much later than a limit something may be seen, for the time that bytes take."""

from dataclasses import dataclass

from flintridge.lab.scenario.model import Scenario, Span

REAL_TIME_MS = 50.0  # in real time every limit is longer by this
ROUNDING_MS = 0.01  # for sums of floating point
LINK_MARGIN_MS = 1.0
ROUND_MARGIN_MS = 5.0


def maximum_of(span: Span) -> float:
    """The largest number that may be drawn from a span."""
    return span if isinstance(span, (int, float)) else max(span)


@dataclass(frozen=True, slots=True)
class Tolerances:
    """What the passage of bytes may add, in milliseconds.

    Attributes:
        client_ms: One way between a client and a node, at the most.
        server_ms: One way between a node and a server, at the most.
        limit_ms: Added to every limit of a rule.
    """

    client_ms: float
    server_ms: float
    limit_ms: float

    @classmethod
    def of(cls, scenario: Scenario, is_real_time: bool) -> "Tolerances":
        """The tolerances of a scenario."""
        links = scenario.links
        factor = 1 + links.jitter
        server_ms = max(maximum_of(links.same_ms), maximum_of(links.cross_ms)) * factor
        return cls(
            client_ms=maximum_of(links.client_ms) * factor + LINK_MARGIN_MS,
            server_ms=server_ms + LINK_MARGIN_MS,
            limit_ms=REAL_TIME_MS if is_real_time else 0.0,
        )

    @property
    def client_round_ms(self) -> float:
        """There and back between a client and a node."""
        return 2 * self.client_ms + ROUND_MARGIN_MS + self.limit_ms

    @property
    def server_round_ms(self) -> float:
        """There and back between a node and a server."""
        return 2 * self.server_ms + ROUND_MARGIN_MS + self.limit_ms
