"""Listener for clients: a connection limit, a sweep of idle connections, and graceful shutdown."""

import asyncio
from collections.abc import Callable, Coroutine

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.encoder import (
    DRAINING_RESPONSE,
    NO_OP_RESPONSE,
    STARTING_RESPONSE,
    encode_rejection,
)
from flintridge.config.address import Address
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.eviction import EvictionOrder
from flintridge.downstream.lingering_close import abort_connection, close_lingering
from flintridge.runtime.clock import Clock, sleep
from flintridge.runtime.listener import Listener, open_listener
from flintridge.runtime.streams import TrackingReader
from flintridge.shutdown import (
    SHUTDOWN_ACCEPT_MS,
    SHUTDOWN_COMMAND_TIMEOUT_MS,
    GracefulShutdown,
    ShutdownTimes,
)
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

SWEEP_INTERVAL_MS = 250.0
# Connections beyond the limit, on the spare descriptors, that are in a lingering close at a time.
MAX_LINGERING_BEYOND_LIMIT = 4
DRAIN_FIRST_COMMAND_TIMEOUT_MS = 300.0  # of a connection that comes while others are closed

# After SIGTERM
# From SHUTDOWN_ACCEPT_MS on, for connections that wait where accept() fails. The process may be killed as
# early as 100 ms after that, where all deadlines are that short.
SHUTDOWN_ACCEPT_RETRY_MS = 50.0
SHUTDOWN_WRITE_TIMEOUT_MS = 3_000.0  # at the end, for responses that clients are still reading
SHUTDOWN_POLL_MS = 20.0
SHUTDOWN_LAST_POLL_MS = 5.0  # once all responses are due


