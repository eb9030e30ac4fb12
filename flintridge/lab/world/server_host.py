"""What a cache server and the origin are alike on a fabric: listeners, connections, and the model's time."""

import asyncio
from collections.abc import Callable
from functools import partial

from flintridge.lab.fabric import Fabric, Listener
from flintridge.lab.records import RecordLog
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.objects import Objects
from flintridge.lab.world.server_conn import ServerConnection


class ServerHost:
    """A machine that answers nodes: at most `most_connections` at once, closed after `idle_ms` of no use.

    `up` tells whether it listens, or is about to.
    """

    is_origin = False

    def __init__(
        self,
        id: str,
        fabric: Fabric,
        log: RecordLog,
        truth: GroundTruth,
        objects: Objects,
        probes: bool,
        nodes: list[str],
        most_connections: int,
        idle_ms: float,
    ) -> None:
        self.id = id
        self.up = False
        self.fabric = fabric
        self.clock = fabric.clock
        self.log = log
        self.truth = truth
        self.objects = objects
        self.probes = probes
        self.most_connections = most_connections
        self.idle_ms = idle_ms
        self.connections: dict[ServerConnection, None] = {}  # a set that keeps its order
        self._nodes = nodes
        self._listeners: list[Listener] = []
        self._shuts = 0  # what was begun before the last of them is void
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0

    # Its life

    async def _listen(self, party: str, connect: Callable[[str], ServerConnection]) -> None:
        """Listen to all nodes at the address of a party. Raises OSError."""
        shuts = self._shuts
        for node in self._nodes:
            listener = await self.fabric.listen(party, node, partial(connect, node))
            if shuts != self._shuts:  # it was shut while it was opening
                listener.close()
                return
            self._listeners.append(listener)

    def _shut(self) -> None:
        """Listen no more, and let the model's time stand still. Connections are left as they are."""
        self.up = False
        self._shuts += 1
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
        """Answer what has ended, and be called again when more does."""
        raise NotImplementedError

    def _wake_at(self, due: float | None) -> None:
        """Settle again at `due`, or somewhat earlier."""
        # A timer that comes too early does no harm; to set each anew would cost more.
        if due is not None and (self._timer is None or due < self._timer_at):
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = due
            self._timer = self.clock.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # Rounding may bring the timer a hair too early: it would then be set for the same instant for ever.
        self.settle(max(self.clock.now(), self._timer_at))
