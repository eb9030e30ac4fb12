"""Applies the effects of the active faults to the servers, links, origin and discovery."""

from collections.abc import Sequence
from dataclasses import asdict

from flintridge.lab.fabric import Fabric
from flintridge.lab.faults.active_faults import ActiveFaults, ServerImpairments
from flintridge.lab.faults.link_effects import (
    UP,
    ZoneIsolation,
    peer_link_faults,
    zone_isolations,
    zone_link_delays,
    zone_link_states,
)
from flintridge.lab.records import LinkFaultChanged
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.fault_controls import FaultControls
from flintridge.lab.world.fleet import NO_ZONE, SimulatedFleet
from flintridge.lab.world.link import NO_FAULT, LinkFault
from flintridge.lab.world.link_table import LinkTable

_UNIMPAIRED = ServerImpairments()


class FleetReconciler:
    """Applies the active faults to a fleet; effects that are unchanged are not applied again."""

    def __init__(self, fleet: SimulatedFleet, fabric: Fabric, active: ActiveFaults) -> None:
        """Create a reconciler for a fleet on which no fault has been applied yet.

        Args:
            fleet: The fleet.
            fabric: The backend's network and clock.
            active: The active faults, which change during the run.
        """
        self._fleet = fleet
        self._fabric = fabric
        self._active = active
        self._zones = [*fleet.scenario.zones, NO_ZONE]
        self._impairments: dict[str, ServerImpairments] = {}
        self._stopped_by_faults: dict[str, None] = {}  # servers, in the order in which faults stopped them
        self._party_states: dict[str, str] = {}
        self._isolations: dict[str, ZoneIsolation] = {}
        self._zone_states: dict[tuple[str, str], str] = {}
        self._zone_delays: dict[tuple[str, str], float] = {}
        self._origin_slowdown = 1.0
        self._origin_failure = ""
        self._peer_faults: dict[tuple[str, str], LinkFault] = {}

    async def apply(self, start: bool = True, cold: Sequence[str] = ()) -> None:
        """Apply the effects that differ from those applied before.

        Args:
            start: Whether to start the servers that no fault keeps stopped any longer.
            cold: The ids of servers that are restarted now, cold and empty.

        Raises:
            OSError: A server cannot listen again.
        """
        self._apply_links()
        await self._apply_origin_and_discovery()
        for server, host in list(self._fleet.servers.items()):
            await self._apply_server(server, host, start, server in cold)
        removed = [server for server in self._impairments if server not in self._fleet.servers]
        for server in removed:
            del self._impairments[server]
            self._stopped_by_faults.pop(server, None)

    # Servers

    async def _apply_server(self, server: str, host: CacheHost, start: bool, cold: bool) -> None:
        active = self._active
        fleet = self._fleet
        self._impair(server, host.model.faults)
        was_unobserved = fleet.is_silent(server)
        unobserved = active.server_unobserved(server)
        if was_unobserved and not unobserved:
            # The other ends closed their connections to the machine while it was unreachable.
            host.reset_connections()
        if active.server_down(server):
            self._stopped_by_faults[server] = None
            fleet.stop(server)
        elif server in self._stopped_by_faults and start:
            del self._stopped_by_faults[server]
            await fleet.start(server)
        elif cold and host.up:
            # The restart must precede discovery's next observation: otherwise the server would be listed as
            # having run since long before, and not as one that has just started.
            fleet.stop(server)
            await fleet.start(server)
        if active.server_draining(server):
            fleet.drain(server)
        fleet.set_silent(server, unobserved)

    def _impair(self, server: str, controls: FaultControls) -> None:
        impairments = self._active.server_impairments(server)
        before = self._impairments.get(server, _UNIMPAIRED)
        self._impairments[server] = impairments
        # Only differing values are set, because some setters make the model recompute its rates.
        if impairments.slowdown != before.slowdown:
            controls.slowdown = impairments.slowdown
        if impairments.error_fraction != before.error_fraction:
            controls.error_fraction = impairments.error_fraction
        if impairments.reset_fraction != before.reset_fraction:
            controls.reset_fraction = impairments.reset_fraction
        if impairments.corrupted_fraction != before.corrupted_fraction:
            controls.corrupted_fraction = impairments.corrupted_fraction
        if impairments.lost_fraction != before.lost_fraction:
            controls.lost_fraction = impairments.lost_fraction
        if impairments.contention_fraction != before.contention_fraction:
            controls.contention_fraction = impairments.contention_fraction
        if impairments.stale_after_ms != before.stale_after_ms:
            controls.stale_after_ms = impairments.stale_after_ms
        if impairments.stale_unresponsive != before.stale_unresponsive:
            controls.stale_unresponsive = impairments.stale_unresponsive

    # Links

    def _apply_links(self) -> None:
        links = self._fabric.links
        assert isinstance(links, LinkTable)
        self._apply_zone_delays(links)
        self._apply_peer_faults(links)
        self._apply_link_states(links)

    def _apply_zone_delays(self, links: LinkTable) -> None:
        delays = zone_link_delays(self._active)
        if delays != self._zone_delays:
            for zones in self._zone_delays | delays:
                links.add_delay(*zones, delays.get(zones, 0.0))
            self._zone_delays = delays

    def _apply_link_states(self, links: LinkTable) -> None:
        active = self._active
        party_states = {
            host.party: "silent"
            for server, host in self._fleet.servers.items()
            if active.server_unreachable(server)
        }
        isolations = zone_isolations(active)
        zone_states = zone_link_states(active, self._zones)
        before = (self._party_states, self._isolations, self._zone_states)
        if (party_states, isolations, zone_states) == before:
            return
        for party in self._party_states | party_states:
            links.set_party(party, party_states.get(party, UP))
        for zone in self._isolations | isolations:
            isolation = isolations.get(zone, ZoneIsolation(UP, ()))
            links.isolate_zone(zone, isolation.state, inside=True, spared=isolation.spared_nodes)
        for zones in self._zone_states | zone_states:
            links.set_zones(*zones, zone_states.get(zones, UP))
        self._party_states = party_states
        self._isolations = isolations
        self._zone_states = zone_states
        self._fabric.links_changed()
        self._fleet.discovery.links_changed()

    def _apply_peer_faults(self, links: LinkTable) -> None:
        faults = peer_link_faults(self._active)
        for link in self._peer_faults | faults:
            fault = faults.get(link, NO_FAULT)
            if fault != self._peer_faults.get(link, NO_FAULT):
                source, target = link
                links.set_fault(source, target, fault)
                now = self._fabric.clock.now()
                self._fleet.log.add(
                    LinkFaultChanged(at_ms=now, source=source, target=target, **asdict(fault))
                )
        if faults != self._peer_faults:
            self._fabric.links_changed()
        self._peer_faults = faults

    # Origin and discovery

    async def _apply_origin_and_discovery(self) -> None:
        self._apply_origin()
        active = self._active
        discovery = self._fleet.discovery
        discovery.model.calls.slow = active.discovery_slowdown()
        discovery.model.endpoints.stale_since = active.discovery_stale_since()
        zone = self._fleet.scenario.discovery.zone or NO_ZONE
        await discovery.set_down(active.discovery_failure(zone))
        discovery.update()

    def _apply_origin(self) -> None:
        slowdown = self._active.origin_slowdown()
        failure = self._active.origin_failure(self._fleet.scenario.origin.zone or NO_ZONE)
        if (slowdown, failure) != (self._origin_slowdown, self._origin_failure):
            self._origin_slowdown = slowdown
            self._origin_failure = failure
            model = self._fleet.origin.model
            model.slow = slowdown
            model.down = failure
