"""How what is new in one copy comes to the others: at once to a few, who pass it on; the rest by comparison.

A state machine without I/O over a `Copy`; a topic of the peers' datagrams. Times are float milliseconds of
the process's own clock.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from flintridge.membership.member import Member
from flintridge.replication.entry import Dot, Entry, Key, Writer
from flintridge.replication.messages import Held, Said, entry_of, flat, said, said_of
from flintridge.replication.replica import Replica, Standing

FAN = 6  # lives that each process tells of what is new to it; the comparison brings it to those that are left
AT_ONCE = 3  # of them without waiting for the next datagram
HOT = 2_000.0  # ms for which it is new
MOST_HOT = 64  # keys; beyond, the comparison does it
MISFITS = 4  # entries too long for a datagram that are looked at for each
WAITED_FOR = 256  # newest writes of this process of which it is known who has them
SETTLE = 1_500.0  # ms for which two copies differ before one asks: what is on its way comes meanwhile
AGAIN = 10_000.0  # ms before one is asked again that had nothing new, as that may go on for long
PAUSE = 1_000.0  # ms between two comparisons
SAID_AGE = 30_000.0  # ms for which a peer's word counts


@dataclass(slots=True)
class Hot:
    since: float
    told: set[Writer] = field(default_factory=set)


@dataclass(slots=True)
class Other:
    """What a life last said of its copy."""

    at: float
    caught: bool
    differs: float = math.inf  # since when
    not_before: float = -math.inf  # it is asked


class RumorSpreader:
    """`told` is called with an event's name and fields for what staff should see."""

    name = "state"  # of the topic

    def __init__(self, copy: Replica, peers: tuple[str, ...], bytes_per_s: float, rng: Random) -> None:
        self.copy = copy
        self.bytes_per_s = bytes_per_s
        self.counts: Counter[str] = Counter()
        self.changed: Callable[[Key, Entry], None] = lambda key, entry: None
        self._peers = frozenset(peers)
        self._rng = rng
        self._hot: dict[Key, Hot] = {}
        self._others: dict[Writer, Other] = {}
        self._owed: dict[Writer, deque[int]] = {}  # of whose writes it is still to be said that they are here
        self._had: dict[Dot, set[str]] = {}  # of this process's newest writes: which names have them
        self._next_at = -math.inf
        self._now = 0.0
        copy.changed = self._changed

    # What is new

    def wrote(self, dot: Dot) -> None:
        """Count who comes to have it."""
        self._had[dot] = set()
        while len(self._had) > WAITED_FOR:
            del self._had[next(iter(self._had))]

    def had_by(self, dot: Dot) -> int | None:
        """How many nodes are known to have that write of this process, itself included; None where it is too
        long ago, or never was."""
        had = self._had.get(dot)
        return None if had is None else 1 + len(had)

    def names_with(self, dot: Dot) -> frozenset[str]:
        """The other nodes that are known to have that write of this process."""
        return frozenset(self._had.get(dot, ()))

    def _changed(self, key: Key, entry: Entry) -> None:
        if len(self._hot) < MOST_HOT and entry.versions:
            self._hot[key] = Hot(self._now)
        self.changed(key, entry)

    def waiting(self, now: float, fresh: list[Writer]) -> list[Writer]:
        """Of the lives that are heard, those for which there are words that need not wait."""
        self._now = now
        for key in [key for key, one in self._hot.items() if now > one.since + HOT or len(one.told) >= FAN]:
            del self._hot[key]
        wanted = [peer for peer in fresh if peer in self._owed]
        for key in self._hot:
            told = self._hot[key].told
            rest = [peer for peer in fresh if peer not in told and peer not in wanted]
            wanted += self._rng.sample(rest, min(max(0, AT_ONCE - len(told)), len(rest)))
        return wanted

    # The topic

    def payload_for(self, now: float, to: Member, room: int) -> bytes | None:
        """The fact for a datagram to that life."""
        peer = to.name, to.incarnation
        copy = self.copy
        had = list(self._owed.get(peer, ()))[:32]
        entries: list[Held] = []
        told: list[Key] = []
        caught = copy.standing is Standing.CAUGHT
        word = said(Said(copy.root(), caught, (), tuple(had), copy.own))
        if len(word) > room:
            return None
        misfits = 0
        for key, hot in self._hot.items():
            if misfits >= MISFITS:
                break
            entry = copy.entries.get(key)
            if entry is None or peer in hot.told or len(hot.told) >= FAN:
                continue
            longer = said(Said(copy.root(), caught, (*entries, flat(key, entry, now)), tuple(had), copy.own))
            if len(longer) > room:
                misfits += 1
                continue  # a long one goes with the next datagram, or by comparison
            entries.append(flat(key, entry, now))
            told.append(key)
            word = longer
        for key in told:
            self._hot[key].told.add(peer)
        if had:
            owed = self._owed[peer]
            for _ in had:
                owed.popleft()
            if not owed:
                del self._owed[peer]
        return word

    def receive_payload(self, now: float, name: str, life: int, as_of: float, data: bytes) -> None:
        """What a peer said, at `as_of` or later."""
        word = said_of(data)
        if word is None or name not in self._peers:
            self.counts["words_bad"] += 1
            return
        self._now = now
        peer = name, life
        for held in word.entries:
            key, entry = entry_of(held, as_of)
            if self.copy.hear(now, key, entry):
                if key in self._hot:
                    self._hot[key].told.add(peer)
                self.owe(entry)
        for count in word.had:
            if (had := self._had.get((self.copy.me, count))) is not None:
                had.add(name)
        other = self._others.setdefault(peer, Other(now, word.caught))
        other.at, other.caught = now, word.caught
        if self.copy.told_root(now, peer, word.root, word.caught, word.own):
            other.differs = min(other.differs, now)
        else:
            other.differs = math.inf
            for had in self._had.values():  # what it holds is what is here
                had.add(name)

    def owe(self, entry: Entry) -> None:
        """Its writers are to be told that it is here."""
        for one in entry.versions:
            if one.dot[0][0] in self._peers:
                owed = self._owed.setdefault(one.dot[0], deque(maxlen=256))
                if one.dot[1] not in owed:
                    owed.append(one.dot[1])
        while len(self._owed) > 1024:  # lives that are never heard again
            del self._owed[next(iter(self._owed))]

    # Whom to ask

    def source(self, now: float, fresh: list[Writer]) -> Writer | None:
        """Whom to compare with now, of those that are heard; None where that need not be."""
        if now < self._next_at:
            return None
        heard = set(fresh)
        for peer in [peer for peer in self._others if peer not in heard]:
            if now > self._others[peer].at + SAID_AGE:
                del self._others[peer]
        wait = SETTLE if self.copy.standing is Standing.CAUGHT else 0.0
        due = [
            peer
            for peer, other in self._others.items()
            if peer in heard and now >= other.differs + wait and now >= other.not_before
        ]
        if not due:
            return None
        first = [peer for peer in due if self._others[peer].caught]
        if not first and self.copy.standing is Standing.CAUGHT:
            return None  # what it holds half is what it takes from here just now; later it has caught up
        first = first or due
        return self._rng.choice(sorted(first))

    def compared(self, now: float, peer: Writer, news: bool) -> None:
        """A comparison with that one is over, or broke off."""
        self._next_at = now + PAUSE * self._rng.uniform(0.5, 1.5)
        if (other := self._others.get(peer)) is not None:
            other.differs = math.inf
            # Guards against asking for ever where it is the other side that lacks something, or refuses it.
            other.not_before = now + (0.0 if news else AGAIN * self._rng.uniform(0.8, 1.2))
