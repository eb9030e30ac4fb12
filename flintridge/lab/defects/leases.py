"""Defects that an allocation could have, one for each clause of its rule; the exploration must find each."""

from dataclasses import dataclass, replace

from flintridge.leases.allocation import AcquiredLeaseKey, Allocation, GrantedLeaseKey, Lease, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


@dataclass(slots=True)
class CreditBeforeDebit(Allocation):
    """It grants a lease without debiting it."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        amount = min(request.amount, self.grantable(now, demand))
        return LeaseGrant(request.lease_id, amount, request.requested_at) if amount > 0 else None


@dataclass(slots=True)
class LeaseFromArrival(Allocation):
    """The lessee counts its lease from the arrival of the grant."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        Allocation._accept_grant(self, now, grantor, replace(grant, requested_at=now))


@dataclass(slots=True)
class NoMarginForDrift(Allocation):
    """The grantor counts a lease as expired after `lease_ms`, with no margin for the lessee's clock."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        grant = Allocation._grant(self, now, lessee, request, demand)
        if grant is not None:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = Lease(
                grant.amount, now + self.terms.lease_ms
            )
        return grant


@dataclass(slots=True)
class LeasesForgotten(Allocation):
    """A restarted process has its whole entitlement at once, whatever its previous incarnation granted."""

    def entitlement(self, now: float) -> int:
        """See `Allocation.entitlement`."""
        return self.terms.even_fraction


@dataclass(slots=True)
class NoFloor(Allocation):
    """It grants all that it has, and keeps no floor."""

    def grantable(self, now: float, demand: int = 0) -> int:
        """See `Allocation.grantable`."""
        return max(0, self.entitlement(now) - self._granted_amount(now))


@dataclass(slots=True)
class UsedAfterRelease(Allocation):
    """It goes on using what it released."""

    def release(self, grantor: str, lease_id: int) -> LeaseRelease | None:
        """See `Allocation.release`."""
        return LeaseRelease(lease_id) if AcquiredLeaseKey(grantor, lease_id) in self.acquired else None


@dataclass(slots=True)
class DuplicateGrantCountsTwice(Allocation):
    """A duplicate of a grant is added to the lease."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        key = AcquiredLeaseKey(grantor, grant.lease_id)
        acquired = self.acquired.get(key)
        Allocation._accept_grant(self, now, grantor, grant)
        if acquired is not None and key in self.acquired:
            self.acquired[key] = replace(self.acquired[key], amount=acquired.amount + grant.amount)


@dataclass(slots=True)
class LateGrantAfterRelease(Allocation):
    """A grant is accepted after its request was canceled or its lease released."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        self.requested.setdefault(AcquiredLeaseKey(grantor, grant.lease_id), grant.amount)
        Allocation._accept_grant(self, now, grantor, grant)


@dataclass(slots=True)
class RenewedByRequest(Allocation):
    """A lease is extended as soon as its renewal was requested."""

    def renewal(self, now: float, grantor: str, lease_id: int) -> LeaseRequest | None:
        """See `Allocation.renewal`."""
        request = Allocation.renewal(self, now, grantor, lease_id)
        if request is not None:
            key = AcquiredLeaseKey(grantor, lease_id)
            self.acquired[key] = replace(self.acquired[key], expires_at=now + self.terms.lease_ms)
        return request


@dataclass(slots=True)
class RenewalNotCounted(Allocation):
    """The grantor grants a renewal and keeps the old expiry."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        before = self.granted.get(GrantedLeaseKey(lessee, request.lease_id))
        grant = Allocation._grant(self, now, lessee, request, demand)
        if before is not None and now < before.expires_at:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = before
        return grant


@dataclass(slots=True)
class ExpiryNotChecked(Allocation):
    """Expired leases count until they are removed, also after a pause."""

    def usable(self, now: float) -> int:
        """See `Allocation.usable`."""
        acquired = sum(lease.amount for lease in self.acquired.values())
        return max(0, self.entitlement(now) - self._granted_amount(now)) + acquired


@dataclass(slots=True)
class AnotherIncarnationsLeaseEnds(Allocation):
    """A release ends the leases of that number of all lessees."""

    def receive(
        self, now: float, sender: ProcessId, message: LeaseMessage, demand: int = 0
    ) -> LeaseMessage | None:
        """See `Allocation.receive`."""
        if isinstance(message, LeaseRelease):
            self.granted = {
                key: lease for key, lease in self.granted.items() if key.lease_id != message.lease_id
            }
            return None
        return Allocation.receive(self, now, sender, message, demand)


LEASE_DEFECTS: tuple[type[Allocation], ...] = (
    CreditBeforeDebit,
    LeaseFromArrival,
    NoMarginForDrift,
    LeasesForgotten,
    NoFloor,
    UsedAfterRelease,
    DuplicateGrantCountsTwice,
    LateGrantAfterRelease,
    RenewedByRequest,
    RenewalNotCounted,
    ExpiryNotChecked,
    AnotherIncarnationsLeaseEnds,
)
