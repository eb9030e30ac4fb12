"""Faults of the nodes' processes."""

import asyncio

from flintridge.lab.fabric import NodeRunner, RunClock
from flintridge.lab.faults.active import Active
from flintridge.lab.faults.injection import SOUND, SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.world.fleet import SimulatedFleet

LONGEST_MS = 3000.0  # a node that ends has its longest deadline for it, but no more than this,
LEAVING_MS = 700.0  # and the time in which it is still sent requests, before it is killed


def patience_ms(scenario: Scenario) -> float:
    """From SIGTERM to the SIGKILL that may come first."""
    longest = max(cls.deadline_ms for cls in scenario.classes)
    return min(longest, LONGEST_MS) + LEAVING_MS


class NodeState:
    """Kills, ends, pauses and starts nodes as the active faults have it."""

    def __init__(self, world: SimulatedFleet, nodes: NodeRunner, active: Active, clock: RunClock) -> None:
        self._world, self._nodes, self._active, self._clock = world, nodes, active, clock
        self._paused: dict[str, None] = {}
        self._spared: dict[str, None] = {}  # they died while paused: their new processes are not
        self._held: dict[str, None] = {}  # those that faults keep down
        self._systems: dict[str, SystemState] = {}  # as the runner was last told
        self._patience_ms = patience_ms(world.scenario)

    async def apply(self, start: bool = True) -> None:
        """Pauses and starts; `start`: start again what nothing keeps down any more."""
        for node in self._world.nodes:
            self._apply_system(node)
            self._apply_pause(node)
            if self._active.node_held(node):
                self._held[node] = None
            elif node in self._held and start:
                del self._held[node]
                if not self._nodes.running(node):
                    await self._nodes.start(node)

    def kill(self, node: str) -> None:
        if self._nodes.running(node):
            self._nodes.kill(node)
        if node in self._paused:
            del self._paused[node]
            self._spared[node] = None
        self._world.node_stopped(node)

    def term(self, node: str) -> None:
        if self._nodes.running(node):
            self._nodes.term(node)

    def quiesce(self, node: str) -> None:
        if self._nodes.running(node):
            self._nodes.quiesce(node)

    def unquiesce(self, node: str) -> None:
        if self._nodes.running(node):
            self._nodes.unquiesce(node)

    async def end(self, node: str, since: float) -> None:
        """Until it has ended after a SIGTERM at `since` (ms); it is killed if it takes too long."""
        left_ms = since + self._patience_ms - self._clock.now()
        try:
            await asyncio.wait_for(self._nodes.ended(node), max(1.0, left_ms) / 1000)
        except TimeoutError:
            self.kill(node)
            await self._nodes.ended(node)
        self._world.node_stopped(node)

    async def reload(self, node: str) -> None:
        """Another address of discovery, by SIGHUP."""
        if not self._nodes.running(node):
            return
        await self._world.discovery.move(node)
        self._nodes.reload(node, self._world.reload_config(node))
        self._world.discovery.model.notifications.reloaded(self._clock.now(), node)

    def _apply_system(self, node: str) -> None:
        state = self._active.system(node)
        if state != self._systems.get(node, SOUND):
            self._systems[node] = state
            self._nodes.set_system(node, state)

    def _apply_pause(self, node: str) -> None:
        paused = self._active.node_paused(node)
        if not paused:
            self._spared.pop(node, None)
        if paused == (node in self._paused):
            return
        if paused:
            if not self._nodes.running(node) or node in self._spared:
                return
            self._paused[node] = None
            self._nodes.pause(node)
        else:
            del self._paused[node]
            self._nodes.resume(node)
        self._world.discovery.model.notifications.paused(self._clock.now(), node, paused)
