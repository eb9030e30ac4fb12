"""Settings of the decision policy: request classes, tenants, rules of the platform, limits, prices and goal.

The names on the wire and in configuration files are other ones: `flintridge/config/` maps them to these.
"""

from dataclasses import dataclass, fields
from enum import Enum


class Effect(Enum):
    """What a second execution of a request does."""

    SAFE = "safe"
    """Nothing: the request is idempotent."""
    KEYED = "keyed"
    """Nothing while servers deduplicate by the request's idempotency key, which they do for a time."""
    UNSAFE = "unsafe"
    """Harm."""


class DeduplicationScope(Enum):
    """Which servers drop the repeats of a keyed request that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class DiscoveryMode(Enum):
    """How discovery's endpoint list reaches the node."""

    PUSHED = "pushed"
    """Over an open watch."""
    POLLED = "on_request"
    """Only in answers to calls."""


class CacheMode(Enum):
    """Who asks the origin for what a cache server lacks."""

    THROUGH = "through"
    """Read-through: cache servers fetch it themselves."""
    ASIDE = "aside"
    """Cache-aside: the balancer takes misses and writes to the origin."""


class LoadReporting(Enum):
    """Where servers report their load."""

    NONE = "none"
    HEALTH_CHECK = "probe"
    """In the responses to health checks."""
    RESPONSES = "answers"
    """In all responses."""


class _Validated:
    """Rejects numbers below zero (durations, counts, prices) and values of the wrong type, by field name."""

    __slots__ = ()
    _may_be_negative: frozenset[str] = frozenset()

    def __post_init__(self) -> None:
        for field in fields(self):  # type: ignore[arg-type]  # of each subclass: they are dataclasses
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
    """What all requests of one class have in common.

    Attributes:
        name: As clients name it.
        latency_objective_ns: A response within this time earns the full priority weight.
        deadline_ns: How long clients wait.
        priority_weight: What a response within the objective is worth, against other classes.
        late_weight_fraction: The fraction of that for a response after the objective, before the deadline.
        effect: What a second execution does.
        deduplication_scope: Of a keyed request: which servers drop its repeats.
        deduplication_window_ns: Of a keyed request: how long they do, from its first attempt.
        stream: Whether responses come in a stream.
        objective_work_factor: The objective grows by this multiple of the request's own expected work.
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
        name: As clients name it.
        quota_per_s: Requests a second over all nodes; 0: no quota.
        share: Its fraction of the whole, as the platform states it.
    """

    name: str = ""
    quota_per_s: float = 0.0
    share: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules(_Validated):
    """What the platform demands of every node, and promises about its servers.

    Attributes:
        answer_slack_ns: How late a final response may come.
        poll_interval_ns: Without a watch, the endpoint list has to be polled this often.
        drain_grace_ns: How long after the notice of a drain first attempts may still be sent there.
        slow_start_fraction: The fraction of its capacity that a server has at its start, at least.
        slow_start_ns: It has all of it after this.
        overload_multiple: Work beyond this multiple of its capacity (0: no limit) ...
        overload_window_ns: ... within this time makes a server that is warming up crash.
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
    """What a node may do and hold.

    Attributes:
        max_attempts: Of one request, its first one included.
        hedged_requests: Whether two attempts of one request may be out at once.
        cancel: Whether attempts may be cancelled.
        health_checks: Whether servers may be sent health checks.
        peer_messages: Whether nodes may send one another messages.
        retry_after: Whether a rejection may say when to come again ...
        max_retry_after_ns: ... and at most how late.
        max_open: Requests open at once.
        connect_timeout_ns: How long opening a connection may take.
        conn_idle_ns: Idle connections are closed after this by their servers.
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
    """Points of service lost, each times its share or rate. The names are those of the configuration."""

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
    """Weights of the components of the result (0: not counted). The names are those of the configuration.

    Attributes:
        whole: The whole day.
        worst_window: Its worst window.
        worst_class: Its worst request class.
        worst_tenant: Its worst tenant.
        tail: By class and span: full worth only while few enough requests miss their latency objective.
        tail_slack: The fraction of misses that costs nothing; at five times it nothing counts. No weight.
        availability: Nines: steps of ten that the unserved fraction lies below the whole.
        full_at_nines: This many nines count in full. No weight.
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
    """All that a policy is given at its start.

    Attributes:
        classes: Request classes; events name them by position.
        tenants: Tenants; events name them by position.
        rules: The platform's.
        limits: Of this node.
        prices: Of what nodes do beside serving.
        goal: How the result is weighed.
        fleet_size: Nodes like this one, itself included.
        self_index: This node's position among them.
        zone: This node's zone, by position.
        discovery: How the endpoint list comes.
        mode: Who asks the origin.
        origin_kind: Cache-aside: endpoints of this kind are the origin; -1: there is none.
        load_reporting: Where servers report their load.
        weight_by_work: Whether a class's weight is that of a unit of work, not of a request.
        over_quota_weight: The fraction of its weight that a request beyond its tenant's quota has.
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
