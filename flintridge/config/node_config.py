"""The configuration that a node is started with, and the limits that are derived from it.

Fields have the same names as in the node's own format (`model`), which also gives their ranges.
"""

from dataclasses import dataclass
from typing import Any

from flintridge import api
from flintridge.config.address import Address

# Descriptors for the listener, discovery, the event loop, the log, accepted connections that are not counted
# yet, and connections over the limit that are still being read: in a burst, up to 16 connections are accepted
# before the first of them is handled.
RESERVED_DESCRIPTORS = 32
# Concurrent connections to the admin API. A node that has one reserves as many further descriptors.
ADMIN_CONNECTIONS_MAX = 12
# Further descriptors of a node with peers: for datagrams, exchanges in both directions and their listener.
PEER_DESCRIPTORS = 8
# The fraction of the remaining sockets that is for clients. Clients with a request need a third of all, and
# each such request one or two attempts. The rest lets idle clients stay connected until their timeout without
# taking sockets from active ones.
CLIENT_SOCKETS_FRACTION = 0.6
MAX_VALUE_MB = 4.0
MIN_CONNECTION_MEMORY_MB = 0.25  # for connections and requests beside a value of the maximum size
BASE_MEMORY_MB = 24.0  # memory that a node uses with no request in flight
# What a process uses at most before it has clients, and the fraction of the rest that stays free for what is
# not counted: the allocator's overhead, the log, the garbage of the last requests.
IDLE_MEMORY_MB = 26.0
CLIENT_MEMORY_FRACTION = 0.7
BYTES_PER_MB = 1024 * 1024


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """The other nodes of the fleet; available only in the node's own format.

    Attributes:
        listen: The address for datagrams (UDP) and exchanges (TCP).
        known: The names of the peers and the address at which this node reaches each. The node's own entry
            is not used.
        fleet: The fleet's name; traffic of another fleet is dropped.
        key: The key that authenticates the traffic; None: the traffic is not authenticated and stays on this
            machine.
        bytes_per_s: The maximum of all traffic to peers, in bytes per second.
    """

    listen: Address
    known: tuple[tuple[str, Address], ...]
    fleet: str
    key: bytes | None = None
    bytes_per_s: float = 16_000.0


@dataclass(slots=True, frozen=True)
class BudgetsConfig:
    """The fleet-wide limits that are leased between nodes that reach one another.

    Available only in the node's own format. Each limit is divided into equal allocations, one per node.

    Attributes:
        tenants: Whether the tenants' quotas are leased.
        floors: Whether the minimum that concurrency limiters admit is leased.
        slow_start: Whether the work that may be sent to a server that is warming up is leased.
        cache_permits: Attempts in flight at the cache servers, over all nodes; 0: no such limit.
        origin_permits: Attempts in flight at the origin, over all nodes; 0: no such limit.
        retries_per_s: Retries per second over all nodes; 0: no such limit.
        retries_per_attempt: Retries allowed in addition to `retries_per_s`, per first attempt.
        strict: Whether requests over quota are rejected even if capacity is free.
        floor: The fraction of its allocation that a node never grants to others.
        lease_ms: The length of a lease in milliseconds, by the lessee's clock.
        bytes_per_s: The maximum of lease messages, in bytes per second; included in the limit of [peers].
    """

    tenants: bool = False
    floors: bool = False
    slow_start: bool = False
    cache_permits: int = 0
    origin_permits: int = 0
    retries_per_s: float = 0.0
    retries_per_attempt: float = 0.1
    strict: bool = False
    floor: float = 0.25
    lease_ms: float = 4_000.0
    bytes_per_s: float = 2_000.0


