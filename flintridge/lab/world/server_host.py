"""Base class of cache servers and the origin on a fabric: listeners, connections, time of the model."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from flintridge.lab.fabric import Listener
from flintridge.lab.world.environment import Environment


class Connection(Protocol):
    """The part of a connection that its host needs to end it."""

    def kill(self, now: float) -> None:
        """Reset the connection with a RST at `now` (ms)."""


class ServerHost:
    """A machine that responds to nodes.

    Attributes:
        is_origin: Whether this is the origin.
        id: Id of the machine in records.
        up: Whether it listens or is about to listen.
        environment: Objects that all servers share; some of them are also attributes of the host.
        probes: Whether nodes may send health checks.
        max_connections: Number of connections that may be open at the same time.
        idle_ms: Idle time after which it closes a connection (ms).
        connections: The open connections, in the order in which they were accepted.
    """

    is_origin = False

    def __init__(
        self, server_id: str, environment: Environment, max_connections: int, idle_ms: float
    ) -> None:
        """Create a host that does not listen yet; the arguments are the attributes of the same names."""
        self.id = server_id
        self.up = False
        self.environment = environment
        self.fabric = environment.fabric
        self.clock = environment.fabric.clock
        self.log = environment.log
        self.truth = environment.truth
        self.objects = environment.objects
        self.probes = environment.scenario.limits.health_checks
        self.max_connections = max_connections
        self.idle_ms = idle_ms
        self.connections: dict[Connection, None] = {}
        self._listeners: list[Listener] = []
        self._shutdowns = 0  # number of shutdowns; `_listen` stops if it changes meanwhile
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    # Listeners

    async def _listen(self, party: str, make_connection: Callable[[str], asyncio.Protocol]) -> None:
        """Open one listener for each node.

        Args:
            party: The party at whose addresses the host listens.
            make_connection: Creates a connection from the name of the node.

        Raises:
            OSError: An address is already in use.
        """
        shutdowns = self._shutdowns
        for node in self.environment.nodes:
            listener = await self.fabric.listen(party, node, partial(make_connection, node))
            if shutdowns != self._shutdowns:  # the host was shut down meanwhile
                listener.close()
                return
            self._listeners.append(listener)

    def _shut_down(self) -> None:
        """Close all listeners and stop the timer of the model. Connections stay open."""
        self.up = False
        self._shutdowns += 1
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reset_connections(self) -> None:
        """Reset all connections with a RST, as when a machine returns after its peers gave up on it."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.kill(now)

    # Time

    def settle(self, now: float) -> None:
        """Respond to requests that ended by `now` (ms) and set the timer for the next end."""
        raise NotImplementedError

    def _wake_at(self, due: float | None) -> None:
        """Call `settle` again at `due` (ms) or earlier."""
        # A timer that fires too early does no harm, and is cheaper than resetting the timer on each call.
        if due is not None and (self._timer is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.clock.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # Rounding can make the timer fire slightly before its due time. With the clock's time alone, the
        # timer would then be set for the same due time again and again.
        self.settle(max(self.clock.now(), self._timer_at))
