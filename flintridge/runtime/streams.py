"""Helpers for a node's stream connections: bounded reads, and detection of their end and of unread input."""

import asyncio
import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
import weakref
from array import array
from collections.abc import Awaitable, Callable

READ_MAX_BYTES = 32 * 1024  # read from a connection at a time; up to twice as many may wait in its buffer
# The same of a value that a server sends, for which memory is reserved.
VALUE_READ_BYTES = 16 * 1024
# The same while no memory is reserved for what arrives on the connection.
UNRESERVED_READ_BYTES = 2 * 1024
DISCARD_READ_BYTES = 64 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: enabled, with no time to deliver

# The poll event for the end of the peer's stream; 0 if the system has none. Without it, the end is detected
# only after all bytes before it have been read.
PEER_CLOSED_EVENT = getattr(select, "POLLRDHUP", 0)


def limit_read_size(transport: asyncio.BaseTransport, max_bytes: int = READ_MAX_BYTES) -> None:
    """Have a transport read no more than `max_bytes` at a time.

    Bounds memory: by default a transport reads 256 KiB at a time, on any number of connections.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = max_bytes


class ReadFlow:
    """Pauses the reading of a transport while the reader's buffer is full, or while its owner holds it.

    A reader resumes its transport whenever its buffer has room again, and would end a pause of its owner.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        """Start with a transport that reads."""
        self._transport = transport
        self._is_full = False
        self._is_held = False

    # Called by asyncio.StreamReader

    def pause_reading(self) -> None:
        """Record that the reader's buffer is full."""
        self._is_full = True
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Record that the reader's buffer has room."""
        self._is_full = False
        self._apply()

    # Called by the owner

    def hold(self) -> None:
        """Read nothing until `release` is called."""
        self._is_held = True
        self._transport.pause_reading()

    def release(self) -> None:
        """Read again as soon as the reader's buffer has room."""
        self._is_held = False
        self._apply()

    def _apply(self) -> None:
        if not self._is_full and not self._is_held:
            self._transport.resume_reading()


class TrackingReader(asyncio.StreamReader):
    """Counts the bytes that arrive and the bytes that are read, and reports the stream's end immediately.

    A plain StreamReader reports the end only to a reader that has read everything before it. That is too late
    if a client disconnects while its requests wait, or a connection closes with an unread request in it.

    Attributes:
        received_bytes: Number of bytes that have arrived.
        read_bytes: Number of the received bytes that have been read.
        on_end: Called when the stream ends or fails, even if bytes before that are unread. It can be called
            more than once.
        on_written: Called when all bytes in the write buffer have been passed to the kernel, after some had
            to wait there. The transport's limits must have been set to `high=0`.
        flow: Pauses the transport; None before the connection is made.
        kernel_was_drained: Whether the last read of the transport has emptied the kernel's buffer.
        queued_since: The earliest instant at which the first bytes may have arrived while the connection
            waited to be accepted, in milliseconds of the node's clock; None if they arrived later.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limit: int = 64 * 1024) -> None:
        """Create a reader whose transport pauses when more than 2 * `limit` bytes are unread."""
        super().__init__(limit=limit, loop=loop)
        self.received_bytes = 0
        self.read_bytes = 0
        self.on_end: Callable[[], None] | None = None
        self.on_written: Callable[[], None] | None = None
        self.flow: ReadFlow | None = None
        self.kernel_was_drained = True
        self._read_limit = READ_MAX_BYTES
        self.queued_since: float | None = None

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport, which the reader and the owner of the connection may both pause."""
        assert isinstance(transport, asyncio.Transport)
        limit_read_size(transport)
        self.flow = ReadFlow(transport)
        super().set_transport(self.flow)  # type: ignore[arg-type]  # it is used to pause and resume only

    @property
    def has_unread(self) -> bool:
        """Whether received bytes have not been read yet."""
        return self.received_bytes > self.read_bytes

    @property
    def exhausted(self) -> bool:
        """Whether nothing more can be read."""
        return self.at_eof() or self.exception() is not None

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes as the base class does, and count them."""
        data = await super().read(n)
        self.read_bytes += len(data)
        return data

    def discard(self, transport: asyncio.BaseTransport, max_bytes: int) -> int:
        """Discard at most `max_bytes` that the kernel has buffered, if nothing before them is unread.

        Returns:
            How many bytes were discarded; they count as received and read.
        """
        if self.has_unread:
            return 0
        discarded = discard_up_to(transport, max_bytes)
        self.received_bytes += discarded
        self.read_bytes += discarded
        return discarded

    def set_read_limit(self, transport: asyncio.BaseTransport, max_bytes: int) -> None:
        """Read at most `max_bytes` at a time, and pause the transport while more are unread."""
        limit_read_size(transport, max_bytes)
        self._read_limit = max_bytes
        self._limit = max_bytes // 2  # the transport is paused at twice the limit of the base class

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # transports pass bytes
        """Buffer bytes that arrived, and count them."""
        self.received_bytes += len(data)
        self.kernel_was_drained = len(data) < self._read_limit
        super().feed_data(data)

    def feed_eof(self) -> None:
        """Handle the end of the peer's stream."""
        super().feed_eof()
        if self.on_end is not None:
            self.on_end()

    def set_exception(self, exc: Exception) -> None:
        """Handle a failure of the connection."""
        super().set_exception(exc)
        if self.on_end is not None:
            self.on_end()


