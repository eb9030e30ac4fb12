"""asyncio's server interface over listening sockets of the virtual network."""

import asyncio
import sys
from collections.abc import Callable, Iterable
from typing import Any

from flintridge.lab.virtual.addresses import WILDCARD, canonical_ip
from flintridge.lab.virtual.listening_socket import ListeningSocket
from flintridge.lab.virtual.network import Network
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_stand_in import SocketStandIn

WAITS_FOR_CONNECTIONS = sys.version_info >= (3, 12)  # whether asyncio's `wait_closed` waits for them


class VirtualServer(asyncio.AbstractServer):
    """A server with the interface of asyncio.Server.

    Attributes:
        listening_sockets: One listening socket for each address.
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
        """Stand-in objects for the listening sockets; empty once the server is closed."""
        if self._closed:
            return ()
        return tuple(SocketStandIn(listening.requested_address) for listening in self.listening_sockets)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        """Return the loop of the server."""
        return self._loop

    def is_serving(self) -> bool:
        """Whether the server accepts connections."""
        return any(listening.serving for listening in self.listening_sockets)

    async def start_serving(self) -> None:
        """Start to accept connections, unless the server is closed."""
        for listening in self.listening_sockets:
            listening.serving = not self._closed
        await asyncio.sleep(0)

    async def serve_forever(self) -> None:
        """Accept connections until the call is cancelled or the server is closed.

        Raises:
            RuntimeError: If the server is closed, or another call is in progress.
        """
        if self._closed or self._serving_forever is not None:
            raise RuntimeError("server is closed, or serve_forever() is running already")
        await self.start_serving()
        self._serving_forever = self._loop.create_future()
        try:
            await self._serving_forever
        finally:
            self._serving_forever = None
            self.close()

    def close(self) -> None:
        """Stop accepting connections; open connections continue."""
        if self._closed:
            return
        self._closed = True
        for listening in self.listening_sockets:
            listening.release()
        if self._serving_forever is not None and not self._serving_forever.done():
            self._serving_forever.cancel()
        self._wake_waiters()

    def attach(self) -> None:
        """Count a connection that is about to be attached to its protocol."""
        self._open_connections += 1

    def detach(self) -> None:
        """Count off a connection that ended."""
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
        """Wait until the server is closed and its connections have ended.

        On Python 3.11 this returns immediately if the server is closed already, as in asyncio.
        """
        if self._closed and (not self._open_connections or not WAITS_FOR_CONNECTIONS):
            return
        waiter = self._loop.create_future()
        self._close_waiters.append(waiter)
        await waiter


def listen(
    network: Network, names: Iterable[str | None], port: int, factory: Callable[[], Any], backlog: int
) -> VirtualServer:
    """Create a server of the calling process; it does not accept connections yet.

    Args:
        network: The network in which it listens.
        names: The addresses to listen at; None means the wildcard address.
        port: The port; 0 selects the next free one.
        factory: Creates a protocol for each connection.
        backlog: The maximum number of connections to accept in one pass of the loop.

    Raises:
        OSError: If an address is in use (EADDRINUSE).
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
