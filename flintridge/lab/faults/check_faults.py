"""Checks a scenario's faults for contradictions: unknown names, and faults without effect."""

from collections.abc import Callable, Iterator
from typing import Any

from flintridge.lab.faults.check_wording import listed, unknown_name
from flintridge.lab.faults.target_selection import Candidate, matching_servers
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.system_faults import ERRORS_OF_CALL, MAX_STEP_S, NodeFault
from flintridge.lab.world.fleet_plan import placed_servers

# Faults for which `for_s = 0` has a meaning: they never end, or their second step follows immediately.
ZERO_DURATION_FAULTS = (m.Crash, m.NodeKill, m.Drain, m.Replace, m.NodeRestart)


def check_fault(scenario: m.Scenario, fault: m.AnyFault) -> Iterator[str]:
    """Yield the contradictions of one fault, with paths relative to the fault.

    Args:
        scenario: The scenario that contains the fault.
        fault: The fault.
    """
    if fault.at_s >= scenario.length_s:
        yield (
            f"at_s: {fault.at_s:g} is not before the end of the run;"
            f" allowed is 0 to less than length_s ({scenario.length_s:g})"
        )
    if isinstance(fault, m.TimedFault) and not fault.for_s and not isinstance(fault, ZERO_DURATION_FAULTS):
        yield "for_s: a fault of 0 s has no effect; it must be above 0"
    if getattr(fault, "part", None) == 0:
        yield "part: a share of 0 has no effect; allowed is above 0 to 1"
    if isinstance(fault, m.ServerFault):
        yield from _check_server_fault(scenario, fault)
    if fault.once is not None:
        yield from _check_trigger(scenario, fault, fault.once)
    for fault_type, check in _CHECKS.items():
        if isinstance(fault, fault_type):
            yield from check(scenario, fault)


def candidates(scenario: m.Scenario) -> list[Candidate]:
    """Return the cache servers with their labels as ids, which are the same for every seed.

    Args:
        scenario: The scenario.
    """
    servers = placed_servers(scenario)
    return [Candidate(f"s{i}", f"s{i}", server.zone, server.group.kind) for i, server in enumerate(servers)]


def _check_server_fault(scenario: m.Scenario, fault: m.ServerFault) -> Iterator[str]:
    kinds = [kind.name for kind in scenario.kinds]
    yield from unknown_name("zone", fault.zone, scenario.zones, "zone")
    yield from unknown_name("kind", fault.kind, kinds, "kind")
    labels = [server.label for server in candidates(scenario)]
    for i, label in enumerate(fault.ids):
        yield from unknown_name(f"ids[{i}]", label, labels, "server")
    given = [name for name in ("ids", "count", "share") if getattr(fault, name)]
    if len(given) > 1:
        yield (
            f"{given[1]}: {given[0]} selects the servers already; only one of ids, count and share is allowed"
        )
    if not given and not fault.zone and not fault.kind:
        yield "share: no servers are selected; it needs ids, a count or share above 0, a zone or a kind"
    zone_known = not fault.zone or fault.zone in scenario.zones
    kind_known = not fault.kind or fault.kind in kinds
    if zone_known and kind_known:
        yield from _check_matching_servers(scenario, fault)


def _check_matching_servers(scenario: m.Scenario, fault: m.ServerFault) -> Iterator[str]:
    """Yield contradictions between a fault's known zone and kind and the servers that it selects."""
    servers = candidates(scenario)
    matching = matching_servers(fault, servers)
    if not matching:
        yield f"{'zone' if fault.zone else 'kind'}: there is no cache server of this zone and kind"
        return
    if fault.count > len(matching):
        yield f"count: {fault.count} is more than there are servers; allowed is up to {len(matching)}"
    labels = {server.label for server in servers}
    matching_labels = {server.label for server in matching}
    mismatched = [label for label in fault.ids if label in labels and label not in matching_labels]
    if mismatched:
        yield f"ids: {listed(mismatched)} are not of this zone and kind; remove zone and kind, or these ids"


