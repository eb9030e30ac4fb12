"""What a cache server and the origin have in common on a fabric: listeners, connections, the model's time."""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Protocol

from flintridge.lab.fabric import Listener
from flintridge.lab.world.environment import Environment


class Connection(Protocol):
    """A connection, as far as its host ends it."""

    def kill(self, now: float) -> None:
        """End it with a RST at `now` (ms)."""


class ServerHost:
    """A machine that answers nodes.

    Attributes:
        is_origin: Whether this is the origin.
        id: Its name in records.
        up: Whether it listens, or is about to.
        environment: What all servers share; some of it stands here by itself.
        probes: Whether nodes may send health checks.
        max_connections: How many it accepts at once.
        idle_ms: Idle time after which it closes a connection.
        connections: Those that are open, in the order of their opening.
    """

    is_origin = False

    def __init__(
        self, server_id: str, environment: Environment, max_connections: int, idle_ms: float
    ) -> None:
        """Make a host that does not listen yet; the arguments are the attributes of these names."""
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
        self._shutdowns = 0  # an opening that began before the last of them is void
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    # Listeners

    async def _listen(self, party: str, connect: Callable[[str], asyncio.Protocol]) -> None:
        """Listen to all nodes.

        Args:
            party: At whose addresses.
            connect: Makes the connection of a node.

        Raises:
            OSError: An address is taken.
        """
        shutdowns = self._shutdowns
        for node in self.environment.nodes:
            listener = await self.fabric.listen(party, node, partial(connect, node))
            if shutdowns != self._shutdowns:  # it was shut down while it was opening
                listener.close()
                return
            self._listeners.append(listener)

    def _shut_down(self) -> None:
        """Listen no more, and let the model's time stand still. Connections are left as they are."""
        self.up = False
        self._shutdowns += 1
        for listener in self._listeners:
            listener.close()
        self._listeners.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reset_connections(self) -> None:
        """End all connections with a RST, as when a machine is back after its peers gave it up."""
        now = self.clock.now()
        for connection in list(self.connections):
            connection.kill(now)

    # Time

    def settle(self, now: float) -> None:
        """Respond to what has ended by `now` (ms), and be called again when more does."""
        raise NotImplementedError

    def _wake_at(self, due: float | None) -> None:
        """Settle again at `due` (ms), or somewhat earlier."""
        # A timer that comes too early does no harm; to set each anew would cost more.
        if due is not None and (self._timer is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.clock.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # Rounding may bring the timer a hair too early: it would then be set for the same time without end.
        self.settle(max(self.clock.now(), self._timer_at))
