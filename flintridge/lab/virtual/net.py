"""Hosts, the links between them, and who listens where."""

import asyncio
import errno
import signal
import sys
import weakref
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from contextvars import Context, ContextVar, copy_context
from dataclasses import dataclass
from time import perf_counter
from typing import TYPE_CHECKING, Any, Literal, ParamSpec, Protocol, TypeVar

from flintridge.lab.virtual.transport import FAILED_CALL_S, LOOPBACK, SocketStandIn, StreamTransport, normal

if TYPE_CHECKING:
    from flintridge.lab.virtual.datagram import DatagramTransport
    from flintridge.lab.virtual.loop import VirtualLoop

T = TypeVar("T")
P = ParamSpec("P")
Address = tuple[str, int]
State = Literal["up", "silent", "reset"]
Call = Literal["accept", "connect", "socket", "read", "write"]

WILDCARDS = ("0.0.0.0", "::")
OUT_OF_RESOURCE = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)  # asyncio then rests
SAME_MOMENT_S = 1e-6  # time that goes on by less stands still
MOST_DOUBLINGS = 32  # of a pause, so that the number stays small
QUEUE = 512  # connections that a listening socket lets wait, at the least
LISTENING_PORTS = 20_000  # the first port given to a listener that asks for none
SOURCE_PORTS = 32_768  # the first port of connecting sockets
WINDOW = 256 * 1024  # bytes
DATAGRAMS = 208 * 1024  # bytes, that a datagram socket holds unread
NO_HOST_S = 50e-6  # one way to one's own kernel, which says that nobody has such an address


class Link(Protocol):
    """One direction of the way between two hosts.

    A link may also have `lost() -> bool` and `duplicated() -> bool`, asked for each datagram.
    """

    @property
    def state(self) -> str:
        """One of "up", "silent" (what is sent is lost), "reset" (connections break); read at both ends."""

    def delay(self, now: float, size: int) -> float:
        """Milliseconds from `now` (virtual ms) until `size` bytes are there; 0 bytes: a mere signal."""

    def cuts(self, size: int) -> list[int]:
        """The sizes of the pieces in which `size` bytes arrive, each at a moment of its own."""


class SystemCalls(Protocol):
    """Draws what goes wrong with the calls of a host's process."""

    def error(self, call: Call, opened: bool = True) -> OSError | None:
        """How a call fails; `opened`: on a connection that the process itself opened."""

    def short(self, size: int) -> int:
        """How much of so many bytes one call takes."""

    def stall_s(self) -> float:
        """How long the process is held up before a write."""


class FixedLink:
    """The same delay (ms) for all; `pieces` (bytes) cuts writes into pieces of this size."""

    def __init__(self, delay_ms: float = 0.05, state: State = "up", pieces: int = 0) -> None:
        self.delay_ms = delay_ms
        self.state: str = state
        self.pieces = pieces

    def delay(self, now: float, size: int) -> float:
        return self.delay_ms

    def cuts(self, size: int) -> list[int]:
        if not self.pieces:
            return [size]
        whole, rest = divmod(size, self.pieces)
        return [self.pieces] * whole + [rest] * (rest > 0)


@dataclass(slots=True, frozen=True)
class AcceptPauses:
    """How long a program accepts nothing after it ran short of descriptors or memory.

    Attributes:
        first_s: After the first failure; doubled with each further one in a row.
        most_s: No pause is longer.
        reports: Whether each failure goes to the event loop's exception handler.
    """

    first_s: float
    most_s: float
    reports: bool


ASYNCIO_PAUSES = AcceptPauses(1.0, 1.0, reports=True)


