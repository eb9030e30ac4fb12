"""The client side of a node, in harnesses of their own."""

import asyncio

from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net.sender import (
    Downstream,
)
from support.network import SETTINGS, HandClock, quiet

READ = b"mg key7 v O%b Pc=read,t=acme,d=480\r\n"


BUSY = b"SERVER_ERROR busy\r\n"


class Held:
    """Stands for the module: leaves every request to the test."""

    def handle(self, now, event):
        return []


class Side:
    async def __aenter__(self) -> "Side":
        self.clock, self.kept = HandClock(), []
        log, self.counters = quiet()
        self.core = RequestLifecycle(Held(), SETTINGS, self.clock, 1 << 20, log, self.counters)
        transports = EndpointList((), (), SETTINGS, self.clock)
        entry = {"id": "s1", "host_port": "127.0.0.1:1", "phase": "in_service"}
        self.members = {"revision": 1, "complete": True, "members": [entry]}
        self.side = Downstream(self.core, SETTINGS, transports, self.clock, 2, log, self.counters)
        self.port = await self.side.listen(Address("127.0.0.1", 0))
        self.transports = transports
        return self

    async def __aexit__(self, *_) -> None:
        for uid in list(self.core._open):
            self.core.client_disconnected(uid)
        await asyncio.sleep(0.01)

    async def client(self, *parts: bytes):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(parts)
        self.kept.append(writer)  # a forgotten writer closes its connection
        return reader, writer
