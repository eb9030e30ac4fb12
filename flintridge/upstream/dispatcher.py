"""Dispatcher of attempts to servers: runs each on its own connection and reports its end exactly once.

A connection carries one attempt at a time. Responses on a connection arrive in order, and a cancellation
closes it, so a pipelined attempt would wait for the previous one and be cancelled with it.
"""

import asyncio
import math
import sys
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

from flintridge.api import Outcome, Settings
from flintridge.codec.http.origin import OriginExchange
from flintridge.codec.memcache.exchange import CacheExchange
from flintridge.core.exchange import Exchange
from flintridge.core.memory_budget import MemoryBudget, unlimited_memory
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult, Response, StreamedResponse, StreamedValue
from flintridge.discovery.endpoint_list import EndpointAddress, EndpointList, EndpointNotListedError
from flintridge.runtime.clock import Clock, DeadlineExceededError, to_ms, with_timeout
from flintridge.runtime.local_failure import ROUTE_ERRNO, describe_errno, is_local_failure
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog
from flintridge.upstream.beginning import AttemptWithdrawnError, WithdrawalReason, check_may_begin
from flintridge.upstream.connection import UpstreamConnection
from flintridge.upstream.connection_pool import ConnectionLimitError, ConnectionPool
from flintridge.upstream.connector import Connector, LocalFailureError
from flintridge.upstream.delivery_services import DeliveryServices
from flintridge.upstream.health_checks import HealthChecks
from flintridge.upstream.idle_timeout import MIN_IDLE_MS
from flintridge.upstream.long_value_delivery import LongValueDelivery
from flintridge.upstream.progress import Progress

ReportEnd = Callable[[UpstreamAttempt, AttemptResult], None]
StartStream = Callable[[UpstreamAttempt, StreamedValue], StreamedResponse | None]


def _stream_nothing(_attempt: UpstreamAttempt, _value: StreamedValue) -> StreamedResponse | None:
    """Default: no client waits for a long value."""
    return None


def _never() -> float:
    """Default: no response has to begin before its client's time ends."""
    return math.inf


def _is_malformed(result: AttemptResult | None) -> bool:
    """Whether the exchange ended with a malformed response, so that its value must not be used."""
    return result is not None and result.response is None and result.malformed


