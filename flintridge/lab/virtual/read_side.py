"""The read side of a stream transport."""

from contextvars import Context
from typing import Any

from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_transport import ConnectionCounter, SocketTransport
from flintridge.lab.virtual.system_call_faults import FAILED_CALL_S
from flintridge.lab.virtual.tcp_socket import TcpSocket

MAX_READ_BYTES = 256 * 1024  # per read call, as in asyncio

READ_ERROR = "Fatal read error on socket transport"


class ReadSide(SocketTransport):
    """Reads a socket when it is readable, and passes the data to the protocol."""

    def __init__(
        self,
        loop: VirtualTimeLoop,
        socket: TcpSocket,
        context: Context,
        server: ConnectionCounter | None = None,
    ) -> None:
        """See SocketTransport."""
        super().__init__(loop, socket, context, server)
        self._paused = False
        self._read_end = False  # eof_received was called
        self._read_queued = False
        self._read_handle: Any = None

    def attach(self, protocol: Any) -> None:
        """Attach the connection to a protocol and start reading."""
        self.set_protocol(protocol)
        try:
            protocol.connection_made(self)
        finally:
            self._socket.accepted = True
            self._update_reading()

    def readable(self) -> None:
        """Schedule a read: the socket has data, the end of the stream or an error."""
        if self._reading and not self._read_queued:
            self._queue_read()

    def _update_reading(self) -> None:
        socket = self._socket
        self._reading = socket.accepted and not (self._paused or self._closing or self._read_end)
        if not self._reading or self._read_queued:
            return
        if socket.received.size or socket.fin_arrived or socket.reset_error:
            self._queue_read()

    def _queue_read(self) -> None:
        self._read_queued = True
        if self._read_handle is None:
            self._read_handle = self._loop.call_soon(self._read_ready, context=self._context)
        else:
            self._loop.requeue_one(self._read_handle)  # the handle is reused: at most one read is queued

    def _read_ready(self) -> None:
        self._read_queued = False
        if not self._reading:
            return
        socket = self._socket
        if socket.received.size:
            if not self._call_fails("read"):
                self._deliver()
            elif not self._calls_since_loss:  # interrupted
                self._retry_read()
                return
        elif socket.fin_arrived:
            self._deliver_end()
            return
        elif socket.reset_error is not None:
            self._fatal_error(socket.reset_error, READ_ERROR)
            return
        self._update_reading()

    def _deliver(self) -> None:
        try:
            if self._buffered:
                self._deliver_into_buffer()
            else:
                self._protocol.data_received(self._receive(MAX_READ_BYTES))
        except Exception as error:
            self._fatal_error(error, "Fatal error: protocol.data_received() call failed.")

    def _deliver_into_buffer(self) -> None:
        buffer = memoryview(self._protocol.get_buffer(-1))
        if not len(buffer):
            raise RuntimeError("get_buffer() returned an empty buffer")
        data = self._receive(len(buffer))
        buffer[: len(data)] = data
        self._protocol.buffer_updated(len(data))

    def _receive(self, limit: int) -> bytes:
        socket = self._socket
        faults = self._process.host.system_call_faults
        if faults is not None:
            limit = faults.short(min(limit, socket.received.size))
        data, self._sent_at_s = socket.receive(limit)
        return data

    def _deliver_end(self) -> None:
        self._read_end = True
        self._reading = False
        try:
            keep_open = self._protocol.eof_received()
        except Exception as error:
            self._fatal_error(error, "Fatal error: protocol.eof_received() call failed.")
            return
        if not keep_open:
            self.close()

    def pause_reading(self) -> None:
        """Stop reading; data that arrives stays in the kernel."""
        if not self._closing and not self._paused:
            self._paused = True
            self._reading = False

    def resume_reading(self) -> None:
        """Continue reading after `pause_reading`."""
        if not self._closing and self._paused:
            self._paused = False
            self._update_reading()

    def is_reading(self) -> bool:
        """Whether the transport is neither paused nor closing."""
        return not self._closing and not self._paused

    def _retry_read(self) -> None:
        """Retry an interrupted read after the time that a failed call takes."""
        self._read_queued = True
        self._loop.call_later(FAILED_CALL_S, self._read_ready, context=self._context)
