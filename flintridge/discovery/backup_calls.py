"""Calls to discovery that are sent again on another connection while they have no response.

A call can remain without a response although discovery is up: its connection fell silent or never comes up.
Giving it up early would be wrong, because a call to a discovery with many callers waits for its turn. So it
stays in flight, and the first response counts, also one that is overdue.
"""

import asyncio
from collections.abc import Callable

import h11

from flintridge.discovery.call import DiscoveryCall
from flintridge.discovery.client import DiscoveryClient, DiscoveryResponse
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, with_timeout
from flintridge.telemetry.counters import Counters

CALL_ERRORS = (OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError)
Accept = Callable[[DiscoveryResponse], object]


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
        self._call: _BackedUpCall | None = None

    @property
    def is_overdue(self) -> bool:
        """Whether a call is in flight whose response is overdue on all of its connections."""
        return self._call is not None and self._call.is_overdue

    @property
    def has_overdue_response(self) -> bool:
        """Whether a call is in flight whose response is overdue on any of its connections."""
        return self._call is not None and self._call.has_overdue_response

    @property
    def is_receiving(self) -> bool:
        """Whether a call is in flight of whose response a part has arrived."""
        return self._call is not None and self._call.is_receiving

    async def get(
        self, call: DiscoveryCall, accept: Accept, on_overdue: Callable[[], None] | None = None
    ) -> None:
        """Send a call, and pass the first response to `accept`.

        Args:
            call: The call.
            accept: Called once, as soon as the response is complete. An error that it raises fails the call.
            on_overdue: Called at most once, when the response is overdue on all connections; the call stays
                in flight. None: the call fails then.

        Raises:
            OSError, ValueError, DeadlineExceededError, h11.RemoteProtocolError: The call and all of its
                backups failed; this is the error of the last one.
        """
        self._call = _BackedUpCall(self, call, accept, on_overdue)
        try:
            await self._call.run()
        finally:
            self._call = None

    def close(self) -> None:
        """Close the connection."""
        self.client.close()


class _Attempt:
    """A call on one connection: how far its response has come, and whether it is overdue."""

    def __init__(
        self, client: DiscoveryClient, call: DiscoveryCall, clock: Clock, on_overdue: Callable[[], None]
    ) -> None:
        self.client = client
        self.has_begun = False  # whether any byte of the response has arrived
        self.is_overdue = False
        self._call = call
        self._clock = clock
        self._on_overdue = on_overdue
        self._started_at = clock.now()
        self._timer = clock.call_at(self._started_at + call.first_byte_ms, self._set_overdue)

    def record_progress(self) -> None:
        """Record that bytes of the response have arrived."""
        self.has_begun = True
        if self.is_overdue:
            return
        self._timer.cancel()
        stalled_at = self._clock.now() + self._call.stall_ms
        overdue_at = min(stalled_at, self._started_at + self._call.response_ms)
        self._timer = self._clock.call_at(overdue_at, self._set_overdue)

    def end(self) -> None:
        """Record that the response is complete, or that the attempt failed or was cancelled."""
        self._timer.cancel()

    def _set_overdue(self) -> None:
        self.is_overdue = True
        self._on_overdue()


class _BackedUpCall:
    """One call with its backups, each in a task of its own."""

    def __init__(
        self,
        caller: BackedUpCaller,
        call: DiscoveryCall,
        accept: Accept,
        on_overdue: Callable[[], None] | None,
    ) -> None:
        self.is_overdue = False
        self._caller = caller
        self._call = call
        self._accept = accept
        self._on_overdue = on_overdue
        self._delays_ms = list(call.backup_delays_ms)
        self._in_flight: dict[asyncio.Task[None], _Attempt] = {}
        self._timer: Timer | None = None
        self._ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def has_overdue_response(self) -> bool:
        return any(attempt.is_overdue for attempt in self._in_flight.values())

    @property
    def is_receiving(self) -> bool:
        return any(attempt.has_begun for attempt in self._in_flight.values())

    async def run(self) -> None:
        self._send(self._caller.client)
        try:
            await self._ended
        finally:
            if self._timer is not None:
                self._timer.cancel()
            for task, attempt in self._in_flight.items():
                task.cancel()
                attempt.end()
                if attempt.client is not self._caller.client:
                    attempt.client.close()

    def _send(self, client: DiscoveryClient) -> None:
        clock = self._caller.clock
        attempt = _Attempt(client, self._call, clock, self._check_overdue)
        task = asyncio.create_task(self._perform(attempt), name="discovery call")
        self._in_flight[task] = attempt
        if self._delays_ms:
            self._timer = clock.call_at(clock.now() + self._delays_ms.pop(0), self._send_backup)
        else:
            self._timer = None

    def _send_backup(self) -> None:
        self._caller.counters.add("endpoint_list_backup_calls")
        self._send(self._caller.open_client())

    async def _perform(self, attempt: _Attempt) -> None:
        """Perform the call on one connection.

        The response is accepted in this task: a busy event loop would take several iterations more until the
        caller's task runs.
        """
        client = attempt.client
        getting = client.get(self._call.target, attempt.record_progress)
        try:
            response = await with_timeout(self._caller.clock, self._call.give_up_ms, getting)
            if not self._ended.done():  # also if the caller's task was cancelled just now
                self._accept(response)
                self._use(client)
                self._ended.set_result(None)
        except Exception as error:
            self._failed(attempt, error)
        finally:
            attempt.end()

    def _failed(self, attempt: _Attempt, error: Exception) -> None:
        task = asyncio.current_task()
        assert task is not None
        del self._in_flight[task]
        attempt.client.close()
        if self._in_flight:
            self._check_overdue()
        elif not self._ended.done():
            self._ended.set_exception(error)

    def _check_overdue(self) -> None:
        """Report that the response is overdue, if it is on all connections and no further one is planned."""
        if self.is_overdue or self._ended.done() or self._timer is not None:
            return
        if not all(attempt.is_overdue for attempt in self._in_flight.values()):
            return
        self.is_overdue = True
        if self._on_overdue is not None:
            self._on_overdue()
        else:
            self._ended.set_exception(DeadlineExceededError())

    def _use(self, client: DiscoveryClient) -> None:
        if client is not self._caller.client:
            self._caller.client.close()
            self._caller.client = client
