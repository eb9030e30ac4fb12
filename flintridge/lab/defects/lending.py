"""Mistakes that a holding could have, one for each clause of its rule; the explorer must find each."""

from dataclasses import dataclass, replace

from flintridge.leases.allocation import Allocation, Lease, LeaseGrant, LeaseRelease, LeaseRequest, Peer, Word


@dataclass(slots=True)
class CreditBeforeDebit(Allocation):
    """It grants without taking the loan off its own part."""

    def _lend(self, now: float, peer: Peer, ask: LeaseRequest, need: int) -> LeaseGrant | None:
        amount = min(ask.amount, self.lendable(now, need))
        return LeaseGrant(ask.id, amount, ask.stamp) if amount > 0 else None


@dataclass(slots=True)
class LeaseFromArrival(Allocation):
    """The borrower counts its lease from when the grant came in."""

    def _borrow(self, now: float, lender: str, grant: LeaseGrant) -> None:
        Allocation._borrow(self, now, lender, grant._replace(stamp=now))


@dataclass(slots=True)
class NoMarginForDrift(Allocation):
    """The lender counts a loan as over after the lease, whatever the borrower's clock does."""

    def _lend(self, now: float, peer: Peer, ask: LeaseRequest, need: int) -> LeaseGrant | None:
        grant = Allocation._lend(self, now, peer, ask, need)
        if grant is not None:
            self.lent[peer, ask.id] = Lease(grant.amount, now + self.terms.lease)
        return grant


@dataclass(slots=True)
class LoansForgotten(Allocation):
    """A process that starts anew holds its whole part at once."""

    def own(self, now: float) -> int:
        return self.terms.part


@dataclass(slots=True)
class NoFloor(Allocation):
    """It lends all that it has."""

    def lendable(self, now: float, need: int = 0) -> int:
        return max(0, self.own(now) - self._out(now))


@dataclass(slots=True)
class UsedAfterGivenBack(Allocation):
    """It goes on using what it said it gives back."""

    def give(self, now: float, lender: str, id: int) -> LeaseRelease | None:
        return LeaseRelease(id) if (lender, id) in self.borrowed else None


@dataclass(slots=True)
class DoubledGrantCountsTwice(Allocation):
    """Each grant that comes in is added."""

    def _borrow(self, now: float, lender: str, grant: LeaseGrant) -> None:
        known = self.borrowed.get((lender, grant.id))
        Allocation._borrow(self, now, lender, grant)
        if known is not None and (lender, grant.id) in self.borrowed:
            loan = self.borrowed[lender, grant.id]
            self.borrowed[lender, grant.id] = replace(loan, amount=known.amount + grant.amount)


@dataclass(slots=True)
class LateGrantAfterGivingBack(Allocation):
    """A grant counts whether or not the loan is still wanted."""

    def _borrow(self, now: float, lender: str, grant: LeaseGrant) -> None:
        self.asked.setdefault((lender, grant.id), grant.amount)
        Allocation._borrow(self, now, lender, grant)


@dataclass(slots=True)
class RenewedByAsking(Allocation):
    """A loan goes on as soon as its renewal was asked for."""

    def renew(self, now: float, lender: str, id: int) -> LeaseRequest | None:
        ask = Allocation.renew(self, now, lender, id)
        if ask is not None:
            self.borrowed[lender, id] = replace(self.borrowed[lender, id], until=now + self.terms.lease)
        return ask


@dataclass(slots=True)
class RenewalNotCounted(Allocation):
    """The lender says yes to a renewal and goes by the first lease."""

    def _lend(self, now: float, peer: Peer, ask: LeaseRequest, need: int) -> LeaseGrant | None:
        before = self.lent.get((peer, ask.id))
        grant = Allocation._lend(self, now, peer, ask, need)
        if before is not None and now < before.until:
            self.lent[peer, ask.id] = before
        return grant


@dataclass(slots=True)
class LeasesNotLookedAt(Allocation):
    """What was borrowed counts until the next look, also after a pause."""

    def usable(self, now: float) -> int:
        borrowed = sum(loan.amount for loan in self.borrowed.values())
        return max(0, self.own(now) - self._out(now)) + borrowed


@dataclass(slots=True)
class AnotherLifesLoanEnds(Allocation):
    """What is given back ends all loans of that number."""

    def hear(self, now: float, peer: Peer, word: Word, need: int = 0) -> Word | None:
        if isinstance(word, LeaseRelease):
            self.lent = {key: loan for key, loan in self.lent.items() if key[1] != word.id}
            return None
        return Allocation.hear(self, now, peer, word, need)


LENDING: tuple[type[Allocation], ...] = (
    CreditBeforeDebit,
    LeaseFromArrival,
    NoMarginForDrift,
    LoansForgotten,
    NoFloor,
    UsedAfterGivenBack,
    DoubledGrantCountsTwice,
    LateGrantAfterGivingBack,
    RenewedByAsking,
    RenewalNotCounted,
    LeasesNotLookedAt,
    AnotherLifesLoanEnds,
)
