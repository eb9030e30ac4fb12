"""A client connection: commands in, responses out in their order, timeouts, and its end."""

import asyncio
from collections import deque

from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import (
    Command,
    InvalidCommand,
    LongValueAnnounced,
    LongValueSkipped,
    NoOp,
)
from flintridge.codec.memcache.encoder import encode_client_error, encode_rejection
from flintridge.core.memory_budget import bytes_to_reserve
from flintridge.core.open_requests import IdInUseError
from flintridge.core.request import Request
from flintridge.downstream.command_timer import CommandTimer
from flintridge.downstream.connection_owner import ConnectionOwner
from flintridge.downstream.input_arrival import InputArrival
from flintridge.downstream.lingering_close import (
    LINGERING_CLOSE_MAX_BYTES,
    LINGERING_CLOSE_MS,
    abort_connection,
    wait_until_read,
)
from flintridge.downstream.pipeline import PendingResponse, ResponsePipeline
from flintridge.downstream.value_memory import ValueMemory
from flintridge.runtime.clock import DeadlineExceededError, Timer
from flintridge.runtime.streams import TrackingReader, limit_read_size, peer_has_closed

MAX_UNREAD_RESPONSE_BYTES = 128 * 1024  # that a client has yet to read; it is read no further beyond this
WRITE_AHEAD_BYTES = 32 * 1024  # of a long value, unread by the client; no more is taken from the server then
READ_BYTES = 64 * 1024
IDLE_TIMEOUT_MS = 2_000.0  # a connection with nothing pending is closed after this
MAX_BAD_COMMANDS = 4  # on one connection; it is closed upon the last of them

ExecutableCommand = Request | NoOp | InvalidCommand | LongValueSkipped


