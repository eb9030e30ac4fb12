"""One process's part in all budgets that its fleet lends: what it needs, whom it asks, what it may use.

A state machine without I/O over the holdings of `holding.py`, which keep the bound whatever this one does:
it only chooses. Its words are one topic of the peers' datagrams; nothing of it waits for an answer. Times are
float milliseconds of the process's own clock, amounts whole units of which an even part has `PART`.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

from flintridge.leases.allocation import (
    Allocation,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    LeaseTerms,
    Peer,
    Word,
)
from flintridge.leases.messages import MOST_OFFERS, MOST_WORDS, Said, decode, encode, flat, mark_of, word_of
from flintridge.membership.member import Member

PART = 1_000  # units of an even part
FLOORS, COLD, REPEATS = "floors", "cold servers", "repeats"
BY_PACE = (FLOORS, COLD, REPEATS)  # their need is a node's traffic against the mean of all that are heard
LEAST = 50  # units: less is not worth a loan's words
CHUNK = 250  # units of one loan, at the most: a lender gets its part back in pieces
OPEN_ASKS = 4  # at a time, of a budget
AGAIN = 300.0  # ms after which a call that nobody answered is said again
TRIES = 3
QUEUE = 1_000.0  # ms between two calls to lenders that have lent all they can: so they learn who goes without
RENEW_PART = 0.5  # of the time in which a loan may be used is over when it is renewed
OFFER_AGE = 10_000.0  # ms for which an offer counts, from when it was said
PACE_AGE = 20_000.0
# Hysteresis: asked for where this much of what is held is needed, and then for so much more than the need;
# given back where what is left is still so much more. Guards against loans that come and go by chance.
ASK_AT = 0.9
ASK_FOR = 1.15
KEEP = 1.4


@dataclass(slots=True, frozen=True)
class FleetLimit:
    """One that is lent. `whole` is what all nodes together may use, in `unit`."""

    name: str
    whole: float
    unit: str
    nodes: int  # it is cut into so many even parts
    terms: LeaseTerms

    @property
    def mark(self) -> bytes:
        return mark_of(self.name, self.whole, self.nodes, self.terms)


@dataclass(slots=True)
class Offer:
    life: int
    amount: int
    at: float


@dataclass(slots=True)
class Call:
    """One that is not answered yet."""

    life: int
    amount: int
    said_at: float
    tries: int = 1


@dataclass(slots=True)
class Account:
    """One budget here."""

    budget: FleetLimit
    holding: Allocation
    need: float = PART  # units, as last told
    offers: dict[str, Offer] = field(default_factory=dict)
    calls: dict[tuple[str, int], Call] = field(default_factory=dict)
    lenders: dict[tuple[str, int], int] = field(default_factory=dict)  # their lives
    renewed: dict[tuple[str, int], float] = field(default_factory=dict)  # when that was last asked for
    denied: set[tuple[str, int]] = field(default_factory=set)  # loans that will not be renewed
    refused: dict[Peer, tuple[float, int]] = field(
        default_factory=dict
    )  # who lately asked in vain: when, held
    passing_until: float = -math.inf  # by then a loan that goes to another is back
    queue_at: float = -math.inf  # when a lender that has lent all may be asked again
    in_use: Callable[[], float] = lambda: 0.0  # units that cannot be given away at this instant

    @property
    def wanted(self) -> float:
        """Units that this process does not part with."""
        return max(self.need, self.in_use())


class LeaseManager:
    """`told` is called with an event's name and fields for what staff should see."""

    name = "budgets"  # of the topic

    def __init__(
        self,
        peers: tuple[str, ...],
        budgets: tuple[FleetLimit, ...],
        bytes_per_s: float,
        now: float,
        rng: Random,
        told: Callable[..., None] = lambda event, **fields: None,
        make: Callable[[LeaseTerms, float], Allocation] = Allocation,
    ) -> None:
        self.bytes_per_s = bytes_per_s
        self.accounts = {one.name: Account(one, make(one.terms, now)) for one in budgets}
        self.counts: Counter[str] = Counter()
        self.pace = 0.0  # requests a second here, as last told
        self._marks = {one.budget.mark: one for one in self.accounts.values()}
        self._peers = frozenset(peers)
        self._rng = rng
        self._told = told
        self._out: dict[Peer, dict[tuple[bytes, str, int], Word]] = {}  # what is still to be said
        self._paces: dict[str, tuple[float, float]] = {}  # of others, and when that was said
        self._differ: set[str] = set()
        self.leaving = False

    # What may be used

    def usable(self, name: str, now: float) -> float:
        """Of that budget at this instant, in even parts."""
        return self.accounts[name].holding.usable(now) / PART

    def after(self, name: str, now: float) -> float:
        """What of it may be used at any later instant if nothing more is heard, in even parts."""
        return self.accounts[name].holding.after(now) / PART

    def until(self, now: float) -> float:
        """The instant at which the first loan had here ends; infinite where there is none."""
        return min((one.holding.until(now) for one in self.accounts.values()), default=math.inf)

    # What is needed

    def need(self, name: str, parts: float) -> None:
        """So much of that budget is needed here, in even parts, as lately seen."""
        account = self.accounts[name]
        account.need = min(parts, account.budget.nodes) * PART

    def uses(self, name: str, in_use: Callable[[], float]) -> None:
        """`in_use` tells how much of that budget, in even parts, is taken up at this instant: places, which
        come free only when what was begun there has ended."""
        self.accounts[name].in_use = lambda: in_use() * PART

    def waiting(self) -> list[Peer]:
        """Lives for which there are words, which need not wait for the next datagram."""
        return list(self._out)

    def unheard(self, peer: Peer) -> None:
        """That life is not heard (any more): what was to be said to it is lost, as a datagram would be."""
        self._out.pop(peer, None)

    def tick(self, now: float) -> None:
        """To be called every 50 ms or so."""
        if not self.leaving:
            self._need_by_paces(now)
        for account in self.accounts.values():
            self._end(account, now)
            self._repeat(account, now)
            self._give_back(account, now)
            if not self.leaving:
                self._renew(account, now)
                self._ask(account, now)

    def leave(self, now: float) -> None:
        """This process ends in order: what is borrowed goes back as soon as nothing takes it up, and its own
        part is lent beyond its floor, until the loans end."""
        self.leaving = True
        for account in self.accounts.values():
            account.need = 0.0
            for lender, id in [*account.calls]:
                self._forgo(account, lender, id)
            self._give_back(account, now)

    def joined(self, now: float, notice: float = 0.0) -> None:
        """Another process of this node lives; see `Holding.joined`."""
        for account in self.accounts.values():
            account.holding.joined(now, notice)
        self._told("budgets_together")

    def parted(self, now: float) -> None:
        """This process is alone again."""
        for account in self.accounts.values():
            account.holding.parted(now)
        self._told("budgets_alone")

    def _need_by_paces(self, now: float) -> None:
        """What is cut by nodes is needed by traffic: its pace against the mean of those heard."""
        paces = [pace for pace, at in self._paces.values() if now < at + PACE_AGE]
        mean = (sum(paces) + self.pace) / (len(paces) + 1)
        for name in BY_PACE:
            if name in self.accounts:
                self.need(name, self.pace / mean if paces and mean > 0 else 1.0)

    # Borrowing

    def _end(self, account: Account, now: float) -> None:
        holding = account.holding
        for key, loan in holding.borrowed.items():
            if now >= loan.until:
                self.counts["expired"] += 1
                if account.need > holding.usable(now):
                    self._told("budgets_lease_over", budget=account.budget.name, lender=key[0])
                self._over(account, key)
        holding.look(now)

    @staticmethod
    def _over(account: Account, key: tuple[str, int]) -> int | None:
        """What was known of a loan beside it goes with it, however it ended: guards a long day. Its lender's
        life."""
        account.renewed.pop(key, None)
        account.denied.discard(key)
        return account.lenders.pop(key, None)

    def _repeat(self, account: Account, now: float) -> None:
        for (lender, id), call in [*account.calls.items()]:
            if now < call.said_at + AGAIN:
                continue
            if call.tries >= TRIES:
                self.counts["unanswered"] += 1
                account.offers.pop(lender, None)
                self._forgo(account, lender, id)
                continue
            call.tries, call.said_at = call.tries + 1, now
            ask = LeaseRequest(id, call.amount, now, account.holding.usable(now))
            self._say((lender, call.life), account, ask)

    def _forgo(self, account: Account, lender: str, id: int) -> None:
        call = account.calls.pop((lender, id), None)
        lender_life = self._over(account, (lender, id))
        life = lender_life if call is None else call.life
        give = account.holding.forgo(lender, id)
        if life is not None:
            self._say((lender, life), account, give)

    def _renew(self, account: Account, now: float) -> None:
        holding, use = account.holding, account.budget.terms.use
        for (lender, id), loan in [*holding.borrowed.items()]:
            key = lender, id
            due = now >= loan.until - (1 - RENEW_PART) * use and now < loan.until
            if not due or key in account.denied or now < account.renewed.get(key, -math.inf) + AGAIN:
                continue
            ask = holding.renew(now, lender, id)
            if ask is not None:
                account.renewed[key] = now
                self._say((lender, account.lenders[key]), account, ask._replace(held=holding.usable(now)))

    def _give_back(self, account: Account, now: float) -> None:
        holding = account.holding
        keep = max(account.in_use(), 0.0 if self.leaving else KEEP * account.need + LEAST)
        for (lender, id), loan in [*holding.borrowed.items()]:
            if holding.usable(now) - loan.amount >= keep:
                self.counts["given_back"] += 1
                self._forgo(account, lender, id)

    def _ask(self, account: Account, now: float) -> None:
        holding = account.holding
        held = holding.usable(now)
        if account.need < ASK_AT * held or not holding.alone:
            return
        short = ASK_FOR * account.need + LEAST - held - sum(call.amount for call in account.calls.values())
        for lender, offer in self._by_chance(account, now):
            if short < LEAST or len(account.calls) >= OPEN_ASKS:
                return
            amount = min(CHUNK, math.ceil(short), offer.amount)
            self._call(account, lender, amount, held, now)
            offer.amount -= amount
            short -= amount
        if short >= LEAST and now >= account.queue_at and account.offers:
            account.queue_at = now + QUEUE
            lender = self._rng.choice(list(account.offers))
            self._call(account, lender, min(CHUNK, math.ceil(short)), held, now)

    def _call(self, account: Account, lender: str, amount: int, held: int, now: float) -> None:
        ask, life = account.holding.ask(now, lender, amount), account.offers[lender].life
        account.calls[lender, ask.id] = Call(life, amount, now)
        self._say((lender, life), account, ask._replace(held=held))
        self.counts["asked"] += 1

    def _by_chance(self, account: Account, now: float) -> Iterator[tuple[str, Offer]]:
        """Offers that still count, larger ones likelier first. Guards the largest against all who need."""
        asked = {lender for lender, _ in account.calls}
        account.offers = {
            lender: offer for lender, offer in account.offers.items() if now < offer.at + OFFER_AGE
        }
        good = [
            (lender, offer)
            for lender, offer in account.offers.items()
            if offer.amount >= LEAST and lender not in asked
        ]
        good.sort(key=lambda one: math.log(1 - self._rng.random()) / one[1].amount, reverse=True)
        return iter(good)

    # The topic

    def payload_for(self, now: float, to: Member, room: int) -> bytes | None:
        """The fact for a datagram to that life."""
        peer = to.name, to.incarnation
        words = self._out.get(peer, {})
        flats = [flat(mark, word) for (mark, _, _), word in words.items()][:MOST_WORDS]
        offers = [
            (mark, spare)
            for mark, one in self._marks.items()
            # Nothing to spare, but lent: who goes without is to ask all the same.
            if (spare := self._lendable(one, now)) >= LEAST or one.holding.lent
        ][:MOST_OFFERS]
        if not flats and not offers and not any(name in self.accounts for name in BY_PACE):
            return None
        while True:
            data = encode(Said(round(self.pace, 1), tuple(offers), tuple(flats)))
            if len(data) <= room:
                break
            if not offers and not flats:
                return None
            (offers or flats).pop()
        for mark, kind, id, *_ in flats:
            words.pop((mark, ("LeaseRequest", "LeaseGrant", "LeaseRelease")[kind], id), None)
        if not words:
            self._out.pop(peer, None)
        return data

    def receive_payload(self, now: float, name: str, life: int, as_of: float, data: bytes) -> None:
        """What a peer said, at `as_of` or later."""
        said = decode(data)
        if said is None or name not in self._peers:
            self.counts["malformed"] += 1
            return
        self._paces[name] = said.pace, as_of
        for account in self.accounts.values():
            account.offers.pop(name, None)
        for mark, amount in said.offers:
            if (account_of := self._marks.get(mark)) is None:
                self._differs(name)
            else:
                account_of.offers[name] = Offer(life, amount, as_of)
        for word in said.words:
            if (account_of := self._marks.get(word[0])) is None:
                self.counts["refused_terms"] += 1
                self._differs(name)
            else:
                self._word(account_of, (name, life), word_of(*word[1:]), now)

    def _differs(self, name: str) -> None:
        """Guards the sum: a part of another size, or of another number of parts, is not the same amount."""
        if name not in self._differ:
            self._differ.add(name)
            self._told("budgets_terms_differ", peer=name)

    def _word(self, account: Account, peer: Peer, word: Word, now: float) -> None:
        holding, key = account.holding, (peer[0], getattr(word, "id", 0))
        match word:
            case LeaseRequest():
                loan = holding.lent.get((peer, word.id))
                need = account.wanted if loan is not None else self._kept(account)
                turn = self._is_its_turn(account, peer, word, 0 if loan is None else loan.amount, now)
                enough = loan is not None or self._lendable(account, now) >= min(LEAST, word.amount)
                grant = holding.hear(now, peer, word, math.ceil(need)) if turn and enough else None
                if grant is None:
                    self.counts["refused_need" if turn else "refused_turn"] += 1
                    if loan is None:
                        account.refused[peer] = now, word.held
                    grant = LeaseGrant(word.id, 0, word.stamp)  # no loan: a word that nothing will come
                elif loan is None:
                    self.counts["lent"] += 1
                    account.refused.pop(peer, None)
                self._say(peer, account, grant)
            case LeaseGrant(id, 0, _):
                if account.calls.pop(key, None) is not None:
                    self.counts["denied"] += 1
                    account.offers.pop(peer[0], None)
                    holding.forgo(peer[0], id)
                elif key in holding.borrowed:
                    account.denied.add(key)
            case LeaseGrant():
                before = key in holding.borrowed
                holding.hear(now, peer, word)
                if key in holding.borrowed:
                    account.calls.pop(key, None)
                    account.lenders[key] = peer[1]
                    self.counts["renewed" if before else "granted"] += 1
            case LeaseRelease():
                holding.hear(now, peer, word)

    @staticmethod
    def _is_its_turn(account: Account, peer: Peer, ask: LeaseRequest, amount: int, now: float) -> bool:
        """Not while another asked here in vain that holds less, by so much that a loan may change hands.
        Guards who comes late against those that hold all there is to lend, and renew it. `amount`: of the
        loan that is to be renewed. One at a time: what changes hands is of no use meanwhile."""
        lasts = account.budget.terms.lasts
        account.refused = {one: said for one, said in account.refused.items() if now < said[0] + lasts}
        if amount and now < account.passing_until:
            return True
        others = [held for one, (_, held) in account.refused.items() if one != peer]
        if not any(held + amount <= ask.held - amount and held < ask.held for held in others):
            return True
        if amount:
            account.passing_until = now + lasts
        return False

    def _kept(self, account: Account) -> float:
        """What a new loan must leave here."""
        return max(account.in_use(), 0.0 if self.leaving else ASK_FOR * account.need + LEAST)

    def _lendable(self, account: Account, now: float) -> int:
        return account.holding.lendable(now, math.ceil(self._kept(account)))

    def _say(self, peer: Peer, account: Account, word: Word) -> None:
        """To be said with the next datagram there. Of one kind and loan the newest word counts; bounded by
        what one process may have open with another."""
        words = self._out.setdefault(peer, {})
        words[account.budget.mark, type(word).__name__, word.id] = word
        while len(words) > MOST_WORDS:
            words.pop(next(iter(words)))  # lost like any other: calls are said again, leases end
