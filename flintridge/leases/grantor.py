"""How a process answers requests for leases: whether it can grant them, and whose turn it is."""

import math
from collections import Counter
from collections.abc import Callable

from flintridge.leases.account import MIN_LEASE_UNITS, Account, DeniedLessee
from flintridge.leases.allocation import GrantedLeaseKey, Lease, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRequest


class Grantor:
    """Answers requests for leases. Keeps no state of its own: that is in the accounts."""

    def __init__(
        self, send: Callable[[ProcessId, Account, LeaseMessage], None], counts: Counter[str]
    ) -> None:
        """Create a grantor.

        Args:
            send: Sends a message about an account's limit to a process.
            counts: Where grants and denials are counted.
        """
        self._send = send
        self._counts = counts

    def on_request(self, account: Account, lessee: ProcessId, request: LeaseRequest, now: float) -> None:
        """Grant a request, for a new lease or a renewal, or deny it."""
        allocation = account.allocation
        lease = allocation.granted.get(GrantedLeaseKey(lessee, request.lease_id))
        demand = account.grant_reserve if lease is None else account.demand_or_use
        in_turn = self._is_in_turn(account, lessee, request, lease, now)
        enough = lease is not None or account.grantable(now) >= min(MIN_LEASE_UNITS, request.amount)
        grant = None
        if in_turn and enough:
            grant = allocation.receive(now, lessee, request, math.ceil(demand))
        if grant is None:
            self._counts["refused_need" if in_turn else "refused_turn"] += 1
            if lease is None:
                account.denied_lessees[lessee] = DeniedLessee(now, request.usable)
            grant = LeaseGrant(request.lease_id, 0, request.requested_at)
        elif lease is None:
            self._counts["lent"] += 1
            account.denied_lessees.pop(lessee, None)
        self._send(lessee, account, grant)

    @staticmethod
    def _is_in_turn(
        account: Account, lessee: ProcessId, request: LeaseRequest, lease: Lease | None, now: float
    ) -> bool:
        """Whether no other process goes before this lessee.

        Another does that requested a lease here in vain and may use less, by so much that a lease may change
        hands. Guards who comes late against those that have acquired all there is to grant, and renew it.
        Only one lease at a time changes hands: meanwhile it is of no use to anybody.
        """
        retention_ms = account.limit.terms.grantor_lease_ms
        account.denied_lessees = {
            process: denied
            for process, denied in account.denied_lessees.items()
            if now < denied.denied_at + retention_ms
        }
        amount = 0 if lease is None else lease.amount
        if amount and now < account.handover_until:
            return True
        someone_is_first = any(
            denied.usable + amount <= request.usable - amount and denied.usable < request.usable
            for process, denied in account.denied_lessees.items()
            if process != lessee
        )
        if not someone_is_first:
            return True
        if amount:
            account.handover_until = now + retention_ms
        return False
