"""One connection to a server, and the exchange over it."""

import asyncio
import contextlib
import errno
import math
import os
import socket
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from flintridge.config.address import Address
from flintridge.core.exchange import Exchange
from flintridge.core.response import AttemptResult
from flintridge.runtime.clock import Clock, sleep, with_timeout
from flintridge.runtime.streams import UNRESERVED_READ_BYTES, VALUE_READ_BYTES, TrackingReader, is_reusable
from flintridge.runtime.streams import open_connection as open_tracked_connection

# How often an attempt is checked while the kernel has accepted no byte of it. Far less than the 0.1 s within
# which an attempt may still begin after its client has disconnected.
BEGIN_CHECK_INTERVAL_MS = 10.0
WRITE_CHUNK_BYTES = 16 * 1024  # how much of a value is passed to the transport at a time


RequestPiece = bytes | bytearray | memoryview


def _allow_begin() -> None:
    """Default check: writing may begin at any time."""


def _write_batches(pieces: Sequence[bytes | bytearray]) -> Iterator[list[RequestPiece]]:
    """Yield the pieces of a request in the batches that are passed to the transport at a time.

    A long value is divided, as the transport copies whatever the server has not read yet.
    """
    batch: list[RequestPiece] = []
    for piece in pieces:
        if len(piece) <= WRITE_CHUNK_BYTES:
            batch.append(piece)
            continue
        if batch:
            yield batch
        batch = []
        for start in range(0, len(piece), WRITE_CHUNK_BYTES):
            yield [memoryview(piece)[start : start + WRITE_CHUNK_BYTES]]
    if batch:
        yield batch


