"""Fleet-wide limits: their names, their sizes, and the terms under which processes lease parts of them."""

import hashlib
from dataclasses import dataclass

from flintridge.errors import FlintridgeError

EVEN_FRACTION_UNITS = 1_000  # an even fraction of any limit is counted in so many units

# Names of limits. They are hashed into the digests that processes exchange and shown by GET /admin/budgets.
FLOORS = "floors"  # what the concurrency limiters let through at least
SLOW_START = "cold servers"  # the work for servers that are warming up
RETRIES = "repeats"
CACHE_PERMITS = "cache places"  # attempts in flight at the cache servers
ORIGIN_PERMITS = "origin places"


class LeaseTermsError(FlintridgeError, ValueError):
    """Terms of leases that contradict one another."""


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """The terms of a limit's leases, the same at all processes.

    Attributes:
        even_fraction: Units to which each process is entitled: the limit divided by the number of nodes.
        floor: Units of it that are never granted.
        lease_ms: How long a lease lasts by the lessee's clock.
        clock_drift: Most by which a clock runs faster or slower than true time, as a fraction.
        completion_ms: For how long work that began under a lease may still go on; none begins in the last
            `completion_ms` of a lease.
    """

    even_fraction: int
    floor: int
    lease_ms: float = 4_000.0
    clock_drift: float = 0.02
    completion_ms: float = 0.0

    def __post_init__(self) -> None:
        """Check that the terms fit together.

        Raises:
            LeaseTermsError: They do not.
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
        """For how long a lease may be used, by the lessee's clock."""
        return self.lease_ms - self.completion_ms

    @property
    def grantor_lease_ms(self) -> float:
        """For how long the grantor counts a lease, by its own clock.

        After that time by any clock, the lease is over by every other clock that began no later.
        """
        return self.lease_ms * (1 + self.clock_drift) / (1 - self.clock_drift)


@dataclass(slots=True, frozen=True)
class FleetLimit:
    """A limit on what all nodes together may use.

    Attributes:
        name: Its name, the same at all nodes.
        total: What all nodes together may use, in `unit`.
        unit: For operators, such as "requests a second".
        nodes: The number of even fractions into which it is divided.
        terms: The terms of its leases.
    """

    name: str
    total: float
    unit: str
    nodes: int
    terms: LeaseTerms

    @property
    def digest(self) -> bytes:
        """Four bytes that stand for the limit and its terms.

        The floor is left out: how much of its own fraction a process grants is its own choice.
        """
        terms = self.terms
        text = (
            f"{self.name}\n{self.total!r}\n{self.nodes}\n{terms.even_fraction}\n"
            f"{terms.lease_ms!r}\n{terms.clock_drift!r}\n{terms.completion_ms!r}"
        )
        return hashlib.blake2b(text.encode(), digest_size=4, person=b"flintridge-budg").digest()

    @property
    def even_amount(self) -> float:
        """One even fraction, in `unit`."""
        return self.total / self.nodes
