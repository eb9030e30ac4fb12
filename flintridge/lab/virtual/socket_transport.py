"""The part of a stream transport that is neither reading nor writing: protocol, errors and closing."""

import asyncio
from collections.abc import Callable
from contextvars import Context
from typing import Any, Protocol

from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_stand_in import SocketStandIn
from flintridge.lab.virtual.system_call_faults import SystemCall
from flintridge.lab.virtual.tcp_socket import TcpSocket


class ConnectionCounter(Protocol):
    """The interface of a server that counts its open connections."""

    def detach(self) -> None:
        """Count off a connection that ended."""


class SocketTransport(asyncio.Transport):
    """The base of stream transports, for what reading and writing have in common.

    In addition to asyncio's interface it has `reset()` and the name "sent_at" in get_extra_info.
    """

    def __init__(
        self,
        loop: VirtualTimeLoop,
        socket: TcpSocket,
        context: Context,
        server: ConnectionCounter | None = None,
    ) -> None:
        """Create a transport without a protocol.

        Args:
            loop: The event loop.
            socket: Its end of the connection.
            context: The context in which the protocol is called.
            server: The server that accepted the connection, if any.
        """
        super().__init__()
        self._loop = loop
        self._socket = socket
        self._process = socket.process
        self._context = context
        self._server = server
        self._protocol: Any = None
        self._buffered = False  # whether the protocol provides the read buffer
        self._sent_at_s = 0.0
        self._closing = False
        # Nonzero once connection_lost is scheduled; counts that call and the writes after it.
        self._calls_since_loss = 0
        # Whether data is passed to the protocol: accepted, not paused, not closing, not at the end.
        self._reading = False

    def __repr__(self) -> str:
        socket = self._socket
        state = "closed" if socket.closed else "closing" if self._closing else "open"
        host = self._process.host.name
        return f"<{type(self).__name__} {state} {host} {socket.local_address} to {socket.peer_address}>"

    # asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol of the transport."""
        self._protocol = protocol
        self._buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the transport."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Support asyncio's names and "sent_at": when (s) the first byte of the last read was sent."""
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
        """Whether the transport is closed or closing, or its process is dead."""
        return self._closing or self._process.dead

    def close(self) -> None:
        """Close after writing the buffered data; if input is unread the peer gets an RST, as on Linux."""
        if self._closing or self._process.dead:
            return
        self._closing = True
        self._reading = False
        if not self._socket.unsent:
            self._calls_since_loss += 1
            self._loop.call_soon(self._connection_lost, None, context=self._context)

    def abort(self) -> None:
        """Close without writing the buffered data. The peer gets an EOF, as from asyncio; see `reset`."""
        self._force_close(None)

    def reset(self) -> None:
        """Close with an RST, as a socket with a linger time of 0 does."""
        self._socket.reset_on_close = True
        self._force_close(None)

    # Errors

    def _call_fails(self, call: SystemCall) -> bool:
        """Whether a system call fails: it is interrupted, or its error breaks the connection."""
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
        """Call a method of the protocol; an exception is reported but does not close the connection."""
        try:
            callback()
        except Exception as error:
            self._report(error, f"protocol.{getattr(callback, '__name__', '')}() failed")

    # Closing

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