class Process:
    """What runs on a host until it dies: a host that is revived has a new one."""

    def __init__(self, host: "Host") -> None:
        self.host = host
        self.context = Context()
        self.context.run(HOST.set, self)
        self.stopped = False  # paused, held up or dead: none of its handles may run
        self.paused = False
        self._stalled_until = 0.0  # s
        self._stalled_since = 0.0  # s
        self.dead = False
        self.parked: deque[Any] = deque()  # handles that fell due while it was paused
        # All dicts are used as sets that keep their order: addresses in memory must decide nothing.
        self.endpoints: dict[StreamTransport, None] = {}
        self.datagrams: dict[DatagramTransport, None] = {}
        self.listeners: dict[Listener, None] = {}
        self.waiting = 0  # of the endpoints: those that no code has accepted, which take no descriptor yet
        # Weak while it lives: an error that nobody fetches is told when its task goes, as on any loop.
        self._tasks: list[weakref.ref[asyncio.Task[Any]]] = []
        self._prune_at = 64
        self.buried: list[asyncio.Task[Any]] = []  # what never got to its end
        self.signals: dict[int, Any] = {}
        self.exception_handler: Callable[[Any, dict[str, Any]], object] | None = None

    @property
    def name(self) -> str:
        return self.host.name

    def adopt(self, task: "asyncio.Task[Any]") -> None:
        if self.dead:
            _forget(task)
            self.buried.append(task)
            return
        self._tasks.append(weakref.ref(task))
        if len(self._tasks) >= self._prune_at:
            self._tasks = [ref for ref in self._tasks if (task_ := ref()) is not None and not task_.done()]
            self._prune_at = max(64, 2 * len(self._tasks))

    def pending(self) -> "list[asyncio.Task[Any]]":
        return [task for ref in self._tasks if (task := ref()) is not None and not task.done()]

    def stall(self, until: float) -> None:
        """None of its handles may run before then (s)."""
        if not self._after_stall():  # else it read nothing between the two
            self._stalled_since = self.host.network.loop._now
        self.stopped = True
        self._stalled_until = until
        self.host.network.loop._kernel_at(until, self._stall_over)

    def _after_stall(self) -> bool:
        """Whether what runs now was ready, or fell due, by the end of a stall."""
        return abs(self.host.network.loop._now - self._stalled_until) < SAME_MOMENT_S

    @property
    def earliest_arrival_s(self) -> float:
        """What is read now did not arrive before, as the selector of the program's event loop would know."""
        return self._stalled_since if self._after_stall() else self.host.network.loop.time()

    def _stall_over(self) -> None:
        """Timers come last, as in the iteration of an event loop that follows on one that took long: what has
        arrived is read before them."""
        if self.host.network.loop._now >= self._stalled_until:
            in_order = sorted(self.parked, key=lambda handle: isinstance(handle, asyncio.TimerHandle))
            self.parked = deque(in_order)
            self.go_on()

    def go_on(self) -> None:
        """Run what fell due meanwhile, in its order, unless something still stops it."""
        loop = self.host.network.loop
        if self.dead or self.paused or not self.stopped or loop._now < self._stalled_until:
            return
        self.stopped = False
        loop._ready.extend(self.parked)
        self.parked.clear()

    def end(self) -> None:
        """Nothing of it runs any more. The network is told by the caller, or never."""
        if self.dead:
            return
        self.dead = self.stopped = True
        # Kept: a coroutine that nobody holds is closed, and what it does in `finally` would be an effect.
        self.buried, self._tasks = self.pending(), []
        self.parked.clear()
        self.signals.clear()
        for task in self.buried:
            _forget(task)
        self.host.network._graves.append(self)


def _forget(task: "asyncio.Task[Any]") -> None:
    """So that nobody complains of its end, nor waits for it."""
    task._log_destroy_pending = False  # type: ignore[attr-defined]
    asyncio.tasks._unregister_task(task)


HOST: ContextVar[Process | None] = ContextVar("HOST", default=None)


def current_host() -> "Host | None":
    """The host whose code runs; None: the lab's own."""
    process = HOST.get()
    return None if process is None else process.host


