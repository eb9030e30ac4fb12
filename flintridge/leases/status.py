"""The status of one limit, as GET /admin/budgets shows it.

The encoded names are part of the admin API. Amounts are in even fractions unless stated otherwise.
"""

from typing import Any

import msgspec

from flintridge.leases.account import Account
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS


class GrantedLeaseStatus(
    msgspec.Struct, frozen=True, kw_only=True, rename={"lessee": "to", "incarnation": "life"}
):
    """A lease that this process granted to another one."""

    lessee: str
    incarnation: str  # hexadecimal
    amount: float
    ends_in_ms: int


class AcquiredLeaseStatus(msgspec.Struct, frozen=True, kw_only=True, rename={"grantor": "from"}):
    """A lease that this process acquired from another one."""

    grantor: str
    amount: float
    ends_in_ms: int


class LimitStatus(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "total": "whole",
        "even_amount": "even",
        "entitlement": "own",
        "demand": "need",
        "granted": "lent",
        "acquired": "borrowed",
    },
):
    """One limit at one process."""

    name: str
    total: float  # in `unit`
    unit: str
    even_amount: float  # in `unit`
    entitlement: float
    usable: float
    demand: float
    used: float  # recent use, in `unit`
    granted: list[GrantedLeaseStatus]
    acquired: list[AcquiredLeaseStatus]


def limit_status(account: Account, used: float, now: float) -> dict[str, Any]:
    """Build the JSON object of a limit.

    Args:
        account: Account of the limit at this process.
        used: Recent use of the limit, in its unit.
        now: The current time in milliseconds of the process's clock.
    """
    limit = account.limit
    allocation = account.allocation
    status = LimitStatus(
        name=limit.name,
        total=round(limit.total, 3),
        unit=limit.unit,
        even_amount=round(limit.even_amount, 3),
        entitlement=allocation.entitlement(now) / EVEN_FRACTION_UNITS,
        usable=allocation.usable(now) / EVEN_FRACTION_UNITS,
        demand=round(account.demand / EVEN_FRACTION_UNITS, 3),
        used=round(used, 1),
        granted=_granted(account, now),
        acquired=_acquired(account, now),
    )
    values: dict[str, Any] = msgspec.to_builtins(status)
    return values


def _granted(account: Account, now: float) -> list[GrantedLeaseStatus]:
    return [
        GrantedLeaseStatus(
            lessee=key.lessee.name,
            incarnation=f"{key.lessee.incarnation:x}",
            amount=lease.amount / EVEN_FRACTION_UNITS,
            ends_in_ms=round(lease.expires_at - now),
        )
        for key, lease in account.allocation.granted.items()
        if now < lease.expires_at
    ]


def _acquired(account: Account, now: float) -> list[AcquiredLeaseStatus]:
    return [
        AcquiredLeaseStatus(
            grantor=key.grantor,
            amount=lease.amount / EVEN_FRACTION_UNITS,
            ends_in_ms=round(lease.expires_at - now),
        )
        for key, lease in account.allocation.acquired.items()
        if now < lease.expires_at
    ]
