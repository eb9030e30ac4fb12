"""The node's own configuration format: every key with its unit, range and default.

Units are part of the names: `_ms` is milliseconds, `_s` seconds, `_mb` megabytes and `_per_s` per second;
fractions range from 0 to 1. Classes, tenants, limits, rules, prices and goal have the same names as in the
lab's scenarios.

Fields have the names of `flintridge.api`; where a key of the file has another name, `rename` maps it. The
JSON Schema that `flintridge check --schema` prints contains the keys, the names of these classes, and the
descriptions that `schema_description` sets. Other programs read the schema, so a test compares it byte for
byte.
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
Fraction = Annotated[float, Meta(ge=0, le=1, description="a fraction of the whole")]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Address = Annotated[
    str, Meta(min_length=1, max_length=64, description="numeric address with a port: 10.0.0.4:11211")
]


class Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True, omit_defaults=True):
    """A table of the file; unknown keys are rejected."""


@schema_description(None)
class RequestClass(Section, kw_only=True, frozen=True, rename=REQUEST_CLASS_KEYS):
    """A class of requests: their latency objective, deadline, priority and repeatability."""

    name: Name
    latency_objective_ms: PositiveMs = 1000.0  # a response within this earns the full weight in results
    deadline_ms: PositiveMs = 2000.0  # covers all attempts of the client
    priority_weight: Amount = 1.0
    # The fraction of the weight that a response between the objective and the deadline earns.
    late_weight_fraction: Fraction = 0.0
    # A second execution is harmless (safe), is dropped by its key (keyed), or does harm (unsafe).
    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    deduplication_scope: Literal["all", "zone", "cell"] = "all"  # keyed: the servers that drop repeats
    deduplication_window_ms: Ms = 0.0  # keyed: how long servers drop repeats
    stream: bool = False
    # The objective is extended by this multiple of the request's own work.
    objective_work_factor: Amount = 0.0


@schema_description(None)
class Tenant(Section, kw_only=True, frozen=True):
    """A tenant and its quota."""

    name: Name
    quota_per_s: Amount = 0.0  # requests per second, over all nodes (0: no quota)
    share: Fraction = 0.0  # the tenant's fraction of all traffic


class Machine(Section, kw_only=True, frozen=True):
    """Resources of its machine that the node may use."""

    sockets: Annotated[int, Meta(ge=32, le=1_000_000)] = 1024
    memory_mb: Annotated[float, Meta(ge=32, le=65_536, description="megabytes")] = 192.0


class Limits(Section, kw_only=True, frozen=True, rename=LIMIT_KEYS):
    """Limits on the node, and the optional features that it may use."""

    max_attempts: Annotated[int, Meta(ge=1, le=100)] = 3
    hedged_requests: bool = False
    cancel: bool = False
    health_checks: bool = False
    peer_messages: bool = False
    retry_after: bool = False
    max_retry_after_ms: Ms = 0.0
    max_open: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    connect_timeout_ms: PositiveMs = 250.0
    conn_idle_s: PositiveSeconds = 60.0  # servers close connections that are idle for this long


@schema_description(None)
class Rules(Section, kw_only=True, frozen=True, rename=RULE_KEYS):
    """Rules of the platform that apply to servers and nodes."""

    answer_slack_ms: Ms = 0.0  # how late a final response may be
    poll_interval_s: PositiveSeconds = 10.0  # without a watch, poll the endpoint list this often
    drain_grace_ms: Ms = 0.0  # how long after a drain notice first attempts may still be sent to the server
    # The minimum fraction of its capacity that a just started server has.
    slow_start_fraction: Annotated[float, Meta(gt=0, le=1)] = 1.0
    slow_start_s: Seconds = 0.0  # how long after its start a server reaches its full capacity
    # A server that is warming up crashes if it gets more work within overload_window_ms than this multiple of
    # its capacity (0: no limit).
    overload_multiple: Amount = 0.0
    overload_window_ms: Ms = 0.0


@schema_description("Prices in points of the result, each multiplied by its fraction or rate.")
class Prices(Section, kw_only=True, frozen=True):
    """Prices of a node's overhead, in points of the result, each multiplied by its fraction or rate."""

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
    "Weights of the components of the result (0: not counted), and two bounds that are not weights."
)
class Goal(Section, kw_only=True, frozen=True):
    """Weights of the components of the result (0: not counted), and two bounds that are not weights."""

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
    """The last known list of servers, which may be outdated."""

    revision: Annotated[int, Meta(ge=0)] = 0
    complete: bool = True
    members: tuple[Listed, ...] = ()


