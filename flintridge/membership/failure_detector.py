"""Who of the fleet lives: probes, suspicion, refutation, and small facts, all in bounded datagrams.

A state machine fed datagrams and the time, in float milliseconds of the node's monotonic clock. The way is
SWIM's (a probe in turn, others asked to probe, suspicion that is refuted by an incarnation), with Lifeguard's
care for a node that is itself slow. What differs: each datagram echoes the stamp of the newest one
had from the other side and how long that was held, so that **the age of all knowledge is proved on one's
own clock**, whatever was delayed, doubled, replayed or lay in a buffer while the process was stopped.
"""

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from msgspec.structs import replace

from flintridge.membership.byte_budget import Bucket
from flintridge.membership.member_table import DRIFT, MOST_LIVES, Member, MemberTable, Reachability
from flintridge.membership.messages import (
    LONGEST,
    Entry,
    Kind,
    MessageDroppedError,
    Packet,
    State,
    Wire,
    size,
)

PERIOD = 300.0  # between two probes
EAGER_PERIOD = 100.0  # just after the start, and after a gap
EAGER = 2_000.0
EAGER_PART = 0.5  # of the bytes of a second that must be left for that
PING_WAIT = 200.0  # for an answer, before others are asked
ROUND = 1_000.0  # for an answer to others as well; then the probe has failed
LEAVE_TO = 6  # are told by one that ends in order
ASKED = 8  # others at a time, at the most: one, then twice as many each time
SETTLE = 200.0  # between two looks at all lives
GAP = 1_500.0  # a clock that jumps by more: the process was stopped, or starved
SLOWEST = 3  # most that a node's own slowness stretches its probes, less one
LEAST_LIMIT = 4_000.0  # knowledge older than this is none, at the least
ROUNDS = 16.0  # and longer by the time in which words of all lives come round so often
DOUBT = 1_500.0  # a suspicion lasts so long, times the decimal log of the fleet's size where that is over 1
SILENT_TURN = 4  # of so many probes one goes to those that are silent
USUAL_ENTRIES = 24  # of a datagram, at the least, where bytes allow
BYTES_AN_ENTRY = 330.0  # of the bytes of a second, for each entry that a datagram can then have (measured)
LONGEST_WORDY = 800  # bytes of a datagram with words of others; what is left of it is for facts
COUNT = 2  # bytes by which the count of entries may grow
ROOM_PART = 0.25  # of what is left of a second's bytes that a datagram with words of others may take
ANSWERS_PART = (
    0.6  # of the bytes that answers may take: a flood of calls must not silence a node's own probes
)
TABLES = 12  # are asked for after a start or a gap, while names are missing
TABLE_PERIOD = 1_000.0  # between two of them, at the least
TABLE_ENTRY = 22.0  # bytes of a table's word, about
TABLE_PART = 0.5  # of the bytes for exchanges that tables may take, where others hear as much as this node
STRANGER = 5_000.0  # answers to a life that was here before are over by then
# What carries words of others: what is sent in answer proves their age to whom it goes. A probe itself echoes
# a stamp that may be long ago, and less is proved the longer that was, as clocks drift.
WORDY = (Kind.ACK, Kind.DONE, Kind.NEWS)
MOST_IN = 400  # datagrams a second that are looked at; far more than a fleet sends to one


@dataclass(slots=True, frozen=True)
class Out:
    """A datagram for the address that this node has for `name`."""

    name: str
    data: bytes


class Topic(Protocol):
    """A later part's small facts. What it says is bounded by its own bytes a second."""

    name: str
    bytes_per_s: float

    def payload_for(self, now: float, to: Member, max_bytes: int, /) -> bytes | None:
        """What to tell that life now, in at most `max_bytes`."""

    def receive_payload(self, now: float, name: str, incarnation: int, as_of: float, data: bytes, /) -> None:
        """What a peer told, at `as_of` of this node's clock or later. Never called twice for one datagram."""


@dataclass(slots=True)
class Probe:
    name: str
    life: int  # 0: whichever answers
    began: float
    pings: int = 1
    tried: int = 0  # of those asked, how many told that they got no answer either
    expected: int = 0


@dataclass(slots=True)
class Errand:
    """A probe for another node."""

    name: str
    asker: str
    asker_life: int
    ref: int
    until: float


