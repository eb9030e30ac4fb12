"""The client side of a node, with clients; the test responds to the requests itself."""

import asyncio
import socket

from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.response import Responder
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.listener import Downstream
from support.network import SETTINGS, ManualClock, log_and_counters, until

READ = b"mg key7 v O%b Pc=read,t=acme,d=480\r\n"
LONG_DEADLINE_READ = READ.replace(b"480", b"1900")
BUSY = b"SERVER_ERROR busy\r\n"
FAILED = b"SERVER_ERROR failed\r\n"

ENDPOINT = {"id": "s1", "host_port": "127.0.0.1:1", "phase": "in_service"}
ENDPOINT_LIST = {"revision": 1, "complete": True, "members": [ENDPOINT]}


class PassivePolicy:
    """A policy that takes no action, so that the test responds to every request."""

    def handle(self, now, event):
        return []


class DownstreamHarness:
    """A listener on loopback with a request core and a manual clock."""

    def __init__(
        self,
        connection_limit: int = 8,
        memory_bytes: int = 1 << 20,
        policy=None,
        endpoints_known: bool = True,
        settings=SETTINGS,
    ) -> None:
        self.connection_limit = connection_limit
        self.memory_bytes = memory_bytes
        self.policy = policy or PassivePolicy()
        self.endpoints_known = endpoints_known
        self.settings = settings

    async def __aenter__(self):
        self.clock = ManualClock()
        self.clients: list[socket.socket | asyncio.StreamWriter] = []
        log, self.counters = log_and_counters()
        self.core = RequestLifecycle(
            self.policy, self.settings, self.clock, self.memory_bytes, log, self.counters
        )
        self.endpoints = EndpointList((), (), self.settings, self.clock)
        if self.endpoints_known:
            self.endpoints.apply(ENDPOINT_LIST)
        self.downstream = Downstream(
            self.core, self.settings, self.endpoints, self.clock, self.connection_limit, log, self.counters
        )
        self.port = await self.downstream.listen(Address("127.0.0.1", 0))
        return self

    async def __aexit__(self, *_) -> None:
        for client in self.clients:
            client.close()
        for request in list(self.core.open_requests):
            self.core.client_disconnected(request.id)
        self.downstream.close()
        await run_loop_turns()
        for client in self.clients:
            if isinstance(client, asyncio.StreamWriter):
                client.transport.abort()  # it may still have bytes to write
        await asyncio.sleep(0)

    def fail(self, request_id: str) -> None:
        """Fail a request, as its final response."""
        self.core._fail_overdue(request_id)

    def take_responder(self, request_id: str) -> Responder:
        """Return the responder of a request; the test makes the final response with it."""
        return self.core.open_requests.take_unanswered(request_id).responder

    @property
    def request_count(self) -> int:
        return self.counters["requests"]

    async def stream_client(self, *parts: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client that uses asyncio streams, and write `parts` immediately."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(parts)
        self.clients.append(writer)  # a garbage-collected writer closes its connection
        return reader, writer

    async def socket_client(self, *parts: bytes) -> socket.socket:
        """Connect a client that uses a blocking socket, wait until it is accepted, and send `parts`."""
        client = socket.create_connection(("127.0.0.1", self.port))
        client.settimeout(10)
        self.clients.append(client)
        await until(lambda: self.counters["connections_accepted"] == len(self.clients))
        client.sendall(b"".join(parts))
        return client


async def run_loop_turns(count: int = 20) -> None:
    """Run some iterations of the event loop."""
    for _ in range(count):
        await asyncio.sleep(0)
        await asyncio.sleep(0.0005)
