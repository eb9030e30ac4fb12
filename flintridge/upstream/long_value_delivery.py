"""Delivers a value from a server to a client: whole if possible, otherwise in chunks as they arrive.

No more of a value than its first bytes is received before memory is reserved. A value that is not long is
received whole. If no memory is free, it waits for its turn among its connection's responses.

A value that breaks after its first bytes were forwarded can only be ended by closing the client's connection,
and with it the requests behind the value that were read from the connection. Therefore a value is forwarded
before it is complete only if nothing behind it was read, and nothing more is read until it is complete.
"""

from collections.abc import Sequence
from types import TracebackType

from flintridge.api import Outcome
from flintridge.codec.long_value import LONG_VALUE_BYTES
from flintridge.core.exchange import Exchange
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult, DownstreamClosedError, StreamedResponse
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import DeadlineExceededError, with_timeout
from flintridge.runtime.streams import VALUE_READ_BYTES
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.delivery_services import DeliveryServices
from flintridge.upstream.transfer_progress import TransferProgress
from flintridge.upstream.value_buffer import ValueBuffer

# What a delivery uses beside the value: its task and the state of its exchange. The request may have ended.
DELIVERY_BYTES = 8 * 1024
# How long a value is withheld while nothing behind it was read: if it breaks within this time, the request
# can be retried. Clients measure the time of a long value's first bytes.
MAX_HOLD_MS = 20.0
# How long a value is withheld if requests behind it were read. Clients wait 2 s for the rest of a value, and
# the node may stall for 150 ms.
MAX_HOLD_BEFORE_REQUESTS_MS = 1_850.0
# How long a value is collected at its turn if its client's time passed while it waited for earlier responses.
LATE_COLLECT_MS = 250.0
# Memory of a value that is forwarded as it arrives, in the buffers of both connections.
STREAM_WINDOW_BYTES = 4 * VALUE_READ_BYTES
# A value is begun incomplete only if its server has been writing it for this long.
SLOW_SERVER_MS = 500.0
# How long after the head the first byte of a value is awaited, even if the client waits for longer. Other
# requests may wait for the end of the attempt: for its permit, and for the key that it fetches.
FIRST_BYTE_MS = 1_000.0
# How often a delivery whose server pauses checks for a shutdown, which lasts longer than that.
SHUTDOWN_CHECK_MS = 500.0
# A server that sends nothing for this long within a value that is being forwarded is considered failed.
SERVER_STALL_MS = 10_000.0


class ValueMemoryError(FlintridgeError):
    """No memory was free in time for a value that must be whole before it is forwarded."""


