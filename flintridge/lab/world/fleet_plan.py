"""What a fleet consists of, drawn from the scenario by the seed before anything runs."""

import random
from dataclasses import dataclass

import msgspec

from flintridge.lab.scenario.model import Group, Kind, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw


@dataclass(slots=True, frozen=True)
class ServerPlan:
    """One cache server.

    Attributes:
        id: As discovery lists it; drawn, so that no order of ids hints at what a server is or where.
        label: `s0`, `s1` ... by its position in the scenario's groups; a replacement keeps it.
        kind: Its kind, with a number for each span.
        zone: Where it stands.
        cell: Its cell in that zone.
        weight: Its weight as discovery lists it.
    """

    id: str
    label: str
    kind: Kind
    zone: str
    cell: int
    weight: float


@dataclass(slots=True, frozen=True)
class PlacedServer:
    """A server before its draws.

    Attributes:
        group: The scenario's group that it belongs to.
        zone: Where it stands.
    """

    group: Group
    zone: str


def node_names(scenario: Scenario) -> list[str]:
    """Names of the nodes."""
    return [f"n{i}" for i in range(scenario.nodes.count)]


def node_zones(scenario: Scenario) -> dict[str, str]:
    """Zones by node, in turn."""
    zones = scenario.nodes.zones or scenario.zones
    return {name: zones[i % len(zones)] for i, name in enumerate(node_names(scenario))}


def placed_servers(scenario: Scenario) -> list[PlacedServer]:
    """Every server with its zone, in the order of their labels."""
    servers: list[PlacedServer] = []
    turn = 0
    for group in scenario.servers:
        for _ in range(group.count):
            if group.zone is None:
                # One turn over all groups: several small groups must not all begin in the first zone.
                servers.append(PlacedServer(group, scenario.zones[turn % len(scenario.zones)]))
                turn += 1
            else:
                servers.append(PlacedServer(group, group.zone))
    return servers


class ServerIds:
    """Ids that were never given before."""

    def __init__(self, rng: random.Random) -> None:
        """Begin with none given; ids are drawn from `rng`."""
        self._rng = rng
        self._given: set[str] = set()

    def new(self) -> str:
        """Give another id."""
        while True:
            server_id = f"s-{self._rng.getrandbits(32):08x}"
            if server_id not in self._given:
                self._given.add(server_id)
                return server_id


def draw_kind(kind: Kind, rng: random.Random) -> Kind:
    """The kind with a number for each of its spans, for one server."""
    spans = ("speed", "queue_per_core", "pause_ms")
    return msgspec.structs.replace(kind, **{name: draw(rng, getattr(kind, name)) for name in spans})


def plan_servers(scenario: Scenario, seeds: Seeds, ids: ServerIds) -> list[ServerPlan]:
    """The cache servers that are there from the start."""
    kinds = {kind.name: kind for kind in scenario.kinds}
    plans: list[ServerPlan] = []
    for number, server in enumerate(placed_servers(scenario)):
        # A generator for each server: what one group draws does not move the servers of the others.
        rng = seeds.of(f"server/{number}")
        group = server.group
        kind = draw_kind(kinds[group.kind], rng)
        weight = draw(rng, group.weight)
        plans.append(ServerPlan(ids.new(), f"s{number}", kind, server.zone, group.cell, weight))
    return plans
