"""Which servers and nodes a fault is about: drawn by the seed, by a generator of its own for each fault."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from flintridge.lab.scenario.model import AnyFault, ServerFault
from flintridge.lab.seeds import Seeds


@dataclass(slots=True, frozen=True)
class Candidate:
    """A cache server that is there; the origin is never among them."""

    id: str
    label: str
    zone: str
    kind: str


def name_of(fault: AnyFault) -> str:
    """As the scenario file has it, in `what`."""
    return str(fault.__struct_config__.tag)


def generators(faults: Sequence[AnyFault], seeds: Seeds) -> list[random.Random]:
    """One for each fault, by its name and time: taking another fault away moves none of its draws."""
    seen: dict[tuple[str, float], int] = {}
    made: list[random.Random] = []
    for fault in faults:
        key = (name_of(fault), fault.at_s)
        nth = seen.get(key, 0)
        seen[key] = nth + 1
        made.append(seeds.of(f"fault/{key[0]}/{key[1]:g}/{nth}"))
    return made


def fitting(fault: ServerFault, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Those of the fault's zone and kind, where it names them."""
    return [
        one
        for one in candidates
        if (not fault.zone or one.zone == fault.zone) and (not fault.kind or one.kind == fault.kind)
    ]


def choose_servers(fault: ServerFault, candidates: Sequence[Candidate], rng: random.Random) -> list[str]:
    """Ids, in the order of the candidates: those named by id or label (`s0` ...), or so many or such a share
    (at least one) of those that fit; all of these where only a zone or a kind is named."""
    among = fitting(fault, candidates)
    if fault.ids:
        return [one.id for one in among if one.id in fault.ids or one.label in fault.ids]
    if fault.count:
        count = fault.count
    elif fault.share:
        count = max(1, round(fault.share * len(among)))
    else:
        return [one.id for one in among]
    # All are put in an order, and the first are taken: another count draws the same servers and a few more.
    order = rng.sample(range(len(among)), len(among))
    return [among[i].id for i in sorted(order[:count])]


def choose_nodes(named: Sequence[int], count: int, nodes: Sequence[str], rng: random.Random) -> list[str]:
    """Nodes by their numbers, or so many of them; all where neither is given."""
    if named:
        return [nodes[i] for i in sorted(dict.fromkeys(named)) if i < len(nodes)]
    if not count:
        return list(nodes)
    order = rng.sample(range(len(nodes)), len(nodes))
    return [nodes[i] for i in sorted(order[:count])]