class LongValueDelivery:
    """The delivery of one long value. A context manager that releases its memory at the end.

    Call `receive` first, then `forward` if the attempt's result is OK.
    """

    def __init__(
        self,
        attempt: UpstreamAttempt,
        exchange: Exchange,
        connection: UpstreamConnection,
        result: AttemptResult | None,
        services: DeliveryServices,
    ) -> None:
        """Prepare a delivery.

        Args:
            attempt: The attempt that the value answers.
            exchange: The exchange, whose `streamed_value` has begun.
            connection: The connection of the exchange.
            result: The result of the exchange if it is complete already; None otherwise.
            services: The services of the node.
        """
        assert exchange.streamed_value is not None
        self._value = exchange.streamed_value
        self._attempt = attempt
        self._exchange = exchange
        self._connection = connection
        self._result = result
        self._services = services
        self._buffer: ValueBuffer | None = None
        self._progress = TransferProgress(services.clock)
        self._window_bytes = 0  # reserved while the value is forwarded as it arrives
        self._forwarded_bytes = 0
        self._client_closed = False
        self._is_long = self._value.length > LONG_VALUE_BYTES
        self._must_be_whole = False

    def __enter__(self) -> "LongValueDelivery":
        self._services.process_memory.charge(DELIVERY_BYTES)
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        if self._buffer is not None:
            self._buffer.clear()
        self._services.memory_budget.release(self._window_bytes)
        self._services.process_memory.release(DELIVERY_BYTES)

    # Before the response begins

    async def receive(self) -> AttemptResult:
        """Receive as much of the value as is needed before the response may begin.

        At least the first byte of the value is received, so that the response begins with it.

        Returns:
            The attempt's result; if it is OK, the response may begin.

        Raises:
            DeadlineExceededError: The value has to be complete first, and is not in time.
            OSError: The server's connection broke.
        """
        self._must_be_whole = not self._is_long or not self._attempt.hold_later_commands()
        try:
            await self._receive_before_response()
        except (OSError, DeadlineExceededError) as error:
            self._services.counters.add("values_abandoned")
            self._log_failure("value_abandoned", error)
            raise
        return self._result or self._value.result

    async def _receive_before_response(self) -> None:
        reserved = self._try_reserve()
        if reserved and not self._is_long:
            assert self._buffer is not None
            await self._collect_short_value(self._buffer)
            return
        # Once the response has begun, no deadline applies to it, and no retry.
        await self._receive_first_bytes()
        if not reserved:
            return
        assert self._buffer is not None
        if self._must_be_whole:
            await self._collect_or_pass_on(MAX_HOLD_BEFORE_REQUESTS_MS, self._buffer)
        else:
            await self._collect_part(self._buffer)

    def take_short_value(self) -> bytes | None:
        """Take the value if it is not long and was received whole; None otherwise."""
        if self._is_long or self._buffer is None:
            return None
        return self._buffer.take_all()

    def _try_reserve(self) -> bool:
        """Reserve memory that is free.

        Half of the budget stays free for values whose turn it is on their connection. Guards against a
        deadlock: they would wait for memory that later values of the same connections occupy.
        """
        budget = self._services.memory_budget
        if not budget.try_reserve(self._value.length, keep_free=budget.total // 2):
            return False
        self._buffer = ValueBuffer(budget, self._value.length)
        return True

    async def _receive_first_bytes(self) -> None:
        """Receive until a byte of the value has arrived.

        The server has sent the head, and may be slow. It gets FIRST_BYTE_MS, or what leaves a retry its time.

        Raises:
            DeadlineExceededError: None has arrived in time.
            OSError: The server's connection broke.
        """
        attempt = self._attempt
        attempt_timeout_ms = attempt.deadline - attempt.sent_at
        retry_by = attempt.response_due - attempt_timeout_ms
        give_up_at = max(attempt.deadline, min(retry_by, self._progress.head_received_at + FIRST_BYTE_MS))
        receiving = self._receive_until_begun()
        await with_timeout(self._services.clock, give_up_at - self._services.clock.now(), receiving)

    async def _receive_until_begun(self) -> None:
        while not self._value.received_bytes and self._result is None:
            self._result = await self._connection.receive(self._exchange)
            self._progress.record_received()

    async def _collect_part(self, buffer: ValueBuffer) -> None:
        """Collect what arrives before the response has to begin; the value may then be incomplete."""
        held_ms = self._services.clock.now() - self._progress.head_received_at
        try:
            await self._collect_for(MAX_HOLD_MS - held_ms, buffer)
        except DeadlineExceededError:
            self._services.counters.add("long_values_withheld_in_part")

    async def _collect_short_value(self, buffer: ValueBuffer) -> None:
        """Collect the whole value by the attempt's deadline, or as long as the server is still writing it.

        Raises:
            DeadlineExceededError: The server has stopped writing, or the response is due.
            OSError: The server's connection broke.
        """
        clock = self._services.clock
        try:
            await with_timeout(clock, self._attempt.deadline - clock.now(), self._collect(buffer))
        except DeadlineExceededError:
            while self._result is None:
                if not self._progress.is_writing(for_ms=self._progress.elapsed_ms / 2):
                    raise
                silence_left_ms = self._progress.longest_silence_ms - self._progress.silent_ms
                time_left_ms = min(silence_left_ms, self._attempt.response_due - clock.now())
                await with_timeout(clock, time_left_ms, self._collect_next(buffer))

    async def _collect_or_pass_on(self, max_ms: float, buffer: ValueBuffer) -> None:
        """Collect the whole value within `max_ms`, or a part of it if the server is still writing.

        A value that is cut off is lost, although its server still gives it. So is one that is held back for
        longer. If it breaks later, the requests behind it are lost with the connection.

        Raises:
            DeadlineExceededError: The value was not complete in time, and its server has stopped writing.
            OSError: The server's connection broke.
        """
        try:
            await self._collect_for(max_ms, buffer)
        except DeadlineExceededError:
            if not self._progress.is_writing(for_ms=SLOW_SERVER_MS):
                raise
            self._services.counters.add("long_values_withheld_in_part")

    async def _collect_for(self, max_ms: float, buffer: ValueBuffer) -> None:
        """Collect the whole value within `max_ms` and before the response is due.

        Raises:
            DeadlineExceededError: The value was not complete in time.
            OSError: The server's connection broke.
        """
        clock = self._services.clock
        time_left_ms = self._attempt.response_due - clock.now()
        await with_timeout(clock, min(max_ms, time_left_ms), self._collect(buffer))

    async def _collect(self, buffer: ValueBuffer) -> None:
        self._connection.set_read_limit(VALUE_READ_BYTES)
        self._progress.begin()
        buffer.append(self._value.take_chunks())
        while self._result is None:
            await self._collect_next(buffer)

    async def _collect_next(self, buffer: ValueBuffer) -> None:
        self._result = await self._connection.receive(self._exchange)
        self._progress.record_received()
        buffer.append(self._value.take_chunks())

    # The response

    async def forward(self, response: StreamedResponse) -> None:
        """Write the value to the client, no faster than the client reads.

        Args:
            response: The response to the client; its `end` or `abort` is called.
        """
        complete = False
        response.on_client_closed = self._stop_receiving
        try:
            await response.wait_writable()
            if self._buffer is None:
                await self._receive_in_turn()
            complete = self._valid_so_far and await self._write_value(response)
        except DownstreamClosedError:
            self._services.counters.add("streams_client_closed")
        except ValueMemoryError:
            self._services.counters.add("long_values_without_memory")
        except (OSError, DeadlineExceededError) as error:
            # The connection's reader keeps the error; its traceback's frames would keep the value in memory.
            error.with_traceback(None)
            self._record_broken_stream(error)
        finally:
            if complete:
                response.end()
            else:
                response.abort()

    @property
    def _valid_so_far(self) -> bool:
        """Whether nothing malformed was received."""
        return self._result is None or self._result.outcome is Outcome.OK

    async def _receive_in_turn(self) -> None:
        """Reserve memory after all earlier responses of the connection were written.

        A value that must be whole is also received.

        Raises:
            ValueMemoryError: No memory was free in time.
            DeadlineExceededError: The value was not complete in time.
            OSError: The server's connection broke.
        """
        clock = self._services.clock
        budget = self._services.memory_budget
        time_left_ms = max(self._attempt.response_due - clock.now(), LATE_COLLECT_MS)
        due_at = clock.now() + min(time_left_ms, MAX_HOLD_BEFORE_REQUESTS_MS)
        due_at = min(due_at, self._services.respond_by())
        needed_bytes = self._value.length
        if not self._must_be_whole:
            needed_bytes = min(STREAM_WINDOW_BYTES, needed_bytes)
        if not await budget.reserve(needed_bytes, due_at - clock.now()):
            raise ValueMemoryError
        if not self._must_be_whole:
            self._window_bytes = needed_bytes
            return
        self._buffer = ValueBuffer(budget, self._value.length)
        if self._is_long:
            await self._collect_or_pass_on(due_at - clock.now(), self._buffer)
        else:  # the time of its response is that of its last byte
            await with_timeout(clock, due_at - clock.now(), self._collect(self._buffer))

    async def _write_value(self, response: StreamedResponse) -> bool:
        """Write what was collected, then the rest as it arrives. Returns whether the value is valid."""
        await self._write_collected(response)
        if self._result is None:
            self._connection.set_read_limit(VALUE_READ_BYTES)
        while True:
            await response.wait_writable()
            self._forward_chunks(response, self._value.take_chunks())
            if self._result is not None:
                return self._valid_so_far
            self._result = await self._receive_next_piece()
            self._progress.record_received()

    async def _receive_next_piece(self) -> AttemptResult | None:
        """Receive once, however long the server pauses, within limits.

        A pause is ended after SERVER_STALL_MS. In a shutdown it is ended when the last responses are due, if
        the server is not writing any more, so that the process is not killed within the value.

        Raises:
            DeadlineExceededError: The server has paused for too long.
            OSError: The server's connection broke.
        """
        clock = self._services.clock
        stalls_at = clock.now() + SERVER_STALL_MS
        while True:
            silent_at = clock.now() + self._progress.longest_silence_ms - self._progress.silent_ms
            give_up_at = min(stalls_at, max(self._services.respond_by(), silent_at))
            check_at = min(give_up_at, clock.now() + SHUTDOWN_CHECK_MS)
            receiving = self._connection.receive(self._exchange)
            try:
                return await with_timeout(clock, check_at - clock.now(), receiving)
            except DeadlineExceededError:
                if clock.now() >= give_up_at:
                    raise

    def _forward_chunks(self, response: StreamedResponse, chunks: Sequence[bytes | bytearray]) -> None:
        response.write(chunks)
        self._forwarded_bytes += sum(map(len, chunks))

    async def _write_collected(self, response: StreamedResponse) -> None:
        if self._buffer is None:
            return
        while (segment := self._buffer.take_segment()) is not None:
            self._forward_chunks(response, [segment])
            await response.wait_writable()

    def _stop_receiving(self) -> None:
        """Close the server's connection within a value that nobody waits for any more."""
        self._client_closed = True
        if self._result is None:
            self._connection.writer.transport.abort()

    def _record_broken_stream(self, error: Exception) -> None:
        if self._client_closed:
            self._services.counters.add("streams_client_closed")
            return
        self._services.counters.add("streams_broken")
        self._log_failure("stream_broken", error)

    def _log_failure(self, event: str, error: Exception) -> None:
        """Log that the server did not complete the value, and how far it got."""
        self._services.log.event(
            event,
            server=self._attempt.server,
            id=self._attempt.id,
            error=repr(error),
            length=self._value.length,
            received=self._value.received_bytes,
            forwarded=self._forwarded_bytes,
            silent_ms=round(self._progress.silent_ms),
        )
