"""Streams: a connection's end as the kernel has it, and as asyncio's transport over it.

What is modelled is a selector transport over Linux TCP. Of the kernel: a window of bytes that were sent and
that the receiver's protocol has not taken; order in each direction; FIN after all data; RST where data comes
to what is closed. Data that had arrived before an RST can still be read, as on Linux.
"""

import asyncio
import errno
import socket
from collections import deque
from contextvars import Context
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from flintridge.lab.virtual.loop import VirtualLoop
    from flintridge.lab.virtual.net import Call, Host, Link, Network, Process, VirtualServer

MAX_READ = 256 * 1024  # bytes that one turn of reading takes, as in asyncio
FAILED_CALL_S = 20e-6  # that a call takes which fails and is made again: time must not stand still
PIECE_GAP = 1e-6  # s between the pieces of one write, so that each is read on its own

LOOPBACK = "127.0.0.1"


def normal(name: str) -> str:
    """An address as the network knows it."""
    return LOOPBACK if name == "localhost" else name


class SocketStandIn:
    """What code may ask of `transport.get_extra_info("socket")` or of `server.sockets`."""

    family = socket.AF_INET
    proto = 0

    def __init__(self, sockname: Any, peername: Any = None, kind: int = socket.SOCK_STREAM) -> None:
        self._sockname = sockname
        self._peername = peername
        self.type = kind

    def getsockname(self) -> Any:
        return self._sockname

    def getpeername(self) -> Any:
        if self._peername is None:
            raise OSError(errno.ENOTCONN, "Transport endpoint is not connected")
        return self._peername

    def fileno(self) -> int:
        return -1

    def setsockopt(self, *args: Any) -> None:
        """Options change nothing here."""

    def getsockopt(self, *args: Any) -> int:
        return 0


