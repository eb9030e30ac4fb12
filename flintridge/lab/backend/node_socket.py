"""The asyncio protocol for the real socket of a connection with a node."""

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

LINGER_ZERO = struct.pack("ii", 1, 0)  # with this option, closing sends an RST


class LabSide(Protocol):
    """The interface of the lab's side of a connection that its socket uses."""

    clock: RunClock
    out: Link
    back: Link
    incoming: Channel
    outgoing: Channel
    send_flow: SendFlow
    ended: bool

    def passes(self, link: Link) -> bool:
        """Whether the link lets a message pass now."""

    def is_done(self) -> bool:
        """Whether the lab's side has ended, or can never start."""

    def finish(self) -> None:
        """Clean up after both sides have ended."""

    def check_writing(self) -> None:
        """Pause or resume writing by the lab's protocol, as the send flow requires."""


class NodeSocket(asyncio.Protocol):
    """The real socket of a connection with a node.

    Attributes:
        transport: asyncio's transport; None before the connection is made.
        lost: Whether the connection has ended.
    """

    def __init__(self, lab: LabSide, accepted: bool) -> None:
        """Create the protocol; asyncio provides the transport later.

        Args:
            lab: The lab's side.
            accepted: Whether the node opened the connection.
        """
        self.transport: asyncio.Transport | None = None
        self.lost = False
        self._lab = lab
        self._accepted = accepted
        self._handshake_done_ms = -math.inf  # when the modelled handshake is complete for the node
        self._window = ReceiveWindow()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection; the lab's protocol is notified after the delay of the return link."""
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
            # The kernel completes the handshake without delay. Data from the node waits for the modelled one.
            self._handshake_done_ms = made_ms + lab.out.delay(made_ms, 0)
        if lab.passes(lab.back) and lab.passes(lab.out):
            lab.incoming.put(Established(), made_ms, now)

    def data_received(self, data: bytes) -> None:
        """Send the data that the node wrote over the return link."""
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
        """Send the end of the node's stream over the return link; the socket stays open for writing."""
        lab = self._lab
        if lab.is_done():  # both sides have ended once the messages to the node are delivered
            return not lab.outgoing.is_empty()
        if lab.passes(lab.back):
            now = lab.clock.now()
            due_ms = max(now, self._handshake_done_ms) + lab.back.delay(now, 0)
            lab.incoming.put(EndOfStream(), due_ms, now)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Send the end of the connection over the return link."""
        lab = self._lab
        self.lost = True
        if lab.is_done():
            lab.finish()
        elif lab.passes(lab.back):
            now = lab.clock.now()
            lab.incoming.put(Lost(exc or connection_reset()), now + lab.back.delay(now, 0), now)

    def pause_writing(self) -> None:
        """Record that the node's kernel accepts no more data."""
        self._lab.send_flow.socket_paused = True
        self._lab.check_writing()

    def resume_writing(self) -> None:
        """Record that the node's kernel accepts data again."""
        self._lab.send_flow.socket_paused = False
        self._lab.check_writing()

    # Used by the lab's side

    def arrived(self, size: int) -> None:
        """Account for data that arrived at the lab, and resume reading if the window has room.

        Args:
            size: The number of bytes that arrived.
        """
        if self._window.remove(size) is FlowChange.RESUME and self.transport is not None:
            self.transport.resume_reading()

    def deliver(self, message: Message) -> None:
        """Apply a message from the lab to the socket.

        Args:
            message: The message, which has passed the link to the node.
        """
        transport = self.transport
        assert transport is not None
        if transport.is_closing():
            return  # the socket failed in this iteration of the loop; `connection_lost` follows
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
        """End the connection immediately, with an RST."""
        if self.transport is None or self.lost:
            return
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the other side may have ended it already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.transport.abort()


def connection_reset() -> ConnectionResetError:
    """Return the error of a connection that its peer reset."""
    return ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
