"""One end of a connection in the kernel, modelled on Linux TCP.

A window limits the bytes that are sent but not yet read by the receiver. Data arrives in order in each
direction, and the FIN after all data. Data that arrives at a closed socket is answered with an RST. Data that
arrived before an RST can still be read.
"""

import errno
from collections.abc import Callable
from typing import Protocol

from flintridge.lab.virtual.addresses import Address
from flintridge.lab.virtual.link import LINK_RESET, LINK_SILENT, LINK_UP
from flintridge.lab.virtual.process import Process
from flintridge.lab.virtual.receive_queue import ReceiveQueue, Segment
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.send_path import SendPath


class SocketUser(Protocol):
    """The interface of the transport that reads and writes a socket."""

    def readable(self) -> None:
        """Handle that a read would return data, the end of the stream or an error."""

    def writable(self) -> None:
        """Handle that a write would accept some of the unsent data, or fail."""


class TcpSocket:
    """One end of a connection; see ClientSocket for the side that connects.

    Attributes:
        opened: Whether its process opened the connection, instead of accepting it.
        process: The process that owns the socket.
        window: The number of bytes that the kernels buffer for one direction.
        local_address: The address of this end.
        peer_address: The address of the other end.
        peer: The socket at the other end, once it exists.
        peer_host: The name of the peer's host; None if no host has the peer address.
        path: The path to the peer; None if no host has the peer address.
        user: The transport, once there is one.
        accepted: Whether a protocol is attached to the connection.
        received: Data that arrived and has not been read.
        unsent: Data that the transport could not write yet.
        in_flight: The number of bytes that were sent and that the peer's protocol has not read.
        fin_arrived: Whether the peer closed its sending half.
        reset_error: The error of all further calls, once an RST arrived.
        lossy: Whether bytes were lost in either direction, so that the connection can never continue.
        closed: Whether the socket is closed.
        reset_on_close: Whether closing the socket sends an RST.
    """

    opened = False

    def __init__(
        self,
        loop: VirtualTimeLoop,
        process: Process,
        window: int,
        local_address: Address,
        peer_address: Address,
    ) -> None:
        self._loop = loop
        self.process = process
        self.window = window
        self.local_address = local_address
        self.peer_address = peer_address
        self.peer: TcpSocket | None = None
        self.peer_host: str | None = None
        self.path: SendPath | None = None
        self.user: SocketUser | None = None
        self.accepted = False
        self.received = ReceiveQueue()
        self.unsent = bytearray()
        self.in_flight = 0
        self.fin_arrived = False
        self._fin_sent = False
        self.reset_error: OSError | None = None
        self.lossy = False
        self.closed = False
        self.reset_on_close = False

    @property
    def has_descriptor(self) -> bool:
        """Whether the socket uses a file descriptor: not while it waits to be accepted."""
        return self.accepted or self.opened

    # Sending

    def send(self, data: bytes) -> None:
        """Send data; the caller checks that the window has room for it."""
        path = self.path
        peer = self.peer
        assert path is not None
        assert peer is not None
        self.in_flight += len(data)
        if path.link.state != LINK_UP:
            self._send_failed(path.link.state)
            return
        path.send_data(data, peer._data_arrived)

    def send_signal(self, arrive: Callable[[], None]) -> None:
        """Call `arrive` at the other end, after the data sent before."""
        path = self.path
        assert path is not None
        if path.link.state != LINK_UP:
            self._send_failed(path.link.state)
            return
        path.send_signal(arrive)

    def send_fin(self) -> None:
        """Send a FIN, unless one was sent before."""
        if not self._fin_sent and self.peer is not None:
            self._fin_sent = True
            self.send_signal(self.peer._fin_arrived)

    def send_reset(self) -> None:
        """Send an RST, unless the peer is closed."""
        if self.peer is not None and not self.peer.closed:
            self.send_signal(self.peer._reset_arrived)

    def probe(self) -> None:
        """Probe the peer, which answers with an RST if it is closed, is dead or has lost bytes."""
        if self.peer is not None:
            self.send_signal(self.peer._probe_arrived)

    def _send_failed(self, state: str) -> None:
        """Handle a send over a link that is not up: reset the connection, or mark it as lossy."""
        if state == LINK_RESET:
            # Deferred to the loop, because the caller is in the middle of a write.
            self._loop.schedule_network_event(self._loop.now_s, self.cut_off)
            if self.peer is not None:
                self._loop.schedule_network_event(self._loop.now_s, self.peer.cut_off)
        else:
            self._set_lossy()

    def _set_lossy(self) -> None:
        self.lossy = True
        if self.peer is not None:
            self.peer.lossy = True

    # Arrivals

    def link_delivers(self) -> bool:
        """Whether the link to this end is up for something that arrives; if not, handle the loss."""
        peer = self.peer
        assert peer is not None
        assert peer.path is not None
        state = peer.path.link.state
        if state == LINK_UP:
            return True
        peer._send_failed(state)
        return False

    def _data_arrived(self, data: bytes, sent_at_s: float) -> None:
        if not self.link_delivers():
            return
        if self.closed or self.lossy or self.process.dead:
            self._reply_with_reset()
            return
        if self.reset_error is not None:
            return
        self.received.append(data, sent_at_s)
        if self.user is not None:
            self.user.readable()

    def _fin_arrived(self) -> None:
        if not self.link_delivers() or self.closed or self.process.dead or self.reset_error is not None:
            return
        if self.lossy:
            self._reply_with_reset()
            return
        self.fin_arrived = True
        if self.user is not None:
            self.user.readable()

    def _probe_arrived(self) -> None:
        if self.link_delivers() and (self.closed or self.lossy or self.process.dead):
            self._reply_with_reset()

    def _reset_arrived(self) -> None:
        if self.link_delivers():
            self._apply_reset()

    def _reply_with_reset(self) -> None:
        """Answer data that arrives at an end that is closed or has lost earlier data."""
        if self.process.dead and self.process.host.vanished:
            self._set_lossy()
            return
        self._apply_reset()
        self.send_reset()

    def cut_off(self) -> None:
        """Reset this end because a link broke, unless the link to this end is silent and delivers nothing."""
        peer = self.peer
        if peer is None or peer.path is None or peer.path.link.state != LINK_SILENT:
            self._apply_reset()

    def _apply_reset(self) -> None:
        if self.closed or self.process.dead or self.reset_error is not None:
            return
        if not self.accepted:
            self._reset_while_connecting()
        if self.fin_arrived:
            self.reset_error = BrokenPipeError(errno.EPIPE, "Broken pipe")
        else:
            self.reset_error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if self.user is not None:
            self.user.readable()
            self.user.writable()

    def _reset_while_connecting(self) -> None:
        """Do nothing: on the accepting side no caller waits for the connection."""

    # Reading

    def receive(self, limit: int) -> Segment:
        """Read up to `limit` bytes; the receive queue must not be empty."""
        segment = self.received.take(limit)
        assert self.peer is not None
        self.peer._read_by_peer(len(segment[0]))
        return segment

    def _read_by_peer(self, size: int) -> None:
        if not self.unsent:
            # Without the delay of a window update, which matters only to a sender that waits for the window.
            self.in_flight -= size
            return
        peer = self.peer
        assert peer is not None
        assert peer.path is not None
        link = peer.path.link
        if link.state != LINK_UP:
            peer._send_failed(link.state)
            return
        peer.path.send_unordered_signal(self._window_update_arrived, size)

    def _window_update_arrived(self, size: int) -> None:
        if self.link_delivers() and not self.closed and not self.process.dead:
            self.in_flight -= size
            if self.user is not None:
                self.user.writable()

    # Closing

    def close(self) -> None:
        """Close the socket with a FIN, or with an RST if input is unread, as on Linux."""
        if self.closed or self.process.dead:
            return
        self.closed = True
        self.process.connections.pop(self, None)
        unread = self.received.size > 0
        self.received.clear()
        if self.reset_error is None:
            if unread or self.reset_on_close:
                self.send_reset()
            else:
                self.send_fin()

    def reset(self) -> None:
        """Close the socket with an RST."""
        self.reset_on_close = True
        self.close()

    def process_died(self, vanished: bool) -> None:
        """Handle the end of its process; if `vanished`, the machine is gone too and does not send an RST."""
        self.received.clear()
        self.unsent.clear()
        if not vanished:
            self.closed = True
            if self.reset_error is None:
                self.send_reset()
