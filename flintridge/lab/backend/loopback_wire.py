"""A connection between the lab and a real node, with the modelled links put between protocol and socket.

The lab's protocol sees a transport that behaves as a socket at the far end of the links would: what it
writes gets to the real socket after the link's delay, in the link's pieces and in order; what the node sent
is handed up after the way back. While a link is silent, all on it is lost and nothing is said; once it is up
again, a connection that lost something is reset as soon as either side sends.
"""

import asyncio
import contextlib
import errno
import math
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from flintridge.lab.fabric import Link, RunClock

WINDOW = 256 * 1024  # bytes on the way in one direction; beyond it a sender waits, as for a TCP window
PIECE_GAP_MS = 0.1  # between the pieces of one write, so that the node has a chance to read them one by one
HIGH_WATER = 64 * 1024  # bytes, as in asyncio
LINGER_NONE = struct.pack("ii", 1, 0)  # closing sends a RST

# What goes through a channel
MADE, DATA, EOF, LOST, CLOSE, ABORT = range(6)
Item = tuple[float, int, Any, float]  # due (day ms), kind, bytes or error, when it was sent (day ms)


class Host(Protocol):
    """What a wire needs of the fabric that it is part of."""

    loop: asyncio.AbstractEventLoop
    clock: RunClock

    def note_late(self, ms: float) -> None: ...

    def forget(self, wire: "Wire") -> None: ...


class Channel:
    """One direction: items come out in order, each when due. One timer, as equal timers have no order."""

    __slots__ = ("_host", "_queue", "_take", "_timer", "held", "last")

    def __init__(self, host: Host, take: Callable[[int, Any, float], None]) -> None:
        self._host = host
        self._take = take
        self._queue: deque[Item] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.last = -math.inf  # when the latest item is due (day ms)
        self.held = False

    def put(self, kind: int, what: Any, due: float, sent: float) -> None:
        """`due` is put off to the one before it where that is later."""
        self.last = due = max(due, self.last)
        self._queue.append((due, kind, what, sent))
        if self._timer is None and not self.held:
            self._timer = self._host.clock.call_at(due, self._fire)

    def busy(self) -> bool:
        return bool(self._queue)

    def overdue(self) -> bool:
        """Whether something has arrived that is held back."""
        return bool(self._queue) and self._queue[0][0] <= self._host.clock.now()

    def hold(self) -> None:
        self.held = True
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def release(self) -> None:
        self.held = False
        if self._timer is None and self._queue:
            self._timer = self._host.clock.call_at(self._queue[0][0], self._fire)

    def clear(self) -> None:
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        host, queue = self._host, self._queue
        now = host.clock.now()
        if queue:
            host.note_late(now - queue[0][0])
        # The timer stands until the end: what is put meanwhile must not start a second one.
        try:
            while queue and not self.held and queue[0][0] <= now + 1e-3:
                _, kind, what, sent = queue.popleft()
                self._take(kind, what, sent)
        finally:
            self._timer = None
            if queue and not self.held:
                self._timer = host.clock.call_at(queue[0][0], self._fire)