@dataclass(slots=True, frozen=True)
class StateConfig:
    """The node's replica of the fleet's state; available only in the node's own format.

    Attributes:
        entries: The maximum number of entries, including remembered deletions.
        entry_bytes: The maximum size of an entry, in bytes.
        remember_s: The minimum time for which deletions are remembered, in seconds.
        wait_ms: How long a starting node waits for a synchronized peer before it answers `mn` without one, in
            milliseconds.
        bytes_per_s: The maximum of entries in datagrams, in bytes per second; included in the limit of
            [peers].
    """

    entries: int = 10_000
    entry_bytes: int = 512
    remember_s: float = 3_600.0
    wait_ms: float = 10_000.0
    bytes_per_s: float = 2_000.0


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """The complete configuration of a node.

    Attributes:
        name: The node's name in logs and to its peers.
        listen: The address on which the node accepts clients.
        discovery: The address of the discovery service.
        seed: The seed of the policy's random numbers.
        settings: The settings of the policy.
        zones: The names of the zones; the policy refers to a zone by its position here.
        kinds: The names of the kinds of servers; the policy refers to a kind by its position here.
        known: The last known list of cache servers, as decoded JSON in discovery's format, which is validated
            only when it is applied; None: no such list.
        sockets: The number of descriptors that the node may open.
        memory_mb: The memory that the node may use, in megabytes.
        log_level: The lowest level of log lines that are written.
        log_repeats_per_s: How many lines of one event are written per second; one line reports the count
            of the others.
        console: The address of the admin API; None: no admin API.
        peers: The other nodes; None: this node reaches no other node and has no membership state.
        budgets: The leased limits; None: this node uses its equal allocation of each limit, as without peers.
        state: The replica of the fleet's state; None: this node has no replica.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    known: Any = None
    sockets: int = 1024
    memory_mb: float = 192.0
    log_level: str = "info"
    log_repeats_per_s: int = 50
    console: Address | None = None
    peers: PeersConfig | None = None
    budgets: BudgetsConfig | None = None
    state: StateConfig | None = None

    @property
    def client_sockets(self) -> int:
        """The number of client connections that the node accepts."""
        return int(CLIENT_SOCKETS_FRACTION * (self.sockets - self._reserved_sockets))

    @property
    def server_sockets(self) -> int:
        """The number of connections to servers that the node opens."""
        return self.sockets - self._reserved_sockets - self.client_sockets

    def process_memory_bytes(self, process_count: int = 1) -> int:
        """Memory for everything that one of the node's processes holds for its clients.

        A fraction of the memory beyond what its processes use before they have clients, but at least enough
        for one value of the maximum size.

        Args:
            process_count: The number of processes that share the node's memory.
        """
        free_mb = self.memory_mb / process_count - IDLE_MEMORY_MB
        client_mb = max(MAX_VALUE_MB + MIN_CONNECTION_MEMORY_MB, free_mb * CLIENT_MEMORY_FRACTION)
        return int(client_mb * BYTES_PER_MB)

    @property
    def memory_budget_bytes(self) -> int:
        """Memory for the values of writes: a third of what exceeds BASE_MEMORY_MB, at least MAX_VALUE_MB."""
        return self._memory_share_bytes(1 / 3)

    @property
    def response_budget_bytes(self) -> int:
        """Memory for the values that servers send, until they are passed to clients.

        It is a sixth of what exceeds BASE_MEMORY_MB, and at least MAX_VALUE_MB.
        """
        return self._memory_share_bytes(1 / 6)

    def _memory_share_bytes(self, share: float) -> int:
        share_mb = share * (self.memory_mb - BASE_MEMORY_MB)
        return int(max(MAX_VALUE_MB, share_mb) * BYTES_PER_MB)

    @property
    def _reserved_sockets(self) -> int:
        reserved = RESERVED_DESCRIPTORS
        if self.console is not None:
            reserved += ADMIN_CONNECTIONS_MAX
        if self.peers is not None:
            reserved += PEER_DESCRIPTORS
        # With a small `sockets`, the reserved descriptors would leave none for connections.
        return min(reserved, self.sockets // 4)