class TrackingProtocol(asyncio.StreamReaderProtocol):
    """The protocol of a stream whose reader is told when the write buffer has become empty."""

    def __init__(
        self,
        reader: TrackingReader,
        on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]] | None = None,
    ) -> None:
        """Create the protocol in the running event loop.

        Args:
            reader: The stream's reader.
            on_connection: Called with the streams of an accepted connection; None for an outgoing one.
        """
        super().__init__(reader, on_connection, loop=asyncio.get_running_loop())
        self._tracking_reader = weakref.ref(reader)  # a strong reference would form a cycle

    def resume_writing(self) -> None:
        """Wake the tasks that wait for the write buffer, and notify the reader."""
        super().resume_writing()
        reader = self._tracking_reader()
        if reader is not None and reader.on_written is not None:
            reader.on_written()


async def open_connection(reader: TrackingReader, host: str, port: int) -> asyncio.StreamWriter:
    """Open a connection as asyncio.open_connection does, but with the given reader.

    Returns:
        The connection's writer.

    Raises:
        OSError: The connection could not be opened.
    """
    loop = asyncio.get_running_loop()
    protocol = TrackingProtocol(reader)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    limit_read_size(transport, UNRESERVED_READ_BYTES)
    return asyncio.StreamWriter(transport, protocol, reader, loop)


def is_reusable(reader: TrackingReader, writer: asyncio.StreamWriter) -> bool:
    """Whether another request may be sent on a connection, as far as the event loop knows.

    It may not if the connection has ended, or if unread bytes wait on it, which belong to no request.
    """
    return not (reader.has_unread or reader.at_eof() or writer.is_closing())


def discard_input(transport: asyncio.BaseTransport, max_bytes: int) -> None:
    """Read and discard a connection's input that the kernel has buffered.

    It stops once `max_bytes` have been read; the last read may exceed that.
    """
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return
    remaining = max_bytes
    with contextlib.suppress(OSError):  # no input waits, or the connection was reset
        while remaining > 0:
            data = os.read(descriptor, DISCARD_READ_BYTES)
            if not data:
                return
            remaining -= len(data)


def discard_up_to(transport: asyncio.BaseTransport, max_bytes: int) -> int:
    """Discard at most `max_bytes` of a connection's input that the kernel has buffered; returns how many."""
    descriptor = _descriptor(transport)
    discarded = 0
    if descriptor < 0:
        return discarded
    with contextlib.suppress(OSError):  # no input waits, or the connection was reset
        while discarded < max_bytes:
            data = os.read(descriptor, min(DISCARD_READ_BYTES, max_bytes - discarded))
            if not data:
                break  # the end of the stream; the transport will read it as well
            discarded += len(data)
    return discarded


def peer_has_closed(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has ended its stream or reset the connection, even if bytes before that are unread."""
    return _pending_events(transport, PEER_CLOSED_EVENT) != 0


def has_pending_input(transport: asyncio.BaseTransport) -> bool:
    """Whether the kernel holds input of a connection, or its end, that the event loop has not read yet."""
    return _pending_events(transport, select.POLLIN | PEER_CLOSED_EVENT) != 0


def pending_input_bytes(reader: TrackingReader, transport: asyncio.Transport) -> int:
    """How many bytes of a connection's input the kernel has buffered; 0 if that is unknown.

    The kernel is asked only if it may have any: the transport has not emptied its buffer, or is paused.
    """
    if reader.kernel_was_drained and transport.is_reading():
        return 0
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return 0
    count = array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(descriptor, termios.FIONREAD, count)
    return count[0]


def reset_if_unsent(transport: asyncio.BaseTransport) -> None:
    """Have the close of a connection reset it if bytes that were written to it have not been delivered.

    Otherwise the kernel delivers them after the close: a server that reads slowly would receive the rest of a
    request long after the node has given it up.
    """
    descriptor = _descriptor(transport)
    if descriptor < 0:
        return
    unsent = array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, unsent)
        if unsent[0]:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """The descriptor of a transport's socket; -1 if it has no socket or the socket is closed."""
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else int(sock.fileno())


def _pending_events(transport: asyncio.BaseTransport, mask: int) -> int:
    descriptor = _descriptor(transport)
    return 0 if descriptor < 0 else _poll(descriptor, mask)


def socket_has_input(sock: socket.socket) -> bool:
    """Whether a socket has input to read or, if it listens, a connection to accept."""
    return _poll(sock.fileno(), select.POLLIN) != 0


def _poll(descriptor: int, mask: int) -> int:
    poll = select.poll()
    poll.register(descriptor, mask)
    return sum(events for _, events in poll.poll(0))
