"""The client side of a node, for tests of how connections end."""

import asyncio
import socket
import struct

from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net.sender import Downstream
from support.network import SETTINGS, HandClock, quiet, until

READ = b"mg key7 v O%b Pc=read,t=acme,d=480\r\n"


PATIENT = READ.replace(b"480", b"1900")


BUSY = b"SERVER_ERROR busy\r\n"


FAILED = b"SERVER_ERROR failed\r\n"


class Held:
    """Stands for the module: leaves every request to the test."""

    def handle(self, now, event):
        return []


class Side:
    """A sender side whose requests the test answers, and clients on plain sockets, which act at once."""

    def __init__(self, room: int = 8) -> None:
        self.room = room

    async def __aenter__(self) -> "Side":
        self.clock, self.clients = HandClock(), []
        log, self.counters = quiet()
        self.core = RequestLifecycle(Held(), SETTINGS, self.clock, 1 << 20, log, self.counters)
        transports = EndpointList((), (), SETTINGS, self.clock)
        entry = {"id": "s1", "host_port": "127.0.0.1:1", "phase": "in_service"}
        transports.apply({"revision": 1, "complete": True, "members": [entry]})
        self.side = Downstream(self.core, SETTINGS, transports, self.clock, self.room, log, self.counters)
        self.port = await self.side.listen(Address("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_) -> None:
        for client in self.clients:
            client.close()
        for uid in list(self.core._open):
            self.core.client_disconnected(uid)
        self.side.close()
        await turns()

    async def client(self, *parts: bytes) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", self.port))
        client.settimeout(10)
        self.clients.append(client)
        await until(lambda: self.counters["connections_accepted"] == len(self.clients))
        client.sendall(b"".join(parts))
        return client

    @property
    def requests(self) -> int:
        return self.counters["requests"]


async def turns(count: int = 20) -> None:
    """Let the event loop carry out what is due."""
    for _ in range(count):
        await asyncio.sleep(0)
        await asyncio.sleep(0.0005)


def gone_with_a_reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


def cross(end: socket.socket, crossing: bytes | str) -> None:
    """What reaches the node in this moment: bytes, a reset ("rst"), or an orderly end (b"")."""
    if crossing == "rst":
        gone_with_a_reset(end)
    elif crossing:
        end.send(crossing)
    else:
        end.shutdown(socket.SHUT_WR)


async def rest(client: socket.socket) -> bytes:
    """All that comes until the end. Raises ConnectionResetError where that is a reset."""
    client.setblocking(False)
    loop, data = asyncio.get_running_loop(), bytearray()
    async with asyncio.timeout(10):
        while part := await loop.sock_recv(client, 1 << 20):
            data += part
    return bytes(data)
