"""A connection's end as the kernel has it, modelled on Linux TCP.

There is a window of bytes that were sent and that the receiver has not read; order in each direction; FIN
after all data; RST where data comes to what is closed. Data that arrived before an RST can still be read.
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
    """What reads and writes a socket."""

    def readable(self) -> None:
        """A read would return data, the end or an error."""

    def writable(self) -> None:
        """A write would take some of what is unsent, or fail."""


class TcpSocket:
    """One end of a connection; see ClientSocket for the side that connects.

    Attributes:
        opened: Its process connected, instead of accepting.
        process: Whose it is.
        window: Bytes that one direction holds in the kernels.
        local_address: Its own address.
        peer_address: The address of the other end.
        peer: The other end, once it exists.
        peer_host: The name of its host; None where nobody answers.
        path: To the peer; None where nobody answers.
        user: The transport, once there is one.
        accepted: A protocol took the connection.
        received: What arrived and was not read.
        unsent: What the transport could not write yet.
        in_flight: Bytes that the kernels hold for the peer's protocol.
        fin_arrived: The peer sends no more.
        reset_error: The error of calls from now on: an RST came.
        lossy: Bytes were lost between the two, so the connection can never go on.
        closed: The socket is closed.
        reset_on_close: Closing it sends an RST.
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
        """Whether the process has it: not while it waits to be accepted."""
        return self.accepted or self.opened

    # Sending

    def send(self, data: bytes) -> None:
        """Send bytes, for which the window has room."""
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
        """Have `arrive` called at the other end, behind the data."""
        path = self.path
        assert path is not None
        if path.link.state != LINK_UP:
            self._send_failed(path.link.state)
            return
        path.send_signal(arrive)

    def send_fin(self) -> None:
        """Say once that no more data follows."""
        if not self._fin_sent and self.peer is not None:
            self._fin_sent = True
            self.send_signal(self.peer._fin_arrived)

    def send_reset(self) -> None:
        """Break the connection for a peer that has it still."""
        if self.peer is not None and not self.peer.closed:
            self.send_signal(self.peer._reset_arrived)

    def probe(self) -> None:
        """Send again what could not be sent: it shows whether the connection is broken."""
        if self.peer is not None:
            self.send_signal(self.peer._probe_arrived)

    def _send_failed(self, state: str) -> None:
        """The link is not up."""
        if state == LINK_RESET:
            # From the loop, not from here: the caller is in the middle of a write.
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
        """Whether the link is up for what is due at this end; else the loss is accounted for."""
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
            self._take_reset()

    def _reply_with_reset(self) -> None:
        """To what comes to an end that is gone, or that lacks what came before."""
        if self.process.dead and self.process.host.vanished:
            self._set_lossy()
            return
        self._take_reset()
        self.send_reset()

    def cut_off(self) -> None:
        """The link broke the connection; a side to which it is silent does not learn of it."""
        peer = self.peer
        if peer is None or peer.path is None or peer.path.link.state != LINK_SILENT:
            self._take_reset()

    def _take_reset(self) -> None:
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
        """Nobody waits for the connection on the side that accepts it."""

    # Reading

    def receive(self, limit: int) -> Segment:
        """Read up to `limit` bytes; something arrived."""
        segment = self.received.take(limit)
        assert self.peer is not None
        self.peer._read_by_peer(len(segment[0]))
        return segment

    def _read_by_peer(self, size: int) -> None:
        if not self.unsent:
            self.in_flight -= size  # at once: it matters only to a sender that waits
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
        """Close it: a FIN, or an RST where input is unread, as on Linux."""
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
        """Close it with an RST."""
        self.reset_on_close = True
        self.close()

    def process_died(self, vanished: bool) -> None:
        """Its process is gone; `vanished`: and the machine too, which sends nothing."""
        self.received.clear()
        self.unsent.clear()
        if not vanished:
            self.closed = True
            if self.reset_error is None:
                self.send_reset()
