"""What cannot hold together though each value by itself may stand."""

import ipaddress
import re
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Any

from flintridge.config.address import Address
from flintridge.config.faults import Fault, given
from flintridge.config.model import Goal, Limits, NodeFile, RequestClass, Rules
from flintridge.config.walk import joined
from flintridge.config.words import NOTHING


def contradictions(file: NodeFile) -> Iterator[Fault]:
    """Of a configuration that may be faulty in parts: what is faulty contradicts nothing."""
    yield from _places(file)
    for part, check in CHECKS:
        if given(held := getattr(file, part)):
            yield from check(held)
    if given(file.classes):
        for i, cls in enumerate(file.classes):
            yield from _class(cls, f"classes[{i}]") if given(cls) else ()
        yield from twice(file.classes, "classes", "name")
    if given(file.tenants):
        yield from twice(file.tenants, "tenants", "name")
        yield from _shares(file.tenants)
    if given(file.peers) and file.peers is not None:
        yield from _peers(file)
    if given(file.budgets) and file.budgets is not None:
        yield from _budgets(file)
    if given(file.state) and file.state is not None:
        yield from _state(file)
    if given(file.known) and file.known and given(file.known.members):
        yield from twice(file.known.members, "known.members", "id")
        yield from addresses(file.known.members, "known.members")


def fault(path: str, value: Any, reason: str, allowed: str = "") -> Fault:
    return Fault("", path, value, reason, allowed)


def twice(items: Sequence[Any], path: str, name: str) -> Iterator[Fault]:
    """Entries that bear a name for the second time."""
    first: dict[Any, int] = {}
    for i, item in enumerate(items):
        held = getattr(item, name) if given(item) else item
        if not given(held) or held is None:
            continue
        if held in first:
            yield fault(f"{path}[{i}].{name}", held, f"is the {name} of {path}[{first[held]}] too")
        first.setdefault(held, i)


def address(path: str, text: Any) -> Iterator[Fault]:
    """An address that a node could not use."""
    if not given(text) or text is None:
        return
    allowed = "a numeric address with a port, as 10.0.0.4:11211"
    try:
        Address.parse(text)
    except ValueError:
        yield fault(path, text, f"must be {allowed}", allowed)


def own_console(file: Any) -> Iterator[Fault]:
    """The console is an address of its own."""
    for other in ("listen", "discovery"):
        taken = getattr(file, other)
        if given(file.console, taken) and file.console and file.console == taken:
            yield fault("console", file.console, f"is {other} too", "an address of its own")


def addresses(members: Sequence[Any], path: str) -> Iterator[Fault]:
    for i, member in enumerate(members):
        if given(member):
            yield from address(f"{path}[{i}].host_port", member.host_port)


def _places(file: NodeFile) -> Iterator[Fault]:
    yield from address("listen", file.listen)
    yield from address("discovery", file.discovery)
    yield from address("console", file.console)
    yield from own_console(file)
    if given(file.listen, file.discovery) and file.listen and file.listen == file.discovery:
        yield fault("discovery", file.discovery, "is the address that the node itself listens on")
    for path in ("zones", "kinds"):
        if given(names := getattr(file, path)):
            for i, name in enumerate(names):
                if given(name) and name in names[:i]:
                    yield fault(f"{path}[{i}]", name, "stands there twice")
    yield from _one_of("zone", file.zone, file.zones, "zones", len(file.zones or ()) > 1)
    if given(file.mode):
        aside = file.mode == "aside"
        yield from _one_of("origin_kind", file.origin_kind, file.kinds, "kinds", aside)
        if not aside and given(file.origin_kind) and file.origin_kind is not None:
            yield fault("origin_kind", file.origin_kind, "has no meaning where mode is 'through'", "aside")
    if given(file.self_index, file.fleet_size) and file.self_index >= file.fleet_size:
        allowed = f"0 to {file.fleet_size - 1}"
        yield fault("self_index", file.self_index, f"must be {allowed}, by fleet_size", allowed)


MOST_PEERS = 2000  # that one node keeps account of


