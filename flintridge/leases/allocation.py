"""One process's allocation of a fleet-wide limit: its entitlement, and its granted and acquired leases.

The invariant: at every moment, all processes together may use at most the limit. It holds when messages are
lost, duplicated, delayed or reordered, and when processes are paused, killed or restarted. The processes'
clocks need no common time; each may run too fast or too slow by at most `clock_drift`.

- A process is entitled to an even fraction of the limit, even if it reaches no other process. It never grants
  the `floor` of that fraction.
- The grantor deducts a lease from its entitlement before it sends the grant. From the grant on it counts the
  lease as granted for `grantor_lease_ms` of its own clock, which exceeds the lease by as much as two clocks
  can drift apart.
- The lessee counts its lease, by its own clock, from the time when it *requested* the lease, which was before
  the grant.
- A process that has just started has only its floor until any lease that its previous incarnation granted has
  expired.
- The lessee stops using a lease before it sends the release.

Times are float milliseconds of the process's own monotonic clock, amounts are whole units of the limit.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple, Self

from flintridge.leases.fleet_limit import LeaseTerms
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


class ProcessId(NamedTuple):
    """A process: the name of its node, and the incarnation number that it drew at its start."""

    name: str
    incarnation: int


class GrantedLeaseKey(NamedTuple):
    """Identifies a lease that this process granted."""

    lessee: ProcessId
    lease_id: int


class AcquiredLeaseKey(NamedTuple):
    """Identifies a lease that this process requested."""

    grantor: str
    lease_id: int


@dataclass(slots=True, frozen=True)
class Lease:
    """An amount of units that may be used until the lease expires."""

    amount: int
    expires_at: float


@dataclass(slots=True)
class Allocation:
    """The units of one limit that one incarnation may use. Messages about unknown leases are ignored.

    Attributes:
        terms: Terms of the limit's leases.
        started_at: Time of the start. Until leases that were granted before it have expired, the entitlement
            is only the floor.
        process_count: Number of processes of this node that run. With several, each uses an equal fraction of
            its units and grants nothing.
        unusable_until: Until this time the process uses nothing, because the other processes of its node
            have not noticed it yet.
        granted: Leases that this process granted to others.
        acquired: Leases that others granted to this process.
        requested: Requested units of each request that is pending or was granted.
        last_lease_id: Lease id of the latest request.
    """

    terms: LeaseTerms
    started_at: float
    process_count: int = 1
    unusable_until: float = float("-inf")
    granted: dict[GrantedLeaseKey, Lease] = field(default_factory=dict)
    acquired: dict[AcquiredLeaseKey, Lease] = field(default_factory=dict)
    requested: dict[AcquiredLeaseKey, int] = field(default_factory=dict)
    last_lease_id: int = 0

    def copy(self) -> Self:
        """Return an independent copy."""
        return replace(
            self, granted=dict(self.granted), acquired=dict(self.acquired), requested=dict(self.requested)
        )

    @property
    def sole_process(self) -> bool:
        """Whether no other process of this node runs."""
        return self.process_count == 1

    # Usable units

    def usable(self, now: float) -> int:
        """Units that may be used at `now`.

        Call it at each use, since leases may have expired while the process was stopped.
        """
        if now < self.unusable_until:
            return 0
        acquired = sum(lease.amount for lease in self.acquired.values() if now < lease.expires_at)
        return self._for_one_process(self._ungranted(now) + acquired)

    def usable_without_leases(self, now: float) -> int:
        """Units that may be used at any later time, even if no message arrives.

        Counts no acquired lease, and of the entitlement only what is available at `now`.
        """
        if now < self.unusable_until:
            return 0
        return self._for_one_process(self._ungranted(now))

    def first_expiry(self, now: float) -> float:
        """Time at which the first acquired lease expires; infinite if there is none."""
        return min(
            (lease.expires_at for lease in self.acquired.values() if now < lease.expires_at),
            default=float("inf"),
        )

    def entitlement(self, now: float) -> int:
        """Units of this process before any leases.

        After a start that is only the floor. The previous incarnation may have granted the rest, and this one
        has no record of it.
        """
        if now >= self.started_at + self.terms.grantor_lease_ms:
            return self.terms.even_fraction
        return self.terms.floor

    def grantable(self, now: float, demand: int = 0) -> int:
        """Units that may be granted: those beyond the floor and beyond this process's own `demand`."""
        if not self.sole_process:
            return 0
        return max(0, self.entitlement(now) - self._granted_amount(now) - max(self.terms.floor, demand))

    def _ungranted(self, now: float) -> int:
        # Never less than the floor, which is not granted. The entitlement may be the floor alone while leases
        # last that this process granted before.
        return max(self.terms.floor, self.entitlement(now) - self._granted_amount(now))

    def _granted_amount(self, now: float) -> int:
        return sum(lease.amount for lease in self.granted.values() if now < lease.expires_at)

    def _for_one_process(self, amount: int) -> int:
        return amount // self.process_count

    # Messages

    def request(self, now: float, grantor: str, amount: int) -> LeaseRequest:
        """Create a request for a new lease, and record it as pending."""
        self.last_lease_id += 1
        self.requested[AcquiredLeaseKey(grantor, self.last_lease_id)] = amount
        return LeaseRequest(self.last_lease_id, amount, now)

    def renewal(self, now: float, grantor: str, lease_id: int) -> LeaseRequest | None:
        """Create a request to renew a lease; None if there is no such lease or it has expired."""
        lease = self.acquired.get(AcquiredLeaseKey(grantor, lease_id))
        if lease is None or now >= lease.expires_at:
            return None
        return LeaseRequest(lease_id, lease.amount, now)

    def release(self, grantor: str, lease_id: int) -> LeaseRelease | None:
        """End an acquired lease; None if there is no such lease.

        Its units are unusable from now on, whether or not the grantor receives the message.
        """
        key = AcquiredLeaseKey(grantor, lease_id)
        self.requested.pop(key, None)
        lease = self.acquired.pop(key, None)
        return LeaseRelease(lease_id) if lease is not None else None

    def cancel(self, grantor: str, lease_id: int) -> LeaseRelease:
        """End a lease, or cancel a request that was not answered.

        A grant that arrives later is ignored. With the returned message the grantor need not wait for the
        expiry.
        """
        key = AcquiredLeaseKey(grantor, lease_id)
        self.requested.pop(key, None)
        self.acquired.pop(key, None)
        return LeaseRelease(lease_id)

    def receive(
        self, now: float, sender: ProcessId, message: LeaseMessage, demand: int = 0
    ) -> LeaseMessage | None:
        """Apply a message.

        Args:
            now: The current time.
            sender: The process that sent the message.
            message: The message.
            demand: Units that this process keeps for itself.

        Returns:
            The response; None if there is none.
        """
        match message:
            case LeaseRequest():
                return self._grant(now, sender, message, demand)
            case LeaseGrant():
                self._accept_grant(now, sender.name, message)
            case LeaseRelease(lease_id):
                self.granted.pop(GrantedLeaseKey(sender, lease_id), None)
        return None

    def _grant(self, now: float, lessee: ProcessId, request: LeaseRequest, demand: int) -> LeaseGrant | None:
        key = GrantedLeaseKey(lessee, request.lease_id)
        expires_at = now + self.terms.grantor_lease_ms
        lease = self.granted.get(key)
        if lease is not None and now < lease.expires_at:
            entitlement = self.entitlement(now)
            # Deny the renewal if this process needs the units: it regains them only at the expiry.
            if not self.sole_process or entitlement - self._granted_amount(now) < min(demand, entitlement):
                return None
            self.granted[key] = Lease(lease.amount, max(lease.expires_at, expires_at))
            return LeaseGrant(request.lease_id, lease.amount, request.requested_at)
        amount = min(request.amount, self.grantable(now, demand))
        if amount <= 0:
            return None
        self.granted[key] = Lease(amount, expires_at)  # recorded before the grant is sent
        return LeaseGrant(request.lease_id, amount, request.requested_at)

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        key = AcquiredLeaseKey(grantor, grant.lease_id)
        if key not in self.requested:
            return  # never requested, or released in the meantime
        expires_at = grant.requested_at + self.terms.usable_ms
        if now >= expires_at:
            return  # the grant arrived after the lease expired
        lease = self.acquired.get(key)
        if lease is None:
            self.acquired[key] = Lease(grant.amount, expires_at)
        else:
            self.acquired[key] = Lease(min(lease.amount, grant.amount), max(lease.expires_at, expires_at))

    # Expiry, and the other processes of this node

    def remove_expired(self, now: float) -> None:
        """Remove expired leases to bound memory; they are no longer counted in any case."""
        self.granted = {key: lease for key, lease in self.granted.items() if now < lease.expires_at}
        expired = [key for key, lease in self.acquired.items() if now >= lease.expires_at]
        for key in expired:
            del self.acquired[key]
            self.requested.pop(key, None)

    def process_count_changed(self, now: float, count: int, notice_ms: float = 0.0) -> None:
        """Record how many processes of this node run.

        A process that is the only one again has no record of the leases that the others granted, so its
        entitlement is as after a start. The same holds for a new process, until the leases have expired that
        the others granted before they noticed it.

        Args:
            now: The current time.
            count: The number of processes, this one included.
            notice_ms: At a process that has just started beside others, the time until they have noticed it;
                0 otherwise. This process uses nothing during that time, and for another `completion_ms` after
                it, in which work that the others began may still go on.
        """
        if count == 1 and not self.sole_process:
            self.started_at = now
        self.process_count = count
        if notice_ms:
            self.started_at = now + notice_ms
            self.unusable_until = now + notice_ms + self.terms.completion_ms