@dataclass(slots=True)
class Counts:
    """What is told to staff; names are those of the counters, after `peers_`."""

    of: Counter[str] = field(default_factory=Counter)

    def add(self, name: str, count: int = 1) -> None:
        self.of[name] += count


class FailureDetector:
    """One node's view of its peers.

    `told` is called with an event's name and fields for what staff should see, each kind of refusal once.
    """

    def __init__(
        self,
        me: str,
        life: int,
        names: tuple[str, ...],
        wire: Wire,
        bytes_per_s: float,
        now: float,
        rng: Random,
        told: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.table = MemberTable(me, life, names, now, rng)
        self.counts = Counts()
        self.topics: dict[str, tuple[Topic, Bucket]] = {}
        self.slowness = 0
        fleet = len(self.table.names) + 1
        # With words come the answers to one's own probes, and those to one's answers.
        words = 2 * self._usual_entries(bytes_per_s)
        self.limit = LEAST_LIMIT + ROUNDS * PERIOD * fleet / words
        self.doubt = DOUBT * max(1.0, math.log10(fleet + 1))
        self._wire = wire
        self._rng = rng
        self._told = told
        self._origin = now - 1.0  # stamps count from here
        self._now = now
        self._bucket = Bucket(bytes_per_s)
        self._answers = Bucket(ANSWERS_PART * bytes_per_s)
        self._in = Bucket(MOST_IN)
        self._serial = 0
        self._out: list[Out] = []
        self._probes: dict[int, Probe] = {}
        self._errands: dict[int, Errand] = {}
        self._next_at = now + rng.uniform(0, EAGER_PERIOD)
        self._eager_until = now + EAGER
        self._targets: dict[bool, list[tuple[str, int]]] = {True: [], False: []}  # heard or not: their turns
        self._turn = 0
        self._settle_at = now
        self._tables, self._table_at, self._tables_of = (
            0,
            now,
            now,
        )  # asked, the next one, and after which waking
        self._leaving = False
        self._told_once: set[str] = set()
        self.beside = False  # another process of this node lives, which gets its answers here
        self._strangers: dict[int, float] = {}  # lives of this name that get answers here, and since when

    @staticmethod
    def _usual_entries(bytes_per_s: float) -> float:
        """Words of others in a datagram, as the bytes of a second allow."""
        return min(float(USUAL_ENTRIES), max(4.0, bytes_per_s / BYTES_AN_ENTRY))

    @property
    def reachability(self) -> Reachability:
        return self.table.reachability

    def register_topic(self, topic: Topic) -> None:
        """Raises ValueError for a name that is taken."""
        if topic.name in self.topics:
            raise ValueError(f"topic {topic.name} is registered")
        self.topics[topic.name] = topic, Bucket(topic.bytes_per_s)

    def take(self) -> list[Out]:
        """What is to be sent, in its order; each once."""
        out, self._out = self._out, []
        return out

    # Time

    def tick(self, now: float) -> None:
        """To be called every 50 ms or so. What is late shows as this node's own slowness."""
        self._look(now)
        self._end_probes(now)
        self._end_errands(now)
        self.table.doubted(now, self.doubt)
        if now >= self._next_at and not self._leaving:
            eager = now < self._eager_until and self._bucket.room(now) > EAGER_PART * self._bucket.rate
            period = EAGER_PERIOD if eager else PERIOD
            self._next_at = max(now, self._next_at + period * self._rng.uniform(0.9, 1.1))
            self._probe_next(now)
        if now >= self._settle_at:
            self._settle_at = now + SETTLE
            self._settle(now)
            self.table.forget(now)

    def glance(self, now: float) -> None:
        """Bring the view up to `now`, for whoever reads it between two ticks."""
        self._look(now)
        self._settle(now)

    def _settle(self, now: float) -> None:
        before = self.table.reachability.heard
        if self.table.look(now, self.limit):
            view = self.table.reachability
            self._told("peers_heard", heard=view.heard, of=view.names, before=before)

    def _look(self, now: float) -> None:
        gap, self._now = now - self._now, now
        if gap <= GAP:
            return
        # Guards all that was known against being taken for new by a process that was stopped: what it heard
        # is as old as the gap, and nobody could answer its probes.
        self.counts.add("gaps")
        self._told("peers_gap", ms=round(gap))
        self._probes.clear()
        self._errands.clear()
        self.table.wake(now)
        self._eager_until, self._next_at = now + EAGER, now

    def table_from(self, now: float) -> str | None:
        """Whom to ask now, by an exchange, for the lives that are not heard: for one that has just begun, or
        was stopped. By datagrams alone it takes long: most of their words are of lives heard already."""
        table = self.table
        if self._tables_of != table.awake_from:
            self._tables, self._table_at, self._tables_of = 0, now, table.awake_from
        done = self._tables >= TABLES or (self._tables and self.reachability.heard == self.reachability.names)
        if done or now < self._table_at or self._leaving:
            return None
        # Not those of whom only others tell: the link to them may be cut.
        heard = [one.name for one in table.fresh if one.heard_at >= table.awake_from and one.name != table.me]
        if not heard:
            return None
        self._tables += 1
        part = self.reachability.heard / self.reachability.names
        takes = part * (1 - part) * self.reachability.names * TABLE_ENTRY / self._bucket.rate * 1000
        self._table_at = now + max(TABLE_PERIOD, takes / TABLE_PART) * self._rng.uniform(0.75, 1.25)
        return self._rng.choice(heard)

    # Probes

    def _probe_next(self, now: float) -> None:
        self._turn += 1
        if not self._targets[True] and not self._targets[False]:
            self._fill_targets()
        silent_turn = self._turn % SILENT_TURN == 0
        for heard in (not silent_turn, silent_turn):
            if not self._targets[heard] and (heard or self.reachability.heard < self.reachability.names):
                self._fill_targets(heard)
            if self._targets[heard]:
                name, life = self._targets[heard].pop()
                if any(probe.name == name and probe.life == life for probe in self._probes.values()):
                    return  # it is asked already, and again before that ends
                ref = self._rng.getrandbits(62) + 1
                if self._send(name, life, Kind.PING, ref, now):
                    self._probes[ref] = Probe(name, life, now)
                return

    def _fill_targets(self, only: bool | None = None) -> None:
        """Each heard life, or the name where none is heard; in an order of this round's own."""
        made: dict[bool, list[tuple[str, int]]] = {True: [], False: []}
        lives = [one for one in self.table.fresh_or_suspect if one.name != self.table.me]
        made[True] = [(one.name, one.incarnation) for one in lives]
        if only is not True:
            names = {one.name for one in lives}
            made[False] = [(name, 0) for name in self.table.names if name not in names]
        for heard, turns in made.items():
            if only is None or only is heard:
                self._rng.shuffle(turns)
                self._targets[heard] = turns

    def _end_probes(self, now: float) -> None:
        stretch = 1 + self.slowness
        for ref, probe in [*self._probes.items()]:
            waited = now - probe.began
            if waited >= PING_WAIT * stretch * probe.pings and waited < ROUND * stretch:
                # Where a third of all is lost, one probe in five would accuse somebody were it pinged once,
                # and one in seventy were others asked once (reckoned; the second one measured).
                self._ask_others(ref, probe, now)
                probe.pings += 1
                self._send(probe.name, probe.life, Kind.PING, ref, now)
            if waited >= ROUND * stretch:
                del self._probes[ref]
                self.counts.add("probes_failed")
                if probe.expected and not probe.tried:
                    self._slower(
                        1
                    )  # not one of those asked said a word: it may be this node that hears badly
                one = self.table.find(probe.name, probe.life)
                if one is not None and one.known_at < probe.began:
                    self.table.suspect(one, now)

    def _ask_others(self, ref: int, probe: Probe, now: float) -> None:
        if not probe.life:
            return
        fresh, wanted = self.table.fresh, min(ASKED, 1 << (probe.pings - 1))
        some = self._rng.sample(fresh, min(wanted + 2 * MOST_LIVES, len(fresh)))
        for one in [one for one in some if one.name not in (probe.name, self.table.me)][:wanted]:
            if self._send(one.name, one.incarnation, Kind.ASK, ref, now, about=(probe.name, probe.life)):
                probe.expected += 1

    def _end_errands(self, now: float) -> None:
        for ref, errand in [*self._errands.items()]:
            if now >= errand.until:
                del self._errands[ref]
                self._send(errand.asker, errand.asker_life, Kind.TRIED, errand.ref, now, answer=True)

    def _slower(self, by: int) -> None:
        self.slowness = min(SLOWEST, max(0, self.slowness + by))

    # What comes

    def received(self, now: float, data: bytes) -> Packet | None:
        """Take a datagram in. None where it is dropped, which is counted by its reason and told once."""
        self._look(now)
        self.counts.add("datagrams_in")
        self.counts.add("bytes_in", len(data))
        try:
            if not self._in.take(now, 1):
                raise MessageDroppedError("flood")
            packet = self._wire.decode(data)
            self._take_in(packet, len(data), now)
        except MessageDroppedError as dropped:
            self._drop(dropped.reason)
            return None
        return packet

    def _drop(self, reason: str) -> None:
        self.counts.add(f"dropped_{reason}")
        if reason not in self._told_once:
            self._told_once.add(reason)
            self._told("peers_dropped", reason=reason)

    def _take_in(self, packet: Packet, size: int, now: float) -> None:
        table = self.table
        if packet.life == table.incarnation:
            raise MessageDroppedError("own")
        one = table.take(packet.name, packet.life, now)
        if one is None:
            raise MessageDroppedError("lives" if packet.name in (*table.names, table.me) else "unknown")
        if one.state is State.LEFT:
            raise MessageDroppedError("left")
        if not one.first_time(packet.serial):
            one.refused += 1
            raise MessageDroppedError("replayed")
        one.bytes_in += size
        if packet.stamp > one.stamp:
            one.stamp, one.stamp_at = packet.stamp, now
        as_of = self._proved(packet, now)
        if as_of is not None and packet.held < ROUND:
            trip = now - as_of
            one.round_trip = trip if one.round_trip is None else min(trip, 0.9 * one.round_trip + 0.1 * trip)
        table.speaks(one, packet.incarnation, as_of, now)
        if as_of is not None:
            for entry in packet.entries:
                table.told(entry, as_of, self.doubt, now, self.limit)
            for name, fact in packet.facts:
                if (known := self.topics.get(name)) is None:
                    self.counts.add("facts_unknown")
                else:
                    known[0].receive_payload(now, packet.name, packet.life, as_of, fact)
        if packet.to not in (0, table.incarnation):
            self._stranger(packet, now)
            return
        if self._leaving:
            return
        self._answer(packet, one, now)

    def _proved(self, packet: Packet, now: float) -> float | None:
        """The latest instant before which it cannot have been sent; None where nothing proves one."""
        if packet.to != self.table.incarnation or packet.echo < 0:
            return None
        as_of = self._origin + packet.echo + packet.held * (1 - DRIFT)
        return min(now, as_of)

    def _stranger(self, packet: Packet, now: float) -> None:
        """An answer to another life of this node's name. Guards against two nodes that were given one name by
        mistake: of those only this one gets the answers, and the other hears nobody."""
        if self.beside:
            self._strangers.clear()
        elif packet.kind == Kind.ACK and len(self._strangers) < 8:
            since = self._strangers.setdefault(packet.to, now)
            if now - since > STRANGER and "own_name" not in self._told_once:  # longer than of a life before
                self._told_once.add("own_name")
                self._told("peers_own_name", life=f"{packet.to:x}", answered_by=packet.name)

    def _answer(self, packet: Packet, one: Member, now: float) -> None:
        match packet.kind:
            case Kind.PING:
                self._send(packet.name, packet.life, Kind.ACK, packet.ref, now, answer=True)
            case Kind.ACK:
                if (asked := self._probes.get(packet.ref)) is not None and asked.name != packet.name:
                    self._misled(asked.name, packet.name)
                elif (probe := self._probes.pop(packet.ref, None)) is not None:
                    self._slower(-1)
                    self._send(packet.name, packet.life, Kind.DONE, packet.ref, now)
                elif (errand := self._errands.pop(packet.ref, None)) is not None:
                    self._send(
                        errand.asker, errand.asker_life, Kind.REACHED, errand.ref, now, one, answer=True
                    )
            case Kind.ASK:
                self._run_errand(packet, now)
            case Kind.REACHED:
                if self._probes.pop(packet.ref, None) is not None:
                    self.counts.add("probes_by_others")
            case Kind.TRIED:
                if (probe := self._probes.get(packet.ref)) is not None:
                    probe.tried += 1
            case Kind.NEWS | Kind.DONE | Kind.FACTS:
                pass
            case _:
                self.counts.add("kinds_unknown")

    def _misled(self, name: str, answers: str) -> None:
        """Another node answers at the address that this one has for `name`: no sign of life of that."""
        self.counts.add("answers_of_another")
        if f"misled_{name}" not in self._told_once:
            self._told_once.add(f"misled_{name}")
            self._told("peers_wrong_address", peer=name, answers=answers)

    def _run_errand(self, packet: Packet, now: float) -> None:
        if packet.about is None or packet.about[0] not in self.table.names or len(self._errands) >= 64:
            self.counts.add("errands_refused")
            return
        name, life = packet.about
        ref = self._rng.getrandbits(62) + 1
        if self._send(name, life, Kind.PING, ref, now, answer=True):
            # Told before the asker's own end, who else could not tell a dead peer from its own bad links.
            until = now + ROUND / 2
            self._errands[ref] = Errand(name, packet.name, packet.life, packet.ref, until)

    # What goes

    def send_payloads(self, now: float, to: Member) -> bool:
        """Send what topics have for that life now, not with its next probe. False where nothing goes.

        A life of which nothing came yet believes nothing from here: it is probed, and the answer to its
        answer carries the facts.
        """
        if self._leaving or to.state is State.LEFT:
            return False
        if to.stamp >= 0:
            return self._send(to.name, to.incarnation, Kind.FACTS, 0, now)
        if any(probe.name == to.name and probe.life == to.incarnation for probe in self._probes.values()):
            return False
        ref = self._rng.getrandbits(62) + 1
        if sent := self._send(to.name, to.incarnation, Kind.PING, ref, now):
            self._probes[ref] = Probe(to.name, to.incarnation, now)
        return sent

    def leave(self, now: float) -> None:
        """This life ends in order: a few are told, who pass it on. Nothing is said after it."""
        self._leaving = True
        fresh = [one for one in self.table if one.reachable and one.name != self.table.me]
        mine = Entry(self.table.me, self.table.incarnation, self.table.refutations, State.LEFT, 0)
        for one in self._rng.sample(fresh, min(LEAVE_TO, len(fresh))):
            self._send(one.name, one.incarnation, Kind.NEWS, 0, now, extra=mine)

    def _send(
        self,
        name: str,
        life: int,
        kind: Kind,
        ref: int,
        now: float,
        reached: Member | None = None,
        about: tuple[str, int] | None = None,
        extra: Entry | None = None,
        answer: bool = False,
    ) -> bool:
        """False where there is no room in the bytes of this second."""
        table = self.table
        to = table.find(name, life) if life else None
        room = min(self._bucket.room(now), self._answers.room(now) if answer else 1e9)
        first = [extra] if extra is not None else []
        if reached is not None:
            first.append(table.entry(reached, now))
        self._serial += 1
        echo, held = (-1, 0) if to is None or to.stamp < 0 else (to.stamp, int(now - to.stamp_at))
        packet = Packet(
            self._wire.fleet,
            table.me,
            table.incarnation,
            table.refutations,
            self._serial,
            int(kind),
            ref,
            int(now - self._origin),
            life,
            echo,
            held,
            about,
            tuple(first),
        )
        # Words of others never take more than a part of what is left of this second. Guards the answers that
        # are still to come in it: without them this node would seem dead for having said too much.
        wordy = min(LONGEST_WORDY, room * ROOM_PART) - self._wire.head - size(packet) - COUNT
        if said := table.entries(to, wordy, kind in WORDY, now):
            packet = replace(packet, entries=(*first, *said))
        if self.topics and to is not None:
            left = int(min(LONGEST, room)) - self._wire.head - size(packet)
            packet = replace(packet, facts=self._facts(to, now, left))
        data = self._wire.encode(packet)
        if len(data) > min(LONGEST, room) or not self._bucket.take(now, len(data)):
            self.counts.add("unsent")
            return False
        if answer:
            self._answers.take(now, len(data))
        self.counts.add("datagrams_out")
        self.counts.add("bytes_out", len(data))
        self._out.append(Out(name, data))
        return True

    def _facts(self, to: Member, now: float, room: int) -> tuple[tuple[str, bytes], ...]:
        if to.stamp < 0:
            return ()  # it could not tell how old they are, and would drop them
        said = []
        for name, (topic, bucket) in self.topics.items():
            head = len(name) + 8
            own = int(min(room, bucket.room(now))) - head
            if own > 0 and (fact := topic.payload_for(now, to, own)) is not None:
                if len(fact) > own or not bucket.take(now, len(fact) + head):
                    self.counts.add("facts_long")  # a topic that takes more than it may loses its word
                    continue
                said.append((name, fact))
                room -= len(fact) + head
        return tuple(said)
