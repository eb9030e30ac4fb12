"""Outlier detection: what servers cost for a unit of work, and which of them are unhealthy by that."""

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
FRACTIONS_MAX_AGE_NS = 500 * NS_PER_MS  # a server's own outcomes count at once
UNHEALTHY = 0.5  # below this health a server's failures are its own
MALFORMED_COST_FACTOR = 2.0  # of the usual cost
RESET_COST_FACTOR = 4.0
MAX_EVIDENCE = 9.0  # outcomes; so the newest counts a tenth at the least
COST_SMOOTHING = 0.03  # the weight of one outcome in the means of many servers
SCORED_OUTCOMES = (Outcome.OK, Outcome.ERROR, Outcome.FULL, Outcome.TIMEOUT, Outcome.RESET)


class OutlierDetection:
    """The health of servers, and by it the fraction of keys and of the cap that each has.

    Attributes:
        fleet_cost: The usual cost of a server; None while nothing is known.
        kind_costs: Of machines of a kind, while they are well.
        fractions: Of the ready servers, as they were when last refreshed.
    """

    def __init__(self, table: ServerTable, rules: api.Rules) -> None:
        self.fleet_cost: float | None = None
        self.kind_costs: dict[int, float] = {}
        self.fractions = ServerFractions(table, rules)
        self._table = table
        self._rules = rules
        self._success_cost: float | None = None  # of attempts that did not fail, at whichever server
        self._fresh_until = 0

    def invalidate(self) -> None:
        """Have the fractions worked out anew before they are next used: the list has changed."""
        self._fresh_until = 0

    def fresh_fractions(self, now: int) -> ServerFractions:
        """The fractions, worked out anew where they are too old; not for each request, as that costs CPU."""
        if now >= self._fresh_until:
            self.refresh(now)
        return self.fractions

    def refresh(self, now: int) -> None:
        """Work out all fractions and the fleet's cost anew."""
        self.fleet_cost = self.fractions.refresh(now, self.fleet_cost, self.kind_costs)
        self._fresh_until = now + FRACTIONS_MAX_AGE_NS

    def fraction(self, server: Server, now: int) -> float:
        """The fraction of keys and of the cap that a server has by now."""
        endpoint = server.endpoint
        warmth = warmth_at(endpoint, self._rules, now)
        return warmth * self.health(server, now) * weight_root(endpoint.weight, self._table.max_weight)

    def health(self, server: Server, now: int) -> float:
        """The health of a server, from MIN_HEALTH to 1."""
        if not self.fleet_cost:
            return 1.0
        return health_of(self.likely_cost(server, self.fleet_cost, now), self.fleet_cost)

    def is_unhealthy(self, server: Server, now: int) -> bool:
        """Whether the failures of a server are its own, and no sign of load."""
        return self.health(server, now) < UNHEALTHY

    def likely_cost(self, server: Server, baseline: float, now: int) -> float:
        """A server's cost, weighed against its kind's, or against `baseline` where that is not known."""
        return likely_cost_at(server, now, self.kind_costs.get(server.endpoint.kind, baseline))

    def record(
        self, server: Server, expected_ns: float, event: AttemptEnded, now: int, is_failure: bool
    ) -> None:
        """Take in what an attempt at a cache server cost.

        Args:
            server: Where it was sent.
            expected_ns: What it was expected to take; 0: nothing is known, and it says nothing.
            event: How it ended.
            now: In nanoseconds.
            is_failure: Whether it failed, other than by a malformed response or a broken connection.
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
        """What an attempt counts as; successes change the usual costs."""
        baseline = self._success_cost or cost  # not with failures: costs rose without end
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
