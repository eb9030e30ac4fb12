"""Mistakes that an allocation could have, one for each clause of its rule; the explorer must find each."""

from dataclasses import dataclass, replace

from flintridge.leases.allocation import AcquiredLeaseKey, Allocation, GrantedLeaseKey, Lease, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


@dataclass(slots=True)
class CreditBeforeDebit(Allocation):
    """It grants without taking the lease off its entitlement."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        amount = min(request.amount, self.grantable(now, demand))
        return LeaseGrant(request.lease_id, amount, request.requested_at) if amount > 0 else None


@dataclass(slots=True)
class LeaseFromArrival(Allocation):
    """The lessee counts its lease from when the grant came in."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        Allocation._accept_grant(self, now, grantor, replace(grant, requested_at=now))


@dataclass(slots=True)
class NoMarginForDrift(Allocation):
    """The grantor counts a lease as expired after `lease_ms`, whatever the lessee's clock does."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        grant = Allocation._grant(self, now, lessee, request, demand)
        if grant is not None:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = Lease(
                grant.amount, now + self.terms.lease_ms
            )
        return grant


@dataclass(slots=True)
class LeasesForgotten(Allocation):
    """A process that starts anew has its whole entitlement at once."""

    def entitlement(self, now: float) -> int:
        return self.terms.even_fraction


@dataclass(slots=True)
class NoFloor(Allocation):
    """It lends all that it has."""

    def grantable(self, now: float, demand: int = 0) -> int:
        return max(0, self.entitlement(now) - self._granted_amount(now))


@dataclass(slots=True)
class UsedAfterRelease(Allocation):
    """It goes on using what it said it releases."""

    def release(self, grantor: str, lease_id: int) -> LeaseRelease | None:
        return LeaseRelease(lease_id) if AcquiredLeaseKey(grantor, lease_id) in self.acquired else None


@dataclass(slots=True)
class DoubledGrantCountsTwice(Allocation):
    """Each grant that comes in is added."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        key = AcquiredLeaseKey(grantor, grant.lease_id)
        known = self.acquired.get(key)
        Allocation._accept_grant(self, now, grantor, grant)
        if known is not None and key in self.acquired:
            self.acquired[key] = replace(self.acquired[key], amount=known.amount + grant.amount)


@dataclass(slots=True)
class LateGrantAfterRelease(Allocation):
    """A grant counts whether or not the lease is still wanted."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        self.requested.setdefault(AcquiredLeaseKey(grantor, grant.lease_id), grant.amount)
        Allocation._accept_grant(self, now, grantor, grant)


@dataclass(slots=True)
class RenewedByRequest(Allocation):
    """A lease goes on as soon as its renewal was requested."""

    def renewal(self, now: float, grantor: str, lease_id: int) -> LeaseRequest | None:
        request = Allocation.renewal(self, now, grantor, lease_id)
        if request is not None:
            key = AcquiredLeaseKey(grantor, lease_id)
            self.acquired[key] = replace(self.acquired[key], expires_at=now + self.terms.lease_ms)
        return request


@dataclass(slots=True)
class RenewalNotCounted(Allocation):
    """The grantor says yes to a renewal and goes by the first lease."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        before = self.granted.get(GrantedLeaseKey(lessee, request.lease_id))
        grant = Allocation._grant(self, now, lessee, request, demand)
        if before is not None and now < before.expires_at:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = before
        return grant


@dataclass(slots=True)
class ExpiryNotChecked(Allocation):
    """What was borrowed counts until expired leases are removed, also after a pause."""

    def usable(self, now: float) -> int:
        acquired = sum(lease.amount for lease in self.acquired.values())
        return max(0, self.entitlement(now) - self._granted_amount(now)) + acquired


@dataclass(slots=True)
class AnotherIncarnationsLeaseEnds(Allocation):
    """What is released ends all leases of that number."""

    def receive(
        self, now: float, sender: ProcessId, message: LeaseMessage, demand: int = 0
    ) -> LeaseMessage | None:
        if isinstance(message, LeaseRelease):
            self.granted = {
                key: lease for key, lease in self.granted.items() if key.lease_id != message.lease_id
            }
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