class Dispatcher:
    """Runs the attempts and health checks of a node, each as a task.

    Attributes:
        pool: The connections to servers.
        value_memory: Memory for values that are received, a part of the process's memory for its clients.
        connection_memory: Memory for connections to servers, another part of it.
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
        value_memory_bytes: int = sys.maxsize,
        process_memory: MemoryBudget | None = None,
        respond_by: Callable[[], float] = _never,
    ) -> None:
        """Create a dispatcher in the running event loop.

        Args:
            endpoints: Addresses of the servers.
            settings: The service's settings.
            clock: The node's clock.
            max_connections: Maximum number of open connections to servers.
            report_end: Called once for each attempt, as the last step of its task.
            log: The node's log.
            counters: The node's counters.
            start_stream: Called when the response with a long value may begin, which ends the attempt.
                Returns where to write the value, or None if the client no longer waits for it.
            value_memory_bytes: Memory for values that are received.
            process_memory: Memory for everything that the process holds for its clients; None: no limit.
            respond_by: Returns the instant by which every response has to begin, whatever its client waits.
        """
        process_memory = process_memory or unlimited_memory(clock)
        self.connection_memory = MemoryBudget(process_memory.total // 2, clock, process_memory)
        self.pool = ConnectionPool(
            max_connections, to_ms(settings.limits.conn_idle_ns), clock, counters, self.connection_memory
        )
        connect_timeout_ms = to_ms(settings.limits.connect_timeout_ns)
        self._health_checks = HealthChecks(self.pool, endpoints, connect_timeout_ms, clock, log)
        self._connector = Connector(self.pool, clock, counters)
        self._endpoints = endpoints
        self._connect_timeout_ms = connect_timeout_ms
        self._clock = clock
        self._report_end = report_end
        self._log = log
        self._counters = counters
        self._start_stream = start_stream
        self.value_memory = MemoryBudget(value_memory_bytes, clock, process_memory)
        self._delivery_services = DeliveryServices(
            clock, respond_by, self.value_memory, process_memory, log, counters
        )
        self._tasks: dict[asyncio.Task[None], None] = {}  # an ordered set

    def start(self, attempt: UpstreamAttempt) -> None:
        """Start an attempt. Its end is always reported."""
        task = self._start_task(self._run_attempt(attempt))
        attempt.abort = task.cancel

    def check_health(self, server: str, done: Callable[[AttemptResult], None]) -> None:
        """Request a load report from a server; `done` is called once, unless the dispatcher closes first."""
        self._start_task(self._health_checks.run(server, done))

    def close_idle_connections(self, server: str) -> None:
        """Close the connections to a server that carry no attempt."""
        self.pool.close_idle(server)

    async def close(self) -> None:
        """Cancel all attempts, report their ends, and close all connections."""
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
        progress = Progress()
        try:
            await self._perform(attempt, progress)
        except DeadlineExceededError:
            if progress.request_written:
                progress.result = AttemptResult(Outcome.TIMEOUT)
            elif progress.connection is not None:
                self._record_unwritten(attempt, progress, progress.connection)
        except AttemptWithdrawnError as error:
            self._record_withdrawn(attempt, error.reason)
            progress.result = AttemptResult(Outcome.WITHDRAWN)
            self._release_unused(attempt.server, progress)
        except LocalFailureError as error:
            self._record_local_failure(attempt, error.__cause__)
            progress.result = AttemptResult(Outcome.WITHDRAWN)
        except OSError as error:
            # The connection's reader keeps the error; its traceback's frames would keep the value in memory.
            error.with_traceback(None)
            self._record_connection_failure(attempt, progress, error)
        except asyncio.CancelledError:
            progress.result = AttemptResult(Outcome.CANCELLED)
        except Exception as error:
            self._log.error("attempt_internal_error", error, server=attempt.server)
            progress.result = AttemptResult(Outcome.ERROR)
        finally:
            if progress.connection is not None:
                self.pool.close_connection(progress.connection)
        self._report_end(attempt, progress.result)

    async def _perform(self, attempt: UpstreamAttempt, progress: Progress) -> None:
        """Run an attempt, and record in `progress` how far it got.

        Raises:
            DeadlineExceededError: A deadline of the attempt or the connection timeout has passed.
            AttemptWithdrawnError: A precondition of the attempt no longer holds.
            LocalFailureError: The local machine could not open a connection.
            OSError: The connection failed or was refused.
        """
        endpoint = self._endpoints[attempt.server]
        connection = await self._connector.connect(attempt, endpoint.address, self._connect_timeout_ms)
        progress.connection = connection
        exchange = self._exchange(attempt, endpoint)
        # Establishing the connection may have taken long, so the attempt's preconditions are checked again.
        # Under load the event loop may also not have processed the client's disconnect yet.
        check = partial(self._check_may_begin, attempt, endpoint)
        performing = connection.perform(exchange, self._clock, attempt.written_by, check)
        result = await with_timeout(self._clock, attempt.deadline - self._clock.now(), performing)
        if result is None and exchange.streamed_value is None:
            result = await self._receive_unreserved_body(attempt, exchange, progress)
        self.pool.idle_timeout.record_reuse(self._clock.now(), connection.idle_before_use_ms, lost=False)
        value = exchange.streamed_value
        if value is None or _is_malformed(result):
            assert result is not None
            progress.result = result
        else:
            await self._deliver_value(attempt, exchange, progress, result)
        self._release_if_reusable(attempt, exchange, progress)

    def _check_may_begin(self, attempt: UpstreamAttempt, endpoint: EndpointAddress) -> None:
        """Check that an attempt may begin, and that its server still wants requests at this address.

        A drain counts as notified when discovery has written it, which a busy node learns later. The grace
        that is left then is not known, so it is not used. The address guards against sending a request to
        another server that has come up at the address of one that left.

        Raises:
            AttemptWithdrawnError: It may not.
        """
        check_may_begin(attempt, self._clock)
        try:
            is_same = self._endpoints[attempt.server] == endpoint
        except EndpointNotListedError:
            is_same = False
        if not is_same:
            raise AttemptWithdrawnError(WithdrawalReason.SERVER_NOT_LISTED)
        if not self._endpoints.is_in_service(attempt.server):
            raise AttemptWithdrawnError(WithdrawalReason.SERVER_DRAINING)

    async def _receive_unreserved_body(
        self, attempt: UpstreamAttempt, exchange: Exchange, progress: Progress
    ) -> AttemptResult:
        """Receive a body whose length is unknown, or that is no value, once memory is reserved for it.

        Raises:
            DeadlineExceededError: The attempt's deadline has passed.
            OSError: The connection failed.
        """
        assert progress.connection is not None
        time_left_ms = attempt.deadline - self._clock.now()
        body_bytes = exchange.unreserved_body_bytes
        if not await self.value_memory.reserve(body_bytes, time_left_ms):
            raise DeadlineExceededError
        try:
            receiving = progress.connection.receive_rest(exchange)
            return await with_timeout(self._clock, attempt.deadline - self._clock.now(), receiving)
        finally:
            self.value_memory.release(body_bytes)

    async def _deliver_value(
        self, attempt: UpstreamAttempt, exchange: Exchange, progress: Progress, result: AttemptResult | None
    ) -> None:
        """Deliver the value that has begun, and record the attempt's result in `progress`.

        A value that is not long and was received whole is the response of the result.

        Args:
            attempt: The attempt that the value answers.
            exchange: The exchange, whose `streamed_value` has begun.
            progress: The attempt's progress.
            result: The result of the exchange if it is complete already; None otherwise.

        Raises:
            DeadlineExceededError: The value has to be complete before its response begins, and is late.
            OSError: The connection failed before the response began.
        """
        value = exchange.streamed_value
        connection = progress.connection
        assert value is not None
        assert connection is not None
        with LongValueDelivery(attempt, exchange, connection, result, self._delivery_services) as delivery:
            progress.result = await delivery.receive()
            if progress.result.outcome is not Outcome.OK:
                return
            # The client may read slowly, while the connection can carry other attempts.
            self._release_if_reusable(attempt, exchange, progress)
            whole = delivery.take_short_value()
            if whole is not None:
                progress.result = replace(progress.result, response=Response(whole, receipt=False))
                return
            response = self._start_stream(attempt, value)
            if response is not None:
                await delivery.forward(response)

    def _release_if_reusable(self, attempt: UpstreamAttempt, exchange: Exchange, progress: Progress) -> None:
        if exchange.reusable and progress.connection is not None:
            progress.release(attempt.server, self.pool, exchange.names_request)

    def _exchange(self, attempt: UpstreamAttempt, endpoint: EndpointAddress) -> Exchange:
        remaining_ms = attempt.deadline - self._clock.now()
        if endpoint.origin:
            return OriginExchange(attempt.request, endpoint.host_header, remaining_ms)
        return CacheExchange(attempt.request, remaining_ms)

    def _release_unused(self, server: str, progress: Progress) -> None:
        """Release the connection of a withdrawn attempt, unless bytes of it are in the write buffer."""
        connection = progress.connection
        if connection is not None and not connection.writer.transport.get_write_buffer_size():
            progress.release(server, self.pool)

    def _record_unwritten(
        self, attempt: UpstreamAttempt, progress: Progress, connection: UpstreamConnection
    ) -> None:
        """Record an attempt whose request was not written completely in time."""
        if not connection.request_begun:
            progress.result = AttemptResult(Outcome.WITHDRAWN)  # the local kernel accepted no byte of it
            return
        progress.result = AttemptResult(Outcome.CONNECT_FAILED, partly_written=True)
        self._counters.add("attempts_not_read")
        self._log.event(
            "request_not_read", server=attempt.server, id=attempt.id, unwritten=connection.unwritten_bytes
        )

    def _record_withdrawn(self, attempt: UpstreamAttempt, reason: WithdrawalReason) -> None:
        """Count and log an attempt that was not written."""
        self._counters.add("attempts_expired_unsent")
        self._counters.add(f"attempts_withdrawn_{reason.value}")
        self._log.event(
            "attempt_withdrawn",
            server=attempt.server,
            id=attempt.id,
            reason=reason.value,
            waited_ms=round(self._clock.now() - attempt.sent_at),
        )

    def _record_local_failure(self, attempt: UpstreamAttempt, error: BaseException | None) -> None:
        """Count and log that the local machine could not send an attempt."""
        assert isinstance(error, OSError)
        limit_reached = isinstance(error, ConnectionLimitError)
        self._counters.add("attempts_no_descriptor" if limit_reached else "attempts_failed_locally")
        self._log.event(
            "attempt_failed_locally", server=attempt.server, id=attempt.id, error=describe_errno(error)
        )

    def _record_connection_failure(
        self, attempt: UpstreamAttempt, progress: Progress, error: OSError
    ) -> None:
        connection = progress.connection
        if connection is None:
            return
        if not connection.request_written:
            self._record_failure_before_written(attempt, progress, connection, error)
            return
        # An idle connection that ends without a byte when it is reused had already been closed before.
        lost = connection.nothing_received and connection.idle_before_use_ms >= MIN_IDLE_MS
        progress.result = AttemptResult(Outcome.RESET, malformed=lost)
        self.pool.idle_timeout.record_reuse(self._clock.now(), connection.idle_before_use_ms, lost)

    def _record_failure_before_written(
        self, attempt: UpstreamAttempt, progress: Progress, connection: UpstreamConnection, error: OSError
    ) -> None:
        if connection.request_begun:
            return
        # The stream only raises "connection lost"; the reader has the error of the system call.
        cause = connection.reader.exception() or error
        if isinstance(cause, OSError) and is_local_failure(cause) and cause.errno != ROUTE_ERRNO:
            self._record_local_failure(attempt, cause)
            progress.result = AttemptResult(Outcome.WITHDRAWN)
        elif connection.reused:
            # The connection had failed while it was idle, which does not mean that the server is down.
            self._counters.add("attempts_on_broken_idle_connection")
            self.pool.idle_timeout.record_reuse(self._clock.now(), connection.idle_before_use_ms, lost=True)
            progress.result = AttemptResult(Outcome.WITHDRAWN)
