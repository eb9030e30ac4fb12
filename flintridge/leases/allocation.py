"""One process's holding in a budget of the whole fleet: its own part, what it lent and what it borrowed.

The rule: at every instant the sum of what all processes may use is at most the budget, whatever is lost,
doubled, late, reordered, paused, killed or started anew, with clocks that share no time and are off by at
most `drift`.

- A part is a name's by right, with nobody heard. `floor` of it is never lent.
- The lender takes what it lends off its own part before it says so, and counts it as lent for `lasts`, longer
  than the lease by what two clocks can run apart, by its own clock from the grant on.
- The borrower counts its lease by its own clock from when it *asked*, which was before the grant.
- A process that has just begun holds its floor alone, as long as a loan may last that one before it gave.
- What is given back counts no more at the borrower before it says so.

Times are float milliseconds of the process's own monotonic clock, amounts whole units of the budget.
"""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

Peer = tuple[str, int]  # a name and a life


class LeaseRequest(NamedTuple):
    """May I have so much? Said again with a new stamp it renews loan `id`, whose amount stays. `held`: what
    its process may use just now, for a lender to choose by who shall have it."""

    id: int
    amount: int
    stamp: float  # when, by the borrower's clock; the grant says it back
    held: int = 0


class LeaseGrant(NamedTuple):
    id: int
    amount: int
    stamp: float


class LeaseRelease(NamedTuple):
    """The loan is over: I use nothing of it any more."""

    id: int


Word = LeaseRequest | LeaseGrant | LeaseRelease


@dataclass(slots=True, frozen=True)
class LeaseTerms:
    """Of a budget, the same at all processes."""

    part: int  # of each name: the budget in even parts
    floor: int  # of it, never lent
    lease: float = 4_000.0  # ms, by the borrower's clock
    drift: float = 0.02  # most by which a clock runs faster or slower than true time, as a share
    keep: float = (
        0.0  # ms for which what was begun with a loan may still go on: nothing begins in the last of it
    )

    def __post_init__(self) -> None:
        if not 0 <= self.floor <= self.part:
            raise ValueError(f"floor {self.floor} must be from 0 to the part of {self.part}")
        if not self.lease > 0 or not 0 <= self.drift < 0.5:
            raise ValueError(f"lease {self.lease:g} must be over 0, drift {self.drift:g} from 0 to under 0.5")
        if not 0 <= self.keep < self.lease:
            raise ValueError(f"keep {self.keep:g} must be from 0 to under the lease of {self.lease:g}")

    @property
    def use(self) -> float:
        """Milliseconds by the borrower's clock in which a loan may be used."""
        return self.lease - self.keep

    @property
    def lasts(self) -> float:
        """Milliseconds by one clock in which a lease is over by any other that began no later."""
        return self.lease * (1 + self.drift) / (1 - self.drift)


@dataclass(slots=True, frozen=True)
class Lease:
    amount: int
    until: float