def _check_required_nodes(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    count = scenario.nodes.count
    for i, number in enumerate(fault.nodes):
        if number >= count:
            yield f"nodes[{i}]: there is no node {number}; allowed is 0 to {count - 1}"
    if not fault.nodes and fault.count > count:
        yield f"count: {fault.count} is more than there are nodes; allowed is up to {count}"
    if not fault.nodes and not fault.count and not isinstance(fault, m.Reload):
        yield f"count: 0 nodes; allowed is 1 to {count}"


def _check_peer_link(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    if scenario.peers is None:
        yield "what: 'peer_link' impairs links between peers; the scenario needs a table [peers]"
    count = scenario.nodes.count
    for name in ("nodes", "to"):
        for i, number in enumerate(getattr(fault, name)):
            if number >= count:
                yield f"{name}[{i}]: there is no node {number}; allowed is 0 to {count - 1}"
    if not fault.to and len(set(fault.nodes)) >= count:
        yield "to: all nodes are in nodes, so no target is left; name targets in to, or fewer nodes"
    kinds = ("cut", "loss", "double", "add_ms", "jitter_ms", "bytes_per_s")
    if not any(getattr(fault, name) for name in kinds):
        yield f"cut: the link is not impaired; one of {', '.join(kinds)} must be set"


def _check_trigger(scenario: m.Scenario, fault: m.AnyFault, trigger: m.Seen) -> Iterator[str]:
    if isinstance(fault, m.Burst):
        yield "once: clients schedule a burst in advance; only at_s is allowed"
    given = [name for name in ("line", "heard", "datagram") if getattr(trigger, name) not in ("", None)]
    if len(given) != 1:
        yield "once: exactly one of line, heard and datagram must be set"
    elif given[0] != "line" and scenario.peers is None:
        yield f"once.{given[0]}: nodes without peers never show this; the scenario needs a table [peers]"
    if trigger.node is not None and trigger.node >= scenario.nodes.count:
        yield f"once.node: there is no node {trigger.node}; allowed is 0 to {scenario.nodes.count - 1}"


def _check_zone(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from unknown_name("zone", fault.zone, scenario.zones, "zone")


def _check_zone_pair(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from _check_zone(scenario, fault)
    yield from unknown_name("other", fault.other, scenario.zones, "zone")
    if isinstance(fault, m.Cut) and fault.zone == fault.other:
        yield f"other: {fault.other!r} is the same zone; a cut needs two zones"


def _check_burst(_: m.Scenario, fault: Any) -> Iterator[str]:
    if fault.factor == 1:
        yield "factor: 1 has no effect; any other is allowed"


def _check_nodes(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    """Like `_check_required_nodes`, but a fault with neither nodes nor a count affects all nodes."""
    if fault.nodes or fault.count:
        yield from _check_required_nodes(scenario, fault)


def _check_clock_step(scenario: m.Scenario, fault: Any) -> Iterator[str]:
    yield from _check_nodes(scenario, fault)
    if not fault.seconds:
        yield f"seconds: a step of 0 has no effect; allowed is -{MAX_STEP_S:g} to {MAX_STEP_S:g} without 0"


def _check_system_call_errors(_: m.Scenario, fault: Any) -> Iterator[str]:
    for i, name in enumerate(fault.errors):
        yield from unknown_name(f"errors[{i}]", name, ERRORS_OF_CALL[fault.call], f"error of {fault.call}")


_CHECKS: dict[type[m.Fault], Callable[[m.Scenario, Any], Iterator[str]]] = {
    m.NodeKill: _check_required_nodes,
    m.NodeRestart: _check_required_nodes,
    m.NodeDrain: _check_required_nodes,
    m.NodePause: _check_required_nodes,
    m.Reload: _check_required_nodes,
    m.PeerLink: _check_peer_link,
    m.ZoneLoss: _check_zone,
    m.Cut: _check_zone_pair,
    m.SlowLink: _check_zone_pair,
    m.Burst: _check_burst,
    NodeFault: _check_nodes,
    m.ClockStep: _check_clock_step,
    m.SystemCallErrors: _check_system_call_errors,
}
