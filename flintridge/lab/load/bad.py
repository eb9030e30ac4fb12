"""Clients that send what cannot be read, at full speed, and what they get for it."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple, get_args, get_type_hints

from flintridge.lab.fabric import Fabric, RunClock
from flintridge.lab.load.answers import Answer, AnswerReader
from flintridge.lab.load.front import Front
from flintridge.lab.load.pool import answer_record
from flintridge.lab.load.requests import Command, Drawn, Writer, new_id
from flintridge.lab.records import (
    MalformedClientEnded,
    RecordLog,
    RequestAbandoned,
    RequestSent,
    ResponseReceived,
)
from flintridge.lab.scenario import model
from flintridge.lab.truth import RequestFacts

KINDS: tuple[str, ...] = get_args(get_args(get_type_hints(model.BadClients)["kinds"])[0])
OWED_MS = 3000.0
OWED_HUGE_MS = 6000.0
MOST = 2_000_000  # bytes that one of them sends
CHUNK = 64 * 1024
CONNECT_MS = 1000.0
WAIT_MS = 1000  # that the good request of `used_id` says it will wait


class Good(NamedTuple):
    """A request in order that goes before the offence; the log has it like any other, only not counted."""

    uid: str
    command: Command
    drawn: Drawn


class Script(NamedTuple):
    """What a bad client sends: `first`, then `more` over and over, until `total` bytes have gone."""

    first: bytes
    more: bytes = b""
    total: int = 0
    owed_ms: float = OWED_MS
    good: Good | None = None


def script(kind: str, drawn: Drawn, writer: Writer, rng: random.Random) -> Script:
    """The script of a kind. `drawn` is a request as a usual client would send it."""
    uid = new_id(rng)
    key, cls = drawn.key, drawn.cls
    said = f"Pc={cls},d={WAIT_MS}"
    match kind:
        case "endless_line":
            return Script(f"mg {key} v O{uid} P".encode(), b"x" * CHUNK, MOST)
        case "bad_length":
            length = rng.choice(("-5", "12x", "99999999999", "5.0", ""))
            return Script(f"ms {key} {length} O{uid} {said}\r\nhello\r\n".encode())
        case "huge_value":
            line = f"ms {key} {MOST} O{uid} {said}\r\n".encode()
            return Script(line, b"v" * CHUNK, len(line) + MOST, OWED_HUGE_MS)
        case "unknown_class":
            return Script(f"mg {key} v O{uid} Pc=no-such-{uid[:4]},d={WAIT_MS}\r\n".encode())
        case "bad_deadline":
            wait = rng.choice(("-5", "soon", "nan", "1e999", "", "0x10"))
            return Script(f"mg {key} v O{uid} Pc={cls},d={wait}\r\n".encode())
        case "no_id":
            return Script(f"mg {key} v {rng.choice(('O ', ''))}{said}\r\n".encode())
        case "used_id":
            command = writer.command(drawn, uid, WAIT_MS)
            return Script(command.data + command.data, good=Good(uid, command, drawn))
        case "half_command":
            whole = writer.command(drawn, uid, WAIT_MS).data
            return Script(whole[: rng.randrange(2, len(whole) - 1)])
        case "flood":
            return Script(b"", b"please %s\r\n" % uid.encode() * 2000, MOST)
        case "silent":
            return Script(b"")
    raise ValueError(f"no kind of bad client: {kind!r}")


class Offender(asyncio.Protocol):
    """One bad client on its connection: sends its script as fast as it goes, and reads what comes."""

    def __init__(
        self, kind: str, node: str, script: Script, clock: RunClock, log: RecordLog, number: int
    ) -> None:
        """`number` is its connection's, counted over the day with those of usual clients."""
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._kind = kind
        self._node = node
        self._script = script
        self._clock = clock
        self._log = log
        self._number = number
        self._reader = AnswerReader()
        self._good = script.good  # until its answer came
        self._refused = False  # that was its answer
        self._sent = 0
        self._free = True  # to write on
        self._began = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._began = self._clock.now()
        self._timer = self._clock.call_later(self._script.owed_ms, self._end, "nothing")
        if self._script.first:
            transport.write(self._script.first)
            self._sent = len(self._script.first)
        if self._good is not None:
            self._log.add(_asked(self._began, self._node, self._number, self._good))
        self._go_on()

    def pause_writing(self) -> None:
        self._free = False

    def resume_writing(self) -> None:
        self._free = True
        self._go_on()

    def data_received(self, data: bytes) -> None:
        for answer in self._reader.feed(data):
            if self._good is not None:
                self._log.add(answer_record(self._clock.now(), self._node, self._good.uid, answer))
                self._good = None
                self._refused = answer.kind == "refused"
            else:
                got = _got(answer)
                # What was refused never ran, and its id is free: the second use is a request like any other.
                self._end("anew" if got == "served" and self._refused else got)
                return

    def eof_received(self) -> None:
        self._end("closed")

    def connection_lost(self, error: Exception | None) -> None:
        self._end("closed")

    def stop(self) -> None:
        """End without a record."""
        if not self.done.done():
            self.done.set_result(None)
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _go_on(self) -> None:
        transport, script = self._transport, self._script
        assert transport is not None
        while self._free and self._sent < script.total and not transport.is_closing():
            part = script.more[: script.total - self._sent]
            self._sent += len(part)
            transport.write(part)

    def _end(self, got: str) -> None:
        if self.done.done():
            return
        now = self._clock.now()
        if self._good is not None:
            self._log.add(_lost(now, self._node, self._good, got))
        self._log.add(
            MalformedClientEnded(
                at_ms=now,
                node=self._node,
                kind=self._kind,
                outcome=got,
                elapsed_ms=now - self._began,
                limit_ms=self._script.owed_ms,
            )
        )
        self.stop()


