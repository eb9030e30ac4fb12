"""A process in virtual time: its failure detector, its clock and counts of the bytes that it has sent."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.failure_detector import FailureDetector

DetectorT = TypeVar("DetectorT", bound=FailureDetector)


@dataclass(slots=True, eq=False)
class VirtualProcess(Generic[DetectorT]):
    """One incarnation of a node.

    Attributes:
        name: The name of the node.
        detector: The failure detector of the process.
        clock_offset: The time by the process's clock at its start, in ms.
        clock_rate: How far the process's clock advances in a millisecond of virtual time, in ms.
        started_at: The time of its start, in ms of virtual time.
        is_alive: Whether the process has neither been killed nor left.
        is_paused: Whether the process is paused, as after SIGSTOP.
        receive_queue: Datagrams that arrived during a pause; stands for the receive buffer of a socket.
        datagram_bytes: Bytes of datagrams sent, by second of virtual time.
        transfer_bytes: Bytes of table transfers sent, by second of virtual time.
        transfer_budget: Bounds the byte rate of table transfers.
        transfers_served: The number of table transfers that the process is serving now.
    """

    name: str
    detector: DetectorT
    clock_offset: float
    clock_rate: float
    started_at: float
    is_alive: bool = True
    is_paused: bool = False
    receive_queue: list[bytes] = field(default_factory=list)
    datagram_bytes: dict[int, int] = field(default_factory=dict)
    transfer_bytes: dict[int, int] = field(default_factory=dict)
    transfer_budget: ByteBudget = field(default_factory=lambda: ByteBudget(0.0))
    transfers_served: int = 0

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.is_alive and not self.is_paused

    def clock(self, now: float) -> float:
        """Return the time by the process's clock at `now` of virtual time, both in ms."""
        return self.clock_offset + (now - self.started_at) * self.clock_rate
