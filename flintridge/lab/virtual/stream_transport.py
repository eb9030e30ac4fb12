"""The equivalent of asyncio's selector transport over a modelled socket; this module has the write side."""

from contextvars import Context
from typing import Any

from flintridge.lab.virtual.read_side import ReadSide
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_transport import ConnectionCounter
from flintridge.lab.virtual.system_call_faults import FAILED_CALL_S
from flintridge.lab.virtual.tcp_socket import TcpSocket

HIGH_WATER_BYTES = 64 * 1024  # of unsent data, as in asyncio
HIGH_TO_LOW_WATER = 4

WRITE_ERROR = "Fatal write error on socket transport"


class StreamTransport(ReadSide):
    """The transport of one end of a connection."""

    def __init__(
        self,
        loop: VirtualTimeLoop,
        socket: TcpSocket,
        context: Context,
        server: ConnectionCounter | None = None,
    ) -> None:
        """See SocketTransport."""
        super().__init__(loop, socket, context, server)
        self._write_end = False  # whether write_eof was called
        self._high = HIGH_WATER_BYTES
        self._low = HIGH_WATER_BYTES // HIGH_TO_LOW_WATER
        self._protocol_paused = False  # whether pause_writing was called
        self._write_queued = False
        self._write_handle: Any = None
        socket.user = self

    def write(self, data: Any) -> None:
        """Send the data that fits into the window immediately, and buffer the rest."""
        if not isinstance(data, (bytes, bytearray, memoryview)):
            raise TypeError(f"data argument must be a bytes-like object, not {type(data).__name__!r}")
        if self._write_end:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._process.dead:
            return
        if self._calls_since_loss:
            self._calls_since_loss += 1
            return
        socket = self._socket
        if not socket.unsent:
            if socket.reset_error is not None:
                self._fatal_error(socket.reset_error, WRITE_ERROR)
                return
            accepted_bytes = socket.window - socket.in_flight
            if self._process.host.system_call_faults is not None:
                accepted_bytes = self._bytes_accepted(min(accepted_bytes, len(data)))
            if self._calls_since_loss:
                return
            if accepted_bytes > 0:
                if not isinstance(data, bytes):
                    data = bytes(data)
                if len(data) <= accepted_bytes:
                    socket.send(data)
                    return
                socket.send(data[:accepted_bytes])
                data = memoryview(data)[accepted_bytes:]
        socket.unsent += data
        self._pause_protocol_above_high_water()

    def writelines(self, list_of_data: Any) -> None:
        """Write the joined data."""
        self.write(b"".join(list_of_data))

    def writable(self) -> None:
        """Schedule a write: the window has room, or the connection is broken."""
        if self._socket.unsent and not self._write_queued:
            self._queue_write()

    def _queue_write(self) -> None:
        self._write_queued = True
        if self._write_handle is None:
            self._write_handle = self._loop.call_soon(self._write_ready, context=self._context)
        else:
            self._loop.requeue_one(self._write_handle)

    def _write_ready(self) -> None:
        self._write_queued = False
        socket = self._socket
        unsent = socket.unsent
        if self._calls_since_loss or not unsent:
            return
        if socket.reset_error is not None:
            self._fatal_error(socket.reset_error, WRITE_ERROR)
            return
        accepted_bytes = socket.window - socket.in_flight
        if self._process.host.system_call_faults is not None:
            accepted_bytes = self._bytes_accepted(min(accepted_bytes, len(unsent)))
        if accepted_bytes <= 0 or self._calls_since_loss:
            return
        data = bytes(unsent[:accepted_bytes])
        del unsent[:accepted_bytes]
        socket.send(data)
        if self._protocol_paused and len(unsent) <= self._low:
            self._protocol_paused = False
            self._notify(self._protocol.resume_writing)  # the protocol may write more data
        if not unsent:
            if self._closing:
                self._connection_lost(None)
            elif self._write_end:
                socket.send_fin()

    def _bytes_accepted(self, size: int) -> int:
        """Return how many of `size` bytes a faulty write accepts; the rest is retried after FAILED_CALL_S."""
        faults = self._process.host.system_call_faults
        if faults is None or size <= 0:
            return size
        self._loop.stall_running_process(faults.stall_s())
        taken = 0 if self._call_fails("write") else faults.short(size)
        if taken < size and not self._calls_since_loss:
            self._retry_write()
        return taken

    def _retry_write(self) -> None:
        if not self._write_queued:
            self._write_queued = True
            self._loop.call_later(FAILED_CALL_S, self._write_ready, context=self._context)

    # Flow control

    def _pause_protocol_above_high_water(self) -> None:
        if len(self._socket.unsent) > self._high and not self._protocol_paused:
            self._protocol_paused = True
            self._notify(self._protocol.pause_writing)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits of unsent bytes at which the protocol is paused and resumed."""
        if high is None:
            high = HIGH_WATER_BYTES if low is None else HIGH_TO_LOW_WATER * low
        if low is None:
            low = high // HIGH_TO_LOW_WATER
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self._high = high
        self._low = low
        if self._protocol is not None:
            self._pause_protocol_above_high_water()

    def get_write_buffer_limits(self) -> tuple[int, int]:
        """Return the low and the high limit, in bytes."""
        return self._low, self._high

    def get_write_buffer_size(self) -> int:
        """Return the number of unsent bytes."""
        return len(self._socket.unsent)

    def can_write_eof(self) -> bool:
        """Return True: the sending half can be closed separately."""
        return True

    def write_eof(self) -> None:
        """Close the sending half once all data is sent."""
        if self._closing or self._write_end:
            return
        self._write_end = True
        socket = self._socket
        if not socket.unsent and not self._process.dead and socket.reset_error is None:
            socket.send_fin()
