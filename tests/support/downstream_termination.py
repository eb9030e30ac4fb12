"""How the other end of a connection ends it, and what is read until then."""

import asyncio
import socket
import struct

from support.downstream import BUSY, FAILED, READ, run_loop_turns

__all__ = ["BUSY", "FAILED", "READ", "send_or_close", "reset_connection", "read_until_end", "turns"]

turns = run_loop_turns


def reset_connection(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def send_or_close(end: socket.socket, crossing: bytes | str) -> None:
    """What reaches the node in this moment: bytes, a reset ("rst"), or an orderly end (b"")."""
    if crossing == "rst":
        reset_connection(end)
    elif crossing:
        end.send(crossing)
    else:
        end.shutdown(socket.SHUT_WR)


async def read_until_end(client: socket.socket) -> bytes:
    """All that comes until the end. Raises ConnectionResetError where that is a reset."""
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    data = bytearray()
    async with asyncio.timeout(10):
        while True:
            received = await loop.sock_recv(client, 1 << 20)
            if not received:
                return bytes(data)
            data += received
