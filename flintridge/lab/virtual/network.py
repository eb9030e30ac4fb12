"""The network: hosts, the links between them, and who is bound where."""

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
    """A datagram socket as others send to it."""

    def receives_from(self, source: Address) -> bool:
        """Whether it takes datagrams of that address."""

    def receive(self, data: bytes, source: Address) -> None:
        """A datagram arrives."""


def ignore_datagram(source: str, target: str, data: bytes, outcome: DatagramOutcome) -> None:
    """Observe no datagrams."""


def default_link(source: str, target: str) -> Link:
    """A FixedLink for every pair of hosts."""
    return FixedLink()


class Network:
    """Hosts and links.

    Attributes:
        connect_s: What setting up a connection takes beyond its links.
        window: Bytes that one direction of a connection holds in the kernels.
        datagram_buffer: Bytes that a datagram socket holds unread.
        on_datagram: Called with each datagram: the two hosts, its bytes and its outcome.
        addresses: Which host has which address.
        listening_sockets: Who listens where.
        datagram_sockets: Which datagram socket is bound where.
        dead_processes: Those whose tasks are not closed yet.
        lab: The host of code that runs on no other.
    """

    def __init__(
        self,
        link: Callable[[str, str], Link] | None = None,
        *,
        connect_ms: float = 0.0,
        window: int = WINDOW_BYTES,
        datagram_buffer: int = DATAGRAM_BUFFER_BYTES,
    ) -> None:
        """A network without hosts but the lab's.

        Args:
            link: Asked for the link from one host to another (by name; a host may also connect to itself),
                once a pair.
            connect_ms: What setting up a connection takes beyond its links.
            window: Bytes that one direction of a connection holds in the kernels.
            datagram_buffer: Bytes that a datagram socket holds unread.
        """
        self._make_link = default_link if link is None else link
        self.connect_s = connect_ms / 1000
        self.window = window
        self.datagram_buffer = datagram_buffer
        self.on_datagram: Callable[[str, str, bytes, DatagramOutcome], None] = ignore_datagram
        self._loop: VirtualTimeLoop | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._link_states: dict[tuple[str, str], str] = {}  # as `links_changed` last saw them
        self._hosts: dict[str, Host] = {}
        self.addresses = AddressTable()
        self.listening_sockets: Bindings[ListeningSocket] = Bindings(self.addresses)
        self.datagram_sockets: Bindings[DatagramReceiver] = Bindings(self.addresses)
        self.dead_processes: list[Process] = []
        self.lab = self.host("lab")

    @property
    def loop(self) -> VirtualTimeLoop:
        """The loop that was made on this network.

        Raises:
            RuntimeError: If there is none yet.
        """
        if self._loop is None:
            raise RuntimeError("no VirtualLoop was made on this network yet")
        return self._loop

    def attach(self, loop: VirtualTimeLoop) -> None:
        """A loop was made on this network.

        Raises:
            RuntimeError: If there was one before.
        """
        if self._loop is not None:
            raise RuntimeError("a network belongs to one loop")
        self._loop = loop

    def current_process(self) -> Process:
        """The process whose code runs; else the lab's."""
        return CURRENT_PROCESS.get() or self.lab.process

    @property
    def hosts(self) -> list[Host]:
        """All hosts, the lab's first."""
        return list(self._hosts.values())

    def host(self, name: str) -> Host:
        """Create or get."""
        if name not in self._hosts:
            self._hosts[name] = Host(self, name)
        return self._hosts[name]

    def take_dead_processes(self) -> list[Process]:
        """Those that died since the last call, in that order."""
        processes = self.dead_processes
        self.dead_processes = []
        return processes

    # Links

    def link(self, source: str, target: str) -> Link:
        """The link from one host to another, the same each time."""
        found = self._links.get((source, target))
        if found is None:
            found = self._make_link(source, target)
            self._links[source, target] = found
            self._link_states[source, target] = found.state
        return found

    def forget_links(self) -> None:
        """Ask for links anew. Open connections keep theirs."""
        self._links.clear()
        self._link_states.clear()

    def links_changed(self) -> None:
        """States of any links changed: `link_changed` for each that did."""
        for (source, target), link in list(self._links.items()):
            if link.state != self._link_states[source, target]:
                self.link_changed(source, target)

    def link_changed(self, source: str, target: str) -> None:
        """The state of a link is another one now.

        "reset" breaks all connections between the two hosts at once, on both sides, but a side to which the
        link is silent does not learn of it. "up" again lets sides that could not send go on, which breaks
        what lost bytes.
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
