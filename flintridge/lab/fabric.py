"""What the lab's machines and clients need of the place they run in: virtual time, or loopback in real time.

Everything in `world/`, `load/` and `faults/` is written against these protocols and runs on both. A party is
a machine by name: `n0`, `n1` ... the nodes; server ids; `origin`; `discovery` and `discovery2`; `c0`, `c1`
... the clients' machines.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.faults.injection import SystemState


class RunClock(Protocol):
    """Float milliseconds since the run's first second began; negative during the warm-up."""

    def now(self) -> float:
        """This instant."""

    def unix_ms(self, at: float) -> float:
        """An instant of the run as Unix time, as discovery reports it."""

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call at an instant."""

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call after so many milliseconds."""

    async def sleep_until(self, at: float) -> None:
        """Wait for an instant."""


class Link(Protocol):
    """One direction between two machines.

    Attributes:
        state: `up`; `silent`: what is sent is lost without notice; `reset`: connections are reset, new ones
            too. It may change at any time.
    """

    state: str

    def delay(self, now: float, size: int) -> float:
        """Milliseconds that these bytes take."""

    def segment_sizes(self, size: int) -> list[int]:
        """Sizes of the segments in which a write arrives."""


class Links(Protocol):
    """All links, by the names of two parties (`flintridge.lab.world.link_table.LinkTable`)."""

    def link(self, source: str, target: str) -> Link:
        """The link in one direction."""


class Listener(Protocol):
    """A listening socket."""

    def close(self) -> None:
        """Refuse new connections from now on; those that are open stay."""


class Fabric(Protocol):
    """The network and the clock of a run.

    Attributes:
        clock: The time of the run.
        links: All links between parties.
    """

    clock: RunClock
    links: Links

    def address(self, party: str, node: str) -> tuple[str, int]:
        """Where `node` finds `party`: an address of this pair alone, so both ends are known by it."""

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        """Accept at `address(party, node)`.

        Raises:
            OSError: The address cannot be had.
        """

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Open a client's connection to a node's listener; it hangs where the link is silent.

        Raises:
            OSError: It is refused or reset.
        """

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """When the other end sent the bytes that are being received now, as far as the link knows."""

    def links_changed(self) -> None:
        """Apply changed states of links: connections on those that are `reset` now are reset at once."""


class NodeRunner(Protocol):
    """The nodes as processes; each call is recorded as a NodeStateChanged, and so is an unexpected end."""

    async def start(self, node: str) -> None:
        """Start a new process from the fleet's configuration of the node; returns before it is ready."""

    def kill(self, node: str) -> None:
        """Send SIGKILL."""

    def term(self, node: str) -> None:
        """Send SIGTERM."""

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace its configuration file and send SIGHUP."""

    def pause(self, node: str) -> None:
        """Send SIGSTOP."""

    def resume(self, node: str) -> None:
        """Send SIGCONT."""

    def quiesce(self, node: str) -> None:
        """Drain it by the admin API.

        Raises:
            NotImplementedError: There is no admin API.
        """

    def unquiesce(self, node: str) -> None:
        """End the drain."""

    def set_system(self, node: str, state: SystemState) -> None:
        """Set what is wrong with a node's operating system, also for processes that start later."""

    def running(self, node: str) -> bool:
        """Whether it has a process that was not killed and has not ended."""

    async def ended(self, node: str) -> None:
        """Wait until its process has ended."""

    async def close(self) -> None:
        """End all; nothing is left running."""

    def usage(self) -> RunUsage:
        """What the nodes used, where known."""
