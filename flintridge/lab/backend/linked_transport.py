"""A connection between the lab and a real node, with modelled links between the protocol and the socket.

The lab's protocol gets a transport that behaves like a socket at the far end of the links. Data that it
writes reaches the real socket in order, in the link's segments and after the link's delay. Data from the node
reaches the protocol after the delay of the return link. While a link is silent, everything on it is lost
without notice; once it is up again, a connection that lost data is reset as soon as either side sends.
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
    """The interface of the fabric that its connections use."""

    loop: asyncio.AbstractEventLoop
    clock: RunClock
    lateness: TimerLateness

    def forget_transport(self, transport: "LinkedTransport") -> None:
        """Remove a connection that has ended on both sides."""


class _LinkedConnection:
    """The state that both sides share, and the passage of messages over the links."""

    def __init__(
        self,
        owner: TransportOwner,
        factory: Callable[[], asyncio.Protocol],
        out: Link,
        back: Link,
        accepted: bool,
    ) -> None:
        """Create a connection whose real socket is not attached yet.

        Args:
            owner: The fabric.
            factory: Creates the lab's protocol.
            out: The link to the node.
            back: The link from the node.
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
        self._lossy = False  # whether data was lost, so that the connection cannot continue
        self._closing = False
        self._eof_written = False

    # The lab's side, for the node's socket

    def passes(self, link: Link) -> bool:
        """Whether the link lets a message pass now; if not, the connection is reset or becomes lossy."""
        if link.state == "up":
            return True
        if link.state == "reset":
            # Deferred to the loop, because the caller may be in the middle of a write.
            self._owner.loop.call_soon(self.cut)
        else:
            self._lossy = True
        return False

    def is_done(self) -> bool:
        """Whether the lab's side has ended, or can never start because its handshake was lost."""
        return self.ended or (self._protocol is None and self._lossy)

    def finish(self) -> None:
        """Clean up after both sides have ended."""
        self.ended = True
        self.incoming.clear()
        self.outgoing.clear()
        self._remove_from_owner()

    def check_writing(self) -> None:
        """Pause or resume writing by the lab's protocol, as the send flow requires."""
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
            if self._lossy:  # the node sends to a closed end, and lost the message about its close
                self.node_socket.reset()
        elif isinstance(message, Lost):
            self._end(message.error)
        elif self._lossy:
            self._end(connection_reset())
            self._send(Abort(reset=True))
        else:
            self.sent_ms = sent_ms
            self._deliver_to_protocol(message)

    def _deliver_to_protocol(self, message: Message) -> None:
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
        except Exception as error:  # a bug in the lab's code ends this connection, as in asyncio
            self._report(error, "a protocol's method failed")
            self._end(error)
            self._send(Abort(reset=True))

    # Closing

    def cut(self) -> None:
        """Reset both sides immediately, because a link broke the connection."""
        self.node_socket.reset()
        self._end(connection_reset())

    def drop(self) -> None:
        """End without notifying the lab's protocol, because the run is over or the connect was abandoned."""
        self.ended = True
        self._closing = True
        self._protocol = None
        self._fail_ready(connection_reset())
        self.outgoing.clear()
        self.incoming.clear()
        self.node_socket.reset()
        if self.node_socket.transport is None or self.node_socket.lost:
            self._remove_from_owner()

    def _close(self) -> None:
        """Close after the data already written; if input is unread the node gets an RST, as on Linux."""
        unread = self.incoming.held and self.incoming.has_overdue()
        self._close_with(Abort(reset=True) if unread else Close())

    def _close_with(self, message: Message) -> None:
        if self._closing:
            return
        self._closing = True
        self.incoming.release()  # messages that arrive from now on are dropped
        self._send(message)
        self._owner.loop.call_soon(self._end, None)

    def _end(self, error: Exception | None) -> None:
        """Report connection_lost to the protocol, once."""
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
            except Exception as protocol_error:
                self._report(protocol_error, "protocol.connection_lost() failed")
        if self.node_socket.lost:
            self.finish()

    def _fail_ready(self, error: Exception) -> None:
        if not self.ready.done():
            self.ready.set_exception(error)
            self.ready.exception()  # marks the exception as retrieved, since nobody may await it

    def _remove_from_owner(self) -> None:
        raise NotImplementedError

    def _report(self, error: Exception, message: str) -> None:
        context = {"message": message, "exception": error, "transport": self}
        self._owner.loop.call_exception_handler(context)


class LinkedTransport(_LinkedConnection, asyncio.Transport):
    """The lab's transport. In addition to asyncio's interface it has `reset`.

    Attributes:
        node_socket: The protocol of the real socket.
        ready: Completes when the protocol's `connection_made` was called, or the connection failed.
        sent_ms: The time (ms of the run) at which the data that is being received was sent.
        client_of: The node to which a client opened the connection; empty for other connections.
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
        """Return True: the lab's stream can be closed separately."""
        return True

    def write_eof(self) -> None:
        """Close the lab's sending half; the node's half stays open."""
        if not self._closing and not self._eof_written:
            self._eof_written = True
            self._send(EndOfStream())

    def get_write_buffer_size(self) -> int:
        """Return the bytes that exceed the window, plus those that the node's kernel does not accept yet."""
        transport = self.node_socket.transport
        in_socket = 0 if transport is None else transport.get_write_buffer_size()
        return max(0, self.send_flow.beyond_window_bytes()) + in_socket

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high limit, in bytes."""
        return self.send_flow.low_bytes, self.send_flow.high_bytes

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits (bytes) at which the protocol is paused and resumed."""
        self.send_flow.set_limits(high, low)
        transport = self.node_socket.transport
        if transport is not None:
            transport.set_write_buffer_limits(self.send_flow.high_bytes, self.send_flow.low_bytes)
        self.check_writing()

    # Reading

    def pause_reading(self) -> None:
        """Stop passing data to the protocol."""
        if self.is_reading():
            self.incoming.hold()

    def resume_reading(self) -> None:
        """Pass the data that arrived meanwhile to the protocol, and continue."""
        if not self._closing and self.incoming.held:
            self.incoming.release()

    def is_reading(self) -> bool:
        """Whether data that arrives is passed to the protocol."""
        return not self._closing and not self.incoming.held

    # Closing

    def is_closing(self) -> bool:
        """Whether the connection is closing or closed."""
        return self._closing

    def close(self) -> None:
        """Close after the data already written; if input is unread the node gets an RST, as on Linux."""
        self._close()

    def abort(self) -> None:
        """Close immediately: the node gets an EOF, as from asyncio's own transports; see `reset`."""
        self._close_with(Abort(reset=False))

    def reset(self) -> None:
        """Close with an RST, after the data in flight."""
        self._close_with(Abort(reset=True))

    # The rest of asyncio's interface

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the lab's protocol."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the lab's protocol."""
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Support the socket's names and `sent_at`: when (s of the loop) the received data was sent."""
        if name == "sent_at":
            return self._owner.loop.time() + (self.sent_ms - self.clock.now()) / 1000
        transport = self.node_socket.transport
        return default if transport is None else transport.get_extra_info(name, default)

    def _remove_from_owner(self) -> None:
        self._owner.forget_transport(self)
