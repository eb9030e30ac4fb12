"""The world that the nodes serve in: cache servers, origin and discovery, put together from a scenario."""

import asyncio
from dataclasses import replace
from typing import Any

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.keys import Keys
from flintridge.lab.records import RecordLog, ServerStateChanged
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.cache_host import CacheHost
from flintridge.lab.world.discovery import Discovery, Entry
from flintridge.lab.world.discovery_host import PARTIES, DiscoveryHost
from flintridge.lab.world.discovery_list import IN_SERVICE, TERMINATED, TERMINATING
from flintridge.lab.world.fleet_plan import Ids, Spec, node_names, node_zones, specs
from flintridge.lab.world.links import LinkTable
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.origin_host import OriginHost
from flintridge.lab.world.settings import ORIGIN_KIND, node_settings

ORIGIN = "origin"  # its party, and its id
NOWHERE = "(nowhere)"  # where machines stand that no zone is named for: beyond every zone, lost with none
WATCH_EVERY_MS = 50.0  # how often servers are looked at that may have fallen


class World:
    """All machines but the nodes' and the clients'.

    `servers` holds what is there, by id, down or not; what was replaced is gone from it. Whatever changes a
    server goes through the methods here, so that discovery gets to know.
    """

    def __init__(
        self, scenario: Scenario, seeds: Seeds, log: RecordLog, fabric: Fabric, truth: GroundTruth
    ) -> None:
        self.scenario, self.fabric, self.log = scenario, fabric, log
        self._seeds, self._truth = seeds, truth
        self._ids = Ids(seeds.of("ids"))
        self.nodes = node_names(scenario)
        self.node_zones = node_zones(scenario)
        self.objects = Objects(scenario, seeds)
        self.specs: dict[str, Spec] = {spec.id: spec for spec in specs(scenario, seeds, self._ids)}
        self.servers: dict[str, CacheHost] = {name: self._host(spec) for name, spec in self.specs.items()}
        self.origin = OriginHost(fabric, log, truth, self.objects, scenario, seeds, self.nodes)
        self.discovery = self._discovery()
        self._silent: set[str] = set()  # asked by name only
        self._lives: dict[str, tuple[bool, bool]] = {}  # as discovery was last told: up, draining
        self._starts: dict[str, int] = dict.fromkeys(self.nodes, 0)
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._closed = False

    async def open(self) -> None:
        """Place all machines, open all listeners and begin the steady processes. Raises OSError."""
        self._place()
        now = self.fabric.clock.now()
        for name, host in self.servers.items():
            await host.start(cold=False)
            self._lives[name] = (True, False)
            self.discovery.model.roll.enlist(now, self._entry(name))
        await self.origin.start()
        self.discovery.model.roll.enlist(now, self._origin_entry())
        await self.discovery.open()
        self._begin_changes()
        self._look()

    async def close(self) -> None:
        """End all; nothing listens any more."""
        self._closed = True
        for timer in self._timers.values():
            timer.cancel()
        await self.discovery.close()
        for host in self.servers.values():
            if host.up:
                host.stop("close")
        self.origin.stop()

    # Nodes

    def node_config(self, node: str) -> dict[str, Any]:
        """The configuration for a start of the node, which is told of the list by it (and recorded so)."""
        told = self.discovery.model.node_started(self.fabric.clock.now(), node)
        self.discovery.tell(told)
        self._starts[node] += 1
        return self._config(node)

    def reload_config(self, node: str) -> dict[str, Any]:
        """The configuration for a SIGHUP: where discovery is now. Nothing else has changed."""
        return self._config(node)

    def node_ended(self, node: str) -> None:
        """Its process is gone, and what it was told with it."""
        self.discovery.model.deemed.ended(node)

    # Servers

    async def start(self, server: str, *, cold: bool = True) -> None:
        """Start a server that is down. Raises OSError."""
        host = self.servers[server]
        if not host.up:
            await host.start(cold=cold)
            self.report(server)

    def stop(self, server: str, how: str = "crash") -> None:
        """Its process dies: connections are reset, what it held is lost."""
        host = self.servers[server]
        if host.up:
            host.stop(how)
        self.report(server)

    def drain(self, server: str) -> None:
        host = self.servers[server]
        if host.up and not host.model.draining:
            host.drain()
            self.report(server)

    def set_silent(self, server: str, on: bool) -> None:
        """Nothing is heard of its machine, or it is heard of again; its links are set by the caller."""
        if (server in self._silent) == on:
            return
        host = self.servers[server]
        (self._silent.add if on else self._silent.discard)(server)
        state = "silent" if on else "back"
        self.log.add(
            ServerStateChanged(at_ms=self.fabric.clock.now(), server=server, state=state, zone=host.zone)
        )
        self.report(server)

    def is_silent(self, server: str) -> bool:
        return server in self._silent

    def remove(self, server: str) -> Spec:
        """It is stopped for good; what it was, for `replace`."""
        if server in self._silent:
            self.set_silent(server, False)
        self.stop(server, "gone")
        self._lives.pop(server, None)
        self.objects.unregister(server)
        del self.servers[server]
        return self.specs.pop(server)

    async def replace(self, gone: Spec, at_address_of: str | None) -> str:
        """Start a machine like one that is gone under a new id, cold and empty; its id. `at_address_of` is
        the party at whose addresses it listens. Raises OSError."""
        spec = replace(gone, id=self._ids.new())
        host = self._host(spec)
        self.specs[spec.id], self.servers[spec.id] = spec, host
        self._links.place(at_address_of or spec.id, spec.zone)
        await host.start(cold=True, at_address_of=at_address_of)
        self.report(spec.id)
        return spec.id

    def report(self, server: str) -> None:
        """Let discovery see a server as it is; it lists that some time later."""
        host = self.servers[server]
        self._lives[server] = (host.up, host.model.draining)
        self.discovery.truth(self._entry(server), silent=server in self._silent)

    # Within

    @property
    def _links(self) -> LinkTable:
        links = self.fabric.links
        assert isinstance(links, LinkTable)
        return links

    def _host(self, spec: Spec) -> CacheHost:
        return CacheHost(
            spec.id,
            spec.kind,
            spec.zone,
            spec.cell,
            spec.weight,
            self.fabric,
            self.log,
            self._truth,
            self.objects,
            self.scenario,
            self._seeds,
            self.nodes,
        )

    def _discovery(self) -> DiscoveryHost:
        within_ms = self.scenario.rules.poll_interval_s * 1000
        model = Discovery(self.scenario.discovery, within_ms, self._seeds, lambda node: host.cut(node))
        host = DiscoveryHost(self.fabric, self.log, model, self._seeds, self.nodes)
        return host

    def _place(self) -> None:
        links, scenario = self._links, self.scenario
        for node, zone in self.node_zones.items():
            links.place(node, zone)
        for host in self.servers.values():
            links.place(host.listen_as, host.zone)
        links.place(ORIGIN, scenario.origin.zone or NOWHERE)
        for party in PARTIES:
            links.place(party, scenario.discovery.zone or NOWHERE)

    def _entry(self, server: str) -> Entry:
        host = self.servers[server]
        phase = TERMINATED if not host.up else TERMINATING if host.model.draining else IN_SERVICE
        started = host.started_at
        if host.started_unix and not started:
            started = 0.001  # at the very first instant of the day, which is not long ago
        return Entry(
            host.id,
            host.listen_as,
            host.zone,
            self.specs[server].kind.name,
            host.cell,
            host.weight,
            phase,
            started,
        )

    def _origin_entry(self) -> Entry:
        return Entry(ORIGIN, ORIGIN, self.scenario.origin.zone or "", ORIGIN_KIND)

    def _config(self, node: str) -> dict[str, Any]:
        index = self.nodes.index(node)
        host, port = self.fabric.address("listen", node)
        spec = self.scenario.nodes
        seed = self._seeds.of(f"node/{node}/{self._starts[node]}").getrandbits(64)
        return {
            "name": node,
            "listen": f"{host}:{port}",
            "discovery": self.discovery.address(node),
            "seed": f"{seed:016x}",
            "limits": {"sockets": spec.sockets, "memory_mb": spec.memory_mb},
            "known": self.discovery.list_for(node),
            "settings": node_settings(self.scenario, len(self.nodes), index, self.node_zones[node]),
        }

    # Steady processes

    def _begin_changes(self) -> None:
        """Values change at the origin, evenly over the keys."""
        if not self.scenario.keys.change_per_s:
            return
        keys = Keys(self.scenario.keys, self._seeds)
        rng = self._seeds.of("changes")
        mean_ms = 1000 / self.scenario.keys.change_per_s
        clock = self.fabric.clock

        def change(at: float) -> None:
            self.objects.changed(keys.name(rng.randrange(self.scenario.keys.count)))
            plan(at)

        def plan(after: float) -> None:
            at = after + rng.expovariate(1 / mean_ms)
            self._timers["changes"] = clock.call_at(at, change, at)

        plan(clock.now())

    def _look(self) -> None:
        """Servers fall by themselves (rule 4): discovery has to get to know of that too."""
        for server, host in self.servers.items():
            if self._lives.get(server) != (host.up, host.model.draining):
                self.report(server)
        self._timers["look"] = self.fabric.clock.call_later(WATCH_EVERY_MS, self._look)
