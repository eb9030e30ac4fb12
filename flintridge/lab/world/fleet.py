"""The machines that the nodes work with: cache servers, origin and discovery, built from a scenario."""

import asyncio
from dataclasses import dataclass, replace

from flintridge.lab.fabric import Fabric
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import ServerStateChanged
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.cache_connection import CacheConnection
from flintridge.lab.world.cache_host import CacheHost, StopReason
from flintridge.lab.world.discovery_connection import DiscoveryConnection
from flintridge.lab.world.discovery_host import PARTIES, DiscoveryHost
from flintridge.lab.world.discovery_model import DiscoveryModel
from flintridge.lab.world.endpoint_list import Endpoint, Phase
from flintridge.lab.world.environment import Environment
from flintridge.lab.world.fleet_plan import ServerIds, ServerPlan, node_names, node_zones, plan_servers
from flintridge.lab.world.link_table import LinkTable
from flintridge.lab.world.node_configuration import NodeConfiguration, NodeConfigurations
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.origin_connection import OriginConnection
from flintridge.lab.world.origin_host import ORIGIN, OriginHost
from flintridge.lab.world.settings import ORIGIN_KIND
from flintridge.lab.world.value_changes import ValueChanges

NO_ZONE = "(nowhere)"
"""Placement of machines for which the scenario names no zone: outside all zones, lost with none."""

CRASH_CHECK_INTERVAL_MS = 50.0  # between two checks for servers that crashed from overload
EARLIEST_START_MS = 0.001  # listed for a start at 0 ms, because 0 means "started long ago"


@dataclass(slots=True, frozen=True)
class _PublishedState:
    """The state of a server that was last published to discovery."""

    up: bool
    draining: bool


