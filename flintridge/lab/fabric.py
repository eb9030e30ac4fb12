"""The interface of a backend: virtual time, or loopback in real time.

`world/`, `load/` and `faults/` use only these protocols, so that they run on both backends. A party is the
name of a machine: `n0`, `n1` ... for the nodes, the ids of the servers, `origin`, `discovery` and
`discovery2`, and `c0`, `c1` ... for the clients' machines.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.faults.injection import SystemState


class RunClock(Protocol):
    """The clock of a run: float milliseconds since the end of the warm-up, negative during it."""

    def now(self) -> float:
        """Return the current time of the run."""

    def unix_ms(self, at: float) -> float:
        """Convert a time of the run to Unix time in milliseconds, as discovery reports it."""

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Schedule a call at a time of the run."""

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Schedule a call after a delay in milliseconds."""

    async def sleep_until(self, at: float) -> None:
        """Wait until a time of the run."""


class Link(Protocol):
    """One direction between two machines.

    Attributes:
        state: `up`; `silent`: everything sent is lost without notice; `reset`: existing and new connections
            are reset. The state may change at any time.
    """

    state: str

    def delay(self, now: float, size: int) -> float:
        """Return the time (ms) until `size` bytes that are sent now arrive."""

    def segment_sizes(self, size: int) -> list[int]:
        """Return the sizes of the segments in which a write of `size` bytes arrives."""


class Links(Protocol):
    """All links, by the names of two parties (`flintridge.lab.world.link_table.LinkTable`)."""

    def link(self, source: str, target: str) -> Link:
        """Return the link from one party to another."""


class Listener(Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Refuse new connections from now on; open connections are not closed."""


class Fabric(Protocol):
    """The network and the clock of a run.

    Attributes:
        clock: The time of the run.
        links: All links between parties.
    """

    clock: RunClock
    links: Links

    def address(self, party: str, node: str) -> tuple[str, int]:
        """Return the address at which `node` reaches `party`.

        The address belongs to this pair alone, so that it identifies both ends of a connection.
        """

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        """Listen for connections at `address(party, node)`.

        Raises:
            OSError: The address is not available.
        """

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Open a connection from a client's machine to a node's listener; hangs while the link is silent.

        Raises:
            OSError: The connection is refused or reset.
        """

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """Return when the other end sent the bytes that are being received now, as far as the link knows."""

    def links_changed(self) -> None:
        """Apply changed states of links: connections on links that became `reset` are reset immediately."""


class NodeRunner(Protocol):
    """Runs the nodes' processes; records each call and each unexpected end as a NodeStateChanged."""

    async def start(self, node: str) -> None:
        """Start a new process with the fleet's configuration of the node; returns before it is ready."""

    def kill(self, node: str) -> None:
        """Send SIGKILL."""

    def term(self, node: str) -> None:
        """Send SIGTERM."""

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace the node's configuration file and send SIGHUP."""

    def pause(self, node: str) -> None:
        """Send SIGSTOP."""

    def resume(self, node: str) -> None:
        """Send SIGCONT."""

    def quiesce(self, node: str) -> None:
        """Drain the node through its admin API.

        Raises:
            NotImplementedError: The backend does not support the admin API.
        """

    def unquiesce(self, node: str) -> None:
        """End the drain of the node."""

    def set_system(self, node: str, state: SystemState) -> None:
        """Set the faults of a node's operating system, also for processes that start later."""

    def running(self, node: str) -> bool:
        """Whether the node has a process that was not killed and has not ended."""

    async def ended(self, node: str) -> None:
        """Wait until the node's process has ended."""

    async def close(self) -> None:
        """End all processes; none is left running."""

    def usage(self) -> RunUsage:
        """Return the resource usage of the nodes, as far as the backend knows it."""