class ClientConnection:
    """One client's connection.

    It ends in order (`close`): the responses are written, the sending half shut, what still comes discarded
    within bounds, and only then is it closed. What was read before the shutdown is answered, what comes after
    it never sent on: its client has no response and sees the end, and sends it again elsewhere.

    Attributes:
        last_used_at: When something was read or written last.
        has_requested: Whether a request ever came whole.
        has_sent_command: Whether any command did.
    """

    def __init__(
        self,
        owner: ConnectionOwner["ClientConnection"],
        reader: TrackingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over an accepted connection; `serve` runs it.

        Args:
            owner: The listener that accepted it.
            reader: Its input.
            writer: Its output.
        """
        self._owner = owner
        self._reader = reader
        self._writer = writer
        assert isinstance(writer.transport, asyncio.Transport)
        self._transport = writer.transport
        self._parser = CommandParser(owner.settings)
        self._pipeline = ResponsePipeline()
        self.last_used_at = owner.clock.now()
        self._command_timer = CommandTimer(self.last_used_at)
        self._input_arrival = InputArrival(owner.clock, reader.queued_since)
        self.has_requested = False
        self.has_sent_command = False
        self._bad_commands = 0
        self._close_when_answered = False  # it closes once all pending responses are written
        self._shut_down = False  # nothing more is written, nor processed
        self._discardable_bytes = LINGERING_CLOSE_MAX_BYTES  # of input, after the shutdown
        self._lingering_timer: Timer | None = None  # when the lingering close ends
        self._closed = False  # its client has left, or it was closed
        self._processing = False  # commands that were read are being processed: there may be more of them
        self._value_memory = ValueMemory(owner.core.memory_budget, owner.clock)
        self._transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)
        limit_read_size(self._transport)
        reader.on_end = self._on_closed

    # What it is at

    @property
    def idle(self) -> bool:
        """Between requests: nothing is pending and nothing more has arrived, as far as was read."""
        return not self.has_pending and self._parser.idle

    @property
    def has_pending(self) -> bool:
        """Whether a command awaits its response or its turn, or bytes that were read may hold one."""
        return self._processing or len(self._pipeline) > 0 or self._reader.has_unread

    @property
    def blocked(self) -> bool:
        """Whether something is pending while nothing is read."""
        return self.has_pending and not self._transport.is_reading()

    @property
    def closing(self) -> bool:
        """Whether it is being closed."""
        return self._shut_down or self._writer.is_closing()

    # What its owner asks of it

    def stop_reading(self) -> None:
        """Read nothing more but the rest of half a command; it closes after the pending responses."""
        if self._parser.idle and not self._processing and not self._reader.has_unread and not self._shut_down:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on: the drain that stopped the reading was called off."""
        if not self._shut_down:
            self._transport.resume_reading()

    def check_disconnected(self) -> None:
        """See whether the client has disconnected by now.

        Guards what is pending, or is about to be sent on, against a client whose end the system holds: behind
        bytes that nobody reads now, or in a turn of the event loop that is still to come.
        """
        if not self._closed and peer_has_closed(self._transport):
            self._owner.counters.add("disconnects_behind_unread_input")
            self._on_closed()

    def close_if_timed_out(self, now: float) -> None:
        """Close it if it has been of no use for too long: idle, or half a command and no more.

        Guards the descriptors against clients that say nothing, by the hundred, or keep what they never
        use again. A client whose request crosses this sends it once more, on a new connection.

        Args:
            now: The clock's time.
        """
        if self.has_pending or self._close_when_answered or self.closing:
            return
        if self._parser.idle:
            if now - self.last_used_at >= IDLE_TIMEOUT_MS:
                self._owner.counters.add("connections_idle_timeout")
                self.evict()
        elif self._command_timer.timed_out(now, self._parser.in_long_value):
            self._owner.counters.add("connections_command_timeout")
            self._writer.writelines(encode_client_error("command not finished in time"))
            self.close()

    def evict(self) -> None:
        """Close it, for another one or as it is of no use.

        One that never requested is rejected, as its first request may be coming, and so is half a command; a
        client whose connection had served sends its next one again.
        """
        may_request = not self.has_requested or not self._parser.idle
        # One that closes after an error has had that, and nothing more may be written to it.
        if may_request and not self._close_when_answered and not self.closing:
            self._writer.writelines(encode_rejection(0.0))
        self.close()

    def end(self) -> None:
        """Read nothing more at all, and close it if nothing that was read awaits its response.

        Guards the requests that would come before SIGKILL, of a client that is never between commands, or
        whose value waits for memory: they would be read and not answered any more.
        """
        if self.closing:
            return
        self._transport.pause_reading()
        if not self.has_pending or (self._value_memory.awaited and not len(self._pipeline)):
            self.evict()

    # Commands

    async def serve(self) -> None:
        """Process what comes until the connection ends. Raises nothing for what the client does."""
        try:
            await self._read_until_end()
        except DeadlineExceededError:
            self._owner.counters.add("slow_readers")
            self._transport.abort()
        except OSError as error:  # the client's end of the connection: gone like any other
            error.with_traceback(None)  # the reader keeps it, and with its frames this connection
        finally:
            self._on_closed()

    async def _read_until_end(self) -> None:
        while not self._closed:
            self._input_arrival.before_read(self._reader.has_unread, self._transport.is_reading())
            data = await self._reader.read(READ_BYTES)
            self._input_arrival.after_read()
            if not data:
                return
            if self._shut_down:
                # Guards a request that crossed the close of its connection: its client sends it again,
                # and processed here as well it would run twice, and the second be told `id in use`.
                self._discardable_bytes -= len(data)
                if self._discardable_bytes <= 0:
                    return
            else:
                await self._process_input(data)

    async def _process_input(self, data: bytes) -> None:
        self._touch()
        self._command_timer.bytes_read(self.last_used_at, self._parser.idle)
        commands = self._parser.feed(data)
        if commands:
            self.has_sent_command = True
            self._command_timer.command_read(self.last_used_at)
        self._processing = True
        goes_on = await self._process_commands(deque(commands))
        self._processing = False
        if not goes_on:  # what is behind it is not processed: it may be evicted
            await self._finish()
        elif self._owner.reading_stopped:
            self.stop_reading()
        self._owner.close_if_draining(self)

    async def _process_commands(self, commands: deque[Command]) -> bool:
        """Whether the connection goes on."""
        # Of a client that has left, or that gets no response any more, nothing further is processed.
        while commands and not self._closed and not self._shut_down:
            command = commands.popleft()
            if isinstance(command, LongValueAnnounced):
                # Nothing is read while it waits: the client's own buffers hold it up.
                granted = await self._value_memory.reserve(bytes_to_reserve(command.length))
                if self._closed or self._shut_down:
                    self._value_memory.release()
                    break
                self._command_timer.memory_waited(self._value_memory.wait_ms)
                self._touch()
                commands.extend(self._parser.admit_long_value(granted))
            elif not self._process(command):
                return False
            # Asked after each one, not after each read: a single read can hold hundreds of commands, whose
            # responses would all be retained for a client that reads none of them.
            await self._pipeline.wait_until_not_full()
            if self._transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
                await self.wait_until_read()
        return True

    def _process(self, command: ExecutableCommand) -> bool:
        """Whether the connection goes on."""
        # Memory is reserved for one long value at a time, and this command is what became of it.
        reserved_bytes = self._value_memory.take()
        try:
            return self._execute(command, reserved_bytes)
        except IdInUseError:
            self._owner.core.memory_budget.release(reserved_bytes)
            pending = self._pipeline.last()
            pending.open_request_id = None
            return self._respond_to_bad_command(pending, "id in use")

    def _execute(self, command: ExecutableCommand, reserved_bytes: int) -> bool:
        """Whether the connection goes on.

        Raises:
            IdInUseError: The response to it is pending, and `reserved_bytes` stay the caller's.
        """
        pending = PendingResponse(self, command.id if isinstance(command, Request) else b"")
        self._pipeline.append(pending)
        if isinstance(command, Request):
            pending.open_request_id = command.id.decode("ascii")
            self._owner.core.submit(command, pending, reserved_bytes, self._input_arrival.arrived_after)
            self.has_requested = True
            return True
        self._owner.core.memory_budget.release(reserved_bytes)
        if isinstance(command, NoOp):
            pending.complete([self._owner.hello_response])
            return True
        if isinstance(command, LongValueSkipped):
            self._owner.counters.add("values_rejected_for_memory")
            pending.complete(encode_rejection(0.0))
            return True
        self._owner.counters.add("bad_commands")
        goes_on = self._respond_to_bad_command(pending, command.reason)
        return goes_on and not command.fatal

    def _respond_to_bad_command(self, pending: PendingResponse, reason: str) -> bool:
        """Whether the connection goes on."""
        self._bad_commands += 1
        pending.complete(encode_client_error(reason))
        return self._bad_commands < MAX_BAD_COMMANDS

    async def _finish(self) -> None:
        """Framing is lost, or too many commands were bad: close after the pending responses."""
        self._close_when_answered = True
        await self._pipeline.wait_until_empty()
        self.close()

    def _touch(self) -> None:
        self.last_used_at = self._owner.clock.now()
        self._owner.eviction_order.touch(self)

    # Responses

    def flush(self) -> None:
        """Write the responses that are complete, up to the first that is not."""
        buffers = self._pipeline.take_completed()
        if buffers and not self.closing:
            self.write(buffers)
            self._owner.close_if_draining(self)
        self._pipeline.start_next_stream()

    def write(self, buffers: list[bytes]) -> None:
        """Write to the client at once; nothing where the connection closes."""
        if not self.closing:
            self._writer.writelines(buffers)
            self._touch()

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written.

        Raises:
            DeadlineExceededError: It reads nothing at all.
            OSError: The connection has ended.
        """
        await wait_until_read(self._owner.clock, self._writer)

    # Its end

    def close(self) -> None:
        """End it in order. Nothing may be pending on it, but responses may still wait to go out."""
        if self.closing:
            return
        self._shut_down = True
        self._owner.eviction_order.touch(self)
        self._parser = self._owner.empty_parser  # half a command holds memory
        self._value_memory.release()
        if self._transport.get_write_buffer_size():
            self._transport.pause_reading()  # what is read before the shutdown would need a response
            self._owner.run_in_background(self._shut_down_when_written())
        else:
            self._shut_down_sending()

    async def _shut_down_when_written(self) -> None:
        self._transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
        try:
            await self.wait_until_read()
        except DeadlineExceededError:
            self._owner.counters.add("slow_readers")
            self._transport.abort()
        except OSError:
            pass  # it has ended: gone like any other
        else:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        if self._writer.is_closing():
            return
        try:
            self._writer.write_eof()
        except OSError:  # its client has reset it
            self.abort()
            return
        clock = self._owner.clock
        self._lingering_timer = clock.call_at(clock.now() + LINGERING_CLOSE_MS, self.abort)
        self._transport.resume_reading()  # no matter why it was paused

    def abort_stream(self) -> None:
        """End it in the middle of a value: no response behind that can be written any more."""
        self._abandon_pending()
        self.close()

    def abort(self) -> None:
        """Close it now: its client has had its time, or there is none to give."""
        abort_connection(self._writer)

    def _on_closed(self) -> None:
        """Its client has left, or it is closed: nothing is pending any more, and nothing more is sent on.

        Called the moment the end is seen, whatever still awaits its turn or its response.
        """
        if self._closed:
            return
        self._closed = True
        # Guards memory: the two would hold one another until the collector comes, seldom on a long day.
        self._reader.on_end = None
        if self._lingering_timer is not None:
            self._lingering_timer.cancel()
        self._abandon_pending()
        self._pipeline.notify_waiting()
        if self._reader.exhausted:
            self._writer.close()
        else:
            self.abort()

    def _abandon_pending(self) -> None:
        for pending in self._pipeline.take_all():
            if pending.open_request_id is not None and pending.buffers is None:
                self._owner.core.client_disconnected(pending.open_request_id)
            if pending.stream is not None:
                pending.stream.start()
        self._value_memory.release()
