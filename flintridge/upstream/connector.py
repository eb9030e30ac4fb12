"""Connections for attempts: an idle one or a new one, tried again after a pause while this machine fails."""

from flintridge.config.address import Address
from flintridge.core.request import UpstreamAttempt
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep
from flintridge.telemetry.counters import Counters
from flintridge.upstream.beginning import check_may_begin
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.connection_pool import ConnectionPool
from flintridge.upstream.local_failure import ROUTE_ERRNO, is_local_failure

# Most local failures are over in a moment; one that lasts must not cost the CPU that others need.
FIRST_PAUSE_MS = 2.0
MAX_PAUSE_MS = 50.0
# A server that had less of the connection timeout, as local failures took the rest, is not to blame.
MIN_TIMEOUT_FRACTION = 0.5


class LocalFailureError(FlintridgeError):
    """This machine could not open a connection while there was time; its cause is the last error."""


class Connector:
    """Finds the connections that attempts are made on."""

    def __init__(self, pool: ConnectionPool, clock: Clock, counters: Counters) -> None:
        self._pool = pool
        self._clock = clock
        self._counters = counters

    async def connect(
        self, attempt: UpstreamAttempt, address: Address, timeout_ms: float
    ) -> UpstreamConnection:
        """Take an idle connection or open one, again after a pause while that fails for a local reason.

        Args:
            attempt: For which it is.
            address: Of its server.
            timeout_ms: The connection timeout, from now on.

        Raises:
            AttemptWithdrawnError: The attempt may not begin any more, as was seen after a pause.
            LocalFailureError: Local failures lasted.
            OSError: The server refused the connection, or there is no route to it for the whole timeout.
            DeadlineExceededError: The connection did not come up in time.
        """
        connection_timeout_at = self._clock.now() + timeout_ms
        timeout_at = min(connection_timeout_at, attempt.deadline)
        give_up_at = min(timeout_at, attempt.begin_by, attempt.written_by)
        failure: OSError | None = None
        only_route_missing = True
        pause_ms = FIRST_PAUSE_MS
        while True:
            connection = self._pool.take_idle(attempt.server, address)
            if connection is not None:
                return connection
            tried_at = self._clock.now()
            try:
                return await self._pool.connect(address, timeout_at - tried_at)
            except DeadlineExceededError:
                tried_ms = self._clock.now() - tried_at
                if failure is not None and tried_ms < MIN_TIMEOUT_FRACTION * timeout_ms:
                    raise LocalFailureError from failure
                raise
            except OSError as error:
                if not is_local_failure(error):
                    raise
                failure = error.with_traceback(None)  # else its frames would keep the attempt's value
            self._counters.add("connects_failed_locally")
            only_route_missing = only_route_missing and failure.errno == ROUTE_ERRNO
            await sleep(self._clock, max(0.0, min(pause_ms, give_up_at - self._clock.now())))
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            now = self._clock.now()
            if only_route_missing and now >= connection_timeout_at:
                raise failure
            if now >= give_up_at:
                raise LocalFailureError from failure
            check_may_begin(attempt, self._clock)
