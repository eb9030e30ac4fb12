"""What one node knows of all lives: merged from words whose age is known, bounded, and never too fresh.

A peer is a name and a life: a process that starts anew under its name, or stands beside another of the name
in an upgrade, is a life of its own. Times are float milliseconds of this node's clock.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from zlib import crc32

from flintridge.membership.messages import MOST_ENTRIES, Entry, State, size

MOST_LIVES = 4  # of a name: old and new of an upgrade, and two that ended lately
REMEMBER = 60_000.0  # a life that ended is known for so long, so that late words of it wake nothing
NEWER = 1_000.0  # a life of which so much more is known than was told is told again,
TELL = 3  # so often
NEWS_PART = 0.5  # of the words in a datagram, at the most: many suspicions must not make all else old
YOUNG_PART = 0.7  # with those that are young; the others are of lives in turn, so that none is left out
DRIFT = 0.02  # most by which two clocks may run apart
QUIET = (
    3_000.0  # where nothing at all was proved for so long, nobody is heard: some datagrams come each second
)
WINDOW = 256  # serial numbers of a life that may come out of order
NEVER = -math.inf
STATES = tuple(State)  # by number: cheaper than a call of the class


@dataclass(slots=True, eq=False)
class Member:
    name: str
    incarnation: int
    refutations: int = 0
    state: State = State.ALIVE
    since: float = 0.0  # of the state
    heard_at: float = NEVER  # it is proved to have lived then, by its own bytes
    told_at: float = NEVER  # the same, by the word of others
    stamp: int = -1  # its newest, and when that came in
    stamp_at: float = 0.0
    round_trip: float | None = (
        None  # the shortest of late: an upper bound, as what it waited there is taken off
    )
    told_best: float = NEVER
    news_left: int = 0  # datagrams that shall still carry word of it
    accused: State | None = None  # what it is still to be told it was held for
    reachable: bool = False  # as last looked
    serial: int = -1  # highest, and which of the WINDOW below it came
    came: int = 0
    bytes_in: int = 0
    refused: int = 0

    @property
    def known_at(self) -> float:
        return max(self.heard_at, self.told_at)

    def first_time(self, serial: int) -> bool:
        """Whether a datagram of that number is the first, and recent. Guards against doubles and replays."""
        ahead = serial - self.serial
        if ahead > 0:
            self.came = ((self.came << min(ahead, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            self.serial = serial
            return True
        if -ahead >= WINDOW or self.came >> -ahead & 1:
            return False
        self.came |= 1 << -ahead
        return True


def _lives(one: Member, since: float) -> bool:
    """What makes a life fresh, where knowledge counts from `since`."""
    return one.state < State.SILENT and one.known_at >= since


def _bit(one: Member, salt: int, length: int) -> int:
    return crc32(one.incarnation.to_bytes(8, "big"), salt) % (8 * length)


@dataclass(slots=True)
class Reachability:
    """What part of the fleet a node hears, itself included, at one moment."""

    names: int  # of the fleet, itself included
    heard: int  # names of which a life is heard, itself included
    epoch: int  # changes whenever a life is heard anew
    since: dict[int, float] = field(
        default_factory=dict
    )  # from when so many names were heard without a break

    @property
    def share(self) -> float:
        return self.heard / self.names

    def hears(self, share: float) -> float | None:
        """From when on at least that share (0 to 1) has been heard without a break; None: it is not."""
        return self.since.get(max(1, math.ceil(share * self.names - 1e-9)))


class MemberTable:
    """`names`: of the peers, as configured. No life of any other name is ever held."""

    def __init__(self, me: str, life: int, names: tuple[str, ...], now: float, rng: Random) -> None:
        self.me, self.incarnation, self.refutations = me, life, 0
        self.names = tuple(name for name in names if name != me)
        self._by_name: dict[str, dict[int, Member]] = {name: {} for name in (*self.names, me)}
        self._rng = rng
        self._turns: list[Member] = []  # whose words go out next
        self._suspects: dict[Member, None] = {}
        self._young: dict[
            Member, int
        ] = {}  # those of which something newer was learned, the latest last: left to tell
        self._proved_at = now  # the newest instant that anything proved
        self._fresh: dict[Member, None] = {}
        self._changed: dict[Member, None] = {}  # what may have become fresh, or ended, since the last look
        self._woke = False  # since then
        self._counted_from = now  # at the last look
        self._oldest = math.inf  # no fresh life was known later than this at the last look at all of them
        self._forget_at = now + REMEMBER
        self.awake_from = now  # what was known before counts no more
        self.reachability = Reachability(len(self.names) + 1, 1, 0, {1: now})
        self.retold = max(4, math.ceil(4 * math.log10(len(self.names) + 2)))  # times that news are passed on
        self._news: list[dict[Member, None]] = [{} for _ in range(self.retold + 1)]  # by how often yet

    # Lives

    def __iter__(self) -> Iterator[Member]:
        for lives in self._by_name.values():
            yield from lives.values()

    def of(self, name: str) -> list[Member]:
        return list(self._by_name.get(name, {}).values())

    def find(self, name: str, life: int) -> Member | None:
        return self._by_name.get(name, {}).get(life)

    def take(self, name: str, life: int, now: float) -> Member | None:
        """That life, made where it is new. None where its name is not of the fleet, or has all the lives that
        it may: guards memory against whoever starts again and again, or makes lives up."""
        lives = self._by_name.get(name)
        if lives is None:
            return None
        if (held := lives.get(life)) is not None:
            return held
        if len(lives) >= MOST_LIVES:
            over = [one for one in lives.values() if not one.reachable]
            if not over:
                return None
            self._drop(min(over, key=lambda one: one.known_at))
        made = lives[life] = Member(name, life, since=now)
        return made

    def forget(self, now: float) -> None:
        if now < self._forget_at:
            return
        self._forget_at = now + REMEMBER / 16
        for lives in self._by_name.values():
            for one in [*lives.values()]:
                if not one.reachable and now > max(one.since, one.known_at) + REMEMBER:
                    self._drop(one)

    def _drop(self, one: Member) -> None:
        del self._by_name[one.name][one.incarnation]
        self._news[one.news_left].pop(one, None)
        self._changed.pop(one, None)
        self._suspects.pop(one, None)
        self._young.pop(one, None)

    # Words

    def speaks(self, one: Member, incarnation: int, as_of: float | None, now: float) -> None:
        """A life's own bytes, sent at `as_of` or later; None: nobody can tell when."""
        if one.state is State.LEFT:
            return
        if incarnation > one.refutations:
            one.refutations, one.accused = incarnation, None
            if one.state is not State.ALIVE:
                self._turn(one, State.ALIVE, now)
        if as_of is None:
            return
        self._learn(one, as_of)
        if as_of > one.heard_at:
            one.heard_at = as_of
        self._proved_at = max(self._proved_at, as_of)
        if one.state is not State.ALIVE and as_of > one.since:
            # Known by its own bytes to have lived after the accusation. It is to be told of it, so that it
            # can refute it before the others: they have not heard it.
            one.accused = one.state
            self._turn(one, State.ALIVE, now, news=False)

    def told(self, entry: Entry, as_of: float, doubt: float, now: float, limit: float) -> None:
        """A word of another node, sent at `as_of` or later. `doubt`: how long a suspicion lasts, in ms."""
        if entry.life == self.incarnation and entry.name == self.me:
            if entry.state in (State.SUSPECT, State.SILENT) and entry.incarnation >= self.refutations:
                self.refutations = entry.incarnation + 1  # it goes with every datagram from now on
            return
        # Guards against a teller whose clock is slow: its ages are too short. Whoever passes them on adds the
        # same small share of the age again.
        known_at, state = as_of - entry.age / (1 - DRIFT), STATES[entry.state]
        one = self.find(entry.name, entry.life)
        if one is None:
            if state >= State.SILENT or known_at < max(now - limit, self.awake_from):
                return  # an old word of a life that is not known any more wakes nothing
            if (one := self.take(entry.name, entry.life, now)) is None:
                return
            one.refutations = entry.incarnation
            if sum(map(len, self._news)) < MOST_ENTRIES:  # to one that has just begun all is new: it is young
                self._tell(one, self.retold)
        if one.state is State.LEFT:
            return
        self._learn(one, known_at)
        if known_at > one.told_at:
            one.told_at = known_at
        if state is State.LEFT:
            self._turn(one, state, now)
        elif entry.incarnation > one.refutations:
            one.refutations, one.accused = entry.incarnation, None
            if state is not one.state:
                self._turn(one, state, now)
        elif entry.incarnation == one.refutations and state > one.state:
            if state is State.SILENT and one.known_at > known_at + doubt:
                state = State.SUSPECT  # it showed life for longer than whoever gave it up knew
            if state > one.state:
                self._turn(one, state, now)

    def suspect(self, one: Member, now: float) -> None:
        """A probe of this node's own failed, directly and through others."""
        if one.state is State.ALIVE:
            self._turn(one, State.SUSPECT, now)

    def doubted(self, now: float, doubt: float) -> None:
        """End suspicions whose time is over: by a sign of life since, or by silence."""
        for one in [*self._suspects]:
            if now >= one.since + doubt:
                lived = one.known_at > one.since
                self._turn(one, State.ALIVE if lived else State.SILENT, now, news=not lived)

    def _learn(self, one: Member, known_at: float) -> None:
        if not one.reachable:
            self._changed[one] = None
        if known_at > one.told_best + NEWER:
            one.told_best = known_at
            self._young.pop(one, None)
            self._young[one] = TELL

    def _turn(self, one: Member, state: State, now: float, news: bool = True) -> None:
        one.state, one.since = state, now
        self._changed[one] = None
        if state is State.SUSPECT:
            self._suspects[one] = None
        else:
            self._suspects.pop(one, None)
        if news:
            self._tell(one, self.retold)

    def _tell(self, one: Member, left: int) -> None:
        """It is news for `left` datagrams more."""
        self._news[one.news_left].pop(one, None)
        one.news_left = left
        if left:
            self._news[left][one] = None

    # What is passed on

    def entry(self, one: Member, now: float, state: State | None = None) -> Entry:
        age = min(now - one.known_at, float((1 << 40) - 1))
        return Entry(
            one.name, one.incarnation, one.refutations, one.state if state is None else state, math.ceil(age)
        )

    def entries(self, to: Member | None, room: float, others: bool, now: float) -> list[Entry]:
        """For a datagram to `to`, in at most `room` bytes: what it is held for itself; and, where words of
        `others` may go, news, what is young, and lives in turn. Only what fits uses up its turn."""
        said: dict[Member, Entry] = {}
        left = room

        def fits(one: Member, keep: float, state: State | None = None) -> bool:
            nonlocal left
            entry = self.entry(one, now, state)
            after = left - size(entry)
            if after < keep:
                return False
            said[one], left = entry, after
            return True

        if to is not None and (to.accused is not None or to.state in (State.SUSPECT, State.SILENT)):
            fits(to, 0.0, to.accused or to.state)
        if not others:
            return [*said.values()]
        told: list[Member] = []
        for turn in reversed(self._news):
            for one in turn:
                if one is to:
                    continue
                if not fits(one, (1 - NEWS_PART) * room):
                    break
                told.append(one)
            else:
                continue
            break
        for one in told:
            self._tell(one, one.news_left - 1)
        told = []
        for one in reversed(self._young):
            if one is to or one.state >= State.SILENT or one in said:
                continue
            if not fits(one, (1 - YOUNG_PART) * room):
                break
            told.append(one)
        for one in told:
            self._young[one] -= 1
            if self._young[one] <= 0:
                del self._young[one]
        looked, again = 0, False
        while looked < 2 * MOST_ENTRIES and len(said) < MOST_ENTRIES:
            if not self._turns:
                if again or not self._fresh:
                    break  # all are in it
                self._turns, again = [*self._fresh], True
                self._rng.shuffle(self._turns)
            one = self._turns[-1]
            looked += 1
            wanted = one is not to and one not in said and one.reachable and one.state < State.SILENT
            if wanted and not fits(one, 0.0):
                break
            self._turns.pop()
        return [*said.values()][:MOST_ENTRIES]

    def heard_bits(self) -> bytes:
        """Who is fresh here, for an exchange that asks for the others: a salt, and eight bits for each name.
        A life has one of them. Two may share it; as the salt is another each time, not for long."""
        bits = bytearray(max(8, len(self.names)))
        salt = self._rng.getrandbits(32)
        for one in self._fresh:
            bit = _bit(one, salt, len(bits))
            bits[bit >> 3] |= 1 << (bit & 7)
        return salt.to_bytes(4, "big") + bits

    def missing(self, bits: bytes) -> list[Member]:
        """The fresh lives that are not among a peer's `heard_bits`; all, where it sent none."""
        fresh = [one for one in self._fresh if one.state < State.SILENT]
        if len(bits) <= 4:
            return fresh
        salt, bits = int.from_bytes(bits[:4], "big"), bits[4:]
        at = ((one, _bit(one, salt, len(bits))) for one in fresh)
        return [one for one, bit in at if not bits[bit >> 3] >> (bit & 7) & 1]

    # What is heard

    @property
    def fresh(self) -> list[Member]:
        """As last looked."""
        return [*self._fresh]

    @property
    def fresh_or_suspect(self) -> list[Member]:
        return [*(self._fresh | self._suspects)]

    def _counts_from(self, now: float, limit: float) -> float:
        """Who is known to have lived then or later is heard."""
        return math.inf if self._proved_at < now - QUIET else max(now - limit, self.awake_from)

    def is_fresh(self, one: Member, now: float, limit: float) -> bool:
        return _lives(one, self._counts_from(now, limit))

    def standing(self, one: Member, now: float, limit: float) -> str:
        """For staff: heard (by its own bytes), through (by the word of others), suspect, silent or left."""
        if one.state is State.LEFT:
            return "left"
        if not self.is_fresh(one, now, limit):
            return "silent"
        if one.state is State.SUSPECT:
            return "suspect"
        return "heard" if one.heard_at >= max(now - limit, self.awake_from) else "through"

    def look(self, now: float, limit: float) -> bool:
        """Bring the view up to `now`; whether the number of names that are heard changed."""
        view, since, some = self.reachability, self._counts_from(now, limit), False
        # What nobody told anything of can only have grown too old, and not before the oldest did.
        every = since > self._oldest or since < self._counted_from
        self._counted_from = since
        if every:
            self._oldest = math.inf
        for one in [*self] if every else self._changed:
            fresh = _lives(one, since)
            if fresh:
                self._oldest = min(self._oldest, one.known_at)
            if fresh is not one.reachable:
                one.reachable, some = fresh, True
                if fresh:
                    self._fresh[one] = None
                    view.epoch += 1
                else:
                    del self._fresh[one]
        self._changed.clear()
        if not some and not self._woke:
            return False
        self._woke = False
        heard = 1 + len({one.name for one in self._fresh} - {self.me})
        if heard == view.heard:
            return False
        for count in range(view.heard + 1, heard + 1):
            view.since[count] = now
        for count in range(heard + 1, view.heard + 1):
            view.since.pop(count, None)
        view.heard = heard
        return True

    def wake(self, now: float) -> None:
        """After a gap in this node's own clock: all is old until it is heard again."""
        self.awake_from, self._woke = now, True
        self._fresh.clear()
        for one in self:
            one.reachable = False
            if one.state is State.SUSPECT:
                one.since = now  # it had no chance to answer while nobody listened
