"""Processes that hold the same state, in virtual time: real peers, copies, topics on the links of `machines`.

Exchanges go at the bytes a second that the answering process has for them, one after the other, and break off
where the link is cut or a process ends.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any

from flintridge.lab.partial.machines import Link, Machines, Process
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.member import Member
from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Dot, Key, Writer
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.messages import decode_chunk, decode_request, encode_chunk, encode_request
from flintridge.replication.replica import CHUNK_BYTES, Replica
from flintridge.replication.value_types import encode_body

UNIX = 1.7e12  # the time of day at the start
BROKEN = 10_000.0  # ms until an exchange that gets no answer is given up
LOOKS = 8  # buckets a tick, as in flintridge/replication/driver.py


class Counted(RumorSpreader):
    """It counts its bytes."""

    sent = 0

    def payload_for(self, now: float, to: Member, room: int) -> bytes | None:
        word = super().payload_for(now, to, room)
        self.sent += len(word or b"")
        return word


class Keeper(FailureDetector):
    """A process's peers with its copy, driven as `flintridge/replication/driver.py` does it."""

    copy: Replica
    spread: Counted
    fleet: "Keepers"
    asking = False
    free_at = 0.0  # of the fleet: when its bytes for exchanges are used up
    exchange_bytes = 0

    def tick(self, now: float) -> None:
        super().tick(now)
        self.copy.expire(now, LOOKS)
        me = self.table.local_name
        fresh = [(one.name, one.incarnation) for one in self.table if one.reachable and one.name != me]
        for name, life in self.spread.urgent_targets(now, fresh):
            if (one := self.table.find(name, life)) is not None:
                self.send_payloads(now, one)
        if not self.asking and (source := self.spread.comparisons.choose_source(now, fresh)) is not None:
            self.asking = True
            self.fleet.ask(self, source)


