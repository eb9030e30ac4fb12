"""What of a host outlives its processes: name, address, limits, faults of its operating system."""

from dataclasses import dataclass

from flintridge.lab.virtual.addresses import LOOPBACK
from flintridge.lab.virtual.system_call_faults import SystemCallFaults


@dataclass(slots=True, frozen=True)
class AcceptPauses:
    """How long a program accepts nothing after it ran out of descriptors or memory.

    Attributes:
        first_s: After the first failure; doubled with each further one in a row.
        max_s: No pause is longer.
        reports: Whether each failure goes to the event loop's exception handler.
    """

    first_s: float
    max_s: float
    reports: bool


ASYNCIO_PAUSES = AcceptPauses(1.0, 1.0, reports=True)


class Machine:
    """A host's hardware and operating system.

    Attributes:
        name: Unique in the network.
        busy_s: Real seconds that its handles took.
        vanished: What is sent to it is lost.
        max_connections: Connections that its process may hold, as the limit of descriptors has it; None: any
            number. Beyond it connecting fails, and accepting too, which then pauses.
        accept_pauses: The pauses of the program on it.
        system_call_faults: What fails in its operating system; None: nothing.
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
        """The source of its connections, and where its wildcard listeners are reached."""
        return self._ip
