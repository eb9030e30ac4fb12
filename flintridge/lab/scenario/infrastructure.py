"""The tables of a scenario for machines: links, nodes, cache servers, origin, discovery."""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import FLEET_LIMIT_KEYS, Name, schema_description
from flintridge.lab.scenario.fault_base import Amount, Count, Fraction, Positive, Span, Table


@schema_description("Ways between machines, one way, in milliseconds.")
class Links(Table, kw_only=True, frozen=True):
    """Delays between machines in one direction, in milliseconds."""

    same_ms: Span = 0.2  # within a zone
    cross_ms: Span = 7.0  # between zones
    client_ms: Span = 0.5  # from a client to its node
    jitter: Fraction = 0.2  # of each delay, drawn up or down
    cut: Fraction = 0.0  # of writes that arrive in two or more pieces


@schema_description(None)
class Nodes(Table, kw_only=True, frozen=True):
    """The nodes."""

    count: Annotated[int, Meta(ge=1, le=1000)] = 2
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65536)] = 192.0
    zones: tuple[Name, ...] = ()  # of the nodes in turn; empty: all zones in turn
    start_ms: Span = 300.0  # from a start to its listener being open


@schema_description("The nodes hear one another (`[peers]` in their own configurations).")
class Peers(Table, kw_only=True, frozen=True):
    """The nodes gossip (`[peers]` in their own configurations)."""

    bytes_per_s: Annotated[float, Meta(ge=4000, le=1e7)] = 16_000.0  # that a node may send to its peers
    sealed: bool = True  # by a key of the fleet


@schema_description("Which budgets the nodes lend one another (`[budgets]` in their own configurations).")
class Budgets(Table, kw_only=True, frozen=True, rename=FLEET_LIMIT_KEYS):
    """Which fleet-wide limits the nodes lease parts of (`[budgets]` in their own configurations)."""

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # what concurrency limiters admit at the least
    slow_start: bool = False  # the work that may go to a server that is warming up
    cache_permits: Count = 0  # attempts in flight at the caches, over all nodes (0: no such limit)
    origin_permits: Count = 0  # and at the origin
    retries_per_s: Amount = 0.0  # over all nodes (0: no such limit),
    retries_per_attempt: Fraction = 0.1  # and beside these so many for each first attempt
    strict: bool = False  # what is beyond a quota is rejected, whatever capacity is free
    floor: Annotated[float, Meta(ge=0.01, le=1)] = 0.25  # of a node's even fraction, never leased
    lease_ms: Annotated[float, Meta(ge=1500, le=60_000)] = 4000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6)] = 2000.0  # of those of peers


class Kind(Table, kw_only=True, frozen=True):
    """A kind of cache server."""

    name: Name
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: Span = 1.0  # of a core; 1 does a millisecond of work in a millisecond
    speed_cv: Fraction = 0.0  # of the work of single requests, beyond what the hint says
    slots_per_core: Annotated[int, Meta(ge=1, le=1024)] = 1
    queue_per_core: Span = 3.0  # requests that wait; beyond it they are rejected
    crowd_at: Positive = 10.0  # requests a core, beyond which each further one slows all
    crowd: Fraction = 0.05  # of the speed lost for each of those a core
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.32  # of the capacity at a start
    cold_s: Amount = 9.0  # until all of it
    memory_mb: Positive = 64.0  # of values; beyond it the longest unused go
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1024
    handshake_ms: Amount = 2.0  # of work for a new connection; its first request waits as long
    idle_s: Positive = 5.0  # an idle connection is closed after this
    error_rate: Fraction = 0.0
    pause_every_s: Amount = 0.0  # a pause of the whole process, about as often (0: never)
    pause_ms: Span = 0.0
    drops_cancelled: Literal["queued", "all", "none"] = "queued"  # whose work stops when its connection ends
    miss_work: Fraction = 0.1  # of a request's work that a miss costs


@schema_description("So many servers of a kind in a zone (every zone in turn where none is named).")
class Group(Table, kw_only=True, frozen=True):
    """Servers of one kind in a zone (every zone in turn where none is named)."""

    kind: Name
    count: Annotated[int, Meta(ge=0, le=20_000)] = 1
    zone: Name | None = None
    weight: Span = 1.0  # as discovery lists it
    cell: Count = 0


@schema_description(None)
class Origin(Table, kw_only=True, frozen=True):
    """The origin, which answers what the caches lack."""

    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    read_ms: Span = 60.0  # mean of a read's time in a slot
    sigma: Amount = 0.4  # of its logarithm
    write_times: Positive = 1.5  # a write takes this many times a read
    queue_s: Amount = 1.0  # it rejects what would wait longer
    crowd: Fraction = 0.0  # of its speed lost for each waiting request a slot
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    fall_multiple: Amount = 0.0  # requests beyond this multiple of its capacity (0: no such limit)
    fall_ms: Amount = 3000.0  # for this long,
    down_s: Span = 5.0  # it stops for so long
    zone: Name | None = None
    shares_fetches: bool = False  # reads of one key join one fetch
    repeats_s: Amount = 0.0  # keyed writes: 0 takes the class's window


@schema_description(None)
class Discovery(Table, kw_only=True, frozen=True):
    """The discovery service, which lists servers."""

    notice_s: Span = (0.5, 2.0)  # until it lists a start, a drain or a death
    silent_s: Span = (5.0, 10.0)  # until it lists a machine that vanished as gone
    call_ms: Span = 20.0  # of its time for a call; calls are handled one after another
    line_ms: Amount = 0.01  # and for each entry that it sends
    timeout_ms: Positive = 3000.0  # a call that waited longer for its turn fails
    zone: Name | None = None
