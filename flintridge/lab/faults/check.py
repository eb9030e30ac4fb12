"""Contradictions in a scenario that its types cannot show: names and faults that mean nothing."""

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from flintridge.config.fleet_validation import BUDGET_SWITCHES, PERMIT_LEASE_MARGIN_MS
from flintridge.lab.faults.choose import Candidate, fitting
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.system_faults import ERRORS_OF_CALL, MAX_STEP_S, NodeFault
from flintridge.lab.world.fleet_plan import placed_servers
from flintridge.lab.world.settings import ORIGIN_KIND

FOR_GOOD = (m.Crash, m.NodeKill)  # where `for_s = 0` means that nothing starts again
AT_ONCE = (m.Drain, m.Replace, m.NodeRestart)  # where it means that there is no wait


def check(scenario: m.Scenario) -> list[str]:
    """All contradictions, each as `path: what is wrong; what is allowed`; empty where there is none."""
    found: list[str] = []
    found.extend(_names(scenario))
    found.extend(_fleet(scenario))
    found.extend(_classes(scenario))
    found.extend(_budgets(scenario))
    found.extend(_spans(scenario, ""))
    for i, fault in enumerate(scenario.faults):
        found.extend(f"faults[{i}].{text}" for text in _fault(scenario, fault))
    return found


def _listed(names: Sequence[str]) -> str:
    return ", ".join(names) if len(names) <= 12 else f"{', '.join(names[:3])} ... {names[-1]}"


def _unknown(path: str, name: str | None, known: Sequence[str], what: str) -> Iterator[str]:
    if name and name not in known:
        yield f"{path}: there is no {what} {name!r}; allowed are {_listed(known)}"