class StreamTransport(asyncio.Transport):
    """One end of a connection. Beyond asyncio's interface: `reset()` and "sent_at" of get_extra_info."""

    __slots__ = (
        "__weakref__",
        "buffer",
        "buffered",
        "closed",
        "closing",
        "connected",
        "context",
        "eof",
        "eof_read",
        "fin_arrived",
        "fin_sent",
        "high",
        "in_flight",
        "inbox",
        "inbox_size",
        "loop",
        "lossy",
        "lost",
        "low",
        "made",
        "network",
        "out_last",
        "out_link",
        "paused",
        "peer",
        "peer_host",
        "peername",
        "process",
        "protocol",
        "read_handle",
        "read_queued",
        "reading",
        "reset_error",
        "resets",
        "sent_at",
        "server",
        "sockname",
        "write_handle",
        "write_paused",
        "write_queued",
    )

    def __init__(
        self,
        loop: "VirtualLoop",
        network: "Network",
        process: "Process",
        context: Context,
        sockname: tuple[str, int],
        peername: tuple[str, int],
    ) -> None:
        self.loop = loop
        self.network = network
        self.process = process
        self.context = context
        self.sockname = sockname
        self.peername = peername
        self.peer: StreamTransport | None = None
        self.peer_host: Host | None = None
        self.server: VirtualServer | None = None  # that accepted it
        self.connected: asyncio.Future[None] | None = None  # on the side that connects
        # The kernel's
        self.out_link: Link | None = None
        self.out_last = 0.0  # s; what is sent arrives no earlier: order is kept
        self.in_flight = 0  # bytes that the kernels hold for the other side's protocol
        self.inbox: deque[tuple[bytes, float]] = deque()  # bytes, and when (s) they were sent
        self.inbox_size = 0
        self.fin_sent = False
        self.fin_arrived = False
        self.reset_error: OSError | None = None  # a RST came
        self.lossy = False  # bytes were lost between the two: it can never be whole again
        self.closed = False  # the socket is
        self.resets = False  # closing it sends a RST
        # The transport's
        self.protocol: Any = None
        self.buffered = False
        self.sent_at = 0.0
        self.made = False
        self.buffer = bytearray()
        self.closing = False
        self.lost = 0  # once connection_lost is under way; counts writes from then on
        self.paused = False
        self.eof = False
        self.eof_read = False
        self.reading = False  # made, and neither paused, closing nor at the end
        self.high = 64 * 1024
        self.low = 16 * 1024
        self.write_paused = False
        self.read_queued = self.write_queued = False
        self.read_handle: Any = None
        self.write_handle: Any = None

    def __repr__(self) -> str:
        state = "closed" if self.closed else "closing" if self.closing else "open"
        return f"<StreamTransport {state} {self.process.host.name} {self.sockname} to {self.peername}>"

    # The kernel: what is sent

    def _launch(self, data: bytes) -> None:
        """Hand bytes to the kernel, which sends them in the pieces that the link has them arrive in."""
        link, peer, loop = self.out_link, self.peer, self.loop
        assert link is not None and peer is not None
        size = len(data)
        self.in_flight += size
        if link.state != "up":
            self._not_sent(link.state)
            return
        pieces = link.cuts(size)
        if len(pieces) > 1:
            self._launch_pieces(data, pieces)
            return
        now = loop._now + loop._ahead
        when = now + link.delay(now * 1000, size) / 1000
        if when < self.out_last:
            when = self.out_last
        self.out_last = when
        loop._kernel_at(when, peer._arrive, data, now)

    def _launch_pieces(self, data: bytes, pieces: list[int]) -> None:
        assert self.out_link is not None and self.peer is not None
        if sum(pieces) != len(data) or min(pieces) <= 0:
            raise RuntimeError(f"a link cut {len(data)} bytes into {pieces}")
        now = self.loop._now + self.loop._ahead
        at = 0
        for size in pieces:
            when = now + self.out_link.delay(now * 1000, size) / 1000
            self.out_last = when = max(when, self.out_last + PIECE_GAP)
            self.loop._kernel_at(when, self.peer._arrive, data[at : at + size], now)
            at += size

    def _signal(self, arrive: Any) -> None:
        """Send what has no bytes: FIN, RST, SYN-ACK. It keeps its place behind the data."""
        link, loop = self.out_link, self.loop
        assert link is not None
        if link.state != "up":
            self._not_sent(link.state)
            return
        now = loop._now + loop._ahead
        self.out_last = when = max(now + link.delay(now * 1000, 0) / 1000, self.out_last)
        loop._kernel_at(when, arrive)

    def _send_fin(self) -> None:
        if not self.fin_sent and self.peer is not None:
            self.fin_sent = True
            self._signal(self.peer._arrive_fin)

    def _send_reset(self) -> None:
        if self.peer is not None and not self.peer.closed:
            self._signal(self.peer._arrive_reset)

    def _not_sent(self, state: str) -> None:
        if state == "reset":
            # From the loop, not from here: the caller is in the middle of a write.
            self.loop._kernel_at(self.loop._now, self._cut_off)
            if self.peer is not None:
                self.loop._kernel_at(self.loop._now, self.peer._cut_off)
        else:
            self._lose()

    def _lose(self) -> None:
        self.lossy = True
        if self.peer is not None:
            self.peer.lossy = True

    def _probe(self) -> None:
        """The kernel tries again to send what it could not: a broken connection shows by it."""
        if self.peer is not None:
            self._signal(self.peer._arrive_probe)

    # The kernel: what arrives

    def _arrives(self) -> bool:
        """Whether the link lets pass what is due at this end."""
        assert self.peer is not None and self.peer.out_link is not None
        state = self.peer.out_link.state
        if state == "up":
            return True
        self.peer._not_sent(state)
        return False

    def _arrive(self, data: bytes, sent: float) -> None:
        assert self.peer is not None and self.peer.out_link is not None
        if self.peer.out_link.state != "up":
            self.peer._not_sent(self.peer.out_link.state)
            return
        if self.closed or self.lossy or self.process.dead:
            self._refuse()
            return
        if self.reset_error is not None:
            return
        self.inbox.append((data, sent))
        self.inbox_size += len(data)
        if self.reading and not self.read_queued:
            self._queue_read()

    def _arrive_fin(self) -> None:
        if not self._arrives() or self.closed or self.process.dead or self.reset_error is not None:
            return
        if self.lossy:
            self._refuse()
            return
        self.fin_arrived = True
        if self.reading and not self.read_queued:
            self._queue_read()

    def _arrive_probe(self) -> None:
        if self._arrives() and (self.closed or self.lossy or self.process.dead):
            self._refuse()

    def _refuse(self) -> None:
        """Answer what comes to an end that is gone, or that lacks what came before."""
        if self.process.dead and self.process.host.silent:
            self._lose()
            return
        self._take_reset()
        self._send_reset()

    def _arrive_reset(self) -> None:
        if self._arrives():
            self._take_reset()

    def _cut_off(self) -> None:
        """The link broke the connection; a side to which it is silent does not learn of it."""
        peer = self.peer
        if peer is None or peer.out_link is None or peer.out_link.state != "silent":
            self._take_reset()

    def _take_reset(self) -> None:
        if self.closed or self.process.dead or self.reset_error is not None:
            return
        if self.connected is not None and not self.made:
            self._connect_failed(ConnectionResetError(errno.ECONNRESET, self._connect_text()))
        if self.fin_arrived:
            self.reset_error = BrokenPipeError(errno.EPIPE, "Broken pipe")
        else:
            self.reset_error = ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if self.reading and not self.read_queued:
            self._queue_read()
        if self.buffer:
            self._queue_write()

    # The kernel: connecting and closing

    def _connect_text(self) -> str:
        return f"Connect call failed {self.peername}"

    def _connect_failed(self, error: OSError) -> None:
        if self.connected is not None and not self.connected.done() and not self.process.dead:
            self.connected.set_exception(error)

    def _arrive_refusal(self) -> None:
        if self.out_link is not None and self.peer_host is not None:
            back = self.network.link(self.peer_host.name, self.process.host.name)
            if back.state != "up":
                return
        self._connect_failed(ConnectionRefusedError(errno.ECONNREFUSED, self._connect_text()))

    def _arrive_syn_ack(self) -> None:
        if not self._arrives():
            return
        if self.closed or self.process.dead:
            if not self.process.host.silent:
                self._send_reset()
        elif self.connected is not None and not self.connected.done():
            self.connected.set_result(None)

    def _give_up(self) -> None:
        """The code that connected wants it no more."""
        if self.closed or self.process.dead:
            return
        self.closing = True
        connected = self.connected
        failed = connected is None or not connected.done() or connected.cancelled()
        if not failed and connected is not None and connected.exception() is None:
            self._close_socket()
            return
        self.closed = True
        self.process.endpoints.pop(self, None)

    def _drop(self) -> None:
        """Nobody took what the kernel had accepted."""
        self.resets = self.closing = True
        self._close_socket()

    def _close_socket(self) -> None:
        if self.closed or self.process.dead:
            return
        self.closed = True
        self.process.endpoints.pop(self, None)
        unread = self.inbox_size > 0
        self.inbox.clear()
        if self.reset_error is None:
            if unread or self.resets:
                self._send_reset()
            else:
                self._send_fin()

    def _process_died(self, silent: bool) -> None:
        self.inbox.clear()
        self.buffer.clear()
        if not silent:
            self.closed = True
            if self.reset_error is None:
                self._send_reset()

    # The kernel: the window

    def _taken(self, size: int) -> None:
        """The other side's protocol took bytes."""
        if not self.buffer:
            self.in_flight -= size  # told at once: it matters only to a sender that waits
            return
        peer, loop = self.peer, self.loop
        assert peer is not None and peer.out_link is not None
        link = peer.out_link
        if link.state != "up":
            peer._not_sent(link.state)
            return
        loop._kernel_at(loop._now + link.delay(loop._now * 1000, 0) / 1000, self._window_opens, size)

    def _window_opens(self, size: int) -> None:
        if self._arrives() and not self.closed and not self.process.dead:
            self.in_flight -= size
            if self.buffer:
                self._queue_write()

    # The transport: reading

    def _attach(self, protocol: Any) -> None:
        self.set_protocol(protocol)
        try:
            protocol.connection_made(self)
        finally:
            self.made = True
            self._read_on()

    def _read_on(self) -> None:
        self.reading = self.made and not (self.paused or self.closing or self.eof_read)
        if self.reading and not self.read_queued and (self.inbox or self.fin_arrived or self.reset_error):
            self._queue_read()

    def _queue_read(self) -> None:
        self.read_queued = True
        if self.read_handle is None:
            self.read_handle = self.loop.call_soon(self._read_ready, context=self.context)
        else:
            self.loop._ready.append(self.read_handle)  # the same each time: there is one at most

    def _read_ready(self) -> None:
        self.read_queued = False
        if not self.reading:
            return
        if self.inbox:
            if not self._fails("read"):
                self._deliver()
            elif not self.lost:  # interrupted
                self._later("read")
                return
        elif self.fin_arrived:
            self.eof_read = True
            self.reading = False
            try:
                keep = self.protocol.eof_received()
            except Exception as error:
                self._fatal(error, "Fatal error: protocol.eof_received() call failed.")
                return
            if not keep:
                self.close()
            return
        elif self.reset_error is not None:
            self._fatal(self.reset_error, "Fatal read error on socket transport")
            return
        self._read_on()

    def _deliver(self) -> None:
        inbox = self.inbox
        limit, system = MAX_READ, self.process.host.system
        try:
            if self.buffered:
                place = memoryview(self.protocol.get_buffer(-1))
                limit = len(place)
                if not limit:
                    raise RuntimeError("get_buffer() returned an empty buffer")
            if system is not None:
                limit = system.short(min(limit, self.inbox_size))
            data, self.sent_at = inbox.popleft()
            if len(data) > limit:
                inbox.appendleft((data[limit:], self.sent_at))
                data = data[:limit]
            elif inbox:
                parts, size = [data], len(data)
                while inbox and size + len(inbox[0][0]) <= limit:
                    parts.append(inbox.popleft()[0])
                    size += len(parts[-1])
                data = b"".join(parts)
            size = len(data)
            self.inbox_size -= size
            assert self.peer is not None
            self.peer._taken(size)
            if self.buffered:
                place[:size] = data
                self.protocol.buffer_updated(size)
            else:
                self.protocol.data_received(data)
        except Exception as error:
            self._fatal(error, "Fatal error: protocol.data_received() call failed.")

    def pause_reading(self) -> None:
        if not self.closing and not self.paused:
            self.paused = True
            self.reading = False

    def resume_reading(self) -> None:
        if not self.closing and self.paused:
            self.paused = False
            self._read_on()

    def is_reading(self) -> bool:
        return not self.closing and not self.paused

    # The transport: writing

    def write(self, data: Any) -> None:
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self.eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.process.dead:
            return
        if self.lost:
            self.lost += 1
            return
        if not self.buffer:
            if self.reset_error is not None:
                self._fatal(self.reset_error, "Fatal write error on socket transport")
                return
            room = self.network.window - self.in_flight
            if self.process.host.system is not None:
                room = self._room(min(room, len(data)))
                if self.lost:
                    return
            if room > 0:
                if not isinstance(data, bytes):
                    data = bytes(data)
                if len(data) <= room:
                    self._launch(data)
                    return
                self._launch(data[:room])
                data = memoryview(data)[room:]
        self.buffer += data
        self._pause_writing()

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def _queue_write(self) -> None:
        if self.write_queued:
            return
        self.write_queued = True
        if self.write_handle is None:
            self.write_handle = self.loop.call_soon(self._write_ready, context=self.context)
        else:
            self.loop._ready.append(self.write_handle)

    def _write_ready(self) -> None:
        self.write_queued = False
        if self.lost or not self.buffer:
            return
        if self.reset_error is not None:
            self._fatal(self.reset_error, "Fatal write error on socket transport")
            return
        room = self.network.window - self.in_flight
        if self.process.host.system is not None:
            room = self._room(min(room, len(self.buffer)))
        if room <= 0 or self.lost:
            return
        data = bytes(self.buffer[:room])
        del self.buffer[:room]
        self._launch(data)
        if self.write_paused and len(self.buffer) <= self.low:
            self.write_paused = False
            self._tell(self.protocol.resume_writing)  # may write more
        if not self.buffer:
            if self.closing:
                self._connection_lost(None)
            elif self.eof:
                self._send_fin()

    # What the operating system does wrong

    def _fails(self, call: "Call") -> bool:
        """Whether a call is to fail: it was interrupted, or the connection is broken by it."""
        system = self.process.host.system
        error = None if system is None else system.error(call, self.connected is not None)
        if error is not None and not isinstance(error, InterruptedError):
            self._fatal(error, f"Fatal {call} error on socket transport")
        return error is not None

    def _room(self, room: int) -> int:
        """What one write takes of so much; the rest is written a little later."""
        system = self.process.host.system
        assert system is not None
        if room <= 0:
            return room
        self.loop.hold_up(system.stall_s())
        taken = 0 if self._fails("write") else system.short(room)
        if taken < room and not self.lost:
            self._later("write")
        return taken

    def _later(self, call: "Call") -> None:
        """Try again once a failed call's time has passed."""
        if call == "read":
            self.read_queued = True
            self.loop.call_later(FAILED_CALL_S, self._read_ready, context=self.context)
        elif not self.write_queued:
            self.write_queued = True
            self.loop.call_later(FAILED_CALL_S, self._write_ready, context=self.context)

    def _pause_writing(self) -> None:
        if len(self.buffer) > self.high and not self.write_paused:
            self.write_paused = True
            self._tell(self.protocol.pause_writing)

    def _tell(self, call: Any) -> None:
        try:
            call()
        except Exception as error:
            self._report(error, f"protocol.{call.__name__}() failed")

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = 64 * 1024 if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self.high, self.low = high, low
        if self.protocol is not None:
            self._pause_writing()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if self.closing or self.eof:
            return
        self.eof = True
        if not self.buffer and not self.process.dead and self.reset_error is None:
            self._send_fin()

    # The transport: its end

    def is_closing(self) -> bool:
        return self.closing or self.process.dead

    def close(self) -> None:
        """Write what is left, then end; with input unread the other side gets a RST, as on Linux."""
        if self.closing or self.process.dead:
            return
        self.closing = True
        self.reading = False
        if not self.buffer:
            self.lost += 1
            self.loop.call_soon(self._connection_lost, None, context=self.context)

    def abort(self) -> None:
        """End without writing what is left. The other side gets an EOF, as from asyncio; see `reset`."""
        self._force_close(None)

    def reset(self) -> None:
        """End with a RST, as a socket with a linger time of 0 does."""
        self.resets = True
        self._force_close(None)

    def _fatal(self, error: BaseException, message: str) -> None:
        if not isinstance(error, OSError):
            self._report(error, message)
        self._force_close(error)

    def _report(self, error: BaseException, message: str) -> None:
        self.loop.call_exception_handler(
            {"message": message, "exception": error, "transport": self, "protocol": self.protocol}
        )

    def _force_close(self, error: BaseException | None) -> None:
        if self.lost or self.process.dead:
            return
        self.buffer.clear()
        self.closing = True
        self.reading = False
        self.lost += 1
        self.loop.call_soon(self._connection_lost, error, context=self.context)

    def _connection_lost(self, error: BaseException | None) -> None:
        self.lost += 1
        try:
            if self.protocol is not None:
                self.protocol.connection_lost(error)
        finally:
            self._close_socket()
            self.protocol = None
            server, self.server = self.server, None
            if server is not None and self.made:
                server.detach()

    # The rest of asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        self.buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self.protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Also "sent_at": the loop's time (s) at which the first of the bytes received last was sent."""
        if name == "sent_at":
            return self.sent_at
        if name == "peername":
            return self.peername
        if name == "sockname":
            return self.sockname
        if name == "socket":
            return SocketStandIn(self.sockname, self.peername)
        return default