class Wire(asyncio.Transport, asyncio.Protocol):
    """One connection: to the lab's protocol its transport, to the real socket its protocol.

    Beyond asyncio's interface: `reset()`. `ready` is done once the protocol's `connection_made` was called.
    """

    def __init__(
        self,
        host: Host,
        factory: Callable[[], asyncio.Protocol],
        out: Link,
        back: Link,
        accepted: bool,
    ) -> None:
        """`out` leads to the node and `back` from it; `accepted`: the node opened the connection."""
        super().__init__()
        self._host = host
        self._factory = factory
        self.out, self.back = out, back
        self._accepted = accepted
        self.ready: asyncio.Future[None] = host.loop.create_future()
        self.sent = 0.0  # day ms, of what is being received
        self.client_of = ""  # the node that a client reached by it
        self._real: asyncio.Transport | None = None
        self._real_gone = False
        self._protocol: Any = None
        self._going_out = Channel(host, self._arrive_at_node)
        self._coming_in = Channel(host, self._arrive_at_lab)
        self._not_before = -math.inf  # day ms: the node has the handshake behind it, by the links
        self._out_size = self._in_size = 0  # bytes on the way
        self._lossy = False  # bytes were lost: it can never be whole again
        self._closing = self._eof = False
        self._over = False  # the protocol knows that it ended, or will never know that it began
        self._paused = self._full = self._write_paused = self._real_paused = False
        self._high, self._low = HIGH_WATER, HIGH_WATER // 4

    # The real socket's protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._real = transport
        transport.set_write_buffer_limits(self._high, self._low)
        if self._over:  # the fabric was closed meanwhile
            self._reset_real()
            return
        now = self._host.clock.now()
        there = now + self.back.delay(now, 0)
        if self._accepted:
            # The kernel took no time over the handshake; what the node sends waits for the one of the model.
            self._not_before = there + self.out.delay(there, 0)
        if self._passes(self.back) and self._passes(self.out):
            self._coming_in.put(MADE, None, there, now)

    def data_received(self, data: bytes) -> None:
        if not self._passes(self.back):
            return
        now = self._host.clock.now()
        begin = max(now, self._not_before)
        self._in_size += len(data)
        at, gap = 0, 0.0
        for size in self.back.cuts(len(data)):
            due = begin + self.back.delay(begin, size)
            self._coming_in.put(DATA, data[at : at + size], max(due, self._coming_in.last + gap), now)
            at, gap = at + size, PIECE_GAP_MS
        if self._in_size > WINDOW and not self._full and self._real is not None:
            self._full = True
            self._real.pause_reading()

    def eof_received(self) -> bool:
        if self._never_heard():  # both sides are done, once what is on its way out has left
            return self._going_out.busy()
        if self._passes(self.back):
            now = self._host.clock.now()
            self._coming_in.put(EOF, None, max(now, self._not_before) + self.back.delay(now, 0), now)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self._real_gone = True
        if self._never_heard():
            self._finish()
        elif self._passes(self.back):
            now = self._host.clock.now()
            self._coming_in.put(LOST, exc or _reset(), now + self.back.delay(now, 0), now)

    def pause_writing(self) -> None:
        self._real_paused = True
        self._check_writing()

    def resume_writing(self) -> None:
        self._real_paused = False
        self._check_writing()

    def _never_heard(self) -> bool:
        """Whether the lab's side is over, or will never be: its beginning was lost on a silent link."""
        return self._over or (self._protocol is None and self._lossy)

    # What arrives over the links

    def _passes(self, link: Link) -> bool:
        """Whether the link lets something pass now; what it does not makes the connection unsound."""
        state = link.state
        if state == "up":
            return True
        if state == "reset":
            # From the loop: the caller may be in the middle of a write.
            self._host.loop.call_soon(self.cut)
        else:
            self._lossy = True
        return False

    def _arrive_at_lab(self, kind: int, what: Any, sent: float) -> None:
        if kind == DATA:
            self._in_size -= len(what)
            if self._full and self._in_size <= WINDOW // 2 and self._real is not None:
                self._full = False
                self._real.resume_reading()
        if not self._passes(self.back):
            return
        if self._over or self._closing:
            if self._lossy:  # the node sends to what is gone and could not say so
                self._reset_real()
        elif kind == LOST:
            self._end(what)
        elif self._lossy:
            self._end(_reset())
            self._send_out(ABORT, True)
        else:
            self.sent = sent
            self._hand_up(kind, what)

    def _hand_up(self, kind: int, what: Any) -> None:
        try:
            if kind == DATA:
                self._protocol.data_received(what)
            elif kind == EOF:
                if not self._protocol.eof_received():
                    self.close()
            else:
                self._protocol = self._factory()
                self._protocol.connection_made(self)
                if not self.ready.done():
                    self.ready.set_result(None)
        except Exception as error:  # a mistake in the lab's code ends this connection, as in asyncio
            self._report(error, "a protocol's method failed")
            self._end(error)
            self._send_out(ABORT, True)

    def _arrive_at_node(self, kind: int, what: Any, _sent: float) -> None:
        self._hand_over(kind, what)
        if kind == DATA:
            self._out_size -= len(what)
            self._check_writing()

    def _hand_over(self, kind: int, what: Any) -> None:
        if self._real is None or not self._passes(self.out):
            return
        if self._lossy or self._real_gone:
            self._reset_real()
            if not self._over:
                now = self._host.clock.now()
                self._coming_in.put(LOST, _reset(), now + self.back.delay(now, 0), now)
        elif self._real.is_closing():
            pass  # the socket broke in this turn of the loop, which `connection_lost` is about to tell
        elif kind == DATA:
            self._real.write(what)
        elif kind == EOF:
            self._real.write_eof()
        elif kind == CLOSE:
            self._real.close()
        elif what:
            self._reset_real()
        else:
            self._real.abort()

    def _send_out(self, kind: int, what: Any = None) -> None:
        if self._passes(self.out):
            now = self._host.clock.now()
            self._going_out.put(kind, what, now + self.out.delay(now, 0), now)

    # Ends

    def cut(self) -> None:
        """A link broke the connection: both sides learn of it at once."""
        self._reset_real()
        self._end(_reset())

    def drop(self) -> None:
        """End without a word to the lab's protocol: the run is over, or nobody wants the connection."""
        self._over = self._closing = True
        self._protocol = None
        if not self.ready.done():
            self.ready.set_exception(_reset())
            self.ready.exception()  # perhaps nobody waits for it
        self._going_out.clear()
        self._coming_in.clear()
        self._reset_real()
        if self._real is None or self._real_gone:
            self._host.forget(self)

    def _reset_real(self) -> None:
        if self._real is None or self._real_gone:
            return
        sock = self._real.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the other side may have ended it already
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self._real.abort()

    def _end(self, error: Exception | None) -> None:
        """Tell the protocol, once."""
        if self._over:
            return
        self._over = self._closing = True
        protocol, self._protocol = self._protocol, None
        if not self.ready.done():
            self.ready.set_exception(error or _reset())
            self.ready.exception()  # who accepted it does not wait for it
        if protocol is not None:
            try:
                protocol.connection_lost(error)
            except Exception as mistake:
                self._report(mistake, "protocol.connection_lost() failed")
        if self._real_gone:
            self._finish()

    def _finish(self) -> None:
        self._over = True
        self._coming_in.clear()
        self._going_out.clear()
        self._host.forget(self)

    def _report(self, error: Exception, message: str) -> None:
        self._host.loop.call_exception_handler({"message": message, "exception": error, "transport": self})

    # The lab's transport: writing

    def write(self, data: Any) -> None:
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._eof:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._closing or not self._passes(self.out):
            return
        whole = bytes(data)
        now = self._host.clock.now()
        self._out_size += len(whole)
        at, gap = 0, 0.0
        for size in self.out.cuts(len(whole)):
            due = now + self.out.delay(now, size)
            self._going_out.put(DATA, whole[at : at + size], max(due, self._going_out.last + gap), now)
            at, gap = at + size, PIECE_GAP_MS
        self._check_writing()

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not self._closing and not self._eof:
            self._eof = True
            self._send_out(EOF)

    def get_write_buffer_size(self) -> int:
        """Bytes that are not on their way yet, or that the node's kernel does not take."""
        waiting = 0 if self._real is None else self._real.get_write_buffer_size()
        return max(0, self._out_size - WINDOW) + waiting

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low, self._high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = HIGH_WATER if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self._high, self._low = high, low
        if self._real is not None:
            self._real.set_write_buffer_limits(high, low)
        self._check_writing()

    def _check_writing(self) -> None:
        """Both may hold the sender up: what is beyond the window here, and what the real socket keeps."""
        if self._protocol is None or self._closing:
            return
        beyond = self._out_size - WINDOW
        if not self._write_paused and (beyond > self._high or self._real_paused):
            self._write_paused = True
            self._protocol.pause_writing()
        elif self._write_paused and beyond <= self._low and not self._real_paused:
            self._write_paused = False
            self._protocol.resume_writing()

    # The lab's transport: reading

    def pause_reading(self) -> None:
        if not self._closing and not self._paused:
            self._paused = True
            self._coming_in.hold()

    def resume_reading(self) -> None:
        if not self._closing and self._paused:
            self._paused = False
            self._coming_in.release()

    def is_reading(self) -> bool:
        return not self._closing and not self._paused

    # The lab's transport: its end

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        """End behind what was written; with input unread the node gets a RST, as on Linux."""
        unread = self._paused and self._coming_in.overdue()
        self._leave(*((ABORT, True) if unread else (CLOSE, None)))

    def abort(self) -> None:
        """End now: the node gets an EOF as from asyncio's own transports; see `reset`."""
        self._leave(ABORT, False)

    def reset(self) -> None:
        """End now with a RST, behind what is on its way."""
        self._leave(ABORT, True)

    def _leave(self, kind: int, what: Any) -> None:
        if self._closing:
            return
        self._closing = True
        self._coming_in.release()  # from now on it is let go
        self._send_out(kind, what)
        self._host.loop.call_soon(self._end, None)

    # The rest of asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Also `sent_at`: when what is being received was sent, on the loop's clock (s)."""
        if name == "sent_at":
            return self._host.loop.time() + (self.sent - self._host.clock.now()) / 1000
        return default if self._real is None else self._real.get_extra_info(name, default)


def _reset() -> ConnectionResetError:
    return ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
