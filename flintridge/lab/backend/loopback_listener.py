"""Listening sockets on loopback that follow the states of links."""

import asyncio
import ctypes
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from flintridge.lab.fabric import Link

Address = tuple[str, int]
BACKLOG = 1024  # connections that wait to be accepted, a listener
ACCEPTS_PER_TURN = 64  # that one turn of the loop takes from a listener
ACCEPT_PAUSE_S = 0.1  # until a listener that got no descriptor tries again

# Of Linux, which Python has no names for
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
BPF_RET = 0x06
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RET, 0, 0, 0))  # "return 0": no byte passes


class ListenerOwner(Protocol):
    """What a listener needs of the fabric that it is part of."""

    loop: asyncio.AbstractEventLoop

    def forget_listener(self, listener: "LoopbackListener") -> None:
        """The listener is closed."""

    def accepted(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol], out: Link, back: Link
    ) -> None:
        """A connection was accepted."""

    def report_problem(self, error: Exception, message: str) -> None:
        """Something went wrong in the lab itself."""


class LoopbackListener:
    """A listening socket that does what the links say.

    `up`: it accepts. `silent`: a filter on the socket drops all that comes, so that a connect hangs, and
    nothing is refused at the change. `reset`: it is closed, so that the kernel refuses, and opened again
    afterwards.
    """

    def __init__(
        self,
        owner: ListenerOwner,
        address: Address,
        out: Link,
        back: Link,
        factory: Callable[[], asyncio.Protocol],
    ) -> None:
        """Listen as the links are now.

        Args:
            owner: The fabric.
            address: Where to listen.
            out: Leads to the node.
            back: Leads from the node.
            factory: Returns the lab's protocol of each connection.

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
        """Follow the links, whose states may have changed."""
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
        """Refuse new connections from now on; those that are open stay."""
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
        """Guards against a busy loop: with no descriptor to be had, the listener stays ready."""
        assert self._socket is not None
        self._owner.report_problem(error, f"cannot accept at {self._address}")
        self._owner.loop.remove_reader(self._socket.fileno())
        self._owner.loop.call_later(ACCEPT_PAUSE_S, self._resume_accepting, self._socket)

    def _resume_accepting(self, sock: socket.socket) -> None:
        if sock is self._socket:
            self._owner.loop.add_reader(sock.fileno(), self._accept)


def state_of(out: Link, back: Link) -> str:
    """Return the state of both directions together: silent beats reset beats up."""
    states = (out.state, back.state)
    if "silent" in states:
        return "silent"
    return "reset" if "reset" in states else "up"