class Downstream:
    """All client connections of a process, and their listener.

    Attributes:
        core: Takes the requests.
        settings: The node's settings.
        clock: Gives the time, in float milliseconds.
        counters: Takes the counts.
        shutdown: Says what is due at the end of the service.
        connection_limit: Of client connections at a time; what is open beyond a lowered one is evicted as
            others come.
        eviction_order: In which the connections are evicted.
        empty_parser: Of all connections that read no command any more.
        is_ready: What else has to be true before `mn` is answered.
    """

    def __init__(
        self,
        core: RequestLifecycle,
        settings: Settings,
        endpoints: EndpointList,
        clock: Clock,
        connection_limit: int,
        log: EventLog,
        counters: Counters,
        shutdown: GracefulShutdown | None = None,
    ) -> None:
        """Begin to sweep; `listen` opens the listener.

        Args:
            core: Takes the requests.
            settings: The node's settings.
            endpoints: Without a ready one, `mn` is answered no.
            clock: Gives the time, in float milliseconds.
            connection_limit: Of client connections at a time.
            log: Takes the events.
            counters: Takes the counts.
            shutdown: That of the node; None for one of its own.
        """
        self.core = core
        self.settings = settings
        self.clock = clock
        self.counters = counters
        self._shutdown_times = ShutdownTimes.of(settings)
        self.shutdown = shutdown or GracefulShutdown(self._shutdown_times)
        self.connection_limit = connection_limit
        self.eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self.empty_parser = CommandParser(settings)
        self.is_ready: Callable[[], bool] = lambda: True
        self._endpoints = endpoints
        self._log = log
        self._listener: Listener | None = None
        # A dict, not a set: it is walked in the order of arrival, and two nodes given the same do the same.
        self._connections: dict[ClientConnection, None] = {}
        self._rejected_lingering = 0
        self._evicted_lingering: dict[ClientConnection, None] = {}  # the first evicted first
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._sweep_timer = clock.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    # State

    @property
    def serving(self) -> bool:
        """Whether this process can serve: it listens, knows endpoints that are ready, and `is_ready`."""
        if self._listener is None or not self._listener.is_open:
            return False
        return self._endpoints.any_ready and self.is_ready()

    @property
    def hello_response(self) -> bytes:
        """The response to `mn`."""
        if not self.shutdown.accepts_clients:
            return DRAINING_RESPONSE
        return NO_OP_RESPONSE if self.serving else STARTING_RESPONSE

    @property
    def connection_count(self) -> int:
        """Of client connections that are open, without those that were rejected or evicted."""
        return len(self._connections)

    @property
    def reading_stopped(self) -> bool:
        """Whether connections are read no further, as the node drains."""
        return not self.shutdown.accepts_clients and self.shutdown.stops_reading(self.clock.now())

    # Connections

    async def listen(self, address: Address) -> int:
        """Open the listener, which may be shared with other processes.

        Returns:
            The port.

        Raises:
            ListenError: It can't be opened.
        """
        self._listener = await open_listener(
            self._serve_client, address, True, self.clock, self._log, self.counters
        )
        return self._listener.port

    async def _serve_client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._connections) >= self.connection_limit and not self._evict_one():
            await self._reject(reader, writer)
            return
        self.counters.add("connections_accepted")
        assert isinstance(reader, TrackingReader)
        connection = ClientConnection(self, reader, writer)
        self._connections[connection] = None
        self.eviction_order.touch(connection)
        try:
            await connection.serve()
        except Exception as error:
            self.counters.add("connection_errors")
            self._log.error("connection_failed", error)
        finally:
            self._connections.pop(connection, None)
            self.eviction_order.remove(connection)
            self._evicted_lingering.pop(connection, None)
            self._note_if_drained()

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is held until it ends; the event loop itself would forget it."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    async def _reject(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Say that the connection limit is reached, and close.

        Guards the request that is on its way: closed without a word it would be lost to its client, which
        may come again if it was rejected. Nothing of it is read, so it was never executed.
        """
        self.counters.add("connections_rejected")
        writer.writelines(encode_rejection(0.0))
        if self._rejected_lingering >= MAX_LINGERING_BEYOND_LIMIT:
            abort_connection(writer)
            return
        self._rejected_lingering += 1
        self._bound_lingering()
        try:
            await close_lingering(self.clock, reader, writer)
        finally:
            self._rejected_lingering -= 1

    def _evict_one(self) -> bool:
        """Evict the first connection in the eviction order; False where none may be."""
        connection = self.eviction_order.first_evictable()
        if connection is None:
            return False
        self.counters.add("connections_evicted")
        self._connections.pop(connection, None)
        self._evicted_lingering[connection] = None
        connection.evict()
        self.eviction_order.remove(connection)
        self._bound_lingering()
        return True

    def _bound_lingering(self) -> None:
        """Abort evicted connections beyond MAX_LINGERING_BEYOND_LIMIT.

        Guards the spare descriptors: what was evicted yields to what was rejected and may be asking.
        """
        while self._evicted_lingering:
            if self._rejected_lingering + len(self._evicted_lingering) <= MAX_LINGERING_BEYOND_LIMIT:
                return
            first = next(iter(self._evicted_lingering))
            del self._evicted_lingering[first]
            first.abort()

    def _sweep(self) -> None:
        now = self.clock.now()
        self._sweep_timer = self.clock.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
        for connection in list(self._connections):
            if connection.blocked:
                connection.check_disconnected()
            connection.close_if_timed_out(now)
            self.close_if_draining(connection)
        self._note_if_drained()

    # Drain

    def close_if_draining(self, connection: ClientConnection) -> None:
        """If the node drains, close a connection between requests, or whose first command does not come."""
        if self.shutdown.accepts_clients or not connection.idle:
            return
        now = self.clock.now()
        if not self.shutdown.closes_idle_connections(now):
            return
        if connection.has_sent_command:
            connection.close()
        elif now - connection.last_used_at >= DRAIN_FIRST_COMMAND_TIMEOUT_MS:
            connection.evict()

    def redirect_new_connections(self, position: int) -> bool:
        """Have the kernel give new connections to another process of this node.

        Args:
            position: Of that process's listener, counted from 0 in the order in which they were opened.

        Returns:
            Whether the kernel does so.
        """
        if self._listener is None or not self._listener.is_open:
            return False
        return self._listener.divert_to(position)

    def start_drain(self) -> None:
        """The end of the service was asked for: schedule what falls due."""
        for due_at in self.shutdown.deadlines(self.clock.now()):
            self.clock.call_at(due_at, self._advance_drain)

    def cancel_drain(self) -> None:
        """The service goes on after all: what was read no further is read on."""
        for connection in list(self._connections):
            connection.resume_reading()

    def _advance_drain(self) -> None:
        for connection in list(self._connections):
            if self.reading_stopped:
                connection.stop_reading()
            self.close_if_draining(connection)
        self._note_if_drained()

    def _note_if_drained(self) -> None:
        if not self._connections and self.shutdown.connections_closed(self.clock.now()):
            self._log.event("drained")

    # The end of the process

    async def leave(self) -> None:
        """After SIGTERM: serve on for a while, then close each connection between requests; answer all."""
        told_at = self.clock.now()
        self.shutdown.terminate(told_at)
        # What comes last must have its response before the process may be killed.
        self.core.respond_all_by(told_at + self._shutdown_times.last_response_ms)
        self.start_drain()
        await sleep(self.clock, SHUTDOWN_ACCEPT_MS)
        if self._listener is not None:
            self._listener.close(SHUTDOWN_ACCEPT_RETRY_MS)
        await self._wait_for_responses(told_at)
        until = self.clock.now() + SHUTDOWN_WRITE_TIMEOUT_MS
        while (self._connections or self._evicted_lingering) and self.clock.now() < until:
            await sleep(self.clock, SHUTDOWN_POLL_MS)

    async def _wait_for_responses(self, told_at: float) -> None:
        """Wait until all that was taken in is answered and every connection closes.

        Each request's own deadline bounds this, and so does the instant at which all responses are due.
        """
        last_command_at = told_at + SHUTDOWN_COMMAND_TIMEOUT_MS
        last_response_at = told_at + self._shutdown_times.last_response_ms
        while True:
            # Again each time: a connection that came meanwhile and stays unused must not take a request
            # that this program would end upon.
            self._advance_drain()
            now = self.clock.now()
            # Guards those that were accepted last: their first request is on its way, or half here.
            if now >= last_response_at or (now >= last_command_at and self._all_responded()):
                for connection in list(self._connections):
                    connection.end()
            if self._all_responded() and not self._requests_may_come():
                return
            due_at = [at for at in (last_command_at, last_response_at) if at > now]
            pause_ms = SHUTDOWN_POLL_MS if due_at else SHUTDOWN_LAST_POLL_MS
            await sleep(self.clock, min([pause_ms, *(at - now for at in due_at)]))

    def _all_responded(self) -> bool:
        return self.core.idle and not any(
            connection.has_pending for connection in self._connections if not connection.closing
        )

    def _requests_may_come(self) -> bool:
        if self._listener is not None and self._listener.has_handovers:
            return True
        return any(not connection.closing for connection in self._connections)

    def close(self) -> None:
        """Close the listener and every connection, at once; what was answered is still written out."""
        self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        for connection in [*self._connections, *self._evicted_lingering]:
            connection.abort()
