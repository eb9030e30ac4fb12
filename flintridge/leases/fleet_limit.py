"""Fleet-wide limits: their names, their sizes, and the terms on which processes lease parts of them."""

import hashlib
from dataclasses import dataclass

from flintridge.errors import FlintridgeError

EVEN_FRACTION_UNITS = 1_000  # number of units in an even fraction of any limit

# Names of limits. They are part of the digests that processes exchange, and GET /admin/budgets shows them.
FLOORS = "floors"  # lower bounds of the concurrency limiters
SLOW_START = "cold servers"  # work sent to servers that are warming up
RETRIES = "repeats"
CACHE_PERMITS = "cache places"  # attempts in flight at the cache servers
ORIGIN_PERMITS = "origin places"


class LeaseTermsError(FlintridgeError, ValueError):
    """The terms of a limit's leases contradict one another."""


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """The terms of a limit's leases, which are the same at all processes.

    Attributes:
        even_fraction: Units to which each process is entitled: the limit divided by the number of nodes.
        floor: Units of the even fraction that are never granted.
        lease_ms: Duration of a lease by the lessee's clock.
        clock_drift: Largest deviation of a clock's speed from true time, as a fraction.
        completion_ms: Longest time for which work that began under a lease may go on. No work begins in the
            last `completion_ms` of a lease.
    """

    even_fraction: int
    floor: int
    lease_ms: float = 4_000.0
    clock_drift: float = 0.02
    completion_ms: float = 0.0

    def __post_init__(self) -> None:
        """Check that the terms are consistent.

        Raises:
            LeaseTermsError: The terms contradict one another.
        """
        if not 0 <= self.floor <= self.even_fraction:
            raise LeaseTermsError(
                f"floor {self.floor} must be from 0 to the even fraction of {self.even_fraction}"
            )
        if not self.lease_ms > 0 or not 0 <= self.clock_drift < 0.5:
            raise LeaseTermsError(
                f"lease_ms {self.lease_ms:g} must be over 0, "
                f"clock_drift {self.clock_drift:g} from 0 to under 0.5"
            )
        if not 0 <= self.completion_ms < self.lease_ms:
            raise LeaseTermsError(
                f"completion_ms {self.completion_ms:g} must be from 0 "
                f"to under the lease_ms of {self.lease_ms:g}"
            )

    @property
    def usable_ms(self) -> float:
        """Time for which a lease may be used, by the lessee's clock."""
        return self.lease_ms - self.completion_ms

    @property
    def grantor_lease_ms(self) -> float:
        """Time for which the grantor counts a lease as granted, by its own clock.

        When this time has passed by one clock, `lease_ms` has passed by every other clock that was started no
        later.
        """
        return self.lease_ms * (1 + self.clock_drift) / (1 - self.clock_drift)


@dataclass(slots=True, frozen=True)
class FleetLimit:
    """A limit on what all nodes together may use.

    Attributes:
        name: Name of the limit, the same at all nodes.
        total: Amount that all nodes together may use, in `unit`.
        unit: Unit as shown to operators, such as "requests a second".
        nodes: Number of even fractions into which the limit is divided, one for each node.
        terms: Terms of the limit's leases.
    """

    name: str
    total: float
    unit: str
    nodes: int
    terms: LeaseTerms

    @property
    def digest(self) -> bytes:
        """Four bytes that identify the limit and its terms.

        The floor is left out, since each process may choose how much of its own even fraction it grants.
        """
        terms = self.terms
        text = (
            f"{self.name}\n{self.total!r}\n{self.nodes}\n{terms.even_fraction}\n"
            f"{terms.lease_ms!r}\n{terms.clock_drift!r}\n{terms.completion_ms!r}"
        )
        return hashlib.blake2b(text.encode(), digest_size=4, person=b"flintridge-budg").digest()

    @property
    def even_amount(self) -> float:
        """Size of an even fraction, in `unit`."""
        return self.total / self.nodes
