"""Termination of the client side: responds to all requests that were read, then closes the connections."""

from collections.abc import Callable

from flintridge.core.lifecycle import RequestLifecycle
from flintridge.downstream.open_connections import OpenConnections
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.listener import Listener
from flintridge.shutdown import SHUTDOWN_ACCEPT_MS, SHUTDOWN_COMMAND_TIMEOUT_MS, ShutdownTimes

# How long accept() is retried after SHUTDOWN_ACCEPT_MS if it fails while connections wait. The process may be
# killed as early as 100 ms after SHUTDOWN_ACCEPT_MS, if all deadlines are that short.
SHUTDOWN_ACCEPT_RETRY_MS = 50.0
SHUTDOWN_WRITE_TIMEOUT_MS = 3_000.0  # final wait for responses that clients are still reading
SHUTDOWN_POLL_MS = 20.0
SHUTDOWN_LAST_POLL_MS = 5.0  # poll interval once all responses are due


class Termination:
    """The termination sequence, from SIGTERM to the end of the last client connection."""

    def __init__(
        self,
        core: RequestLifecycle,
        connections: OpenConnections,
        listener: Listener | None,
        times: ShutdownTimes,
        clock: Clock,
        started_at: float,
        advance_drain: Callable[[], None],
    ) -> None:
        """Set the time by which open and future requests must have their responses.

        Args:
            core: Holds the open requests.
            connections: The open client connections.
            listener: The listener that accepts client connections.
            times: The delays of the shutdown steps.
            clock: The node's clock.
            started_at: The time of SIGTERM, in milliseconds of `clock`.
            advance_drain: Closes the connections that are between requests.
        """
        self._core = core
        self._connections = connections
        self._listener = listener
        self._clock = clock
        self._advance_drain = advance_drain
        self._last_command_at = started_at + SHUTDOWN_COMMAND_TIMEOUT_MS
        self._last_response_at = started_at + times.last_response_ms
        # Even the last request to arrive must have its response before the process may be killed.
        core.respond_all_by(self._last_response_at)

    async def run(self) -> None:
        """Keep serving for a while, then close each connection between requests; respond to every request."""
        await sleep(self._clock, SHUTDOWN_ACCEPT_MS)
        if self._listener is not None:
            self._listener.close(SHUTDOWN_ACCEPT_RETRY_MS)
        await self._wait_for_responses()
        until = self._clock.now() + SHUTDOWN_WRITE_TIMEOUT_MS
        while self._has_open_connections() and self._clock.now() < until:
            await sleep(self._clock, SHUTDOWN_POLL_MS)

    async def _wait_for_responses(self) -> None:
        """Wait until every request that was read has its response and every connection is closing.

        The wait is bounded by each request's own deadline, and by the instant at which all responses are due.
        """
        while True:
            # Repeated in every iteration: an unused connection that was accepted meanwhile must not read a
            # request that the end of the process would interrupt.
            self._advance_drain()
            now = self._clock.now()
            if self._must_end_input(now):
                for connection in self._connections:
                    connection.end_input()
            if self._all_responded() and not self._may_receive_requests():
                return
            await sleep(self._clock, self._poll_interval_ms(now))

    def _must_end_input(self, now: float) -> bool:
        """Whether no connection may read any further input.

        Before that instant, even the connections that were accepted last keep reading, because their first
        request may be in transit or received in part.
        """
        if now >= self._last_response_at:
            return True
        return now >= self._last_command_at and self._all_responded()

    def _poll_interval_ms(self, now: float) -> float:
        instants = [at for at in (self._last_command_at, self._last_response_at) if at > now]
        if not instants:
            return SHUTDOWN_LAST_POLL_MS
        return min(SHUTDOWN_POLL_MS, *(at - now for at in instants))

    def _all_responded(self) -> bool:
        return self._core.idle and not any(
            connection.has_pending for connection in self._connections if not connection.closing
        )

    def _may_receive_requests(self) -> bool:
        if self._listener is not None and self._listener.has_handovers:
            return True
        return any(not connection.closing for connection in self._connections)

    def _has_open_connections(self) -> bool:
        return len(self._connections) > 0 or len(self._connections.lingering_evicted) > 0