class SimulatedFleet:
    """All machines except those of the nodes and the clients.

    Every change of a server has to be made through the methods of this class, so that discovery observes it.

    Attributes:
        scenario: The scenario.
        fabric: Clock, addresses, links and listeners.
        log: The log that receives all records.
        nodes: Names of the nodes.
        node_zones: Zone of each node, by its name.
        objects: The values that servers hold.
        plans: Plan of each server, by id.
        servers: Hosts of the servers by id, whether up or down, without those that were removed.
        origin: Host of the origin.
        discovery: Host of the discovery service.
    """

    def __init__(
        self, scenario: Scenario, seeds: Seeds, log: RecordLog, fabric: Fabric, truth: GroundTruth
    ) -> None:
        """Create the machines; none of them listens yet.

        Args:
            scenario: The scenario.
            seeds: Source of all random numbers.
            log: The log that receives all records.
            fabric: Clock, addresses, links and listeners.
            truth: What clients really send, by request id.
        """
        self.scenario = scenario
        self.fabric = fabric
        self.log = log
        self._seeds = seeds
        self._ids = ServerIds(seeds.of("ids"))
        self.nodes = node_names(scenario)
        self.node_zones = node_zones(scenario)
        self.objects = Objects(scenario, seeds)
        self._environment = Environment(fabric, log, truth, self.objects, scenario, seeds, self.nodes)
        self.plans: dict[str, ServerPlan] = {
            plan.id: plan for plan in plan_servers(scenario, seeds, self._ids)
        }
        self.servers: dict[str, CacheHost] = {name: self._host(plan) for name, plan in self.plans.items()}
        self.origin = OriginHost(self._environment, OriginConnection)
        self.discovery = self._discovery_host()
        self._silent: set[str] = set()  # ids of servers; only tested for membership, never iterated
        self._published: dict[str, _PublishedState] = {}
        self._configurations = NodeConfigurations(scenario, seeds, fabric, self.discovery)
        self._value_changes: ValueChanges | None = None
        self._crash_check_timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        """Assign zones to all machines, open all listeners and start the periodic tasks.

        Raises:
            OSError: An address is already in use.
        """
        self._place_machines()
        now = self.fabric.clock.now()
        for name, host in self.servers.items():
            await host.start(cold=False)
            self._published[name] = _PublishedState(up=True, draining=False)
            self.discovery.model.endpoints.add(now, self._endpoint(name))
        await self.origin.start()
        self.discovery.model.endpoints.add(now, self._origin_endpoint())
        await self.discovery.open()
        if self.scenario.keys.change_per_s:
            clock = self.fabric.clock
            self._value_changes = ValueChanges(self.scenario.keys, self._seeds, self.objects, clock)
            self._value_changes.start()
        self._publish_changed_servers()

    async def close(self) -> None:
        """Stop all machines and tasks and close all listeners."""
        if self._value_changes is not None:
            self._value_changes.stop()
        if self._crash_check_timer is not None:
            self._crash_check_timer.cancel()
        await self.discovery.close()
        for host in self.servers.values():
            host.stop()
        self.origin.stop()

    # Nodes

    def node_config(self, node: str) -> NodeConfiguration:
        """Return the configuration for a start of the node; its endpoint list counts as a notification."""
        notification = self.discovery.model.node_started(self.fabric.clock.now(), node)
        self.discovery.record(notification)
        return self._configurations.start(node)

    def reload_config(self, node: str) -> NodeConfiguration:
        """Return the configuration for a SIGHUP: only the address of discovery can differ."""
        return self._configurations.current(node)

    def node_stopped(self, node: str) -> None:
        """Forget what the node was notified of, because its process has ended."""
        self.discovery.model.notifications.stopped(node)

    # Servers

    async def start(self, server: str, *, cold: bool = True) -> None:
        """Start a server that is down.

        Args:
            server: Id of the server.
            cold: Whether it starts with an empty cache and warms up.

        Raises:
            OSError: An address is already in use.
        """
        host = self.servers[server]
        if not host.up:
            await host.start(cold=cold)
            self.publish(server)

    def stop(self, server: str, reason: StopReason = StopReason.CRASHED) -> None:
        """End a server's process: its connections are reset and its unfinished work is lost."""
        host = self.servers[server]
        host.stop(reason)
        self.publish(server)

    def drain(self, server: str) -> None:
        """Start draining a server: it rejects new requests."""
        host = self.servers[server]
        if host.up and not host.model.draining:
            host.drain()
            self.publish(server)

    def set_silent(self, server: str, silent: bool) -> None:
        """Set whether a machine is silent to discovery; the caller sets the state of its links."""
        if (server in self._silent) == silent:
            return
        if silent:
            self._silent.add(server)
        else:
            self._silent.discard(server)
        self.log.add(
            ServerStateChanged(
                at_ms=self.fabric.clock.now(),
                server=server,
                state="silent" if silent else "back",
                zone=self.servers[server].zone,
            )
        )
        self.publish(server)

    def is_silent(self, server: str) -> bool:
        """Whether discovery receives nothing from a machine."""
        return server in self._silent

    def remove(self, server: str) -> ServerPlan:
        """Stop a server permanently and return its plan, which `replace` takes."""
        if server in self._silent:
            self.set_silent(server, False)
        self.stop(server, StopReason.REMOVED)
        self._published.pop(server, None)
        self.objects.unregister(server)
        del self.servers[server]
        return self.plans.pop(server)

    async def replace(self, removed: ServerPlan, at_address_of: str | None) -> str:
        """Start a server like one that was removed, with a new id and an empty cache; it warms up.

        Args:
            removed: Plan of the removed server.
            at_address_of: The party at whose addresses the new server listens; None for its own addresses.

        Returns:
            Id of the new server.

        Raises:
            OSError: An address is already in use.
        """
        plan = replace(removed, id=self._ids.new())
        host = self._host(plan)
        self.plans[plan.id] = plan
        self.servers[plan.id] = host
        self._links.place(at_address_of or plan.id, plan.zone)
        await host.start(cold=True, at_address_of=at_address_of)
        self.publish(plan.id)
        return plan.id

    def publish(self, server: str) -> None:
        """Pass the current state of a server to discovery, which lists it after a delay."""
        host = self.servers[server]
        self._published[server] = _PublishedState(host.up, host.model.draining)
        self.discovery.observe(self._endpoint(server), silent=server in self._silent)

    # Internals

    @property
    def _links(self) -> LinkTable:
        links = self.fabric.links
        assert isinstance(links, LinkTable)
        return links

    def _host(self, plan: ServerPlan) -> CacheHost:
        return CacheHost(plan, self._environment, CacheConnection)

    def _discovery_host(self) -> DiscoveryHost:
        poll_within_ms = self.scenario.rules.poll_interval_s * 1000
        model = DiscoveryModel(
            self.scenario.discovery, poll_within_ms, self._seeds, lambda node: host.is_cut_off(node)
        )
        host = DiscoveryHost(self.fabric, self.log, model, self._seeds, self.nodes, DiscoveryConnection)
        return host

    def _place_machines(self) -> None:
        links = self._links
        for node, zone in self.node_zones.items():
            links.place(node, zone)
        for host in self.servers.values():
            links.place(host.party, host.zone)
        links.place(ORIGIN, self.scenario.origin.zone or NO_ZONE)
        for party in PARTIES:
            links.place(party, self.scenario.discovery.zone or NO_ZONE)

    def _endpoint(self, server: str) -> Endpoint:
        host = self.servers[server]
        phase = Phase.IN_SERVICE
        if not host.up:
            phase = Phase.TERMINATED
        elif host.model.draining:
            phase = Phase.TERMINATING
        started_at = host.started_at
        if host.started_unix_ms and not started_at:
            started_at = EARLIEST_START_MS
        return Endpoint(
            id=host.id,
            party=host.party,
            zone=host.zone,
            kind=self.plans[server].kind.name,
            cell=host.cell,
            weight=host.weight,
            phase=phase,
            started_at=started_at,
        )

    def _origin_endpoint(self) -> Endpoint:
        return Endpoint(ORIGIN, ORIGIN, self.scenario.origin.zone or "", ORIGIN_KIND)

    def _publish_changed_servers(self) -> None:
        """Publish servers that changed without a call of this class, as by a crash from overload."""
        for server, host in self.servers.items():
            seen = self._published.get(server)
            if seen is None or seen.up != host.up or seen.draining != host.model.draining:
                self.publish(server)
        self._crash_check_timer = self.fabric.clock.call_later(
            CRASH_CHECK_INTERVAL_MS, self._publish_changed_servers
        )
