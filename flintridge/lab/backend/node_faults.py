"""Faults of the operating systems of real node processes: which nodes may have them, and how these start."""

import sys
from pathlib import Path

from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.scenario.system_faults import SystemFault

FAULTY_NODE = (sys.executable, "-m", "flintridge.lab.backend.faulty_node")


class NodeFaults:
    """The channels to the processes of a run's nodes."""

    def __init__(self, folder: Path, scenario: Scenario) -> None:
        """Open no channel yet.

        Args:
            folder: The run's own, for the channels and the nodes' temporary folders.
            scenario: The scenario.
        """
        self._folder = folder
        self._faults = [fault for fault in scenario.faults if isinstance(fault, SystemFault)]
        self._channels: dict[str, FaultChannel] = {}

    def may_affect(self, node: str) -> bool:
        """Whether the scenario has a fault that may affect this node's operating system."""
        number = int(node[1:]) if node[1:].isdigit() else -1
        return any(not fault.nodes or number in fault.nodes for fault in self._faults)

    def command(self, node: str, seed: str) -> tuple[str, ...]:
        """Return the command that starts a node with such faults.

        Args:
            node: The node's name.
            seed: Of the draws.

        Raises:
            OSError: If its channel cannot be made.
        """
        self._channel(node)
        return (*FAULTY_NODE, str(self._path(node)), seed)

    def environment(self, node: str) -> dict[str, str]:
        """Return further environment variables of such a node: a temporary folder of its own.

        Raises:
            OSError: If the folder cannot be made.
        """
        folder = self._folder / f"{node}.tmp"
        folder.mkdir(exist_ok=True)
        return {"TMPDIR": str(folder)}

    def set_state(self, node: str, state: SystemState) -> None:
        """Set what is wrong with a node's operating system.

        Raises:
            OSError: If its channel cannot be made.
            ValueError: If the state is too large.
        """
        self._channel(node).set_state(state)

    def counts(self, node: str) -> dict[str, int]:
        """Return the faults injected at a node so far, by their counters' names."""
        return self._channels[node].counts() if node in self._channels else {}

    def _path(self, node: str) -> Path:
        return self._folder / f"{node}.faults"

    def _channel(self, node: str) -> FaultChannel:
        if node not in self._channels:
            self._channels[node] = FaultChannel(self._path(node))
        return self._channels[node]
