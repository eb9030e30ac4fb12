"""A client connection: commands in, responses out in their order, timeouts, and its end."""

import asyncio
from collections import deque

from flintridge.codec.memcache.commands import Command, LongValueAnnounced
from flintridge.codec.memcache.encoder import encode_client_error, encode_rejection
from flintridge.downstream.command_executor import CommandExecutor
from flintridge.downstream.command_input import CommandInput
from flintridge.downstream.connection_owner import ConnectionOwner
from flintridge.downstream.lingering_close import wait_until_read
from flintridge.downstream.orderly_close import OrderlyClose
from flintridge.downstream.pipeline import ResponsePipeline
from flintridge.runtime.clock import DeadlineExceededError
from flintridge.runtime.streams import TrackingReader, limit_read_size, peer_has_closed

MAX_UNREAD_RESPONSE_BYTES = 128 * 1024  # that a client has yet to read; it is read no further beyond this
WRITE_AHEAD_BYTES = 32 * 1024  # of a long value, unread by the client; no more is taken from the server then
IDLE_TIMEOUT_MS = 2_000.0  # a connection with nothing pending is closed after this


class ClientConnection:
    """One client's connection.

    It ends in order (`close`): the responses are written, the sending half shut, what still comes discarded
    within bounds, and only then is it closed. What was read before the shutdown is answered, what comes after
    it never sent on: its client has no response and sees the end, and sends it again elsewhere.

    Attributes:
        last_used_at: When something was read or written last.
        has_requested: Whether a request ever came whole.
        has_sent_command: Whether any command ever came whole.
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
        self.last_used_at = owner.clock.now()
        self.has_requested = False
        self.has_sent_command = False
        self._pipeline = ResponsePipeline()
        self._input = CommandInput(
            reader, self._transport, owner.settings, owner.clock, owner.core.memory_budget
        )
        self._executor = CommandExecutor(owner, self._input, self._pipeline)
        self._orderly_close = OrderlyClose(writer, owner.clock, owner.counters)
        self._close_when_responded = False  # it closes once all pending responses are written
        self._closed = False  # its client has left, or it was closed
        self._processing = False  # commands that were read are being processed: there may be more of them
        self._transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)
        limit_read_size(self._transport)
        reader.on_end = self._on_closed

    # State

    @property
    def has_half_command(self) -> bool:
        """Whether something of a command was parsed that is not whole yet."""
        return self._input.has_half_command

    @property
    def idle(self) -> bool:
        """Between requests: nothing is pending and nothing more has arrived, as far as was read."""
        return not self.has_pending and not self._input.has_half_command

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
        return self._orderly_close.started or self._writer.is_closing()

    # What its owner asks of it

    def stop_reading(self) -> None:
        """Read nothing more but the rest of half a command; it closes after the pending responses."""
        if self._orderly_close.started or self._processing:
            return
        if not self._input.has_half_command and not self._reader.has_unread:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on: the drain that stopped the reading was called off."""
        if not self._orderly_close.started:
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
        if self.has_pending or self._close_when_responded or self.closing:
            return
        if self._input.has_half_command:
            if self._input.timed_out(now):
                self._owner.counters.add("connections_command_timeout")
                self._writer.writelines(encode_client_error("command not finished in time"))
                self.close()
        elif now - self.last_used_at >= IDLE_TIMEOUT_MS:
            self._owner.counters.add("connections_idle_timeout")
            self.evict()

    def evict(self) -> None:
        """Close it, for another one or as it is of no use.

        One that never requested is rejected, as its first request may be coming, and so is half a command; a
        client whose connection had served sends its next one again.
        """
        may_request = not self.has_requested or self._input.has_half_command
        # One that closes after an error has had that, and nothing more may be written to it.
        if may_request and not self._close_when_responded and not self.closing:
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
        if not self.has_pending or (self._input.value_memory.awaited and not len(self._pipeline)):
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
            data = await self._input.read()
            if not data:
                return
            if self._orderly_close.started:
                # Guards a request that crossed the close of its connection: its client sends it again,
                # and processed here as well it would run twice, and the second be told `id in use`.
                if not self._orderly_close.discards(len(data)):
                    return
            else:
                await self._process_input(data)

    async def _process_input(self, data: bytes) -> None:
        self._touch()
        commands = self._input.parse(data, self.last_used_at)
        if commands:
            self.has_sent_command = True
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
        while commands and not self._closed and not self._orderly_close.started:
            command = commands.popleft()
            if isinstance(command, LongValueAnnounced):
                granted = await self._input.reserve_memory(command.length)
                if self._closed or self._orderly_close.started:
                    self._input.value_memory.release()
                    break
                self._touch()
                commands.extend(self._input.admit_long_value(granted))
            elif not self._executor.execute(command, self):
                return False
            # Asked after each one, not after each read: a single read can hold hundreds of commands, whose
            # responses would all be retained for a client that reads none of them.
            await self._pipeline.wait_until_not_full()
            if self._transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
                await self.wait_until_read()
        return True

    async def _finish(self) -> None:
        """Framing is lost, or too many commands were bad: close after the pending responses."""
        self._close_when_responded = True
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
        self._orderly_close.started = True
        self._owner.eviction_order.touch(self)
        self._input.drop(self._owner.empty_parser)
        self._orderly_close.shut_down(self._owner.run_in_background)

    def abort_stream(self) -> None:
        """End it in the middle of a value: no response behind that can be written any more."""
        self._abandon_pending()
        self.close()

    def abort(self) -> None:
        """Close it now: its client has had its time, or there is none to give."""
        self._orderly_close.abort()

    def _on_closed(self) -> None:
        """Its client has left, or it is closed: nothing is pending any more, and nothing more is sent on.

        Called the moment the end is seen, whatever still awaits its turn or its response.
        """
        if self._closed:
            return
        self._closed = True
        # Guards memory: the two would hold one another until the collector comes, seldom on a long day.
        self._reader.on_end = None
        self._orderly_close.cancel_timer()
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
        self._input.value_memory.release()
