"""One process's allocation of a fleet-wide limit: its entitlement, the leases that it granted and took.

The rule: at every instant the sum of what all processes may use is at most the limit, whatever is lost,
doubled, late, reordered, paused, killed or restarted, with clocks that share no time and are off by at most
`clock_drift`.

- A process is entitled to an even fraction, though it reaches nobody. `floor` of it is never granted.
- The grantor takes a lease off its entitlement before it sends the grant, and counts it as granted for
  `grantor_lease_ms`, longer than the lease by what two clocks can run apart, by its own clock from the grant
  on.
- The lessee counts its lease by its own clock from when it *requested* it, which was before the grant.
- A process that has just started has its floor alone, for as long as a lease may last that its previous
  incarnation granted.
- What is released counts no more at the lessee before it says so.

Times are float milliseconds of the process's own monotonic clock, amounts are whole units of the limit.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple, Self

from flintridge.leases.fleet_limit import LeaseTerms
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRelease, LeaseRequest


class ProcessId(NamedTuple):
    """One incarnation of a node: the process of that name which drew that number at its start."""

    name: str
    incarnation: int


class GrantedLeaseKey(NamedTuple):
    """Names a lease that this process granted."""

    lessee: ProcessId
    lease_id: int


class AcquiredLeaseKey(NamedTuple):
    """Names a lease that this process requested."""

    grantor: str
    lease_id: int


@dataclass(slots=True, frozen=True)
class Lease:
    """An amount of units until an instant."""

    amount: int
    expires_at: float


@dataclass(slots=True)
class Allocation:
    """What one incarnation may use of one limit. Messages that fit nothing are dropped.

    Attributes:
        terms: The terms of the limit's leases.
        started_at: Since when the process counts its entitlement.
        sole_process: False while another process of this node runs: each then uses half, and grants nothing.
        unusable_until: Nothing is used before: the other process of this node has not noticed this one yet.
        granted: Leases that others have from this process.
        acquired: Leases that this process has from others.
        requested: Amounts of requests that are open or granted.
        last_lease_id: The number of the latest request.
    """

    terms: LeaseTerms
    started_at: float
    sole_process: bool = True
    unusable_until: float = float("-inf")
    granted: dict[GrantedLeaseKey, Lease] = field(default_factory=dict)
    acquired: dict[AcquiredLeaseKey, Lease] = field(default_factory=dict)
    requested: dict[AcquiredLeaseKey, int] = field(default_factory=dict)
    last_lease_id: int = 0

    def copy(self) -> Self:
        """An independent copy."""
        return replace(
            self, granted=dict(self.granted), acquired=dict(self.acquired), requested=dict(self.requested)
        )

    # What may be used

    def usable(self, now: float) -> int:
        """Units that may be used at this instant.

        To be called at each use: a process that was stopped finds its leases expired.
        """
        if now < self.unusable_until:
            return 0
        acquired = sum(lease.amount for lease in self.acquired.values() if now < lease.expires_at)
        return self._for_one_process(self._ungranted(now) + acquired)

    def usable_after_leases(self, now: float) -> int:
        """Units that may be used at any later instant if no message comes.

        Nothing that is acquired, and no more of the entitlement than now.
        """
        if now < self.unusable_until:
            return 0
        return self._for_one_process(self._ungranted(now))

    def first_expiry(self, now: float) -> float:
        """When the first of the acquired leases expires; infinite if there is none."""
        return min(
            (lease.expires_at for lease in self.acquired.values() if now < lease.expires_at),
            default=float("inf"),
        )

    def entitlement(self, now: float) -> int:
        """Units of this process before any lease.

        At first its floor: the previous incarnation may have granted the rest, and nobody remembers.
        """
        if now >= self.started_at + self.terms.grantor_lease_ms:
            return self.terms.even_fraction
        return self.terms.floor

    def grantable(self, now: float, demand: int = 0) -> int:
        """Units beyond the floor, and beyond the `demand` of this process."""
        if not self.sole_process:
            return 0
        return max(0, self.entitlement(now) - self._granted_amount(now) - max(self.terms.floor, demand))

    def _ungranted(self, now: float) -> int:
        return max(0, self.entitlement(now) - self._granted_amount(now))

    def _granted_amount(self, now: float) -> int:
        return sum(lease.amount for lease in self.granted.values() if now < lease.expires_at)

    def _for_one_process(self, amount: int) -> int:
        return amount if self.sole_process else amount // 2

    # Messages

    def request(self, now: float, grantor: str, amount: int) -> LeaseRequest:
        """A request for a new lease, which is open from now on."""
        self.last_lease_id += 1
        self.requested[AcquiredLeaseKey(grantor, self.last_lease_id)] = amount
        return LeaseRequest(self.last_lease_id, amount, now)

    def renewal(self, now: float, grantor: str, lease_id: int) -> LeaseRequest | None:
        """A request to renew a lease; None if there is no such lease, or it has expired."""
        lease = self.acquired.get(AcquiredLeaseKey(grantor, lease_id))
        if lease is None or now >= lease.expires_at:
            return None
        return LeaseRequest(lease_id, lease.amount, now)

    def release(self, grantor: str, lease_id: int) -> LeaseRelease | None:
        """End an acquired lease; None if there is none.

        It counts no more from here on, whether or not the grantor receives the message.
        """
        key = AcquiredLeaseKey(grantor, lease_id)
        self.requested.pop(key, None)
        lease = self.acquired.pop(key, None)
        return LeaseRelease(lease_id) if lease is not None else None

    def cancel(self, grantor: str, lease_id: int) -> LeaseRelease:
        """End a lease or take back a request that nobody answered.

        A grant that comes later counts nothing here, and the grantor need not wait for its expiry.
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
            now: The instant.
            sender: Who sent it.
            message: What was sent.
            demand: Units that this process keeps for itself.

        Returns:
            The response to it, if any.
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
            # Guards this process's own demand: what it granted comes back at the expiry, and no earlier.
            if not self.sole_process or entitlement - self._granted_amount(now) < min(demand, entitlement):
                return None
            self.granted[key] = Lease(lease.amount, max(lease.expires_at, expires_at))
            return LeaseGrant(request.lease_id, lease.amount, request.requested_at)
        amount = min(request.amount, self.grantable(now, demand))
        if amount <= 0:
            return None
        self.granted[key] = Lease(amount, expires_at)  # before the grant goes out
        return LeaseGrant(request.lease_id, amount, request.requested_at)

    def _accept_grant(self, now: float, grantor: str, grant: LeaseGrant) -> None:
        key = AcquiredLeaseKey(grantor, grant.lease_id)
        if key not in self.requested:
            return  # nobody requested it, or it was released since
        expires_at = grant.requested_at + self.terms.usable_ms
        if now >= expires_at:
            return  # it came too late
        lease = self.acquired.get(key)
        if lease is None:
            self.acquired[key] = Lease(grant.amount, expires_at)
        else:
            self.acquired[key] = Lease(min(lease.amount, grant.amount), max(lease.expires_at, expires_at))

    # Time and the other process of this node

    def remove_expired(self, now: float) -> None:
        """Drop leases that have expired; they count no more anyway, this bounds memory."""
        self.granted = {key: lease for key, lease in self.granted.items() if now < lease.expires_at}
        expired = [key for key, lease in self.acquired.items() if now >= lease.expires_at]
        for key in expired:
            del self.acquired[key]
            self.requested.pop(key, None)

    def process_joined(self, now: float, notice_ms: float = 0.0) -> None:
        """Another process of this node runs.

        Args:
            now: The instant.
            notice_ms: At the process that has just started: how long until the other has noticed as well.
                Nothing is used here before, nor while what the other began may go on.
        """
        self.sole_process = False
        if notice_ms:
            self.unusable_until = now + notice_ms + self.terms.completion_ms

    def process_left(self, now: float) -> None:
        """This process is the node's only one again.

        What the other granted nobody here remembers: the entitlement is as after a start.
        """
        if not self.sole_process:
            self.sole_process = True
            self.started_at = now
