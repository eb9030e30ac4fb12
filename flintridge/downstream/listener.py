"""The listener for clients: accepts connections, sweeps idle ones, and closes them during a shutdown."""

import asyncio
from collections.abc import Callable, Coroutine

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.encoder import DRAINING_RESPONSE, NO_OP_RESPONSE, STARTING_RESPONSE
from flintridge.codec.memcache.request_parser import RequestParser
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.downstream.command_turns import CommandTurns
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
# Time for the first command of a connection that is accepted while idle connections are being closed.
DRAIN_FIRST_COMMAND_TIMEOUT_MS = 300.0


class Downstream(ListeningService):
    """All client connections of a process, and their listener.

    Attributes:
        core: Executes the requests.
        settings: The node's settings.
        shutdown: The state machine that schedules the steps of a drain or termination.
        connections: The open client connections.
        eviction_order: The order in which connections are evicted.
        empty_parser: A shared parser for connections that read no more commands.
        request_parser: The parser of requests, which all connections share.
        turns: The turns of connections that have many commands.
        is_ready: A further condition of readiness; until it returns True, `mn` gets an error.
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
        """Start the periodic sweep; `listen` opens the listener.

        Args:
            core: Executes the requests.
            settings: The node's settings.
            endpoints: The known endpoints; while none of them is ready, `mn` gets an error.
            clock: The node's clock, in float milliseconds.
            connection_limit: The maximum number of open client connections.
            log: The node's event log.
            counters: The node's counters.
            shutdown: The node's shutdown state; None creates one for this listener.
        """
        super().__init__(clock, log, counters, shared=True)
        self.core = core
        self.settings = settings
        self._shutdown_times = ShutdownTimes.of(settings)
        self.shutdown = shutdown or GracefulShutdown(self._shutdown_times)
        self.connections = OpenConnections(connection_limit, core.process_memory, clock, counters)
        self.eviction_order = self.connections.eviction_order
        self.request_parser = RequestParser(settings)
        self.turns = CommandTurns()
        self.empty_parser = CommandParser(settings, self.request_parser)
        self.is_ready: Callable[[], bool] = lambda: True
        self._endpoints = endpoints
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._sweep_timer = clock.call_at(clock.now() + SWEEP_INTERVAL_MS, self._sweep)

    # State

    @property
    def serving(self) -> bool:
        """Whether this process can serve: it listens, an endpoint is ready, and `is_ready` returns True."""
        if self._listener is None or not self._listener.is_open:
            return False
        return self._endpoints.any_ready and self.is_ready()

    @property
    def no_op_response(self) -> bytes:
        """The response to a no-op command, `mn`."""
        if not self.shutdown.accepts_clients:
            return DRAINING_RESPONSE
        return NO_OP_RESPONSE if self.serving else STARTING_RESPONSE

    @property
    def connection_count(self) -> int:
        """The number of open client connections, without those that were rejected or evicted."""
        return len(self.connections)

    @property
    def reading_stopped(self) -> bool:
        """Whether no connection is read any further, because the node drains."""
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
            self.log.error("connection_failed", error)
        finally:
            self.connections.remove(connection)
            self._finish_drain_if_empty()

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task, referenced until it ends; the event loop itself references it only weakly."""
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
        self._finish_drain_if_empty()

    # Drain

    def close_if_draining(self, connection: ClientConnection) -> None:
        """Close `connection` if the node drains and the connection is idle.

        A connection that has not sent any command yet has DRAIN_FIRST_COMMAND_TIMEOUT_MS to do so.
        """
        if self.shutdown.accepts_clients or not connection.idle or connection.closing:
            return
        now = self.clock.now()
        if not self.shutdown.closes_idle_connections(now):
            return
        if connection.has_sent_command:
            self.counters.add("connections_closed_draining")
            connection.close()
        elif now - connection.last_used_at >= DRAIN_FIRST_COMMAND_TIMEOUT_MS:
            self.counters.add("connections_closed_draining")
            connection.evict()

    def redirect_new_connections(self, position: int) -> bool:
        """Have the kernel assign new connections to another process of this node.

        Args:
            position: The index of that process's listener, from 0, in the order in which the listeners were
                opened.

        Returns:
            Whether the kernel supports this; if not, nothing changes.
        """
        if self._listener is None or not self._listener.is_open:
            return False
        return self._listener.divert_to(position)

    def start_drain(self) -> None:
        """Schedule the steps of a drain that was requested."""
        for due_at in self.shutdown.deadlines(self.clock.now()):
            self.clock.call_at(due_at, self._advance_drain)

    def cancel_drain(self) -> None:
        """Cancel a drain: resume reading where it was stopped."""
        for connection in self.connections:
            connection.resume_reading()

    def _advance_drain(self) -> None:
        for connection in self.connections:
            if self.reading_stopped:
                connection.stop_reading()
            self.close_if_draining(connection)
        self._finish_drain_if_empty()

    def _finish_drain_if_empty(self) -> None:
        if not self.connections and self.shutdown.connections_closed(self.clock.now()):
            self.log.event("drained")

    # Termination

    async def leave(self) -> None:
        """Terminate after SIGTERM: keep serving for a while, then close each connection between requests."""
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
        """Close the listener and every connection immediately; written responses are still flushed."""
        self._sweep_timer.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        self.connections.abort_all()
