"""Listener of the admin API.

The API has its own small connection limit. Neither a large number of clients nor callers that send nothing
can make it unreachable.
"""

import asyncio
from functools import partial

from flintridge.config.node_config import ADMIN_CONNECTIONS_MAX
from flintridge.core.admin_routes import AdminResponse, Routes
from flintridge.downstream.admin_exchange import REQUEST_TIMEOUT, SERVICE_UNAVAILABLE, AdminExchange
from flintridge.downstream.lingering_close import close_lingering
from flintridge.downstream.listening_service import ListeningService
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.runtime.hold_ups import HoldUpMonitor
from flintridge.runtime.streams import TrackingReader, peer_has_closed
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

CALL_TIMEOUT_MS = 3_000.0  # time limit for a call to arrive completely
READ_BYTES = 4096
# A call that may change something is not executed if it may have waited for longer, as its caller may have
# given it up and called another node.
MAX_CALL_AGE_MS = 1_000.0


class AdminApi(ListeningService):
    """Serves the operators' HTTP calls, one per connection."""

    def __init__(
        self,
        routes: Routes,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        connection_limit: int = ADMIN_CONNECTIONS_MAX,
    ) -> None:
        """Prepare the API; `listen` opens the listener.

        Args:
            routes: The handler of each path and method.
            clock: The node's clock, in float milliseconds.
            log: The node's event log.
            counters: The node's counters.
            connection_limit: The maximum number of open connections.
        """
        super().__init__(clock, log, counters, shared=False)
        self._routes = routes
        self._connection_limit = connection_limit
        # The task of each open connection, in the order of arrival.
        self._callers: dict[asyncio.StreamWriter, asyncio.Task[None] | None] = {}
        self._hold_ups = HoldUpMonitor(clock)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._callers) >= self._connection_limit:
            # Guards callers against connections that send no complete call. Complete calls get a response
            # immediately, so the oldest connection has not sent one.
            oldest = next(iter(self._callers))
            self.counters.add("admin_api_evictions")
            self._abort(oldest)
        self._callers[writer] = asyncio.current_task()
        self.counters.add("admin_api_calls")
        try:
            await self._exchange(reader, writer)
        except OSError:
            pass  # the caller reset the connection
        except asyncio.CancelledError:
            if writer in self._callers:
                raise  # otherwise `_abort` cancelled this task, which no other task awaits
        except Exception as error:
            self.counters.add("admin_api_errors")
            self.log.error("admin_api_failed", error)
        finally:
            self._callers.pop(writer, None)
            writer.close()

    async def _exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        exchange = AdminExchange(self._routes, partial(self._check_caller, reader, writer))
        try:
            buffers = await with_timeout(self.clock, CALL_TIMEOUT_MS, self._read_call(exchange, reader))
        except DeadlineExceededError:
            self.counters.add("admin_api_timeouts")
            buffers = exchange.time_out()
        if buffers is not None:
            writer.writelines(buffers)
            await close_lingering(self.clock, reader, writer)

    async def _read_call(self, exchange: AdminExchange, reader: asyncio.StreamReader) -> list[bytes] | None:
        """Read a call and return its response's buffers; None if the caller closes too early."""
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                return None
            buffers = exchange.feed(data)
            if buffers is not None:
                return buffers

    def _check_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> AdminResponse | None:
        """Return the response to a call whose caller may no longer wait for it; None if it may be executed.

        Guards against a change that its caller has given up, and that would undo what was done elsewhere
        meanwhile.
        """
        if peer_has_closed(writer.transport):
            self.counters.add("admin_api_calls_abandoned")
            self.log.event("admin_call_not_executed", reason="caller_left")
            return AdminResponse(REQUEST_TIMEOUT, {"error": "not executed: the caller has closed its side"})
        waited_ms = self._longest_wait_ms(reader)
        if waited_ms <= MAX_CALL_AGE_MS:
            return None
        self.counters.add("admin_api_calls_too_old")
        self.log.event("admin_call_not_executed", reason="held_up", waited_ms=round(waited_ms))
        error = f"not executed: the call may have waited for {waited_ms:.0f} ms; call again"
        return AdminResponse(SERVICE_UNAVAILABLE, {"error": error})

    def _longest_wait_ms(self, reader: asyncio.StreamReader) -> float:
        """Return how long a call may have waited in the kernel, in milliseconds."""
        queued_since = reader.queued_since if isinstance(reader, TrackingReader) else None
        queued_ms = 0.0 if queued_since is None else self.clock.now() - queued_since
        return max(queued_ms, self._hold_ups.recent_hold_up_ms())

    def _abort(self, writer: asyncio.StreamWriter) -> None:
        task = self._callers.pop(writer)
        if task is not None:
            task.cancel()
        writer.close()

    def close(self) -> None:
        """Close the listener and every connection immediately."""
        self._hold_ups.close()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._callers):
            self._abort(writer)
