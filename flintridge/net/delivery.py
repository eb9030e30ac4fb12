"""Connections to cache servers and the origin, and the DeliveryAttempts carried over them.

One attempt a connection at a time: answers on one come in order and a cancel closes it, so an attempt behind
another would wait for it and die with it. Idle connections are kept and used again, the latest first.
"""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.api import Outcome, Settings
from flintridge.config.address import Address
from flintridge.core.exchange import Exchange
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult, DownstreamClosedError, StreamedResponse, StreamedValue
from flintridge.discovery.endpoint_list import EndpointAddress, EndpointList
from flintridge.net.memcache import CacheExchange, CacheProbe
from flintridge.net.origin import OriginExchange, OriginProbe
from flintridge.runtime.clock import Clock, DeadlineExceededError, to_ms, within
from flintridge.runtime.streams import READ, CountingReader, holds_bytes, open_stream, spent
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

IDLE_PART = 0.8  # of the time after which a server closes an idle connection; we close it by then
SWEEP = 250.0
AGED = 200.0  # a connection idle for less was in use just now
STALE_SPAN = 20_000.0  # so long counts what was seen of old connections
STALE_PART = 0.8  # of the least age at which most were lost
PROBE_TIME = 500.0
PIECE = 64 * 1024  # bytes of a value that are handed to a connection at a time
# So long a connection whose last answer named no request is not used again. Guards the next one against a
# second copy of that answer, which can come some milliseconds late and would pass for its own.
REST = 50.0
SERVER_SILENT = 10_000.0  # so long a server may pause within a long value; then it has failed


class NoDescriptorError(OSError):
    """Every descriptor that may be used for servers is in use."""


class Withheld(Exception):
    """An attempt that may not be written any more; nothing of it was."""


class LinkReader(CountingReader):
    """Tells of anything that arrives while nothing was asked.

    Guards the next question on a kept connection against being answered by bytes that lie there already: a
    second copy of the answer before, noise behind it, or the end of the connection.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, limit=READ // 2)
        self.unasked: Callable[[], None] | None = None  # set while nothing may arrive

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # as in the base
        super().feed_data(data)
        if self.unasked is not None:
            self.unasked()

    def feed_eof(self) -> None:
        super().feed_eof()
        if self.unasked is not None:
            self.unasked()


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to a server."""

    address: Address
    reader: LinkReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0
    rests_until: float = 0.0
    asked: bool = False  # the question was written whole
    aged: float = (
        0.0  # how long it had been idle when it was taken for the question that is out; 0: it is new
    )
    before: int = 0  # bytes that were read until then

    @property
    def unanswered(self) -> bool:
        return self.reader.taken == self.before

    @property
    def broken(self) -> bool:
        """Whether it has ended, or holds bytes that belong to no question."""
        return spent(self.reader, self.writer)

    async def ask(
        self, exchange: Exchange, clock: Clock, written_by: float = math.inf
    ) -> AttemptResult | None:
        """None where a long value has begun, which the exchange then holds. Raises OSError where the
        connection breaks, DeadlineExceededError where the question is not written whole by then."""
        self.asked = False
        if written_by < math.inf:
            await within(clock, written_by - clock.now(), self._write(exchange))
        else:
            await self._write(exchange)
        self.asked = True
        while True:
            answer = await self.more(exchange)
            if answer is not None or exchange.streamed_value is not None:
                return answer

    async def _write(self, exchange: Exchange) -> None:
        short: list[bytes | bytearray] = []
        for part in exchange.encode_request():
            if len(part) <= PIECE:
                short.append(part)
                continue
            # A long value goes by pieces: the transport would copy all that the server has not read.
            self.writer.writelines(short)
            short = []
            for at in range(0, len(part), PIECE):
                self.writer.write(memoryview(part)[at : at + PIECE])
                await self.writer.drain()
        self.writer.writelines(short)
        try:
            await self.writer.drain()  # with no high-water mark: returns when all is written
        except asyncio.CancelledError:
            # Guards rule 2 against a time-out in the very step in which the last byte went out, of which this
            # task was to hear next: it may have run.
            transport = self.writer.transport
            self.asked = not transport.is_closing() and not transport.get_write_buffer_size()
            raise

    async def more(self, exchange: Exchange) -> AttemptResult | None:
        """Read on. Raises OSError where the connection ends too early."""
        data = await self.reader.read(READ)
        answer = exchange.feed(data) if data else exchange.end()
        if answer is None and not data:
            raise ConnectionResetError("the server ended the connection")
        return answer


