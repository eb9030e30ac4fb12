"""Provides connections for attempts: idle or new ones, with retries after failures of the local machine."""

from flintridge.config.address import Address
from flintridge.core.request import UpstreamAttempt
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep
from flintridge.runtime.local_failure import ROUTE_ERRNO, is_local_failure
from flintridge.telemetry.counters import Counters
from flintridge.upstream.beginning import check_may_begin
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.connection_pool import ConnectionPool

# Pauses between retries. Most local failures are very short; retries of a lasting one must not use much CPU.
FIRST_PAUSE_MS = 2.0
MAX_PAUSE_MS = 50.0
# A connection timeout counts against the server only if it had at least this fraction of the timeout; local
# failures may have used up the rest.
MIN_TIMEOUT_FRACTION = 0.5


class LocalFailureError(FlintridgeError):
    """The local machine could not open a connection in time. The cause is the last error."""


class Connector:
    """Takes idle connections from the pool, or opens new ones, for attempts."""

    def __init__(self, pool: ConnectionPool, clock: Clock, counters: Counters) -> None:
        self._pool = pool
        self._clock = clock
        self._counters = counters

    async def connect(
        self, attempt: UpstreamAttempt, address: Address, timeout_ms: float
    ) -> UpstreamConnection:
        """Take an idle connection or open a new one, and retry after a pause if that fails locally.

        Args:
            attempt: The attempt that needs the connection.
            address: The server's address.
            timeout_ms: The connection timeout, counted from now.

        Raises:
            AttemptWithdrawnError: After a pause, the attempt may not begin any more.
            LocalFailureError: Local failures persisted until the attempt's limits or the timeout.
            OSError: The server refused the connection, or there was no route to it for the whole timeout.
            DeadlineExceededError: The connection was not established in time.
        """
        connection_timeout_at = self._clock.now() + timeout_ms
        timeout_at = min(connection_timeout_at, attempt.deadline)
        retry_until = min(timeout_at, attempt.begin_by, attempt.written_by)
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
                failure = error.with_traceback(None)  # its frames would keep the attempt's value
            self._counters.add("connects_failed_locally")
            only_route_missing = only_route_missing and failure.errno == ROUTE_ERRNO
            await sleep(self._clock, max(0.0, min(pause_ms, retry_until - self._clock.now())))
            pause_ms = min(2 * pause_ms, MAX_PAUSE_MS)
            now = self._clock.now()
            if only_route_missing and now >= connection_timeout_at:
                raise failure
            if now >= retry_until:
                raise LocalFailureError from failure
            check_may_begin(attempt, self._clock)
