"""asyncio's server over listening sockets."""

import asyncio
import sys
from collections.abc import Callable, Iterable
from typing import Any

from flintridge.lab.virtual.addresses import WILDCARD, canonical_ip
from flintridge.lab.virtual.listening_socket import ListeningSocket
from flintridge.lab.virtual.network import Network
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_stand_in import SocketStandIn

WAITS_FOR_CONNECTIONS = sys.version_info >= (3, 12)  # `wait_closed` of asyncio


class VirtualServer(asyncio.AbstractServer):
    """As asyncio.Server.

    Attributes:
        listening_sockets: One for each address.
    """

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop
        self.listening_sockets: list[ListeningSocket] = []
        self._open_connections = 0
        self._closed = False
        self._close_waiters: list[asyncio.Future[None]] = []
        self._serving_forever: asyncio.Future[None] | None = None

    @property
    def sockets(self) -> tuple[SocketStandIn, ...]:
        """Stand-ins for the listening sockets; none once it is closed."""
        if self._closed:
            return ()
        return tuple(SocketStandIn(listening.requested_address) for listening in self.listening_sockets)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """The loop it was made on."""
        return self._loop

    def is_serving(self) -> bool:
        """Whether it accepts connections."""
        return any(listening.serving for listening in self.listening_sockets)

    async def start_serving(self) -> None:
        """Accept connections, unless it is closed."""
        for listening in self.listening_sockets:
            listening.serving = not self._closed
        await asyncio.sleep(0)

    async def serve_forever(self) -> None:
        """Accept connections until it is cancelled or closed.

        Raises:
            RuntimeError: If it is closed, or this was called before.
        """
        if self._closed or self._serving_forever is not None:
            raise RuntimeError("server is closed, or served for ever already")
        await self.start_serving()
        self._serving_forever = self._loop.create_future()
        try:
            await self._serving_forever
        finally:
            self._serving_forever = None
            self.close()

    def close(self) -> None:
        """Accept nothing any more; open connections go on."""
        if self._closed:
            return
        self._closed = True
        for listening in self.listening_sockets:
            listening.release()
        if self._serving_forever is not None and not self._serving_forever.done():
            self._serving_forever.cancel()
        self._wake_waiters()

    def attach(self) -> None:
        """A connection is about to be handed to its protocol."""
        self._open_connections += 1

    def detach(self) -> None:
        """A connection ended."""
        self._open_connections -= 1
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        if self._closed and not self._open_connections:
            waiters = self._close_waiters
            self._close_waiters = []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def wait_closed(self) -> None:
        """Until it is closed and its connections ended; on Python 3.11 a closed one is not waited for."""
        if self._closed and (not self._open_connections or not WAITS_FOR_CONNECTIONS):
            return
        waiter = self._loop.create_future()
        self._close_waiters.append(waiter)
        await waiter


def listen(
    network: Network, names: Iterable[str | None], port: int, factory: Callable[[], Any], backlog: int
) -> VirtualServer:
    """A server of the process whose code calls; it does not accept yet.

    Args:
        network: Where it listens.
        names: Addresses; None: any of the host.
        port: 0 for the next free one.
        factory: Makes a protocol for each connection.
        backlog: Connections accepted in one go.

    Raises:
        OSError: If an address is taken (EADDRINUSE).
    """
    process = network.current_process()
    server = VirtualServer(network.loop)
    if process.dead:
        return server
    bindings = network.listening_sockets
    for name in names:
        ip = canonical_ip(name or WILDCARD)
        address = bindings.reserve(ip, port, process.host)
        listening = ListeningSocket(
            network.loop, bindings, server, process, (ip, address[1]), address, factory, backlog
        )
        bindings.bind(address, listening)
        process.listening_sockets[listening] = None
        server.listening_sockets.append(listening)
    return server
