"""The fabric on loopback: a real event loop, real sockets in 127.0.0.0/8, and a clock in real time."""

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

FIRST_OCTET = 16  # the lowest second octet of addresses
NODES_PER_PORT = 200  # nodes on one port, distinguished by the second octet
PARTIES_PER_OCTET = 250
MAX_PROBLEMS = 100  # number of problems to keep


class LoopbackFabric:
    """A Fabric on loopback. Create it in a running loop; `close` shuts it down.

    Attributes:
        loop: The event loop.
        clock: The run's clock.
        links: The states and delays of all links.
        lateness: The lateness of the loop's timers.
        problems: The first MAX_PROBLEMS problems of the lab itself.
    """

    def __init__(self, links: Links, lead_s: float = 0.0) -> None:
        """Reserve ports, and start to measure the lateness of timers.

        Args:
            links: The states and delays of all links.
            lead_s: The time until the run starts, in s.

        Raises:
            OSError: If no range of ports is free.
        """
        self.loop = asyncio.get_running_loop()
        self.links = links
        self.clock: RunClock = LoopbackClock(self.loop, self.loop.time() + lead_s)
        self.problems: list[str] = []
        self._ports = reserve_ports()
        self._party_numbers: dict[str, int] = {}
        # Dicts serve as sets in order of insertion.
        self._transports: dict[LinkedTransport, None] = {}
        self._listeners: dict[LoopbackListener, None] = {}
        self._attaching: dict[asyncio.Task[Any], None] = {}
        self.lateness = TimerLateness(self.clock)

    # Fabric

    def address(self, party: str, node: str) -> Address:
        """Return the address at which `node` reaches `party`; each pair has its own.

        Raises:
            ValueError: If the node's name is not `n` followed by a number.
        """
        if node[:1] != "n" or not node[1:].isdecimal():
            raise ValueError(f"node {node!r}: names of nodes are n0, n1 ...")
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
        """Accept connections at `address(party, node)`, each with a protocol that the factory creates.

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

        The call never completes if a link is silent or becomes silent during the handshake.

        Raises:
            OSError: If the connection is refused or reset.
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
        except BaseException:  # also if the caller is cancelled
            transport.drop()
            raise
        return transport

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        """Return when (ms of the run) the peer sent the bytes that are being received."""
        assert isinstance(transport, LinkedTransport)
        return transport.sent_ms

    def links_changed(self) -> None:
        """Update listeners to the states of the links, and reset connections on links in state `reset`."""
        for listener in list(self._listeners):
            listener.refresh()
        for transport in list(self._transports):
            if state_of(transport.out, transport.back) == "reset":
                transport.cut()

    # Used by the run

    @property
    def connections(self) -> int:
        """The number of connections that have not ended on both sides."""
        return len(self._transports)

    def clients_of(self, node: str) -> int:
        """Return the number of client connections to a node that have not ended on both sides."""
        return sum(1 for transport in self._transports if transport.client_of == node)

    def stop(self) -> None:
        """Close all listeners and connections; protocols are not notified, so that nothing is recorded."""
        self.lateness.close()
        for listener in list(self._listeners):
            listener.close()
        for transport in list(self._transports):
            transport.drop()
        for task in list(self._attaching):
            task.cancel()

    def close(self) -> None:
        """Stop, and release the ports; call it after the nodes have ended, because they use the ports."""
        self.stop()
        self._ports.release()

    # Used by listeners and connections

    def forget_transport(self, transport: LinkedTransport) -> None:
        """Remove a connection that has ended on both sides."""
        self._transports.pop(transport, None)

    def forget_listener(self, listener: LoopbackListener) -> None:
        """Remove a listener that is closed."""
        self._listeners.pop(listener, None)

    def accepted(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol], out: Link, back: Link
    ) -> None:
        """Insert the links between the protocol of an accepted connection and its socket.

        Args:
            sock: The accepted socket.
            factory: Creates the lab's protocol.
            out: The link to the node.
            back: The link from the node.
        """
        transport = LinkedTransport(self, factory, out, back, accepted=True)
        self._transports[transport] = None
        task = self.loop.create_task(self._attach(transport, sock))
        self._attaching[task] = None
        task.add_done_callback(lambda done: self._attaching.pop(done, None))

    def report_problem(self, error: Exception, message: str) -> None:
        """Record a problem of the lab itself.

        Args:
            error: The exception.
            message: The operation that failed.
        """
        if len(self.problems) < MAX_PROBLEMS:
            self.problems.append(f"{message}: {error}")

    # Internal

    async def _attach(self, transport: LinkedTransport, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: transport.node_socket, sock)
        except OSError:  # the connection ended before it was attached
            sock.close()
            transport.drop()

    async def _pass_handshake(self, link: Link) -> None:
        """Pass one step of a handshake over a link, whose state may change during the delay."""
        _raise_if_reset(link)
        if link.state == "up":
            await asyncio.sleep(link.delay(self.clock.now(), 0) / 1000)
            _raise_if_reset(link)
        if link.state == "silent":
            await self.loop.create_future()  # never completes; the caller may cancel

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
