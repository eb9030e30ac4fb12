"""The state of one fleet-wide limit at one process: its allocation, demand, pending requests and offers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.leases.allocation import AcquiredLeaseKey, Allocation, ProcessId
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FleetLimit

MIN_LEASE_UNITS = 50  # a smaller lease is not worth its messages
# A process requests leases until it may use REQUEST_TARGET times its demand, and releases a lease only if it
# may still use RELEASE_TARGET times its demand without it. The difference is hysteresis: random variations of
# the demand don't move leases back and forth.
REQUEST_TARGET = 1.15
RELEASE_TARGET = 1.4


@dataclass(slots=True)
class Offer:
    """Units that another process can grant.

    Attributes:
        incarnation: Incarnation of the grantor.
        amount: Units that the grantor can grant.
        offered_at: Earliest time at which the grantor can have sent the offer.
    """

    incarnation: int
    amount: int
    offered_at: float


@dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered yet.

    Attributes:
        incarnation: Incarnation of the grantor.
        amount: Requested units.
        sent_at: Time of the latest attempt.
        attempts: Number of attempts so far.
    """

    incarnation: int
    amount: int
    sent_at: float
    attempts: int = 1


@dataclass(slots=True, frozen=True)
class DeniedLessee:
    """A process whose request for a lease was denied here.

    Attributes:
        denied_at: Time of the denial.
        usable: Units that the process could use, according to its request.
    """

    denied_at: float
    usable: int


def _no_units_in_use() -> float:
    return 0.0


@dataclass(slots=True)
class Account:
    """One limit at this process. Amounts are in units, times in float milliseconds.

    Attributes:
        limit: The limit.
        allocation: Decides how many units of the limit this process may use.
        shutting_down: Whether this process is shutting down, and therefore has no demand.
        demand: Demand of this process in units, as last reported.
        in_use: Returns the units in use, which can't be granted or released at the moment.
        offers: Latest offers of other processes, by the grantor's name.
        pending: Requests that have not been answered yet.
        grantor_incarnations: Incarnation of the grantor of each acquired lease.
        renewal_sent_at: Time at which the renewal of each lease was last requested.
        unrenewable: Acquired leases whose renewal was denied.
        denied_lessees: Processes whose requests for a lease were denied here recently.
        handover_until: Time by which the lease that is being handed over to another process has expired.
        next_request_to_exhausted: Earliest time of the next request to a grantor with nothing left to grant.
    """

    limit: FleetLimit
    allocation: Allocation
    shutting_down: bool = False
    demand: float = EVEN_FRACTION_UNITS
    in_use: Callable[[], float] = _no_units_in_use
    offers: dict[str, Offer] = field(default_factory=dict)
    pending: dict[AcquiredLeaseKey, PendingRequest] = field(default_factory=dict)
    grantor_incarnations: dict[AcquiredLeaseKey, int] = field(default_factory=dict)
    renewal_sent_at: dict[AcquiredLeaseKey, float] = field(default_factory=dict)
    unrenewable: set[AcquiredLeaseKey] = field(default_factory=set)
    denied_lessees: dict[ProcessId, DeniedLessee] = field(default_factory=dict)
    handover_until: float = -math.inf
    next_request_to_exhausted: float = -math.inf

    @property
    def demand_or_use(self) -> float:
        """Units that this process needs or has in use. A renewal must leave it as many."""
        return max(self.demand, self.in_use())

    @property
    def grant_reserve(self) -> float:
        """Units that must remain here when a new lease is granted."""
        target = 0.0 if self.shutting_down else REQUEST_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    @property
    def release_reserve(self) -> float:
        """Units that must remain usable here when a lease is released."""
        target = 0.0 if self.shutting_down else RELEASE_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    def grantable(self, now: float) -> int:
        """Units that may be granted at `now`."""
        return self.allocation.grantable(now, math.ceil(self.grant_reserve))

    def forget_lease(self, key: AcquiredLeaseKey) -> int | None:
        """Remove the records about an acquired lease that has ended, which the allocation does not keep.

        Without this, the records would grow over a long run.

        Returns:
            Incarnation of the grantor; None if it is unknown.
        """
        self.renewal_sent_at.pop(key, None)
        self.unrenewable.discard(key)
        return self.grantor_incarnations.pop(key, None)