class Keepers(Machines):
    """`count` processes with the same state; `limits` of their copies."""

    def __init__(
        self,
        count: int,
        seed: int,
        limits: ReplicaLimits | None = None,
        topic_bytes: float = 2_000.0,
        make: Callable[..., Replica] = Replica,
        **given: Any,
    ) -> None:
        self.limits = limits or ReplicaLimits()
        self._topic_bytes = topic_bytes
        self._make = make
        self._exchange_bytes = given.get("bytes_per_s", 8_000.0)
        super().__init__(count, seed, build=self._process, **given)

    def _process(
        self,
        name: str,
        life: int,
        names: tuple[str, ...],
        wire: Any,
        bytes_per_s: float,
        now: float,
        rng: Random,
    ) -> FailureDetector:
        made = Keeper(name, life, names, wire, bytes_per_s, now, rng)
        made.fleet = self
        made.copy = self._make((name, life), self.limits, now, UNIX + self.now - now)
        peers = tuple(one for one in names if one != name)
        made.spread = Counted(made.copy, peers, self._topic_bytes, Random(rng.random()))
        made.register_topic(made.spread)
        return made

    def keeper(self, name: str) -> Keeper:
        machine = self.machine(name)
        assert isinstance(machine, Keeper)
        return machine

    def clock(self, name: str) -> float:
        """The time of its newest process, by its own clock."""
        return self.living(name)[-1].clock(self.now)

    def same(self) -> bool:
        return len({self.keeper(name).copy.root() for name in self.names if self.living(name)}) == 1

    def alike(self) -> bool:
        """Whether all living processes go by the same writes, whatever they remember of others."""
        held = set()
        for name in self.names:
            if self.living(name):
                copy, now = self.keeper(name).copy, self.clock(name)
                dots = (
                    version.dot
                    for key in copy.entries
                    if (version := copy.active_version(key, now)) is not None
                )
                held.add(frozenset(dots))
        return len(held) == 1

    def fill(self, write: Callable[[Replica, float], None]) -> None:
        """All begin with what `write` puts into the first one's copy."""
        first = self.keeper(self.names[0])
        write(first.copy, self.clock(self.names[0]))
        first.copy.mark_synchronized()
        for name in self.names[1:]:
            now, mine = self.clock(name), self.keeper(name).copy
            mine.mark_synchronized()
            got = first.copy.make_chunk(mine.next_request(first.copy.writer), max_bytes=1 << 30)
            parts = encode_chunk(first.copy.writer, got, self.clock(self.names[0]))
            answer = decode_chunk(parts, now)
            assert answer is not None and mine.apply_chunk(now, answer.source, answer.chunk)
            self.keeper(name).spread.urgent_targets(now + 1e6, [])  # it is no news to anybody

    # Exchanges

    def _owner(self, keeper: Keeper) -> Process:
        return next(one for one in self.processes[keeper.table.local_name] if one.machine is keeper)

    def ask(self, keeper: Keeper, source: Writer) -> None:
        asker = self._owner(keeper)
        target = next(
            (one for one in self.living(source[0]) if one.machine.table.incarnation == source[1]), None
        )
        began, root = self.now, keeper.copy.root()

        def over() -> None:
            keeper.asking = False
            keeper.copy.abandon_comparison(source)
            keeper.spread.comparisons.finish(asker.clock(self.now), source, keeper.copy.root() != root)

        def linked() -> bool:
            ways = (asker.name, source[0]), (source[0], asker.name)
            cut = any(self.links.get(way, self.usual).cut for way in ways)
            return target is not None and target.alive and not target.paused and asker.alive and not cut

        def call() -> None:
            nonlocal began
            began = self.now
            word = encode_request(keeper.copy.next_request(source))
            keeper.exchange_bytes += len(word)
            if not linked():
                self.at(self.now + BROKEN, over)
                return
            ask = decode_request(word)
            assert ask is not None and target is not None
            other = target.machine
            assert isinstance(other, Keeper)
            parts = encode_chunk(
                other.copy.writer, other.copy.make_chunk(ask, CHUNK_BYTES), target.clock(self.now)
            )
            size = sum(map(len, parts))
            other.exchange_bytes += size
            other.free_at = max(self.now, other.free_at) + size / self._exchange_bytes * 1000.0
            self.at(other.free_at + 2 * self.usual.delay, lambda: arrived(parts))

        def arrived(parts: list[bytes]) -> None:
            answer = decode_chunk(parts, asker.clock(began))
            if not linked() or answer is None:
                self.at(max(self.now, began + BROKEN), over)
            elif keeper.copy.apply_chunk(asker.clock(self.now), answer.source, answer.chunk):
                over()
            else:
                self.at(self.now + 50.0, call)

        call()


@dataclass(slots=True)
class Written:
    """What the judge knows of a write: no more than staff do."""

    key: Key
    node: str
    dot: Dot
    deletes: bool
    had: set[str] = field(default_factory=set)  # the nodes of which it was told that they have it
    died: set[str] = field(default_factory=set)  # and which of them died since

    @property
    def safe(self) -> bool:
        """Whether it was acknowledged, and fewer died than had it."""
        return len(self.had) >= HAD and len(self.died) < len(self.had)


@dataclass(slots=True)
class DayOf:
    """What came of a random day: `wrong` is empty where all held."""

    seed: int
    wrong: list[str]
    writes: int
    acknowledged: int  # by two or more, of which fewer died
    kills: int
    cuts: int
    settled_ms: float  # from the last fault until all had caught up and went by the same writes


NOTE = encode_body("note", {"text": "x"})
HAD = 2  # an acknowledged write is one that so many have
SETTLED = 120_000.0


