"""The platform's JSON as `flintridge check` reads it: names that are not known are skipped, as by the node.

It is stricter than a node, which starts with what it can make sense of. What passes here, a node takes.
"""

from collections.abc import Iterator, Sequence
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from flintridge.config.contradictions import address, addresses, fault, own_console, twice
from flintridge.config.faults import Fault, given
from flintridge.config.words import NOTHING

Ns = Annotated[float, Meta(ge=0, le=1e18, description="nanoseconds")] | None
Amount = Annotated[float, Meta(ge=0, le=1e12)] | None
Flag = bool | None


class Part(msgspec.Struct, rename="camel", kw_only=True, frozen=True):
    """A null stands for a name that is left out."""


class Service(Part, kw_only=True, frozen=True):
    name: str | None = None
    slo_ns: Ns = None
    hard_limit_ns: Ns = None
    points: Amount = None
    late_share: Amount = None
    effect: Literal["retryable", "dedup", "fragile"] | None = None
    group: Literal["all", "zone", "cell"] | None = None
    window_ns: Ns = None
    stream: Flag = None
    aim_stretch: Amount = None


class Tenant(Part, kw_only=True, frozen=True):
    name: str | None = None
    quota_per_s: Amount = None
    share: Amount = None


class Rules(Part, kw_only=True, frozen=True):
    answer_slack_ns: Ns = None
    ask_within_ns: Ns = None
    drain_grace_ns: Ns = None
    cold_share: Amount = None
    cold_ns: Ns = None
    fall_multiple: Amount = None
    fall_ns: Ns = None


class Permissions(Part, kw_only=True, frozen=True):
    attempts_cap: Annotated[int, Meta(ge=1)] | None = None
    parallel_tries: Flag = None
    cancel: Flag = None
    probes: Flag = None
    may_tell: Flag = None
    retry_after: Flag = None
    max_retry_after_ns: Ns = None
    max_open: Annotated[int, Meta(ge=1)] | None = None
    connect_timeout_ns: Ns = None
    conn_idle_ns: Ns = None


class Prices(Part, kw_only=True, frozen=True):
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


class Goal(Part, kw_only=True, frozen=True):
    whole: Amount = None
    worst_window: Amount = None
    worst_class: Amount = None
    worst_tenant: Amount = None
    tail: Amount = None
    tail_slack: Amount = None
    availability: Amount = None
    full_at_nines: Amount = None


class FamilyInfo(Part, kw_only=True, frozen=True):
    mode: Literal["through", "aside"] = "through"
    origin_kind: int = -1


class Report(Part, kw_only=True, frozen=True):
    how: Literal["none", "probe", "answers"] = "none"


class Settings(Part, kw_only=True, frozen=True):
    services: tuple[Service, ...] | None = None
    tenants: tuple[Tenant, ...] | None = None
    rules: Rules = Rules()
    permissions: Permissions = Permissions()
    prices: Prices = Prices()
    goal: Goal = Goal()
    family_info: FamilyInfo = FamilyInfo()
    report: Report = Report()
    discovery: Literal["pushed", "on_request"] = "pushed"
    worth_by: str | None = None
    fleet_size: Annotated[int, Meta(ge=1)] | None = None
    self_index: Annotated[int, Meta(ge=0)] | None = None
    zone: Annotated[int, Meta(ge=0)] | None = None
    over_share_worth: Amount = None
    zones: tuple[str, ...] | None = None
    kinds: tuple[str, ...] | None = None


class Machine(msgspec.Struct, kw_only=True, frozen=True):
    sockets: Annotated[int, Meta(ge=32)] = 1024
    memory_mb: Annotated[float, Meta(gt=0, le=1e9)] = 192.0


class Listed(msgspec.Struct, kw_only=True, frozen=True):
    id: Annotated[str, Meta(min_length=1)]
    phase: Literal["in_service", "terminating", "terminated"]
    host_port: str | None = None
    locality: str = ""
    flavor: str = ""
    cell: int | None = None
    size: Annotated[float, Meta(ge=0, le=1e12)] | None = None
    up_since_ms: Annotated[float, Meta(ge=0, le=1e15)] | None = None


class Known(msgspec.Struct, kw_only=True, frozen=True):
    revision: int
    complete: bool
    members: tuple[Listed, ...]


class PlatformFile(msgspec.Struct, kw_only=True, frozen=True):
    """The file as a whole; `listen`, `discovery` and `console` may be left to the environment."""

    settings: Settings
    name: str | None = None
    listen: str | None = None
    discovery: str | None = None
    console: str | None = None
    seed: Annotated[str, Meta(pattern=r"^[0-9a-fA-F]{1,64}$(?!\n)", description="hexadecimal")] = "0"
    limits: Machine | None = None
    known: Known | None = None


def conflicts(file: PlatformFile) -> Iterator[Fault]:
    """What cannot hold together, of a file that may be faulty in parts."""
    yield from address("listen", file.listen or None)
    yield from address("discovery", file.discovery or None)
    yield from address("console", file.console or None)
    yield from own_console(file)
    if given(file.settings):
        yield from _settings(file.settings)
    if given(file.known) and file.known and given(file.known.members):
        listed = file.known.members
        yield from twice(listed, "known.members", "id")
        yield from addresses([one for one in listed if given(one)], "known.members")
        for i, one in enumerate(listed):
            if given(one) and given(one.phase) and one.phase != "terminated" and one.host_port is None:
                yield fault(
                    f"known.members[{i}].host_port", NOTHING, "is missing for a server that is not gone"
                )


def _settings(held: Settings) -> Iterator[Fault]:
    services: Sequence[Any] = held.services or () if given(held.services) else ()
    for i, one in enumerate(services):
        if not given(one) or not given(one.slo_ns, one.hard_limit_ns):
            continue
        if one.slo_ns is not None and one.hard_limit_ns is not None and one.slo_ns > one.hard_limit_ns:
            allowed = f"at most the hardLimitNs of {one.hard_limit_ns:.0f}"
            yield fault(f"settings.services[{i}].sloNs", one.slo_ns, f"must be {allowed}", allowed)
    yield from twice(services, "settings.services", "name")
    if given(held.tenants):
        yield from twice(held.tenants or (), "settings.tenants", "name")
    yield from _within("settings.zone", held.zone, held.zones, "zones")
    if given(held.family_info):
        yield from _within(
            "settings.familyInfo.originKind", held.family_info.origin_kind, held.kinds, "kinds"
        )
    if given(held.self_index, held.fleet_size):
        nodes = range(held.fleet_size or 1)
        yield from _within("settings.selfIndex", held.self_index, nodes, "the fleet of fleetSize")


def _within(path: str, index: Any, names: Any, where: str) -> Iterator[Fault]:
    """Positions are in a list; with no list named, they cannot be checked."""
    if given(index, names) and index is not None and names and index >= len(names):
        allowed = f"0 to {len(names) - 1}"
        yield fault(path, index, f"must be {allowed}, a position in {where}", allowed)
