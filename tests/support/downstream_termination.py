"""Ways in which a remote end closes a connection, and reading until then."""

import asyncio
import socket
import struct

from support.downstream import BUSY, FAILED, READ, run_loop_turns

__all__ = ["BUSY", "FAILED", "READ", "read_until_end", "reset_connection", "send_or_close", "turns"]

turns = run_loop_turns


def reset_connection(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def send_or_close(end: socket.socket, crossing: bytes | str) -> None:
    """Send bytes, reset the connection ("rst"), or end the stream (b"")."""
    if crossing == "rst":
        reset_connection(end)
    elif crossing:
        end.send(crossing)
    else:
        end.shutdown(socket.SHUT_WR)


async def read_until_end(client: socket.socket) -> bytes:
    """Return everything up to the end of the stream. Raises ConnectionResetError on a reset."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    data = bytearray()
    async with asyncio.timeout(10):
        while True:
            received = await loop.sock_recv(client, 1 << 20)
            if not received:
                return bytes(data)
            data += received
