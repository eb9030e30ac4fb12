"""The configuration that a node is started with, and the limits that are derived from it.

Fields have the names of those in the node's own format (`model`), where each is described with its range.
"""

from dataclasses import dataclass
from typing import Any

from flintridge import api
from flintridge.config.address import Address

# Descriptors for the listener, discovery, the event loop, the log, accepted connections that are not counted
# yet, and connections beyond the limit that are still read from: in a burst up to 16 are accepted before the
# first of them is seen.
RESERVED_DESCRIPTORS = 32
ADMIN_CONNECTIONS_MAX = 12  # at once, and descriptors beyond the reserved ones, where there is an admin API
PEER_DESCRIPTORS = 8  # datagrams, exchanges both ways and their listener, where there are peers
# Of the remaining sockets, for clients: their requests need a third of all, and each of these an attempt or
# two. The rest lets idle clients wait for their timeout without taking sockets from active ones.
CLIENT_SOCKETS_FRACTION = 0.6
MAX_VALUE_MB = 4.0
BASE_MEMORY_MB = 24.0  # what a node takes with no request in flight
BYTES_PER_MB = 1024 * 1024


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """The other nodes of the fleet; only in the node's own format.

    Attributes:
        listen: For datagrams and exchanges.
        known: Peers by name, with the address at which this node reaches each; its own entry is not used.
        fleet: The fleet's name; traffic of another fleet is dropped.
        key: Authenticates the traffic; None: nothing is authenticated, and all of it stays on this machine.
        bytes_per_s: Of all that is sent to peers.
    """

    listen: Address
    known: tuple[tuple[str, Address], ...]
    fleet: str
    key: bytes | None = None
    bytes_per_s: float = 16_000.0


@dataclass(slots=True, frozen=True)
class BudgetsConfig:
    """Which fleet-wide limits are leased between nodes that reach one another; only in the node's own format.

    Each is divided into one equal allocation a node.

    Attributes:
        tenants: The tenants' quotas.
        floors: What concurrency limiters admit at the least.
        slow_start: The work that may go to a server that is warming up.
        cache_permits: Attempts in flight at the caches, over all nodes; 0: no such limit.
        origin_permits: Attempts in flight at the origin, over all nodes; 0: no such limit.
        retries_per_s: Retries over all nodes; 0: no such limit.
        retries_per_attempt: Retries allowed beside these for each first attempt.
        strict: Reject what exceeds a quota, whatever capacity is free.
        floor: The fraction of its allocation that a node never grants to others.
        lease_ms: Length of a lease, by the lessee's clock.
        bytes_per_s: Of lease messages; included in what [peers] allows.
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
    """The replica of the fleet's state that a node has; only in the node's own format.

    Attributes:
        entries: At most, remembered deletions included.
        entry_bytes: Of one entry, at most.
        remember_s: How long deletions are remembered, at the least.
        wait_ms: For a peer that is synchronized, before `mn` is answered without one.
        bytes_per_s: Of entries in datagrams; included in what [peers] allows.
    """

    entries: int = 10_000
    entry_bytes: int = 512
    remember_s: float = 3_600.0
    wait_ms: float = 10_000.0
    bytes_per_s: float = 2_000.0


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """All that a node is started with.

    Attributes:
        name: The node's name in logs and to its peers.
        listen: For clients.
        discovery: The discovery service.
        seed: Of the policy's random numbers.
        settings: For the policy.
        zones: Names by position, as the policy counts them.
        kinds: Names of the kinds of servers by position.
        known: The list of cache servers as last seen, decoded JSON in discovery's form that is validated only
            when it is applied; None: no such list.
        sockets: Descriptors that the node may open.
        memory_mb: Memory that the node may use.
        log_level: Lines below it are not written.
        log_repeats_per_s: Lines of one event; further ones are counted in one line.
        console: The address of the admin API; None: no admin API.
        peers: None: this node reaches no other, and has no state of membership.
        budgets: None: this node uses its equal allocation of each limit, as without peers.
        state: None: this node has no replica of the fleet's state.
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
        """Connections of clients that the node accepts."""
        return int(CLIENT_SOCKETS_FRACTION * (self.sockets - self._reserved_sockets))

    @property
    def server_sockets(self) -> int:
        """Connections to servers that the node opens."""
        return self.sockets - self._reserved_sockets - self.client_sockets

    @property
    def memory_budget_bytes(self) -> int:
        """Memory for the values of writes: a third of what exceeds the node's base, at least a largest value.

        Another third is for what is being sent to clients, as short responses and as chunks of long ones.
        """
        budget_mb = max(MAX_VALUE_MB, (self.memory_mb - BASE_MEMORY_MB) / 3)
        return int(budget_mb * BYTES_PER_MB)

    @property
    def _reserved_sockets(self) -> int:
        reserved = RESERVED_DESCRIPTORS
        if self.console is not None:
            reserved += ADMIN_CONNECTIONS_MAX
        if self.peers is not None:
            reserved += PEER_DESCRIPTORS
        # Guards against a small limit that the reserved ones would use up.
        return min(reserved, self.sockets // 4)
