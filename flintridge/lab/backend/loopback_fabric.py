"""The fabric on loopback: a real event loop, real sockets in 127.0.0.0/8, the run's clock in real time."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from flintridge.lab.backend.lateness import TimerLateness
from flintridge.lab.backend.linked_transport import LinkedTransport
from flintridge.lab.backend.loopback_clock import LoopbackClock
from flintridge.lab.backend.loopback_listener import Address, LoopbackListener, state_of
from flintridge.lab.backend.loopback_ports import reserve_ports
from flintridge.lab.backend.node_socket import connection_reset
from flintridge.lab.backend.precise_loop import precise_loop as precise_loop
from flintridge.lab.backend.precise_loop import raise_descriptor_limit as raise_descriptor_limit
from flintridge.lab.fabric import Link, Links, Listener, RunClock

FIRST_OCTET = 16  # the second one of addresses
NODES_PER_PORT = 200  # the second octet counts them
PARTIES_PER_OCTET = 250
MAX_PROBLEMS = 100  # that are kept


class LoopbackFabric:
    """A Fabric on loopback. Make it in a running loop; `close` ends all of it.

    Attributes:
        loop: The event loop.
        clock: The run's clock.
        links: States and delays of all links.
        lateness: How late the loop's timers are.
        problems: Of the lab itself, the first few.
    """

    def __init__(self, links: Links, lead_s: float = 0.0) -> None:
        """Reserve ports, and begin to measure the lateness of timers.

        Args:
            links: States and delays of all links.
            lead_s: Time until the run starts.

        Raises:
            OSError: If no range of ports is free.
        """
        self.loop = asyncio.get_running_loop()
        self.links = links
        self.clock: RunClock = LoopbackClock(self.loop, self.loop.time() + lead_s)
        self.problems: list[str] = []
        self._ports = reserve_ports()
        self._party_numbers: dict[str, int] = {}
        # Dicts that serve as sets: their order is that of arrival.
        self._transports: dict[LinkedTransport, None] = {}
        self._listeners: dict[LoopbackListener, None] = {}
        self._attaching: dict[asyncio.Task[Any], None] = {}
        self.lateness = TimerLateness(self.clock)

    # Fabric

    def address(self, party: str, node: str) -> Address:
        """Return where `node` finds `party`: an address of this pair alone.

        Raises:
            ValueError: If the node's name is not `n` and a number.
        """
        if node[:1] != "n" or not node[1:].isdecimal():
            raise ValueError(f"node {node!r}: n0, n1 ... are the nodes' names")
        node_number = int(node[1:])
        party_number = self._party_numbers.setdefault(party, len(self._party_numbers))
        octets = (
            127,
            FIRST_OCTET + node_number % NODES_PER_PORT,
            party_number // PARTIES_PER_OCTET,
            party_number % PARTIES_PER_OCTET + 1,
        )
        return ".".join(map(str, octets)), self._ports.first + node_number // NODES_PER_PORT

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        """Accept connections at `address(party, node)`, by a protocol of the factory for each.

        Raises:
            OSError: If the address is in use.
        """
        out = self.links.link(party, node)
        back = self.links.link(node, party)
        listener = LoopbackListener(self, self.address(party, node), out, back, factory)
        self._listeners[listener] = None
        return listener

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Open a client's connection to a node's listener.

        It hangs where a link is silent, or becomes so on the way.

        Raises:
            OSError: If it is refused or reset.
        """
        out = self.links.link(party, node)
        back = self.links.link(node, party)
        await self._pass_handshake(out)
        sock = await self._dial(self.address("listen", node), back)
        transport = LinkedTransport(self, factory, out, back, accepted=False)
        transport.client_of = node
        self._transports[transport] = None
        try:
            await self.loop.create_connection(lambda: transport.node_socket, sock=sock)
            await transport.ready
        except BaseException:  # also where the caller waits no longer
            transport.drop()
            raise
        return transport

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """When (ms of the run) the peer sent the bytes that are being received now."""
        assert isinstance(transport, LinkedTransport)
        return transport.sent_ms

    def links_changed(self) -> None:
        """Have listeners follow the links, and reset connections on those that are reset now."""
        for listener in list(self._listeners):
            listener.refresh()
        for transport in list(self._transports):
            if state_of(transport.out, transport.back) == "reset":
                transport.cut()

    # For the run

    @property
    def connections(self) -> int:
        """Connections that are not wholly over."""
        return len(self._transports)

    def clients_of(self, node: str) -> int:
        """Count the connections of clients to a node that are not wholly over."""
        return sum(1 for transport in self._transports if transport.client_of == node)

    def stop(self) -> None:
        """End all listeners and connections; no protocol learns of it, so that nothing is recorded."""
        self.lateness.close()
        for listener in list(self._listeners):
            listener.close()
        for transport in list(self._transports):
            transport.drop()
        for task in list(self._attaching):
            task.cancel()

    def close(self) -> None:
        """Stop, and release the ports: after the nodes have ended, which have some of them."""
        self.stop()
        self._ports.release()

    # For listeners and connections

    def forget_transport(self, transport: LinkedTransport) -> None:
        """A connection is wholly over."""
        self._transports.pop(transport, None)

    def forget_listener(self, listener: LoopbackListener) -> None:
        """A listener is closed."""
        self._listeners.pop(listener, None)

    def accepted(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol], out: Link, back: Link
    ) -> None:
        """Put the links between the protocol of an accepted connection and its socket.

        Args:
            sock: The socket.
            factory: Returns the lab's protocol.
            out: Leads to the node.
            back: Leads from the node.
        """
        transport = LinkedTransport(self, factory, out, back, accepted=True)
        self._transports[transport] = None
        task = self.loop.create_task(self._attach(transport, sock))
        self._attaching[task] = None
        task.add_done_callback(lambda done: self._attaching.pop(done, None))

    def report_problem(self, error: Exception, message: str) -> None:
        """Note that something went wrong in the lab itself.

        Args:
            error: What was raised.
            message: What could not be done.
        """
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(f"{message}: {error}")

    # Inner

    async def _attach(self, transport: LinkedTransport, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: transport.node_socket, sock)
        except OSError:  # it was gone before it could be attached
            sock.close()
            transport.drop()

    async def _pass_handshake(self, link: Link) -> None:
        """Take a handshake's step over a link, which may be silent or reset before it or after it."""
        _raise_if_reset(link)
        if link.state == "up":
            await asyncio.sleep(link.delay(self.clock.now(), 0) / 1000)
            _raise_if_reset(link)
        if link.state == "silent":
            await self.loop.create_future()  # until the caller gives up

    async def _dial(self, address: Address, back: Link) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, address)
        except OSError:
            sock.close()
            await self._pass_handshake(back)
            raise
        except BaseException:
            sock.close()
            raise
        return sock


def _raise_if_reset(link: Link) -> None:
    if link.state == "reset":
        raise connection_reset()
