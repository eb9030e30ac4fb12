"""A process in virtual time: its failure detector, its clock and what it has sent."""

from dataclasses import dataclass, field
from typing import Generic, TypeVar

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.failure_detector import FailureDetector

DetectorT = TypeVar("DetectorT", bound=FailureDetector)


@dataclass(slots=True, eq=False)
class VirtualProcess(Generic[DetectorT]):
    """One incarnation of a node.

    Attributes:
        name: The node.
        detector: Its failure detector.
        clock_offset: What its clock showed at its start, in ms.
        clock_rate: How much its clock advances in a millisecond.
        started_at: When it started, in ms of virtual time.
        is_alive: Whether it was neither killed nor left.
        is_paused: Whether it stands still, as after SIGSTOP.
        receive_queue: The datagrams that arrived while it was paused, as a socket holds them.
        datagram_bytes: Bytes of datagrams sent, by second of virtual time.
        transfer_bytes: Bytes of table transfers sent, by second of virtual time.
        transfer_budget: Bounds the bytes of table transfers.
        transfers_served: How many table transfers it is serving.
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
        """Whether it is alive and not paused."""
        return self.is_alive and not self.is_paused

    def clock(self, now: float) -> float:
        """Return what its clock shows at `now`, in ms."""
        return self.clock_offset + (now - self.started_at) * self.clock_rate
