"""Calls to discovery that are sent again on another connection while they have no response.

A call can remain without a response although discovery is up: its connection fell silent or never comes up.
Giving it up early would be wrong, because a call to a discovery with many callers waits for its turn. So it
stays in flight, and the first response counts.
"""

import asyncio
import math
from collections.abc import Callable

import h11

from flintridge.discovery.call import DiscoveryCall
from flintridge.discovery.client import DiscoveryClient, DiscoveryResponse
from flintridge.runtime.clock import Clock, DeadlineExceededError, sleep, with_timeout
from flintridge.telemetry.counters import Counters

CALL_ERRORS = (OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError)


class BackedUpCaller:
    """Sends calls on one connection, and on further ones while there is no response.

    Attributes:
        client: The connection that answered last.
    """

    def __init__(self, open_client: Callable[[], DiscoveryClient], clock: Clock, counters: Counters) -> None:
        """`open_client` returns a client without a connection, to the address of this caller's discovery."""
        self.client = open_client()
        self._open_client = open_client
        self._clock = clock
        self._counters = counters
        self._in_flight: dict[asyncio.Task[DiscoveryResponse], DiscoveryClient] = {}

    async def get(self, call: DiscoveryCall) -> DiscoveryResponse:
        """Send a call and return the first response to it.

        Raises:
            OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError: The call and all of its
                backups failed; this is the error of the last one.
        """
        if not call.backup_delays_ms:
            return await self._get_in_time(self.client, call)
        try:
            return await self._first_response(call)
        finally:
            self._abandon_all()

    async def _first_response(self, call: DiscoveryCall) -> DiscoveryResponse:
        self._send(self.client, call)
        for delay_ms in call.backup_delays_ms:
            response = await self._response_within(delay_ms)
            if response is not None:
                return response
            self._counters.add("endpoint_list_backup_calls")
            self._send(self._open_client(), call)
        response = await self._response_within(math.inf)
        assert response is not None  # the calls in flight have time limits
        return response

    async def _get_in_time(self, client: DiscoveryClient, call: DiscoveryCall) -> DiscoveryResponse:
        started_at = self._clock.now()
        begun = await with_timeout(self._clock, call.first_byte_ms, client.begin(call.target))
        time_left_ms = started_at + call.response_ms - self._clock.now()
        return await with_timeout(self._clock, time_left_ms, client.receive(begun))

    def _send(self, client: DiscoveryClient, call: DiscoveryCall) -> None:
        self._in_flight[asyncio.create_task(self._get_in_time(client, call), name="discovery call")] = client

    async def _response_within(self, ms: float) -> DiscoveryResponse | None:
        """Wait for the first response; returns None if there is none in time.

        Raises:
            OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError: All calls in flight failed.
        """
        waiting = asyncio.create_task(_sleep(self._clock, ms))
        try:
            while not waiting.done():
                await asyncio.wait([waiting, *self._in_flight], return_when=asyncio.FIRST_COMPLETED)
                response = self._take_response()
                if response is not None:
                    return response
            return None
        finally:
            waiting.cancel()

    def _take_response(self) -> DiscoveryResponse | None:
        """Return the first response, if there is one, and forget the calls that have failed.

        Raises:
            OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError: The last call in flight
                failed.
        """
        for task, client in list(self._in_flight.items()):
            if not task.done():
                continue
            del self._in_flight[task]
            error = task.exception()
            if error is None:
                self._use(client)
                return task.result()
            client.close()
            if not self._in_flight or not isinstance(error, CALL_ERRORS):
                raise error
        return None

    def _use(self, client: DiscoveryClient) -> None:
        if client is not self.client:
            self.client.close()
            self.client = client

    def _abandon_all(self) -> None:
        for task, client in self._in_flight.items():
            task.cancel()
            if client is not self.client:
                client.close()
        self._in_flight.clear()

    def close(self) -> None:
        """Close all connections."""
        self._abandon_all()
        self.client.close()


async def _sleep(clock: Clock, ms: float) -> None:
    if ms == math.inf:
        await asyncio.Event().wait()
    else:
        await sleep(clock, ms)
