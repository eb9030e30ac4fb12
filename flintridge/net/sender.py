"""The sender side: the listener, its connections, and answers in the order of their commands."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine

from flintridge.api import Settings
from flintridge.core.lifecycle import IdInUseError, RequestLifecycle, bytes_to_reserve
from flintridge.core.request import Request
from flintridge.core.response import DownstreamClosedError, Response
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net import memcache
from flintridge.net.parting import PARTING, PARTING_BYTES, all_read, let_go, part
from flintridge.net.places import EvictionOrder
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, sleep, to_ms
from flintridge.runtime.listener import Listener, open_listener
from flintridge.runtime.streams import TrackingReader, limit_read_size, peer_has_closed
from flintridge.settings import Address
from flintridge.shutdown import GracefulShutdown
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

PIPELINED = 16  # commands of a connection that may await their answers; it is read no further meanwhile
UNREAD = 128 * 1024  # bytes of answers that a client has yet to read; nor is it read beyond this
# Bytes of a long value that a client has yet to read; no more are taken from the server then.
AHEAD = 32 * 1024
UNFINISHED = 2_600.0  # half a command ends a connection after this: a good client may take 2 s for a head
LONGEST_VALUE = 20_000.0  # nor may a long value take longer than this to come
ROOM_TIME = 1_000.0  # so long it may wait for room
UNUSED = 2_000.0  # a connection with no open request on it is closed after this
SWEEP = 250.0
BAD_COMMANDS = 4  # on one connection; it is closed upon the last of them
PARTINGS = 4  # connections beyond the room, of the spare descriptors, that are read past before they end
LAST_COMMANDS = 1_500.0  # after SIGTERM, until which commands that are half here may become whole
LAST_BYTES = 3_000.0  # at the end, for answers that clients are still reading
SERVING = 700.0  # after SIGTERM, until which what arrives is served
LONGEST_WAIT = 3_000.0  # of what arrived until then, at most; after that the process may be killed
LAST_MARGIN = 50.0  # before that, for the last answers to be written
FIRST_WORD = 300.0  # for the first request of a connection that comes while others are closed


class PendingResponse:
    """The place of one command's answer among those of its connection; the Reply of its request."""

    __slots__ = ("connection", "id", "parts", "passage", "uid")

    def __init__(self, connection: "ClientConnection", id_: bytes = b"") -> None:
        self.connection = connection
        self.id = id_
        self.uid: str | None = None  # of a request that the core holds
        self.parts: list[bytes] | None = None
        self.passage: ClientStream | None = None  # while a long value goes through

    def check_client(self) -> None:
        self.connection.look()

    def start_stream(self, length: int) -> "ClientStream":
        self.uid = None  # the core holds it no longer
        self.passage = ClientStream(self, length)
        self.connection.flush()
        return self.passage

    def respond(self, response: Response) -> None:
        self.fill(memcache.served_parts(self.id, response))

    def reject(self, retry_after_ms: float) -> None:
        self.fill(memcache.defer_parts(retry_after_ms))

    def fail(self) -> None:
        self.fill([memcache.FAILED])

    def fill(self, parts: list[bytes]) -> None:
        self.parts = parts
        self.connection.flush()


class ClientStream:
    """A long value on its way to a client: in its turn, and no faster than the client reads."""

    def __init__(self, slot: PendingResponse, length: int) -> None:
        self._slot = slot
        self._head = memcache.passage_head(slot.id, length)
        self._turn = asyncio.Event()

    def turn(self) -> None:
        """All answers before it are written, or the connection has ended."""
        self._turn.set()

    async def wait_writable(self) -> None:
        await self._turn.wait()
        try:
            await self._slot.connection.read_enough()
        except (OSError, DeadlineExceededError) as error:
            raise DownstreamClosedError(repr(error)) from error

    def write(self, pieces: list[bytes]) -> None:
        head, self._head = self._head, b""
        if head or pieces:
            self._slot.connection.write([head, *pieces] if head else pieces)

    def end(self) -> None:
        self._slot.passage = None
        self._slot.fill([memcache.EOL])

    def abort(self) -> None:
        """The end of the value is never written: what came is fewer bytes than its head said."""
        self._slot.passage = None
        self._slot.connection.cut()


