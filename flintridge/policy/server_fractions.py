"""The fraction of its keys and of its cap that each ready server gets: warmth times health times weight root.

Only servers that this node has used recently are evaluated one by one. All others are assumed to be like
their kind: their fractions are computed on demand, and the sum of their fractions follows from sums that are
updated with each change of the endpoint list.
"""

import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from flintridge import api
from flintridge.policy.endpoint_state import Server, ServerTable
from flintridge.policy.slow_start import warmth_at, weight_root

NS_PER_S = 1_000_000_000
MIN_HEALTH = 0.1  # an unhealthy server keeps this fraction of its keys and cap, so that it is still tried
HEALTHY_COST_FACTOR = 1.3  # a server is healthy up to this multiple of the fleet's cost
PRIOR_OUTCOMES = 2.0  # each server starts with this many assumed outcomes at the cost of its kind
EVIDENCE_HALF_LIFE_NS = 5 * NS_PER_S
MAX_TRACKED_SERVERS = 256  # up to this number, servers stay tracked regardless of the age of their outcomes
MIN_TRACKED_EVIDENCE = 0.01  # outcomes; beyond MAX_TRACKED_SERVERS, servers with less evidence are dropped


def evidence_at(server: Server, now: int) -> float:
    """Return the number of outcomes that a server's cost is based on, decayed by their age."""
    return server.evidence * math.pow(0.5, (now - server.cost_at) / EVIDENCE_HALF_LIFE_NS)


def likely_cost_at(server: Server, now: int, kind_cost: float) -> float:
    """Return the estimated cost of a server: the mean of its own and its kind's, weighted by evidence."""
    evidence = server.evidence * math.pow(0.5, (now - server.cost_at) / EVIDENCE_HALF_LIFE_NS)
    return (evidence * server.cost + PRIOR_OUTCOMES * kind_cost) / (evidence + PRIOR_OUTCOMES)


def health_of(cost: float, fleet_cost: float | None) -> float:
    """Return the health of a server with this cost, from MIN_HEALTH to 1; 1 for a cost of 0."""
    if not fleet_cost or not cost:
        return 1.0
    return min(1.0, max(MIN_HEALTH, HEALTHY_COST_FACTOR * fleet_cost / cost))


class ScoredServer(NamedTuple):
    """A ready server with outcomes of its own; a refresh creates hundreds of them.

    Attributes:
        server: The server.
        cost: Its estimated cost at the time of the refresh.
    """

    server: Server
    cost: float


