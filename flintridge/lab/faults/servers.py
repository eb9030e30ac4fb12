"""Brings the world's machines and links to what the active faults make of them."""

from collections.abc import Sequence
from dataclasses import asdict

from flintridge.lab.fabric import Fabric
from flintridge.lab.faults.active import UP, Active, Isolation, Knobs
from flintridge.lab.records import LinkFaultChanged
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.fleet import NO_ZONE, SimulatedFleet
from flintridge.lab.world.link import NO_FAULT, LinkFault
from flintridge.lab.world.link_table import LinkTable


class WorldState:
    """Applies an Active to a SimulatedFleet: only what differs from what was applied before is touched."""

    def __init__(self, world: SimulatedFleet, fabric: Fabric, active: Active) -> None:
        self._world, self._fabric, self._active = world, fabric, active
        self._zones = [*world.scenario.zones, NO_ZONE]
        self._knobs: dict[str, Knobs] = {}
        self._held: dict[str, None] = {}  # servers that faults keep down
        self._parties: dict[str, str] = {}
        self._isolations: dict[str, Isolation] = {}
        self._pairs: dict[tuple[str, str], str] = {}
        self._delays: dict[tuple[str, str], float] = {}
        self._origin = (1.0, "")
        self._peers: dict[tuple[str, str], LinkFault] = {}

    async def apply(self, start: bool = True, cold: Sequence[str] = ()) -> None:
        """`start`: start again what nothing keeps down any more; `cold`: servers that start anew now,
        cold and empty. Raises OSError."""
        self._apply_links()
        await self._apply_origin_and_discovery()
        for server, host in list(self._world.servers.items()):
            await self._apply_server(server, host, start, server in cold)
        for gone in [name for name in self._knobs if name not in self._world.servers]:
            del self._knobs[gone]
            self._held.pop(gone, None)

    # Servers

    async def _apply_server(self, server: str, host: CacheHost, start: bool, cold: bool) -> None:
        active, world = self._active, self._world
        self._turn(server, host, active.knobs(server))
        was_unheard = world.is_silent(server)
        unheard = active.unheard(server)
        if was_unheard and not unheard:
            # The peers of a machine that was away have long given its connections up.
            host.reset_connections()
        if active.down(server):
            self._held[server] = None
            world.stop(server)
        elif server in self._held and start:
            del self._held[server]
            await world.start(server)
        elif cold and host.up:
            # Before discovery hears of it again, or it would list it as one that runs since long ago.
            world.stop(server)
            await world.start(server)
        if active.draining(server):
            world.drain(server)
        world.set_silent(server, unheard)

    def _turn(self, server: str, host: CacheHost, knobs: Knobs) -> None:
        before = self._knobs.get(server, Knobs())
        self._knobs[server] = knobs
        for name in Knobs.__dataclass_fields__:
            value = getattr(knobs, name)
            if value != getattr(before, name):
                setattr(host.model.faults, name, value)

    # Links

    def _apply_links(self) -> None:
        links, active = self._fabric.links, self._active
        assert isinstance(links, LinkTable)
        hosts = self._world.servers.items()
        parties = {host.party: "silent" for server, host in hosts if active.vanished(server)}
        isolations, pairs, delays = active.isolations(), active.pairs(self._zones), active.delays()
        if delays != self._delays:
            for zones in self._delays | delays:
                links.add_delay(*zones, delays.get(zones, 0.0))
            self._delays = delays
        self._apply_peers(links, active.peer_faults())
        if (parties, isolations, pairs) == (self._parties, self._isolations, self._pairs):
            return
        for party in self._parties | parties:
            links.set_party(party, parties.get(party, UP))
        for zone in self._isolations | isolations:
            lost = isolations.get(zone, Isolation(UP, ()))
            links.isolate_zone(zone, lost.state, inside=True, spared=lost.spared)
        for zones in self._pairs | pairs:
            links.set_zones(*zones, pairs.get(zones, UP))
        self._parties, self._isolations, self._pairs = parties, isolations, pairs
        self._fabric.links_changed()
        self._world.discovery.links_changed()

    def _apply_peers(self, links: LinkTable, peers: dict[tuple[str, str], LinkFault]) -> None:
        for way in self._peers | peers:
            fault = peers.get(way, NO_FAULT)
            if fault != self._peers.get(way, NO_FAULT):
                links.set_fault(*way, fault)
                now, (source, target) = self._fabric.clock.now(), way
                self._world.log.add(
                    LinkFaultChanged(at_ms=now, source=source, target=target, **asdict(fault))
                )
        if peers != self._peers:
            self._fabric.links_changed()
        self._peers = peers

    # Origin and discovery

    async def _apply_origin_and_discovery(self) -> None:
        world, active = self._world, self._active
        origin = active.origin_slow(), active.origin_down(world.scenario.origin.zone or NO_ZONE)
        if origin != self._origin:
            self._origin = origin
            world.origin.model.slow, world.origin.model.down = origin
        discovery = world.discovery
        discovery.model.calls.slow = active.discovery_slow()
        discovery.model.endpoints.stale_since = active.stale_since()
        await discovery.set_down(active.discovery_down(world.scenario.discovery.zone or NO_ZONE))
        discovery.update()
