"""Operating system faults of real node processes: which nodes they may affect, and how those are started."""

import sys
from pathlib import Path

from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.scenario.system_faults import SystemFault

FAULTY_NODE = (sys.executable, "-m", "flintridge.lab.backend.faulty_node")


class NodeFaults:
    """The fault channels to the processes of a run's nodes."""

    def __init__(self, folder: Path, scenario: Scenario) -> None:
        """Create without open channels.

        Args:
            folder: The run's folder, for the channel files and the nodes' temporary folders.
            scenario: The scenario.
        """
        self._folder = folder
        self._faults = [fault for fault in scenario.faults if isinstance(fault, SystemFault)]
        self._channels: dict[str, FaultChannel] = {}

    def may_affect(self, node: str) -> bool:
        """Whether the scenario has an operating system fault that may affect this node."""
        number = int(node[1:]) if node[1:].isdigit() else -1
        return any(not fault.nodes or number in fault.nodes for fault in self._faults)

    def command(self, node: str, seed: str) -> tuple[str, ...]:
        """Return the command that starts a node with operating system faults.

        Args:
            node: The node's name.
            seed: The seed for drawing faults.

        Raises:
            OSError: If the node's channel cannot be created.
        """
        self._channel(node)
        return (*FAULTY_NODE, str(self._path(node)), seed)

    def environment(self, node: str) -> dict[str, str]:
        """Return the additional environment variables of such a node, which set its own temporary folder.

        Raises:
            OSError: If the folder cannot be created.
        """
        folder = self._folder / f"{node}.tmp"
        folder.mkdir(exist_ok=True)
        return {"TMPDIR": str(folder)}

    def set_state(self, node: str, state: SystemState) -> None:
        """Set the faults of a node's operating system.

        Raises:
            OSError: If the node's channel cannot be created.
            ValueError: If the state is too large.
        """
        self._channel(node).set_state(state)

    def counts(self, node: str) -> dict[str, int]:
        """Return the number of faults injected at a node so far, by counter name."""
        return self._channels[node].counts() if node in self._channels else {}

    def _path(self, node: str) -> Path:
        return self._folder / f"{node}.faults"

    def _channel(self, node: str) -> FaultChannel:
        if node not in self._channels:
            self._channels[node] = FaultChannel(self._path(node))
        return self._channels[node]
