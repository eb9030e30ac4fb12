"""The parts of a state in the exploration of leases: processes, messages in flight, and remaining steps."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from flintridge.leases.allocation import Allocation, ProcessId
from flintridge.leases.fleet_limit import LeaseTerms
from flintridge.leases.messages import LeaseMessage

NODE_NAMES = "abcdef"
TICK = 5.0
TERMS = LeaseTerms(even_fraction=2, floor=1, lease_ms=10.0, clock_drift=0.2)
# Terms whose amounts can be divided among up to four processes of a node without a remainder.
DIVISIBLE_TERMS = LeaseTerms(even_fraction=24, floor=12, lease_ms=10.0, clock_drift=0.2)
# The time of all clocks in the initial state. The allocations start at time 0, so that all leases that a
# previous incarnation may have granted have expired by then.
INITIAL_CLOCK = 40.0
TICKS_BETWEEN_COUNTS = 2
# Time by a new process's clock within which the other processes of its node have counted it.
NOTICE = 1.2 * TICK * TICKS_BETWEEN_COUNTS
CLOCK_SPEEDS = tuple(itertools.combinations_with_replacement((0.8 * TICK, 1.2 * TICK), 3))

AllocationBuilder = Callable[[LeaseTerms, float], Allocation]


@dataclass(slots=True, frozen=True)
class LeaseProcess:
    """A process with its allocation.

    Attributes:
        name: The name of the node.
        incarnation: The number of times the node was started.
        clock: The time by the process's clock.
        speed: How far the process's clock advances in a tick.
        allocation: The process's allocation of the limit.
        is_paused: Whether the process is paused.
    """

    name: str
    incarnation: int
    clock: float
    speed: float
    allocation: Allocation
    is_paused: bool = False

    @property
    def id(self) -> ProcessId:
        """The ID by which peers identify the process."""
        return ProcessId(self.name, self.incarnation)


class MessageInFlight(NamedTuple):
    """A message that was sent to a node and has not arrived yet."""

    target: str
    source: ProcessId
    content: LeaseMessage


@dataclass(slots=True, frozen=True)
class RemainingSteps:
    """How often each kind of step may still occur, which keeps the number of states finite.

    Attributes:
        requests: A process requests a lease.
        renewals: A process renews a lease.
        losses: A message is lost.
        duplicates: A message is duplicated.
        pauses: A process is paused.
        restarts: A process is killed and restarted.
        cancellations: A process cancels a request before the grant arrives.
        starts: Another process of a node starts beside those that run.
        ends: A process ends, or is killed, while others of its node run.
    """

    requests: int = 2
    renewals: int = 1
    losses: int = 1
    duplicates: int = 1
    pauses: int = 1
    restarts: int = 1
    cancellations: int = 0
    starts: int = 0
    ends: int = 0
