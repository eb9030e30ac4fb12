"""Applies the effects of the active faults to the nodes' processes."""

import asyncio

from flintridge.lab.fabric import NodeRunner, RunClock
from flintridge.lab.faults.active_faults import ActiveFaults
from flintridge.lab.faults.injection import NO_FAULTS, SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.world.fleet import SimulatedFleet

MAX_DEADLINE_MS = 3000.0  # the maximum time that a terminating node may spend on the requests it has
LATE_REQUESTS_MS = 700.0  # time after SIGTERM during which a node still gets new requests


def termination_grace_ms(scenario: Scenario) -> float:
    """Return the time (ms) after SIGTERM at which a node that has not ended gets SIGKILL.

    Args:
        scenario: The scenario with the deadlines of the request classes.
    """
    max_deadline_ms = max(request_class.deadline_ms for request_class in scenario.classes)
    return min(max_deadline_ms, MAX_DEADLINE_MS) + LATE_REQUESTS_MS


class NodeReconciler:
    """Applies the active faults to the nodes: kills, terminates, pauses and starts their processes."""

    def __init__(
        self, fleet: SimulatedFleet, nodes: NodeRunner, active: ActiveFaults, clock: RunClock
    ) -> None:
        """Create a reconciler for nodes on which no fault has been applied yet.

        Args:
            fleet: The fleet.
            nodes: The runner of the nodes' processes.
            active: The active faults, which change during the run.
            clock: The run's clock.
        """
        self._fleet = fleet
        self._nodes = nodes
        self._active = active
        self._clock = clock
        self._paused: dict[str, None] = {}
        self._killed_while_paused: dict[str, None] = {}  # the new processes of these nodes are not paused
        self._stopped_by_faults: dict[str, None] = {}
        self._system_states: dict[str, SystemState] = {}  # the states that were applied last
        self._termination_grace_ms = termination_grace_ms(fleet.scenario)

    async def apply(self, start: bool = True) -> None:
        """Apply system faults and pauses, and start nodes.

        Args:
            start: Whether to start the nodes that no fault keeps stopped any longer.
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
        """Kill a node's process if it is running."""
        if self._nodes.running(node):
            self._nodes.kill(node)
        if node in self._paused:
            del self._paused[node]
            self._killed_while_paused[node] = None
        self._fleet.node_stopped(node)

    def term(self, node: str) -> None:
        """Send SIGTERM to a node if it is running."""
        if self._nodes.running(node):
            self._nodes.term(node)

    def quiesce(self, node: str) -> None:
        """Drain a node if it is running."""
        if self._nodes.running(node):
            self._nodes.quiesce(node)

    def unquiesce(self, node: str) -> None:
        """End the drain of a node if it is running."""
        if self._nodes.running(node):
            self._nodes.unquiesce(node)

    async def end(self, node: str, terminated_at_ms: float) -> None:
        """Wait until a node has ended, and kill it if that takes too long.

        Args:
            node: The name of the node.
            terminated_at_ms: The time of the run (ms) at which the node was sent SIGTERM.
        """
        remaining_ms = terminated_at_ms + self._termination_grace_ms - self._clock.now()
        try:
            await asyncio.wait_for(self._nodes.ended(node), max(1.0, remaining_ms) / 1000)
        except TimeoutError:
            self.kill(node)
            await self._nodes.ended(node)
        self._fleet.node_stopped(node)

    async def reload(self, node: str) -> None:
        """Reload a node by SIGHUP with a configuration that has another address of discovery."""
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
