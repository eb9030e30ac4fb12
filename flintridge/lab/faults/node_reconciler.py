"""Brings the nodes' processes to what the active faults make of them."""

import asyncio

from flintridge.lab.fabric import NodeRunner, RunClock
from flintridge.lab.faults.active_faults import ActiveFaults
from flintridge.lab.faults.injection import NO_FAULTS, SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.world.fleet import SimulatedFleet

MAX_DEADLINE_MS = 3000.0  # what a node that ends may take for the requests it has, at most
LINGER_MS = 700.0  # in which it is still sent requests


def termination_grace_ms(scenario: Scenario) -> float:
    """Return the time (ms) between SIGTERM and the SIGKILL for a node that has not ended.

    Args:
        scenario: The scenario, which has the deadlines.
    """
    max_deadline_ms = max(request_class.deadline_ms for request_class in scenario.classes)
    return min(max_deadline_ms, MAX_DEADLINE_MS) + LINGER_MS


class NodeReconciler:
    """Applies the active faults to the nodes: kills, ends, pauses and starts their processes."""

    def __init__(
        self, fleet: SimulatedFleet, nodes: NodeRunner, active: ActiveFaults, clock: RunClock
    ) -> None:
        """Begin with nodes without faults.

        Args:
            fleet: The fleet.
            nodes: The nodes' processes.
            active: The faults that are active.
            clock: The run's clock.
        """
        self._fleet = fleet
        self._nodes = nodes
        self._active = active
        self._clock = clock
        self._paused: dict[str, None] = {}
        self._killed_while_paused: dict[str, None] = {}  # their new processes are not paused
        self._stopped_by_faults: dict[str, None] = {}
        self._system_states: dict[str, SystemState] = {}  # as last applied
        self._termination_grace_ms = termination_grace_ms(fleet.scenario)

    async def apply(self, start: bool = True) -> None:
        """Pause, resume and start nodes.

        Args:
            start: Whether nodes that no fault keeps down any more start again.
        """
        for node in self._fleet.nodes:
            self._apply_system(node)
            self._apply_pause(node)
            if self._active.node_down(node):
                self._stopped_by_faults[node] = None
            elif node in self._stopped_by_faults and start:
                del self._stopped_by_faults[node]
                if not self._nodes.running(node):
                    await self._nodes.start(node)

    def kill(self, node: str) -> None:
        """Kill a node's process where it runs."""
        if self._nodes.running(node):
            self._nodes.kill(node)
        if node in self._paused:
            del self._paused[node]
            self._killed_while_paused[node] = None
        self._fleet.node_stopped(node)

    def term(self, node: str) -> None:
        """Send a node SIGTERM where it runs."""
        if self._nodes.running(node):
            self._nodes.term(node)

    def quiesce(self, node: str) -> None:
        """Have a node drain where it runs."""
        if self._nodes.running(node):
            self._nodes.quiesce(node)

    def unquiesce(self, node: str) -> None:
        """End a node's drain where it runs."""
        if self._nodes.running(node):
            self._nodes.unquiesce(node)

    async def end(self, node: str, terminated_at_ms: float) -> None:
        """Wait for a node's end, and kill it if that takes too long.

        Args:
            node: Its name.
            terminated_at_ms: When it was sent SIGTERM.
        """
        remaining_ms = terminated_at_ms + self._termination_grace_ms - self._clock.now()
        try:
            await asyncio.wait_for(self._nodes.ended(node), max(1.0, remaining_ms) / 1000)
        except TimeoutError:
            self.kill(node)
            await self._nodes.ended(node)
        self._fleet.node_stopped(node)

    async def reload(self, node: str) -> None:
        """Give a node another address of discovery, by SIGHUP."""
        if not self._nodes.running(node):
            return
        await self._fleet.discovery.move(node)
        self._nodes.reload(node, self._fleet.reload_config(node))
        self._fleet.discovery.model.notifications.reloaded(self._clock.now(), node)

    def _apply_system(self, node: str) -> None:
        state = self._active.system_state(node)
        if state != self._system_states.get(node, NO_FAULTS):
            self._system_states[node] = state
            self._nodes.set_system(node, state)

    def _apply_pause(self, node: str) -> None:
        paused = self._active.node_paused(node)
        if not paused:
            self._killed_while_paused.pop(node, None)
        if paused == (node in self._paused):
            return
        if paused:
            if not self._nodes.running(node) or node in self._killed_while_paused:
                return
            self._paused[node] = None
            self._nodes.pause(node)
        else:
            del self._paused[node]
            self._nodes.resume(node)
        self._fleet.discovery.model.notifications.paused(self._clock.now(), node, paused)
