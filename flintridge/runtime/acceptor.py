"""Accepts the connections of one listening socket, through all errors that accept() is documented to have.

The event loop's own server stops to accept for a whole second where descriptors or memory are short for a
moment; clients wait unread meanwhile. Here such an error is tried again at once, and after a short pause
where it stays.
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

# In one iteration of the event loop so many connections are accepted, before any of them can be rejected.
# Guards the spare descriptors against a burst.
ACCEPTS_PER_ITERATION = 4

# Bytes that came with a connection are no older than an iteration, unless it waited for longer than this.
MIN_QUEUED_MS = 10.0

# After an iteration in which every call failed; doubled with each further one, until a call succeeds.
FIRST_PAUSE_MS = 4.0
MAX_PAUSE_MS = 32.0

# While the listener closes
CLOSE_MAX_FAILURES = 16  # calls that fail in a row, before there is a pause
CLOSE_PAUSE_MS = 2.0

# tcpi_unacked of Linux's struct tcp_info: of a listening socket, the connections that wait to be accepted.
TCP_INFO_BYTES = 32
TCP_INFO_UNACKED_OFFSET = 24

NONE_WAITING_ERRNOS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK})

# What concerns one connection, or one call: accept(2) says to treat these as EAGAIN, that is, to try again.
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
    """What came of one call of accept()."""

    ACCEPTED = auto()
    NONE_WAITING = auto()
    CONNECTION_FAILED = auto()
    """The connection ended while it waited: the next one may be there."""
    SHORTAGE = auto()
    """Of descriptors or memory (EMFILE, ENFILE, ENOBUFS, ENOMEM); the connection still waits."""


def classify(error: OSError) -> AcceptResult:
    """What an error of accept() means; one that is not documented counts as a shortage."""
    if error.errno in NONE_WAITING_ERRNOS:
        return AcceptResult.NONE_WAITING
    if error.errno in CONNECTION_ERRNOS:
        return AcceptResult.CONNECTION_FAILED
    return AcceptResult.SHORTAGE


class Acceptor:
    """Accepts from a listening socket, which it owns, until it is closed.

    Attributes:
        listening: The socket.
    """

    def __init__(
        self,
        listening: socket.socket,
        on_accept: Callable[[socket.socket, float | None], None],
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Begin to accept in the running event loop.

        Args:
            listening: A socket that listens.
            on_accept: Called with each connection, which is non-blocking, and with the instant since when
                bytes that it has already may have waited; None: there are none, or they came just now.
            clock: Times the pauses.
            log: Takes `accept_failed` and `connections_given_up`.
            counters: Takes the counts of failed calls, of pauses and of what was given up.
        """
        self.listening = listening
        self._on_accept = on_accept
        self._clock = clock
        self._log = log
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self._timer: Timer | None = None
        self._pause_ms = FIRST_PAUSE_MS
        self._queued_since: float | None = None  # no connection that waits came before; None: none waits
        self._close_by: float | None = None  # once it closes
        self._closed = False
        listening.setblocking(False)
        self._loop.add_reader(listening.fileno(), self._accept_some)

    @property
    def closed(self) -> bool:
        """Whether the socket is closed, after whatever waited there."""
        return self._closed

    def close(self, patience_ms: float) -> None:
        """Accept what waits, then close in the same step.

        Guards the connections that clients have made and the program has not seen: the kernel resets them
        when their listener closes, though another process listens on the same address.

        Args:
            patience_ms: How long it may go on trying where accept() fails. A second call may shorten this.
        """
        if self._closed:
            return
        if self._close_by is None:
            self._loop.remove_reader(self.listening.fileno())
        self._close_by = self._clock.now() + patience_ms
        self._cancel_timer()
        self._accept_last()

    def _accept_some(self) -> None:
        """One iteration's share; the event loop calls again where more wait."""
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
        """Since when bytes of a connection may have waited.

        Guards servers against being told a time that the client no longer has: in a crowd, or while accept()
        fails, a request waits here with its connection.
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
        """Accept nothing for a moment.

        Guards against a busy loop: a listening socket stays readable as long as a connection waits there.
        """
        self._counters.add("accept_pauses")
        self._loop.remove_reader(self.listening.fileno())
        self._timer = self._clock.call_at(self._clock.now() + self._pause_ms, self._resume)
        self._pause_ms = min(2 * self._pause_ms, MAX_PAUSE_MS)

    def _resume(self) -> None:
        try:
            self._loop.add_reader(self.listening.fileno(), self._accept_some)
        except OSError:  # the selector is short of memory, too
            self._pause()

    def _accept_last(self) -> None:
        """Accept all that wait, and close; where accept() keeps failing, go on after a pause."""
        failures = 0
        while failures < CLOSE_MAX_FAILURES:
            result = self._accept_next()
            # Without a descriptor accept() fails also where nothing waits.
            if result is AcceptResult.NONE_WAITING or (
                result is AcceptResult.SHORTAGE and not self._count_waiting()
            ):
                self._finish()
                return
            failures = 0 if result is AcceptResult.ACCEPTED else failures + 1
        assert self._close_by is not None
        if self._clock.now() >= self._close_by:
            self._give_up()
            return
        self._timer = self._clock.call_at(self._clock.now() + CLOSE_PAUSE_MS, self._accept_last)

    def _give_up(self) -> None:
        count = self._count_waiting()
        self._counters.add("connections_given_up", count)
        self._log.event("connections_given_up", count=count)
        self._finish()

    def _count_waiting(self) -> int:
        """How many connections wait to be accepted; one where the system doesn't tell."""
        try:
            info = self.listening.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:  # short of memory too, or no such option
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
