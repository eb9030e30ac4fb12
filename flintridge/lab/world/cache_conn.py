"""A node's connection to a cache server."""

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from flintridge.lab.records import body_digest
from flintridge.lab.world.cache import Job
from flintridge.lab.world.check import mismatch
from flintridge.lab.world.commands import (
    BAD,
    BUSY,
    HELLO,
    READY,
    STATS,
    UNKNOWN,
    WRITE,
    Command,
    CommandReader,
    error_answer,
    stats_answer,
)
from flintridge.lab.world.server_conn import ServerConnection
from flintridge.lab.world.spoil import spoilt

if TYPE_CHECKING:
    from flintridge.lab.world.cache_host import CacheHost

PIPELINE = 128  # commands of a connection that are begun before the first of them is answered
PROBE_MS = 0.2  # of work, that a load report costs


class Request(Job):
    """An attempt, from its last byte to its answer."""

    __slots__ = ("answer", "body", "connection", "idem", "number", "uid")

    def __init__(
        self, connection: "CacheConnection", number: int, command: Command, work: float, over_at: float
    ) -> None:
        super().__init__(command.key, command.kind == WRITE, work, over_at)
        self.connection: CacheConnection | None = connection  # None: nobody waits for it any more
        self.number = number
        self.uid = command.uid
        self.idem = command.extras.get("k", "")
        self.answer: bytes | None = None
        self.body: bytes | None = None


class Word:
    """An answer to what is no attempt."""

    __slots__ = ("answer", "closes")

    def __init__(self, answer: bytes, closes: bool = False) -> None:
        self.answer = answer
        self.closes = closes


