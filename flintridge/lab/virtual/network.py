"""The network: hosts, the links between them, and the sockets that are bound to addresses."""

from collections.abc import Callable
from typing import Literal, Protocol

from flintridge.lab.virtual.address_table import AddressTable, Bindings
from flintridge.lab.virtual.addresses import Address
from flintridge.lab.virtual.host import Host
from flintridge.lab.virtual.link import LINK_RESET, LINK_UP, FixedLink, Link
from flintridge.lab.virtual.listening_socket import ListeningSocket
from flintridge.lab.virtual.process import CURRENT_PROCESS, Connection, Process
from flintridge.lab.virtual.scheduler import VirtualTimeLoop

WINDOW_BYTES = 256 * 1024
DATAGRAM_BUFFER_BYTES = 208 * 1024

DatagramOutcome = Literal["passed", "doubled", "lost", "cut"]


class DatagramReceiver(Protocol):
    """The interface of a datagram socket that senders use."""

    def receives_from(self, source: Address) -> bool:
        """Whether it accepts datagrams from `source`."""

    def receive(self, data: bytes, source: Address) -> None:
        """Buffer a datagram that arrived."""


def ignore_datagram(source: str, target: str, data: bytes, outcome: DatagramOutcome) -> None:
    """Default for `Network.on_datagram`: ignore the datagram."""


def default_link(source: str, target: str) -> Link:
    """Return a FixedLink, whatever the two hosts."""
    return FixedLink()


class Network:
    """A network of hosts and links.

    Attributes:
        connect_s: The time to set up a connection, in s, in addition to the delays of its links.
        window: The number of bytes that the kernels buffer for one direction of a connection.
        datagram_buffer: The number of unread bytes that a datagram socket buffers.
        on_datagram: Called for each datagram with the names of source and target, its bytes and its outcome.
        addresses: The table of host addresses.
        listening_sockets: The listening sockets by address.
        datagram_sockets: The datagram sockets by address.
        dead_processes: The dead processes whose tasks are not closed yet.
        lab: The host for code that runs on no other host.
    """

    def __init__(
        self,
        link: Callable[[str, str], Link] | None = None,
        *,
        connect_ms: float = 0.0,
        window: int = WINDOW_BYTES,
        datagram_buffer: int = DATAGRAM_BUFFER_BYTES,
    ) -> None:
        """Create a network whose only host is the lab.

        Args:
            link: Called once for each ordered pair of host names; returns the link from the first to the
                second. Both names are equal if a host connects to itself.
            connect_ms: The time to set up a connection, in ms, in addition to the delays of its links.
            window: The number of bytes that the kernels buffer for one direction of a connection.
            datagram_buffer: The number of unread bytes that a datagram socket buffers.
        """
        self._make_link = default_link if link is None else link
        self.connect_s = connect_ms / 1000
        self.window = window
        self.datagram_buffer = datagram_buffer
        self.on_datagram: Callable[[str, str, bytes, DatagramOutcome], None] = ignore_datagram
        self._loop: VirtualTimeLoop | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._link_states: dict[tuple[str, str], str] = {}  # as last handled by `link_changed`
        self._hosts: dict[str, Host] = {}
        self.addresses = AddressTable()
        self.listening_sockets: Bindings[ListeningSocket] = Bindings(self.addresses)
        self.datagram_sockets: Bindings[DatagramReceiver] = Bindings(self.addresses)
        self.dead_processes: list[Process] = []
        self.lab = self.host("lab")

    @property
    def loop(self) -> VirtualTimeLoop:
        """The loop that is attached to this network.

        Raises:
            RuntimeError: If no loop is attached yet.
        """
        if self._loop is None:
            raise RuntimeError("no VirtualLoop was made on this network yet")
        return self._loop

    def attach(self, loop: VirtualTimeLoop) -> None:
        """Attach the loop that runs this network.

        Raises:
            RuntimeError: If a loop was attached before.
        """
        if self._loop is not None:
            raise RuntimeError("a network belongs to one loop")
        self._loop = loop

    def current_process(self) -> Process:
        """Return the process whose code is running, or that of the lab if there is none."""
        return CURRENT_PROCESS.get() or self.lab.process

    @property
    def hosts(self) -> list[Host]:
        """All hosts, with the lab first."""
        return list(self._hosts.values())

    def host(self, name: str) -> Host:
        """Return the host with this name; it is created on the first call."""
        if name not in self._hosts:
            self._hosts[name] = Host(self, name)
        return self._hosts[name]

    def take_dead_processes(self) -> list[Process]:
        """Return the processes that died since the last call, in the order of their deaths."""
        processes = self.dead_processes
        self.dead_processes = []
        return processes

    # Links

    def link(self, source: str, target: str) -> Link:
        """Return the link from one host to another; it is created on the first call."""
        found = self._links.get((source, target))
        if found is None:
            found = self._make_link(source, target)
            self._links[source, target] = found
            self._link_states[source, target] = found.state
        return found

    def forget_links(self) -> None:
        """Discard all links, so that they are created again on demand. Open connections keep their links."""
        self._links.clear()
        self._link_states.clear()

    def links_changed(self) -> None:
        """Call `link_changed` for each link whose state has changed."""
        for (source, target), link in list(self._links.items()):
            if link.state != self._link_states[source, target]:
                self.link_changed(source, target)

    def link_changed(self, source: str, target: str) -> None:
        """Apply a changed link state to the open connections between the two hosts.

        "reset" resets all of them immediately on both sides, except that a side to which the link is silent
        is not notified. "up" lets sides with unsent data send again, which resets connections that lost
        bytes.
        """
        state = self.link(source, target).state
        self._link_states[source, target] = state
        for connection in self._connections_between(source, target):
            if state == LINK_RESET:
                connection.cut_off()
            elif state == LINK_UP and connection.lossy and connection.unsent:
                connection.probe()

    def _connections_between(self, source: str, target: str) -> list[Connection]:
        found: dict[Connection, None] = {}
        for name, peer in ((source, target), (target, source)):
            for connection in self.host(name).process.connections:
                if connection.peer_host == peer:
                    found[connection] = None
        return list(found)
