"""What all streams of a node have in common: how much they take at a time, and how the end is seen."""

import asyncio
import contextlib
import os
import select
from collections.abc import Callable

READ = 32 * 1024  # bytes taken from a connection at a time; up to twice as many may wait on it
ENDED = getattr(select, "POLLRDHUP", 0)  # 0 where the system does not tell: then only what is read tells


def bound_reads(transport: asyncio.BaseTransport) -> None:
    """Have a transport take no more than READ at a time. Guards memory: by itself it takes 256 KiB, in
    whatever number of connections they wait."""
    if hasattr(transport, "max_size"):
        transport.max_size = READ


class CountingReader(asyncio.StreamReader):
    """Counts the bytes that arrive and those that were read, and tells at once of the end, though bytes
    before it are still unread.

    Guards against an end seen only when somebody reads that far: of a client that left while its requests
    wait, of a connection closed while a request lies in it.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limit: int = 64 * 1024) -> None:
        super().__init__(limit=limit, loop=loop)
        self.fed = 0
        self.taken = 0  # bytes that were read of those
        self.ended: Callable[[], None] | None = None  # called at the end, and again should more tell of it

    @property
    def unread(self) -> bool:
        """Whether bytes have arrived that nobody has read yet."""
        return self.fed > self.taken

    @property
    def over(self) -> bool:
        """Whether nothing more can arrive."""
        return self.at_eof() or self.exception() is not None

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.taken += len(data)
        return data

    def feed_data(self, data: bytes) -> None:  # type: ignore[override]  # what transports hand over
        self.fed += len(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        super().feed_eof()
        if self.ended is not None:
            self.ended()

    def set_exception(self, exc: Exception) -> None:
        super().set_exception(exc)
        if self.ended is not None:
            self.ended()


async def open_stream(reader: CountingReader, host: str, port: int) -> asyncio.StreamWriter:
    """As asyncio.open_connection does it, with a reader of our own. Raises OSError."""
    loop = asyncio.get_running_loop()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, _ = await loop.create_connection(lambda: protocol, host, port)
    bound_reads(transport)
    return asyncio.StreamWriter(transport, protocol, reader, loop)


def spent(reader: CountingReader, writer: asyncio.StreamWriter) -> bool:
    """Whether nothing more may be asked on a connection, as far as the event loop has seen: it holds bytes of
    no question, or has ended."""
    return reader.unread or reader.at_eof() or writer.is_closing()


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """-1 where there is none, or none any more."""
    opened = transport.get_extra_info("socket")
    return -1 if opened is None else int(opened.fileno())


def read_past(transport: asyncio.BaseTransport, most: int) -> None:
    """Take up to `most` bytes, and those of one read more, that the system holds of a connection's input."""
    if (number := _descriptor(transport)) < 0:
        return
    with contextlib.suppress(OSError):  # nothing is there, or it was reset
        while most > 0 and (data := os.read(number, 64 * 1024)):
            most -= len(data)


def _events(transport: asyncio.BaseTransport, wanted: int) -> int:
    if (number := _descriptor(transport)) < 0:
        return 0
    poll = select.poll()
    poll.register(number, wanted)
    return sum(events for _, events in poll.poll(0))


def other_side_ended(transport: asyncio.BaseTransport) -> bool:
    """Whether the other side has ended its sending or reset the connection, also behind bytes that nobody
    has read yet."""
    return _events(transport, ENDED) != 0


def holds_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether the system holds bytes of a connection, or its end, that the event loop has not come to yet."""
    return _events(transport, select.POLLIN | ENDED) != 0
