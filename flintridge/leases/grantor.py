"""How a process answers requests for leases: whether it can grant them, and which lessee has priority."""

import math
from collections import Counter
from collections.abc import Callable

from flintridge.leases.account import MIN_LEASE_UNITS, Account, DeniedLessee
from flintridge.leases.allocation import GrantedLeaseKey, Lease, ProcessId
from flintridge.leases.messages import LeaseGrant, LeaseMessage, LeaseRequest


class Grantor:
    """Answers requests for leases. The accounts hold all state; this class has none of its own."""

    def __init__(
        self, send: Callable[[ProcessId, Account, LeaseMessage], None], counts: Counter[str]
    ) -> None:
        """Create a grantor.

        Args:
            send: Sends a message about an account's limit to a process.
            counts: Counts grants and denials, by outcome.
        """
        self._send = send
        self._counts = counts

    def on_request(self, account: Account, lessee: ProcessId, request: LeaseRequest, now: float) -> None:
        """Grant or deny a request for a new lease or for a renewal."""
        allocation = account.allocation
        lease = allocation.granted.get(GrantedLeaseKey(lessee, request.lease_id))
        demand = account.grant_reserve if lease is None else account.demand_or_use
        has_priority = self._has_priority(account, lessee, request, lease, now)
        has_enough = lease is not None or account.grantable(now) >= min(MIN_LEASE_UNITS, request.amount)
        grant = None
        if has_priority and has_enough:
            grant = allocation.receive(now, lessee, request, math.ceil(demand))
        if grant is None:
            self._counts["refused_need" if has_priority else "refused_turn"] += 1
            if lease is None:
                account.denied_lessees[lessee] = DeniedLessee(now, request.usable)
            grant = LeaseGrant(request.lease_id, 0, request.requested_at)
        elif lease is None:
            self._counts["lent"] += 1
            account.denied_lessees.pop(lessee, None)
        self._send(lessee, account, grant)

    @staticmethod
    def _has_priority(
        account: Account, lessee: ProcessId, request: LeaseRequest, lease: Lease | None, now: float
    ) -> bool:
        """Whether no other process has priority over this lessee.

        A process whose request was denied here has priority over a lessee that may use more units. A renewal
        is denied only if the lessee may still use at least as much as that process once the lease has been
        handed over. Without this rule, processes that acquired all available leases would renew them and
        leave nothing to a process that comes later. Only one lease at a time is handed over, because no
        process can use its units until it expires.
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
        another_has_priority = any(
            denied.usable + amount <= request.usable - amount and denied.usable < request.usable
            for process, denied in account.denied_lessees.items()
            if process != lessee
        )
        if not another_has_priority:
            return True
        if amount:
            account.handover_until = now + retention_ms
        return False
