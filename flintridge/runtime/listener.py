"""Listening sockets: alone or shared with another process on an address, closed without a loss."""

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
from flintridge.runtime.streams import TrackingReader
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

KERNEL_BACKLOG = 512  # connections that may really wait to be accepted

# Of Linux, for listeners that share an address (SO_REUSEPORT); the socket module does not name them.
SO_ATTACH_REUSEPORT_CBPF = 51
SO_DETACH_REUSEPORT_BPF = 68
BPF_RETURN_CONSTANT = 0x06  # BPF_RET | BPF_K of classic BPF

ConnectionHandler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ListenError(FlintridgeError, OSError):
    """A listener that could not be opened; its text is one line for the operator."""


class Listener:
    """An open listener.

    Attributes:
        port: On which it listens.
    """

    def __init__(self, port: int, on_connection: ConnectionHandler) -> None:
        """`accept_from` or `accept_by` makes it accept."""
        self.port = port
        self._on_connection = on_connection
        self._acceptors: list[Acceptor] = []
        self._server: asyncio.Server | None = None
        self._closing = False
        # The event loop holds tasks weakly only.
        self._handover_tasks: dict[asyncio.Task[None], None] = {}

    @property
    def is_open(self) -> bool:
        """Whether it accepts connections, and is not about to close."""
        return not self._closing

    @property
    def has_handovers(self) -> bool:
        """Whether connections are to come that `on_connection` was not called with yet.

        They were accepted, or wait at a listener that goes on trying while it closes.
        """
        return bool(self._handover_tasks) or (
            self._closing and not all(acceptor.closed for acceptor in self._acceptors)
        )

    def accept_from(self, listening: socket.socket, clock: Clock, log: EventLog, counters: Counters) -> None:
        """Accept from a listening socket, which is closed with this listener."""
        self._acceptors.append(Acceptor(listening, self._hand_over, clock, log, counters))

    async def accept_by(self, server: asyncio.Server) -> None:
        """Have an event loop without descriptors accept, as the lab's in virtual time."""
        self._server = server
        await server.start_serving()

    def divert_to(self, index: int) -> bool:
        """Have the kernel give new connections to another listener that shares the address.

        Guards the connections that would come between the last accept and the close, which are reset.

        Args:
            index: Which one, counted from 0 in the order in which they began to listen. Where there is none
                the kernel spreads connections as before.

        Returns:
            False where the kernel does not do it: nothing is changed then.
        """
        code = array("Q", struct.pack("=HBBI", BPF_RETURN_CONSTANT, 0, 0, index))
        program = struct.pack("@HP", len(code), code.buffer_info()[0])
        try:
            for acceptor in self._acceptors:
                acceptor.listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError:
            return False
        return True

    def close(self, patience_ms: float = 0.0) -> None:
        """Accept what waits, then close in the same step.

        Args:
            patience_ms: How long it may go on trying where connections wait that can't be accepted just now;
                `has_handovers` until then. A second call may shorten this.
        """
        self._closing = True
        if self._server is not None:
            self._server.close()
        for acceptor in self._acceptors:
            acceptor.close(patience_ms)

    def _hand_over(self, connection: socket.socket, queued_since: float | None) -> None:
        """Start a connection as asyncio's server does it with one that it accepted."""
        loop = asyncio.get_running_loop()
        protocol = _stream_protocol(loop, self._on_connection, queued_since)

        async def attach() -> None:
            try:
                await loop.connect_accepted_socket(lambda: protocol, connection)
            except OSError:  # it ended meanwhile
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
        address: Where to listen; port 0: any free one.
        shared: Whether another process of the same user may listen there as well.
        clock: Times the pauses after accept() failed.
        log: Takes the events of an Acceptor.
        counters: Takes the counts of an Acceptor.

    Returns:
        The open listener.

    Raises:
        ListenError: The address can't be had.
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
    """A server's bound sockets, listening, under descriptors of their own, while the server's are closed.

    Returns:
        Them; none in an event loop that has no descriptors: its server stays as it is.

    Raises:
        OSError: They can't listen.
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
    """Listen, and set who gets connections at a shared address."""
    listening.listen(KERNEL_BACKLOG)
    if shared:
        # What a process that has ended by now diverted to others holds no longer.
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)


def _stream_protocol(
    loop: asyncio.AbstractEventLoop, on_connection: ConnectionHandler, queued_since: float | None = None
) -> asyncio.StreamReaderProtocol:
    """As asyncio.start_server makes it, with a reader of our own."""
    reader = TrackingReader(loop)
    reader.queued_since = queued_since
    return asyncio.StreamReaderProtocol(reader, on_connection, loop=loop)
