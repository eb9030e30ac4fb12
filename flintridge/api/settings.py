"""Settings of the decision policy: request classes, tenants, rules of the platform, limits, prices and goal.

Configuration files and wire formats use other names: `flintridge/config/` maps them to these.
"""

from dataclasses import dataclass, fields
from enum import Enum


class Effect(Enum):
    """The effect of executing a request a second time."""

    SAFE = "safe"
    """No effect: the request is idempotent."""
    KEYED = "keyed"
    """No effect within the deduplication window, in which servers drop repeats by their idempotency key."""
    UNSAFE = "unsafe"
    """A second execution does harm, so the request must not be repeated if it may have been executed."""


class DeduplicationScope(Enum):
    """Which servers deduplicate a keyed request that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How the node gets the endpoint list from discovery."""

    PUSHED = "pushed"
    """Discovery pushes changes over an open watch."""
    POLLED = "on_request"
    """The node has to poll: discovery sends the list only in responses to calls."""


class CacheMode(Enum):
    """Which component fetches a key from the origin after a cache miss."""

    THROUGH = "through"
    """Read-through: the cache server fetches it."""
    ASIDE = "aside"
    """Cache-aside: the node sends misses and writes to the origin."""


class LoadReporting(Enum):
    """Which responses of a server carry its load."""

    NONE = "none"
    HEALTH_CHECK = "probe"
    """Responses to health checks."""
    RESPONSES = "answers"
    """All responses."""


class _Validated:
    """Validates the fields of a settings class: raises for negative numbers and values of the wrong type.

    Numbers are durations, counts and prices, so only the fields in `_may_be_negative` may be below zero.
    """

    __slots__ = ()
    _may_be_negative: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        for field in fields(self):  # type: ignore[arg-type]  # all subclasses are dataclasses
            value = getattr(self, field.name)
            if isinstance(field.type, type) and issubclass(field.type, Enum):
                if not isinstance(value, field.type):
                    raise ValueError(f"{field.name}: {value!r} is not a {field.type.__name__}")
            elif field.type in (int, float):
                if isinstance(value, bool) or not isinstance(value, (int, float)):
                    raise ValueError(f"{field.name}: {value!r} is not a number")
                if not value >= 0 and field.name not in self._may_be_negative:
                    raise ValueError(f"{field.name}: {value!r} is below zero")


@dataclass(slots=True, frozen=True)
class RequestClass(_Validated):
    """Properties that all requests of one class share.

    Attributes:
        name: The name that clients use for the class.
        latency_objective_ns: A response within this time earns the full priority weight, where results are
            counted. No decision depends on it.
        deadline_ns: How long clients wait for a response.
        priority_weight: The importance of a response, relative to other classes: under overload, requests
            of classes with a higher weight are served first.
        late_weight_fraction: The fraction of `priority_weight` that a response earns after the objective
            and before the deadline, where results are counted. No decision depends on it.
        effect: The effect of a second execution.
        deduplication_scope: Which servers drop repeats, if the effect is keyed.
        deduplication_window_ns: How long servers drop repeats, counted from the first attempt, if the
            effect is keyed.
        stream: Whether responses are streamed.
        objective_work_factor: The objective is extended by this multiple of the request's expected work.
    """

    name: str = ""
    latency_objective_ns: int = 1_000_000_000
    deadline_ns: int = 2_000_000_000
    priority_weight: float = 1.0
    late_weight_fraction: float = 0.0
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0
    stream: bool = False
    objective_work_factor: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant(_Validated):
    """A customer whose traffic has a quota.

    Attributes:
        name: The name that clients use for the tenant.
        quota_per_s: Requests per second over all nodes; 0 means no quota.
        share: The tenant's fraction of all traffic, as stated by the platform.
    """

    name: str = ""
    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules(_Validated):
    """Requirements of the platform on every node, and its guarantees about servers.

    Attributes:
        answer_slack_ns: How long after the deadline a final response may still be sent.
        poll_interval_ns: How often the endpoint list has to be polled if there is no watch.
        drain_grace_ns: How long first attempts may still be sent to a server after its drain is announced.
        slow_start_fraction: The minimum fraction of its capacity that a server has right after its start.
        slow_start_ns: The time from its start until a server has its full capacity.
        overload_multiple: A server that is warming up crashes if it gets more work within
            `overload_window_ns` than this multiple of its capacity; 0 means no limit.
        overload_window_ns: The time window of `overload_multiple`.
    """

    answer_slack_ns: int = 0
    poll_interval_ns: int = 10_000_000_000
    drain_grace_ns: int = 0
    slow_start_fraction: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = 0.0
    overload_window_ns: int = 0


