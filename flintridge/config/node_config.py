"""What a node is started with, and the limits that follow from it."""

from dataclasses import dataclass
from typing import Any

from flintridge import api
from flintridge.config.address import Address

# Descriptors for the listener, discovery, the event loop, the log, connections on their way in, and those
# beyond the room that are still read past: in a burst up to 16 are accepted before the first of them is seen.
SPARE = 32
CONSOLE_PLACES = 12  # callers at a time, and descriptors beyond those, where there is a console
PEER_PLACES = 8  # datagrams, exchanges both ways and their listener, where there are peers
# Of the others, for clients: their requests need a third of all, and each of these an attempt or two. What is
# more lets those that never ask wait for their end without taking the place of those that do.
CLIENT_PART = 0.6
LONGEST_MB = 4.0  # of a value
BASE_MB = 24.0  # what a node takes with nothing held: 14 to 17 MB were seen


@dataclass(slots=True, frozen=True)
class PeersConfig:
    """Who the other nodes are; only in the node's own format."""

    listen: Address  # datagrams and exchanges
    known: tuple[tuple[str, Address], ...]  # by name, where this node reaches it; its own is not used
    fleet: str
    key: bytes | None = None  # None: nothing is sealed, and all of it stays on this machine
    bytes_per_s: float = 16_000.0


@dataclass(slots=True, frozen=True)
class BudgetsConfig:
    """Which budgets of the fleet are lent between nodes that hear one another; only in the node's own format.

    Each is cut into one even part a node; `floor` is the share of its part that a node never lends.
    """

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # what gates let through at the least
    cold: bool = False  # the work that may go to a server that has just started
    cache_places: int = 0  # attempts that may be out at the caches, over all nodes (0: no such bound)
    origin_places: int = 0  # and at the origin
    repeats_per_s: float = 0.0  # attempts that may follow a failed one, over all nodes (0: no such bound),
    repeat_share: float = 0.1  # and beside these so many for each first attempt
    strict: bool = False  # what is beyond a quota is refused, whatever room there is
    floor: float = 0.25
    lease_ms: float = 4_000.0  # of a loan, by the borrower's clock
    bytes_per_s: float = 2_000.0  # of what is said of budgets; a part of what [peers] allows


@dataclass(slots=True, frozen=True)
class StateConfig:
    """What a node holds of the fleet's state; only in the node's own format."""

    entries: int = 10_000  # those of remembered deletions included
    entry_bytes: int = 512
    remember_s: float = 3_600.0  # deletions, at the least
    wait_ms: float = 10_000.0  # for a peer that has caught up, before `mn` is answered without one
    bytes_per_s: float = 2_000.0  # of what is told in datagrams; a part of what [peers] allows


@dataclass(slots=True, frozen=True)
class NodeConfig:
    """What a real node is told at its start."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    zones: tuple[str, ...] = ()  # by position, as the module counts them
    kinds: tuple[str, ...] = ()
    known: Any = None  # the list of cache servers as last held, in discovery's form
    sockets: int = 1024
    memory_mb: float = 192.0
    log_level: str = "info"
    log_repeats_per_s: int = 50  # lines of one event; the rest is counted in one
    console: Address | None = None  # for operators; None: no such address
    peers: PeersConfig | None = None  # None: this node hears no other, and holds nothing of that part
    budgets: BudgetsConfig | None = None  # None: an even part of each, as without peers
    state: StateConfig | None = None  # None: nothing is held that others were told

    @property
    def client_sockets(self) -> int:
        return int(CLIENT_PART * (self.sockets - self._spare))

    @property
    def server_sockets(self) -> int:
        return self.sockets - self._spare - self.client_sockets

    @property
    def held_bytes(self) -> int:
        """Room for the values of writes: a third of what a node has beyond its own, but always a longest one.

        Another third is for what is on its way to clients, in short answers and in pieces of long ones.
        """
        return int(max(LONGEST_MB, (self.memory_mb - BASE_MB) / 3) * 1024 * 1024)

    @property
    def _spare(self) -> int:
        spare = SPARE if self.console is None else SPARE + CONSOLE_PLACES
        spare += 0 if self.peers is None else PEER_PLACES
        return spare if self.sockets > 4 * spare else self.sockets // 4
