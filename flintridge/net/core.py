"""Between a front and the drivers: Envelopes become the module's events, its actions become deeds.

It decides nothing on its own: no server is picked here and nothing is sent again. It knows no protocol.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from flintridge import api
from flintridge.net.clock import NS, Clock, Timer, to_ms, to_ns
from flintridge.net.counters import Counters
from flintridge.net.envelope import Answer, DeliveryAttempt, Envelope, Long, Passage, Reply
from flintridge.net.log import EventLog
from flintridge.net.room import Room

# A client's time counts from its sending, and the answer takes its way back: answers are due this much early.
MARGIN = 10.0
SMALL = 64 * 1024  # a value up to this is there three times for a while: taken in, on its way, in a buffer


def needed(length: int) -> int:
    """Bytes of room for a value of a write."""
    return length if length > SMALL else 3 * length


class Module(Protocol):
    def handle(self, now: int, event: api.Event) -> list[api.Action]: ...


class DeliveryDriver(Protocol):
    def start(self, attempt: DeliveryAttempt) -> None: ...

    def probe(self, server: str, done: "ProbeDone") -> None: ...

    def close_idle(self, server: str) -> None: ...


class ProbeDone(Protocol):
    def __call__(self, answer: Answer) -> None: ...


class WatchDriver(Protocol):
    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...


class IdInUse(ValueError):
    """A request with this id is still open here."""


@dataclass(slots=True, eq=False)
class Open:
    """A request that was taken in, until it is answered and its attempts have ended."""

    envelope: Envelope
    reply: Reply
    deadline: float
    guard: Timer
    kept: int  # bytes of room for its value
    answered: bool = False
    attempts: list[DeliveryAttempt] = field(default_factory=list)
    out: int = 0


class Core:
    def __init__(
        self,
        module: Module,
        settings: api.Settings,
        clock: Clock,
        held_bytes: int,
        log: EventLog,
        counters: Counters,
    ) -> None:
        self.room = Room(held_bytes, clock)  # for values of writes
        self._module = module
        self._settings = settings
        self._clock = clock
        self._log = log
        self._counters = counters
        self._delivery: DeliveryDriver | None = None
        self._watch: WatchDriver | None = None
        self._open: dict[str, Open] = {}
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._closed = False
        self.answer_by = math.inf  # whatever is taken in is answered by then, however long its client waits
        self._now = 0  # the module's clock never goes back, nor behind a timer that is due
        self.moved: Callable[[DeliveryAttempt, int], None] | None = None  # told +1 and -1: an attempt is out
        self.seen: Callable[[int], None] | None = None  # called with the tenant of each request that is new

    def attach(self, delivery: DeliveryDriver, watch: WatchDriver) -> None:
        self._delivery, self._watch = delivery, watch

    # Events

    def submit(self, envelope: Envelope, reply: Reply, kept: int = 0) -> str:
        """Take a request in; its id, by which `gone` may be told.

        `kept`: bytes of `room` that its value has already; they are the request's, unless IdInUse is raised.
        """
        uid = envelope.id.decode("ascii")
        if uid in self._open:
            raise IdInUse
        self._counters.add("requests")
        full = len(self._open) >= self._settings.limits.max_open
        if not kept and not full:
            kept = needed(len(envelope.value or b""))
            full = not self.room.take(kept)
            kept = 0 if full else kept
        if full:
            # Guards the node's memory. It never ran, so trying again is harmless.
            self._counters.add("answers_turned_away")
            self.room.give(kept)
            reply.defer(0.0)
            return uid
        cls = self._settings.classes[envelope.cls]
        patience = to_ms(cls.deadline_ns)
        if envelope.wait_ms is not None:
            patience = min(patience, envelope.wait_ms)
        margin = min(MARGIN, patience / 10)
        deadline = min(self._clock.came_since() + patience - margin, self.answer_by)
        guard = self._clock.call_at(deadline + margin / 2, self._due, uid)
        self._open[uid] = Open(envelope, reply, deadline, guard, kept)
        if self.seen is not None and not envelope.retry:
            self.seen(envelope.tenant)
        self._tell(
            api.Request(
                id=uid,
                deadline=to_ns(deadline),
                cls=envelope.cls,
                key=envelope.key.decode("ascii"),
                write=envelope.write,
                tenant=envelope.tenant,
                retry=envelope.retry,
                work_ns=None if envelope.work_us is None else round(envelope.work_us * 1000),
                size=envelope.size,
            )
        )
        return uid

    def gone(self, uid: str) -> None:
        """The client went away: nothing more is owed, but attempts that are out still end."""
        request = self._open.get(uid)
        if request is not None and not request.answered:
            self._counters.add("clients_gone")
            self._answered(uid, request)
            self._tell(api.ClientGone(uid))

    def close(self) -> None:
        """Nothing is told to the module any more, whatever falls due; open requests end unanswered.

        Guards an event loop that goes on without this node against calls and tasks of a node that is closed.
        """
        self._closed = True
        for request in self._open.values():
            request.guard.cancel()
            self.room.give(request.kept)
        self._open.clear()

    def told(self, event: api.MemberList | api.Holdings) -> None:
        self._tell(event)

    def begins(self, attempt: DeliveryAttempt, long: Long) -> Passage | None:
        """An attempt is served with a long value: the way to its client, or None where nobody waits for it.

        For the module it ends here, as its request has its answer: while pieces go out, for as long as the
        client reads, the server has done its part, and nothing can be decided any more.
        """
        request = self._open.get(attempt.id)
        if attempt.ended or request is None or request.answered:
            return None
        self._counters.add("answers_in_pieces")
        self._answered(attempt.id, request)
        passage = request.reply.begin(long.length)
        self.attempt_ended(attempt, long.answer)
        return passage

    def attempt_ended(self, attempt: DeliveryAttempt, answer: Answer) -> None:
        """Each attempt ends here once, however it ends."""
        if attempt.ended:
            return
        attempt.ended = True
        if self.moved is not None:
            self.moved(attempt, -1)
        self._counters.add(f"attempts_{answer.outcome.value}")
        if answer.spoilt:
            self._counters.add("attempts_spoilt")
        request = self._open.get(attempt.id)
        if request is not None:
            request.out -= 1
            if answer.served is not None and not request.answered:
                self._counters.add("answers_served")
                self._answered(attempt.id, request)
                request.reply.served(answer.served)
        self._tell(
            api.AttemptEnded(
                id=attempt.id,
                attempt=attempt.number,
                server=attempt.server,
                outcome=answer.outcome,
                latency_ns=max(0, to_ns(self._clock.now() - attempt.sent_at)),
                final=request is None or request.answered,
                note=answer.note,
                load=answer.load,
                spoilt=answer.spoilt,
            )
        )
        self._forget(attempt.id)

    @property
    def idle(self) -> bool:
        """Whether every request has its final answer."""
        return self.unanswered == 0

    @property
    def unanswered(self) -> int:
        """How many requests await their final answer."""
        return sum(not request.answered for request in self._open.values())

    def _tell(self, event: api.Event) -> None:
        """The module is not re-entrant: what happens while it decides waits its turn."""
        if self._closed:
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._now = max(self._now, to_ns(self._clock.now()))
                event = self._events.popleft()
                try:
                    actions = self._module.handle(self._now, event)
                except Exception as error:  # the guard of each request still answers in time
                    self._counters.add("module_errors")
                    self._log.error("module_broke", error, on=type(event).__name__)
                    continue
                for action in actions:
                    try:
                        self._carry_out(action)
                    except Exception as error:
                        self._counters.add("action_errors")
                        self._log.error("action_broke", error, action=type(action).__name__)
        finally:
            self._handling = False

    # Actions

    def _carry_out(self, action: api.Action) -> None:
        assert self._delivery is not None and self._watch is not None
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer(at, token):
                self._clock.call_at(to_ms(at), self._timer, at, token)
            case api.Cancel(uid, number):
                self._cancel(uid, number)
            case api.Refuse(uid, retry_after):
                self._refuse(uid, retry_after)
            case api.Fail(uid):
                if (request := self._unanswered(uid)) is not None:
                    self._counters.add("answers_failed")
                    request.reply.failed()
            case api.Watch(on):
                self._watch.watch(on)
            case api.FetchList():
                self._watch.fetch()
            case api.Probe(server):
                self._probe(server)
            case api.CloseIdle(server):
                self._delivery.close_idle(server)
            case api.Log(text):
                self._log.event("module", text=text)
            case _:
                self._log.event("action_unknown", action=type(action).__name__)

    def _send(self, send: api.Send) -> None:
        assert self._delivery is not None
        uid, server, timeout_ns = send.id, send.server, send.timeout_ns
        now = self._clock.now()
        request = self._open.get(uid)
        if request is None:
            self._log.event("send_for_unknown_request", server=server)
            return
        until = request.deadline if timeout_ns == 0 else min(request.deadline, now + to_ms(timeout_ns))
        attempt = DeliveryAttempt(uid, len(request.attempts), server, request.envelope, now, until)
        attempt.begin_by, attempt.written_by = send.begin_by / NS, send.written_by / NS
        attempt.look = request.reply.look
        request.attempts.append(attempt)
        request.out += 1
        if self.moved is not None:
            self.moved(attempt, +1)
        over = attempt.number >= self._settings.limits.max_attempts
        if request.answered or over or now >= request.deadline:
            self.attempt_ended(attempt, Answer(api.Outcome.MOOT))
        elif until <= now:
            self.attempt_ended(attempt, Answer(api.Outcome.TIMEOUT))
        else:
            self._counters.add("attempts_sent")
            self._delivery.start(attempt)

    def _cancel(self, uid: str, number: int) -> None:
        request = self._open.get(uid)
        if request is None or not 0 <= number < len(request.attempts):
            return
        attempt = request.attempts[number]
        if not attempt.ended and attempt.give_up is not None:
            attempt.give_up()
            self.attempt_ended(attempt, Answer(api.Outcome.CANCELLED))

    def _refuse(self, uid: str, retry_after_ns: int) -> None:
        if (request := self._unanswered(uid)) is not None:
            limits = self._settings.limits
            wait = min(retry_after_ns, limits.max_retry_after_ns) if limits.retry_after else 0
            self._counters.add("answers_deferred")
            request.reply.defer(to_ms(wait))

    def _probe(self, server: str) -> None:
        assert self._delivery is not None
        began = self._clock.now()

        def done(answer: Answer) -> None:
            took = to_ns(self._clock.now() - began)
            self._tell(api.Probed(server, answer.outcome, took, answer.load))

        self._counters.add("probes")
        self._delivery.probe(server, done)

    # What is open

    def _timer(self, at: int, token: int) -> None:
        self._now = max(self._now, at)
        self._tell(api.TimerFired(token))

    def _due(self, uid: str) -> None:
        """Guards those that are about to be answered against a loop that was held up: what fell due before
        has its turn first, as the end of an attempt at the deadline, of which its task hears a step later."""
        if (request := self._open.get(uid)) is not None and not request.answered:
            request.guard = self._clock.call_at(self._clock.now(), self._overdue, uid)

    def _overdue(self, uid: str) -> None:
        """Guards the client against a module that broke, or forgot: it fails in time all the same."""
        if (request := self._unanswered(uid)) is not None:
            self._counters.add("answers_overdue")
            self._log.event("overdue", id=uid, attempts=len(request.attempts))
            request.reply.failed()
            self._tell(api.ClientGone(uid))

    def _unanswered(self, uid: str) -> Open | None:
        """A request that its caller now answers, for good."""
        request = self._open.get(uid)
        if request is None or request.answered:
            return None
        self._answered(uid, request)
        return request

    def _answered(self, uid: str, request: Open) -> None:
        request.answered = True
        request.guard.cancel()
        for attempt in request.attempts:
            attempt.over = True
        self._forget(uid)

    def _forget(self, uid: str) -> None:
        request = self._open.get(uid)
        if request is not None and request.answered and request.out == 0:
            del self._open[uid]
            self.room.give(request.kept)
