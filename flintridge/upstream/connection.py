"""One connection to a server, and an exchange over it."""

import asyncio
import contextlib
import errno
import math
import os
import socket
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.config.address import Address
from flintridge.core.exchange import Exchange
from flintridge.core.response import AttemptResult
from flintridge.runtime.clock import Clock, sleep, with_timeout
from flintridge.runtime.streams import READ_MAX_BYTES, TrackingReader, is_reusable
from flintridge.runtime.streams import open_connection as open_tracked_connection

# How often an attempt of which the system has taken no byte yet is looked at: far less than the 0.1 s after
# its client's end in which it may still begin.
BEGIN_CHECK_INTERVAL_MS = 10.0
WRITE_CHUNK_BYTES = 64 * 1024  # of a long value, handed to the transport at a time


def _allow_begin() -> None:
    """Whatever is written may begin at any time."""


class UpstreamReader(TrackingReader):
    """Notifies of anything that arrives while no request is out.

    Guards the next request on a reused connection against being answered by bytes that are there already: a
    duplicate of the response before, noise behind it, or the end of the connection.

    Attributes:
        on_unexpected_data: Called with each arrival; set while nothing may arrive.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop, limit=READ_MAX_BYTES // 2)
        self.on_unexpected_data: Callable[[], None] | None = None

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # as in the base
        """As in the base."""
        super().feed_data(data)
        if self.on_unexpected_data is not None:
            self.on_unexpected_data()

    def feed_eof(self) -> None:
        """As in the base."""
        super().feed_eof()
        if self.on_unexpected_data is not None:
            self.on_unexpected_data()


@dataclass(slots=True, eq=False)
class UpstreamConnection:
    """A connection to a server, for one exchange at a time. Instants are milliseconds of the node's clock.

    Attributes:
        address: Where it leads.
        reader: What arrives.
        writer: What is sent.
        idle_since: When its last exchange ended.
        quarantined_until: It is not used again before.
        request_begun: Whether the system took any byte of the request of its last exchange.
        request_written: Whether that request was written completely.
        reused: Whether it was idle before the exchange that it carries.
        idle_before_use_ms: How long it was idle before the exchange that it carries; 0: it is new.
        bytes_read_before_use: How many bytes had been read until that exchange.
    """

    address: Address
    reader: UpstreamReader
    writer: asyncio.StreamWriter
    idle_since: float = 0.0
    quarantined_until: float = 0.0
    request_begun: bool = False
    request_written: bool = False
    reused: bool = False
    idle_before_use_ms: float = 0.0
    bytes_read_before_use: int = 0

    @property
    def nothing_received(self) -> bool:
        """Whether no byte of the response was read."""
        return self.reader.read_bytes == self.bytes_read_before_use

    @property
    def unusable(self) -> bool:
        """Whether it has ended, or holds bytes that belong to no request."""
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
            clock: Tells when the deadline is.
            write_deadline: The request has to be written completely by this instant.
            check_may_begin: Called right before the first byte is written, and again while the system takes
                none; what it raises withdraws the request.

        Returns:
            The result; None if a long value has begun, which is then `exchange.streamed_value`.

        Raises:
            OSError: The connection broke.
            DeadlineExceededError: The request was not written in time.
        """
        self.request_begun = False
        self.request_written = False
        writing = self._write(exchange, clock, check_may_begin)
        if write_deadline < math.inf:
            await with_timeout(clock, write_deadline - clock.now(), writing)
        else:
            await writing
        self.request_written = True
        while True:
            result = await self.receive(exchange)
            if result is not None or exchange.streamed_value is not None:
                return result

    async def _write(self, exchange: Exchange, clock: Clock, check_may_begin: Callable[[], None]) -> None:
        pieces: list[bytes | bytearray] = []
        for piece in exchange.encode_request():
            if len(piece) <= WRITE_CHUNK_BYTES:
                pieces.append(piece)
                continue
            # A long value goes in chunks: the transport would copy all that the server has not read.
            await self._write_pieces(pieces, clock, check_may_begin)
            pieces = []
            for start in range(0, len(piece), WRITE_CHUNK_BYTES):
                self.writer.write(memoryview(piece)[start : start + WRITE_CHUNK_BYTES])
                await self.writer.drain()
        try:
            await self._write_pieces(pieces, clock, check_may_begin)
            await self.writer.drain()  # with no high-water mark: returns when all is written
        except asyncio.CancelledError:
            # Guards against a timeout in the very step in which the last byte went out, of which this task
            # was to hear next: the request may be executed, and must not count as never sent.
            transport = self.writer.transport
            self.request_written = not transport.is_closing() and not transport.get_write_buffer_size()
            raise

    async def _write_pieces(
        self, pieces: list[bytes | bytearray], clock: Clock, check_may_begin: Callable[[], None]
    ) -> None:
        """Write some pieces of a request; the first ones not before the system takes a byte of them."""
        if self.request_begun:
            self.writer.writelines(pieces)
            return
        size = sum(map(len, pieces))
        transport = self.writer.transport
        check_may_begin()
        self.writer.writelines(pieces)
        # Guards against a request that begins long after its client has gone: the system may be out of
        # memory for sockets, or held up, and take none of it at first.
        while transport.get_write_buffer_size() >= size:
            await sleep(clock, BEGIN_CHECK_INTERVAL_MS)
            if transport.get_write_buffer_size() >= size:
                check_may_begin()
        self.request_begun = not transport.is_closing()

    async def receive(self, exchange: Exchange) -> AttemptResult | None:
        """Read once and feed it to the exchange.

        Returns:
            The result, if this completes it.

        Raises:
            OSError: The connection ended too early.
        """
        data = await self.reader.read(READ_MAX_BYTES)
        result = exchange.feed(data) if data else exchange.end()
        if result is None and not data:
            raise ConnectionResetError("the server ended the connection")
        return result


def _error_if_unconnected(reader: UpstreamReader, writer: asyncio.StreamWriter) -> OSError | None:
    """The error of a connection that the event loop takes for one that is up.

    asyncio reads EAGAIN of connect(2), which stands for a lack of local ports, as "in progress", then the
    socket's missing error as success.
    """
    if writer.get_extra_info("peername") is not None:
        return None
    code = errno.EAGAIN
    error = reader.exception()
    if isinstance(error, OSError) and error.errno != errno.ENOTCONN:
        return error
    with contextlib.suppress(OSError):  # it is closed already
        pending = writer.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        code = pending or code
    return OSError(code, os.strerror(code))


async def open_connection(address: Address) -> UpstreamConnection:
    """Connect to a server.

    Raises:
        OSError: There is no connection.
    """
    reader = UpstreamReader(asyncio.get_running_loop())
    writer = await open_tracked_connection(reader, address.host, address.port)
    error = _error_if_unconnected(reader, writer)
    if error is not None:
        writer.transport.abort()
        raise error
    return UpstreamConnection(address, reader, writer)
