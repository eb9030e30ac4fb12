"""What all streams of a node have in common: how much they read at a time, and how their end is noticed."""

import asyncio
import contextlib
import os
import select
import socket
from collections.abc import Callable

READ_MAX_BYTES = 32 * 1024  # taken from a connection at a time; up to twice as many may wait on it
DISCARD_READ_BYTES = 64 * 1024

# Nothing where the system has no such event: then the end shows only when all before it was read.
PEER_CLOSED_EVENT = getattr(select, "POLLRDHUP", 0)


def limit_read_size(transport: asyncio.BaseTransport) -> None:
    """Have a transport read no more than READ_MAX_BYTES at a time.

    Guards memory: by itself it takes 256 KiB, in whatever number of connections they wait.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = READ_MAX_BYTES


class TrackingReader(asyncio.StreamReader):
    """Counts the bytes that arrive and those that were read, and reports the end of its stream at once.

    Guards against an end that shows only when somebody reads that far: of a client that disconnected while
    its requests wait, of a connection closed while a request lies in it.

    Attributes:
        received_bytes: Those that arrived.
        read_bytes: Those of them that were read.
        on_end: Called at the end of the stream, though bytes before it are unread; and again should more
            show the end.
        queued_since: Since when its first bytes may have waited with their connection to be accepted, in
            milliseconds of the node's clock; None: they came later.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limit: int = 64 * 1024) -> None:
        """`limit`: half of the bytes that may wait unread before the transport pauses."""
        super().__init__(limit=limit, loop=loop)
        self.received_bytes = 0
        self.read_bytes = 0
        self.on_end: Callable[[], None] | None = None
        self.queued_since: float | None = None

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that nobody has read yet."""
        return self.received_bytes > self.read_bytes

    @property
    def exhausted(self) -> bool:
        """Whether nothing more can be read."""
        return self.at_eof() or self.exception() is not None

    async def read(self, n: int = -1) -> bytes:
        """Up to `n` bytes, as the base has it; they are counted."""
        data = await super().read(n)
        self.read_bytes += len(data)
        return data

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # what transports hand over
        """Bytes arrived."""
        self.received_bytes += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        """The other side has ended its stream."""
        super().feed_eof()
        if self.on_end is not None:
            self.on_end()

    def set_exception(self, exc: Exception) -> None:
        """The connection broke."""
        super().set_exception(exc)
        if self.on_end is not None:
            self.on_end()


async def open_connection(reader: TrackingReader, host: str, port: int) -> asyncio.StreamWriter:
    """As asyncio.open_connection does it, with a reader of our own.

    Returns:
        The connection's writer.

    Raises:
        OSError: The connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    limit_read_size(transport)
    return asyncio.StreamWriter(transport, protocol, reader, loop)


def is_reusable(reader: TrackingReader, writer: asyncio.StreamWriter) -> bool:
    """Whether another request may be sent on a connection, as far as the event loop has seen.

    It may not where the connection has ended, or holds bytes that belong to no request.
    """
    return not (reader.has_unread or reader.at_eof() or writer.is_closing())


def discard_input(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Take and drop what the system holds of a connection's input.

    It ends after `max_bytes`, or those of one read more.
    """
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return
    remaining = max_bytes
    with contextlib.suppress(OSError):  # nothing is there, or it was reset
        while remaining > 0:
            data = os.read(descriptor, DISCARD_READ_BYTES)
            if not data:
                return
            remaining -= len(data)


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended its stream or reset the connection.

    Seen also behind bytes that nobody has read yet.
    """
    return _pending_events(transport, PEER_CLOSED_EVENT) != 0


def has_pending_input(transport: asyncio.BaseTransport) -> bool:
    """Whether the system holds bytes of a connection, or its end, that the event loop has not come to yet."""
    return _pending_events(transport, select.POLLIN | PEER_CLOSED_EVENT) != 0


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """-1 where there is none, or none any more."""
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())


def _pending_events(transport: asyncio.BaseTransport, mask: int) -> int:
    descriptor = _descriptor(transport)
    return 0 if descriptor < 0 else _poll(descriptor, mask)


def socket_has_input(sock: socket.socket) -> bool:
    """Whether a socket has something to read, or a listening one a connection to accept."""
    return _poll(sock.fileno(), select.POLLIN) != 0


def _poll(descriptor: int, mask: int) -> int:
    poll = select.poll()
    poll.register(descriptor, mask)
    return sum(events for _, events in poll.poll(0))
