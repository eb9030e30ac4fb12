"""A crowd of clients that connect at once and write, stop or read in ways that make a node hold memory."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

HOST = "127.0.0.1"
SHORT_VALUE_BYTES = 65_000
LONG_VALUE_BYTES = 4_000_000
CLIENT_BUFFER_BYTES = 16 * 1024  # of the kernel, so that unread responses stay at the node


def half_value(number: int) -> bytes:
    """Most of a write of a short value."""
    head = b"ms half%d %d Oh%d Pc=put,d=3900,k=h%d\r\n" % (number, SHORT_VALUE_BYTES, number, number)
    return head + bytes(SHORT_VALUE_BYTES - 1_000)


def part_of_long_value(number: int) -> bytes:
    """A part of a write of a long value."""
    head = b"ms long%d %d Ol%d Pc=put,d=3900,k=l%d\r\n" % (number, LONG_VALUE_BYTES, number, number)
    return head + bytes(LONG_VALUE_BYTES // 16)


def many_short_fields(number: int) -> bytes:
    """A command line of very many short fields, before a value that never comes."""
    return b"ms key%d %d " % (number, SHORT_VALUE_BYTES) + b"ab " * 670 + b"\r\n"


def partial_lines(number: int) -> bytes:
    """The beginning of a command line."""
    return b"mg key%d v Ot%d" % (number, number)


def many_short_reads(number: int) -> bytes:
    """More reads than a node may have in progress for one client."""
    return b"".join(b"mg kept-1 v Op%d-%d Pc=read,d=2400\r\n" % (number, index) for index in range(300))


def many_no_ops(_number: int) -> bytes:
    """A large number of no-op commands."""
    return b"mn\r\n" * 4_000


def reads_of_short_values(number: int) -> bytes:
    """Reads whose responses have 64 KiB each."""
    return b"".join(b"mg short-1 v Os%d-%d Pc=read,d=2400\r\n" % (number, index) for index in range(40))


def reads_of_long_values(number: int) -> bytes:
    """Reads whose responses are long."""
    return b"".join(b"mg long-1 v Ov%d-%d Pc=read,d=2400\r\n" % (number, index) for index in range(4))


class _CrowdReader(asyncio.StreamReader):
    """Tells whether a read would return at once."""

    @property
    def has_input(self) -> bool:
        return bool(self._buffer) or self.at_eof()


class Crowd:
    """Clients that each write the same kind of input at once, and read little at a time, by `read_some`."""

    def __init__(self, port: int, size: int, input_of: Callable[[int], bytes]) -> None:
        self._port = port
        self._size = size
        self._input_of = input_of
        self._connections: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def __aenter__(self) -> "Crowd":
        self._connections = await asyncio.gather(*map(self._connect, range(self._size)))
        for number, (_, writer) in enumerate(self._connections):
            writer.write(self._input_of(number))
        return self

    async def __aexit__(self, *_) -> None:
        for _, writer in self._connections:
            writer.transport.abort()
        await asyncio.sleep(0)  # the event loop closes the sockets in a later iteration

    async def read_some(self) -> None:
        """Have each client read a small part of the responses that wait for it."""
        for reader, _ in self._connections:
            if reader.has_input:
                with contextlib.suppress(OSError):
                    await reader.read(CLIENT_BUFFER_BYTES)

    async def _connect(self, _number: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (HOST, self._port))
        loop = asyncio.get_running_loop()
        reader = _CrowdReader(loop=loop, limit=2_048)
        protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
        transport, _ = await loop.create_connection(lambda: protocol, sock=connection)
        return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def one_response(port: int, command: bytes) -> bytes:
    """Send a command on a connection of its own, and return the first line of the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(command)
        return await reader.readline()
    finally:
        writer.close()
