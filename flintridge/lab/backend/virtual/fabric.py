"""The fabric of the lab on the modelled network."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.lab.fabric import Links, Listener, RunClock
from flintridge.lab.virtual import VirtualLoop

UNIX_START_MS = 1_700_000_000_000.0  # Unix time at which each virtual run starts
LISTENING_PORT = 11211
NODES_PER_OCTET = 200
PARTIES_PER_PORT = 250


class VirtualClock:
    """The clock of a run on a virtual loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, start_s: float) -> None:
        """Create the clock of a run.

        Args:
            loop: The event loop.
            start_s: The time of the loop at which the run starts, in s.
        """
        self._loop = loop
        self._start_s = start_s

    def now(self) -> float:
        """Return the time of the run (ms); negative during the warm-up."""
        return (self._loop.time() - self._start_s) * 1000

    def unix_ms(self, at: float) -> float:
        """Convert a time of the run (ms) to Unix time (ms)."""
        return UNIX_START_MS + at

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call a function at a time of the run (ms)."""
        return self._loop.call_at(self._start_s + at / 1000, call, *args)

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        """Call a function after a delay (ms)."""
        return self._loop.call_later(ms / 1000, call, *args)

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time of the run (ms)."""
        await asyncio.sleep((at - self.now()) / 1000)


@dataclass(slots=True, frozen=True)
class OpenConnections:
    """The numbers of open connections of a node's machine.

    Attributes:
        with_clients: The number of connections with clients.
        with_servers: The number of connections with all other parties except discovery: the cache servers and
            the origin.
    """

    with_clients: int
    with_servers: int


class VirtualFabric:
    """A Fabric on a network that has a host for each party, with the same name."""

    def __init__(self, loop: VirtualLoop, links: Links, start_s: float) -> None:
        """Create the fabric of a run.

        Args:
            loop: The event loop with the network.
            links: The states and delays of all links.
            start_s: The time of the loop at which the run starts, in s.
        """
        self.loop = loop
        self.network = loop.network
        self.links = links
        self._start_s = start_s
        self.clock: RunClock = VirtualClock(loop, start_s)
        self._party_numbers: dict[str, int] = {}

    def address(self, party: str, node: str) -> tuple[str, int]:
        """Return the address at which `node` reaches `party`; each pair has its own."""
        party_number = self._party_numbers.setdefault(party, len(self._party_numbers))
        node_number = int(node[1:])
        octets = (
            127,
            16 + node_number // NODES_PER_OCTET,
            node_number % NODES_PER_OCTET,
            party_number % PARTIES_PER_PORT + 1,
        )
        return ".".join(map(str, octets)), LISTENING_PORT + party_number // PARTIES_PER_PORT

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        """Accept connections at `address(party, node)`, each with a protocol that the factory creates.

        Raises:
            OSError: If the address is in use.
        """
        host, port = self.address(party, node)
        return await self.network.host(party).run(self.loop.create_server(factory, host, port))

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Open a client's connection to a node's listener.

        Raises:
            OSError: If the connection is refused or reset.
        """
        host, port = self.address("listen", node)
        connecting = self.loop.create_connection(factory, host, port)
        transport: asyncio.Transport
        transport, _ = await self.network.host(party).run(connecting)
        return transport

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """Return when (ms of the run) the peer sent the bytes that are being received."""
        sent_at_s: float = transport.get_extra_info("sent_at")
        return (sent_at_s - self._start_s) * 1000

    def links_changed(self) -> None:
        """Apply changed states of links to the open connections."""
        self.network.links_changed()

    def open_connections(self, node: str) -> OpenConnections:
        """Count the open connections of a node's machine."""
        peers = self.network.host(node).peers()
        clients = sum(1 for peer in peers if peer[:1] == "c" and peer[1:].isdigit())
        all_but_discovery = sum(1 for peer in peers if not peer.startswith("discovery"))
        return OpenConnections(clients, all_but_discovery - clients)
