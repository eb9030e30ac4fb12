"""Faults of the operating systems of real node processes: which nodes are started to have them, and how."""

import sys
from pathlib import Path

from flintridge.lab.backend.fault_channel import FaultChannel
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.scenario.system_faults import SystemFault

FAULTY_NODE = (sys.executable, "-m", "flintridge.lab.backend.faulty_node")


class NodeFaults:
    """The channels to the processes of a day's nodes."""

    def __init__(self, folder: Path, scenario: Scenario) -> None:
        """`folder` is the day's own; it holds the channels and the nodes' temporary folders."""
        self._folder = folder
        self._faults = [fault for fault in scenario.faults if isinstance(fault, SystemFault)]
        self._channels: dict[str, FaultChannel] = {}

    def may_hit(self, node: str) -> bool:
        """Whether the day has a fault of an operating system that may be this node's."""
        number = int(node[1:]) if node[1:].isdigit() else -1
        return any(not fault.nodes or number in fault.nodes for fault in self._faults)

    def command(self, node: str, seed: str) -> tuple[str, ...]:
        """What starts a node that may be hit; `seed` makes its draws. Raises OSError."""
        self._channel(node)
        return (*FAULTY_NODE, str(self._path(node)), seed)

    def environment(self, node: str) -> dict[str, str]:
        """Further variables of a node that may be hit: a temporary folder of its own. Raises OSError."""
        own = self._folder / f"{node}.tmp"
        own.mkdir(exist_ok=True)
        return {"TMPDIR": str(own)}

    def tell(self, node: str, state: SystemState) -> None:
        """Raises OSError, and ValueError for a state that is too large."""
        self._channel(node).tell(state)

    def counts(self, node: str) -> dict[str, int]:
        """What was caused at a node so far, by name."""
        return self._channels[node].counts() if node in self._channels else {}

    def _path(self, node: str) -> Path:
        return self._folder / f"{node}.faults"

    def _channel(self, node: str) -> FaultChannel:
        if node not in self._channels:
            self._channels[node] = FaultChannel(self._path(node))
        return self._channels[node]
