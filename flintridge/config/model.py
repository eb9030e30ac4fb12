"""The node's own configuration format: every name, its unit, its range and its default.

Units are part of the names: `_ms` milliseconds, `_s` seconds, `_mb` megabytes, `_per_s` a second; fractions
are from 0 to 1. Classes, tenants, limits, rules, prices and goal are named as in the lab's scenarios.

Fields have the names of `flintridge.api`; where a key of the file has another name, `rename` has it. The JSON
Schema that `flintridge check --schema` prints has the keys, the names of these classes, and the descriptions
that `schema_description` gives them. It is read by others, and stays as it is byte for byte.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from flintridge.config.format_types import (
    FLEET_LIMIT_KEYS,
    LIMIT_KEYS,
    REQUEST_CLASS_KEYS,
    RULE_KEYS,
    Name,
    schema_description,
)

Ms = Annotated[float, Meta(ge=0, le=86_400_000, description="milliseconds")]
PositiveMs = Annotated[float, Meta(gt=0, le=86_400_000, description="milliseconds")]
Seconds = Annotated[float, Meta(ge=0, le=86_400, description="seconds")]
PositiveSeconds = Annotated[float, Meta(gt=0, le=86_400, description="seconds")]
Fraction = Annotated[float, Meta(ge=0, le=1, description="a share of the whole")]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Address = Annotated[
    str, Meta(min_length=1, max_length=64, description="numeric, with a port: 10.0.0.4:11211")
]


class Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True, omit_defaults=True):
    """A table of the file; a key that is not known is rejected."""


@schema_description(None)
class RequestClass(Section, kw_only=True, frozen=True, rename=REQUEST_CLASS_KEYS):
    """A class of requests: how soon they must be answered, and their priority."""

    name: Name
    latency_objective_ms: PositiveMs = 1000.0  # a response within this earns the full weight
    deadline_ms: PositiveMs = 2000.0  # over all attempts of the client
    priority_weight: Amount = 1.0
    late_weight_fraction: Fraction = 0.0  # of the weight, for a response between objective and deadline
    effect: Literal["safe", "keyed", "unsafe"] = "safe"  # of a second execution: none, dropped by key, harm
    deduplication_scope: Literal["all", "zone", "cell"] = "all"  # keyed: which servers drop repeats
    deduplication_window_ms: Ms = 0.0  # keyed: for so long
    stream: bool = False
    objective_work_factor: Amount = 0.0  # the objective grows by this multiple of the request's own work


@schema_description(None)
class Tenant(Section, kw_only=True, frozen=True):
    """A tenant and its quota."""

    name: Name
    quota_per_s: Amount = 0.0  # over all nodes (0: none)
    share: Fraction = 0.0  # of all traffic


class Machine(Section, kw_only=True, frozen=True):
    """What the node's machine gives it."""

    sockets: Annotated[int, Meta(ge=32, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65_536, description="megabytes")] = 192.0


class Limits(Section, kw_only=True, frozen=True, rename=LIMIT_KEYS):
    """What the node may do."""

    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    hedged_requests: bool = False
    cancel: bool = False
    health_checks: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after_ms: Ms = 0.0
    max_open: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    connect_timeout_ms: PositiveMs = 250.0
    conn_idle_s: PositiveSeconds = 60.0  # servers close connections that are idle for so long


@schema_description(None)
class Rules(Section, kw_only=True, frozen=True, rename=RULE_KEYS):
    """Rules of the platform that servers and nodes keep to."""

    answer_slack_ms: Ms = 0.0  # by which a final response may be late
    poll_interval_s: PositiveSeconds = 10.0  # without a watch, poll the endpoint list this often
    drain_grace_ms: Ms = 0.0  # after a drain's notice, in which first attempts may still be sent there
    slow_start_fraction: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of a started server's capacity, at least
    slow_start_s: Seconds = 0.0  # after which it has all of it
    overload_multiple: Amount = 0.0  # of its capacity (0: no limit): a server that is warming up,
    overload_window_ms: Ms = 0.0  # given more than that for so long, crashes


@schema_description("Points of service lost, each times its share or rate.")
class Prices(Section, kw_only=True, frozen=True):
    """Prices of what a node does beside serving, in points of the result; each times its fraction or rate."""

    cross_zone: Amount = 0.0
    waste: Amount = 0.0
    late_fail: Amount = 0.0
    connection: Amount = 0.0
    handshake: Amount = 0.0
    origin: Amount = 0.0
    probe: Amount = 0.0
    peer: Amount = 0.0
    moves: Amount = 0.0
    discovery: Amount = 0.0


@schema_description(
    "Weights of the parts of the result (0: not counted), and the two bounds that are no weights."
)
class Goal(Section, kw_only=True, frozen=True):
    """Weights of the components of the result (0: not counted), and two bounds that are no weights."""

    whole: Amount = 1.0
    worst_window: Amount = 0.0
    worst_class: Amount = 0.0
    worst_tenant: Amount = 0.0
    tail: Amount = 0.0
    tail_slack: Fraction = 0.01
    availability: Amount = 0.0
    full_at_nines: Amount = 3.0