@dataclass(slots=True, frozen=True)
class Limits(_Validated):
    """Limits of one node, and the optional operations that it may use.

    Attributes:
        max_attempts: The maximum number of attempts at one request, including the first.
        hedged_requests: Whether two attempts at one request may be in flight at the same time.
        cancel: Whether attempts may be cancelled.
        health_checks: Whether the node may send health checks to servers.
        peer_messages: Whether nodes may send messages to each other.
        retry_after: Whether a rejection may carry a retry-after time.
        max_retry_after_ns: The maximum retry-after time.
        max_open: The maximum number of open requests.
        connect_timeout_ns: How long opening a connection may take.
        conn_idle_ns: Servers close connections that were idle for this long.
    """

    max_attempts: int = 3
    hedged_requests: bool = False
    cancel: bool = False
    health_checks: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after_ns: int = 0
    max_open: int = 20_000
    connect_timeout_ns: int = 250_000_000
    conn_idle_ns: int = 60_000_000_000


@dataclass(slots=True, frozen=True)
class Prices(_Validated):
    """Penalties in points of service, each multiplied by the share or rate of what it is charged for.

    Fields have the names of the configuration.
    """

    cross_zone: float = 0.0
    waste: float = 0.0
    late_fail: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    origin: float = 0.0
    probe: float = 0.0
    peer: float = 0.0
    moves: float = 0.0
    discovery: float = 0.0


@dataclass(slots=True, frozen=True)
class Goal(_Validated):
    """Weights of the components of the score; a component with weight 0 is not counted.

    `tail_slack` and `full_at_nines` are parameters and not weights. Fields have the names of the
    configuration.

    Attributes:
        whole: Weight of the result over the whole day.
        worst_window: Weight of the worst time window of the day.
        worst_class: Weight of the worst request class.
        worst_tenant: Weight of the worst tenant.
        tail: Weight of the tail latency, by class and time span. It has its full value only while few enough
            requests miss their latency objective.
        tail_slack: The fraction of requests that may miss their objective at no cost; at five times this
            fraction the value is zero.
        availability: Weight of the availability, counted in nines: each power of ten by which the unserved
            fraction is below 1.
        full_at_nines: The number of nines that has the full value.
    """

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    tail: float = 0.0
    tail_slack: float = 0.01
    availability: float = 0.0
    full_at_nines: float = 3.0


@dataclass(slots=True, frozen=True)
class Settings(_Validated):
    """The complete settings of a policy.

    Attributes:
        classes: Request classes; events refer to them by index.
        tenants: Tenants; events refer to them by index.
        rules: The rules of the platform.
        limits: The limits of this node.
        prices: The penalties for operations of nodes beyond serving requests. No decision depends on them.
        goal: The weights of the components of the score. No decision depends on them.
        fleet_size: The number of nodes in the fleet, including this one.
        self_index: This node's index in the fleet.
        zone: This node's zone, as an index.
        discovery: How the node gets the endpoint list.
        mode: Which component fetches from the origin after a cache miss.
        origin_kind: The endpoint kind of the origin in cache-aside mode; -1 if there is no origin.
        load_reporting: Which responses carry the load of a server.
        weight_by_work: Whether the weight of a class is per unit of work instead of per request, where
            results are counted. It does not affect which request is served first.
        over_quota_weight: The fraction of its weight that a request over its tenant's quota has, where
            results are counted. Such requests are served last, whatever it is.
    """

    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    rules: Rules = Rules()
    limits: Limits = Limits()
    prices: Prices = Prices()
    goal: Goal = Goal()
    fleet_size: int = 1
    self_index: int = 0
    zone: int = 0
    discovery: DiscoveryMode = DiscoveryMode.PUSHED
    mode: CacheMode = CacheMode.THROUGH
    origin_kind: int = -1
    load_reporting: LoadReporting = LoadReporting.NONE
    weight_by_work: bool = False
    over_quota_weight: float = 1.0
    _may_be_negative = frozenset({"origin_kind"})