class ClientConnection:
    """One client's connection.

    It ends in order (`close`): what was answered is written, the sending half shut, what still comes read
    past within bounds, and only then is it closed. What was read before the shutdown is answered, what comes
    after it never sent on: its client has no answer and sees the end, and sends it again elsewhere.
    """

    def __init__(self, side: "Downstream", reader: TrackingReader, writer: asyncio.StreamWriter) -> None:
        self._side = side
        self._reader = reader
        self._writer = writer
        assert isinstance(writer.transport, asyncio.Transport)
        self._transport = writer.transport
        self._parser = memcache.CommandParser(side.settings)
        self._slots: deque[PendingResponse] = deque()
        self._moved = asyncio.Event()  # a slot became free
        self.used_at = side.clock.now()
        self.begun_at = self.used_at  # of the command that is not whole yet, or the connection
        self.asked = False  # a request ever came whole
        self.heard = False  # any command did
        self._bad = 0
        self._ending = False
        self._shut = False  # it ends: nothing more is written, nor taken
        self._past = PARTING_BYTES  # bytes that may still be read past then
        self._cut_off: Timer | None = None  # when that ends
        self._gone = False  # its client has left, or it was closed
        self._taking = False  # commands that were read are being taken: there may be more of them
        self._kept = 0  # bytes of room for the long value that is coming
        self._transport.set_write_buffer_limits(high=AHEAD)
        limit_read_size(self._transport)
        reader.on_end = self._end

    @property
    def idle(self) -> bool:
        """Between requests: nothing is owed and nothing more has arrived, as far as was read."""
        return not self.owed and self._parser.idle and not self._reader.has_unread

    @property
    def owed(self) -> bool:
        """Whether a command awaits its answer, or its turn to be taken."""
        return bool(self._slots) or self._taking

    def cease(self) -> None:
        """Read nothing more but what is half here; it closes after the answers that are owed."""
        if self._parser.idle and not self._taking and not self._reader.has_unread and not self._shut:
            self._transport.pause_reading()

    def read_on(self) -> None:
        """The drain that had it read no further was called off."""
        if not self._shut:
            self._transport.resume_reading()

    def look(self) -> None:
        """Guards what waits here, or is about to be sent on, against a client whose end the system holds:
        behind bytes that nobody reads now, or in a turn of the event loop that is still to come."""
        if not self._gone and peer_has_closed(self._transport):
            self._side.counters.add("clients_left_unread")
            self._end()

    @property
    def held_up(self) -> bool:
        """Whether something waits here while nothing is read."""
        return self.owed and not self._transport.is_reading()

    def expire(self, now: float) -> None:
        """Close it if it has been of no use for too long: nothing asked, or half a command and no more.

        Guards the descriptors against clients that say nothing, by the hundred, or keep what they never
        use again. A client whose request crosses this sends it once more, on a new connection.
        """
        if self.owed or self._reader.has_unread or self._ending or self.closing:
            return
        if self._parser.idle:
            if now - self.used_at >= UNUSED:
                self._side.counters.add("connections_unused")
                self.close()
            return
        # A long value may come slowly, but it holds memory: it must go on coming.
        long = self._parser.in_value
        since = self.used_at if long else self.begun_at
        if now - since >= UNFINISHED or (long and now - self.begun_at >= LONGEST_VALUE):
            self._side.counters.add("connections_unfinished")
            self._writer.writelines(memcache.bad_command_parts("command not finished in time"))
            self.close()

    @property
    def closing(self) -> bool:
        return self._shut or self._writer.is_closing()

    async def serve(self) -> None:
        try:
            while not self._gone and (data := await self._reader.read(65536)):
                if self._shut:
                    # Guards a request that crossed the close of its connection: its client sends it again,
                    # and taken here as well it would run twice, and the second be told `id in use`.
                    self._past -= len(data)
                    if self._past <= 0:
                        return
                    continue
                self._used()
                if self._parser.idle:
                    self.begun_at = self.used_at
                commands = self._parser.feed(data)
                if commands:
                    self.heard = True
                    self.begun_at = self.used_at
                self._taking = True
                going_on = await self._take_all(deque(commands))
                self._taking = False
                if not going_on:  # what is behind it is not taken: it may make place
                    await self._finish()
                elif self._side.ceasing:
                    self.cease()
                self._side.between_requests(self)
        except DeadlineExceededError:
            self._side.counters.add("slow_readers")
            self._transport.abort()
        except OSError as error:  # the client's end of the connection: gone like any other
            error.with_traceback(None)  # the reader keeps it, and with its frames this connection
        finally:
            self._end()

    async def _room(self) -> None:
        """Until a further command may be taken.

        Asked after each one, not after each read: a single read can hold hundreds of commands, whose
        answers would all be kept for a client that reads none of them.
        """
        while len(self._slots) >= PIPELINED:
            self._moved.clear()
            await self._moved.wait()
        if self._transport.get_write_buffer_size() > UNREAD:
            await self.read_enough()

    async def read_enough(self) -> None:
        """Until the client has read most of what was written. Raises DeadlineExceededError where it reads
        nothing at all, OSError where the connection has ended."""
        await all_read(self._side.clock, self._writer)

    async def _take_all(self, commands: deque[memcache.Command]) -> bool:
        """Whether the connection goes on."""
        while commands and not self._gone:  # of a client that has left nothing more is taken
            command = commands.popleft()
            if isinstance(command, memcache.Announced):
                # Nothing is read while it waits: the client's own buffers hold it up.
                count = bytes_to_reserve(command.length)
                kept = await self._side.core.memory_budget.reserve(count, ROOM_TIME)
                self._kept = count if kept else 0
                self._used()
                commands.extend(self._parser.admit(kept))
            elif not self._take(command):
                return False
            await self._room()
        return True

    def _take(self, command: Request | memcache.Hello | memcache.BadCommand | memcache.PassedOver) -> bool:
        """Whether the connection goes on."""
        # Room was kept for one long value at a time, and this command is what became of it.
        kept, self._kept = self._kept, 0
        try:
            return self._carry_out(command, kept)
        except IdInUseError:
            self._side.core.memory_budget.release(kept)
            self._slots[-1].uid = None
            self._bad += 1
            self._slots[-1].fill(memcache.bad_command_parts("id in use"))
        return self._bad < BAD_COMMANDS

    def _carry_out(
        self, command: Request | memcache.Hello | memcache.BadCommand | memcache.PassedOver, kept: int
    ) -> bool:
        slot = PendingResponse(self, command.id if isinstance(command, Request) else b"")
        self._slots.append(slot)
        if isinstance(command, Request):
            slot.uid = command.id.decode("ascii")
            self._side.core.submit(command, slot, kept)
            self.asked = True
            return True
        self._side.core.memory_budget.release(kept)
        if isinstance(command, memcache.Hello):
            slot.fill([self._side.hello])
        elif isinstance(command, memcache.PassedOver):
            self._side.counters.add("values_without_room")
            slot.fill(memcache.defer_parts(0.0))
        else:
            self._side.counters.add("bad_commands")
            self._bad += 1
            slot.fill(memcache.bad_command_parts(command.reason))
            return not command.fatal and self._bad < BAD_COMMANDS
        return True

    def flush(self) -> None:
        """Write what is answered, up to the first command that is not."""
        parts: list[bytes] = []
        while self._slots and (answer := self._slots[0].parts) is not None:
            parts += answer
            self._slots.popleft()
            self._moved.set()
        if parts and not self.closing:
            self.write(parts)
            self._side.between_requests(self)
        if self._slots and (passage := self._slots[0].passage) is not None:
            passage.turn()

    def write(self, parts: list[bytes]) -> None:
        if not self.closing:
            self._writer.writelines(parts)
            self._used()

    def _used(self) -> None:
        self.used_at = self._side.clock.now()
        self._side.places.used(self)

    async def _finish(self) -> None:
        """Framing is lost, or too much was bad: answer what is owed, then close."""
        self._ending = True
        while self._slots:
            self._moved.clear()
            await self._moved.wait()
        self.close()

    def make_place(self) -> None:
        """Close it for another one. One that never asked is refused, as its first request may be coming; a
        client whose connection had served sends its next one again."""
        # One that is parted from was told its error, and nothing more may be written to it.
        if not self.asked and not self._ending and not self.closing:
            self._writer.writelines(memcache.defer_parts(0.0))
        self.close()

    # Its end

    def close(self) -> None:
        """End it in order. Nothing may be owed on it, but what was written may still wait to go out."""
        if self.closing:
            return
        self._shut = True
        self._side.places.used(self)
        self._parser = self._side.blank  # what is half here holds memory
        self._give_room()
        if self._transport.get_write_buffer_size():
            self._transport.pause_reading()  # what is read before the shutdown would be owed an answer
            self._side.track(self._shut_when_written())
        else:
            self._shut_down()

    async def _shut_when_written(self) -> None:
        self._transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
        try:
            await self.read_enough()
        except DeadlineExceededError:
            self._side.counters.add("slow_readers")
            self._transport.abort()
        except OSError:
            pass  # it has ended: gone like any other
        else:
            self._shut_down()

    def _shut_down(self) -> None:
        if self._writer.is_closing():
            return
        try:
            self._writer.write_eof()
        except OSError:  # its client has reset it
            self.cut_short()
            return
        self._cut_off = self._side.clock.call_at(self._side.clock.now() + PARTING, self.cut_short)
        self._transport.resume_reading()  # no matter why it was paused

    def cut(self) -> None:
        """End it in the middle of a value: no answer behind that can be told any more."""
        self._drop()
        self.close()

    def cut_short(self) -> None:
        """Close it now: its client has had its time, or there is none to give."""
        let_go(self._writer)

    def _end(self) -> None:
        """Its client has left, or it is closed: nothing is owed any more, and nothing more is sent on.

        Called the moment the end is seen, whatever still waits to be taken or answered.
        """
        if self._gone:
            return
        self._gone = True
        # Guards memory: the two would hold one another until the collector comes, seldom on a long day.
        self._reader.on_end = None
        if self._cut_off is not None:
            self._cut_off.cancel()
        self._drop()
        self._moved.set()
        if self._reader.exhausted:
            self._writer.close()
        else:
            self.cut_short()

    def _drop(self) -> None:
        """Give up what is owed."""
        slots, self._slots = self._slots, deque()
        for slot in slots:
            if slot.uid is not None and slot.parts is None:
                self._side.core.client_disconnected(slot.uid)
            if slot.passage is not None:
                slot.passage.turn()
        self._give_room()

    def _give_room(self) -> None:
        kept, self._kept = self._kept, 0
        self._side.core.memory_budget.release(kept)


