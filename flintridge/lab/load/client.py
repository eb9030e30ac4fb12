"""What a client does for one request: its tries, how long it waits, and when it comes again."""

import asyncio
import random
from collections import deque

from flintridge.lab.fabric import RunClock
from flintridge.lab.load.answers import Answer
from flintridge.lab.load.front import Front
from flintridge.lab.load.pool import ClientConnection, Pools, answer_record
from flintridge.lab.load.requests import Drawn, Writer, new_id
from flintridge.lab.records import (
    RecordLog,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
)
from flintridge.lab.scenario.model import RequestClass, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth, RequestFacts
from flintridge.lab.world.draws import draw

CONNECT_MS = 1000.0
STAYS_ON_MS = 5.0  # beyond the slack of the rule on answers, so that its end is surely seen
LEAST_MS = 5.0  # no further try is begun with less time than this
REMEMBER_MS = 60_000.0  # the truth about a try is kept so long


class Clients:
    """What all requests share: habits, the front, the pools, the log."""

    def __init__(
        self,
        scenario: Scenario,
        seeds: Seeds,
        clock: RunClock,
        log: RecordLog,
        truth: GroundTruth,
        front: Front,
        pools: Pools,
    ) -> None:
        self.habits = scenario.clients
        self.backoff_ms = draw(seeds.of("load/backoff"), scenario.clients.backoff_ms)
        self.longest_told_ms = scenario.limits.max_retry_after_ms
        self.stays_ms = scenario.rules.answer_slack_ms + STAYS_ON_MS
        self.writer = Writer(scenario)
        self.clock = clock
        self.log = log
        self.front = front
        self.pools = pools
        self.open: dict[Asking, None] = {}  # in the order in which they came
        self.idle = asyncio.Event()  # none is open
        self.idle.set()
        self._truth = truth
        self._facts: deque[tuple[float, str]] = deque()

    def ask(self, drawn: Drawn, rng: random.Random, counted: bool = True) -> None:
        """A first try is due now; `rng` is the request's own stream."""
        asking = Asking(self, drawn, rng, counted)
        self.open[asking] = None
        self.idle.clear()
        asking.begin()

    def write_down(self, uid: str, fact: RequestFacts) -> None:
        """What a try is about, before it is sent; forgotten after a minute."""
        now = self.clock.now()
        while self._facts and self._facts[0][0] < now - REMEMBER_MS:
            self._truth.forget(self._facts.popleft()[1])
        self._truth.put(uid, fact)
        self._facts.append((now, uid))

    def done(self, asking: "Asking") -> None:
        """A request is over."""
        self.open.pop(asking, None)
        if not self.open:
            self.idle.set()

    def stop(self) -> None:
        """Whatever is open is given up, without a word."""
        for asking in list(self.open):
            asking.stop()
        self.open.clear()


