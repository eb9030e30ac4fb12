"""Resolves the targets of a fault in the fleet at the fault's start."""

import random
from collections.abc import Sequence

from flintridge.lab.faults.active_faults import ActiveFault
from flintridge.lab.faults.target_selection import Candidate, select_nodes, select_servers
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.system_faults import NodeFault
from flintridge.lab.world.fleet import SimulatedFleet

# Faults that affect given nodes or a number of drawn nodes.
NODE_FAULTS = (m.NodeKill, m.NodeRestart, m.NodeDrain, m.NodePause, m.Reload, NodeFault, m.ClockStep)


def resolve_targets(fault: m.AnyFault, fleet: SimulatedFleet, rng: random.Random) -> ActiveFault:
    """Return a fault with the servers, nodes or links that it affects.

    Args:
        fault: The fault that starts.
        fleet: The fleet.
        rng: The fault's own random generator.
    """
    if isinstance(fault, m.ServerFault):
        return ActiveFault(fault, servers=tuple(select_servers(fault, _candidates(fleet), rng)))
    if isinstance(fault, NODE_FAULTS):
        return ActiveFault(fault, nodes=tuple(select_nodes(fault.nodes, fault.count, fleet.nodes, rng)))
    if isinstance(fault, m.PeerLink):
        return ActiveFault(fault, links=_directed_links(fault, fleet.nodes))
    if isinstance(fault, m.ZoneLoss):
        servers = tuple(name for name, host in fleet.servers.items() if host.zone == fault.zone)
        nodes = tuple(name for name, zone in fleet.node_zones.items() if zone == fault.zone)
        return ActiveFault(fault, servers, nodes)
    return ActiveFault(fault)


def _candidates(fleet: SimulatedFleet) -> list[Candidate]:
    return [
        Candidate(name, fleet.plans[name].label, host.zone, host.kind.name)
        for name, host in fleet.servers.items()
    ]


def _directed_links(fault: m.PeerLink, nodes: Sequence[str]) -> tuple[tuple[str, str], ...]:
    """Return the source and target of each affected link, without duplicates."""
    sources = [nodes[index] for index in fault.nodes]
    targets = [nodes[index] for index in fault.to]
    if not targets:
        targets = [node for node in nodes if node not in sources]
    links = [(source, target) for source in sources for target in targets if source != target]
    if fault.both:
        links.extend([(target, source) for source, target in links])
    return tuple(dict.fromkeys(links))
