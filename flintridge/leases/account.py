"""The state of one fleet-wide limit at one process: its allocation, its demand, open requests and offers."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.leases.allocation import Allocation, BorrowedKey, ProcessId
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FleetLimit

MIN_LEASE_UNITS = 50  # less is not worth a lease's messages
# Hysteresis: requested is this much more than the demand, and released only what leaves still so much more.
# Guards against leases that come and go by chance.
REQUEST_TARGET = 1.15
RELEASE_TARGET = 1.4


@dataclass(slots=True)
class Offer:
    """What another process can lend.

    Attributes:
        incarnation: The lender's.
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
        incarnation: The lender's.
        amount: Units.
        sent_at: When it was last sent.
        attempts: How often it was sent.
    """

    incarnation: int
    amount: int
    sent_at: float
    attempts: int = 1


@dataclass(slots=True, frozen=True)
class DeniedBorrower:
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
        offers: What others can lend, by the lender's name.
        pending: Requests that nobody has answered.
        lender_incarnations: Of the leases that were taken.
        renewal_sent_at: When the renewal of a lease was last requested.
        unrenewable: Leases whose renewal was denied.
        denied_borrowers: Processes that lately requested a lease here in vain.
        handover_until: By then a lease that goes to another process has expired.
        next_request_to_lent_out: When a lender that has lent all it can may be asked again.
    """

    limit: FleetLimit
    allocation: Allocation
    shutting_down: bool = False
    demand: float = EVEN_FRACTION_UNITS
    in_use: Callable[[], float] = _nothing
    offers: dict[str, Offer] = field(default_factory=dict)
    pending: dict[BorrowedKey, PendingRequest] = field(default_factory=dict)
    lender_incarnations: dict[BorrowedKey, int] = field(default_factory=dict)
    renewal_sent_at: dict[BorrowedKey, float] = field(default_factory=dict)
    unrenewable: set[BorrowedKey] = field(default_factory=set)
    denied_borrowers: dict[ProcessId, DeniedBorrower] = field(default_factory=dict)
    handover_until: float = -math.inf
    next_request_to_lent_out: float = -math.inf

    @property
    def demand_or_use(self) -> float:
        """Units that are needed here or cannot be given away; no lease is renewed that keeps them out."""
        return max(self.demand, self.in_use())

    @property
    def lending_reserve(self) -> float:
        """Units that a new lease must leave here."""
        target = 0.0 if self.shutting_down else REQUEST_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    @property
    def release_reserve(self) -> float:
        """Units that the release of a lease must leave here."""
        target = 0.0 if self.shutting_down else RELEASE_TARGET * self.demand + MIN_LEASE_UNITS
        return max(self.in_use(), target)

    def lendable(self, now: float) -> int:
        """Units that may be lent at this instant."""
        return self.allocation.lendable(now, math.ceil(self.lending_reserve))

    def forget_lease(self, key: BorrowedKey) -> int | None:
        """Drop what is known of a borrowed lease besides the lease itself, however it ended.

        Guards against growth over a long run.

        Returns:
            The lender's incarnation, if it was known.
        """
        self.renewal_sent_at.pop(key, None)
        self.unrenewable.discard(key)
        return self.lender_incarnations.pop(key, None)
