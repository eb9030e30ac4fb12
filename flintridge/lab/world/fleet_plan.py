"""What a fleet is made of, drawn from the scenario by the seed before anything runs."""

import random
from dataclasses import dataclass

import msgspec

from flintridge.lab.scenario.model import Group, Kind, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw


@dataclass(slots=True, frozen=True)
class Spec:
    """One cache server. `label` is `s0`, `s1` ... by its place in the scenario's groups; a replacement
    keeps it.

    The id is drawn, so that no order of ids hints at what a server is or where.
    """

    id: str
    label: str
    kind: Kind  # its spans drawn
    zone: str
    cell: int
    weight: float


def node_names(scenario: Scenario) -> list[str]:
    return [f"n{i}" for i in range(scenario.nodes.count)]


def node_zones(scenario: Scenario) -> dict[str, str]:
    """Zones by node, in turn."""
    zones = scenario.nodes.zones or scenario.zones
    return {name: zones[i % len(zones)] for i, name in enumerate(node_names(scenario))}


def server_zones(scenario: Scenario) -> list[tuple[Group, str]]:
    """The group and the zone of every server, in the order of their labels."""
    found: list[tuple[Group, str]] = []
    turn = 0
    for group in scenario.servers:
        for _ in range(group.count):
            if group.zone is None:
                # One turn over all groups: several small groups must not all begin in the first zone.
                found.append((group, scenario.zones[turn % len(scenario.zones)]))
                turn += 1
            else:
                found.append((group, group.zone))
    return found


class Ids:
    """Ids that were never given before."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._given: set[str] = set()

    def new(self) -> str:
        while (name := f"s-{self._rng.getrandbits(32):08x}") in self._given:
            pass
        self._given.add(name)
        return name


def drawn_kind(kind: Kind, rng: random.Random) -> Kind:
    """The kind with a number for each of its spans, for one server."""
    spans = ("speed", "queue_per_core", "pause_ms")
    return msgspec.structs.replace(kind, **{name: draw(rng, getattr(kind, name)) for name in spans})


def specs(scenario: Scenario, seeds: Seeds, ids: Ids) -> list[Spec]:
    """The cache servers that are there from the first."""
    kinds = {kind.name: kind for kind in scenario.kinds}
    made: list[Spec] = []
    for number, (group, zone) in enumerate(server_zones(scenario)):
        # A generator a server: what one group draws does not move the servers of the others.
        rng = seeds.of(f"server/{number}")
        kind = drawn_kind(kinds[group.kind], rng)
        weight = draw(rng, group.weight)
        made.append(Spec(ids.new(), f"s{number}", kind, zone, group.cell, weight))
    return made