class CacheConnection(ServerConnection):
    __slots__ = ("_greeted", "_greeting", "_later", "_mute", "_out", "_reader")
    _host: "CacheHost"

    def __init__(self, host: "CacheHost", node: str) -> None:
        super().__init__(host, node)
        self._reader = CommandReader()
        self._out: deque[Request | Word] = deque()  # begun, in the order of their answers
        self._later: deque[Request | Word] = deque()  # beyond PIPELINE
        self._mute = False  # nothing leaves any more, and nothing is heard
        self._greeted = host.kind.handshake_ms <= 0
        self._greeting = False  # its first request waits for the handshake

    # What the transport says

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        if self._open:
            host, now = self._host, self._used_at
            host.model.chore(now, host.kind.handshake_ms)
            host.settle(now)

    def data_received(self, data: bytes) -> None:
        if not self._open or self._mute:
            return
        host = self._host
        now = host.clock.now()
        if host.model.stale_after_ms and self._is_stale(now):
            return
        self._used_at = now
        for command in self._reader.feed(data, host.fabric.sent_at(self._transport)):
            self._take(now, command)
            if not self._open:
                return
        self.flush(now)
        host.settle(now)

    # Commands

    def _take(self, now: float, command: Command) -> None:
        kind = command.kind
        if kind == BAD:
            self._refuse(now, command, command.reason)
        elif kind == HELLO:
            refuses = self._host.probes and self._host.model.draining
            self._add_word(Word(BUSY if refuses else READY))
        elif kind == STATS:
            self._add_word(Word(self._report(now)))
        else:
            self._take_request(now, command)

    def _take_request(self, now: float, command: Command) -> None:
        host, model = self._host, self._host.model
        uid, write = command.uid, command.kind == WRITE
        fact = host.truth.get(uid)
        wrong = mismatch(fact, command.key, write, command.extras)
        if wrong or fact is None:
            self._refuse(now, command, wrong)
            return
        number = host.objects.attempts.next()
        request = Request(self, number, command, fact.work_ms, now + command.wait_ms)
        work_ms = model.arrive(now, request)
        digest = body_digest(command.value) if command.value is not None else ""
        self._log_attempt(now, command.began, request, command.wait_ms, work_ms, digest)
        if model.fallen:
            self._out.append(request)  # its end is told with that of all others
            host.fall()
            return
        if len(self._out) >= PIPELINE:
            self._later.append(request)
            self._transport.pause_reading()
            return
        self._out.append(request)
        if self._greeted:
            self._begin(now, request)
        elif not self._greeting:
            self._greeting = True
            host.clock.call_later(host.kind.handshake_ms, self._on_greeted)
        if model.reset_part and host.wire_rng.random() < model.reset_part:
            self.kill(now)
            host.settle(now)

    def _begin(self, now: float, request: Request) -> None:
        if self._host.model.offer(now, request) is not None:
            self._host.finish(now, request)

    def _on_greeted(self) -> None:
        """The handshake is over: what came meanwhile begins."""
        if not self._open or self._greeted:
            return
        self._greeted = True
        host, now = self._host, self._host.clock.now()
        for one in list(self._out):
            if isinstance(one, Request):
                self._begin(now, one)
        self.flush(now)
        host.settle(now)

    def _add_word(self, word: Word) -> None:
        (self._later if len(self._out) >= PIPELINE else self._out).append(word)

    def _refuse(self, now: float, command: Command, reason: str) -> None:
        self._log_malformed(now, f"{reason}: {command.uid or command.kind}")
        self._add_word(Word(error_answer(reason), command.fatal))

    def _report(self, now: float) -> bytes:
        host = self._host
        if not host.probes:
            return UNKNOWN
        host.model.chore(now, PROBE_MS)
        return stats_answer(host.model.report(now))

    # Answers

    def flush(self, now: float) -> None:
        """Write what can leave: answers keep the order of their commands."""
        out = self._out
        while self._open and out and out[0].answer is not None:
            parts: list[bytes] = []
            closes = False
            while out and not closes and (answer := out[0].answer) is not None:
                one = out.popleft()
                if isinstance(one, Request):
                    answer = self._sent(now, one, answer)
                else:
                    closes = one.closes
                if not self._mute:
                    parts.append(answer)
            self._used_at = now
            if parts:
                self._transport.write(parts[0] if len(parts) == 1 else b"".join(parts))
            if closes:
                self._close(now)
            elif self._later:
                self._begin_more(now)

    def _begin_more(self, now: float) -> None:
        while self._later and len(self._out) < PIPELINE:
            one = self._later.popleft()
            self._out.append(one)
            if isinstance(one, Request) and self._greeted:
                self._begin(now, one)
        if not self._later:
            self._transport.resume_reading()

    def _sent(self, now: float, request: Request, answer: bytes) -> bytes:
        """Record an answer as it leaves, spoilt or lost where such a fault is on."""
        host, model = self._host, self._host.model
        outcome, body = request.outcome, request.body
        if model.lost_part and host.wire_rng.random() < model.lost_part:
            self._mute = True  # what came behind on this connection would answer the wrong command
        elif model.spoilt_part and host.wire_rng.random() < model.spoilt_part:
            answer, whole = spoilt(host.wire_rng, request.uid, answer, body)
            if not whole:
                outcome = "spoilt"
        made = body_digest(body) if body is not None and outcome == "value" else ""
        self._log_made(now, request, outcome, made, self._mute)
        request.connection = None
        return answer

    # Ends

    def _forsake(self, now: float) -> None:
        host = self._host
        for one in (*self._out, *self._later):
            if isinstance(one, Request):
                one.connection = None
                self._log_dropped(now, one)
                if host.up:
                    host.model.cancel(now, one)
        self._out.clear()
        self._later.clear()
        if host.up:
            host.settle(now)

    def _is_busy(self) -> bool:
        return bool(self._out or self._later)

    def _is_mute(self) -> bool:
        return self._mute

    def _is_stale(self, now: float) -> bool:
        """The fault by which something on the way forgets connections that nobody used."""
        model = self._host.model
        if self._is_busy() or now - self._used_at <= model.stale_after_ms:
            return False
        if model.stale_silent:
            self._mute = True
        else:
            self.kill(now)
        return True
