"""Listeners: opened alone or shared with another process on the same address, and closed without a loss."""

import asyncio
import contextlib
import os
import socket
import struct
from array import array
from collections.abc import Awaitable, Callable

from flintridge.config.address import Address
from flintridge.runtime.streams import CountingReader

# In one go asyncio accepts as many as it is told to let wait, before any of them can be turned away. Guards
# the spare descriptors against a burst: out of them it accepts nothing for a second, and says so as an error.
ACCEPTS = 4
QUEUED = 512  # what may really wait, in the kernel

# Of Linux, for listeners that share an address (SO_REUSEPORT); the socket module does not name them.
ATTACH_CHOICE, DETACH_CHOICE = 51, 68
RETURN = 0x06  # the classic BPF instruction that returns a constant

Accepted = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ListenError(OSError):
    """A listener that could not be opened; its text is one line for the operator."""


class Listener:
    """An open listener."""

    def __init__(self, server: asyncio.Server, accepted: Accepted) -> None:
        self._server = server
        self._accepted = accepted
        self._attaching: dict[asyncio.Task[None], None] = {}  # the loop itself holds tasks weakly only
        self.port: int = server.sockets[0].getsockname()[1]

    @property
    def open(self) -> bool:
        return self._server.is_serving()

    @property
    def attaching(self) -> bool:
        """Whether connections were accepted that nobody has been told of yet."""
        return bool(self._attaching)

    def step_aside(self, place: int) -> bool:
        """Have the kernel give new connections to the listener that shares the address in `place`, counted
        from 0 in the order in which they began to listen. False where it does not: nothing is changed then.

        Guards the connections that would come between the last accept and the close, which are reset. Where
        there is no listener in that place the kernel deals out as before.
        """
        code = array("Q", struct.pack("=HBBI", RETURN, 0, 0, place))
        program = struct.pack("@HP", len(code), code.buffer_info()[0])
        try:
            for same in self._copies():
                with same:
                    same.setsockopt(socket.SOL_SOCKET, ATTACH_CHOICE, program)
        except OSError:
            return False
        return True

    def _copies(self) -> list[socket.socket]:
        numbers = [listener.fileno() for listener in self._server.sockets]
        return [socket.socket(fileno=os.dup(number)) for number in numbers if number >= 0]

    def close(self) -> None:
        """Accept what waits, then close in the same step.

        Guards the connections that clients have made and the program has not seen: the kernel resets them
        when their listener closes, though another process listens on the same address.
        """
        if self.open:
            copies = self._copies()
            self._server.close()
            for same in copies:
                while (one := _accept(same)) is not None:
                    self._hand_over(one)
                same.close()

    def _hand_over(self, one: socket.socket) -> None:
        """As asyncio's server does it with a connection that it accepted."""
        loop = asyncio.get_running_loop()
        protocol = _protocol(loop, self._accepted)

        async def attach() -> None:
            with contextlib.suppress(OSError):  # it ended meanwhile
                await loop.connect_accepted_socket(lambda: protocol, one)

        task = loop.create_task(attach())
        self._attaching[task] = None
        task.add_done_callback(self._attaching.pop)


def _accept(listener: socket.socket) -> socket.socket | None:
    while True:
        try:
            one, _ = listener.accept()
        except ConnectionAbortedError:
            continue  # it ended while it waited
        except OSError:  # none is left, or no descriptor for it: nothing more can be done for those
            return None
        one.setblocking(False)
        return one


def _protocol(loop: asyncio.AbstractEventLoop, accepted: Accepted) -> asyncio.StreamReaderProtocol:
    """As asyncio.start_server makes it, with a reader of our own."""
    return asyncio.StreamReaderProtocol(CountingReader(loop), accepted, loop=loop)


async def open_listener(accepted: Accepted, address: Address, shared: bool) -> Listener:
    """`shared`: another process of the same user may listen there as well. Raises ListenError."""
    try:
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _protocol(loop, accepted),
            address.host,
            address.port,
            backlog=ACCEPTS,
            reuse_port=shared or None,
        )
    except OSError as error:
        reason = os.strerror(error.errno) if error.errno else str(error)
        raise ListenError(f"{address.host}:{address.port}: {reason}") from error
    for listener in server.sockets:
        if (number := listener.fileno()) >= 0:
            with socket.socket(fileno=os.dup(number)) as same:
                same.listen(QUEUED)
                if shared:
                    # What a process that has left by now chose for the others holds no longer.
                    with contextlib.suppress(OSError):
                        same.setsockopt(socket.SOL_SOCKET, DETACH_CHOICE, 0)
    return Listener(server, accepted)