class Host:
    """A machine with one process on it. It lives on when the process dies, and may be revived."""

    def __init__(self, network: "Network", name: str) -> None:
        self.network = network
        self.name = name
        self.busy_s = 0.0  # real seconds that its handles took
        self.silent = False  # it vanished: what is sent to it is lost
        # Connections that its process may hold, as its limit of descriptors has it; None: any number. Beyond
        # it connecting fails, and accepting too, which is then left for a while.
        self.max_connections: int | None = None
        self.accept_pauses = ASYNCIO_PAUSES  # of the program on it
        self.system: SystemCalls | None = None  # what goes wrong with its operating system
        self._ip = LOOPBACK
        self._process = Process(self)

    def __repr__(self) -> str:
        return f"<Host {self.name}>"

    @property
    def ip(self) -> str:
        """What its connections come from, and what its wildcard listeners are reached by."""
        return self._ip

    @ip.setter
    def ip(self, ip: str) -> None:
        self._ip = ip
        self.network._by_ip[ip] = self

    @property
    def alive(self) -> bool:
        return not self._process.dead

    @property
    def paused(self) -> bool:
        return self._process.paused and not self._process.dead

    @property
    def earliest_arrival_s(self) -> float:
        """What its process reads now did not arrive before (s of the loop)."""
        return self._process.earliest_arrival_s

    @property
    def open_connections(self) -> int:
        """Sockets: those that connect or wait to be accepted, too."""
        return len(self._process.endpoints)

    @property
    def full(self) -> bool:
        """Whether no descriptor is left for another connection."""
        most, process = self.max_connections, self._process
        return most is not None and len(process.endpoints) - process.waiting >= most

    def peers(self) -> list[str]:
        """The host at the other end of each connection that takes a descriptor, "" where nobody answers."""
        ends = [end for end in self._process.endpoints if end.made or end.connected is not None]
        return ["" if end.peer_host is None else end.peer_host.name for end in ends]

    @property
    def tasks_alive(self) -> int:
        return len(self._process.pending())

    def run(self, coro: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Raises RuntimeError on a dead host."""
        if not self.alive:
            coro.close()
            raise RuntimeError(f"host {self.name} is not alive")
        return self.network.loop.create_task(coro, context=self._process.context.copy())

    def call(self, fn: Callable[P, T], *args: P.args, **kwargs: P.kwargs) -> T:
        """The result of `fn`, run at once, paused or not. Raises RuntimeError on a dead host."""
        if not self.alive:
            raise RuntimeError(f"host {self.name} is not alive")
        caller = self.network.loop._running
        begun = perf_counter()
        try:
            return self._process.context.copy().run(fn, *args, **kwargs)
        finally:
            took = perf_counter() - begun
            self.busy_s += took
            if caller is not None:
                caller.host.busy_s -= took  # else it would be counted twice

    def signal(self, number: int) -> None:
        """Call the handler that the host's code added for this signal; without one it dies of it."""
        process = self._process
        handler = process.signals.get(number)
        if process.dead:
            return
        if handler is None or number == signal.SIGKILL:
            self.kill()
        else:
            self.network.loop.call_soon(handler._callback, *handler._args, context=handler._context)

    def kill(self) -> None:
        """The process dies: none of its code runs any more, its connections are reset, its ports closed."""
        self._end(silent=False)

    def vanish(self) -> None:
        """The machine is gone without a word: what is sent to it is lost, and nothing comes from it."""
        self._end(silent=True)

    def _end(self, silent: bool) -> None:
        if self is self.network.lab:
            raise RuntimeError("the lab itself cannot die")
        self.silent = self.silent or silent
        process = self._process
        if process.dead:
            return
        process.end()
        for listener in list(process.listeners):
            listener.close()
        for datagram in list(process.datagrams):
            self.network._unbind(datagram)
        for endpoint in list(process.endpoints):
            endpoint._process_died(silent)
        process.endpoints.clear()

    def pause(self) -> None:
        """Stop the process: its kernel goes on taking connections and bytes, nothing answers."""
        if self is self.network.lab:
            raise RuntimeError("the lab itself cannot be paused")
        if self.alive:
            self._process.stopped = self._process.paused = True

    def resume(self) -> None:
        """Go on; what fell due meanwhile runs in its order."""
        if self.paused:
            self._process.paused = False
            self._process.go_on()

    def revive(self) -> "Host":
        """After kill or vanish: the same host, with nothing running. Raises RuntimeError if it is alive."""
        if self.alive:
            raise RuntimeError(f"host {self.name} is alive")
        self.silent = False
        self._process = Process(self)
        return self


class Network:
    """Hosts and links. Addresses are flat: an (ip, port) is of the host that listens, or last did, there.

    `link` is asked for the link from one host to another (by name; a host may also connect to itself), once a
    pair. `window` (bytes) is what one direction of a connection holds in the kernels. `connect_ms` is what
    setting up a connection takes beyond its links.
    """

    def __init__(
        self,
        link: Callable[[str, str], Link] | None = None,
        *,
        connect_ms: float = 0.0,
        window: int = WINDOW,
        datagram_buffer: int = DATAGRAMS,
    ) -> None:
        self._make_link = (lambda _a, _b: FixedLink()) if link is None else link
        self.connect_s = connect_ms / 1000
        self.window = window
        self.datagram_buffer = datagram_buffer
        # Told of each datagram: the two hosts, its bytes, and its fate (passed, doubled, lost or cut).
        self.on_datagram: Callable[[str, str, bytes, str], None] = lambda *_: None
        self._loop: VirtualLoop | None = None
        self._links: dict[tuple[str, str], Link] = {}
        self._states: dict[tuple[str, str], str] = {}  # as `links_changed` last saw them
        self._hosts: dict[str, Host] = {}
        self._by_ip: dict[str, Host] = {}
        self._listeners: dict[Address, Listener] = {}
        self._bound: dict[Address, DatagramTransport] = {}
        self._owners: dict[Address, Host] = {}  # also of addresses where nobody listens any more
        self._ports: dict[str, int] = {}
        self._graves: list[Process] = []
        self.lab = self.host("lab")  # of code that runs on no host

    @property
    def loop(self) -> "VirtualLoop":
        """Raises RuntimeError before a loop was made on this network."""
        if self._loop is None:
            raise RuntimeError("no VirtualLoop was made on this network yet")
        return self._loop

    def _attach(self, loop: "VirtualLoop") -> None:
        if self._loop is not None:
            raise RuntimeError("a network belongs to one loop")
        self._loop = loop

    @property
    def hosts(self) -> list[Host]:
        return list(self._hosts.values())

    def host(self, name: str) -> Host:
        """Create or get."""
        if name not in self._hosts:
            self._hosts[name] = Host(self, name)
        return self._hosts[name]

    def link(self, a: str, b: str) -> Link:
        """The link from a to b, as it is kept."""
        found = self._links.get((a, b))
        if found is None:
            found = self._links[a, b] = self._make_link(a, b)
            self._states[a, b] = found.state
        return found

    def forget_links(self) -> None:
        """Ask for links anew. Open connections keep theirs."""
        self._links.clear()
        self._states.clear()

    def links_changed(self) -> None:
        """States of any links changed: `link_changed` for each that did."""
        for (a, b), link in list(self._links.items()):
            if link.state != self._states[a, b]:
                self.link_changed(a, b)

    def link_changed(self, a: str, b: str) -> None:
        """The state of the link from a to b is another one now.

        "reset" breaks all connections between the two at once, on both sides, but a side to which the link is
        silent is not told. "up" again lets sides that could not send go on, which breaks what lost bytes.
        """
        self._states[a, b] = state = self.link(a, b).state
        ends = [e for e in self.host(a)._process.endpoints if e.peer_host is self.host(b)]
        ends += [e for e in self.host(b)._process.endpoints if e.peer_host is self.host(a) and e not in ends]
        for end in ends:
            if state == "reset":
                end._cut_off()
            elif state == "up" and end.lossy and end.get_write_buffer_size():
                end._probe()

    # Who has which address

    def _owner(self, address: Address, source: Host) -> Host | None:
        owner = self._owners.get(address)
        if owner is None and address[0] == LOOPBACK:
            owner = self._owners.get((source.ip, address[1]))
        return owner or self._by_ip.get(address[0])

    def _own(self, ip: str, port: int, process: Process, taken: "Iterable[Address]") -> Address:
        """Raises OSError where somebody has it already."""
        if ip in WILDCARDS:
            ip = process.host.ip
        if not port:
            port = self._ports.get(ip, LISTENING_PORTS)
            while (ip, port) in taken or self._owners.get((ip, port), process.host) is not process.host:
                port += 1
            self._ports[ip] = port + 1
        elif (ip, port) in taken:
            raise OSError(errno.EADDRINUSE, f"error while attempting to bind on address {(ip, port)!r}")
        self._owners[ip, port] = process.host
        return ip, port

    def _source_port(self, ip: str) -> int:
        port = self._ports.get(f"from {ip}", SOURCE_PORTS)
        self._ports[f"from {ip}"] = port + 1 if port < 65_535 else SOURCE_PORTS
        return port

    # Connections

    def _process_now(self) -> Process:
        return HOST.get() or self.lab._process

    def _connect(self, name: str, port: int) -> StreamTransport:
        address = (normal(name), int(port))
        loop, process = self.loop, self._process_now()
        host = process.host
        if host.full:
            raise OSError(errno.EMFILE, "Too many open files")
        if host.system is not None:
            _fail_to_connect(host.system)
        sockname = (host.ip, self._source_port(host.ip))
        client = StreamTransport(loop, self, process, copy_context(), sockname, address)
        client.connected = loop.create_future()
        if process.dead:
            return client
        process.endpoints[client] = None
        owner = client.peer_host = self._owner(address, host)
        if owner is None:
            loop._kernel_at(loop._now + 2 * NO_HOST_S, client._arrive_refusal)
            return client
        client.out_link = link = self.link(host.name, owner.name)
        if link.state == "up":
            way = link.delay(loop._now * 1000, 0) / 1000
            client.out_last = loop._now + way + self.connect_s
            loop._kernel_at(client.out_last, self._arrive_syn, client, address, owner)
        elif link.state == "reset":
            client._cut_off()
        return client

    def _arrive_syn(self, client: StreamTransport, address: Address, owner: Host) -> None:
        assert client.out_link is not None and self._loop is not None
        if client.out_link.state != "up" or owner.silent:
            if client.out_link.state == "reset":
                client._cut_off()
            return
        listener = self._listeners.get(address)
        if listener is None and address[0] == LOOPBACK:
            listener = self._listeners.get((client.process.host.ip, address[1]))
        back = self.link(owner.name, client.process.host.name)
        if listener is None or not listener.serving:
            if back.state == "up":
                way = back.delay(self._loop._now * 1000, 0) / 1000
                self._loop._kernel_at(self._loop._now + way, client._arrive_refusal)
            return
        # A program may deepen the kernel's queue past what asyncio is told, which cannot be seen here.
        if len(listener.waiting) > max(listener.backlog, QUEUE):
            return  # as Linux does: a full queue drops what comes
        context = listener.context.copy()
        server = StreamTransport(
            self._loop, self, listener.process, context, client.peername, client.sockname
        )
        server.peer, client.peer = client, server
        server.peer_host = client.process.host
        server.out_link = back
        server.server = listener.server
        listener.process.endpoints[server] = None
        listener.arrived(server)
        server._signal(client._arrive_syn_ack)

    def _listen(
        self, names: Iterable[str | None], port: int, factory: Callable[[], Any], backlog: int
    ) -> "VirtualServer":
        process = self._process_now()
        server = VirtualServer(self.loop)
        if process.dead:
            return server
        for name in names:
            ip = normal(name or WILDCARDS[0])
            key = self._own(ip, port, process, self._listeners)
            listener = Listener(server, process, (ip, key[1]), key, factory, backlog)
            self._listeners[key] = listener
            process.listeners[listener] = None
            server.listeners.append(listener)
        return server

    # Datagrams

    def _bind(self, transport: "DatagramTransport", ip: str, port: int) -> Address:
        process = transport.process
        key = self._own(ip, port, process, self._bound)
        self._bound[key] = transport
        process.datagrams[transport] = None
        return key

    def _unbind(self, transport: "DatagramTransport") -> None:
        if self._bound.get(transport.key) is transport:
            del self._bound[transport.key]
        transport.process.datagrams.pop(transport, None)

    def _bound_at(self, address: Address, source: Host) -> "DatagramTransport | None":
        found = self._bound.get(address)
        if found is None and address[0] == LOOPBACK:
            found = self._bound.get((source.ip, address[1]))
        return found

    def _take_graves(self) -> list[Process]:
        graves, self._graves = self._graves, []
        return graves


def _fail_to_connect(system: SystemCalls) -> None:
    """Raises OSError where a call that opens a connection is to fail; one interrupted goes on by itself."""
    error = system.error("socket") or system.error("connect")
    if error is not None and not isinstance(error, InterruptedError):
        raise error


class Listener:
    """One listening socket."""

    def __init__(
        self,
        server: "VirtualServer",
        process: Process,
        sockname: Address,
        key: Address,
        factory: Callable[[], Any],
        backlog: int,
    ) -> None:
        self.server = server
        self.process = process
        self.sockname = sockname  # as it was asked for
        self.key = key  # where the network finds it
        self.context = copy_context()
        self.factory = factory
        self.backlog = backlog
        self.waiting: deque[StreamTransport] = deque()  # connections that the code has not accepted yet
        self.serving = False
        self._queued = self._resting = False
        self._failures = 0  # of accepting, in a row

    def arrived(self, endpoint: StreamTransport) -> None:
        """A connection is there to be accepted."""
        self.waiting.append(endpoint)
        self.process.waiting += 1
        self._queue()

    def _queue(self) -> None:
        if not self._queued and not self._resting:
            self._queued = True
            self.server._loop.call_soon(self._accept_some, context=self.context)

    def _accept_some(self) -> None:
        """In one go as many as the backlog that asyncio was told, as its loops do."""
        self._queued = False
        for _ in range(max(1, self.backlog)):
            if not self.waiting:
                return
            if self.serving and self.process.host.full:
                self._rest(OSError(errno.EMFILE, "Too many open files"))
                return
            system = self.process.host.system
            error = None if system is None or not self.serving else system.error("accept")
            if error is not None:
                self._failed(error)
                return
            self._failures = 0
            endpoint = self.waiting.popleft()
            self.process.waiting -= 1
            endpoint.context.run(self._accept, endpoint)
        if self.waiting:
            self._queue()

    def _failed(self, error: OSError) -> None:
        """What waits is there still, and is tried again."""
        if error.errno in OUT_OF_RESOURCE:
            self._rest(error)
            return
        loop, reports = self.server._loop, self.process.host.accept_pauses.reports
        if reports and not isinstance(error, (InterruptedError, ConnectionAbortedError)):
            loop.call_exception_handler({"message": "Exception in callback accept", "exception": error})
        self._resting = True
        loop.call_later(FAILED_CALL_S, self._go_on, context=self.context)

    def _rest(self, error: OSError) -> None:
        loop, pauses = self.server._loop, self.process.host.accept_pauses
        self._resting = True
        if pauses.reports:
            said = {"message": "socket.accept() out of system resource", "exception": error}
            loop.call_exception_handler(said)
        pause_s = min(pauses.first_s * 2**self._failures, pauses.most_s)
        self._failures = min(self._failures + 1, MOST_DOUBLINGS)
        loop.call_later(pause_s, self._go_on, context=self.context)

    def _go_on(self) -> None:
        self._resting = False
        if self.waiting:
            self._queue()

    def _accept(self, endpoint: StreamTransport) -> None:
        if endpoint.closed or not self.serving:
            endpoint._drop()
            return
        try:
            protocol = self.factory()
        except BaseException:
            endpoint._drop()
            raise
        self.server.attached += 1
        endpoint._attach(protocol)

    def close(self) -> None:
        network = self.process.host.network
        self.serving = False
        if network._listeners.get(self.key) is self:
            del network._listeners[self.key]
        self.process.listeners.pop(self, None)
        if self.waiting:
            self._resting = False
            self._queue()  # the kernel resets what nobody will accept


class VirtualServer(asyncio.AbstractServer):
    """As asyncio.Server."""

    def __init__(self, loop: "VirtualLoop") -> None:
        self._loop = loop
        self.listeners: list[Listener] = []
        self.attached = 0  # connections that it accepted and that are still open
        self._closed = False
        self._waiters: list[asyncio.Future[None]] = []
        self._forever: asyncio.Future[None] | None = None

    @property
    def sockets(self) -> tuple[SocketStandIn, ...]:
        return () if self._closed else tuple(SocketStandIn(listener.sockname) for listener in self.listeners)

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return self._loop

    def is_serving(self) -> bool:
        return any(listener.serving for listener in self.listeners)

    async def start_serving(self) -> None:
        for listener in self.listeners:
            listener.serving = not self._closed
        await asyncio.sleep(0)

    async def serve_forever(self) -> None:
        if self._closed or self._forever is not None:
            raise RuntimeError("server is closed, or served for ever already")
        await self.start_serving()
        self._forever = self._loop.create_future()
        try:
            await self._forever
        finally:
            self._forever = None
            self.close()

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        for listener in self.listeners:
            listener.close()
        if self._forever is not None and not self._forever.done():
            self._forever.cancel()
        self._wake()

    def detach(self) -> None:
        self.attached -= 1
        self._wake()

    def _wake(self) -> None:
        if self._closed and not self.attached:
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.done():
                    waiter.set_result(None)

    async def wait_closed(self) -> None:
        """Until it is closed and its connections ended; on Python 3.11 a closed one is not waited for."""
        if self._closed and (not self.attached or sys.version_info < (3, 12)):
            return
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        await waiter