class Asking:
    """One request, through all its tries. One of them is out at a time."""

    __slots__ = (
        "_asked",
        "_clients",
        "_cls",
        "_connection",
        "_counted",
        "_digest",
        "_drawn",
        "_first",
        "_first_sent",
        "_hint",
        "_honours",
        "_idem",
        "_leaves_after",
        "_limit",
        "_machine",
        "_node",
        "_nth",
        "_once",
        "_repeated",
        "_rng",
        "_sent",
        "_timer",
        "_wait_ms",
        "uid",
    )

    def __init__(self, clients: Clients, drawn: Drawn, rng: random.Random, counted: bool) -> None:
        habits = clients.habits
        self._clients = clients
        self._drawn = drawn
        self._rng = rng
        self._counted = counted
        self._cls: RequestClass = clients.writer.classes[drawn.cls]
        self._limit = drawn.due_ms + self._cls.deadline_ms
        mark = rng.random
        self._machine = f"c{int(mark() * habits.pools)}"
        self._honours = mark() < habits.honour
        self._once = mark() < habits.once
        leaves, when = mark(), mark()
        self._leaves_after = when if leaves < habits.leave_early else 0.0  # share of the first try's time
        self._hint = clients.writer.hint(drawn, rng)
        self._idem = new_id(rng) if clients.writer.is_keyed(drawn) else ""
        self._nth = -1
        self.uid = self._first = ""
        self._node = ""
        self._connection: ClientConnection | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._asked = False  # the try that is out was written whole
        self._repeated = False  # it was sent once more, after a close that crossed it
        self._wait_ms = 0
        self._first_sent: float | None = None  # of all tries, to a node that took it
        self._digest = ""  # of the value that the try writes
        self._sent = 0.0  # when the try began to be written

    # A try

    def begin(self) -> None:
        """The next try."""
        self._timer = None
        self._nth += 1
        self.uid = new_id(self._rng)
        self._first = self._first or self.uid
        self._repeated = False
        self._place(new=self._once)

    def _place(self, new: bool) -> None:
        """Find a connection, through the front."""
        self._asked = False
        front, zone, share = self._clients.front, self._drawn.zone, self._rng.random()
        left = self._limit - self._clients.clock.now()
        node = front.choose(zone, share) if new else front.choose_open(zone, share)
        connection = None
        if node is not None and not new and left >= 1:
            connection = self._clients.pools.of(self._machine, node).take()
            if connection is None and front.is_leaving(node):
                node = front.choose(zone, share)  # no new connection goes to it
                connection = None if node is None else self._clients.pools.of(self._machine, node).take()
        self._node = node or ""
        if node is None or left < 1:
            self._not_taken("no node in use" if node is None else "no time left")
        elif connection is None:
            pool = self._clients.pools.of(self._machine, node)
            pool.open(self, min(CONNECT_MS, left), self._once)
        else:
            self.send(connection)

    def send(self, connection: ClientConnection) -> None:
        """Write the try's command."""
        clients, cls = self._clients, self._cls
        now = clients.clock.now()
        self._wait_ms = int(min(clients.habits.try_share * cls.deadline_ms, self._limit - now))
        if self._wait_ms < 1 or not self._in_window(now):
            connection.give_back()
            self._not_taken("too late to be sent")
            return
        command = clients.writer.command(
            self._drawn, self.uid, self._wait_ms, self._nth, self._hint, self._idem
        )
        clients.write_down(self.uid, command.fact)
        self._connection = connection
        self._digest = command.digest
        self._sent = now
        self._set_timer(now)
        connection.write(self, command.data)

    def _set_timer(self, sent: float) -> None:
        """Until when this try's answer is waited for."""
        if self._timer is not None:
            self._timer.cancel()
        clock = self._clients.clock
        if self._leaves_after and not self._nth:
            self._timer = clock.call_at(sent + self._leaves_after * self._wait_ms, self._leave)
        else:
            self._timer = clock.call_at(min(sent + self._wait_ms, self._limit), self._time_out)

    def asked(self) -> None:
        """The last byte has left."""
        clients, drawn, connection = self._clients, self._drawn, self._connection
        assert connection is not None
        now = clients.clock.now()
        if self._timer is not None and self._sent < now:
            self._set_timer(now)  # the client waits from now on
        self._asked = True
        if self._first_sent is None:
            self._first_sent = now
        clients.log.add(
            RequestSent(
                at_ms=now,
                node=self._node,
                connection=connection.number,
                request_id=self.uid,
                first_request_id=self._first,
                attempt_number=self._nth,
                scheduled_ms=drawn.due_ms,
                class_name=drawn.cls,
                tenant=drawn.tenant,
                key=drawn.key,
                write=drawn.write,
                time_left_ms=float(self._wait_ms),
                idempotency_key=self._idem,
                work_ms=drawn.work_ms,
                value_digest=self._digest,
                counted=self._counted,
            )
        )

    # Its end

    def unreachable(self, why: str) -> None:
        """No connection came up."""
        self._not_taken(why)

    def answered(self, answer: Answer) -> bool:
        """The answer is whole; whether it can be one to this try."""
        kind = kind_of(answer, self.uid, self._drawn.write)
        fits = kind != "garbled"
        self._stop_waiting()
        now = self._clients.clock.now()
        self._clients.log.add(answer_record(now, self._node, self.uid, answer, kind))
        if kind == "served":
            self._over()
        else:
            self._again(harmless=kind == "refused", told_ms=answer.retry_after_ms)
        return fits

    def ended(self, how: str, partial: bool, crossing: bool) -> None:
        """The connection ended under it."""
        self._stop_waiting()
        if not self._asked:
            self._not_taken(f"{how} before all was sent")
            return
        text = "in the middle of the answer" if partial else ""
        now = self._clients.clock.now()
        self._clients.log.add(
            ResponseReceived(at_ms=now, node=self._node, request_id=self.uid, kind=how, text=text)
        )
        if crossing and not self._repeated:
            self._repeated = True
            self._place(new=True)
        else:
            self._again(harmless=False)

    def dropped(self) -> None:
        """The client closed the connection upon another request on it."""
        self._stop_waiting()
        if self._asked:
            self._give_up(early=True)
            self._again(harmless=False)
        else:
            self._not_taken("closed before all was sent")

    def _time_out(self) -> None:
        connection = self._connection
        if self._asked and connection is not None:
            self._give_up(early=False, stays_ms=self._clients.stays_ms)
            self._stop_waiting()
            connection.wait_past(self, Late(self), self._clients.stays_ms)
        else:
            self._log_not_taken("not sent in time")
            self._close()
        self._again(harmless=not self._asked)

    def _leave(self) -> None:
        """The client goes away for good."""
        if self._asked:
            self._give_up(early=True)
        else:
            self._log_not_taken("left before all was sent")
        self._close()
        self._over()

    def _close(self) -> None:
        connection = self._connection
        self._stop_waiting()
        if connection is not None:
            connection.abandon(self)

    def _stop_waiting(self) -> None:
        self._connection = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _give_up(self, early: bool, stays_ms: float = 0.0) -> None:
        now = self._clients.clock.now()
        gave_up = RequestAbandoned(
            at_ms=now, node=self._node, request_id=self.uid, left_early=early, lingers_ms=stays_ms
        )
        self._clients.log.add(gave_up)

    def _not_taken(self, why: str) -> None:
        self._log_not_taken(why)
        self._again(harmless=True)

    def _log_not_taken(self, why: str) -> None:
        drawn = self._drawn
        self._clients.log.add(
            RequestNotAccepted(
                at_ms=self._clients.clock.now(),
                node=self._node,
                request_id=self.uid,
                first_request_id=self._first,
                attempt_number=self._nth,
                scheduled_ms=drawn.due_ms,
                class_name=drawn.cls,
                tenant=drawn.tenant,
                key=drawn.key,
                write=drawn.write,
                work_ms=drawn.work_ms,
                counted=self._counted,
                reason=why,
            )
        )

    # What comes next

    def _again(self, harmless: bool, told_ms: float = 0.0) -> None:
        """Try again, or leave it at that; `harmless`: the try that ended has surely not run."""
        clients = self._clients
        at = clients.clock.now() + self._pause(told_ms)
        if self._nth < clients.habits.retries and at + LEAST_MS <= self._limit and self._may(harmless, at):
            self._timer = clients.clock.call_at(at, self.begin)
        else:
            self._over()

    def _may(self, harmless: bool, at: float) -> bool:
        """Whether a client may repeat it: unless it is safe, only where nothing can be done twice."""
        cls = self._cls
        if cls.effect == "safe":
            return True
        # Where all servers drop repeats, a node may refuse what has run: the window counts all the same.
        if cls.effect == "keyed" and cls.deduplication_scope == "all":
            return self._in_window(at)
        return harmless  # and so were all before, or there would have been no further try

    def _in_window(self, at: float) -> bool:
        cls = self._cls
        if cls.effect != "keyed" or cls.deduplication_scope != "all" or self._first_sent is None:
            return True
        return at <= self._first_sent + cls.deduplication_window_ms

    def _pause(self, told_ms: float) -> float:
        """Milliseconds until the next try."""
        clients = self._clients
        mark = self._rng.random()
        if told_ms > 0 and self._honours:
            return min(told_ms, clients.longest_told_ms)
        if clients.habits.backoff == "none":
            return 0.0
        return clients.backoff_ms * (0.5 + mark if clients.habits.backoff == "jitter" else 1.0)

    def _over(self) -> None:
        self._clients.done(self)

    def stop(self) -> None:
        """The day is over for the client, whatever is still out."""
        self._stop_waiting()