class ServerFractions(Mapping[str, float]):
    """The fractions of all ready servers, as of the last refresh or a later outcome.

    Attributes:
        sum: The sum of all fractions.
        computed: The fractions that were requested since the last refresh or differ from those of their
            kind, by name.
    """

    def __init__(self, table: ServerTable, rules: api.Rules) -> None:
        self.sum = 0.0
        self._table = table
        self._ready = table.ready
        self._rules = rules
        self._computed_at = 0
        self._kind_health: dict[int, float] = {}
        self.computed: dict[str, float] = {}
        self._tracked: dict[str, Server] = {}  # the least recently used first

    def __getitem__(self, name: str) -> float:
        fraction = self.computed.get(name)
        if fraction is None:
            endpoint = self._ready[name].endpoint
            fraction = self._fraction(endpoint, self._kind_health.get(endpoint.kind, 1.0))
            self.computed[name] = fraction
        return fraction

    def __iter__(self) -> Iterator[str]:
        return iter(self._ready)

    def __len__(self) -> int:
        return len(self._ready)

    def override(self, name: str, fraction: float) -> None:
        """Set the fraction of one server until the next refresh."""
        self.sum += fraction - self[name]
        self.computed[name] = fraction

    def track(self, server: Server, now: int) -> None:
        """Evaluate a server by its own outcomes from now on.

        If too many servers are tracked, the least recently used one is dropped once its evidence has decayed.
        """
        name = server.endpoint.server
        self._tracked.pop(name, None)
        self._tracked[name] = server
        if len(self._tracked) > MAX_TRACKED_SERVERS:
            oldest = next(iter(self._tracked))
            if evidence_at(self._tracked[oldest], now) < MIN_TRACKED_EVIDENCE:
                self._tracked.pop(oldest).evidence = 0.0

    def refresh(self, now: int, fleet_cost: float | None, kind_costs: Mapping[int, float]) -> float | None:
        """Recompute all fractions.

        Args:
            now: The current instant in nanoseconds.
            fleet_cost: The previous cost of the fleet; None if unknown.
            kind_costs: The costs of the machine kinds for which it is known.

        Returns:
            The new cost of the fleet: the cost of the server at one third of all servers, sorted by cost.
        """
        sums = self._table.warmth_sums
        sums.set_max_weight(self._table.max_weight, (server.endpoint for server in self._ready.values()))
        totals = sums.totals(now)
        self._computed_at = now
        self.computed.clear()
        self._kind_health = {}
        if not fleet_cost or not self._ready:
            self.sum = math.fsum(totals.values())
            return fleet_cost
        baselines = {kind: kind_costs.get(kind, fleet_cost) for kind in totals}
        scored = self._score_ready(now, baselines)
        new_cost = self._third_from_best(scored, baselines)
        self._kind_health = {kind: health_of(kind_costs.get(kind, new_cost), new_cost) for kind in totals}
        self.sum = math.fsum(total * self._kind_health[kind] for kind, total in totals.items())
        healthy_cost = HEALTHY_COST_FACTOR * new_cost
        healthy_kinds = {
            kind for kind, health in self._kind_health.items() if health == 1 and kind in kind_costs
        }
        for one in scored:
            if one.cost > healthy_cost or one.server.endpoint.kind not in healthy_kinds:
                self._set_own_fraction(one, now, new_cost, kind_costs)
        return new_cost

    def _score_ready(self, now: int, kind_costs: Mapping[int, float]) -> list[ScoredServer]:
        scored: list[ScoredServer] = []
        forgotten: list[str] = []
        for name, server in self._tracked.items():
            if self._ready.get(name) is server:
                scored.append(
                    ScoredServer(server, likely_cost_at(server, now, kind_costs[server.endpoint.kind]))
                )
            elif self._table.servers.get(name) is not server:
                forgotten.append(name)
        for name in forgotten:
            del self._tracked[name]
        return scored

    def _third_from_best(self, scored: list[ScoredServer], kind_costs: Mapping[int, float]) -> float:
        """Return the estimated cost of the server at one third of all ready servers, sorted by cost.

        Servers that are not tracked have the cost of their kind.
        """
        unscored = dict(self._table.warmth_sums.sizes)
        for one in scored:
            unscored[one.server.endpoint.kind] -= 1
        costs = [(one.cost, 1) for one in scored]
        costs += [(kind_costs[kind], count) for kind, count in unscored.items() if count]
        costs.sort()
        rank = len(self._ready) // 3
        at = 0
        while rank >= costs[at][1]:
            rank -= costs[at][1]
            at += 1
        return costs[at][0]

    def _set_own_fraction(
        self, one: ScoredServer, now: int, fleet_cost: float, kind_costs: Mapping[int, float]
    ) -> None:
        """Give a tracked server its own fraction if its health differs from that of its kind."""
        endpoint = one.server.endpoint
        cost = one.cost if endpoint.kind in kind_costs else likely_cost_at(one.server, now, fleet_cost)
        health = health_of(cost, fleet_cost)
        kind_health = self._kind_health[endpoint.kind]
        if health != kind_health:
            fraction = self._fraction(endpoint, health)
            self.sum += fraction - self._fraction(endpoint, kind_health)
            self.computed[endpoint.server] = fraction

    def _fraction(self, endpoint: api.Endpoint, health: float) -> float:
        warmth = warmth_at(endpoint, self._rules, self._computed_at)
        return warmth * health * weight_root(endpoint.weight, self._table.max_weight)
