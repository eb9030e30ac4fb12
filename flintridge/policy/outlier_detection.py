"""Outlier detection: measures the cost of servers per unit of work and derives their health from it."""

from flintridge import api
from flintridge.api import AttemptEnded, Outcome
from flintridge.policy.endpoint_state import Server, ServerTable
from flintridge.policy.server_fractions import (
    HEALTHY_COST_FACTOR,
    MIN_HEALTH,
    ServerFractions,
    evidence_at,
    health_of,
    likely_cost_at,
)
from flintridge.policy.slow_start import warmth_at, weight_root

NS_PER_MS = 1_000_000
FRACTIONS_MAX_AGE_NS = 500 * NS_PER_MS  # a server's own outcomes change its fraction immediately
UNHEALTHY = 0.5  # below this health, failures are attributed to the server itself and not to load
# Minimum costs of attempts that failed for these reasons, as multiples of the mean cost of a success.
MALFORMED_COST_FACTOR = 2.0
RESET_COST_FACTOR = 4.0
MAX_EVIDENCE = 9.0  # outcomes; so the newest outcome has a weight of at least one tenth
COST_SMOOTHING = 0.03  # the weight of one outcome in the mean costs of all servers and of a kind
SCORED_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET)


class OutlierDetection:
    """Tracks the health of servers, which determines the fraction of keys and of the cap that each gets.

    The cost of an attempt is its latency divided by the expected latency.

    Attributes:
        fleet_cost: The typical cost of a server of the fleet; None if unknown.
        kind_costs: The mean cost of successful attempts, by machine kind.
        fractions: The fractions of the ready servers as of the last refresh.
    """

    def __init__(self, table: ServerTable, rules: api.Rules) -> None:
        self.fleet_cost: float | None = None
        self.kind_costs: dict[int, float] = {}
        self.fractions = ServerFractions(table, rules)
        self._table = table
        self._rules = rules
        self._success_cost: float | None = None  # the mean cost of successful attempts at all servers
        self._fresh_until = 0

    def invalidate(self) -> None:
        """Have the fractions recomputed before their next use, because the endpoint list has changed."""
        self._fresh_until = 0

    def fresh_fractions(self, now: int) -> ServerFractions:
        """Return the fractions, recomputed if they are too old.

        They are not recomputed for each request, as that would take too much CPU time.
        """
        if now >= self._fresh_until:
            self.refresh(now)
        return self.fractions

    def refresh(self, now: int) -> None:
        """Recompute all fractions and the cost of the fleet."""
        self.fleet_cost = self.fractions.refresh(now, self.fleet_cost, self.kind_costs)
        self._fresh_until = now + FRACTIONS_MAX_AGE_NS

    def fraction(self, server: Server, now: int) -> float:
        """Return the fraction of keys and of the cap that a server gets at the instant `now`."""
        endpoint = server.endpoint
        warmth = warmth_at(endpoint, self._rules, now)
        return warmth * self.health(server, now) * weight_root(endpoint.weight, self._table.max_weight)

    def health(self, server: Server, now: int) -> float:
        """Return the health of a server, from MIN_HEALTH to 1."""
        if not self.fleet_cost:
            return 1.0
        return health_of(self.likely_cost(server, self.fleet_cost, now), self.fleet_cost)

    def is_unhealthy(self, server: Server, now: int) -> bool:
        """Return whether failures are attributed to the server itself and do not indicate load."""
        return self.health(server, now) < UNHEALTHY

    def likely_cost(self, server: Server, baseline: float, now: int) -> float:
        """Return the estimated cost of a server; `baseline` is used if the cost of its kind is unknown."""
        return likely_cost_at(server, now, self.kind_costs.get(server.endpoint.kind, baseline))

    def record(
        self, server: Server, expected_ns: float, event: AttemptEnded, now: int, is_failure: bool
    ) -> None:
        """Record the cost of an attempt at a cache server.

        Args:
            server: The server that it was sent to.
            expected_ns: Its expected latency in nanoseconds; 0 if unknown, in which case it is ignored.
            event: The event of its end.
            now: The current instant in nanoseconds.
            is_failure: Whether it failed for another reason than a malformed response or a broken connection.
        """
        if not expected_ns or event.outcome not in SCORED_OUTCOMES:
            return
        cost = self._cost(server.endpoint.kind, event, event.latency_ns / expected_ns, is_failure)
        evidence = min(MAX_EVIDENCE, evidence_at(server, now))
        server.cost += (cost - server.cost) / (evidence + 1)
        server.evidence = evidence + 1
        server.cost_at = now
        if self.fleet_cost is None:
            self.fleet_cost = cost
        name = server.endpoint.server
        if name in self._table.ready:
            self.fractions.override(name, self.fraction(server, now))
        self.fractions.track(server, now)

    def _cost(self, kind: int, event: AttemptEnded, cost: float, is_failure: bool) -> float:
        """Return the cost that is recorded for an attempt; a success also updates the mean costs."""
        # Failures are not included: each raised the baseline of the next, so costs grew without bound.
        baseline = self._success_cost or cost
        highest = baseline * HEALTHY_COST_FACTOR / MIN_HEALTH
        if is_failure:
            return highest
        if event.malformed:
            return min(max(cost, MALFORMED_COST_FACTOR * baseline), highest)
        if event.outcome is Outcome.RESET:
            return min(max(cost, RESET_COST_FACTOR * baseline), highest)
        cost = min(cost, highest)
        self._success_cost = baseline + COST_SMOOTHING * (cost - baseline)
        kind_cost = self.kind_costs.get(kind, cost)
        self.kind_costs[kind] = kind_cost + COST_SMOOTHING * (cost - kind_cost)
        return cost
