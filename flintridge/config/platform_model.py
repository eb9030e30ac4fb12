"""The platform's JSON as `flintridge check` validates it. Like a node, it ignores unknown keys.

It is stricter than a node, which also starts with some values that are rejected here; a node accepts every
file that is valid here. Fields have the names of `flintridge.api`; where a key is not such a name in camel
case, `field` gives the key.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, field

Ns = Annotated[float, Meta(ge=0, le=1e18, description="nanoseconds")] | None
Amount = Annotated[float, Meta(ge=0, le=1e12)] | None
Flag = bool | None


class Section(msgspec.Struct, rename="camel", kw_only=True, frozen=True):
    """An object of the settings; null is treated as an omitted key."""


class Service(Section, kw_only=True, frozen=True):
    """A class of requests."""

    name: str | None = None
    latency_objective_ns: Ns = field(default=None, name="sloNs")
    deadline_ns: Ns = field(default=None, name="hardLimitNs")
    priority_weight: Amount = field(default=None, name="points")
    late_weight_fraction: Amount = field(default=None, name="lateShare")
    effect: Literal["retryable", "dedup", "fragile"] | None = None
    deduplication_scope: Literal["all", "zone", "cell"] | None = field(default=None, name="group")
    deduplication_window_ns: Ns = field(default=None, name="windowNs")
    stream: Flag = None
    objective_work_factor: Amount = field(default=None, name="aimStretch")


class Tenant(Section, kw_only=True, frozen=True):
    """A tenant and its quota."""

    name: str | None = None
    quota_per_s: Amount = None
    share: Amount = None


class Rules(Section, kw_only=True, frozen=True):
    """Rules of the platform."""

    answer_slack_ns: Ns = None
    poll_interval_ns: Ns = field(default=None, name="askWithinNs")
    drain_grace_ns: Ns = None
    slow_start_fraction: Amount = field(default=None, name="coldShare")
    slow_start_ns: Ns = field(default=None, name="coldNs")
    overload_multiple: Amount = field(default=None, name="fallMultiple")
    overload_window_ns: Ns = field(default=None, name="fallNs")


class Permissions(Section, kw_only=True, frozen=True):
    """Limits on a node, and the optional features that it may use."""

    max_attempts: Annotated[int, Meta(ge=1)] | None = field(default=None, name="attemptsCap")
    hedged_requests: Flag = field(default=None, name="parallelTries")
    cancel: Flag = None
    health_checks: Flag = field(default=None, name="probes")
    peer_messages: Flag = field(default=None, name="mayTell")
    retry_after: Flag = None
    max_retry_after_ns: Ns = None
    max_open: Annotated[int, Meta(ge=1)] | None = None
    connect_timeout_ns: Ns = None
    conn_idle_ns: Ns = None


class Prices(Section, kw_only=True, frozen=True):
    """Prices of a node's overhead, in points of the result, each multiplied by its fraction or rate."""

    cross_zone: Amount = None
    waste: Amount = None
    late_fail: Amount = None
    connection: Amount = None
    handshake: Amount = None
    origin: Amount = None
    probe: Amount = None
    peer: Amount = None
    moves: Amount = None
    discovery: Amount = None


class Goal(Section, kw_only=True, frozen=True):
    """Weights of the components of the result."""

    whole: Amount = None
    worst_window: Amount = None
    worst_class: Amount = None
    worst_tenant: Amount = None
    tail: Amount = None
    tail_slack: Amount = None
    availability: Amount = None
    full_at_nines: Amount = None


class FamilyInfo(Section, kw_only=True, frozen=True):
    """Who fetches a value that is not cached: the cache server (through) or the node (aside)."""

    mode: Literal["through", "aside"] = "through"
    origin_kind: int = -1


class Report(Section, kw_only=True, frozen=True):
    """How servers report their load."""

    mode: Literal["none", "probe", "answers"] = field(default="none", name="how")


class Settings(Section, kw_only=True, frozen=True):
    """The settings of the policy."""

    services: tuple[Service, ...] | None = None
    tenants: tuple[Tenant, ...] | None = None
    rules: Rules = Rules()
    permissions: Permissions = Permissions()
    prices: Prices = Prices()
    goal: Goal = Goal()
    family_info: FamilyInfo = FamilyInfo()
    report: Report = Report()
    discovery: Literal["pushed", "on_request"] = "pushed"
    weight_by: str | None = field(default=None, name="worthBy")
    fleet_size: Annotated[int, Meta(ge=1)] | None = None
    self_index: Annotated[int, Meta(ge=0)] | None = None
    zone: Annotated[int, Meta(ge=0)] | None = None
    over_quota_weight: Amount = field(default=None, name="overShareWorth")
    zones: tuple[str, ...] | None = None
    kinds: tuple[str, ...] | None = None


class Machine(msgspec.Struct, kw_only=True, frozen=True):
    """Sockets and memory of a node."""

    sockets: Annotated[int, Meta(ge=32, le=2**31 - 1)] = 1024
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0


class ListedServer(msgspec.Struct, kw_only=True, frozen=True):
    """A server in discovery's list."""

    id: Annotated[str, Meta(min_length=1)]
    phase: Literal["in_service", "terminating", "terminated"]
    host_port: str | None = None
    locality: str = ""
    flavor: str = ""
    cell: int | None = None
    size: Annotated[float, Meta(ge=0, le=1e12)] | None = None
    up_since_ms: Annotated[float, Meta(ge=0, le=1e15)] | None = None


class ServerList(msgspec.Struct, kw_only=True, frozen=True):
    """The last known list of servers."""

    revision: int
    complete: bool
    members: tuple[ListedServer, ...]


class PlatformFile(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file; `listen`, `discovery` and `console` may be left to the environment."""

    settings: Settings
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    console: str | None = None
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,64}$(?!\n)", description="hexadecimal")] = "0"
    limits: Machine | None = None
    known: ServerList | None = None