class Judge:
    """What so many had is lost only if as many died. Every key is written once by one node, and deleted at
    most once by one that holds it."""

    def __init__(self, fleet: Keepers) -> None:
        self.fleet = fleet
        self.writes: list[Written] = []

    def write(self, node: str, rng: Random) -> None:
        keeper, now = self.fleet.keeper(node), self.fleet.clock(node)
        held = [key for key in keeper.copy.entries if keeper.copy.active_version(key, now) is not None]
        taken = {one.key for one in self.writes if one.deletes}
        free = sorted(key for key in held if key not in taken)
        deletes = bool(free) and rng.random() < 0.3
        key = rng.choice(free) if deletes else ("note", f"{node}-{len(self.writes)}")
        dot = keeper.copy.write(now, key, NOTE, "ann", "a day", deleted=deletes).dot
        keeper.spread.acknowledgements.track(dot)
        self.writes.append(Written(key, node, dot, deletes, {node}))

    def look(self) -> None:
        for one in self.writes:
            if self.fleet.living(one.node) and not one.died:
                one.had |= self.fleet.keeper(one.node).spread.acknowledgements.holders(one.dot)

    def kill(self, node: str) -> None:
        """It dies now; what it was told until now counts."""
        self.look()
        for one in self.writes:
            if node in one.had:
                one.died.add(node)

    def wrong(self) -> list[str]:
        """Once all copies are the same."""
        name = self.fleet.names[0]
        copy, now = self.fleet.keeper(name).copy, self.fleet.clock(name)
        deleted = {one.key for one in self.writes if one.deletes}
        told = [
            f"{one.key[1]} by {one.node}, which {len(one.had)} had, is lost"
            for one in self.writes
            if not one.deletes and one.safe and one.key not in deleted
            if copy.active_version(one.key, now) is None
        ]
        return told + [
            f"{one.key[1]}, deleted by {one.node}, which {len(one.had)} had, is back"
            for one in self.writes
            if one.deletes and one.safe and copy.active_version(one.key, now) is not None
        ]


def random_day(
    seed: int, count: int = 5, length_ms: float = 60_000.0, make: Callable[..., Replica] = Replica
) -> DayOf:
    """Writes and deletions every 300 ms, faults about every second; deletions are remembered for 5 s only."""
    rng = Random(seed)
    link = Link(loss=rng.choice((0.0, 0.05, 0.3)), jitter=rng.choice((0.2, 20.0, 400.0)), double=0.1)
    limits = ReplicaLimits(tombstone_ms=5_000.0, sync_wait_ms=4_000.0)
    fleet = Keepers(count, seed, limits, make=make, link=link, drift=0.02)
    judge = Judge(fleet)
    kills = cuts = 0
    down: list[str] = []

    def caught(name: str) -> bool:
        return bool(fleet.living(name)) and fleet.keeper(name).copy.sync_state is SyncState.SYNCHRONIZED

    fleet.run(30_000.0, lambda: all(map(caught, fleet.names)))
    end = fleet.now + length_ms
    while fleet.now < end:
        fleet.run(300.0)
        judge.look()
        able = [name for name in fleet.names if caught(name)]
        if able:
            judge.write(rng.choice(able), rng)
        if down and not fleet.living(down[0]):
            fleet.start(down[0])
        elif down and caught(down[0]):
            down.clear()
        what = rng.choice(("kill", "cut", "one way", "heal", "pause", *[""] * 12))
        if what == "kill" and len(able) == count:
            down.append(rng.choice(able))
            judge.kill(down[0])
            fleet.kill(down[0])
            kills += 1
        elif what in ("cut", "one way"):
            group = tuple(rng.sample(fleet.names, rng.randint(1, count // 2)))
            fleet.cut(group, tuple(one for one in fleet.names if one not in group), what == "cut")
            cuts += 1
        elif what == "heal":
            fleet.heal()
        elif what == "pause" and able:
            name = rng.choice(able)
            fleet.pause(name)
            fleet.at(fleet.now + rng.choice((200.0, 3_000.0)), partial(fleet.resume, name))
            fleet.run(3_100.0)
    judge.look()
    fleet.heal()
    fleet.usual.loss = 0.0
    for name in fleet.names:
        if not fleet.living(name):
            fleet.start(name)
    healed = fleet.now
    fleet.run(SETTLED, lambda: all(map(caught, fleet.names)) and fleet.alike())
    settled = fleet.now - healed
    fleet.run(SETTLED, fleet.same)
    wrong = judge.wrong() if fleet.same() else ["the copies differ long after all was well"]
    acknowledged = sum(one.safe for one in judge.writes)
    return DayOf(seed, wrong, len(judge.writes), acknowledged, kills, cuts, settled)
