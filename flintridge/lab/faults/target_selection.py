"""Selection of the servers and nodes that a fault affects, with a random generator for each fault."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from flintridge.lab.scenario.model import AnyFault, ServerFault
from flintridge.lab.seeds import Seeds


@dataclass(slots=True, frozen=True)
class Candidate:
    """A cache server that may be selected; the origin is never a candidate.

    Attributes:
        id: The server's id.
        label: The server's position in the scenario: `s0`, `s1` ...
        zone: The name of the server's zone.
        kind: The name of the server's kind.
    """

    id: str
    label: str
    zone: str
    kind: str


def fault_name(fault: AnyFault) -> str:
    """Return a fault's name, which is the value of `what` in the scenario file."""
    return str(fault.__struct_config__.tag)


def fault_generators(faults: Sequence[AnyFault], seeds: Seeds) -> list[random.Random]:
    """Return a random generator for each fault, whose draws do not depend on other faults.

    A generator is seeded by the fault's name and time, and its index among faults that have both in common.

    Args:
        faults: All faults of the scenario.
        seeds: The seeds of the run.
    """
    counts: dict[tuple[str, float], int] = {}
    generators: list[random.Random] = []
    for fault in faults:
        name = fault_name(fault)
        key = (name, fault.at_s)
        index = counts.get(key, 0)
        counts[key] = index + 1
        generators.append(seeds.of(f"fault/{name}/{fault.at_s:g}/{index}"))
    return generators


def matching_servers(fault: ServerFault, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return the candidates of the fault's zone and kind; an empty zone or kind matches all."""
    return [
        candidate
        for candidate in candidates
        if (not fault.zone or candidate.zone == fault.zone)
        and (not fault.kind or candidate.kind == fault.kind)
    ]


def select_servers(fault: ServerFault, candidates: Sequence[Candidate], rng: random.Random) -> list[str]:
    """Select the servers that a fault affects.

    Args:
        fault: The fault. Among the servers of its zone and kind, it affects those with its ids or labels, or
            a number given by its count or share (at least one server), or all if it has none of these.
        candidates: All servers.
        rng: The fault's own random generator.

    Returns:
        The ids of the selected servers, in the order of the candidates.
    """
    matching = matching_servers(fault, candidates)
    if fault.ids:
        return [server.id for server in matching if server.id in fault.ids or server.label in fault.ids]
    if fault.count:
        count = fault.count
    elif fault.share:
        count = max(1, round(fault.share * len(matching)))
    else:
        return [server.id for server in matching]
    # All servers are shuffled and the first ones taken, so that a larger count selects the same servers and
    # some more.
    order = rng.sample(range(len(matching)), len(matching))
    return [matching[index].id for index in sorted(order[:count])]


def select_nodes(numbers: Sequence[int], count: int, nodes: Sequence[str], rng: random.Random) -> list[str]:
    """Select the nodes that a fault affects.

    Args:
        numbers: The numbers of the nodes; empty: `count` nodes are drawn.
        count: The number of nodes to draw; 0: all nodes.
        nodes: The names of all nodes.
        rng: The fault's own random generator.

    Returns:
        The names of the selected nodes, in the order of their numbers.
    """
    if numbers:
        return [nodes[number] for number in sorted(dict.fromkeys(numbers)) if number < len(nodes)]
    if not count:
        return list(nodes)
    order = rng.sample(range(len(nodes)), len(nodes))
    return [nodes[number] for number in sorted(order[:count])]
