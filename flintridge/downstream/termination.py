"""The client side's part in the end of a process: what was taken in is answered, then connections close."""

from collections.abc import Callable

from flintridge.core.lifecycle import RequestLifecycle
from flintridge.downstream.open_connections import OpenConnections
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.listener import Listener
from flintridge.shutdown import SHUTDOWN_ACCEPT_MS, SHUTDOWN_COMMAND_TIMEOUT_MS, ShutdownTimes

# From SHUTDOWN_ACCEPT_MS on, for connections that wait where accept() fails. The process may be killed as
# early as 100 ms after that, where all deadlines are that short.
SHUTDOWN_ACCEPT_RETRY_MS = 50.0
SHUTDOWN_WRITE_TIMEOUT_MS = 3_000.0  # at the end, for responses that clients are still reading
SHUTDOWN_POLL_MS = 20.0
SHUTDOWN_LAST_POLL_MS = 5.0  # once all responses are due


class Termination:
    """What happens from SIGTERM to the end of the last client connection."""

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
        """Have all requests responded to in time, those that are open and those to come.

        Args:
            core: Has the open requests.
            connections: Those of clients.
            listener: Accepts them.
            times: When what falls due.
            clock: Of the node.
            started_at: The time of SIGTERM.
            advance_drain: Closes the connections that are between requests.
        """
        self._core = core
        self._connections = connections
        self._listener = listener
        self._clock = clock
        self._advance_drain = advance_drain
        self._last_command_at = started_at + SHUTDOWN_COMMAND_TIMEOUT_MS
        self._last_response_at = started_at + times.last_response_ms
        # What comes last must have its response before the process may be killed.
        core.respond_all_by(self._last_response_at)

    async def run(self) -> None:
        """Serve on for a while, then close each connection between requests; respond to all."""
        await sleep(self._clock, SHUTDOWN_ACCEPT_MS)
        if self._listener is not None:
            self._listener.close(SHUTDOWN_ACCEPT_RETRY_MS)
        await self._wait_for_responses()
        until = self._clock.now() + SHUTDOWN_WRITE_TIMEOUT_MS
        while self._is_writing() and self._clock.now() < until:
            await sleep(self._clock, SHUTDOWN_POLL_MS)

    async def _wait_for_responses(self) -> None:
        """Wait until all that was taken in is responded to and every connection closes.

        Each request's own deadline bounds this, and so does the instant at which all responses are due.
        """
        while True:
            # Again each time: a connection that came meanwhile and stays unused must not take a request
            # that this program would end upon.
            self._advance_drain()
            now = self._clock.now()
            if self._ends_reading(now):
                for connection in self._connections:
                    connection.end()
            if self._all_responded() and not self._requests_may_come():
                return
            await sleep(self._clock, self._poll_interval_ms(now))

    def _ends_reading(self, now: float) -> bool:
        """Whether nothing more is read at all.

        Guards the connections that were accepted last: their first request is on its way, or half here.
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

    def _requests_may_come(self) -> bool:
        if self._listener is not None and self._listener.has_handovers:
            return True
        return any(not connection.closing for connection in self._connections)

    def _is_writing(self) -> bool:
        return len(self._connections) > 0 or len(self._connections.lingering_evicted) > 0
