"""What lending budgets between nodes is measured by: parts dealt out by one who sees all demand.

Once a second each node that runs is told, by the event that carries holdings, a part of each tenant's quota
(and of the gates' floors) in proportion to the first tries that clients sent it of late. All parts of a
budget together are as many as there are nodes, never more. What is dealt is up to a second old.

It knows all demand, and is no bound on what could be chosen by it: in proportion, a tenant that floods gets
all of its quota as well, at the others' cost where that is more than servers can do.
"""

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field

from flintridge import api
from flintridge.lab.fabric import RunClock
from flintridge.lab.records import AnyRecord, RecordLog, RequestSent
from flintridge.node import Node

DEAL_MS = 1000.0
SPAN_MS = 3000.0  # of the demand that is looked back at


@dataclass(slots=True, frozen=True)
class Dealing:
    """Which budgets are dealt out by demand; the others stay in even parts."""

    tenants: bool = False
    floors: bool = False


@dataclass(slots=True)
class Demand:
    """First tries of late, by node."""

    whole: Counter[str] = field(default_factory=Counter)
    by_tenant: dict[str, Counter[str]] = field(default_factory=dict)
    seen: deque[tuple[float, str, str]] = field(default_factory=deque)  # when (ms), node, tenant

    def note(self, record: AnyRecord) -> None:
        if isinstance(record, RequestSent) and not record.attempt_number:
            self.seen.append((record.at_ms, record.node, record.tenant))
            self._count(record.node, record.tenant, 1)

    def fade(self, before: float) -> None:
        """Forget what came before an instant (ms)."""
        while self.seen and self.seen[0][0] < before:
            _, node, tenant = self.seen.popleft()
            self._count(node, tenant, -1)

    def _count(self, node: str, tenant: str, by: int) -> None:
        self.whole[node] += by
        self.by_tenant.setdefault(tenant, Counter())[node] += by


def parts(demand: Counter[str], nodes: Sequence[str]) -> dict[str, float]:
    """Each node's part, in even parts: they add up to the number of nodes. Even ones where nobody asked."""
    whole = sum(demand[node] for node in nodes)
    if not whole:
        return dict.fromkeys(nodes, 1.0)
    return {node: len(nodes) * demand[node] / whole for node in nodes}


class Oracle:
    """Deals out on a virtual day; `plant` is for `VirtualNodes`."""

    def __init__(
        self, dealing: Dealing, log: RecordLog, clock: RunClock, nodes: Sequence[str], tenants: Sequence[str]
    ) -> None:
        """`nodes` and `tenants` by their names, tenants in the order of the settings."""
        self._dealing = dealing
        self._clock = clock
        self._nodes = tuple(nodes)
        self._tenants = tuple(tenants)
        self._demand = Demand()
        self._living: dict[str, Node] = {}
        log.watch(self._demand.note)
        clock.call_later(DEAL_MS, self._deal)

    def plant(self, node: Node) -> None:
        """A process begins: it holds what its name does."""
        self._living[node.config.name] = node
        node.core.notify(self.holdings()[node.config.name])

    def holdings(self) -> dict[str, api.AllocationUpdate]:
        """What each node may use from now on."""
        self._demand.fade(self._clock.now() - SPAN_MS)
        tenants: dict[str, dict[int, float]] = {node: {} for node in self._nodes}
        for index, name in enumerate(self._tenants if self._dealing.tenants else ()):
            of_tenant = parts(self._demand.by_tenant.get(name, Counter()), self._nodes)
            for node in self._nodes:
                tenants[node][index] = of_tenant[node]
        even = dict.fromkeys(self._nodes, 1.0)
        floors = parts(self._demand.whole, self._nodes) if self._dealing.floors else even
        return {node: api.AllocationUpdate(tenants[node], floors[node]) for node in self._nodes}

    def _deal(self) -> None:
        self._clock.call_later(DEAL_MS, self._deal)
        told = self.holdings()
        for name, node in self._living.items():
            node.core.notify(told[name])