@dataclass(slots=True)
class Allocation:
    """Of one life. `alone` is False while another process of this node lives: each then uses half, and lends
    nothing. Words that fit nothing are dropped."""

    terms: LeaseTerms
    begun: float
    alone: bool = True
    quiet_until: float = float("-inf")  # nothing is used before: the other process has not noticed yet
    lent: dict[tuple[Peer, int], Lease] = field(default_factory=dict)
    borrowed: dict[tuple[str, int], Lease] = field(default_factory=dict)  # by the lender's name
    asked: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # what is open: by the lender's name, amount
    last_id: int = 0

    def copy(self) -> "Allocation":
        return replace(self, lent=dict(self.lent), borrowed=dict(self.borrowed), asked=dict(self.asked))

    # What may be used

    def usable(self, now: float) -> int:
        """At this instant. To be asked at each use: a process that was stopped finds its leases over."""
        if now < self.quiet_until:
            return 0
        borrowed = sum(loan.amount for loan in self.borrowed.values() if now < loan.until)
        whole = max(0, self.own(now) - self._out(now)) + borrowed
        return whole if self.alone else whole // 2

    def after(self, now: float) -> int:
        """What may be used at any later instant at which nothing more was heard: nothing borrowed, and no
        more of its own than now."""
        if now < self.quiet_until:
            return 0
        whole = max(0, self.own(now) - self._out(now))
        return whole if self.alone else whole // 2

    def until(self, now: float) -> float:
        """The first end of what is borrowed; infinite where nothing is."""
        return min((loan.until for loan in self.borrowed.values() if now < loan.until), default=float("inf"))

    def own(self, now: float) -> int:
        """Its part. At first its floor: the life before it may have lent the rest, and nobody remembers."""
        return self.terms.part if now >= self.begun + self.terms.lasts else self.terms.floor

    def lendable(self, now: float, need: int = 0) -> int:
        """Beyond its floor, and beyond what it needs itself."""
        if not self.alone:
            return 0
        return max(0, self.own(now) - self._out(now) - max(self.terms.floor, need))

    def _out(self, now: float) -> int:
        return sum(loan.amount for loan in self.lent.values() if now < loan.until)

    # Words

    def ask(self, now: float, lender: str, amount: int) -> LeaseRequest:
        self.last_id += 1
        self.asked[lender, self.last_id] = amount
        return LeaseRequest(self.last_id, amount, now)

    def renew(self, now: float, lender: str, id: int) -> LeaseRequest | None:
        """None where there is no such loan, or it is over."""
        loan = self.borrowed.get((lender, id))
        return LeaseRequest(id, loan.amount, now) if loan is not None and now < loan.until else None

    def give(self, now: float, lender: str, id: int) -> LeaseRelease | None:
        """It counts no more from here on, whether or not the lender hears of it."""
        self.asked.pop((lender, id), None)
        return LeaseRelease(id) if self.borrowed.pop((lender, id), None) is not None else None

    def forgo(self, lender: str, id: int) -> LeaseRelease:
        """A call that nobody answered is taken back: a grant that comes later counts nothing here, and the
        lender need not wait for its end."""
        self.asked.pop((lender, id), None)
        self.borrowed.pop((lender, id), None)
        return LeaseRelease(id)

    def hear(self, now: float, peer: Peer, word: Word, need: int = 0) -> Word | None:
        """Take a word in; the answer to it, if any. `need`: what this process keeps for itself."""
        match word:
            case LeaseRequest():
                return self._lend(now, peer, word, need)
            case LeaseGrant():
                self._borrow(now, peer[0], word)
            case LeaseRelease(id):
                self.lent.pop((peer, id), None)
        return None

    def _lend(self, now: float, peer: Peer, ask: LeaseRequest, need: int) -> LeaseGrant | None:
        key, until = (peer, ask.id), now + self.terms.lasts
        loan = self.lent.get(key)
        if loan is not None and now < loan.until:
            # Guards this process's own need: what it lent comes back for it at the end, and no earlier.
            if not self.alone or self.own(now) - self._out(now) < min(need, self.own(now)):
                return None  # it ends by itself
            self.lent[key] = Lease(loan.amount, max(loan.until, until))
            return LeaseGrant(ask.id, loan.amount, ask.stamp)
        amount = min(ask.amount, self.lendable(now, need))
        if amount <= 0:
            return None
        self.lent[key] = Lease(amount, until)  # before a word of it goes out
        return LeaseGrant(ask.id, amount, ask.stamp)

    def _borrow(self, now: float, lender: str, grant: LeaseGrant) -> None:
        key = lender, grant.id
        # What was not asked for, or was given back since, is not one's own; nor what came too late.
        if key not in self.asked or now >= (until := grant.stamp + self.terms.use):
            return
        known = self.borrowed.get(key)
        amount = grant.amount if known is None else min(known.amount, grant.amount)
        self.borrowed[key] = Lease(amount, until if known is None else max(known.until, until))

    # Time

    def look(self, now: float) -> None:
        """Drop what is over; nothing of it counts any more, this bounds memory."""
        self.lent = {key: loan for key, loan in self.lent.items() if now < loan.until}
        over = [key for key, loan in self.borrowed.items() if now >= loan.until]
        for key in over:
            del self.borrowed[key]
            self.asked.pop(key, None)

    def joined(self, now: float, notice: float = 0.0) -> None:
        """Another process of this node lives. `notice`, at the one that has just begun: milliseconds until
        the other has noticed as well; nothing is used here before, nor while what that began may go on."""
        self.alone = False
        if notice:
            self.quiet_until = now + notice + self.terms.keep

    def parted(self, now: float) -> None:
        """This process is alone again. What the other lent nobody here remembers: as after a start."""
        if not self.alone:
            self.alone, self.begun = True, now
