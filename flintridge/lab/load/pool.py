"""The connections of a client machine to a node: kept, the one used latest taken first, more opened when all
are busy, those unused for long closed."""

import asyncio
import itertools
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.answers import Answer, AnswerReader
from flintridge.lab.records import RecordLog, ResponseReceived

SWEEP_MS = 500.0


class Asker(Protocol):
    """Who waits for an answer on a connection; each try ends by one of the last three."""

    uid: str

    def send(self, connection: "ClientConnection") -> None:
        """The connection is there."""

    def unreachable(self, why: str) -> None:
        """None came up."""

    def asked(self) -> None:
        """The last byte has left."""

    def answered(self, answer: Answer) -> bool:
        """Whether the connection may be used on."""

    def ended(self, how: str, partial: bool, crossing: bool) -> None:
        """The other end closed or reset the connection, in the middle of the answer or before it; `crossing`:
        maybe between requests, without having read this one."""

    def dropped(self) -> None:
        """The client closed the connection for another's sake."""


class ClientConnection(asyncio.Protocol):
    """One connection; answers come in the order of its requests."""

    __slots__ = (
        "_last",
        "_over",
        "_past",
        "_pool",
        "_reader",
        "_served",
        "_transport",
        "_unwritten",
        "deaths",
        "number",
        "once",
        "pending",
        "used_at",
    )

    def __init__(self, pool: "Pool", once: bool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._reader = AnswerReader()
        self._unwritten: deque[Asker] = deque()
        self._served = 0  # answers that it brought
        self._last = ""  # the uid of the last of them
        self._over = False
        self._past = False  # it is kept for a late answer alone
        self.once = once  # kept after its one request, and never used again
        self.pending: deque[Asker] = deque()
        self.number = 0  # over the day
        self.deaths = 0  # of the node's, when it was opened
        self.used_at = 0.0

    @property
    def usable(self) -> bool:
        if self._over or self._past or self._transport is None:
            return False
        return not self._transport.is_closing()

    def write(self, asker: Asker, data: bytes) -> None:
        """Send a request, and tell when its last byte has left."""
        assert self._transport is not None
        self.pending.append(asker)
        self._transport.write(data)
        if self._unwritten or self._transport.get_write_buffer_size():
            self._unwritten.append(asker)
        else:
            asker.asked()

    def give_back(self) -> None:
        """It was taken, and nothing was sent on it."""
        if self.usable and not self.pending:
            self._pool.release(self)

    def wait_past(self, asker: Asker, late: Asker, ms: float) -> None:
        """`asker`'s time is over: `late` waits in its place for so long, then the connection is closed."""
        if self._over:
            return
        self._past = True
        self.pending[self.pending.index(asker)] = late
        self._pool.call_later(ms, self.abandon)

    def abandon(self, asker: Asker | None = None) -> None:
        """Close it at once, for `asker`'s sake: the others on it lose their answers."""
        if self._over:
            return
        others = self._end()
        if self._transport is not None:
            self._transport.abort()
        for other in others:
            if other is not asker:
                other.dropped()

    # What the transport tells

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._over:  # given up while it was on its way
            transport.abort()
            return
        transport.set_write_buffer_limits(high=0)  # so that it says when the last byte has left
        self._pool.opened(self)

    def resume_writing(self) -> None:
        while self._unwritten:
            self._unwritten.popleft().asked()

    def data_received(self, data: bytes) -> None:
        for answer in self._reader.feed(data):
            if self._over:
                return
            if not self.pending:
                self._unasked(answer)
                return
            asker = self.pending.popleft()
            if answer.uid and answer.uid == self._last != asker.uid:
                self._log(answer)  # the request before got a second answer
            self._last = asker.uid
            self._served += 1
            if self._unwritten and self._unwritten[0] is asker:  # answered before it was whole
                self._unwritten.popleft().asked()
            if not asker.answered(answer):
                self.abandon()
                return
        if not self.pending:
            if self._reader.partial:
                self._unasked(Answer("garbled", "bytes that nobody asked for"))
            elif self._past:
                self.abandon()
            else:
                self._pool.release(self)

    def eof_received(self) -> None:
        self._broken("closed")

    def connection_lost(self, error: Exception | None) -> None:
        self._broken("closed" if error is None else "reset")

    def _unasked(self, answer: Answer) -> None:
        """An answer to nobody: a second one to the last request, as far as anyone can tell."""
        if self._last:
            self._log(answer)
        self.abandon()

    def _log(self, answer: Answer) -> None:
        self._pool.log_answer(answer.uid or self._last, answer)

    def _broken(self, how: str) -> None:
        if self._over:
            return
        partial = self._reader.partial
        # A process that was killed closed nothing "between requests": it may have read all of them.
        crossing = self._served > 0 and not partial and self.deaths == self._pool.deaths()
        for asker in self._end():
            asker.ended(how, partial, crossing)
            partial = False

    def _end(self) -> list[Asker]:
        self._over = True
        self._pool.forget(self)
        left = list(self.pending)
        self.pending.clear()
        self._unwritten.clear()
        return left


class Pool:
    """Connections from one client machine to one node."""

    def __init__(self, pools: "Pools", machine: str, node: str) -> None:
        self._pools = pools
        self._machine = machine
        self._node = node
        self._idle: list[ClientConnection] = []  # the latest used last
        self._open: dict[ClientConnection, None] = {}

    def take(self) -> ClientConnection | None:
        """A connection that may be written to now; None where one must be opened."""
        while self._idle:
            connection = self._idle.pop()
            if connection.usable:
                return connection
        most = self._pools.pipeline
        if most > 1:
            for connection in reversed(self._open):
                if connection.usable and not connection.once and 0 < len(connection.pending) < most:
                    return connection
        return None

    def open(self, asker: Asker, limit_ms: float, once: bool) -> None:
        """Open one for `asker`, within `limit_ms`."""
        self._pools.start(self._connect(asker, limit_ms, once))

    async def _connect(self, asker: Asker, limit_ms: float, once: bool) -> None:
        connection = ClientConnection(self, once)
        try:
            async with asyncio.timeout(limit_ms / 1000):
                await self._pools.fabric.connect(self._machine, self._node, lambda: connection)
        except TimeoutError:
            connection.abandon()
            asker.unreachable("no connection in time")
        except OSError as error:
            asker.unreachable(f"no connection: {type(error).__name__}")
        else:
            if connection.usable:
                asker.send(connection)
            else:
                asker.unreachable("closed before anything was sent")

    def opened(self, connection: ClientConnection) -> None:
        connection.number = self._pools.next_number()
        connection.deaths = self.deaths()
        self._open[connection] = None

    def release(self, connection: ClientConnection) -> None:
        """It is idle now."""
        if not connection.once:
            connection.used_at = self._pools.fabric.clock.now()
            self._idle.append(connection)

    def forget(self, connection: ClientConnection) -> None:
        """It is over."""
        self._open.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def call_later(self, ms: float, call: Callable[[], object]) -> None:
        self._pools.fabric.clock.call_later(ms, call)

    def sweep(self, before: float) -> None:
        """Close what was used last before this instant (ms)."""
        while self._idle and self._idle[0].used_at < before:
            self._idle[0].abandon()

    def close(self) -> None:
        for connection in list(self._open):
            connection.abandon()

    def deaths(self) -> int:
        return self._pools.deaths(self._node)

    def log_answer(self, uid: str, answer: Answer) -> None:
        """Write down an answer that no request waits for."""
        self._pools.log.add(answer_record(self._pools.fabric.clock.now(), self._node, uid, answer))


def answer_record(t: float, node: str, uid: str, answer: Answer, kind: str = "") -> ResponseReceived:
    """What the log keeps of an answer; `kind` where it is another than the answer says."""
    kind = kind or ("garbled" if answer.kind == "ready" else answer.kind)
    return ResponseReceived(
        at_ms=t,
        node=node,
        request_id=uid,
        kind=kind,
        body_digest=answer.body_digest,
        retry_after_ms=answer.retry_after_ms,
        text=answer.text,
    )


class Pools:
    """The pools of all client machines, by machine and node."""

    def __init__(
        self, fabric: Fabric, log: RecordLog, deaths: Callable[[str], int], pipeline: int, idle_ms: float
    ) -> None:
        self.fabric = fabric
        self.log = log
        self.deaths = deaths
        self.pipeline = pipeline
        self._idle_ms = idle_ms
        self._pools: dict[tuple[str, str], Pool] = {}
        self._numbers = itertools.count(1)
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def of(self, machine: str, node: str) -> Pool:
        pool = self._pools.get((machine, node))
        if pool is None:
            pool = self._pools[machine, node] = Pool(self, machine, node)
        return pool

    def next_number(self) -> int:
        return next(self._numbers)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run it until `close`."""
        task = asyncio.ensure_future(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def sweep(self) -> None:
        """Close idle connections that are past their time, now and from now on."""
        clock = self.fabric.clock
        before = clock.now() - self._idle_ms
        for pool in self._pools.values():
            pool.sweep(before)
        self._timer = clock.call_later(SWEEP_MS, self.sweep)

    async def close(self) -> None:
        """No connection stays open, none is being opened."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pool in self._pools.values():
            pool.close()
