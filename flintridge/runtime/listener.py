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
from flintridge.runtime.streams import TrackingReader

# In one go asyncio accepts as many as its `backlog` says, before any of them can be rejected. Guards the
# spare descriptors against a burst: out of them it accepts nothing for a second, and logs that as an error.
ACCEPTS_PER_ITERATION = 4
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

    def __init__(self, server: asyncio.Server, on_connection: ConnectionHandler) -> None:
        """`on_connection` is what `server` calls with each connection, too."""
        self._server = server
        self._on_connection = on_connection
        # The event loop holds tasks weakly only.
        self._handover_tasks: dict[asyncio.Task[None], None] = {}
        self.port: int = server.sockets[0].getsockname()[1]

    @property
    def is_open(self) -> bool:
        """Whether it still accepts connections."""
        return self._server.is_serving()

    @property
    def has_handovers(self) -> bool:
        """Whether connections were accepted at the close that `on_connection` was not called with yet."""
        return bool(self._handover_tasks)

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
            for duplicate in _duplicate_sockets(self._server):
                with duplicate:
                    duplicate.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError:
            return False
        return True

    def close(self) -> None:
        """Accept what waits, then close in the same step.

        Guards the connections that clients have made and the program has not seen: the kernel resets them
        when their listener closes, though another process listens on the same address.
        """
        if not self.is_open:
            return
        duplicates = _duplicate_sockets(self._server)
        self._server.close()
        for duplicate in duplicates:
            with duplicate:
                while (connection := _accept(duplicate)) is not None:
                    self._hand_over(connection)

    def _hand_over(self, connection: socket.socket) -> None:
        """Start a connection as asyncio's server does it with one that it accepted."""
        loop = asyncio.get_running_loop()
        protocol = _stream_protocol(loop, self._on_connection)

        async def attach() -> None:
            with contextlib.suppress(OSError):  # it ended meanwhile
                await loop.connect_accepted_socket(lambda: protocol, connection)

        task = loop.create_task(attach())
        self._handover_tasks[task] = None
        task.add_done_callback(self._handover_tasks.pop)


async def open_listener(on_connection: ConnectionHandler, address: Address, shared: bool) -> Listener:
    """Listen on an address.

    Args:
        on_connection: Called with each connection; its reader is a TrackingReader.
        address: Where to listen; port 0: any free one.
        shared: Whether another process of the same user may listen there as well.

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
        )
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise ListenError(f"{address.host}:{address.port}: {reason}") from error
    for duplicate in _duplicate_sockets(server):
        with duplicate:
            _prepare(duplicate, shared)
    return Listener(server, on_connection)


def _duplicate_sockets(server: asyncio.Server) -> list[socket.socket]:
    """A server's listening sockets under descriptors of their own: asyncio's own can't accept."""
    descriptors = [sock.fileno() for sock in server.sockets]
    return [socket.socket(fileno=os.dup(descriptor)) for descriptor in descriptors if descriptor >= 0]


def _prepare(listening: socket.socket, shared: bool) -> None:
    """Set what asyncio does not: the kernel's own backlog, and who gets connections at a shared address."""
    listening.listen(KERNEL_BACKLOG)
    if shared:
        # What a process that has ended by now diverted to others holds no longer.
        with contextlib.suppress(OSError):
            listening.setsockopt(socket.SOL_SOCKET, SO_DETACH_REUSEPORT_BPF, 0)


def _accept(listening: socket.socket) -> socket.socket | None:
    """The next connection that waits; None: there is none, or no descriptor for it."""
    while True:
        try:
            connection, _ = listening.accept()
        except ConnectionAbortedError:
            continue  # it ended while it waited
        except OSError:  # nothing more can be done for those that still wait
            return None
        connection.setblocking(False)
        return connection


def _stream_protocol(
    loop: asyncio.AbstractEventLoop, on_connection: ConnectionHandler
) -> asyncio.StreamReaderProtocol:
    """As asyncio.start_server makes it, with a reader of our own."""
    return asyncio.StreamReaderProtocol(TrackingReader(loop), on_connection, loop=loop)
