"""Events: what the decision policy is notified of."""

import math
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    """The server rejected it for overload."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    """Its last byte was never written, so it was not executed."""
    RESET = "reset"
    """The connection broke after its last byte was written, so it may have been executed."""
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"
    """It was never sent, as its reason had passed."""
    MISS = "miss"
    """The server holds no value for the key."""


NEVER_EXECUTED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.WITHDRAWN, Outcome.MISS})


class EndpointState(Enum):
    """Where a server is in its life, as discovery tells."""

    READY = "ready"
    DRAINING = "draining"
    """It finishes what it has; first attempts may go there for the drain's grace only."""
    GONE = "gone"


class UpdateKind(Enum):
    """How much an `EndpointUpdate` says."""

    DELTA = "delta"
    """What changed since the last one."""
    FULL = "full"
    """The complete list."""
    CACHED = "cached"
    """A complete list from an earlier time, as it stood in the configuration."""
    FAILED = "failed"
    """Nothing: the call to discovery failed."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A member of the endpoint list: one server.

    Attributes:
        server: Its id.
        state: Where it is in its life.
        weight: Its capacity against the others'.
        cell: The deduplication cell that it belongs to.
        kind: The kind of its machine, by position in the settings.
        started_at: The instant of its start; 0: long ago.
        zone: Its zone, by position in the settings.
    """

    server: str
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    cell: int = 0
    kind: int = 0
    started_at: int = 0
    zone: int = 0


@dataclass(slots=True, frozen=True)
class EndpointUpdate:
    """Discovery's endpoint list, or a change of it.

    Attributes:
        kind: How much `endpoints` says.
        version: Discovery's revision.
        endpoints: The complete list or those that changed, by `kind`.
    """

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client sent a request.

    Attributes:
        id: Names it in all later events and actions.
        deadline: The client gives up then.
        class_index: Its request class, by position in the settings.
        key: The object that it reads or writes; None: it has no key.
        write: Whether it writes.
        tenant: By position in the settings.
        retry: Whether the client says that it sent this before.
        work_ns: The work that it is expected to be, roughly; None: nothing is known.
        size: The expected size of its response in bytes; None: nothing is known.
    """

    id: str
    deadline: int
    class_index: int = 0
    key: str | None = None
    write: bool = False
    tenant: int = 0
    retry: bool = False
    work_ns: int | None = None
    size: float | None = None


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; there is exactly one such event for each `Send`.

    Attributes:
        id: The request.
        attempt: Its position among the request's attempts.
        server: Where it was sent.
        outcome: How it ended.
        latency_ns: Since it was sent.
        final: Whether the request has its final response.
        cache_status: 1 hit, 2 miss or fetched, 3 miss while a fetch is out; None: nothing was said.
        load: What the server reported, by name.
        malformed: Whether the response could not be read, or its reused connection had ended before.
    """

    id: str
    attempt: int
    server: str
    outcome: Outcome
    latency_ns: int
    final: bool
    cache_status: int | None = None
    load: dict[str, float] = field(default_factory=dict)
    malformed: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """An attempt's response has begun to stream to the client: the request has its final response."""

    id: str
    attempt: int
    server: str
    latency_ns: int = 0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request closed its connection: nobody waits for a response any more."""

    id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check (`CheckHealth`) ended.

    Attributes:
        server: Which one was checked.
        outcome: How it ended.
        latency_ns: Since it was sent.
        load: What the server reported, by name.
    """

    server: str
    outcome: Outcome
    latency_ns: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another node sent `data`; `sender` is its position in the fleet."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class AllocationUpdate:
    """What this node may use of the fleet-wide limits, complete in each event.

    Amounts are multiples of an even fraction of a limit: 1.0 is what a node has that leases nothing.

    Attributes:
        tenants: Of the tenants' quotas, by position; one that is not named has 1.0.
        concurrency_floors: Of what the concurrency limiters let through at least.
        slow_start: Of the work that may go to servers that are warming up.
        cache_permits: Attempts that may be out at the cache servers; a count, no multiple.
        origin_permits: Attempts that may be out at the origin; a count, no multiple.
        retries_per_s: Retries a second, of which `tenants[-1]` is allocated here; 0: as many as the limits
            allow.
        retries_per_attempt: And so many more for each first attempt.
        strict_quotas: Whether what is beyond a quota is rejected whatever capacity there is.
        valid_until: From this instant on ...
        fallback: ... this one holds: a lease ends by the clock, whether or not anybody is there to say so.
    """

    tenants: dict[int, float] = field(default_factory=dict)
    concurrency_floors: float = 1.0
    slow_start: float = 1.0
    cache_permits: float = math.inf
    origin_permits: float = math.inf
    retries_per_s: float = 0.0
    retries_per_attempt: float = 0.0
    strict_quotas: bool = False
    valid_until: int = 1 << 63
    fallback: "AllocationUpdate | None" = None


Event = (
    EndpointUpdate
    | RequestReceived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessage
    | AllocationUpdate
)
