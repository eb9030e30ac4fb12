"""The tables of a scenario for machines: links, nodes, cache servers, origin, discovery."""

from typing import Annotated, Literal

from msgspec import Meta

from flintridge.config.format_types import FLEET_LIMIT_KEYS, Name, schema_description
from flintridge.lab.scenario.fault_base import Amount, Count, Fraction, Positive, Span, Table


@schema_description("Delays between machines in one direction, in milliseconds.")
class Links(Table, kw_only=True, frozen=True):
    """Delays between machines in one direction, in milliseconds."""

    same_ms: Span = 0.2  # within a zone
    cross_ms: Span = 7.0  # between zones
    client_ms: Span = 0.5  # between a client and a node
    jitter: Fraction = 0.2  # maximum random deviation of each delay, up or down, as a fraction of it
    cut: Fraction = 0.0  # fraction of writes that arrive in two or more segments


@schema_description(None)
class Nodes(Table, kw_only=True, frozen=True):
    """The nodes and the resources of each."""

    count: Annotated[int, Meta(ge=1, le=1000)] = 2
    sockets: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65536)] = 192.0
    zones: tuple[Name, ...] = ()  # the zones in which nodes are placed round-robin; empty: all zones
    start_ms: Span = 300.0  # from the start of a process until its listener is open


@schema_description("The nodes gossip (`[peers]` in their own configurations).")
class Peers(Table, kw_only=True, frozen=True):
    """The nodes gossip (`[peers]` in their own configurations)."""

    bytes_per_s: Annotated[float, Meta(ge=4000, le=1e7)] = 16_000.0  # limit on what a node sends to its peers
    sealed: bool = True  # whether messages between peers are sealed with a key of the fleet


@schema_description(
    "The fleet-wide limits that nodes lease parts of to each other (`[budgets]` in their configurations)."
)
class Budgets(Table, kw_only=True, frozen=True, rename=FLEET_LIMIT_KEYS):
    """The fleet-wide limits that nodes lease parts of to each other (`[budgets]` in their configurations)."""

    tenants: bool = False  # whether the tenants' quotas are leased
    floors: bool = False  # whether the minimum concurrency of the concurrency limiters is leased
    slow_start: bool = False  # whether the limit of work at servers that are warming up is leased
    cache_permits: Count = 0  # limit of attempts in flight at cache servers, over all nodes (0: no limit)
    origin_permits: Count = 0  # limit of attempts in flight at the origin, over all nodes (0: no limit)
    retries_per_s: Amount = 0.0  # limit of retries, over all nodes (0: no limit)
    retries_per_attempt: Fraction = 0.1  # retries permitted for each first attempt, beside `retries_per_s`
    strict: bool = False  # whether requests beyond a quota are rejected even if capacity is free
    floor: Annotated[float, Meta(ge=0.01, le=1)] = 0.25  # fraction of a node's even part that is never leased
    lease_ms: Annotated[float, Meta(ge=1500, le=60_000)] = 4000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6)] = 2000.0  # for leases, out of `peers.bytes_per_s`


class Kind(Table, kw_only=True, frozen=True):
    """A kind of cache server."""

    name: Name
    cores: Annotated[int, Meta(ge=1, le=256)] = 2
    speed: Span = 1.0  # speed of a core: milliseconds of work done in a millisecond
    # Coefficient of variation of a single request's work, in addition to the error of the request's hint.
    speed_cv: Fraction = 0.0
    slots_per_core: Annotated[int, Meta(ge=1, le=1024)] = 1  # requests served concurrently per core
    queue_per_core: Span = 3.0  # limit of waiting requests per core; requests beyond it are rejected
    crowd_at: Positive = 10.0  # requests per core above which each further request slows all of them
    crowd: Fraction = 0.05  # relative slowdown for each request per core above `crowd_at`
    cold_from: Annotated[float, Meta(gt=0, le=1)] = 0.32  # fraction of the capacity available after a start
    cold_s: Amount = 9.0  # duration of the warm-up, from a start until the whole capacity is available
    memory_mb: Positive = 64.0  # room for cached values; beyond it the least recently used are evicted
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 1024
    handshake_ms: Amount = 2.0  # work for a new connection, and the delay of its first request
    idle_s: Positive = 5.0  # an idle connection is closed after this time
    error_rate: Fraction = 0.0
    pause_every_s: Amount = 0.0  # mean interval between pauses of the whole process (0: never)
    pause_ms: Span = 0.0
    # The requests whose work stops when their connection ends.
    drops_cancelled: Literal["queued", "all", "none"] = "queued"
    miss_work: Fraction = 0.1  # cost of a miss, as a fraction of the request's work


@schema_description("Servers of one kind in a zone, or placed round-robin in all zones if none is named.")
class Group(Table, kw_only=True, frozen=True):
    """Servers of one kind in a zone, or placed round-robin in all zones if none is named."""

    kind: Name
    count: Annotated[int, Meta(ge=0, le=20_000)] = 1
    zone: Name | None = None
    weight: Span = 1.0  # weight that discovery lists
    cell: Count = 0


@schema_description(None)
class Origin(Table, kw_only=True, frozen=True):
    """The origin, which serves what the cache servers do not have."""

    slots: Annotated[int, Meta(ge=1, le=100_000)] = 8
    read_ms: Span = 60.0  # mean service time of a read
    sigma: Amount = 0.4  # standard deviation of the logarithm of the service time
    write_times: Positive = 1.5  # mean service time of a write, as a multiple of that of a read
    queue_s: Amount = 1.0  # requests that would wait longer are rejected
    crowd: Fraction = 0.0  # relative slowdown for each waiting request per slot
    connections: Annotated[int, Meta(ge=1, le=1_000_000)] = 4096
    # The origin crashes if more than this multiple of its capacity arrives over `fall_ms` (0: no such limit).
    fall_multiple: Amount = 0.0
    fall_ms: Amount = 3000.0
    down_s: Span = 5.0  # time until a crashed origin starts again
    zone: Name | None = None
    shares_fetches: bool = False  # whether concurrent reads of one key share one fetch
    # How long the origin remembers the idempotency key of a write; 0: the class's deduplication window.
    repeats_s: Amount = 0.0


@schema_description(None)
class Discovery(Table, kw_only=True, frozen=True):
    """The discovery service, which lists servers."""

    notice_s: Span = (0.5, 2.0)  # delay until a start, a drain or the end of a process is listed
    silent_s: Span = (5.0, 10.0)  # delay until an unreachable machine is listed as terminated
    call_ms: Span = 20.0  # service time of a call; calls are handled one after another
    line_ms: Amount = 0.01  # additional service time for each entry that is sent
    timeout_ms: Positive = 3000.0  # a call that waits longer in the queue fails
    zone: Name | None = None