def _got(answer: Answer) -> str:
    return "served" if answer.kind in ("served", "ready") else "error"


def _asked(t: float, node: str, number: int, good: Good) -> RequestSent:
    fact = good.command.fact
    return RequestSent(
        at_ms=t,
        node=node,
        connection=number,
        request_id=good.uid,
        first_request_id=good.uid,
        attempt_number=0,
        scheduled_ms=t,
        class_name=fact.class_name,
        tenant=fact.tenant,
        key=fact.key,
        write=fact.write,
        time_left_ms=float(WAIT_MS),
        idempotency_key=fact.idempotency_key,
        work_ms=fact.work_ms,
        value_digest=good.command.digest,
        counted=False,
    )


def _lost(t: float, node: str, good: Good, got: str) -> ResponseReceived | RequestAbandoned:
    """How a good request ended that got no answer."""
    if got == "closed":
        return ResponseReceived(at_ms=t, node=node, request_id=good.uid, kind="closed")
    return RequestAbandoned(at_ms=t, node=node, request_id=good.uid)


class BadClients:
    """Bad clients at a rate, while switched on."""

    def __init__(
        self,
        fabric: Fabric,
        front: Front,
        log: RecordLog,
        writer: Writer,
        rng: random.Random,
        draw: Callable[[float], Drawn],
        write_down: Callable[[str, RequestFacts], None],
        machines: int,
        next_number: Callable[[], int],
    ) -> None:
        """`draw` gives a usual request due at an instant (ms); `write_down` takes the truth about one that is
        sent; there are so many client `machines`; `next_number` numbers connections over the day."""
        self._fabric = fabric
        self._front = front
        self._log = log
        self._writer = writer
        self._rng = rng
        self._draw = draw
        self._write_down = write_down
        self._machines = machines
        self._next_number = next_number
        self._per_ms = 0.0
        self._kinds: tuple[str, ...] = KINDS
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: dict[asyncio.Task[None], None] = {}

    def switch(self, per_s: float, kinds: tuple[str, ...], on: bool) -> None:
        """Begin to send so many a second, of these kinds (none: all), or stop. Raises ValueError for a kind
        that there is none of."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        unknown = [kind for kind in kinds if kind not in KINDS]
        if unknown:
            raise ValueError(f"no kind of bad client: {unknown[0]!r}")
        if on and per_s > 0:
            self._per_ms = per_s / 1000
            self._kinds = kinds or KINDS
            self._set_timer()

    async def finished(self) -> None:
        """Until all that were begun have ended."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    async def close(self) -> None:
        self.switch(0.0, (), False)
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _set_timer(self) -> None:
        self._timer = self._fabric.clock.call_later(self._rng.expovariate(self._per_ms), self._begin)

    def _begin(self) -> None:
        task = asyncio.ensure_future(self._one(self._rng.choice(self._kinds)))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))
        self._set_timer()

    async def _one(self, kind: str) -> None:
        rng = self._rng
        drawn = self._draw(self._fabric.clock.now())
        sent = script(kind, drawn, self._writer, rng)
        node = self._front.choose(drawn.zone, rng.random())
        machine = f"c{rng.randrange(self._machines)}"
        if node is None:
            return
        if sent.good is not None:
            self._write_down(sent.good.uid, sent.good.command.fact)
        offender = Offender(kind, node, sent, self._fabric.clock, self._log, self._next_number())
        try:
            async with asyncio.timeout(CONNECT_MS / 1000):
                await self._fabric.connect(machine, node, lambda: offender)
            await offender.done
        except OSError:
            pass  # the node is down: nothing was sent, nothing is owed
        finally:
            offender.stop()
