"""Plan of a fleet, drawn from the scenario with the seed before the run starts."""

import random
from dataclasses import dataclass

import msgspec

from flintridge.lab.scenario.model import Group, Kind, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw


@dataclass(slots=True, frozen=True)
class ServerPlan:
    """Plan of one cache server.

    Attributes:
        id: Id that discovery lists; drawn at random, so that the order of ids reveals neither kind nor zone.
        label: `s0`, `s1` ... by its position in the scenario's groups; a replacement keeps the label.
        kind: Kind of the server, with a drawn number in place of each span.
        zone: Zone of the server.
        cell: Cell of the server within its zone.
        weight: Weight of the server as discovery lists it.
    """

    id: str
    label: str
    kind: Kind
    zone: str
    cell: int
    weight: float


@dataclass(slots=True, frozen=True)
class PlacedServer:
    """A server before its random properties are drawn.

    Attributes:
        group: The scenario's group that it belongs to.
        zone: Zone of the server.
    """

    group: Group
    zone: str


def node_names(scenario: Scenario) -> list[str]:
    """Return the names of all nodes."""
    return [f"n{i}" for i in range(scenario.nodes.count)]


def node_zones(scenario: Scenario) -> dict[str, str]:
    """Return the zone of each node by name, assigned round robin."""
    zones = scenario.nodes.zones or scenario.zones
    return {name: zones[i % len(zones)] for i, name in enumerate(node_names(scenario))}


def placed_servers(scenario: Scenario) -> list[PlacedServer]:
    """Return every server with its zone, in the order of the labels."""
    servers: list[PlacedServer] = []
    next_zone = 0
    for group in scenario.servers:
        for _ in range(group.count):
            if group.zone is None:
                # One round robin over all groups: several small groups must not all start in the first zone.
                servers.append(PlacedServer(group, scenario.zones[next_zone % len(scenario.zones)]))
                next_zone += 1
            else:
                servers.append(PlacedServer(group, group.zone))
    return servers


class ServerIds:
    """Issues server ids that have never been issued before."""

    def __init__(self, rng: random.Random) -> None:
        """Start with no id issued; ids are drawn from `rng`."""
        self._rng = rng
        self._issued: set[str] = set()

    def new(self) -> str:
        """Issue a new id."""
        while True:
            server_id = f"s-{self._rng.getrandbits(32):08x}"
            if server_id not in self._issued:
                self._issued.add(server_id)
                return server_id


def draw_kind(kind: Kind, rng: random.Random) -> Kind:
    """Return the kind with a drawn number in place of each span, for one server."""
    spans = ("speed", "queue_per_core", "pause_ms")
    return msgspec.structs.replace(kind, **{name: draw(rng, getattr(kind, name)) for name in spans})


def plan_servers(scenario: Scenario, seeds: Seeds, ids: ServerIds) -> list[ServerPlan]:
    """Return the plans of the cache servers that exist at the start of the run."""
    kinds = {kind.name: kind for kind in scenario.kinds}
    plans: list[ServerPlan] = []
    for number, server in enumerate(placed_servers(scenario)):
        # Each server has its own generator, so that draws for one group never change servers of another.
        rng = seeds.of(f"server/{number}")
        group = server.group
        kind = draw_kind(kinds[group.kind], rng)
        weight = draw(rng, group.weight)
        plans.append(ServerPlan(ids.new(), f"s{number}", kind, server.zone, group.cell, weight))
    return plans