def _peers(file: NodeFile) -> Iterator[Fault]:
    peers = file.peers
    assert peers is not None
    yield from address("peers.listen", peers.listen)
    for other in ("listen", "discovery", "console"):
        if given(taken := getattr(file, other), peers.listen) and taken and taken == peers.listen:
            yield fault("peers.listen", peers.listen, f"is {other} too", "an address of its own")
    if given(peers.listen, peers.key_file) and peers.key_file is None and not _loopback(peers.listen):
        allowed = "a loopback address, or a key_file"
        yield fault(
            "peers.listen", peers.listen, f"must be {allowed}: without a key anyone is heard", allowed
        )
    if not given(peers.known):
        return
    if not 1 <= len(peers.known) <= MOST_PEERS:
        allowed = f"1 to {MOST_PEERS} peers"
        yield fault("peers.known", f"{len(peers.known)} names", f"must be {allowed}", allowed)
    first: dict[Any, str] = {}
    for name, text in peers.known.items():
        path = joined("peers.known", name)
        if not re.fullmatch(r"[A-Za-z0-9._-]{1,64}", name):
            allowed = "1 to 64 letters, digits, dots, dashes or underscores"
            yield fault(path, name, f"is no name: {allowed}", allowed)
        yield from address(path, text)
        if not given(text):
            continue
        own = given(peers.listen, file.name) and file.name and text == peers.listen
        if text in first and not own:
            yield fault(path, text, f"is the address of {first[text]} too", "an address of its own")
        first.setdefault(text, name)
        if own and name != file.name:
            yield fault(path, text, "is the address that this node itself listens on", "a peer's address")


SHARED = ("tenants", "floors", "cold", "cache_places", "origin_places", "repeats_per_s")
SHORTEST_USE = (
    1_500.0  # ms of a loan of places, beyond what was begun there: so long may a process stand still
)
OF_PEERS_BYTES = 0.25  # at most, for budgets: half is for datagrams, and presence needs the rest of that


def _budgets(file: NodeFile) -> Iterator[Fault]:
    budgets, peers = file.budgets, file.peers
    assert budgets is not None
    if peers is None:
        allowed = "only beside a table [peers]"
        yield fault(
            "budgets", NOTHING, f"is allowed {allowed}: parts are lent to nodes that are heard", allowed
        )
    on = [getattr(budgets, name) for name in SHARED]
    if given(*on) and not any(on):
        allowed = f"one of {', '.join(SHARED)}"
        yield fault("budgets", NOTHING, f"switches nothing on: it must name {allowed}", allowed)
    for name in ("cache_places", "origin_places"):
        places = getattr(budgets, name)
        if given(places, file.fleet_size) and 0 < places < file.fleet_size:
            allowed = f"0, or at least the fleet_size of {file.fleet_size}: each node has one by right"
            yield fault(f"budgets.{name}", places, f"must be {allowed}", allowed)
        if given(places, budgets.lease_ms, file.classes) and places and given(*file.classes):
            yield from _lease_for_places(budgets.lease_ms, file.classes)
    if given(budgets.tenants, file.tenants) and budgets.tenants and given(*file.tenants):
        quotas = [tenant.quota_per_s for tenant in file.tenants]
        if given(*quotas) and not any(quotas):
            reason = "must be false: no tenant has a quota_per_s over 0"
            yield fault("budgets.tenants", budgets.tenants, reason, "false, or a tenant with a quota")
    if given(budgets.tenants, budgets.strict) and budgets.strict and not budgets.tenants:
        yield fault("budgets.strict", budgets.strict, "must be false while tenants is false", "false")
    if not given(peers) or peers is None:
        return
    if given(budgets.bytes_per_s, peers.bytes_per_s):
        most = OF_PEERS_BYTES * peers.bytes_per_s
        if budgets.bytes_per_s > most:
            allowed = f"at most {most:g}, a quarter of peers.bytes_per_s"
            yield fault("budgets.bytes_per_s", budgets.bytes_per_s, f"must be {allowed}", allowed)
    if given(file.name) and file.name:
        yield from all_parts(file, file.name)


def _lease_for_places(lease_ms: float, classes: Sequence[Any]) -> Iterator[Fault]:
    """A place that was borrowed is taken up for as long as a client waits."""
    if given(*(cls.deadline_ms for cls in classes)):
        least = max(cls.deadline_ms for cls in classes) + SHORTEST_USE
        if lease_ms < least:
            allowed = f"at least {least:g}: the longest deadline_ms of a class, and {SHORTEST_USE:g}"
            yield fault("budgets.lease_ms", lease_ms, f"must be {allowed}", allowed)


RANGES = 256  # that keys are cut into, as `bucket_count` in flintridge/replication/limits.py
RANGE_S = 4.0  # in which one of them, full, must go through an exchange: it may last 10 s


def _state(file: NodeFile) -> Iterator[Fault]:
    state, peers = file.state, file.peers
    assert state is not None
    if peers is None:
        allowed = "only beside a table [peers]"
        yield fault("state", NOTHING, f"is allowed {allowed}: it is held by nodes that are heard", allowed)
    if not given(peers) or peers is None or not given(peers.bytes_per_s):
        return
    if given(state.bytes_per_s) and state.bytes_per_s > (most := OF_PEERS_BYTES * peers.bytes_per_s):
        allowed = f"at most {most:g}, a quarter of peers.bytes_per_s"
        yield fault("state.bytes_per_s", state.bytes_per_s, f"must be {allowed}", allowed)
    if given(state.entries, state.entry_bytes):
        most_entries = int(RANGE_S * peers.bytes_per_s / 2 * RANGES / state.entry_bytes)
        if state.entries > most_entries:
            allowed = f"at most {most_entries}, by state.entry_bytes and peers.bytes_per_s"
            reason = f"must be {allowed}: more could not be caught up with in time"
            yield fault("state.entries", state.entries, reason, allowed)


