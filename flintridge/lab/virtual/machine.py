"""The part of a host that outlives its processes: name, address, limits and operating system faults."""

from dataclasses import dataclass

from flintridge.lab.virtual.addresses import LOOPBACK
from flintridge.lab.virtual.system_call_faults import SystemCallFaults


@dataclass(slots=True, frozen=True)
class AcceptPauses:
    """How long a program stops accepting connections after it ran out of descriptors or memory.

    Attributes:
        first_s: The pause after the first failure, in s; it doubles with each consecutive failure.
        max_s: The longest pause, in s.
        reports: Whether each failure is reported to the event loop's exception handler.
    """

    first_s: float
    max_s: float
    reports: bool


ASYNCIO_PAUSES = AcceptPauses(1.0, 1.0, reports=True)


class Machine:
    """A host's hardware and operating system.

    Attributes:
        name: The name, which is unique in the network.
        busy_s: The real time that its handles have taken, in s.
        vanished: Whether the machine is gone, so that data sent to it is lost.
        max_connections: The limit of connections that its process may hold, which models the limit of file
            descriptors; None means no limit. At the limit connecting fails, and accepting fails and pauses.
        accept_pauses: The pauses of its program after a failed accept call.
        system_call_faults: The faults of its operating system; None means no faults.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.busy_s = 0.0
        self.vanished = False
        self.max_connections: int | None = None
        self.accept_pauses = ASYNCIO_PAUSES
        self.system_call_faults: SystemCallFaults | None = None
        self._ip = LOOPBACK

    @property
    def ip(self) -> str:
        """The source address of its connections, and the address of its wildcard listeners."""
        return self._ip
