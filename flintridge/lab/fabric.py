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
    """Float milliseconds since the day's first second began; negative during the warm-up."""

    def now(self) -> float: ...

    def unix_ms(self, at: float) -> float:
        """An instant of the day as Unix time, as discovery tells it."""

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle: ...

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle: ...

    async def sleep_until(self, at: float) -> None: ...


class Link(Protocol):
    """The way from one machine to another; its state may change at any time.

    `up`; `silent`: what is sent is lost and nothing is said; `reset`: connections are reset, new ones too.
    """

    state: str

    def delay(self, now: float, size: int) -> float:
        """Milliseconds that these bytes take."""

    def cuts(self, size: int) -> list[int]:
        """Sizes of the pieces in which a write arrives."""


class Links(Protocol):
    """All links, by the names of two parties (`flintridge.lab.world.link_table.LinkTable`)."""

    def link(self, source: str, target: str) -> Link: ...


class Listener(Protocol):
    def close(self) -> None:
        """New connections are refused from now on; those that are open stay."""


class Fabric(Protocol):
    clock: RunClock
    links: Links

    def address(self, party: str, node: str) -> tuple[str, int]:
        """Where `node` finds `party`: an address of this pair alone, so both ends are known by it."""

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        """Accept at `address(party, node)`. Raises OSError."""

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """A client's connection to a node's listener; hangs where the link is silent. Raises OSError."""

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """When the other end sent the bytes that are being received now, as far as the link tells."""

    def links_changed(self) -> None:
        """After states of links changed: connections on those that are `reset` now are reset at once."""


class NodeRunner(Protocol):
    """The nodes as processes; each call is recorded as a NodeSaid, and so is an end that nobody asked for."""

    async def start(self, node: str) -> None:
        """Start it anew from `SimulatedFleet.node_config(node)`; returns before it is ready."""

    def kill(self, node: str) -> None: ...

    def term(self, node: str) -> None: ...

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace its configuration file and send SIGHUP."""

    def pause(self, node: str) -> None: ...

    def resume(self, node: str) -> None: ...

    def quiesce(self, node: str) -> None:
        """Drain it, as its operators' console does. Raises NotImplementedError where there is no console."""

    def unquiesce(self, node: str) -> None:
        """End the drain."""

    def set_system(self, node: str, state: SystemState) -> None:
        """What is wrong with a node's operating system from now on, also of processes started later."""

    def running(self, node: str) -> bool: ...

    async def ended(self, node: str) -> None:
        """Until it has ended."""

    async def close(self) -> None:
        """End all; nothing is left running."""

    def usage(self) -> RunUsage:
        """What the nodes used, where known."""
