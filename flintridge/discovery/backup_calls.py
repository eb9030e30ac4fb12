"""Calls to discovery that are sent again on another connection while they have no response.

A call can remain without a response although discovery is up: its connection fell silent or never comes up.
Giving it up early would be wrong, because a call to a discovery with many callers waits for its turn. So it
stays in flight, and the first response counts.
"""

import asyncio
from collections.abc import Callable

import h11

from flintridge.discovery.call import DiscoveryCall
from flintridge.discovery.client import DiscoveryClient, DiscoveryResponse
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, with_timeout
from flintridge.telemetry.counters import Counters

CALL_ERRORS = (OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError)
Accept = Callable[[DiscoveryResponse], None]


class BackedUpCaller:
    """Sends calls on one connection, and on further ones while there is no response.

    Attributes:
        client: The connection that answered last.
        open_client: Returns a client without a connection.
        clock: The node's clock.
        counters: The node's counters.
    """

    def __init__(self, open_client: Callable[[], DiscoveryClient], clock: Clock, counters: Counters) -> None:
        """`open_client` returns a client without a connection, to the address of this caller's discovery."""
        self.client = open_client()
        self.open_client = open_client
        self.clock = clock
        self.counters = counters

    async def get(self, call: DiscoveryCall, accept: Accept) -> None:
        """Send a call, and pass the first response to `accept`.

        Args:
            call: The call.
            accept: Called once, as soon as the response is complete. An error that it raises fails the call.

        Raises:
            OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError: The call and all of its
                backups failed; this is the error of the last one.
        """
        if not call.backup_delays_ms:
            accept(await self.get_in_time(self.client, call))
            return
        await _BackedUpCall(self, call, accept).run()

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    async def get_in_time(self, client: DiscoveryClient, call: DiscoveryCall) -> DiscoveryResponse:
        """Perform a call on one connection, within the call's limits; raises the same errors as `get`."""
        started_at = self.clock.now()
        begun = await with_timeout(self.clock, call.first_byte_ms, client.begin(call.target))
        time_left_ms = started_at + call.response_ms - self.clock.now()
        return await with_timeout(self.clock, time_left_ms, client.receive(begun, call.stall_ms))


class _BackedUpCall:
    """One call with its backups, each in a task of its own."""

    def __init__(self, caller: BackedUpCaller, call: DiscoveryCall, accept: Accept) -> None:
        self._caller = caller
        self._call = call
        self._accept = accept
        self._delays_ms = list(call.backup_delays_ms)
        self._in_flight: dict[asyncio.Task[None], DiscoveryClient] = {}
        self._timer: Timer | None = None
        self._ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self) -> None:
        self._send(self._caller.client)
        try:
            await self._ended
        finally:
            if self._timer is not None:
                self._timer.cancel()
            for task, client in self._in_flight.items():
                task.cancel()
                if client is not self._caller.client:
                    client.close()

    def _send(self, client: DiscoveryClient) -> None:
        task = asyncio.create_task(self._perform(client), name="discovery call")
        self._in_flight[task] = client
        if self._delays_ms:
            clock = self._caller.clock
            self._timer = clock.call_at(clock.now() + self._delays_ms.pop(0), self._send_backup)

    def _send_backup(self) -> None:
        self._caller.counters.add("endpoint_list_backup_calls")
        self._send(self._caller.open_client())

    async def _perform(self, client: DiscoveryClient) -> None:
        """Perform the call on one connection.

        The response is accepted in this task: a busy event loop would take several iterations more until the
        caller's task runs.
        """
        try:
            response = await self._caller.get_in_time(client, self._call)
            if not self._ended.done():  # also if the caller's task was cancelled just now
                self._accept(response)
                self._use(client)
                self._ended.set_result(None)
        except Exception as error:
            self._failed(client, error)

    def _failed(self, client: DiscoveryClient, error: Exception) -> None:
        task = asyncio.current_task()
        assert task is not None
        del self._in_flight[task]
        client.close()
        if not self._in_flight and not self._ended.done():
            self._ended.set_exception(error)

    def _use(self, client: DiscoveryClient) -> None:
        if client is not self._caller.client:
            self._caller.client.close()
            self._caller.client = client