async def _open(address: Address) -> tuple[LinkReader, asyncio.StreamWriter]:
    reader = LinkReader(asyncio.get_running_loop())
    return reader, await open_stream(reader, address.host, address.port)


class Dispatcher:
    def __init__(
        self,
        transports: EndpointList,
        settings: Settings,
        clock: Clock,
        room: int,
        report: Callable[[UpstreamAttempt, AttemptResult], None],
        log: EventLog,
        counters: Counters,
        begins: Callable[[UpstreamAttempt, StreamedValue], StreamedResponse | None] = lambda *_: None,
    ) -> None:
        self._begins = begins
        self._transports = transports
        self._connect_time = to_ms(settings.limits.connect_timeout_ns)
        self._longest = self._idle_time = IDLE_PART * to_ms(settings.limits.conn_idle_ns)
        self._ages: deque[tuple[float, float, bool]] = deque(maxlen=64)  # when, how old, whether lost
        self._stale_at = 0.0
        self._clock = clock
        self.room = room
        self._report = report
        self._log = log
        self._counters = counters
        self._open = 0  # connections, those being opened too
        self._idle: dict[str, deque[UpstreamConnection]] = {}  # by server, the latest used last
        self._tasks: dict[asyncio.Task[None], None] = {}  # in their order, which a set would not keep
        self._sweep_timer = clock.call_at(clock.now() + SWEEP, self._sweep)

    def start(self, attempt: UpstreamAttempt) -> None:
        self._track(asyncio.ensure_future(self._carry(attempt)), attempt)

    def check_health(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        self._track(asyncio.ensure_future(self._probe(server, done)))

    def close_idle_connections(self, server: str) -> None:
        for link in self._idle.pop(server, ()):
            self._close(link)

    async def close(self) -> None:
        self._sweep_timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in list(self._idle):
            self.close_idle_connections(server)

    def _track(self, task: asyncio.Task[None], attempt: UpstreamAttempt | None = None) -> None:
        self._tasks[task] = None
        task.add_done_callback(self._ended)
        if attempt is not None:
            attempt.abort = task.cancel

    def _ended(self, task: asyncio.Task[None]) -> None:
        del self._tasks[task]

    # One attempt

    async def _carry(self, attempt: UpstreamAttempt) -> None:
        link: UpstreamConnection | None = None
        answer = AttemptResult(Outcome.CONNECT_FAILED)  # what holds until its last byte is written
        try:
            transport = self._transports[attempt.server]
            link = self._take(attempt.server, transport)
            if link is None:
                limit = min(self._connect_time, attempt.deadline - self._clock.now())
                link = await self._connect(transport.address, limit)
            # The connection may have been long in coming up: what the send rested on has to hold still. And
            # the client may have left while the loop was held up, by a crowd of others: it has yet to see it.
            now = self._clock.now()
            attempt.check_client()
            if attempt.request_ended or now > min(attempt.begin_by, attempt.written_by):
                raise Withheld
            exchange = self._exchange(attempt, transport)
            ask = link.ask(exchange, self._clock, attempt.written_by)
            got = await within(self._clock, attempt.deadline - now, ask)
            self._note_age(link.aged, False)
            if exchange.streamed_value is None or (
                got is not None and got.response is None and got.malformed
            ):
                assert got is not None
                answer = got
            else:
                answer = exchange.streamed_value.result
                await self._pass_on(attempt, exchange, exchange.streamed_value, link, got)
            if exchange.reusable:
                self._keep(attempt.server, link, exchange.names_request)
                link = None
        except DeadlineExceededError:
            if link is not None and link.asked:
                answer = AttemptResult(Outcome.TIMEOUT)
        except Withheld:
            self._counters.add("attempts_expired_unsent")
            answer = AttemptResult(Outcome.WITHDRAWN)
            assert link is not None
            self._keep(attempt.server, link)
            link = None
        except NoDescriptorError:
            self._counters.add("attempts_no_descriptor")
            answer = AttemptResult(Outcome.WITHDRAWN)  # never sent, and no sign of its server
        except OSError as error:
            error.with_traceback(None)  # the link's reader keeps it, and with its frames link and value
            if link is not None and link.asked:
                # One kept for a while that ends without a byte had ended before, which nobody said.
                stale = link.unanswered and link.aged >= AGED
                answer = AttemptResult(Outcome.RESET, malformed=stale)
                self._note_age(link.aged, stale)
        except asyncio.CancelledError:
            answer = AttemptResult(Outcome.CANCELLED)
        except Exception as error:
            self._log.error("attempt_broke", error, server=attempt.server)
            answer = AttemptResult(Outcome.ERROR)
        finally:
            if link is not None:
                self._close(link)
        self._report(attempt, answer)

    async def _pass_on(
        self,
        attempt: UpstreamAttempt,
        exchange: Exchange,
        long: StreamedValue,
        link: UpstreamConnection,
        answer: AttemptResult | None,
    ) -> None:
        """A long value to its client, as fast as the client reads it. The attempt has ended by then."""
        passage = self._begins(attempt, long)
        if passage is None:  # nobody waits for it any more
            return
        whole = False
        try:
            while True:
                await passage.wait_writable()
                passage.write(long.take_chunks())
                if answer is not None:
                    whole = answer.outcome is Outcome.OK
                    break
                answer = await within(self._clock, SERVER_SILENT, link.more(exchange))
        except DownstreamClosedError:
            self._counters.add("passages_left")
        except (OSError, DeadlineExceededError) as error:
            self._counters.add("passages_broken")
            self._log.event("passage_broken", server=attempt.server, id=attempt.id, error=repr(error))
        finally:
            if whole:
                passage.end()
            else:
                passage.abort()

    def _exchange(self, attempt: UpstreamAttempt, transport: EndpointAddress) -> Exchange:
        left = attempt.deadline - self._clock.now()
        if transport.origin:
            host = f"{transport.address.host}:{transport.address.port}"
            return OriginExchange(attempt.request, host, left)
        return CacheExchange(attempt.request, left)

    async def _probe(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        link: UpstreamConnection | None = None
        answer = AttemptResult(Outcome.CONNECT_FAILED)
        try:
            transport = self._transports[server]
            link = self._take(server, transport) or await self._connect(transport.address, self._connect_time)
            host = f"{transport.address.host}:{transport.address.port}"
            probe: Exchange = OriginProbe(host) if transport.origin else CacheProbe()
            got = await within(self._clock, PROBE_TIME, link.ask(probe, self._clock))
            assert got is not None  # a report is no long value
            answer = got
            if probe.reusable:
                self._keep(server, link, probe.names_request)
                link = None
        except DeadlineExceededError:
            answer = AttemptResult(Outcome.TIMEOUT)
        except OSError:
            if link is not None and link.asked:
                answer = AttemptResult(Outcome.RESET)
        except Exception as error:
            self._log.error("probe_broke", error, server=server)
        finally:
            if link is not None:
                self._close(link)
        done(answer)

    # Connections

    def _take(self, server: str, transport: EndpointAddress) -> UpstreamConnection | None:
        links, found, now = self._idle.get(server, deque()), None, self._clock.now()
        resting: list[UpstreamConnection] = []
        while links and found is None:
            link = links.pop()
            idle = now - link.idle_since
            if now < link.rests_until and not link.broken:
                resting.append(link)
                continue
            link.reader.unasked = None
            if link.broken or idle >= self._idle_time or link.address != transport.address:
                self._close(link)
            elif holds_bytes(link.writer.transport):  # in this moment: the event loop has not seen them yet
                self._counters.add("connections_unasked")
                self._close(link)
            else:
                found = link
                link.aged, link.before = idle, link.reader.taken
        links.extend(reversed(resting))
        if not links:
            self._idle.pop(server, None)
        return found

    def _keep(self, server: str, link: UpstreamConnection, named: bool = True) -> None:
        """`named`: whether the last answer on it told which request it was for."""
        if link.broken:  # more than the answer came while it was passed on
            self._counters.add("connections_unasked")
            self._close(link)
            return
        link.idle_since = self._clock.now()
        link.rests_until = 0.0 if named else link.idle_since + REST
        link.reader.unasked = lambda: self._unasked(server, link)
        self._idle.setdefault(server, deque()).append(link)

    def _note_age(self, aged: float, lost: bool) -> None:
        """Learn after which time a kept connection is most likely dead, though the settings say later.

        Guards requests against being written to connections that were dropped unseen. Only where most of
        those as old were lost: resets at any age tell nothing. After STALE_SPAN an old one is tried again.
        """
        now = self._clock.now()
        if aged < AGED:
            return
        self._ages.append((now, aged, lost))
        if not lost:
            return
        limit, count, gone = self._longest, 0, 0
        recent = (entry for entry in self._ages if entry[0] > now - STALE_SPAN)
        for _, age, was_lost in sorted(recent, key=lambda entry: -entry[1]):
            count, gone = count + 1, gone + was_lost
            if was_lost and gone >= 2 and gone > count / 2:
                limit = STALE_PART * age
        self._idle_time, self._stale_at = limit, now

    def _unasked(self, server: str, link: UpstreamConnection) -> None:
        """Bytes nobody asked for, or the end, on an idle connection: it is of no use any more."""
        self._counters.add("connections_unasked")
        links = self._idle.get(server, deque())
        if link in links:
            links.remove(link)
            if not links:
                del self._idle[server]
            self._close(link)

    async def _connect(self, address: Address, limit: float) -> UpstreamConnection:
        if self._open >= self.room and not self._free_one():
            raise NoDescriptorError
        self._open += 1
        try:
            reader, writer = await within(self._clock, limit, _open(address))
        except BaseException:
            self._open -= 1
            self._counters.add("connections_failed")
            raise
        writer.transport.set_write_buffer_limits(high=0)
        self._counters.add("connections_opened")
        return UpstreamConnection(address, reader, writer)

    def _close(self, link: UpstreamConnection) -> None:
        self._open -= 1
        link.reader.unasked = None
        if link.writer.transport.get_write_buffer_size():
            link.writer.transport.abort()  # else the rest of a question given up would still be written
        else:
            link.writer.close()

    def _free_one(self) -> bool:
        """Close the connection that has been idle for longest, whichever server it leads to."""
        oldest = min(
            (links for links in self._idle.values() if links),
            key=lambda kept: kept[0].idle_since,
            default=None,
        )
        if oldest is None:
            return False
        self._close(oldest.popleft())
        return True  # an empty deque goes with the next sweep

    def _sweep(self) -> None:
        """Drop what a server has ended, or is about to."""
        now = self._clock.now()
        if now >= self._stale_at + STALE_SPAN:
            self._idle_time = self._longest
        for server, links in list(self._idle.items()):
            stay: deque[UpstreamConnection] = deque()
            for link in links:
                if link.broken or now - link.idle_since >= self._idle_time:
                    self._close(link)
                else:
                    stay.append(link)
            if stay:
                self._idle[server] = stay
            else:
                del self._idle[server]  # servers come and go: what is kept of one must go with it
        self._sweep_timer = self._clock.call_at(now + SWEEP, self._sweep)
