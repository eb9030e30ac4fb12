"""Forwards long values from servers to clients, no faster than the client reads."""

from flintridge.api import Outcome
from flintridge.core.exchange import Exchange
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult, DownstreamClosedError, StreamedResponse, StreamedValue
from flintridge.runtime.clock import Clock, DeadlineExceededError, with_timeout
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog
from flintridge.upstream.connection import UpstreamConnection

# A server that sends nothing for this long within a long value is considered failed.
SERVER_STALL_MS = 10_000.0


class ValueForwarder:
    """Forwards the long values of a node's attempts."""

    def __init__(self, clock: Clock, log: EventLog, counters: Counters) -> None:
        self._clock = clock
        self._log = log
        self._counters = counters

    async def forward(
        self,
        attempt: UpstreamAttempt,
        exchange: Exchange,
        connection: UpstreamConnection,
        result: AttemptResult | None,
        response: StreamedResponse,
    ) -> None:
        """Forward the value of `exchange` in chunks until it is complete or fails.

        Args:
            attempt: The attempt that the value answers.
            exchange: The exchange, whose `streamed_value` has begun.
            connection: The connection of the exchange.
            result: The result of the exchange if it is complete already; None otherwise.
            response: The response to the client; its `end` or `abort` is called.
        """
        value = exchange.streamed_value
        assert value is not None
        complete = False
        try:
            result = await self._forward_chunks(value, exchange, connection, result, response)
            complete = result.outcome is Outcome.OK
        except DownstreamClosedError:
            self._counters.add("streams_client_closed")
        except (OSError, DeadlineExceededError) as error:
            self._counters.add("streams_broken")
            self._log.event("stream_broken", server=attempt.server, id=attempt.id, error=repr(error))
        finally:
            if complete:
                response.end()
            else:
                response.abort()

    async def _forward_chunks(
        self,
        value: StreamedValue,
        exchange: Exchange,
        connection: UpstreamConnection,
        result: AttemptResult | None,
        response: StreamedResponse,
    ) -> AttemptResult:
        """Forward all chunks and return the result of the exchange after all of them are written."""
        while True:
            await response.wait_writable()
            response.write(value.take_chunks())
            if result is not None:
                return result
            result = await with_timeout(self._clock, SERVER_STALL_MS, connection.receive(exchange))
