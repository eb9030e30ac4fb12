"""Defects that an `Allocation` could have, one for each clause of its rule.

The exhaustive exploration in `flintridge.lab.explore.leases` must find each of them.
"""

from dataclasses import dataclass, replace

from flintridge.leases.allocation import AcquiredLeaseKey, Allocation, GrantedLeaseKey, Lease, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


@dataclass(slots=True)
class CreditBeforeDebit(Allocation):
    """The grantor grants a lease without debiting its own allocation."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        amount = min(request.amount, self.grantable(now, demand))
        return LeaseGrant(request.lease_id, amount, request.requested_at) if amount > 0 else None


@dataclass(slots=True)
class LeaseFromArrival(Allocation):
    """The lessee's lease begins at the arrival of the grant instead of at the request."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        Allocation._accept_grant(self, now, grantor, replace(grant, requested_at=now))


@dataclass(slots=True)
class NoMarginForDrift(Allocation):
    """The grantor's lease expires after `lease_ms`, without a margin for the drift of the lessee's clock."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        grant = Allocation._grant(self, now, lessee, request, demand)
        if grant is not None:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = Lease(
                grant.amount, now + self.terms.lease_ms
            )
        return grant


@dataclass(slots=True)
class LeasesForgotten(Allocation):
    """A restarted process has its full entitlement immediately, whatever its previous incarnation granted."""

    def entitlement(self, now: float) -> int:
        """See `Allocation.entitlement`."""
        return self.terms.even_fraction


@dataclass(slots=True)
class NoFloor(Allocation):
    """The grantor grants all that it has, without keeping its floor."""

    def grantable(self, now: float, demand: int = 0) -> int:
        """See `Allocation.grantable`."""
        return max(0, self.entitlement(now) - self._granted_amount(now))


@dataclass(slots=True)
class UsedAfterRelease(Allocation):
    """The lessee keeps using a lease that it has released."""

    def release(self, grantor: str, lease_id: int) -> LeaseRelease | None:
        """See `Allocation.release`."""
        return LeaseRelease(lease_id) if AcquiredLeaseKey(grantor, lease_id) in self.acquired else None


@dataclass(slots=True)
class DuplicateGrantCountsTwice(Allocation):
    """The amount of a duplicate grant is added to that of the lease."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        key = AcquiredLeaseKey(grantor, grant.lease_id)
        acquired = self.acquired.get(key)
        Allocation._accept_grant(self, now, grantor, grant)
        if acquired is not None and key in self.acquired:
            self.acquired[key] = replace(self.acquired[key], amount=acquired.amount + grant.amount)


@dataclass(slots=True)
class LateGrantAfterRelease(Allocation):
    """The lessee accepts a grant after it has canceled the request or released the lease."""

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        self.requested.setdefault(AcquiredLeaseKey(grantor, grant.lease_id), grant.amount)
        Allocation._accept_grant(self, now, grantor, grant)


@dataclass(slots=True)
class RenewedByRequest(Allocation):
    """The lessee extends its lease when it requests a renewal, without waiting for the grant."""

    def renewal(self, now: float, grantor: str, lease_id: int) -> LeaseRequest | None:
        """See `Allocation.renewal`."""
        request = Allocation.renewal(self, now, grantor, lease_id)
        if request is not None:
            key = AcquiredLeaseKey(grantor, lease_id)
            self.acquired[key] = replace(self.acquired[key], expires_at=now + self.terms.lease_ms)
        return request


@dataclass(slots=True)
class RenewalNotCounted(Allocation):
    """The grantor grants a renewal, but keeps the expiry from before the renewal."""

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        before = self.granted.get(GrantedLeaseKey(lessee, request.lease_id))
        grant = Allocation._grant(self, now, lessee, request, demand)
        if before is not None and now < before.expires_at:
            self.granted[GrantedLeaseKey(lessee, request.lease_id)] = before
        return grant


@dataclass(slots=True)
class ExpiryNotChecked(Allocation):
    """The lessee uses expired leases until they are removed, also after a pause."""

    def usable(self, now: float) -> int:
        """See `Allocation.usable`."""
        acquired = sum(lease.amount for lease in self.acquired.values())
        return max(0, self.entitlement(now) - self._granted_amount(now)) + acquired


@dataclass(slots=True)
class AnotherIncarnationsLeaseEnds(Allocation):
    """A release ends the leases with its lease ID of all lessees and incarnations, not only the sender's."""

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


@dataclass(slots=True)
class HalfForEachProcess(Allocation):
    """Each process of a node uses half of its units, however many processes there are."""

    def _for_one_process(self, amount: int) -> int:
        return amount // min(self.process_count, 2)


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
    HalfForEachProcess,
)
