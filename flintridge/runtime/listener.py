"""Listening sockets, which can share an address with another process and close without losing connections."""

import asyncio
import contextlib
import os
import socket
import struct
from array import array
from collections.abc import Awaitable, Callable

from flintridge.config.address import Address
from flintridge.errors import FlintridgeError
from flintridge.runtime.acceptor import ACCEPTS_PER_ITERATION, Acceptor
from flintridge.runtime.clock import Clock
from flintridge.runtime.streams import TrackingProtocol, TrackingReader
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

# Connections that the kernel may queue for accept(); replaces the `backlog` that create_server is given.
KERNEL_BACKLOG = 512

# Linux socket options of listeners that share an address (SO_REUSEPORT); Python's socket module lacks them.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K of classic BPF

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ListenError(FlintridgeError, OSError):
    """A listener could not be opened; the message is one line for the operator."""


class Listener:
    """An open listener.

    Attributes:
        port: The port that it listens on.
    """

    def __init__(self, port: int, on_connection: ConnectionHandler) -> None:
        """Create a listener that accepts nothing until `accept_from` or `accept_by` is called."""
        self.port = port
        self._on_connection = on_connection
        self._acceptors: list[Acceptor] = []
        self._server: asyncio.Server | None = None
        self._closing = False
        # Strong references: the event loop keeps only weak ones to its tasks.
        self._handover_tasks: dict[asyncio.Task[None], None] = {}

    @property
    def is_open(self) -> bool:
        """Whether it accepts connections; False once `close` was called."""
        return not self._closing

    @property
    def has_handovers(self) -> bool:
        """Whether `on_connection` is still to be called with further connections.

        They have been accepted, or they wait at a closing listener that still retries accept().
        """
        return bool(self._handover_tasks) or (
            self._closing and not all(acceptor.closed for acceptor in self._acceptors)
        )

    def accept_from(self, listening: socket.socket, clock: Clock, log: EventLog, counters: Counters) -> None:
        """Accept from a listening socket, which this listener owns and closes."""
        self._acceptors.append(Acceptor(listening, self._hand_over, clock, log, counters))

    async def accept_by(self, server: asyncio.Server) -> None:
        """Accept with the loop's own server, for loops without descriptors such as the lab's virtual one."""
        self._server = server
        await server.start_serving()

    def divert_to(self, index: int) -> bool:
        """Have the kernel assign new connections to another listener that shares the address.

        A connection that arrives between the last accept() and the close would be reset.

        Args:
            index: The index of that listener, from 0, in the order in which the listeners were opened. If
                there is none, the kernel distributes connections as before.

        Returns:
            Whether the kernel supports this; if not, nothing changes.
        """
        code = array("Q", struct.pack("=HBBI", BPF_RETURN_CONSTANT, 0, 0, index))
        program = struct.pack("@HP", len(code), code.buffer_info()[0])
        try:
            for acceptor in self._acceptors:
                acceptor.listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError:
            return False
        return True

    def close(self, timeout_ms: float = 0.0) -> None:
        """Accept the connections that wait, then close without returning to the event loop in between.

        Args:
            timeout_ms: How long accept() is retried if connections wait but can't be accepted. Until then,
                `has_handovers` is true. A second call may shorten this.
        """
        self._closing = True
        if self._server is not None:
            self._server.close()
        for acceptor in self._acceptors:
            acceptor.close(timeout_ms)

    def _hand_over(self, connection: socket.socket, queued_since: float | None) -> None:
        """Attach the stream protocol to an accepted connection, as asyncio's own server does."""
        loop = asyncio.get_running_loop()
        protocol = _stream_protocol(loop, self._on_connection, queued_since)

        async def attach() -> None:
            try:
                await loop.connect_accepted_socket(lambda: protocol, connection)
            except OSError:  # the connection has ended meanwhile
                connection.close()

        task = loop.create_task(attach())
        self._handover_tasks[task] = None
        task.add_done_callback(self._handover_tasks.pop)


async def open_listener(
    on_connection: ConnectionHandler,
    address: Address,
    shared: bool,
    clock: Clock,
    log: EventLog,
    counters: Counters,
) -> Listener:
    """Listen on an address.

    Args:
        on_connection: Called with each connection; its reader is a TrackingReader.
        address: The address to listen on; port 0 selects any free port.
        shared: Whether another process of the same user may listen on the same address.
        clock: Times the pauses after a failed accept().
        log: Receives the events of the acceptors.
        counters: Receives the counts of the acceptors.

    Returns:
        The open listener.

    Raises:
        ListenError: The address can't be listened on.
    """
    loop = asyncio.get_running_loop()
    try:
        server = await loop.create_server(
            lambda: _stream_protocol(loop, on_connection),
            address.host,
            address.port,
            backlog=ACCEPTS_PER_ITERATION,
            reuse_port=shared or None,
            start_serving=False,
        )
        listener = Listener(server.sockets[0].getsockname()[1], on_connection)
        listening_sockets = _take_sockets(server, shared)
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise ListenError(f"{address.host}:{address.port}: {reason}") from error
    for listening in listening_sockets:
        listener.accept_from(listening, clock, log, counters)
    if not listening_sockets:
        await listener.accept_by(server)
    return listener


def _take_sockets(server: asyncio.Server, shared: bool) -> list[socket.socket]:
    """Duplicate a server's bound sockets and start listening on them; the server itself is closed.

    Returns:
        The listening sockets. If the event loop has no descriptors, the list is empty and the server stays
        open.

    Raises:
        OSError: A socket can't be duplicated or can't listen.
    """
    descriptors = [sock.fileno() for sock in server.sockets if sock.fileno() >= 0]
    taken: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            taken.append(socket.socket(fileno=os.dup(descriptor)))
            _prepare(taken[-1], shared)
    except OSError:
        for listening in taken:
            listening.close()
        raise
    finally:
        if descriptors:
            server.close()
    return taken


def _prepare(listening: socket.socket, shared: bool) -> None:
    """Start listening; at a shared address, reset which listener gets new connections."""
    listening.listen(KERNEL_BACKLOG)
    if shared:
        # Removes a diversion that a process which has since ended left behind.
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)


def _stream_protocol(
    loop: asyncio.AbstractEventLoop, on_connection: ConnectionHandler, queued_since: float | None = None
) -> asyncio.StreamReaderProtocol:
    """Create a protocol as asyncio.start_server does, but with a TrackingReader."""
    reader = TrackingReader(loop)
    reader.queued_since = queued_since
    return TrackingProtocol(reader, on_connection)
