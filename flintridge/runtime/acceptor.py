"""Accepts the connections of one listening socket, and handles every documented error of accept().

The event loop's own server stops accepting for a whole second when descriptors or memory run short, even
briefly, and clients wait unread meanwhile. The acceptor retries immediately, and after a short pause if
accept() keeps failing.
"""

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from enum import Enum, auto

from flintridge.runtime.clock import Clock, Timer
from flintridge.runtime.streams import socket_has_input
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

# Connections accepted in one iteration of the event loop, before any of them can be rejected. The bound keeps
# a burst from using up the spare descriptors.
ACCEPTS_PER_ITERATION = 4

# If a connection waited to be accepted for less than this, its first bytes count as no older than the current
# iteration of the event loop.
MIN_QUEUED_MS = 10.0

# Pause after an iteration in which every call of accept() failed. It doubles with each further such
# iteration, until a call succeeds.
FIRST_PAUSE_MS = 4.0
MAX_PAUSE_MS = 32.0

# Used while the listener closes.
CLOSE_MAX_FAILURES = 16  # consecutive failed calls before a pause
CLOSE_PAUSE_MS = 2.0

# The field tcpi_unacked of Linux's struct tcp_info. For a listening socket, it is the number of connections
# that wait to be accepted.
TCP_INFO_BYTES = 32
TCP_INFO_UNACKED_OFFSET = 24

NONE_WAITING_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})

# Errors of a single connection or call: accept(2) says to treat them like EAGAIN, by retrying.
CONNECTION_ERRNOS = frozenset(
    {
        errno.EINTR,
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
    }
)


class AcceptResult(Enum):
    """The result of one call of accept()."""

    ACCEPTED = auto()
    NONE_WAITING = auto()
    CONNECTION_FAILED = auto()
    """The connection ended while it waited; another one may be waiting behind it."""
    SHORTAGE = auto()
    """Descriptors or memory run short (EMFILE, ENFILE, ENOBUFS, ENOMEM); the connection still waits."""


def classify(error: OSError) -> AcceptResult:
    """Map an error of accept() to a result; an undocumented error counts as a shortage."""
    if error.errno in NONE_WAITING_ERRNOS:
        return AcceptResult.NONE_WAITING
    if error.errno in CONNECTION_ERRNOS:
        return AcceptResult.CONNECTION_FAILED
    return AcceptResult.SHORTAGE


