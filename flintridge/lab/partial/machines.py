"""The peers' machines in virtual time: hundreds of nodes, links that lose, delay, double and are cut.

All is drawn from one seed. Times are float milliseconds; each process has a clock of its own, which may start
anywhere and drift.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import GossipEntry, MessageCodec, encoded_size

TICK = 100.0
# Exchanges of whole tables, as the driver makes them: frames are counted, each with its length and seal.
FRAME, CALL, LIVES = 26, 240, 32  # bytes about a piece; of both sides' words before the first; lives a piece
PLACES, CALL_TIME, PACED = 4, 10_000.0, 50.0
RESENT = 200.0  # after which TCP sends a lost piece again, then twice as long


@dataclass(slots=True)
class Link:
    """One direction between two names, or all of them."""

    loss: float = 0.0
    delay: float = 0.3  # ms
    jitter: float = 0.2  # up to so much more; more than the gap between two datagrams reorders them
    double: float = 0.0
    cut: bool = False


@dataclass(slots=True, eq=False)
class Process:
    name: str
    machine: FailureDetector
    offset: float  # of its clock
    rate: float
    begun: float
    alive: bool = True
    paused: bool = False
    queue: list[bytes] = field(default_factory=list)  # what came while it was stopped, as a socket keeps it
    seconds: dict[int, int] = field(default_factory=dict)  # bytes of datagrams sent in each second
    exchanged: dict[int, int] = field(default_factory=dict)  # the same of exchanges
    pace: ByteBudget = field(default_factory=lambda: ByteBudget(0.0))  # of exchanges
    serves: int = 0

    def clock(self, now: float) -> float:
        return self.offset + (now - self.begun) * self.rate


class Machines:
    """`names` peers of one fleet, each in one process at first."""

    def __init__(
        self,
        count: int,
        seed: int,
        bytes_per_s: float = 8000.0,
        link: Link | None = None,
        drift: float = 0.0,
        key: bytes | None = None,
        build: Callable[..., FailureDetector] = FailureDetector,
    ) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.names = tuple(f"n{i}" for i in range(count))
        self.usual = link or Link()
        self.links: dict[tuple[str, str], Link] = {}  # from, to
        self.processes: dict[str, list[Process]] = {name: [] for name in self.names}
        self.sent = 0
        self.on_send: Callable[[Process, str, bytes], None] | None = None
        self._bytes_per_s = bytes_per_s
        self._drift = drift
        self._codec = MessageCodec("fleet", key)
        self._build = build
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        for name in self.names:
            self.start(name)

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (when, next(self._order), call))

    def run(self, ms: float, until: Callable[[], bool] | None = None) -> float | None:
        """Go on for so long, or until that holds (looked at every TICK): the instant, or None."""
        end, look_at = self.now + ms, self.now
        while self._heap and self._heap[0][0] <= end:
            when, _, call = heapq.heappop(self._heap)
            if until is not None and when >= look_at:
                if until():
                    heapq.heappush(self._heap, (when, next(self._order), call))
                    return self.now
                look_at = when + TICK
            self.now = when
            call()
        self.now = end
        return self.now if until is not None and until() else None

    # Processes

    def start(self, name: str) -> Process:
        """A new life of that name."""
        offset, rate = self.rng.uniform(0, 1e9), 1 + self._drift * self.rng.uniform(-1, 1)
        life = self.rng.getrandbits(62) + 1
        machine = self._build(
            name, life, self.names, self._codec, self._bytes_per_s, offset, Random(self.rng.getrandbits(60))
        )
        process = Process(name, machine, offset, rate, self.now, pace=ByteBudget(self._bytes_per_s))
        self.processes[name].append(process)
        self.at(self.now + self.rng.uniform(0, TICK), lambda: self._tick(process))
        return process

    def kill(self, name: str) -> None:
        for process in self.processes[name]:
            process.alive = False

    def leave(self, name: str) -> None:
        for process in self.living(name):
            process.machine.leave(process.clock(self.now))
            self._carry(process)
            process.alive = False

    def pause(self, name: str) -> None:
        for process in self.living(name):
            process.paused = True

    def resume(self, name: str) -> None:
        """What came meanwhile is read before the first tick, as an event loop does it."""
        for process in self.living(name):
            process.paused = False
            waiting, process.queue = process.queue, []
            for data in waiting:
                process.machine.receive(process.clock(self.now), data)
            self._carry(process)
            self._tick(process)

    def living(self, name: str) -> list[Process]:
        return [process for process in self.processes[name] if process.alive]

    def machine(self, name: str) -> FailureDetector:
        return self.living(name)[-1].machine

    def _tick(self, process: Process) -> None:
        if not process.alive or process.paused:
            return
        process.machine.tick(process.clock(self.now))
        self._carry(process)
        if (peer := process.machine.next_sync_source(process.clock(self.now))) is not None:
            self._take_table(process, peer)
        self.at(self.now + TICK, lambda: self._tick(process))

    # Exchanges

    def _exchanged(self, process: Process, sent: int) -> bool:
        """False where that many bytes have to wait."""
        if not process.pace.try_spend(self.now, sent):
            return False
        second = int(self.now // 1000)
        process.exchanged[second] = process.exchanged.get(second, 0) + sent
        return True

    def _take_table(self, process: Process, peer: str) -> None:
        """As the driver: the whole answer within CALL_TIME, or none of it."""
        if not process.alive or process.paused:
            return
        if not self._exchanged(process, CALL + len(process.machine.table.peer_names)):
            self.at(self.now + PACED, lambda: self._take_table(process, peer))
            return
        served = self.living(peer)[-1] if self.living(peer) else None
        if served is None or served.paused or served.serves >= PLACES:
            return
        served.serves += 1
        asked_at, until = process.clock(self.now), self.now + CALL_TIME
        lives = served.machine.table.reachable_not_in(process.machine.table.reachable_filter())
        told: list[GossipEntry] = []

        def piece(at: int, first: bool) -> None:
            there = served.alive and not served.paused and process.alive
            cut = any(
                (link := self.links.get(pair)) is not None and link.cut
                for pair in ((peer, process.name), (process.name, peer))
            )
            if not there or cut or self.now > until:
                served.serves -= 1
                return
            now = served.clock(self.now)
            said = [one.gossip_entry(now) for one in lives[at : at + LIVES]]
            sent = sum(map(encoded_size, said)) + FRAME + (CALL if first else 0)
            if not self._exchanged(served, sent):
                self.at(self.now + PACED, lambda: piece(at, first))
                return
            link = self.links.get((peer, process.name), self.usual)
            late, again = link.delay + self.rng.random() * link.jitter, RESENT
            while self.rng.random() < link.loss and late < CALL_TIME:
                late, again = late + again, 2 * again
            told.extend(said)
            if at + LIVES < len(lives):
                self.at(self.now + late, lambda: piece(at + LIVES, False))
            else:
                self.at(self.now + late, over)

        def over() -> None:
            served.serves -= 1
            if process.alive and not process.paused and self.now <= until:
                now, machine = process.clock(self.now), process.machine
                for entry in told:
                    machine.table.merge_entry(entry, asked_at, machine.suspicion_ms, now, machine.max_age_ms)

        self.at(self.now + 3 * self.usual.delay, lambda: piece(0, True))

    # Links

    def link(self, source: str, target: str) -> Link:
        """That direction's own link, made from the usual one."""
        usual = self.usual
        made = Link(usual.loss, usual.delay, usual.jitter, usual.double, usual.cut)
        return self.links.setdefault((source, target), made)

    def cut(self, group: tuple[str, ...], others: tuple[str, ...], both: bool = True) -> None:
        """Nothing from `group` reaches `others`, nor the other way where `both`."""
        for a, b in itertools.product(group, others):
            self.link(a, b).cut = True
            if both:
                self.link(b, a).cut = True

    def heal(self) -> None:
        self.links.clear()

    def _carry(self, process: Process) -> None:
        for out in process.machine.take_datagrams():
            self.sent += 1
            second = int(self.now // 1000)
            process.seconds[second] = process.seconds.get(second, 0) + len(out.data)
            if self.on_send is not None:
                self.on_send(process, out.name, out.data)
            self.pass_on(process.name, out.name, out.data)

    def pass_on(self, source: str, target: str, data: bytes) -> None:
        """A datagram on its way, by what that link does just now."""
        link = self.links.get((source, target), self.usual)
        if link.cut or self.rng.random() < link.loss:
            return
        for _ in range(1 + (self.rng.random() < link.double)):
            when = self.now + link.delay + self.rng.random() * link.jitter
            self.at(when, lambda: self._arrive(target, data))

    def _arrive(self, target: str, data: bytes) -> None:
        for process in self.living(target):
            if process.paused:
                process.queue.append(data)
                continue
            process.machine.receive(process.clock(self.now), data)
            self._carry(process)