def all_parts(file: NodeFile, name: str) -> Iterator[Fault]:
    """The even parts of all names, of this node's own `name` too, are the whole budget."""
    if file.peers is None or not given(file.fleet_size, file.peers.known):
        return
    names = len({name, *file.peers.known})
    if file.fleet_size != names:
        reason = (
            f"must be {names}, the names in peers.known and {name} itself: budgets are cut into a part each"
        )
        yield fault("fleet_size", file.fleet_size, reason, str(names))


def _loopback(text: str) -> bool:
    try:
        return ipaddress.ip_address(Address.parse(text).host).is_loopback
    except ValueError:
        return True  # told elsewhere


def _one_of(path: str, name: Any, names: Any, where: str, needed: bool) -> Iterator[Fault]:
    if not given(name, names) or not given(*names):
        return
    allowed = f"one of {', '.join(map(repr, names))}" if names else f"named in {where}, which is empty"
    if name is None:
        if needed:
            yield fault(path, NOTHING, f"is missing: it must be {allowed}", allowed)
    elif name not in names:
        yield fault(path, name, f"is not in {where}: it must be {allowed}", allowed)


def _class(cls: RequestClass, path: str) -> Iterator[Fault]:
    if given(cls.aim_ms, cls.deadline_ms) and cls.aim_ms > cls.deadline_ms:
        allowed = f"at most the deadline_ms of {cls.deadline_ms:g}"
        yield fault(f"{path}.aim_ms", cls.aim_ms, f"must be {allowed}", allowed)
    if given(cls.effect) and cls.effect != "keyed":
        reason = f"has a meaning for effect 'keyed' only, and this class is {cls.effect!r}"
        if given(cls.window_ms) and cls.window_ms > 0:
            yield fault(f"{path}.window_ms", cls.window_ms, reason, "0")
        if given(cls.group) and cls.group != "all":
            yield fault(f"{path}.group", cls.group, reason, "'all'")


def _shares(tenants: Sequence[Any]) -> Iterator[Fault]:
    if given(*tenants) and given(*(tenant.share for tenant in tenants)):
        whole = sum(tenant.share for tenant in tenants)
        if whole > 1 + 1e-6:
            yield fault("tenants", f"shares of {whole:g} in all", "must not be more than 1", "<= 1")


def _limits(limits: Limits) -> Iterator[Fault]:
    longest = limits.max_retry_after_ms
    if given(limits.retry_after, longest) and longest > 0 and not limits.retry_after:
        reason = "has no meaning while retry_after is false"
        yield fault("limits.max_retry_after_ms", longest, reason, "0")
    if given(limits.max_attempts, limits.second_copies) and limits.second_copies and limits.max_attempts < 2:
        reason = "must be at least 2 while second_copies is true"
        yield fault("limits.max_attempts", limits.max_attempts, reason, ">= 2")


def _rules(rules: Rules) -> Iterator[Fault]:
    if given(rules.cold_share, rules.cold_s):
        if rules.cold_s > 0 and rules.cold_share == 1:
            reason = "says that servers start cold, but a cold_share of 1 that they can do all at once"
            yield fault("rules.cold_s", rules.cold_s, reason, "0, or a cold_share < 1")
        if rules.cold_s == 0 and rules.cold_share < 1:
            reason = "says that servers start cold, but a cold_s of 0 that they are warm at once"
            yield fault("rules.cold_share", rules.cold_share, reason, "1, or a cold_s > 0")
    if given(rules.fall_multiple, rules.fall_ms) and (rules.fall_multiple > 0) != (rules.fall_ms > 0):
        path, other = ("fall_ms", "fall_multiple") if rules.fall_multiple else ("fall_multiple", "fall_ms")
        yield fault(
            f"rules.{path}", 0, f"must be over 0 as {other} is: a load, and how long it is borne", "> 0"
        )


def _goal(goal: Goal) -> Iterator[Fault]:
    parts = ("whole", "worst_window", "worst_class", "worst_tenant", "tail", "availability")
    weights = [getattr(goal, name) for name in parts]
    if given(*weights) and not any(weights):
        yield fault("goal", 0, f"counts nothing: one of {', '.join(parts)} must be over 0")


CHECKS: tuple[tuple[str, Callable[[Any], Iterable[Fault]]], ...] = (
    ("limits", _limits),
    ("rules", _rules),
    ("goal", _goal),
)
