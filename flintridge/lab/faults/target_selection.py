"""Selection of the servers and nodes that a fault affects, by a generator of its own for each fault."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from flintridge.lab.scenario.model import AnyFault, ServerFault
from flintridge.lab.seeds import Seeds


@dataclass(slots=True, frozen=True)
class Candidate:
    """A cache server that may be selected; the origin is never among them.

    Attributes:
        id: Its id.
        label: Its place in the scenario: `s0`, `s1` ...
        zone: Where it stands.
        kind: The name of its kind.
    """

    id: str
    label: str
    zone: str
    kind: str


def fault_name(fault: AnyFault) -> str:
    """Return a fault's name, as the scenario file has it in `what`."""
    return str(fault.__struct_config__.tag)


def fault_generators(faults: Sequence[AnyFault], seeds: Seeds) -> list[random.Random]:
    """Return a generator for each fault, by its name and time: its draws depend on no other fault.

    Args:
        faults: All faults of the scenario.
        seeds: Of the run.
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
    """Return the candidates of the fault's zone and kind, where it names them."""
    return [
        candidate
        for candidate in candidates
        if (not fault.zone or candidate.zone == fault.zone)
        and (not fault.kind or candidate.kind == fault.kind)
    ]


def select_servers(fault: ServerFault, candidates: Sequence[Candidate], rng: random.Random) -> list[str]:
    """Select the servers that a fault affects.

    Args:
        fault: It names them by id or label, or has a count or a fraction (at least one) of those of its
            zone and kind; all of these where it has neither.
        candidates: All servers.
        rng: The fault's own generator.

    Returns:
        Their ids, in the order of the candidates.
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
    # A shuffle of all, of which the first are taken: another count selects the same servers and a few more.
    order = rng.sample(range(len(matching)), len(matching))
    return [matching[index].id for index in sorted(order[:count])]


def select_nodes(numbers: Sequence[int], count: int, nodes: Sequence[str], rng: random.Random) -> list[str]:
    """Select the nodes that a fault affects.

    Args:
        numbers: Their numbers; empty: `count` of them.
        count: How many are drawn; 0: all.
        nodes: The names of all nodes.
        rng: The fault's own generator.

    Returns:
        Their names, in the order of their numbers.
    """
    if numbers:
        return [nodes[number] for number in sorted(dict.fromkeys(numbers)) if number < len(nodes)]
    if not count:
        return list(nodes)
    order = rng.sample(range(len(nodes)), len(nodes))
    return [nodes[number] for number in sorted(order[:count])]
