"""A baseline for the leasing of limits between nodes: an allocator that sees the demand at all nodes.

Once a second, each running node is notified by an `AllocationUpdate` of its fraction of each tenant's quota
and of the floors of the concurrency limiters. A fraction is proportional to the first attempts that clients
sent to the node in the last `DEMAND_WINDOW_MS`. The fractions of a limit always add up to the number of
nodes. They are up to a second old.

This is not the best possible allocation with full knowledge of demand. In proportion, a tenant that floods
the nodes gets all of its quota, too, at the cost of the others if that is more than the servers can serve.
"""

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from flintridge import api
from flintridge.lab.fabric import RunClock
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import AnyRecord, RequestSent
from flintridge.node import Node

ALLOCATION_INTERVAL_MS = 1000.0
DEMAND_WINDOW_MS = 3000.0


@dataclass(slots=True, frozen=True)
class AllocationMode:
    """Selects the limits that are allocated by demand; nodes have even fractions of the others.

    Attributes:
        tenants: Whether the tenants' quotas are.
        floors: Whether the floors of the concurrency limiters are.
    """

    tenants: bool = False
    floors: bool = False


class _Arrival(NamedTuple):
    at_ms: float
    node: str
    tenant: str


@dataclass(slots=True)
class RecentDemand:
    """Counts the clients' recent first attempts by node.

    Attributes:
        total: The first attempts of all tenants.
        by_tenant: The first attempts of each tenant.
    """

    total: Counter[str] = field(default_factory=Counter)
    by_tenant: dict[str, Counter[str]] = field(default_factory=dict)
    _arrivals: deque[_Arrival] = field(default_factory=deque)

    def observe(self, record: AnyRecord) -> None:
        """Count a record if it is of a request's first attempt."""
        if isinstance(record, RequestSent) and record.attempt_number == 0:
            self._arrivals.append(_Arrival(record.at_ms, record.node, record.tenant))
            self._count(record.node, record.tenant, 1)

    def forget(self, before_ms: float) -> None:
        """Remove attempts that were sent before `before_ms` from the counts."""
        while self._arrivals and self._arrivals[0].at_ms < before_ms:
            arrival = self._arrivals.popleft()
            self._count(arrival.node, arrival.tenant, -1)

    def _count(self, node: str, tenant: str, change: int) -> None:
        self.total[node] += change
        self.by_tenant.setdefault(tenant, Counter())[node] += change


def proportional_fractions(demand: Counter[str], nodes: Sequence[str]) -> dict[str, float]:
    """Return each node's allocation in even fractions, proportional to its demand.

    The allocations add up to the number of nodes. Without any demand, each node is allocated 1.
    """
    total = sum(demand[node] for node in nodes)
    if not total:
        return dict.fromkeys(nodes, 1.0)
    return {node: len(nodes) * demand[node] / total for node in nodes}


class AllocationOracle:
    """Allocates limits in a virtual run; `VirtualNodes` calls `attach` for each process that starts."""

    def __init__(
        self,
        mode: AllocationMode,
        log: RecordLog,
        clock: RunClock,
        nodes: Sequence[str],
        tenants: Sequence[str],
    ) -> None:
        """Create the oracle, and start to observe the demand and to allocate.

        Args:
            mode: Selects the limits to allocate by demand.
            log: The log of the run, which shows the demand.
            clock: The clock of the run.
            nodes: The names of all nodes.
            tenants: The names of all tenants, in the order of the settings.
        """
        self._mode = mode
        self._clock = clock
        self._nodes = tuple(nodes)
        self._tenants = tuple(tenants)
        self._demand = RecentDemand()
        self._running: dict[str, Node] = {}
        log.watch(self._demand.observe)
        clock.call_later(ALLOCATION_INTERVAL_MS, self._allocate)

    def attach(self, node: Node) -> None:
        """Notify a process that starts of its node's allocation, now and at each later allocation."""
        name = node.config.name
        self._running[name] = node
        node.core.notify(self.allocations()[name])

    def allocations(self) -> dict[str, api.AllocationUpdate]:
        """Return each node's allocation by the demand until now."""
        self._demand.forget(self._clock.now() - DEMAND_WINDOW_MS)
        quotas: dict[str, dict[int, float]] = {node: {} for node in self._nodes}
        if self._mode.tenants:
            for index, tenant in enumerate(self._tenants):
                demand = self._demand.by_tenant.get(tenant, Counter())
                for node, fraction in proportional_fractions(demand, self._nodes).items():
                    quotas[node][index] = fraction
        floors = dict.fromkeys(self._nodes, 1.0)
        if self._mode.floors:
            floors = proportional_fractions(self._demand.total, self._nodes)
        return {node: api.AllocationUpdate(quotas[node], floors[node]) for node in self._nodes}

    def _allocate(self) -> None:
        self._clock.call_later(ALLOCATION_INTERVAL_MS, self._allocate)
        allocations = self.allocations()
        for name, node in self._running.items():
            node.core.notify(allocations[name])
