"""Pools of the client machines' connections to nodes.

The most recently used connection is taken first, a new one is opened when all are busy, and connections that
are idle for too long are closed.
"""

import asyncio
import itertools
from collections.abc import Callable, Coroutine
from typing import Any

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.connection import ClientConnection, ResponseHandler
from flintridge.lab.load.responses import Response, response_record
from flintridge.lab.record_log import RecordLog

IDLE_CHECK_INTERVAL_MS = 500.0


class ConnectionPool:
    """Connections from one client machine to one node."""

    def __init__(self, pools: "ConnectionPools", machine: str, node: str) -> None:
        self._pools = pools
        self._machine = machine
        self._node = node
        self._idle: list[ClientConnection] = []  # in the order of their last use
        self._open: dict[ClientConnection, None] = {}

    def take(self) -> ClientConnection | None:
        """Return a connection that can be written to now; None if one must be opened."""
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
        if self._pools.max_pipelined > 1:
            for connection in reversed(self._open):
                if self._may_pipeline(connection):
                    return connection
        return None

    def open(self, handler: ResponseHandler, timeout_ms: float, is_single_use: bool) -> None:
        """Open a connection in the background; `handler` is notified of the result."""
        self._pools.start(self._connect(handler, timeout_ms, is_single_use))

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has been opened."""
        connection.number = self._pools.next_number()
        connection.node_deaths = self.node_deaths()
        self._open[connection] = None

    def release(self, connection: ClientConnection) -> None:
        """Keep an idle connection for further requests, unless it is for a single use."""
        if not connection.is_single_use:
            connection.idle_since_ms = self._pools.fabric.clock.now()
            self._idle.append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._open.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)

    def abandon_later(self, connection: ClientConnection, delay_ms: float) -> None:
        """Abandon a connection after a delay."""
        self._pools.fabric.clock.call_later(delay_ms, connection.abandon)

    def close_idle(self, before_ms: float) -> None:
        """Close idle connections that were last used before this time."""
        while self._idle and self._idle[0].idle_since_ms < before_ms:
            self._idle[0].abandon()

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.abandon()

    def node_deaths(self) -> int:
        """Return how often the node has died so far."""
        return self._pools.node_deaths(self._node)

    def log_response(self, request_id: str, response: Response) -> None:
        """Record a response that no request is waiting for."""
        now_ms = self._pools.fabric.clock.now()
        self._pools.log.add(response_record(now_ms, self._node, request_id, response))

    def _may_pipeline(self, connection: ClientConnection) -> bool:
        if not connection.is_usable or connection.is_single_use:
            return False
        return 0 < len(connection.pending) < self._pools.max_pipelined

    async def _connect(self, handler: ResponseHandler, timeout_ms: float, is_single_use: bool) -> None:
        connection = ClientConnection(self, is_single_use)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await self._pools.fabric.connect(self._machine, self._node, lambda: connection)
        except TimeoutError:
            connection.abandon()
            handler.on_connect_failed("no connection in time")
        except OSError as error:
            handler.on_connect_failed(f"no connection: {type(error).__name__}")
        else:
            if connection.is_usable:
                handler.on_connected(connection)
            else:
                handler.on_connect_failed("closed before anything was sent")


class ConnectionPools:
    """The pools of all client machines, by machine and node.

    Attributes:
        fabric: Opens the connections.
        log: Receives the records of responses that no request is waiting for.
        node_deaths: Returns how often a node has died so far.
        max_pipelined: The most requests that may be in flight on one connection.
    """

    def __init__(
        self,
        fabric: Fabric,
        log: RecordLog,
        node_deaths: Callable[[str], int],
        max_pipelined: int,
        max_idle_ms: float,
    ) -> None:
        self.fabric = fabric
        self.log = log
        self.node_deaths = node_deaths
        self.max_pipelined = max_pipelined
        self._max_idle_ms = max_idle_ms
        self._pools: dict[tuple[str, str], ConnectionPool] = {}
        self._numbers = itertools.count(1)
        self._tasks: dict[asyncio.Task[None], None] = {}
        self._timer: asyncio.TimerHandle | None = None

    def of(self, machine: str, node: str) -> ConnectionPool:
        """Return the pool of a client machine for a node, created on first use."""
        pool = self._pools.get((machine, node))
        if pool is None:
            pool = ConnectionPool(self, machine, node)
            self._pools[machine, node] = pool
        return pool

    def next_number(self) -> int:
        """Return the number of the next connection."""
        return next(self._numbers)

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background, at most until `close`."""
        task = asyncio.ensure_future(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def close_idle(self) -> None:
        """Close connections that have been idle for too long, now and at regular intervals."""
        clock = self.fabric.clock
        before_ms = clock.now() - self._max_idle_ms
        for pool in self._pools.values():
            pool.close_idle(before_ms)
        self._timer = clock.call_later(IDLE_CHECK_INTERVAL_MS, self.close_idle)

    async def close(self) -> None:
        """Stop opening connections, and close all of them."""
        if self._timer is not None:
            self._timer.cancel()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for pool in self._pools.values():
            pool.close()
