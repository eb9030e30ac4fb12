"""Events: the inputs of the decision policy."""

import math
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    """The server rejected the attempt because it was overloaded."""
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    """The last byte of the request was never written, so it was not executed."""
    RESET = "reset"
    """The connection broke after the last byte was written, so the request may have been executed."""
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"
    """The attempt was never sent: its time limit had passed, or the node lacked a local resource."""
    MISS = "miss"
    """The cache server has no value for the key."""


NEVER_EXECUTED = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.WITHDRAWN, Outcome.MISS})


class EndpointState(Enum):
    """The lifecycle state of a server, as reported by discovery."""

    READY = "ready"
    DRAINING = "draining"
    """The server finishes its open requests; first attempts may go to it only in the drain's grace period."""
    GONE = "gone"


class UpdateKind(Enum):
    """What the endpoint list of an `EndpointUpdate` contains."""

    DELTA = "delta"
    """The endpoints that changed since the last update."""
    FULL = "full"
    """All endpoints."""
    CACHED = "cached"
    """All endpoints of an earlier time, taken from the configuration."""
    FAILED = "failed"
    """No endpoints, because the call to discovery failed."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One server of the endpoint list.

    Attributes:
        server: The id of the server.
        state: Its lifecycle state.
        weight: Its capacity relative to other servers.
        cell: The deduplication cell that it belongs to.
        kind: Its machine kind, as an index into the configured kinds.
        started_at: The instant at which it started; 0 means long ago.
        zone: Its zone, as an index into the configured zones.
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
    """The endpoint list from discovery, or a change to it.

    Attributes:
        kind: Whether `endpoints` is a complete list, a change, or empty after a failed call.
        version: The revision of the list at discovery.
        endpoints: All endpoints or only the changed ones, depending on `kind`.
    """

    kind: UpdateKind
    version: int = 0
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestReceived:
    """A client sent a request.

    Attributes:
        id: Identifies the request in all later events and actions.
        deadline: The instant at which the client stops waiting for a response.
        class_index: The request class, as an index into `Settings.classes`.
        key: The key of the object that it reads or writes; None if it has no key.
        write: Whether the request is a write.
        tenant: The tenant, as an index into `Settings.tenants`.
        retry: Whether the client marked the request as a retry. No decision depends on it.
        work_ns: A rough estimate of the work at the server, in nanoseconds; None if unknown.
        size: The expected size of the response in bytes; None if unknown.
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
        id: The id of the request.
        attempt: The index of the attempt among the request's attempts.
        server: The id of the server that it was sent to.
        outcome: How it ended.
        latency_ns: The time since it was sent.
        final: Whether the client has the final response to the request.
        cache_status: 1: hit; 2: miss or fetched; 3: miss while a fetch is in flight; None: not reported.
        load: The load values that the server reported, by name.
        malformed: Whether the response could not be parsed, or the reused connection had already ended.
        partly_written: Whether its time ended when the server had taken a part of the request and not all of
            it. The outcome is then CONNECT_FAILED, as it was never executed, although there is a connection.
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
    partly_written: bool = False


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """The response to an attempt has started to stream to the client, so it is the final response."""

    id: str
    attempt: int
    server: str
    latency_ns: int = 0


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a request closed its connection and no longer waits for a response."""

    id: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check (`CheckHealth`) ended.

    Attributes:
        server: The id of the server that was checked.
        outcome: How the health check ended.
        latency_ns: The time since it was sent.
        load: The load values that the server reported, by name.
    """

    server: str
    outcome: Outcome
    latency_ns: int
    load: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Another node sent `data`; `sender` is the index of that node in the fleet."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class AllocationUpdate:
    """This node's allocation of the fleet-wide limits; each event replaces the last one completely.

    Unless noted otherwise, an amount is a multiple of the node's even share of a limit: a node without any
    lease has 1.0.

    Attributes:
        tenants: Share of each tenant's quota, by tenant index; a tenant that is absent has 1.0.
        concurrency_floors: Share of the minimum concurrency of the limiters.
        slow_start: Share of the work that may be sent to servers that are warming up.
        cache_permits: How many attempts may be in flight at the cache servers.
        origin_permits: How many attempts may be in flight at the origin.
        retries_per_s: Retry budget in retries per second, of which this node has the multiple
            `tenants[-1]`; 0: the retry budget is unlimited.
        retries_per_attempt: Retries that each first attempt adds to the retry budget.
        strict_quotas: Whether requests over quota are rejected even if there is capacity for them.
        valid_until: The instant at which the lease expires and `fallback` takes effect.
        fallback: The allocation after `valid_until`. It is part of the event because a lease has to expire
            by the clock even if no further event arrives.
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