class Listed(Section, kw_only=True, frozen=True):
    """A cache server or the origin as discovery lists it."""

    id: Annotated[str, Meta(min_length=1, max_length=256)]
    host_port: Address
    phase: Literal["in_service", "terminating", "terminated"] = "in_service"
    locality: str = ""
    flavor: str = ""
    cell: Count = 0
    size: Annotated[float, Meta(ge=0, le=1e9)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0, le=1e15, description="Unix time; 0: long ago")] = 0.0


class Known(Section, kw_only=True, frozen=True):
    """The list of servers as last held, possibly old."""

    revision: Annotated[int, Meta(ge=0)] = 0
    complete: bool = True
    members: tuple[Listed, ...] = ()


@schema_description(None)
class LogPart(Section, kw_only=True, frozen=True):
    """What is logged."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    repeats_per_s: Annotated[int, Meta(ge=1, le=100_000)] = 50  # of one event; the rest is counted


@schema_description("The other nodes that this one hears. Without this table it hears none.")
class Peers(Section, kw_only=True, frozen=True):
    """The other nodes of the fleet. Without this table a node reaches none."""

    listen: Address  # for datagrams (UDP) and exchanges (TCP)
    known: dict[str, Address]  # by name, where this node reaches each; its own is left out of account
    fleet: Name  # traffic of another one is dropped
    key_file: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None  # none: loopback only
    bytes_per_s: Annotated[float, Meta(ge=4000, le=1e7, description="bytes, of all that is sent")] = 16_000.0


@schema_description(
    "Which budgets of the fleet nodes lend one another. Without this table each holds its even part."
)
class Budgets(Section, kw_only=True, frozen=True, rename=FLEET_LIMIT_KEYS):
    """Which fleet-wide limits nodes lease parts of. Without this table each uses its even fraction."""

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # what concurrency limiters admit at the least
    slow_start: bool = False  # the work that may go to a server that is warming up
    cache_permits: Count = 0  # attempts in flight at the caches, over all nodes (0: no such limit)
    origin_permits: Count = 0  # and at the origin
    retries_per_s: Amount = 0.0  # over all nodes (0: no such limit),
    retries_per_attempt: Fraction = 0.1  # and beside these so many for each first attempt
    strict: bool = False  # what is beyond a quota is rejected, whatever capacity is free
    floor: Annotated[float, Meta(ge=0.01, le=1, description="of a node's part, never lent")] = 0.25
    lease_ms: Annotated[float, Meta(ge=1500, le=60_000, description="milliseconds, of a loan")] = 4000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6, description="bytes, of those of peers")] = 2000.0


@schema_description("What operators tell one node and all hold. Without this table a node holds none of it.")
class State(Section, kw_only=True, frozen=True):
    """The replica of what operators set for the fleet. Without this table a node has none."""

    entries: Annotated[int, Meta(ge=1, le=100_000)] = 10_000  # those of remembered deletions included
    entry_bytes: Annotated[int, Meta(ge=64, le=4096, description="bytes, of an entry")] = 512
    remember_s: Annotated[float, Meta(ge=1, le=2.6e6, description="seconds, of deletions")] = 3_600.0
    wait_ms: Annotated[float, Meta(ge=0, le=600_000, description="milliseconds, at the start")] = 10_000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6, description="bytes, of those of peers")] = 2000.0


class NodeFile(
    Section,
    kw_only=True,
    frozen=True,
    rename={
        "discovery_mode": "watch",
        "load_reporting": "load_reports",
        "weight_by": "worth_by",
        "over_quota_weight": "over_share_worth",
    },
):
    """A node. `listen`, `discovery` and `console` may be left to PROXY_LISTEN and so on."""

    name: Name | None = None
    listen: Address | None = None
    discovery: Address | None = None
    console: Address | None = None  # of the admin API; none: no admin API
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$(?!\n)", description="hexadecimal")] = "0"
    zones: tuple[Name, ...] = ()
    zone: Name | None = None  # this node's; needed where there are several
    kinds: tuple[Name, ...] = ()  # of servers
    mode: Literal["aside", "through"] = "aside"  # who fetches what is not cached: the node, or the servers
    origin_kind: Name | None = None  # aside: the kind of the origin
    discovery_mode: Literal["on_request", "pushed"] = "on_request"
    load_reporting: Literal["none", "probe", "answers"] = "none"
    weight_by: Literal["request", "work"] = "request"  # what a class's weight is that of
    over_quota_weight: Fraction = 1.0  # of the weight, for a request beyond its tenant's quota
    fleet_size: Annotated[int, Meta(ge=1, le=100_000)] = 1  # nodes like this one
    self_index: Count = 0
    machine: Machine = Machine()
    classes: Annotated[tuple[RequestClass, ...], Meta(min_length=1, max_length=1000)]
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = Limits()
    rules: Rules = Rules()
    prices: Prices = Prices()
    goal: Goal = Goal()
    log: LogPart = LogPart()
    peers: Peers | None = None
    budgets: Budgets | None = None
    state: State | None = None
    known: Known | None = None
