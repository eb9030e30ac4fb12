"""A connection between the lab and a real node, with the modelled links put between protocol and socket.

The lab's protocol sees a transport that behaves as a socket at the far end of the links would: what it
writes gets to the real socket after the link's delay, in the link's pieces and in order; what the node sent
is handed up after the way back. While a link is silent, all on it is lost and nothing is said; once it is up
again, a connection that lost something is reset as soon as either side sends.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from flintridge.lab.backend.flow_control import FlowChange, SendFlow
from flintridge.lab.backend.lateness import TimerLateness
from flintridge.lab.backend.loopback_channel import (
    Abort,
    Channel,
    Close,
    Data,
    EndOfStream,
    Lost,
    Message,
)
from flintridge.lab.backend.node_socket import NodeSocket, connection_reset
from flintridge.lab.fabric import Link, RunClock


class TransportOwner(Protocol):
    """What a connection needs of the fabric that it is part of."""

    loop: asyncio.AbstractEventLoop
    clock: RunClock
    lateness: TimerLateness

    def forget_transport(self, transport: "LinkedTransport") -> None:
        """The connection is wholly over."""


class _LinkedConnection:
    """The state that both sides share, and how messages pass the links."""

    def __init__(
        self,
        owner: TransportOwner,
        factory: Callable[[], asyncio.Protocol],
        out: Link,
        back: Link,
        accepted: bool,
    ) -> None:
        """Prepare a connection; `node_socket` is the protocol of its real socket.

        Args:
            owner: The fabric.
            factory: Returns the lab's protocol.
            out: Leads to the node.
            back: Leads from the node.
            accepted: Whether the node opened the connection.
        """
        super().__init__()
        self.clock = owner.clock
        self.out = out
        self.back = back
        self.ready: asyncio.Future[None] = owner.loop.create_future()
        self.sent_ms = 0.0
        self.client_of = ""
        self.send_flow = SendFlow()
        self.outgoing = Channel(owner.clock, owner.lateness, self._arrive_at_node)
        self.incoming = Channel(owner.clock, owner.lateness, self._arrive_at_lab)
        self.node_socket = NodeSocket(self, accepted)
        self.ended = False
        self._owner = owner
        self._factory = factory
        self._protocol: Any = None
        self._lossy = False  # bytes were lost: it can never be whole again
        self._closing = False
        self._eof_written = False

    # The lab's side, for the node's socket

    def passes(self, link: Link) -> bool:
        """Whether the link lets something pass now; where it does not, the connection loses it."""
        if link.state == "up":
            return True
        if link.state == "reset":
            # From the loop: the caller may be in the middle of a write.
            self._owner.loop.call_soon(self.cut)
        else:
            self._lossy = True
        return False

    def is_done(self) -> bool:
        """Whether the lab's side has ended, or will never begin: its beginning was lost on a silent link."""
        return self.ended or (self._protocol is None and self._lossy)

    def finish(self) -> None:
        """Both sides have ended."""
        self.ended = True
        self.incoming.clear()
        self.outgoing.clear()
        self._forget()

    def check_writing(self) -> None:
        """Pause or resume the lab's protocol by the send flow."""
        if self._protocol is None or self._closing:
            return
        match self.send_flow.next_change():
            case FlowChange.PAUSE:
                self._protocol.pause_writing()
            case FlowChange.RESUME:
                self._protocol.resume_writing()

    # Messages

    def _send(self, message: Message) -> None:
        if self.passes(self.out):
            now = self.clock.now()
            self.outgoing.put(message, now + self.out.delay(now, 0), now)

    def _arrive_at_node(self, message: Message, _sent_ms: float) -> None:
        self._deliver_to_node(message)
        if isinstance(message, Data):
            self.send_flow.in_flight_bytes -= len(message.data)
            self.check_writing()

    def _deliver_to_node(self, message: Message) -> None:
        if self.node_socket.transport is None or not self.passes(self.out):
            return
        if not self._lossy and not self.node_socket.lost:
            self.node_socket.deliver(message)
            return
        self.node_socket.reset()
        if not self.ended:
            now = self.clock.now()
            self.incoming.put(Lost(connection_reset()), now + self.back.delay(now, 0), now)

    def _arrive_at_lab(self, message: Message, sent_ms: float) -> None:
        if isinstance(message, Data):
            self.node_socket.arrived(len(message.data))
        if not self.passes(self.back):
            return
        if self.ended or self._closing:
            if self._lossy:  # the node sends to what is gone and could not say so
                self.node_socket.reset()
        elif isinstance(message, Lost):
            self._end(message.error)
        elif self._lossy:
            self._end(connection_reset())
            self._send(Abort(reset=True))
        else:
            self.sent_ms = sent_ms
            self._hand_up(message)

    def _hand_up(self, message: Message) -> None:
        try:
            match message:
                case Data():
                    self._protocol.data_received(message.data)
                case EndOfStream():
                    if not self._protocol.eof_received():
                        self._close()
                case _:
                    self._protocol = self._factory()
                    self._protocol.connection_made(self)
                    if not self.ready.done():
                        self.ready.set_result(None)
        except Exception as error:  # a mistake in the lab's code ends this connection, as in asyncio
            self._report(error, "a protocol's method failed")
            self._end(error)
            self._send(Abort(reset=True))

    # Ends

    def cut(self) -> None:
        """Reset both sides at once: a link broke the connection."""
        self.node_socket.reset()
        self._end(connection_reset())

    def drop(self) -> None:
        """End without telling the lab's protocol: the run is over, or nobody wants the connection."""
        self.ended = True
        self._closing = True
        self._protocol = None
        self._fail_ready(connection_reset())
        self.outgoing.clear()
        self.incoming.clear()
        self.node_socket.reset()
        if self.node_socket.transport is None or self.node_socket.lost:
            self._forget()

    def _close(self) -> None:
        """End behind what was written; with input unread the node gets a RST, as on Linux."""
        unread = self.incoming.held and self.incoming.has_overdue()
        self._leave(Abort(reset=True) if unread else Close())

    def _leave(self, message: Message) -> None:
        if self._closing:
            return
        self._closing = True
        self.incoming.release()  # from now on what comes is dropped
        self._send(message)
        self._owner.loop.call_soon(self._end, None)

    def _end(self, error: Exception | None) -> None:
        """Tell the protocol, once."""
        if self.ended:
            return
        self.ended = True
        self._closing = True
        protocol = self._protocol
        self._protocol = None
        self._fail_ready(error or connection_reset())
        if protocol is not None:
            try:
                protocol.connection_lost(error)
            except Exception as mistake:
                self._report(mistake, "protocol.connection_lost() failed")
        if self.node_socket.lost:
            self.finish()

    def _fail_ready(self, error: Exception) -> None:
        if not self.ready.done():
            self.ready.set_exception(error)
            self.ready.exception()  # perhaps nobody waits for it

    def _forget(self) -> None:
        raise NotImplementedError

    def _report(self, error: Exception, message: str) -> None:
        context = {"message": message, "exception": error, "transport": self}
        self._owner.loop.call_exception_handler(context)


