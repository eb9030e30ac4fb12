"""Listener for clients: their connections, a sweep of idle ones, and graceful shutdown."""

import asyncio
from collections.abc import Callable, Coroutine

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.encoder import DRAINING_RESPONSE, NO_OP_RESPONSE, STARTING_RESPONSE
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.connection import ClientConnection
from flintridge.downstream.listening_service import ListeningService
from flintridge.downstream.open_connections import OpenConnections
from flintridge.downstream.termination import Termination
from flintridge.runtime.clock import Clock
from flintridge.runtime.streams import TrackingReader
from flintridge.shutdown import GracefulShutdown, ShutdownTimes
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

SWEEP_INTERVAL_MS = 250.0
DRAIN_FIRST_COMMAND_TIMEOUT_MS = 300.0  # of a connection that comes while others are closed


class Downstream(ListeningService):
    """All client connections of a process, and their listener.

    Attributes:
        core: Takes the requests.
        settings: The node's settings.
        shutdown: Says what is due at the end of the service.
        connections: Those of clients that are open.
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
        super().__init__(clock, log, counters, shared=True)
        self.core = core
        self.settings = settings
        self._shutdown_times = ShutdownTimes.of(settings)
        self.shutdown = shutdown or GracefulShutdown(self._shutdown_times)
        self.connections = OpenConnections(connection_limit, clock, counters)
        self.eviction_order = self.connections.eviction_order
        self.empty_parser = CommandParser(settings)
        self.is_ready: Callable[[], bool] = lambda: True
        self._endpoints = endpoints
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
        return len(self.connections)

    @property
    def reading_stopped(self) -> bool:
        """Whether connections are read no further, as the node drains."""
        return not self.shutdown.accepts_clients and self.shutdown.stops_reading(self.clock.now())

    # Connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.connections.ensure_capacity():
            await self.connections.reject(reader, writer)
            return
        self.counters.add("connections_accepted")
        assert isinstance(reader, TrackingReader)
        connection = ClientConnection(self, reader, writer)
        self.connections.add(connection)
        try:
            await connection.serve()
        except Exception as error:
            self.counters.add("connection_errors")
            self._log.error("connection_failed", error)
        finally:
            self.connections.remove(connection)
            self._note_if_drained()

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is held until it ends; the event loop itself would forget it."""
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(self._tasks.pop)

    def _sweep(self) -> None:
        now = self.clock.now()
        self._sweep_timer = self.clock.call_at(now + SWEEP_INTERVAL_MS, self._sweep)
        for connection in self.connections:
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
        for connection in self.connections:
            connection.resume_reading()

    def _advance_drain(self) -> None:
        for connection in self.connections:
            if self.reading_stopped:
                connection.stop_reading()
            self.close_if_draining(connection)
        self._note_if_drained()

    def _note_if_drained(self) -> None:
        if not self.connections and self.shutdown.connections_closed(self.clock.now()):
            self._log.event("drained")

    # The end of the process

    async def leave(self) -> None:
        """After SIGTERM: serve on for a while, then close each connection between requests."""
        now = self.clock.now()
        self.shutdown.terminate(now)
        termination = Termination(
            self.core,
            self.connections,
            self._listener,
            self._shutdown_times,
            self.clock,
            now,
            self._advance_drain,
        )
        self.start_drain()
        await termination.run()

    def close(self) -> None:
        """Close the listener and every connection, at once; what was answered is still written out."""
        self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        self.connections.abort_all()
