"""Listening sockets on loopback that follow the states of links."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from flintridge.lab.fabric import Link

Address = tuple[str, int]
BACKLOG = 1024  # connections that may wait to be accepted, per listener
ACCEPTS_PER_TURN = 64  # connections accepted per listener in one iteration of the loop
ACCEPT_PAUSE_S = 0.1  # until a listener retries after accept() failed, for example for lack of descriptors

# Constants of Linux that Python does not define.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
BPF_RET = 0x06
# The filter program "return 0", which drops every packet.
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET, 0, 0, 0))


class ListenerOwner(Protocol):
    """The interface of the fabric that listeners use."""

    loop: asyncio.AbstractEventLoop

    def forget_listener(self, listener: "LoopbackListener") -> None:
        """Remove a listener that is closed."""

    def accepted(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol], out: Link, back: Link
    ) -> None:
        """Handle an accepted connection."""

    def report_problem(self, error: Exception, message: str) -> None:
        """Record a problem of the lab itself."""


class LoopbackListener:
    """A listening socket that follows the states of the links.

    `up`: it accepts connections. `silent`: a filter on the socket drops all packets, so that a connect hangs
    and none is refused when the state changes. `reset`: the socket is closed, so that the kernel refuses
    connections; it is opened again afterwards.
    """

    def __init__(
        self,
        owner: ListenerOwner,
        address: Address,
        out: Link,
        back: Link,
        factory: Callable[[], asyncio.Protocol],
    ) -> None:
        """Start to listen, according to the current states of the links.

        Args:
            owner: The fabric.
            address: The address to listen at.
            out: The link to the node.
            back: The link from the node.
            factory: Creates the lab's protocol for each connection.

        Raises:
            OSError: If the address is in use.
        """
        self._owner = owner
        self._address = address
        self._out = out
        self._back = back
        self._factory = factory
        self._socket: socket.socket | None = None
        self._filtered = False
        self._closed = False
        if state_of(out, back) != "reset":
            self._open()
        self.refresh()

    def refresh(self) -> None:
        """Apply the current states of the links."""
        state = state_of(self._out, self._back)
        if self._closed:
            return
        if state == "reset":
            self._close_socket()
            return
        if self._socket is None:
            try:
                self._open()
            except OSError as error:
                self._owner.report_problem(error, f"cannot listen at {self._address} again")
                return
        silent = state == "silent"
        if silent != self._filtered:
            self._filtered = silent
            self._set_filter(silent)

    def close(self) -> None:
        """Refuse new connections from now on; open connections stay."""
        self._closed = True
        self._close_socket()
        self._owner.forget_listener(self)

    def _open(self) -> None:
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.bind(self._address)
            opened.listen(BACKLOG)
            opened.setblocking(False)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        self._filtered = False
        self._owner.loop.add_reader(opened.fileno(), self._accept)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._owner.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _set_filter(self, on: bool) -> None:
        assert self._socket is not None
        if on:
            program = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))
            self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        else:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            if self._socket is None:
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause_accepting(error)
                return
            sock.setblocking(False)
            self._owner.accepted(sock, self._factory, self._out, self._back)

    def _pause_accepting(self, error: OSError) -> None:
        """Stop accepting for a while.

        Without a free descriptor the listener stays readable, and the loop would retry without end.
        """
        assert self._socket is not None
        self._owner.report_problem(error, f"cannot accept at {self._address}")
        self._owner.loop.remove_reader(self._socket.fileno())
        self._owner.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting, self._socket)

    def _resume_accepting(self, sock: socket.socket) -> None:
        if sock is self._socket:
            self._owner.loop.add_reader(sock.fileno(), self._accept)


def state_of(out: Link, back: Link) -> str:
    """Return the combined state of both directions, in the order of precedence silent, reset, up."""
    states = (out.state, back.state)
    if "silent" in states:
        return "silent"
    return "reset" if "reset" in states else "up"