class Downstream:
    def __init__(
        self,
        core: RequestLifecycle,
        settings: Settings,
        transports: EndpointList,
        clock: Clock,
        room: int,
        log: EventLog,
        counters: Counters,
        drain: GracefulShutdown | None = None,
    ) -> None:
        self.core = core
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self.drain = drain or GracefulShutdown()
        self._transports = transports
        self.room = room
        self._log = log
        self._listening: Listener | None = None
        # A dict, not a set: it is walked in the order of arrival, and two nodes given the same do the same.
        self._connections: dict[ClientConnection, None] = {}
        self.places: EvictionOrder[ClientConnection] = EvictionOrder()
        self.blank = memcache.CommandParser(settings)  # of all that read no command any more
        self._partings = 0
        self._beyond: dict[ClientConnection, None] = {}  # made place, and are still parted from
        self._tasks: dict[asyncio.Task[None], None] = {}
        self.ready: Callable[[], bool] = lambda: True  # what else has to be, before `mn` is answered
        self._sweep_timer = clock.call_at(clock.now() + SWEEP, self._sweep)

    @property
    def serving(self) -> bool:
        """Whether this process can serve: it listens, knows servers in service, and is `ready`."""
        listening = self._listening is not None and self._listening.is_open
        return listening and self._transports.any_ready and self.ready()

    @property
    def hello(self) -> bytes:
        """The answer to `mn`."""
        if not self.drain.accepts_clients:
            return memcache.NO_MORE
        return memcache.HELLO if self.serving else memcache.NOT_YET

    @property
    def connections(self) -> int:
        return len(self._connections)

    @property
    def ceasing(self) -> bool:
        return not self.drain.accepts_clients and self.drain.stops_reading(self.clock.now())

    async def listen(self, address: Address) -> int:
        """Open the listener; the port. Raises ListenError."""
        self._listening = await open_listener(self._accepted, address, shared=True)
        return self._listening.port

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self.room and not self._free_one():
            await self._turn_away(reader, writer)
            return
        self.counters.add("connections_accepted")
        assert isinstance(reader, TrackingReader)
        connection = ClientConnection(self, reader, writer)
        self._connections[connection] = None
        self.places.used(connection)
        try:
            await connection.serve()
        except Exception as error:
            self.counters.add("connection_errors")
            self._log.error("connection_broke", error)
        finally:
            self._connections.pop(connection, None)
            self.places.left(connection)
            self._beyond.pop(connection, None)
            self._emptied()

    def track(self, work: Coroutine[None, None, None]) -> None:
        """Have it done beside all else; the event loop itself would forget it."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _turn_away(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """No room: say so, and close.

        Guards the request that is on its way: closed without a word it would be lost to its client, which
        may come again if it was refused. Nothing of it is read, so it never ran.
        """
        self.counters.add("connections_turned_away")
        writer.writelines(memcache.defer_parts(0.0))
        if self._partings < PARTINGS:
            self._partings += 1
            self._bound_partings()
            try:
                await part(self.clock, reader, writer)
            finally:
                self._partings -= 1
        else:
            let_go(writer)

    def _free_one(self) -> bool:
        """Make place by the connection whose turn it is (`Places`); False where there is none."""
        oldest = self.places.first()
        if oldest is None:
            return False
        self.counters.add("connections_made_place")
        self._connections.pop(oldest, None)
        self._beyond[oldest] = None
        oldest.make_place()
        self.places.left(oldest)
        self._bound_partings()
        return True

    def _bound_partings(self) -> None:
        """Guards the spare descriptors: what made place yields to what was turned away and may be asking."""
        while self._beyond and self._partings + len(self._beyond) > PARTINGS:
            first = next(iter(self._beyond))
            del self._beyond[first]
            first.cut_short()

    def _sweep(self) -> None:
        now = self.clock.now()
        self._sweep_timer = self.clock.call_at(now + SWEEP, self._sweep)
        for connection in list(self._connections):
            if connection.held_up:
                connection.look()
            connection.expire(now)
            self.between_requests(connection)
        self._emptied()

    def between_requests(self, connection: ClientConnection) -> None:
        """Close it if the service is ending: between requests, or if its first one does not come."""
        if (
            self.drain.accepts_clients
            or not connection.idle
            or not self.drain.closes_idle_connections(now := self.clock.now())
        ):
            return
        if connection.heard:
            connection.close()
        elif now - connection.used_at >= FIRST_WORD:
            connection.make_place()

    # The end of the service

    def step_aside(self, place: int) -> bool:
        """New connections to the process of this node in that place; whether the kernel took it."""
        return self._listening is not None and self._listening.is_open and self._listening.divert_to(place)

    def ending(self) -> None:
        """The service was told to end: carry out what falls due, when it does."""
        for at in self.drain.deadlines(self.clock.now()):
            self.clock.call_at(at, self._part)

    def resumed(self) -> None:
        """The service goes on after all: what was read no further is read on."""
        for connection in list(self._connections):
            connection.read_on()

    def _part(self) -> None:
        for connection in list(self._connections):
            if self.ceasing:
                connection.cease()
            self.between_requests(connection)
        self._emptied()

    def _emptied(self) -> None:
        if not self._connections and self.drain.connections_closed(self.clock.now()):
            self._log.event("drained")

    async def leave(self) -> None:
        """After SIGTERM: serve on for a while, then close each connection between requests; answer all."""
        self.drain.terminate(self.clock.now())
        # What comes later than SERVING must have its answer before the process may be killed, which is as
        # long after SERVING as any class waits.
        longest = max((to_ms(cls.deadline_ns) for cls in self.settings.classes), default=LONGEST_WAIT)
        self.core.answer_by = self.clock.now() + SERVING + min(LONGEST_WAIT, longest) - LAST_MARGIN
        self.ending()
        await sleep(self.clock, SERVING)
        if self._listening is not None:
            self._listening.close()
        until = self.clock.now() + LAST_COMMANDS - SERVING
        while True:  # each request's own deadline bounds this wait
            # Again each time: a connection that came meanwhile and stays unused must not take a request
            # that this program would end upon.
            self._part()
            if self.core.idle and not any(c.owed for c in self._connections):
                # Guards those that were accepted last: their first request is on its way, or half here.
                attaching = self._listening is not None and self._listening.has_handovers
                coming = attaching or any(not c.closing for c in self._connections)
                if not coming or self.clock.now() >= until:
                    break
            await sleep(self.clock, 20.0)
        for connection in list(self._connections):
            connection.close()  # what was answered is still written out, and read past what crosses it
        until = self.clock.now() + LAST_BYTES
        while (self._connections or self._beyond) and self.clock.now() < until:
            await sleep(self.clock, 20.0)

    def close(self) -> None:
        """The listener and every connection, at once; what was answered is still written out."""
        self._sweep_timer.cancel()
        if self._listening is not None:
            self._listening.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in [*self._connections, *self._beyond]:
            connection.cut_short()
