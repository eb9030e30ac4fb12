"""A client connection: reads commands, writes responses in order, enforces timeouts, and closes."""

import asyncio
from collections.abc import Sequence

from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import ValueAnnounced
from flintridge.codec.memcache.encoder import encode_client_error, encode_rejection
from flintridge.downstream.client_presence import ClientPresence
from flintridge.downstream.command_executor import CommandExecutor
from flintridge.downstream.command_input import CommandInput
from flintridge.downstream.connection_owner import ConnectionOwner
from flintridge.downstream.lingering_close import wait_until_read
from flintridge.downstream.orderly_close import OrderlyClose
from flintridge.downstream.pipeline import PendingResponse, ResponsePipeline
from flintridge.downstream.reading_control import ReadingControl
from flintridge.downstream.unread_responses import UnreadResponses
from flintridge.downstream.value_admission import ValueAdmission
from flintridge.runtime.clock import DeadlineExceededError
from flintridge.runtime.streams import TrackingReader, peer_has_closed

# How many commands of one read are processed at once, and how many in each turn after that.
FIRST_COMMANDS = 2
COMMANDS_PER_TURN = 16
IDLE_TIMEOUT_MS = 2_000.0  # a connection with nothing pending is closed after this


class ClientConnection:
    """One client's connection.

    `close` is orderly: the responses are written, the write side is shut down, further input is discarded
    within bounds, and only then is the socket closed. Requests that were read before the shutdown get a
    response. Requests that arrive after the shutdown are never forwarded: the client sees the end of the
    stream without a response, and retries them elsewhere.

    Attributes:
        last_used_at: When bytes were last read or written, in milliseconds of the node's clock.
        has_requested: Whether a complete request was ever received.
        has_sent_command: Whether any complete command was ever received.
    """

    def __init__(
        self,
        owner: ConnectionOwner["ClientConnection"],
        reader: TrackingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap an accepted connection; `serve` runs it.

        Args:
            owner: The listener that accepted the connection.
            reader: Reads the connection's input.
            writer: Writes the connection's output.
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
        parser = CommandParser(owner.settings, owner.request_parser)
        self._input = CommandInput(reader, self._transport, parser, owner.clock, owner.core.memory_budget)
        self._admission = ValueAdmission(owner, self._input)
        self._executor = CommandExecutor(owner, self._input, self._pipeline)
        assert reader.flow is not None
        self._orderly_close = OrderlyClose(writer, reader.flow, owner.clock, owner.counters)
        self._unread_responses = UnreadResponses(owner.core.process_memory)
        self._close_when_responded = False  # reads no more commands, closes after the pending responses
        self._closed = False  # the client has disconnected, or the connection was closed
        self._presence = ClientPresence(reader, self._transport, self.last_used_at)
        self._corked = False  # responses are collected until all commands of a turn are processed
        self._processing = False  # commands are being processed, and more that were read may follow them
        self._reading = ReadingControl(reader.flow)
        # While the write buffer is not empty, no command is processed and no value is read from a server.
        self._transport.set_write_buffer_limits(high=0)
        reader.on_end = self._on_closed
        reader.on_written = self._count_unread_responses

    # State

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has been received in part."""
        return self._input.has_partial_command

    @property
    def idle(self) -> bool:
        """Whether the connection is between requests: nothing is pending and no partial command was read."""
        return not self.has_pending and not self._input.has_partial_command

    @property
    def has_pending(self) -> bool:
        """Whether a command awaits processing or its response, or received bytes may contain a command."""
        return self._processing or len(self._pipeline) > 0 or self._reader.has_unread

    @property
    def blocked(self) -> bool:
        """Whether reading is paused while commands or responses are pending."""
        return self.has_pending and not self._transport.is_reading()

    @property
    def has_unread_responses(self) -> bool:
        """Whether responses that were written are still in this process."""
        return self._transport.get_write_buffer_size() > 0

    @property
    def closing(self) -> bool:
        """Whether the connection is being closed."""
        return self._orderly_close.started or self._writer.is_closing()

    # Called by the owner

    def stop_reading(self) -> None:
        """Stop reading, except for the rest of a partial command; closes after the pending responses."""
        if self._orderly_close.started or self._processing:
            return
        if not self._input.has_partial_command and not self._reader.has_unread:
            self._reading.pause()

    def allow_read_ahead(self) -> None:
        """Read ahead while commands wait, since memory is reserved for that."""
        self._input.allow_read_ahead()

    def resume_reading(self) -> None:
        """Read again: the drain that had stopped the reading was cancelled."""
        if not self._orderly_close.started:
            self._reading.resume()

    def check_disconnected(self) -> None:
        """Check whether the client has disconnected, and clean up if so.

        Guards against executing requests of a client that has left while the kernel still holds the end of
        its stream: behind bytes that are not read now, or until a later iteration of the event loop.
        """
        if not self._closed and peer_has_closed(self._transport):
            self._owner.counters.add("disconnects_behind_unread_input")
            self._on_closed()

    def close_if_timed_out(self, now: float) -> None:
        """Close the connection if it was idle for too long, or its partial command has timed out.

        Guards the file descriptors against hundreds of clients that send nothing, or keep connections that
        they never use again. A client whose request crosses the close retries it on a new connection.

        Args:
            now: The node's clock, in milliseconds.
        """
        if self.has_pending or self._close_when_responded or self.closing:
            return
        if self._input.has_partial_command:
            if self._input.timed_out(now):
                self._owner.counters.add("connections_command_timeout")
                self._writer.writelines(encode_client_error("command not finished in time"))
                self.close()
        elif now - self.last_used_at >= IDLE_TIMEOUT_MS:
            self._owner.counters.add("connections_idle_timeout")
            self.evict()

    def evict(self) -> None:
        """Close the connection, either because it is idle or to make room for another one.

        A client that has sent no request yet, or only a part of one, first gets a `busy` rejection, since its
        request may be in transit. A client whose connection has served requests retries by itself.
        """
        may_request = not self.has_requested or self._input.has_partial_command
        # A connection that closes after an error has sent that error; nothing may be written after it.
        if may_request and not self._close_when_responded and not self.closing:
            self._writer.writelines(encode_rejection(0.0))
        self.close()

    def end_input(self) -> None:
        """Stop reading entirely, and close the connection unless a command that was read awaits its response.

        Guards the requests that arrive shortly before SIGKILL, from a client that is never between commands
        or whose value waits for memory: they would be read, but the process would end before the response.
        """
        if self.closing:
            return
        self._reading.pause()
        if not self.has_pending or (self._input.value_memory.awaited and not len(self._pipeline)):
            self.evict()

    # Commands

    async def serve(self) -> None:
        """Process commands until the connection ends. Nothing that the client does raises an error."""
        try:
            await self._read_until_end()
        except DeadlineExceededError:
            self._owner.counters.add("slow_readers")
            self._transport.abort()
        except OSError as error:  # the client reset the connection, which is handled like any disconnect
            # The reader keeps the exception, whose traceback would keep this connection alive.
            error.with_traceback(None)
        finally:
            self._on_closed()
            self._unread_responses.update(0)

    async def _read_until_end(self) -> None:
        while not self._closed:
            data = await self._input.read()
            if not data:
                return
            if self._orderly_close.started:
                # Guards against executing a request twice that crossed the close: its client retries it, and
                # if it were processed here as well, the retry would be rejected with `id in use`.
                if not self._orderly_close.discard(len(data)):
                    return
            else:
                await self._process_input(data)

    async def _process_input(self, data: bytes) -> None:
        self._record_activity()
        self._input.feed(data, self.last_used_at)
        self._processing = True
        keep_open = await self._process_commands()
        self._processing = False
        if not keep_open:  # the commands that follow are not processed, so the connection may be evicted
            await self._finish()
        elif self._owner.reading_stopped:
            self.stop_reading()
        self._owner.close_if_draining(self)

    async def _process_commands(self) -> bool:
        """Process commands in order; returns False if the connection has to close after the responses."""
        commands_left = FIRST_COMMANDS
        # Commands that can't be responded to are not processed: after a disconnect or the start of a close.
        while not self._closed and not self._orderly_close.started:
            command = self._input.next_command(self.last_used_at)
            if command is None:
                break
            self.has_sent_command = True
            if isinstance(command, ValueAnnounced):
                self._uncork()
                await self._admit_value(command)
            else:
                self._corked = True
                if not self._executor.execute(command, self):
                    self._uncork()
                    return False
            commands_left -= 1
            if not commands_left:
                self._uncork()
                await self._owner.turns.wait()
                commands_left = COMMANDS_PER_TURN
            if not self._may_process_commands():
                self._uncork()
                await self._wait_until_commands_may_be_processed()
        self._uncork()
        return True

    async def _admit_value(self, announced: ValueAnnounced) -> None:
        """Have the announced value read once memory is reserved for it, or skipped if there is none."""
        granted = await self._admission.reserve(announced)
        if self._closed or self._orderly_close.started:
            self._input.value_memory.release()
            return
        self._record_activity()
        self._input.admit_value(granted)

    def _may_process_commands(self) -> bool:
        """Whether the connection has neither too many pending nor unread responses, and memory is not short.

        If the client may have left unnoticed, no more commands are in progress than responses were written
        just before, and at least one. Guards against executing the requests of a client that has sent much
        and left.

        Checked after each command, not after each read: a single read can contain many commands, and all
        their responses would be retained for a client that reads none of them.
        """
        return not self.has_unread_responses and not (self._pipeline and self._must_wait_for_responses())

    def _must_wait_for_responses(self) -> bool:
        if self._pipeline.full or not self._owner.core.has_request_memory:
            return True
        return not self._presence.allows_command(len(self._pipeline), self._owner.clock.now())

    async def _wait_until_commands_may_be_processed(self) -> None:
        while self._pipeline and self._must_wait_for_responses():
            await self._pipeline.wait_for_change()
        if self.has_unread_responses:
            await self.wait_until_read()
        self.check_disconnected()

    def _uncork(self) -> None:
        """Write the responses that were completed while commands were processed, in a single write."""
        if self._corked:
            self._corked = False
            self.flush()

    async def _finish(self) -> None:
        """Close after the pending responses, because framing is lost or too many commands were bad."""
        self._close_when_responded = True
        await self._pipeline.wait_until_empty()
        self._owner.counters.add("connections_closed_after_errors")
        self.close()

    def _record_activity(self) -> None:
        self.last_used_at = self._owner.clock.now()
        self._owner.eviction_order.touch(self)

    def hold_later_commands(self, pending: PendingResponse) -> bool:
        """Read no command behind the one of `pending` until all responses are complete.

        Returns:
            Whether no byte of a later command was read. If some were, reading continues.
        """
        if self._closed or self.closing:
            return True
        if self._pipeline.last() is not pending or self._processing:
            return False
        if self._reader.has_unread or self._input.has_partial_command:
            return False
        self._reading.hold()
        return True

    # Responses

    def flush(self) -> None:
        """Write the responses that are complete, up to the first that is not."""
        if self._corked:
            return
        buffers = self._pipeline.take_completed()
        if buffers and not self.closing:
            self.write(buffers)
            self._owner.close_if_draining(self)
        else:
            self._count_unread_responses()
        if self._reading.held and not self._pipeline:
            self._reading.release(may_read=not self.closing and not self._owner.reading_stopped)
        self._pipeline.start_next_stream()

    def write(self, buffers: Sequence[bytes | bytearray]) -> None:
        """Write to the client without waiting; does nothing if the connection is being closed."""
        if not self.closing:
            self._writer.writelines(buffers)
            self._record_activity()
            self._presence.record_response(self.last_used_at)
            self._count_unread_responses()

    def _count_unread_responses(self) -> None:
        if self._closed:
            return
        held_bytes = self._transport.get_write_buffer_size()
        if self._pipeline:
            held_bytes += self._pipeline.complete_bytes
        self._unread_responses.update(held_bytes)

    async def wait_until_read(self) -> None:
        """Wait until the client has read most of what was written.

        Raises:
            DeadlineExceededError: The client reads nothing at all.
            OSError: The connection has ended.
        """
        await wait_until_read(self._owner.clock, self._writer)

    # Close

    def close(self) -> None:
        """Start an orderly close. No response may be pending, but written ones may still be in the buffer."""
        if self.closing:
            return
        self._orderly_close.started = True
        self._owner.eviction_order.touch(self)
        self._input.stop_parsing(self._owner.empty_parser)
        self._orderly_close.shut_down(self._owner.run_in_background)

    def abort_stream(self) -> None:
        """Close the connection in the middle of a value: no later response can be written any more."""
        self._abandon_pending()
        self.close()

    def abort(self) -> None:
        """Close the connection immediately, because the client's time is over or none can be granted."""
        self._orderly_close.abort()

    def _on_closed(self) -> None:
        """Abandon everything pending, since the client has disconnected or the connection was closed.

        Called as soon as the end of the stream is detected, even while commands await processing or their
        responses. Nothing more is forwarded.
        """
        if self._closed:
            return
        self._closed = True
        # Guards memory: reader and connection would reference each other until the garbage collector runs,
        # which is seldom in a process that runs for long.
        self._reader.on_end = None
        self._reader.on_written = None
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
                pending.stream.abandon()
        self._input.value_memory.release()