def _twice(path: str, names: Sequence[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{path}: {name!r} is there {count} times; each name may be there once"


# The world


def _names(scenario: m.Scenario) -> Iterator[str]:
    yield from _twice("zones", scenario.zones)
    yield from _twice("kinds", [kind.name for kind in scenario.kinds])
    yield from _twice("classes", [cls.name for cls in scenario.classes])
    yield from _twice("tenants", [tenant.name for tenant in scenario.tenants])
    for i, kind in enumerate(scenario.kinds):
        if kind.name == ORIGIN_KIND:
            yield f"kinds[{i}].name: {ORIGIN_KIND!r} is the origin's own kind; any other name is allowed"
    for i, zone in enumerate(scenario.nodes.zones):
        yield from _unknown(f"nodes.zones[{i}]", zone, scenario.zones, "zone")
    for i, tenant in enumerate(scenario.tenants):
        yield from _unknown(f"tenants[{i}].zone", tenant.zone, scenario.zones, "zone")
    yield from _unknown("origin.zone", scenario.origin.zone, scenario.zones, "zone")
    yield from _unknown("discovery.zone", scenario.discovery.zone, scenario.zones, "zone")


def _fleet(scenario: m.Scenario) -> Iterator[str]:
    kinds = [kind.name for kind in scenario.kinds]
    for i, group in enumerate(scenario.servers):
        yield from _unknown(f"servers[{i}].kind", group.kind, kinds, "kind")
        yield from _unknown(f"servers[{i}].zone", group.zone, scenario.zones, "zone")
    if not any(group.count for group in scenario.servers):
        yield "servers: they are none; at least one group needs a count above 0"
    rules = scenario.rules
    for i, kind in enumerate(scenario.kinds):
        if kind.cold_from < rules.slow_start_fraction:
            yield (
                f"kinds[{i}].cold_from: {kind.cold_from:g} is below rules.cold_share, which is promised;"
                f" allowed is {rules.slow_start_fraction:g} to 1"
            )
        if kind.cold_s > rules.slow_start_s:
            yield (
                f"kinds[{i}].cold_s: {kind.cold_s:g} is more than rules.cold_s, which is promised;"
                f" allowed is 0 to {rules.slow_start_s:g}"
            )


def _classes(scenario: m.Scenario) -> Iterator[str]:
    repeats_ms = scenario.origin.repeats_s * 1000
    for i, cls in enumerate(scenario.classes):
        if cls.latency_objective_ms > cls.deadline_ms:
            yield (
                f"classes[{i}].aim_ms: {cls.latency_objective_ms:g} is beyond the deadline;"
                f" allowed is up to deadline_ms ({cls.deadline_ms:g})"
            )
        if cls.effect == "keyed" and 0 < repeats_ms < cls.deduplication_window_ms:
            yield (
                f"classes[{i}].window_ms: {cls.deduplication_window_ms:g}"
                " is longer than the origin knows a write's key;"
                f" allowed is up to origin.repeats_s ({repeats_ms:g} ms)"
            )


def _budgets(scenario: m.Scenario) -> Iterator[str]:
    budgets = scenario.budgets
    if budgets is None:
        return
    if scenario.peers is None:
        yield "budgets: parts are lent to nodes that are heard; the scenario needs a table [peers]"
    elif budgets.bytes_per_s > scenario.peers.bytes_per_s / 4:
        most = scenario.peers.bytes_per_s / 4
        yield (
            f"budgets.bytes_per_s: {budgets.bytes_per_s:g} is more than a quarter of peers.bytes_per_s;"
            f" allowed is up to {most:g}"
        )
    values = budgets.by_key()
    if not any(values[key] for key in BUDGET_SWITCHES):
        yield f"budgets: nothing is switched on; one of {', '.join(BUDGET_SWITCHES)} must be"
    if budgets.tenants and not any(tenant.quota_per_s for tenant in scenario.tenants):
        yield "budgets.tenants: no tenant has a quota_per_s above 0; false is allowed"
    if budgets.strict and not budgets.tenants:
        yield "budgets.strict: quotas are not shared; it must be false while budgets.tenants is"
    longest = max(cls.deadline_ms for cls in scenario.classes) + PERMIT_LEASE_MARGIN_MS
    for name in ("cache_places", "origin_places"):
        places = values[name]
        if 0 < places < scenario.nodes.count:
            yield (
                f"budgets.{name}: {places} is less than one a node;"
                f" allowed is 0, or at least {scenario.nodes.count}"
            )
        if places and budgets.lease_ms < longest:
            yield (
                f"budgets.lease_ms: {budgets.lease_ms:g} is too short for places, which are taken up as long"
                f" as a client waits; allowed is {longest:g} and more"
            )


def _spans(part: m.Table, path: str) -> Iterator[str]:
    """Spans whose low end is above the high one, wherever they are."""
    for name, value in part.by_key().items():
        where = f"{path}.{name}".lstrip(".")
        if isinstance(value, m.Table):
            yield from _spans(value, where)
        elif isinstance(value, tuple):
            for i, one in enumerate(value):
                if isinstance(one, m.Table):
                    yield from _spans(one, f"{where}[{i}]")
            if name != "nodes" and _is_span(value) and value[0] > value[1]:
                yield f"{where}: from {value[0]:g} to {value[1]:g}; the first must not be above the second"


def _is_span(value: tuple[Any, ...]) -> bool:
    return len(value) == 2 and all(isinstance(end, (int, float)) for end in value)


# Faults


def _fault(scenario: m.Scenario, fault: m.AnyFault) -> Iterator[str]:
    if fault.at_s >= scenario.length_s:
        yield (
            f"at_s: {fault.at_s:g} is beyond the day's end;"
            f" allowed is 0 to less than length_s ({scenario.length_s:g})"
        )
    if isinstance(fault, m.TimedFault) and not fault.for_s and not isinstance(fault, FOR_GOOD + AT_ONCE):
        yield "for_s: 0 is no time at all; it must be above 0"
    part = getattr(fault, "part", None)
    if part == 0:
        yield "part: a share of 0 does nothing; allowed is above 0 to 1"
    if isinstance(fault, m.ServerFault):
        yield from _chosen(scenario, fault)
    if fault.once is not None:
        yield from _once(scenario, fault, fault.once)
    for kind, rule in _RULES.items():
        if isinstance(fault, kind):
            yield from rule(scenario, fault)


def candidates(scenario: m.Scenario) -> list[Candidate]:
    """The cache servers by their labels, as before any seed."""
    servers = placed_servers(scenario)
    return [Candidate(f"s{i}", f"s{i}", server.zone, server.group.kind) for i, server in enumerate(servers)]


def _chosen(scenario: m.Scenario, fault: m.ServerFault) -> Iterator[str]:
    kinds = [kind.name for kind in scenario.kinds]
    yield from _unknown("zone", fault.zone, scenario.zones, "zone")
    yield from _unknown("kind", fault.kind, kinds, "kind")
    there = candidates(scenario)
    labels = [one.label for one in there]
    for i, label in enumerate(fault.ids):
        yield from _unknown(f"ids[{i}]", label, labels, "server")
    ways = [name for name in ("ids", "count", "share") if getattr(fault, name)]
    if len(ways) > 1:
        yield f"{ways[1]}: {ways[0]} says already which servers; only one of ids, count and share is allowed"
    if not ways and not fault.zone and not fault.kind:
        yield "share: no servers are named; ids, a count above 0, a share above 0, a zone or a kind must be"
    among = fitting(fault, there)
    known = (not fault.zone or fault.zone in scenario.zones) and (not fault.kind or fault.kind in kinds)
    if known and not among:
        yield f"{'zone' if fault.zone else 'kind'}: no cache server is of this zone and kind"
    elif known and fault.count > len(among):
        yield f"count: {fault.count} is more than there are; allowed is up to {len(among)}"
    inside = dict.fromkeys(one.label for one in among)
    outside = [label for label in fault.ids if label in labels and label not in inside]
    if known and among and outside:
        yield f"ids: {_listed(outside)} are not of this zone and kind; leave these out, or the ids"


def _numbers(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    count = scenario.nodes.count
    for i, number in enumerate(fault.nodes):
        if number >= count:
            yield f"nodes[{i}]: there is no node {number}; allowed is 0 to {count - 1}"
    if not fault.nodes and fault.count > count:
        yield f"count: {fault.count} is more than there are; allowed is up to {count}"
    if not fault.nodes and not fault.count and not isinstance(fault, m.Reload):
        yield f"count: 0 nodes; allowed is 1 to {count}"


def _peer_link(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    if scenario.peers is None:
        yield "what: 'peer_link' is about what the nodes tell one another; the scenario needs a table [peers]"
    count = scenario.nodes.count
    for name in ("nodes", "to"):
        for i, number in enumerate(getattr(fault, name)):
            if number >= count:
                yield f"{name}[{i}]: there is no node {number}; allowed is 0 to {count - 1}"
    if not fault.to and len(set(fault.nodes)) >= count:
        yield "to: all nodes are in nodes, so there is no other; name some, or fewer nodes"
    kinds = ("cut", "loss", "double", "add_ms", "jitter_ms", "bytes_per_s")
    if not any(getattr(fault, name) for name in kinds):
        yield f"cut: nothing is wrong; one of {', '.join(kinds)} must be"


def _once(scenario: m.Scenario, fault: m.AnyFault, once: m.Seen) -> Iterator[str]:
    if isinstance(fault, m.Burst):
        yield "once: clients plan a burst ahead; only at_s is allowed"
    ways = [name for name in ("line", "heard", "datagram") if getattr(once, name) not in ("", None)]
    if len(ways) != 1:
        yield "once: it waits for exactly one of line, heard and datagram"
    elif ways[0] != "line" and scenario.peers is None:
        yield f"once.{ways[0]}: nodes that hear nobody show none; the scenario needs a table [peers]"
    if once.node is not None and once.node >= scenario.nodes.count:
        yield f"once.node: there is no node {once.node}; allowed is 0 to {scenario.nodes.count - 1}"


def _zone(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from _unknown("zone", fault.zone, scenario.zones, "zone")


def _two_zones(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from _zone(scenario, fault)
    yield from _unknown("other", fault.other, scenario.zones, "zone")
    if isinstance(fault, m.Cut) and fault.zone == fault.other:
        yield f"other: {fault.other!r} is the same zone; a cut lies between two"


def _burst(_: m.Scenario, fault: Any) -> Iterator[str]:
    if fault.factor == 1:
        yield "factor: 1 changes nothing; any other is allowed"


def _some_nodes(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    """As `_numbers`, but a fault that names none is one of all nodes."""
    if fault.nodes or fault.count:
        yield from _numbers(scenario, fault)


def _clock_step(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from _some_nodes(scenario, fault)
    if not fault.seconds:
        yield f"seconds: 0 is no step; allowed is -{MAX_STEP_S:g} to {MAX_STEP_S:g} without 0"


def _system_call_errors(_: m.Scenario, fault: Any) -> Iterator[str]:
    for i, name in enumerate(fault.errors):
        yield from _unknown(f"errors[{i}]", name, ERRORS_OF_CALL[fault.call], f"error of {fault.call}")


_RULES: dict[type[m.Fault], Callable[[m.Scenario, Any], Iterator[str]]] = {
    m.NodeKill: _numbers,
    m.NodeRestart: _numbers,
    m.NodeDrain: _numbers,
    m.NodePause: _numbers,
    m.Reload: _numbers,
    m.PeerLink: _peer_link,
    m.ZoneLoss: _zone,
    m.Cut: _two_zones,
    m.SlowLink: _two_zones,
    m.Burst: _burst,
    NodeFault: _some_nodes,
    m.ClockStep: _clock_step,
    m.SystemCallErrors: _system_call_errors,
}