class Acceptor:
    """Accepts connections from a listening socket, which it owns, until it is closed.

    Attributes:
        listening: The listening socket.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_accept: Callable[[socket.socket, float | None], None],
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Start accepting in the running event loop.

        Args:
            listening: A socket in the listening state.
            on_accept: Called with each accepted, non-blocking connection and the earliest instant at which
                bytes that wait on it may have arrived; None if no bytes wait, or they have only just arrived.
            clock: The node's clock, for the pauses.
            log: Receives the events `accept_failed` and `connections_given_up`.
            counters: Receives the counts of failed calls, of pauses and of connections that were never
                accepted.
        """
        self.listening = listening
        self._on_accept = on_accept
        self._clock = clock
        self._log = log
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._timer: Timer | None = None
        self._pause_ms = FIRST_PAUSE_MS
        # No waiting connection arrived before this instant; None while no connection waits.
        self._queued_since: float | None = None
        self._close_by: float | None = None  # deadline for closing the socket; None until `close` is called
        self._closed = False
        listening.setblocking(False)
        self._loop.add_reader(listening.fileno(), self._accept_some)

    @property
    def closed(self) -> bool:
        """Whether the socket is closed; `close` first accepts the connections that wait."""
        return self._closed

    def close(self, timeout_ms: float) -> None:
        """Accept the connections that wait, then close without returning to the event loop in between.

        When a listening socket closes, the kernel resets the connections that clients have opened and nobody
        has accepted, even if another process listens on the same address.

        Args:
            timeout_ms: How long accept() is retried if it fails. A second call may shorten this.
        """
        if self._closed:
            return
        if self._close_by is None:
            self._loop.remove_reader(self.listening.fileno())
        self._close_by = self._clock.now() + timeout_ms
        self._cancel_timer()
        self._accept_last()

    def _accept_some(self) -> None:
        """Accept up to ACCEPTS_PER_ITERATION connections; the event loop calls again if more wait."""
        if self._queued_since is None:
            self._queued_since = self._clock.earliest_arrival()
        accepted = False
        for _ in range(ACCEPTS_PER_ITERATION):
            result = self._accept_next()
            if result is AcceptResult.NONE_WAITING:
                return
            accepted = accepted or result is AcceptResult.ACCEPTED
        if not accepted:
            self._pause()
        elif not socket_has_input(self.listening):
            self._queued_since = None

    def _accept_next(self) -> AcceptResult:
        try:
            connection, _ = self.listening.accept()
        except OSError as error:
            return self._note_failure(error)
        connection.setblocking(False)
        self._pause_ms = FIRST_PAUSE_MS
        self._on_accept(connection, self._input_queued_since(connection))
        return AcceptResult.ACCEPTED

    def _input_queued_since(self, connection: socket.socket) -> float | None:
        """The earliest instant at which a connection's waiting bytes may have arrived; see `on_accept`.

        During a burst of connections, or while accept() fails, a request waits together with its connection.
        Without this instant servers would be sent a remaining time that the client no longer has.
        """
        since = self._queued_since
        if since is None or self._clock.now() - since < MIN_QUEUED_MS or not socket_has_input(connection):
            return None
        return since

    def _note_failure(self, error: OSError) -> AcceptResult:
        result = classify(error)
        if result is AcceptResult.NONE_WAITING:
            self._queued_since = None
        elif result is AcceptResult.CONNECTION_FAILED:
            self._counters.add("accept_connection_errors")
        elif result is AcceptResult.SHORTAGE:
            self._counters.add("accept_shortages")
            self._log.event("accept_failed", error=str(error))
        return result

    def _pause(self) -> None:
        """Stop accepting for the current pause.

        A listening socket stays readable as long as a connection waits, so without a pause the event loop
        would spin.
        """
        self._counters.add("accept_pauses")
        self._loop.remove_reader(self.listening.fileno())
        self._timer = self._clock.call_at(self._clock.now() + self._pause_ms, self._resume)
        self._pause_ms = min(2 * self._pause_ms, MAX_PAUSE_MS)

    def _resume(self) -> None:
        try:
            self._loop.add_reader(self.listening.fileno(), self._accept_some)
        except OSError:  # the selector can't allocate memory either
            self._pause()

    def _accept_last(self) -> None:
        """Accept all connections that wait, then close; if accept() keeps failing, continue after a pause."""
        failures = 0
        while failures < CLOSE_MAX_FAILURES:
            result = self._accept_next()
            # Without a free descriptor, accept() also fails when no connection waits.
            if result is AcceptResult.NONE_WAITING or (
                result is AcceptResult.SHORTAGE and not self._count_waiting()
            ):
                self._finish()
                return
            failures = 0 if result is AcceptResult.ACCEPTED else failures + 1
        assert self._close_by is not None
        if self._clock.now() >= self._close_by:
            self._abandon_waiting()
            return
        self._timer = self._clock.call_at(self._clock.now() + CLOSE_PAUSE_MS, self._accept_last)

    def _abandon_waiting(self) -> None:
        count = self._count_waiting()
        self._counters.add("connections_given_up", count)
        self._log.event("connections_given_up", count=count)
        self._finish()

    def _count_waiting(self) -> int:
        """The number of connections that wait to be accepted; 1 if the system doesn't report it."""
        try:
            info = self.listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:  # the system is short of memory, or doesn't have this option
            return 1
        (count,) = struct.unpack_from("=I", info, TCP_INFO_UNACKED_OFFSET)
        return int(count)

    def _finish(self) -> None:
        self._closed = True
        self.listening.close()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
