"""Health checks: requests for a server's load report."""

from collections.abc import Callable

from flintridge.api import Outcome
from flintridge.codec.http.origin import OriginHealthCheck
from flintridge.codec.memcache.exchange import CacheHealthCheck
from flintridge.core.exchange import Exchange
from flintridge.core.response import AttemptResult
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.local_failure import is_local_failure
from flintridge.telemetry.log import EventLog
from flintridge.upstream.connection_pool import ConnectionPool
from flintridge.upstream.progress import Progress

HEALTH_CHECK_TIMEOUT_MS = 500.0


class HealthChecks:
    """Runs the health checks of a node."""

    def __init__(
        self,
        pool: ConnectionPool,
        endpoints: EndpointList,
        connect_timeout_ms: float,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Start without health checks.

        Args:
            pool: The connections to servers.
            endpoints: Addresses of the servers.
            connect_timeout_ms: Time limit for a new connection.
            clock: The node's clock.
            log: The node's log.
        """
        self._pool = pool
        self._endpoints = endpoints
        self._connect_timeout_ms = connect_timeout_ms
        self._clock = clock
        self._log = log

    async def run(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        """Run one health check; nothing that the server does raises an error.

        Args:
            server: The id of the server.
            done: Called once with the result, unless the task is cancelled.
        """
        progress = Progress()
        try:
            await self._perform(server, progress)
        except DeadlineExceededError:
            progress.result = AttemptResult(Outcome.TIMEOUT)
        except OSError as error:
            if progress.request_written:
                progress.result = AttemptResult(Outcome.RESET)
            elif is_local_failure(error):
                progress.result = AttemptResult(Outcome.WITHDRAWN)
        except Exception as error:
            self._log.error("health_check_internal_error", error, server=server)
        finally:
            if progress.connection is not None:
                self._pool.close_connection(progress.connection)
        done(progress.result)

    async def _perform(self, server: str, progress: Progress) -> None:
        """Run a health check, and record in `progress` how far it got.

        Raises:
            DeadlineExceededError: The connection or the response took too long.
            OSError: The connection failed or was refused.
        """
        endpoint = self._endpoints[server]
        connection = self._pool.take_idle(server, endpoint.address)
        if connection is None:
            connection = await self._pool.connect(endpoint.address, self._connect_timeout_ms)
        progress.connection = connection
        exchange: Exchange = (
            OriginHealthCheck(endpoint.host_header) if endpoint.origin else CacheHealthCheck()
        )
        performing = connection.perform(exchange, self._clock)
        result = await with_timeout(self._clock, HEALTH_CHECK_TIMEOUT_MS, performing)
        if result is None:  # a load report is never a value, but its length may be unknown
            receiving = connection.receive_rest(exchange)
            result = await with_timeout(self._clock, HEALTH_CHECK_TIMEOUT_MS, receiving)
        progress.result = result
        if exchange.reusable:
            progress.release(server, self._pool, exchange.names_request)
