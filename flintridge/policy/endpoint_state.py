"""The table of servers: who is listed, who is on the ring, and what of them changes with a list.

A change costs what its own servers cost, whatever the size of the fleet. What a server's state is, and that
it gets no more requests, counts at once; the ring follows in batches, so that a list of thousands never holds
the caller up.
"""

from bisect import insort
from dataclasses import dataclass, field, replace
from itertools import islice

from flintridge import api
from flintridge.api import EndpointState, UpdateKind
from flintridge.policy.connect_backoff import ConnectBackoff
from flintridge.policy.hash_ring import HashRing
from flintridge.policy.slow_start import FIXED_POINT_ONE, WarmthSums, WarmUpUse

RING_IMMEDIATE_SERVERS = 256  # servers; with fewer on the ring a change is put in at once
RING_BATCH_SERVERS = 8  # servers put on a larger ring, or taken off it, in a call
RING_BATCH_PAUSE_NS = 1_000_000  # between two batches
MAX_SINGLE_ADDS = 4  # servers; more that come at once are sorted in when their buckets are looked at


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of one server; cache servers and origins alike.

    It goes when the server does, so what a mechanism knows of a server is kept here; each writes its own.

    Attributes:
        endpoint: As discovery names it.
        number: On the ring.
        inflight: This node's attempts there.
        cost: Outlier detection: mean time for each unit of expected work; failures count as slow.
        evidence: Outlier detection: outcomes behind the cost, at `cost_at`.
        cost_at: Outlier detection: in nanoseconds.
        connection_used_at: Stale connections: when its connection was last in use; 0: there may be none.
        connect_backoff: For how long it gets no requests, as it could not be connected to.
        warm_up: What it was sent while warming up.
    """

    endpoint: api.Endpoint
    number: int
    inflight: int = 0
    cost: float = 0.0
    evidence: float = 0.0
    cost_at: int = 0
    connection_used_at: int = 0
    connect_backoff: ConnectBackoff = field(default_factory=ConnectBackoff)
    warm_up: WarmUpUse = field(default_factory=WarmUpUse)


class ServerTable:
    """All servers that are listed, and those gone with attempts in flight or entries on the ring.

    Attributes:
        servers: By name.
        names: By number; a free number stands for none.
        ring: The cache servers that can be picked, and for a moment some that no longer can.
        ready: The cache servers that can be picked, by name.
        origins: The names of the origins that can be asked, in order.
        max_weight: Of a cache server that was ever ready.
        mean_weight: Of those ready that have one.
        warmth_sums: Of those ready.
    """

    def __init__(self, origin_kind: int | None, rules: api.Rules) -> None:
        self.servers: dict[str, Server] = {}
        self.names: list[str] = []
        self.ring = HashRing()
        self.ready: dict[str, Server] = {}
        self.origins: list[str] = []
        self.max_weight = 0.0
        self.mean_weight = 1.0
        self.warmth_sums = WarmthSums(rules)
        self._origin_kind = origin_kind
        self._free_numbers: list[int] = []
        self._pending_ring_changes: dict[
            str, None
        ] = {}  # names whose ring entries may have to come or go, the oldest first
        self._weight_sum = 0  # in FIXED_POINT_ONE, of those ready
        self._weight_count = 0

    def apply(self, event: api.EndpointUpdate) -> None:
        """Take in a list or a change of it; whoever is absent from a full list is gone."""
        listed = {endpoint.server: endpoint for endpoint in event.endpoints}
        if event.kind is not UpdateKind.DELTA:
            absent = [name for name in self.servers if name not in listed]
            listed |= {name: api.Endpoint(name, EndpointState.GONE) for name in absent}
        for endpoint in listed.values():
            self.update(endpoint)

    def update(self, endpoint: api.Endpoint) -> None:
        """Take in what discovery says of one server; `settle` puts it on the ring."""
        server = self.servers.get(endpoint.server)
        if server is None:
            if endpoint.state is not EndpointState.GONE:
                self._add(endpoint)
        elif endpoint.state is EndpointState.GONE:
            if server.endpoint.state is not EndpointState.GONE:
                self._replace_endpoint(
                    server, replace(server.endpoint, state=EndpointState.GONE, started_at=0)
                )
        elif endpoint != server.endpoint:
            if endpoint.started_at != server.endpoint.started_at:
                server.connect_backoff.end()
            self._replace_endpoint(server, endpoint)

    def update_ring(self) -> bool:
        """Let the ring follow the updates, a batch of them at the most.

        Returns:
            Whether some are left for another call.
        """
        limit = (
            RING_IMMEDIATE_SERVERS if len(self.ring.numbers) < RING_IMMEDIATE_SERVERS else RING_BATCH_SERVERS
        )
        added: dict[str, int] = {}
        for name in list(islice(self._pending_ring_changes, limit)):
            del self._pending_ring_changes[name]
            server = self.servers.get(name)
            if server is None:
                continue
            belongs_on_ring = self._is_ready_cache(server.endpoint)
            if belongs_on_ring and name not in self.ring.numbers:
                added[name] = server.number
            elif not belongs_on_ring and name in self.ring.numbers:
                self.ring.remove(name)
            if belongs_on_ring and name not in self.ready:
                self.ready[name] = server
                self._add_to_sums(server.endpoint)
            self.forget_unused(server)
        if len(added) > MAX_SINGLE_ADDS:
            self.ring.add_all(added)
        else:
            for name, number in added.items():
                self.ring.add(name, number)
        return bool(self._pending_ring_changes)

    def forget_unused(self, server: Server) -> None:
        """Forget a server that is gone for good: guards a long day, with ever new ids."""
        name = server.endpoint.server
        is_gone = server.endpoint.state is EndpointState.GONE and name not in self.ring.numbers
        if is_gone and server.inflight == 0:
            self._free_numbers.append(server.number)
            del self.servers[name]

    def _add(self, endpoint: api.Endpoint) -> None:
        number = self._free_numbers.pop() if self._free_numbers else len(self.names)
        self.servers[endpoint.server] = Server(endpoint, number)
        self.names[number : number + 1] = [endpoint.server]
        self._pending_ring_changes[endpoint.server] = None
        if self._is_ready_origin(endpoint):
            insort(self.origins, endpoint.server)

    def _replace_endpoint(self, server: Server, endpoint: api.Endpoint) -> None:
        name = endpoint.server
        if self._is_ready_origin(server.endpoint):
            self.origins.remove(name)
        if name in self.ready:
            self._remove_from_sums(server.endpoint)
        server.endpoint = endpoint
        self._pending_ring_changes[name] = None
        if self._is_ready_origin(endpoint):
            insort(self.origins, name)
        if name in self.ready and self._is_ready_cache(endpoint):
            self._add_to_sums(endpoint)
        else:
            self.ready.pop(name, None)

    def _add_to_sums(self, endpoint: api.Endpoint) -> None:
        self.warmth_sums.add(endpoint)
        if endpoint.weight > 0:
            self.max_weight = max(self.max_weight, endpoint.weight)
            self._add_weight(endpoint.weight, 1)

    def _remove_from_sums(self, endpoint: api.Endpoint) -> None:
        self.warmth_sums.remove(endpoint)
        if endpoint.weight > 0:
            self._add_weight(endpoint.weight, -1)

    def _add_weight(self, weight: float, sign: int) -> None:
        self._weight_sum += sign * int(weight * FIXED_POINT_ONE)
        self._weight_count += sign
        if self._weight_count:
            self.mean_weight = self._weight_sum / (self._weight_count * FIXED_POINT_ONE)

    def _is_ready_cache(self, endpoint: api.Endpoint) -> bool:
        return endpoint.state is EndpointState.READY and endpoint.kind != self._origin_kind

    def _is_ready_origin(self, endpoint: api.Endpoint) -> bool:
        return endpoint.state is EndpointState.READY and endpoint.kind == self._origin_kind
