"""A listening socket and its accept loop."""

from collections import deque
from collections.abc import Callable
from contextvars import copy_context
from typing import Any, Protocol

from flintridge.lab.virtual.address_table import Bindings
from flintridge.lab.virtual.addresses import Address
from flintridge.lab.virtual.process import Process
from flintridge.lab.virtual.scheduler import VirtualTimeLoop
from flintridge.lab.virtual.socket_transport import ConnectionCounter
from flintridge.lab.virtual.stream_transport import StreamTransport
from flintridge.lab.virtual.system_call_faults import FAILED_CALL_S, OUT_OF_RESOURCES, too_many_open_files
from flintridge.lab.virtual.tcp_socket import TcpSocket

MIN_QUEUE = 512  # minimum length of the accept queue, in connections
MAX_DOUBLINGS = 32  # limits the exponent of the accept backoff


class AcceptingServer(ConnectionCounter, Protocol):
    """The interface of the server that a listening socket belongs to."""

    def attach(self) -> None:
        """Count a connection that is about to be attached to its protocol."""


class ListeningSocket:
    """One listening socket.

    Attributes:
        process: The process that owns the socket.
        requested_address: The address that the program asked for, which may be a wildcard.
        address: The address under which the network finds the socket.
        serving: Whether the program accepts connections.
    """

    def __init__(
        self,
        loop: VirtualTimeLoop,
        bindings: "Bindings[ListeningSocket]",
        server: AcceptingServer,
        process: Process,
        requested_address: Address,
        address: Address,
        protocol_factory: Callable[[], Any],
        backlog: int,
    ) -> None:
        self._loop = loop
        self._bindings = bindings
        self._server = server
        self.process = process
        self.requested_address = requested_address
        self.address = address
        self.context = copy_context()
        self._protocol_factory = protocol_factory
        self._backlog = backlog
        self._unaccepted: deque[TcpSocket] = deque()
        self.serving = False
        self._accept_queued = False
        self._pausing = False
        self._failures = 0  # consecutive accept calls that failed for lack of resources

    @property
    def queue_full(self) -> bool:
        """Whether the kernel drops the next connection.

        A program can make the kernel's queue longer than the backlog that it passes to asyncio. This is not
        visible here, so that the queue has at least MIN_QUEUE entries.
        """
        return len(self._unaccepted) > max(self._backlog, MIN_QUEUE)

    def connection_arrived(self, socket: TcpSocket) -> None:
        """Add a connection to the accept queue."""
        self._unaccepted.append(socket)
        self.process.unaccepted += 1
        self._queue_accept()

    def release(self) -> None:
        """Close the socket; connections that were not accepted are reset."""
        self.serving = False
        self._bindings.release(self.address, self)
        self.process.listening_sockets.pop(self, None)
        if self._unaccepted:
            self._pausing = False
            self._queue_accept()

    def _queue_accept(self) -> None:
        if not self._accept_queued and not self._pausing:
            self._accept_queued = True
            self._loop.call_soon(self._accept_ready, context=self.context)

    def _accept_ready(self) -> None:
        """Accept up to `backlog` connections in one pass, as asyncio's loops do."""
        self._accept_queued = False
        for _ in range(max(1, self._backlog)):
            if not self._unaccepted:
                return
            if self.serving and self.process.out_of_descriptors:
                self._pause(too_many_open_files())
                return
            error = self._accept_error()
            if error is not None:
                self._accept_failed(error)
                return
            self._failures = 0
            socket = self._unaccepted.popleft()
            self.process.unaccepted -= 1
            context = self.context.copy()
            transport = StreamTransport(self._loop, socket, context, self._server)
            context.run(self._hand_over, socket, transport)
        if self._unaccepted:
            self._queue_accept()

    def _accept_error(self) -> OSError | None:
        faults = self.process.host.system_call_faults
        if faults is None or not self.serving:
            return None
        return faults.error("accept")

    def _accept_failed(self, error: OSError) -> None:
        """Retry after a failed accept call; the connection stays in the queue."""
        if error.errno in OUT_OF_RESOURCES:
            self._pause(error)
            return
        reports = self.process.host.accept_pauses.reports
        if reports and not isinstance(error, (InterruptedError, ConnectionAbortedError)):
            report = {"message": "Exception in callback accept", "exception": error}
            self._loop.call_exception_handler(report)
        self._pausing = True
        self._loop.call_later(FAILED_CALL_S, self._pause_over, context=self.context)

    def _pause(self, error: OSError) -> None:
        pauses = self.process.host.accept_pauses
        self._pausing = True
        if pauses.reports:
            report = {"message": "socket.accept() out of system resource", "exception": error}
            self._loop.call_exception_handler(report)
        pause_s = min(pauses.first_s * 2**self._failures, pauses.max_s)
        self._failures = min(self._failures + 1, MAX_DOUBLINGS)
        self._loop.call_later(pause_s, self._pause_over, context=self.context)

    def _pause_over(self) -> None:
        self._pausing = False
        if self._unaccepted:
            self._queue_accept()

    def _hand_over(self, socket: TcpSocket, transport: StreamTransport) -> None:
        if socket.closed or not self.serving:
            socket.reset()
            return
        try:
            protocol = self._protocol_factory()
        except BaseException:
            socket.reset()
            raise
        self._server.attach()
        transport.attach(protocol)