class UpstreamReader(TrackingReader):
    """Reports input that arrives while the connection is idle.

    Without it, the next request on a reused connection could take bytes that are already there for its
    response: a duplicate of the previous response, garbage after it, or the end of the connection.

    Attributes:
        on_unexpected_data: Called whenever data or the end of the stream arrives; None while a response is
            expected.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, limit=UNRESERVED_READ_BYTES // 2)
        self.on_unexpected_data: Callable[[], None] | None = None

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # same as in the base class
        """Buffer data, and report it if none is expected."""
        super().feed_data(data)
        if self.on_unexpected_data is not None:
            self.on_unexpected_data()

    def feed_eof(self) -> None:
        """Record the end of the stream, and report it if it is not expected."""
        super().feed_eof()
        if self.on_unexpected_data is not None:
            self.on_unexpected_data()


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to a server, for one exchange at a time. Instants are milliseconds of the node's clock.

    Attributes:
        address: Address of the server.
        reader: Stream of received data.
        writer: Stream of sent data.
        idle_since: When the last exchange ended.
        quarantined_until: The connection must not be reused before this instant.
        request_begun: Whether the kernel accepted any byte of the last exchange's request.
        request_written: Whether that request was written completely.
        unwritten_bytes: How many bytes of that request the kernel had not accepted when its writing
            was cancelled; 0 otherwise.
        reused: Whether the connection was idle before the current exchange.
        idle_before_use_ms: How long it was idle before the current exchange; 0 for a new connection.
        bytes_read_before_use: Number of bytes read before the current exchange.
    """

    address: Address
    reader: UpstreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0
    quarantined_until: float = 0.0
    request_begun: bool = False
    request_written: bool = False
    unwritten_bytes: int = 0
    reused: bool = False
    idle_before_use_ms: float = 0.0
    bytes_read_before_use: int = 0

    @property
    def nothing_received(self) -> bool:
        """Whether no byte of the current response has been read."""
        return self.reader.read_bytes == self.bytes_read_before_use

    @property
    def unusable(self) -> bool:
        """Whether the connection has ended or has buffered bytes that belong to no request."""
        return not is_reusable(self.reader, self.writer)

    async def perform(
        self,
        exchange: Exchange,
        clock: Clock,
        write_deadline: float = math.inf,
        check_may_begin: Callable[[], None] = _allow_begin,
    ) -> AttemptResult | None:
        """Send a request and receive the response to it.

        Args:
            exchange: The request and its response.
            clock: The node's clock.
            write_deadline: Latest instant by which the request must be written completely.
            check_may_begin: Called right before the first byte is written, and repeatedly while the kernel
                accepts no byte. An error that it raises withdraws the request.

        Returns:
            The result; None if the rest of the response needs reserved memory, for the exchange's
            `streamed_value` or for `unreserved_body_bytes` of it.

        Raises:
            OSError: The connection failed.
            DeadlineExceededError: The request was not written in time.
        """
        self.request_begun = False
        self.request_written = False
        self.unwritten_bytes = 0
        writing = self._write(exchange, clock, check_may_begin)
        if write_deadline < math.inf:
            await with_timeout(clock, write_deadline - clock.now(), writing)
        else:
            await writing
        self.request_written = True
        while True:
            result = await self.receive(exchange)
            needs_memory = exchange.streamed_value is not None or exchange.unreserved_body_bytes > 0
            if result is not None or needs_memory:
                return result

    async def receive_rest(self, exchange: Exchange) -> AttemptResult:
        """Receive the rest of a response for which memory is reserved.

        Raises:
            OSError: The connection failed, or ended before the response was complete.
        """
        self.set_read_limit(VALUE_READ_BYTES)
        while True:
            result = await self.receive(exchange)
            if result is not None:
                return result

    def set_read_limit(self, max_bytes: int = UNRESERVED_READ_BYTES) -> None:
        """Read at most `max_bytes` at a time from now on."""
        self.reader.set_read_limit(self.writer.transport, max_bytes)

    async def _write(self, exchange: Exchange, clock: Clock, check_may_begin: Callable[[], None]) -> None:
        pieces = exchange.encode_request()
        bytes_to_pass = sum(map(len, pieces))
        try:
            for batch in _write_batches(pieces):
                bytes_to_pass -= sum(map(len, batch))
                await self._write_pieces(batch, clock, check_may_begin)
                await self.writer.drain()  # high-water mark 0: returns once everything is written
        except asyncio.CancelledError:
            # The timeout can occur in the same loop iteration in which the last byte was written, before this
            # task resumes. The server may execute that request, so it must not count as never sent.
            transport = self.writer.transport
            self.unwritten_bytes = bytes_to_pass + transport.get_write_buffer_size()
            self.request_written = not transport.is_closing() and not self.unwritten_bytes
            raise

    async def _write_pieces(
        self, pieces: list[RequestPiece], clock: Clock, check_may_begin: Callable[[], None]
    ) -> None:
        """Write pieces of a request; for the first pieces, wait until the kernel has accepted a byte."""
        if self.request_begun:
            self.writer.writelines(pieces)
            return
        size = sum(map(len, pieces))
        transport = self.writer.transport
        check_may_begin()
        self.writer.writelines(pieces)
        # The kernel may accept nothing at first, because it lacks socket memory or the process stalls.
        # Without the repeated check, a request could begin long after its client has disconnected.
        while transport.get_write_buffer_size() >= size:
            await sleep(clock, BEGIN_CHECK_INTERVAL_MS)
            if transport.get_write_buffer_size() >= size:
                check_may_begin()
        self.request_begun = not transport.is_closing()

    async def receive(self, exchange: Exchange) -> AttemptResult | None:
        """Read once and feed the data to the exchange.

        Returns:
            The result if the response is complete; None otherwise.

        Raises:
            OSError: The connection failed, or ended before the response was complete.
        """
        data = await self.reader.read(VALUE_READ_BYTES)
        result = exchange.feed(data) if data else exchange.end()
        if result is None and not data:
            raise ConnectionResetError("the server closed the connection")
        return result


def _error_if_unconnected(reader: UpstreamReader, writer: asyncio.StreamWriter) -> OSError | None:
    """Return the error of a connection that asyncio wrongly reports as established, or None if it is.

    connect(2) fails with EAGAIN if no local port is free. asyncio treats that as "in progress", and then
    takes the absence of a socket error for success.
    """
    if writer.get_extra_info("peername") is not None:
        return None
    code = errno.EAGAIN
    error = reader.exception()
    if isinstance(error, OSError) and error.errno != errno.ENOTCONN:
        return error
    with contextlib.suppress(OSError):  # the socket may be closed already
        pending = writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        code = pending or code
    return OSError(code, os.strerror(code))


async def open_connection(address: Address) -> UpstreamConnection:
    """Connect to a server.

    Raises:
        OSError: The connection could not be established.
    """
    reader = UpstreamReader(asyncio.get_running_loop())
    writer = await open_tracked_connection(reader, address.host, address.port)
    error = _error_if_unconnected(reader, writer)
    if error is not None:
        writer.transport.abort()
        raise error
    return UpstreamConnection(address, reader, writer)