class LinkedTransport(_LinkedConnection, asyncio.Transport):
    """The lab's transport. Beyond asyncio's interface it has `reset`.

    Attributes:
        node_socket: The protocol of the real socket.
        ready: Done once the protocol's `connection_made` was called.
        sent_ms: When (ms of the run) was sent what is being received.
        client_of: The node that a client reached by it; empty for other connections.
    """

    # Writing

    def write(self, data: Any) -> None:
        """Send bytes to the node."""
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._eof_written:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._closing or not self.passes(self.out):
            return
        copied = bytes(data)
        now = self.clock.now()
        self.send_flow.in_flight_bytes += len(copied)
        self.outgoing.put_data(copied, self.out, now, now)
        self.check_writing()

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Send several buffers as one write."""
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        """Whether the stream can end alone: it can."""
        return True

    def write_eof(self) -> None:
        """End the lab's stream; the node's goes on."""
        if not self._closing and not self._eof_written:
            self._eof_written = True
            self._send(EndOfStream())

    def get_write_buffer_size(self) -> int:
        """Bytes that are not on their way yet, or that the node's kernel does not take."""
        transport = self.node_socket.transport
        in_socket = 0 if transport is None else transport.get_write_buffer_size()
        return max(0, self.send_flow.beyond_window_bytes()) + in_socket

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """The low and the high limit (bytes)."""
        return self.send_flow.low_bytes, self.send_flow.high_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits (bytes) at which the protocol's writing pauses and goes on."""
        self.send_flow.set_limits(high, low)
        transport = self.node_socket.transport
        if transport is not None:
            transport.set_write_buffer_limits(self.send_flow.high_bytes, self.send_flow.low_bytes)
        self.check_writing()

    # Reading

    def pause_reading(self) -> None:
        """Hand nothing up for now."""
        if self.is_reading():
            self.incoming.hold()

    def resume_reading(self) -> None:
        """Hand up what came meanwhile, and go on."""
        if not self._closing and self.incoming.held:
            self.incoming.release()

    def is_reading(self) -> bool:
        """Whether what comes is handed up."""
        return not self._closing and not self.incoming.held

    # Ends

    def is_closing(self) -> bool:
        """Whether the connection ends or has ended."""
        return self._closing

    def close(self) -> None:
        """End behind what was written; with input unread the node gets a RST, as on Linux."""
        self._close()

    def abort(self) -> None:
        """End now: the node gets an EOF as from asyncio's own transports; see `reset`."""
        self._leave(Abort(reset=False))

    def reset(self) -> None:
        """End now with a RST, behind what is on its way."""
        self._leave(Abort(reset=True))

    # The rest of asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Have another protocol from now on."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """The lab's protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Also `sent_at`: when what is being received was sent, on the loop's clock (s)."""
        if name == "sent_at":
            return self._owner.loop.time() + (self.sent_ms - self.clock.now()) / 1000
        transport = self.node_socket.transport
        return default if transport is None else transport.get_extra_info(name, default)

    def _forget(self) -> None:
        self._owner.forget_transport(self)
