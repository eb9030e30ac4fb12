"""The state of one fleet-wide limit at one process: its allocation, its demand, open requests and offers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.leases.allocation import AcquiredLeaseKey, Allocation, ProcessId
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FleetLimit

MIN_LEASE_UNITS = 50  # less is not worth a lease's messages
# Hysteresis: requested is this much more than the demand, and released only what leaves still so much more.
# Guards against leases that come and go by chance.
REQUEST_TARGET = 1.15
RELEASE_TARGET = 1.4


@dataclass(slots=True)
class Offer:
    """What another process can grant.

    Attributes:
        incarnation: The grantor's.
        amount: Units.
        offered_at: The earliest instant at which it may have said so.
    """

    incarnation: int
    amount: int
    offered_at: float


@dataclass(slots=True)
class PendingRequest:
    """A request that nobody has answered yet.

    Attributes:
        incarnation: The grantor's.
        amount: Units.
        sent_at: When it was last sent.
        attempts: How often it was sent.
    """

    incarnation: int
    amount: int
    sent_at: float
    attempts: int = 1


@dataclass(slots=True, frozen=True)
class DeniedLessee:
    """A process that requested a lease here in vain.

    Attributes:
        denied_at: When.
        usable: Units that it said it may use.
    """

    denied_at: float
    usable: int


def _nothing() -> float:
    return 0.0


@dataclass(slots=True)
class Account:
    """One limit at this process. Amounts are units, instants float milliseconds.

    Attributes:
        limit: The limit.
        allocation: What of it may be used here.
        shutting_down: Whether this process shuts down, and needs nothing more.
        demand: Units that are needed here, as last reported.
        in_use: Returns units that cannot be given away at this instant.
        offers: What others can grant, by the grantor's name.
        pending: Requests that nobody has answered.
        grantor_incarnations: Of the leases that were taken.
        renewal_sent_at: When the renewal of a lease was last requested.
        unrenewable: Leases whose renewal was denied.
        denied_lessees: Processes that lately requested a lease here in vain.
        handover_until: By then a lease that goes to another process has expired.
        next_request_to_exhausted: When a grantor that has nothing left to grant may be asked again.
    """

    limit: FleetLimit
    allocation: Allocation
    shutting_down: bool = False
    demand: float = EVEN_FRACTION_UNITS
    in_use: Callable[[], float] = _nothing
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
        """Units that are needed here or cannot be given away; no lease is renewed that keeps them out."""
        return max(self.demand, self.in_use())

    @property
    def grant_reserve(self) -> float:
        """Units that a new lease must leave here."""
        target = 0.0 if self.shutting_down else REQUEST_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    @property
    def release_reserve(self) -> float:
        """Units that the release of a lease must leave here."""
        target = 0.0 if self.shutting_down else RELEASE_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    def grantable(self, now: float) -> int:
        """Units that may be granted at this instant."""
        return self.allocation.grantable(now, math.ceil(self.grant_reserve))

    def forget_lease(self, key: AcquiredLeaseKey) -> int | None:
        """Drop what is known of an acquired lease besides the lease itself, however it ended.

        Guards against growth over a long run.

        Returns:
            The grantor's incarnation, if it was known.
        """
        self.renewal_sent_at.pop(key, None)
        self.unrenewable.discard(key)
        return self.grantor_incarnations.pop(key, None)