@schema_description(None)
class LogPart(Section, kw_only=True, frozen=True):
    """The level of the log and its rate limit."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    # Log lines per second of one event; further ones are only counted.
    repeats_per_s: Annotated[int, Meta(ge=1, le=100_000)] = 50


@schema_description("The other nodes of the fleet. Without this table a node reaches no other node.")
class Peers(Section, kw_only=True, frozen=True):
    """The other nodes of the fleet. Without this table a node reaches no other node."""

    listen: Address  # for datagrams (UDP) and exchanges (TCP)
    known: dict[str, Address]  # the address of each peer by its name; the node's own entry is ignored
    fleet: Name  # the fleet's name; traffic of other fleets is dropped
    key_file: Annotated[str, Meta(min_length=1, max_length=4096)] | None = None  # None: loopback only
    bytes_per_s: Annotated[float, Meta(ge=4000, le=1e7, description="bytes, of all that is sent")] = 16_000.0


@schema_description(
    "The fleet-wide limits that nodes lease parts of. Without this table each node has an equal part."
)
class Budgets(Section, kw_only=True, frozen=True, rename=FLEET_LIMIT_KEYS):
    """The fleet-wide limits that nodes lease parts of. Without this table each node has an equal part."""

    tenants: bool = False  # the tenants' quotas
    floors: bool = False  # the minimum that concurrency limiters admit
    slow_start: bool = False  # the work that may be sent to a server that is warming up
    cache_permits: Count = 0  # attempts in flight at the cache servers, over all nodes (0: no such limit)
    origin_permits: Count = 0  # attempts in flight at the origin, over all nodes (0: no such limit)
    retries_per_s: Amount = 0.0  # retries over all nodes (0: no such limit)
    retries_per_attempt: Fraction = 0.1  # retries allowed in addition to retries_per_s, per first attempt
    strict: bool = False  # requests over quota are rejected even if capacity is free
    floor: Annotated[float, Meta(ge=0.01, le=1, description="of a node's part, never leased out")] = 0.25
    lease_ms: Annotated[float, Meta(ge=1500, le=60_000, description="milliseconds, of a lease")] = 4000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6, description="bytes, part of [peers]")] = 2000.0


@schema_description("A replica of what operators set for the fleet. Without this table a node has none.")
class State(Section, kw_only=True, frozen=True):
    """A replica of what operators set for the fleet. Without this table a node has none."""

    entries: Annotated[int, Meta(ge=1, le=100_000)] = 10_000  # maximum, remembered deletions included
    entry_bytes: Annotated[int, Meta(ge=64, le=4096, description="bytes, the maximum size of an entry")] = 512
    remember_s: Annotated[float, Meta(ge=1, le=2.6e6, description="seconds, of deletions")] = 3_600.0
    wait_ms: Annotated[float, Meta(ge=0, le=600_000, description="milliseconds, at the start")] = 10_000.0
    bytes_per_s: Annotated[float, Meta(ge=200, le=2.5e6, description="bytes, part of [peers]")] = 2000.0


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
    """A node. `listen`, `discovery`, `console` default to PROXY_LISTEN, PROXY_DISCOVERY, PROXY_CONSOLE."""

    name: Name | None = None
    listen: Address | None = None
    discovery: Address | None = None
    console: Address | None = None  # the address of the admin API; None: no admin API
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,32}$(?!\n)", description="hexadecimal")] = "0"
    zones: tuple[Name, ...] = ()
    zone: Name | None = None  # this node's zone; required if there are several zones
    kinds: tuple[Name, ...] = ()  # the kinds of servers
    # Who fetches a value that is not cached: the node (aside) or the cache server (through).
    mode: Literal["aside", "through"] = "aside"
    origin_kind: Name | None = None  # aside only: the kind of the origin
    discovery_mode: Literal["on_request", "pushed"] = "on_request"
    load_reporting: Literal["none", "probe", "answers"] = "none"
    # Whether the weight of a class is per request or per unit of work, where results are counted.
    weight_by: Literal["request", "work"] = "request"
    # The fraction of its weight that a request over its tenant's quota has, where results are counted.
    over_quota_weight: Fraction = 1.0
    fleet_size: Annotated[int, Meta(ge=1, le=100_000)] = 1  # number of nodes, this one included
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
