"""What leasing limits between nodes is measured against: fractions allocated by one who sees all demand.

Once a second each running node is notified, by the event that carries allocations, of a fraction of each
tenant's quota (and of the limiters' floors) in proportion to the first attempts that clients sent it of late.
All fractions of a limit together are as many as there are nodes, never more. They are up to a second old.

It is no bound on what could be chosen by knowing all demand: in proportion, a tenant that floods gets all of
its quota as well, at the others' cost where that is more than servers can serve.
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
    """Which limits are allocated by demand; the others stay in even fractions.

    Attributes:
        tenants: The tenants' quotas.
        floors: The floors of the concurrency limiters.
    """

    tenants: bool = False
    floors: bool = False


class _Arrival(NamedTuple):
    at_ms: float
    node: str
    tenant: str


@dataclass(slots=True)
class RecentDemand:
    """First attempts of clients of late, by node.

    Attributes:
        total: Of all tenants.
        by_tenant: Of each tenant.
    """

    total: Counter[str] = field(default_factory=Counter)
    by_tenant: dict[str, Counter[str]] = field(default_factory=dict)
    _arrivals: deque[_Arrival] = field(default_factory=deque)

    def observe(self, record: AnyRecord) -> None:
        """Count a record, if it is of a request's first attempt."""
        if isinstance(record, RequestSent) and record.attempt_number == 0:
            self._arrivals.append(_Arrival(record.at_ms, record.node, record.tenant))
            self._count(record.node, record.tenant, 1)

    def forget(self, before_ms: float) -> None:
        """Forget what arrived before that instant."""
        while self._arrivals and self._arrivals[0].at_ms < before_ms:
            arrival = self._arrivals.popleft()
            self._count(arrival.node, arrival.tenant, -1)

    def _count(self, node: str, tenant: str, change: int) -> None:
        self.total[node] += change
        self.by_tenant.setdefault(tenant, Counter())[node] += change


def proportional_fractions(demand: Counter[str], nodes: Sequence[str]) -> dict[str, float]:
    """Return each node's allocation in even fractions, in proportion to its demand.

    They add up to the number of nodes, and are even where there is no demand.
    """
    total = sum(demand[node] for node in nodes)
    if not total:
        return dict.fromkeys(nodes, 1.0)
    return {node: len(nodes) * demand[node] / total for node in nodes}


class AllocationOracle:
    """Allocates limits in a virtual run; `attach` is what `VirtualNodes` calls for each process."""

    def __init__(
        self,
        mode: AllocationMode,
        log: RecordLog,
        clock: RunClock,
        nodes: Sequence[str],
        tenants: Sequence[str],
    ) -> None:
        """Begin to allocate.

        Args:
            mode: What is allocated.
            log: Of the run, from which demand is read.
            clock: Of the run.
            nodes: All of them.
            tenants: All of them, in the order of the settings.
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
        """Notify a process that starts of its node's allocation, now and from now on."""
        name = node.config.name
        self._running[name] = node
        node.core.notify(self.allocations()[name])

    def allocations(self) -> dict[str, api.AllocationUpdate]:
        """Return what each node may use from now on."""
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
