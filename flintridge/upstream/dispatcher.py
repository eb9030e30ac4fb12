"""Dispatcher of attempts to servers: starts each on a connection of its own and reports its one end.

A connection carries one attempt at a time: responses on one come in order and a cancellation closes it, so an
attempt behind another would wait for it and be cancelled with it.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from flintridge.api import Outcome, Settings
from flintridge.codec.http.origin import OriginExchange, OriginHealthCheck
from flintridge.codec.memcache.exchange import CacheExchange, CacheHealthCheck
from flintridge.core.exchange import Exchange
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult, StreamedResponse, StreamedValue
from flintridge.discovery.endpoint_list import EndpointAddress, EndpointList
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Clock, DeadlineExceededError, to_ms, with_timeout
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.connection_pool import ConnectionLimitError, ConnectionPool
from flintridge.upstream.idle_timeout import MIN_IDLE_MS
from flintridge.upstream.streaming import ValueForwarder

HEALTH_CHECK_TIMEOUT_MS = 500.0

ReportEnd = Callable[[UpstreamAttempt, AttemptResult], None]
StartStream = Callable[[UpstreamAttempt, StreamedValue], StreamedResponse | None]


class AttemptWithdrawnError(FlintridgeError):
    """The attempt may not be written any more; nothing of it was."""


def _stream_nothing(_attempt: UpstreamAttempt, _value: StreamedValue) -> StreamedResponse | None:
    """No client waits for a long value."""
    return None


def _host(endpoint: EndpointAddress) -> str:
    return f"{endpoint.address.host}:{endpoint.address.port}"


def _connect_failed() -> AttemptResult:
    return AttemptResult(Outcome.CONNECT_FAILED)


def _is_malformed(result: AttemptResult | None) -> bool:
    """Whether the exchange ended at once with what cannot be read, so that no value of it counts."""
    return result is not None and result.response is None and result.malformed


@dataclass(slots=True)
class _Progress:
    """How far an attempt or a health check has come.

    Attributes:
        connection: Carries it; closed with its end, unless it was released.
        result: If it ended now. Until the last byte of the request is written, the server executes nothing.
    """

    connection: UpstreamConnection | None = None
    result: AttemptResult = field(default_factory=_connect_failed)

    @property
    def request_written(self) -> bool:
        """Whether the server may execute it."""
        return self.connection is not None and self.connection.request_written


class Dispatcher:
    """Carries the attempts and health checks of a node. Each runs as a task.

    Attributes:
        pool: The connections to servers.
    """

    def __init__(
        self,
        endpoints: EndpointList,
        settings: Settings,
        clock: Clock,
        max_connections: int,
        report_end: ReportEnd,
        log: EventLog,
        counters: Counters,
        start_stream: StartStream = _stream_nothing,
    ) -> None:
        """Make a dispatcher in the running event loop.

        Args:
            endpoints: Where servers are.
            settings: Of the service.
            clock: Of the node.
            max_connections: So many connections to servers may be open.
            report_end: Called once for each attempt, in the last step of its task.
            log: Of the node.
            counters: Of the node.
            start_stream: Called where a long value has begun to come, which ends the attempt; gives the
                client's end, or None if nobody waits for the value any more.
        """
        self.pool = ConnectionPool(max_connections, to_ms(settings.limits.conn_idle_ns), clock, counters)
        self._endpoints = endpoints
        self._connect_timeout_ms = to_ms(settings.limits.connect_timeout_ns)
        self._clock = clock
        self._report_end = report_end
        self._log = log
        self._counters = counters
        self._start_stream = start_stream
        self._forwarder = ValueForwarder(clock, log, counters)
        self._tasks: dict[asyncio.Task[None], None] = {}  # in their order, which a set would not keep

    def start(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt; its end is reported, whatever happens."""
        task = self._start_task(self._run_attempt(attempt))
        attempt.abort = task.cancel

    def check_health(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        """Ask a server for its load report; `done` is called once, but for a dispatcher that is closed."""
        self._start_task(self._run_health_check(server, done))

    def close_idle_connections(self, server: str) -> None:
        """Close the connections to a server that carry no attempt."""
        self.pool.close_idle(server)

    async def close(self) -> None:
        """Cancel all attempts, whose ends are reported, and close all connections."""
        self.pool.stop_sweeping()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.pool.close_all_idle()

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)
        return task

    # Attempts

    async def _run_attempt(self, attempt: UpstreamAttempt) -> None:
        progress = _Progress()
        try:
            await self._perform(attempt, progress)
        except DeadlineExceededError:
            if progress.request_written:
                progress.result = AttemptResult(Outcome.TIMEOUT)
        except AttemptWithdrawnError:
            self._counters.add("attempts_expired_unsent")
            progress.result = AttemptResult(Outcome.WITHDRAWN)
            self._release(attempt.server, progress)
        except ConnectionLimitError:
            self._counters.add("attempts_no_descriptor")
            # Never sent, and no sign of its server.
            progress.result = AttemptResult(Outcome.WITHDRAWN)
        except OSError as error:
            # Guards memory: the connection's reader keeps the error, and with its frames the value.
            error.with_traceback(None)
            self._note_broken(progress)
        except asyncio.CancelledError:
            progress.result = AttemptResult(Outcome.CANCELLED)
        except Exception as error:
            self._log.error("attempt_internal_error", error, server=attempt.server)
            progress.result = AttemptResult(Outcome.ERROR)
        finally:
            if progress.connection is not None:
                self.pool.close_connection(progress.connection)
        self._report_end(attempt, progress.result)

    async def _perform(self, attempt: UpstreamAttempt, progress: _Progress) -> None:
        """Make an attempt, and note in `progress` how far it came.

        Raises:
            DeadlineExceededError: A deadline of the attempt or the connection timeout passed.
            AttemptWithdrawnError: What the attempt rested on no longer holds.
            ConnectionLimitError: There is no connection for it.
            OSError: The connection broke, or was refused.
        """
        endpoint = self._endpoints[attempt.server]
        connection = self.pool.take_idle(attempt.server, endpoint.address)
        if connection is None:
            timeout_ms = min(self._connect_timeout_ms, attempt.deadline - self._clock.now())
            connection = await self.pool.connect(endpoint.address, timeout_ms)
        progress.connection = connection
        # The connection may have been long in coming up: what the attempt rested on has to hold still. And
        # the client may have left while the loop was held up, by a crowd of others: it has yet to be seen.
        now = self._clock.now()
        attempt.check_client()
        if attempt.request_ended or now > min(attempt.begin_by, attempt.written_by):
            raise AttemptWithdrawnError
        exchange = self._exchange(attempt, endpoint)
        performing = connection.perform(exchange, self._clock, attempt.written_by)
        result = await with_timeout(self._clock, attempt.deadline - now, performing)
        self.pool.idle_timeout.note_reuse(self._clock.now(), connection.idle_before_use_ms, lost=False)
        value = exchange.streamed_value
        if value is None or _is_malformed(result):
            assert result is not None
            progress.result = result
        else:
            progress.result = value.result
            response = self._start_stream(attempt, value)
            if response is not None:
                await self._forwarder.forward(attempt, exchange, connection, result, response)
        if exchange.reusable:
            self._release(attempt.server, progress, exchange.names_request)

    def _exchange(self, attempt: UpstreamAttempt, endpoint: EndpointAddress) -> Exchange:
        remaining_ms = attempt.deadline - self._clock.now()
        if endpoint.origin:
            return OriginExchange(attempt.request, _host(endpoint), remaining_ms)
        return CacheExchange(attempt.request, remaining_ms)

    def _release(self, server: str, progress: _Progress, names_request: bool = True) -> None:
        connection = progress.connection
        assert connection is not None
        self.pool.release(server, connection, names_request)
        progress.connection = None

    def _note_broken(self, progress: _Progress) -> None:
        connection = progress.connection
        if connection is None or not connection.request_written:
            return
        # An idle one that ends without a byte had ended before, unseen.
        lost = connection.nothing_received and connection.idle_before_use_ms >= MIN_IDLE_MS
        progress.result = AttemptResult(Outcome.RESET, malformed=lost)
        self.pool.idle_timeout.note_reuse(self._clock.now(), connection.idle_before_use_ms, lost)

    # Health checks

    async def _run_health_check(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        progress = _Progress()
        try:
            await self._perform_health_check(server, progress)
        except DeadlineExceededError:
            progress.result = AttemptResult(Outcome.TIMEOUT)
        except OSError:
            if progress.request_written:
                progress.result = AttemptResult(Outcome.RESET)
        except Exception as error:
            self._log.error("health_check_internal_error", error, server=server)
        finally:
            if progress.connection is not None:
                self.pool.close_connection(progress.connection)
        done(progress.result)

    async def _perform_health_check(self, server: str, progress: _Progress) -> None:
        """Make a health check, and note in `progress` how far it came.

        Raises:
            DeadlineExceededError: The connection or the response took too long.
            OSError: There is no connection, or it broke.
        """
        endpoint = self._endpoints[server]
        connection = self.pool.take_idle(server, endpoint.address)
        if connection is None:
            connection = await self.pool.connect(endpoint.address, self._connect_timeout_ms)
        progress.connection = connection
        exchange: Exchange = OriginHealthCheck(_host(endpoint)) if endpoint.origin else CacheHealthCheck()
        performing = connection.perform(exchange, self._clock)
        result = await with_timeout(self._clock, HEALTH_CHECK_TIMEOUT_MS, performing)
        assert result is not None  # a load report is no long value
        progress.result = result
        if exchange.reusable:
            self._release(server, progress, exchange.names_request)