def kind_of(answer: Answer, uid: str, write: bool) -> str:
    """What an answer is to the request that it must belong to; `garbled` where it can't be one to it."""
    if answer.kind == "ready":
        return "garbled"
    if answer.kind == "served" and (answer.uid != uid or answer.receipt != write):
        return "garbled"
    return answer.kind


class Late:
    """What is left of a try whose client's time ran out: an answer in the slack is written down, no more."""

    __slots__ = ("_clients", "_node", "_write", "uid")

    def __init__(self, asking: Asking) -> None:
        self._clients = asking._clients
        self._node = asking._node
        self._write = asking._drawn.write
        self.uid = asking.uid

    def send(self, connection: ClientConnection) -> None:
        raise RuntimeError("a try that is over is not sent")

    def unreachable(self, why: str) -> None:
        raise RuntimeError("a try that is over had its connection")

    def asked(self) -> None:
        """It had been, before its time ran out."""

    def answered(self, answer: Answer) -> bool:
        kind = kind_of(answer, self.uid, self._write)
        now = self._clients.clock.now()
        self._clients.log.add(answer_record(now, self._node, self.uid, answer, kind))
        return False  # its client closes the connection

    def ended(self, how: str, partial: bool, crossing: bool) -> None:
        now = self._clients.clock.now()
        self._clients.log.add(ResponseReceived(at_ms=now, node=self._node, request_id=self.uid, kind=how))

    def dropped(self) -> None:
        """It is past waiting for."""
