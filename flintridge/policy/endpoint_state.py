"""The table of servers: the listed servers, their state, and which of them are on the hash ring.

The cost of an update depends on the number of changed servers and not on the size of the fleet. The state of
a server changes immediately, so a server that leaves gets no further requests. The ring is updated in
batches, so that a list of thousands of servers does not block the caller.
"""

from bisect import insort
from dataclasses import dataclass, field, replace
from itertools import islice

from flintridge import api
from flintridge.api import EndpointState, UpdateKind
from flintridge.policy.connect_backoff import ConnectBackoff
from flintridge.policy.hash_ring import HashRing
from flintridge.policy.slow_start import FIXED_POINT_ONE, WarmthSums, WarmUpUse

RING_IMMEDIATE_SERVERS = 256  # maximum batch size while the ring has fewer servers than this
RING_BATCH_SERVERS = 8  # servers added to a larger ring, or removed from it, in one call
RING_BATCH_PAUSE_NS = 1_000_000  # between two batches
MAX_SINGLE_ADDS = 4  # if more servers are added in a batch, a bucket is not sorted until it is next read


@dataclass(slots=True, eq=False)
class Server:
    """The state of one cache server or origin at this node.

    All mechanisms keep their state of a server here, so that it is dropped together with the server. Each
    mechanism writes only its own fields.

    Attributes:
        endpoint: The endpoint as last reported by discovery.
        number: The number of the server on the ring.
        inflight: How many attempts of this node are in flight at the server.
        cost: Outlier detection: mean time per unit of expected work; failures count as slow.
        evidence: Outlier detection: the number of outcomes, decayed by age, that `cost` is based on at
            `cost_at`.
        cost_at: Outlier detection: the instant of the last change of `cost`, in nanoseconds.
        connection_used_at: Stale connections: the instant at which a connection to the server was last
            used, in nanoseconds; 0 if there may be no connection.
        connect_backoff: The backoff after failures to connect.
        warm_up: The work that this node sent to the server while it was warming up.
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
    """All listed servers, and removed servers that still have attempts in flight or entries on the ring.

    Attributes:
        servers: All servers of the table, by name.
        names: Server names, indexed by number; the name at a free number is obsolete.
        ring: The hash ring of the cache servers that can be picked. Until its next update it may also hold
            servers that no longer can be picked.
        ready: The cache servers that can be picked, by name.
        origins: The names of the origins that are ready, sorted.
        max_weight: The largest weight of any cache server that was ever ready.
        mean_weight: The mean weight of the ready cache servers that have a weight.
        warmth_sums: The warmth sums of the ready cache servers.
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
        # An ordered set of the names of servers that may have to be added to the ring or removed from it.
        self._pending_ring_changes: dict[str, None] = {}
        self._weight_sum = 0  # of the ready cache servers, in units of 1 / FIXED_POINT_ONE
        self._weight_count = 0

    def apply(self, event: api.EndpointUpdate) -> None:
        """Apply an endpoint list or a change to it; servers that are absent from a full list are gone."""
        listed = {endpoint.server: endpoint for endpoint in event.endpoints}
        if event.kind is not UpdateKind.DELTA:
            absent = [name for name in self.servers if name not in listed]
            listed |= {name: api.Endpoint(name, EndpointState.GONE) for name in absent}
        for endpoint in listed.values():
            self.update(endpoint)

    def update(self, endpoint: api.Endpoint) -> None:
        """Apply the reported state of one server; `update_ring` adds it to the ring."""
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
        """Apply at most one batch of pending changes to the ring.

        Returns:
            Whether there are changes left for another call.
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
        """Remove a server that is gone, off the ring and without attempts in flight.

        Otherwise the table would grow without bound, as servers are replaced by others with new ids.
        """
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
