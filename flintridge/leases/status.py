"""The status of one limit, as GET /admin/budgets shows it."""

from typing import Any

from flintridge.leases.account import Account
from flintridge.leases.allocation import Lease
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS


def limit_status(account: Account, used: float, now: float) -> dict[str, Any]:
    """The JSON object of a limit.

    Args:
        account: The limit at this process.
        used: What was used of late, in the limit's unit.
        now: The instant, in milliseconds of the process's clock.

    Returns:
        Its fields, by the names that clients of the admin API read. Amounts are in even fractions, but
        `whole`, `even` and `used` in the limit's unit.
    """
    limit = account.limit
    allocation = account.allocation
    return {
        "name": limit.name,
        "whole": round(limit.total, 3),
        "unit": limit.unit,
        "even": round(limit.even_amount, 3),
        "own": allocation.entitlement(now) / EVEN_FRACTION_UNITS,
        "usable": allocation.usable(now) / EVEN_FRACTION_UNITS,
        "need": round(account.demand / EVEN_FRACTION_UNITS, 3),
        "used": round(used, 1),
        "lent": [
            {
                "to": key.lessee.name,
                "life": f"{key.lessee.incarnation:x}",
                **_lease_status(lease, now),
            }
            for key, lease in allocation.granted.items()
            if now < lease.expires_at
        ],
        "borrowed": [
            {"from": key.grantor, **_lease_status(lease, now)}
            for key, lease in allocation.acquired.items()
            if now < lease.expires_at
        ],
    }


def _lease_status(lease: Lease, now: float) -> dict[str, Any]:
    return {
        "amount": lease.amount / EVEN_FRACTION_UNITS,
        "ends_in_ms": round(lease.expires_at - now),
    }
