"""A fleet in virtual time with nodes that do nothing, for the tests of the lab's fleet and faults."""

import asyncio
from typing import TypeVar

from msgspec.structs import replace

from flintridge.config.platform_config import node_config
from flintridge.lab.backend.virtual import VirtualFabric
from flintridge.lab.faults.check import check
from flintridge.lab.faults.timeline import Timeline
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import Network, VirtualLoop
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link_table import LinkTable

R = TypeVar("R")


SCENE = m.Scenario(
    zones=("east", "west"),
    nodes=m.Nodes(count=2),
    kinds=(m.Kind(name="big", speed=(1.0, 2.0), idle_s=9.0), m.Kind(name="small", idle_s=4.0)),
    servers=(m.Group(kind="big", count=3, weight=(1.0, 2.0)), m.Group(kind="small", count=3, zone="west")),
    discovery=m.Discovery(notice_s=0.2, silent_s=3.0, call_ms=10.0),
    links=m.Links(jitter=0.0),
    classes=(m.RequestClass(name="read"), m.RequestClass(name="put", effect="keyed", write=True)),
    tenants=(m.Tenant(name="a", share=3.0), m.Tenant(name="b", quota_per_s=7.0)),
    keys=m.Keys(count=50, change_per_s=5.0),
)


class Runner:
    """A NodeRunner of nodes that do nothing; if `slow_to_end` they never end by themselves."""

    def __init__(self, world: SimulatedFleet) -> None:
        self.world, self.calls, self.slow_to_end = world, [], False
        self._ended = {node: asyncio.Event() for node in world.nodes}
        for event in self._ended.values():
            event.set()

    def record(self, what: str, node: str) -> None:
        self.calls.append((round(self.world.fabric.clock.now()), what, node))

    async def start(self, node):
        assert not self.running(node)
        self._ended[node].clear()
        node_config(self.world.node_config(node), {})
        self.record("started", node)

    def kill(self, node):
        self.record("killed", node)
        self._ended[node].set()

    def term(self, node):
        self.record("term", node)
        if not self.slow_to_end:
            asyncio.get_running_loop().call_later(0.7, self._ended[node].set)

    def reload(self, node, config):
        self.record(f"hup {config['discovery']}", node)
        assert node_config(config, {}).discovery.port

    def pause(self, node):
        self.record("paused", node)

    def resume(self, node):
        self.record("resumed", node)

    def running(self, node):
        return not self._ended[node].is_set()

    async def ended(self, node):
        await self._ended[node].wait()


class Controls:
    """LoadControls that record their calls; of a burst, its factor at 1.5 s."""

    def __init__(self) -> None:
        self.calls = []

    def __getattr__(self, name):
        return lambda *told: self.calls.append((name, *(a(1500.0) if callable(a) else a for a in told)))


class FleetHarness:
    def __init__(self, scenario, loop, seed=1) -> None:
        seeds, self.log, links = Seeds(seed), RecordLog(), loop.network._make_link.__self__
        self.fabric = VirtualFabric(loop, links, loop.time() + 1.0)
        self.clock = self.fabric.clock
        self.world = SimulatedFleet(scenario, seeds, self.log, self.fabric, GroundTruth())
        self.runner, self.controls = Runner(self.world), Controls()
        self.line = Timeline(scenario, seeds, self.world, self.fabric, self.runner, self.controls)

    def of(self, kind: type[R], **fields) -> list[R]:
        return [
            r for r in self.log if isinstance(r, kind) and all(getattr(r, k) == v for k, v in fields.items())
        ]

    def play(self):
        self.task = asyncio.ensure_future(self.line.run())

    async def call(self, node, target="/api/targets", address=None, method="GET"):
        """A GET from the node's host: status and body."""
        host, _, port = (address or self.world.discovery.address(node)).rpartition(":")
        return await self.fabric.network.host(node).run(self._get(host, int(port), target, method))

    @staticmethod
    async def _get(host, port, target, method):
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            return int(head.split()[1]), await reader.readexactly(length)
        finally:
            writer.close()


def run_with_fleet(test, *faults, **changes):
    """Run `test` on a stage that is open, in virtual time."""
    scenario = replace(SCENE, **changes, faults=faults)
    assert check(scenario) == []

    async def main():
        one = FleetHarness(scenario, asyncio.get_running_loop())
        await one.world.open()
        for node in one.world.nodes:
            await one.runner.start(node)
        try:
            return await test(one)
        finally:
            await one.line.stop()
            await one.world.close()

    links = LinkTable(scenario.links, Seeds(1))
    return VirtualLoop(Network(links.link)).run(main(), wall_limit_s=60)
