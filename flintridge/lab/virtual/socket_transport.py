"""The life of a stream transport: protocol, errors, closing."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any, Protocol

from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_stand_in import SocketStandIn
from flintridge.lab.virtual.system_call_faults import SystemCall
from flintridge.lab.virtual.tcp_socket import TcpSocket


class ConnectionCounter(Protocol):
    """What counts the open connections of a server."""

    def detach(self) -> None:
        """One of them ended."""


class SocketTransport(asyncio.Transport):
    """What asyncio's transports over sockets have in common, whether they read or write.

    Beyond asyncio's interface it has `reset()`, and "sent_at" of get_extra_info.
    """

    def __init__(
        self,
        loop: VirtualTimeLoop,
        socket: TcpSocket,
        context: Context,
        server: ConnectionCounter | None = None,
    ) -> None:
        """A transport without a protocol yet.

        Args:
            loop: The loop.
            socket: Its end of the connection.
            context: In which the protocol is called.
            server: That accepted the connection.
        """
        super().__init__()
        self._loop = loop
        self._socket = socket
        self._process = socket.process
        self._context = context
        self._server = server
        self._protocol: Any = None
        self._buffered = False  # the protocol brings its own read buffer
        self._sent_at_s = 0.0
        self._closing = False
        self._calls_since_loss = 0  # connection_lost is under way; counts it, and writes from then on
        self._reading = (
            False  # the protocol is told of data: accepted, not paused, not closing, not at the end
        )

    def __repr__(self) -> str:
        socket = self._socket
        state = "closed" if socket.closed else "closing" if self._closing else "open"
        host = self._process.host.name
        return f"<{type(self).__name__} {state} {host} {socket.local_address} to {socket.peer_address}>"

    # asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Who is called from now on."""
        self._protocol = protocol
        self._buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Who is called."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Also "sent_at": the loop's time (s) at which the first of the bytes received last was sent."""
        if name == "sent_at":
            return self._sent_at_s
        if name == "peername":
            return self._socket.peer_address
        if name == "sockname":
            return self._socket.local_address
        if name == "socket":
            return SocketStandIn(self._socket.local_address, self._socket.peer_address)
        return default

    def is_closing(self) -> bool:
        """Whether it is closed, or will be."""
        return self._closing or self._process.dead

    def close(self) -> None:
        """Write what is left, then end; with input unread the peer gets an RST, as on Linux."""
        if self._closing or self._process.dead:
            return
        self._closing = True
        self._reading = False
        if not self._socket.unsent:
            self._calls_since_loss += 1
            self._loop.call_soon(self._connection_lost, None, context=self._context)

    def abort(self) -> None:
        """End without writing what is left. The peer gets an EOF, as from asyncio; see `reset`."""
        self._force_close(None)

    def reset(self) -> None:
        """End with an RST, as a socket with a linger time of 0 does."""
        self._socket.reset_on_close = True
        self._force_close(None)

    # Errors

    def _call_fails(self, call: SystemCall) -> bool:
        """Whether a call fails: it was interrupted, or the connection is broken by it."""
        faults = self._process.host.system_call_faults
        if faults is None:
            return False
        error = faults.error(call, self._socket.opened)
        if error is not None and not isinstance(error, InterruptedError):
            self._fatal_error(error, f"Fatal {call} error on socket transport")
        return error is not None

    def _fatal_error(self, error: BaseException, message: str) -> None:
        if not isinstance(error, OSError):
            self._report(error, message)
        self._force_close(error)

    def _report(self, error: BaseException, message: str) -> None:
        self._loop.call_exception_handler(
            {"message": message, "exception": error, "transport": self, "protocol": self._protocol}
        )

    def _notify(self, callback: Callable[[], object]) -> None:
        """Call the protocol, whose errors end nothing."""
        try:
            callback()
        except Exception as error:
            self._report(error, f"protocol.{getattr(callback, '__name__', '')}() failed")

    # The end

    def _force_close(self, error: BaseException | None) -> None:
        if self._calls_since_loss or self._process.dead:
            return
        self._socket.unsent.clear()
        self._closing = True
        self._reading = False
        self._calls_since_loss += 1
        self._loop.call_soon(self._connection_lost, error, context=self._context)

    def _connection_lost(self, error: BaseException | None) -> None:
        self._calls_since_loss += 1
        try:
            if self._protocol is not None:
                self._protocol.connection_lost(error)
        finally:
            self._socket.close()
            self._protocol = None
            server = self._server
            self._server = None
            if server is not None and self._socket.accepted:
                server.detach()
