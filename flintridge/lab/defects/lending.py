"""Mistakes that an allocation could have, one for each clause of its rule; the explorer must find each."""

from dataclasses import dataclass, replace

from flintridge.leases.allocation import Allocation, BorrowedKey, Lease, LentKey, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


@dataclass(slots=True)
class CreditBeforeDebit(Allocation):
    """It grants without taking the lease off its entitlement."""

    def _grant(
        self, now: float, borrower: ProcessId, request: LeaseRequest, demand: int
    ) -> LeaseGrant | None:
        amount = min(request.amount, self.lendable(now, demand))
        return LeaseGrant(request.lease_id, amount, request.requested_at) if amount > 0 else None


@dataclass(slots=True)
class LeaseFromArrival(Allocation):
    """The borrower counts its lease from when the grant came in."""

    def _accept_grant(self, now: float, lender: str, grant: LeaseGrant) -> None:
        Allocation._accept_grant(self, now, lender, replace(grant, requested_at=now))


@dataclass(slots=True)
class NoMarginForDrift(Allocation):
    """The lender counts a lease as expired after `lease_ms`, whatever the borrower's clock does."""

    def _grant(
        self, now: float, borrower: ProcessId, request: LeaseRequest, demand: int
    ) -> LeaseGrant | None:
        grant = Allocation._grant(self, now, borrower, request, demand)
        if grant is not None:
            self.lent[LentKey(borrower, request.lease_id)] = Lease(grant.amount, now + self.terms.lease_ms)
        return grant


@dataclass(slots=True)
class LeasesForgotten(Allocation):
    """A process that starts anew has its whole entitlement at once."""

    def entitlement(self, now: float) -> int:
        return self.terms.even_fraction


@dataclass(slots=True)
class NoFloor(Allocation):
    """It lends all that it has."""

    def lendable(self, now: float, demand: int = 0) -> int:
        return max(0, self.entitlement(now) - self._lent_amount(now))


@dataclass(slots=True)
class UsedAfterRelease(Allocation):
    """It goes on using what it said it releases."""

    def release(self, lender: str, lease_id: int) -> LeaseRelease | None:
        return LeaseRelease(lease_id) if BorrowedKey(lender, lease_id) in self.borrowed else None


@dataclass(slots=True)
class DoubledGrantCountsTwice(Allocation):
    """Each grant that comes in is added."""

    def _accept_grant(self, now: float, lender: str, grant: LeaseGrant) -> None:
        key = BorrowedKey(lender, grant.lease_id)
        known = self.borrowed.get(key)
        Allocation._accept_grant(self, now, lender, grant)
        if known is not None and key in self.borrowed:
            self.borrowed[key] = replace(self.borrowed[key], amount=known.amount + grant.amount)


@dataclass(slots=True)
class LateGrantAfterRelease(Allocation):
    """A grant counts whether or not the lease is still wanted."""

    def _accept_grant(self, now: float, lender: str, grant: LeaseGrant) -> None:
        self.requested.setdefault(BorrowedKey(lender, grant.lease_id), grant.amount)
        Allocation._accept_grant(self, now, lender, grant)


@dataclass(slots=True)
class RenewedByRequest(Allocation):
    """A lease goes on as soon as its renewal was requested."""

    def renewal(self, now: float, lender: str, lease_id: int) -> LeaseRequest | None:
        request = Allocation.renewal(self, now, lender, lease_id)
        if request is not None:
            key = BorrowedKey(lender, lease_id)
            self.borrowed[key] = replace(self.borrowed[key], expires_at=now + self.terms.lease_ms)
        return request


@dataclass(slots=True)
class RenewalNotCounted(Allocation):
    """The lender says yes to a renewal and goes by the first lease."""

    def _grant(
        self, now: float, borrower: ProcessId, request: LeaseRequest, demand: int
    ) -> LeaseGrant | None:
        before = self.lent.get(LentKey(borrower, request.lease_id))
        grant = Allocation._grant(self, now, borrower, request, demand)
        if before is not None and now < before.expires_at:
            self.lent[LentKey(borrower, request.lease_id)] = before
        return grant


@dataclass(slots=True)
class ExpiryNotChecked(Allocation):
    """What was borrowed counts until expired leases are removed, also after a pause."""

    def usable(self, now: float) -> int:
        borrowed = sum(lease.amount for lease in self.borrowed.values())
        return max(0, self.entitlement(now) - self._lent_amount(now)) + borrowed


@dataclass(slots=True)
class AnotherIncarnationsLeaseEnds(Allocation):
    """What is released ends all leases of that number."""

    def receive(
        self, now: float, sender: ProcessId, message: LeaseMessage, demand: int = 0
    ) -> LeaseMessage | None:
        if isinstance(message, LeaseRelease):
            self.lent = {key: lease for key, lease in self.lent.items() if key.lease_id != message.lease_id}
            return None
        return Allocation.receive(self, now, sender, message, demand)


LENDING: tuple[type[Allocation], ...] = (
    CreditBeforeDebit,
    LeaseFromArrival,
    NoMarginForDrift,
    LeasesForgotten,
    NoFloor,
    UsedAfterRelease,
    DoubledGrantCountsTwice,
    LateGrantAfterRelease,
    RenewedByRequest,
    RenewalNotCounted,
    ExpiryNotChecked,
    AnotherIncarnationsLeaseEnds,
)
