"""The real socket of a connection with a node, as the protocol that asyncio drives."""

import asyncio
import contextlib
import errno
import math
import socket
import struct
from typing import Protocol

from flintridge.lab.backend.flow_control import FlowChange, ReceiveWindow, SendFlow
from flintridge.lab.backend.loopback_channel import (
    Abort,
    Channel,
    Close,
    Data,
    EndOfStream,
    Established,
    Lost,
    Message,
)
from flintridge.lab.fabric import Link, RunClock

LINGER_ZERO = struct.pack("ii", 1, 0)  # closing sends a RST


class LabSide(Protocol):
    """The lab's side of a connection, as its socket knows it."""

    clock: RunClock
    out: Link
    back: Link
    incoming: Channel
    outgoing: Channel
    send_flow: SendFlow
    ended: bool

    def passes(self, link: Link) -> bool:
        """Whether the link lets something pass now."""

    def is_done(self) -> bool:
        """Whether the lab's side has ended, or will never begin."""

    def finish(self) -> None:
        """Both sides have ended."""

    def check_writing(self) -> None:
        """Pause or resume the lab's protocol by the send flow."""


class NodeSocket(asyncio.Protocol):
    """A node's real socket.

    Attributes:
        transport: Of asyncio; None before the connection is made.
        lost: Whether the connection is gone.
    """

    def __init__(self, lab: LabSide, accepted: bool) -> None:
        """Wait for asyncio's transport.

        Args:
            lab: The lab's side.
            accepted: Whether the node opened the connection.
        """
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self._lab = lab
        self._accepted = accepted
        self._handshake_done_ms = -math.inf  # for the node, by the links
        self._window = ReceiveWindow()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin: the lab's protocol learns of it after the way back."""
        assert isinstance(transport, asyncio.Transport)
        lab = self._lab
        self.transport = transport
        transport.set_write_buffer_limits(lab.send_flow.high_bytes, lab.send_flow.low_bytes)
        if lab.ended:  # the fabric was closed meanwhile
            self.reset()
            return
        now = lab.clock.now()
        made_ms = now + lab.back.delay(now, 0)
        if self._accepted:
            # The kernel took no time over the handshake; what the node sends waits for the one of the model.
            self._handshake_done_ms = made_ms + lab.out.delay(made_ms, 0)
        if lab.passes(lab.back) and lab.passes(lab.out):
            lab.incoming.put(Established(), made_ms, now)

    def data_received(self, data: bytes) -> None:
        """Send what the node wrote over the way back."""
        lab = self._lab
        if not lab.passes(lab.back):
            return
        now = lab.clock.now()
        change = self._window.add(len(data))
        lab.incoming.put_data(data, lab.back, max(now, self._handshake_done_ms), now)
        if change is FlowChange.PAUSE:
            assert self.transport is not None
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Send the end of the node's stream over the way back; the socket stays open for writing."""
        lab = self._lab
        if lab.is_done():  # both sides are done, once what is on its way out has left
            return not lab.outgoing.is_empty()
        if lab.passes(lab.back):
            now = lab.clock.now()
            due_ms = max(now, self._handshake_done_ms) + lab.back.delay(now, 0)
            lab.incoming.put(EndOfStream(), due_ms, now)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Send the connection's end over the way back."""
        lab = self._lab
        self.lost = True
        if lab.is_done():
            lab.finish()
        elif lab.passes(lab.back):
            now = lab.clock.now()
            lab.incoming.put(Lost(exc or connection_reset()), now + lab.back.delay(now, 0), now)

    def pause_writing(self) -> None:
        """Note that the node's kernel takes no more."""
        self._lab.send_flow.socket_paused = True
        self._lab.check_writing()

    def resume_writing(self) -> None:
        """Note that the node's kernel takes more."""
        self._lab.send_flow.socket_paused = False
        self._lab.check_writing()

    # For the lab's side

    def arrived(self, size: int) -> None:
        """Read on where enough has arrived at the lab.

        Args:
            size: Bytes that arrived.
        """
        if self._window.remove(size) is FlowChange.RESUME and self.transport is not None:
            self.transport.resume_reading()

    def deliver(self, message: Message) -> None:
        """Do what a message from the lab says.

        Args:
            message: It has passed the way out.
        """
        transport = self.transport
        assert transport is not None
        if transport.is_closing():
            return  # the socket broke in this turn of the loop, which `connection_lost` is about to tell
        match message:
            case Data():
                transport.write(message.data)
            case EndOfStream():
                transport.write_eof()
            case Close():
                transport.close()
            case Abort(reset=True):
                self.reset()
            case _:
                transport.abort()

    def reset(self) -> None:
        """End the connection now, with a RST."""
        if self.transport is None or self.lost:
            return
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the other side may have ended it already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()


def connection_reset() -> ConnectionResetError:
    """Return the error of a connection that its peer reset."""
    return ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
