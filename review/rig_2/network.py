"""Free loopback ports, and clients of a node."""

import asyncio
import socket

HOST = "127.0.0.1"


def free_port() -> int:
    """Return a TCP port of the loopback address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Client:
    """One client connection to a node, which sends one command at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int) -> "Client":
        """Connect to the node that listens on `port`."""
        reader, writer = await asyncio.open_connection(HOST, port)
        return cls(reader, writer)

    async def ask(self, command: bytes, timeout_s: float = 10.0) -> bytes:
        """Send a command and return the first line of the response; empty if the connection ended."""
        self.writer.write(command)
        return await asyncio.wait_for(self.read_response(), timeout_s)

    async def read_response(self) -> bytes:
        """Read a response and return its first line; a value after the line is read and dropped."""
        line = await self.reader.readline()
        if line.startswith(b"VA "):
            await self.reader.readexactly(int(line.split()[1]) + 2)
        return line.rstrip(b"\r\n")

    def leave(self) -> None:
        """Close the connection at once, as a client that has gone away."""
        self.writer.transport.abort()


async def ask_once(port: int, command: bytes, timeout_s: float = 10.0) -> bytes:
    """Send one command on a connection of its own; empty if there is no connection or no response."""
    try:
        client = await Client.connect(port)
    except OSError:
        return b""
    try:
        return await client.ask(command, timeout_s)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return b""
    finally:
        client.writer.close()


async def call_admin(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Call the admin API; the status is 0 if there is no response."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return 0, b""
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        writer.write(head.encode() + body)
        response = await asyncio.wait_for(reader.read(), 3.0)
    except (OSError, TimeoutError):
        return 0, b""
    finally:
        writer.close()
    status_line, _, rest = response.partition(b"\r\n")
    fields = status_line.split()
    return (int(fields[1]) if len(fields) > 1 else 0), rest.partition(b"\r\n\r\n")[2]
