"""The fabric on loopback: a real event loop, real sockets in 127.0.0.0/8, the day's clock on real time."""

import asyncio
import ctypes
import errno
import resource
import select
import selectors
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram

from flintridge.lab.backend.loopback_wire import Wire
from flintridge.lab.fabric import Link, Links, RunClock
from flintridge.lab.fabric import Listener as ListenerProtocol

Address = tuple[str, int]
BACKLOG = 1024  # connections that wait to be accepted, a listener
ACCEPTS = 64  # that one turn of the loop takes from a listener
AGAIN_S = 0.1  # until a listener that got no descriptor tries again
FIRST_PORT, LAST_PORT = 20_000, 32_000  # below the ports that kernels hand out
PORTS = 8  # of each run, from its first one on
NODES_A_PORT = 200  # the second octet counts them
ANCHOR = "127.15.255.1"  # holding a port here keeps other runs off it
TICK_MS = 5.0  # how often the loop's lateness is looked at, whatever else it does

# Of Linux, which Python has no names for
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))  # "return 0": no byte passes


class PreciseSelector(selectors.EpollSelector):
    """epoll waits in whole milliseconds, which would double short delays and more; select in micros."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        own = self.fileno()
        if timeout is not None and timeout > 0 and own < 1024:  # beyond that select cannot watch it
            select.select([own], (), (), timeout)
            timeout = 0
        return super().select(timeout)


def precise_loop() -> asyncio.AbstractEventLoop:
    """An event loop whose timers are late by tens of microseconds, not by a millisecond."""
    return asyncio.SelectorEventLoop(PreciseSelector())


def raise_descriptor_limit() -> int:
    """Allow this process all the descriptors that it may have; their number."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    return hard


class RealClock:
    """DayClock on a real loop: `zero_s` is the loop's time at which the day begins."""

    def __init__(self, loop: asyncio.AbstractEventLoop, zero_s: float) -> None:
        self._loop = loop
        self._zero_s = zero_s
        self._unix_zero_ms = (time.time() - loop.time() + zero_s) * 1000

    def now(self) -> float:
        return (self._loop.time() - self._zero_s) * 1000

    def unix_ms(self, at: float) -> float:
        return self._unix_zero_ms + at

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self._loop.call_at(self._zero_s + at / 1000, call, *args)

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self._loop.call_later(ms / 1000, call, *args)

    async def sleep_until(self, at: float) -> None:
        await asyncio.sleep((at - self.now()) / 1000)


class Listener:
    """A listening socket that does what the links say.

    `up`: it accepts. `silent`: a filter on the socket drops all that comes, so that a connect hangs, and
    nothing is refused at the change. `reset`: it is closed, so that the kernel refuses, and opened again
    afterwards.
    """

    def __init__(
        self,
        fabric: "LoopbackFabric",
        address: Address,
        links: tuple[Link, Link],
        factory: Callable[[], asyncio.Protocol],
    ) -> None:
        """`links`: to the node and from it. Raises OSError."""
        self._fabric = fabric
        self._address = address
        self._links = links
        self._factory = factory
        self._socket: socket.socket | None = None
        self._deaf = False
        self._closed = False
        if state_of(links) != "reset":
            self._open()
        self.refresh()

    def refresh(self) -> None:
        """After the states of links may have changed."""
        state = state_of(self._links)
        if self._closed:
            return
        if state == "reset":
            self._shut()
            return
        if self._socket is None:
            try:
                self._open()
            except OSError as error:
                self._fabric.report(error, f"cannot listen at {self._address} again")
                return
        if (state == "silent") != self._deaf:
            self._deaf = state == "silent"
            self._set_filter(self._deaf)

    def close(self) -> None:
        """New connections are refused from now on; those that are open stay."""
        self._closed = True
        self._shut()
        self._fabric.forget_listener(self)

    def _open(self) -> None:
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            opened.bind(self._address)
            opened.listen(BACKLOG)
            opened.setblocking(False)
        except OSError:
            opened.close()
            raise
        self._socket = opened
        self._deaf = False
        self._fabric.loop.add_reader(opened.fileno(), self._accept)

    def _shut(self) -> None:
        if self._socket is not None:
            self._fabric.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _set_filter(self, on: bool) -> None:
        assert self._socket is not None
        if on:
            program = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))
            self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        else:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if self._socket is None:
                return
            try:
                sock, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause(error)
                return
            sock.setblocking(False)
            self._fabric.accepted(sock, self._factory, *self._links)

    def _pause(self, error: OSError) -> None:
        """With no descriptor to be had the loop would spin on a listener that stays ready."""
        assert self._socket is not None
        self._fabric.report(error, f"cannot accept at {self._address}")
        self._fabric.loop.remove_reader(self._socket.fileno())
        self._fabric.loop.call_later(AGAIN_S, self._resume, self._socket)

    def _resume(self, sock: socket.socket) -> None:
        if sock is self._socket:
            self._fabric.loop.add_reader(sock.fileno(), self._accept)


class LoopbackFabric:
    """A Fabric on loopback. Make it in a running loop; `close` ends all of it."""

    def __init__(self, links: Links, lead_s: float = 0.0) -> None:
        """The day begins `lead_s` from now. Raises OSError where no range of ports is free."""
        self.loop = asyncio.get_running_loop()
        self.links = links
        self.clock: RunClock = RealClock(self.loop, self.loop.time() + lead_s)
        self._port, self._anchors = _claim_ports()
        self._numbers: dict[str, int] = {}
        # Dicts that serve as sets: their order is that of arrival.
        self._wires: dict[Wire, None] = {}
        self._listeners: dict[Listener, None] = {}
        self._tasks: dict[asyncio.Task[Any], None] = {}
        self._late = HdrHistogram(1, 60_000_000, 3)  # of the ticks, in microseconds
        self._latest = 0.0
        self._closed = False
        self.troubles: list[str] = []  # of the lab itself, the first few
        self._tick(self.clock.now())

    # Fabric

    def address(self, party: str, node: str) -> Address:
        """Where `node` finds `party`; raises ValueError for a node's name that is not `n` and a number."""
        if node[:1] != "n" or not node[1:].isdecimal():
            raise ValueError(f"node {node!r}: n0, n1 ... are the nodes' names")
        which, number = int(node[1:]), self._numbers.setdefault(party, len(self._numbers))
        octets = (16 + which % NODES_A_PORT, number // 250, number % 250 + 1)
        return "127.{}.{}.{}".format(*octets), self._port + which // NODES_A_PORT

    async def listen(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> ListenerProtocol:
        """Accept at `address(party, node)`. Raises OSError."""
        listener = Listener(self, self.address(party, node), self._between(party, node), factory)
        self._listeners[listener] = None
        return listener

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        """Hangs where a link is silent, or becomes so on the way. Raises OSError."""
        out, back = self._between(party, node)
        await self._passage(out)
        sock = await self._dial(self.address("listen", node), back)
        wire = Wire(self, factory, out, back, accepted=False)
        wire.client_of = node
        self._wires[wire] = None
        try:
            await self.loop.create_connection(lambda: wire, sock=sock)
            await wire.ready
        except BaseException:  # also where the caller waits no longer
            wire.drop()
            raise
        return wire

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        assert isinstance(transport, Wire)
        return transport.sent

    def links_changed(self) -> None:
        """After states of links changed: listeners follow; connections on those now `reset` are reset."""
        for listener in list(self._listeners):
            listener.refresh()
        for wire in list(self._wires):
            if state_of((wire.out, wire.back)) == "reset":
                wire.cut()

    # For the run

    def measure_anew(self) -> None:
        """Forget how late timers were so far: while all is set up they are."""
        self._late.reset()
        self._latest = 0.0

    def lateness(self) -> dict[str, float]:
        """How late the lab's own timers are (ms): a busy machine shows here, not as a bad node."""
        late = self._late
        shares = {"p50_ms": 50.0, "p99_ms": 99.0, "p999_ms": 99.9}
        told = {name: late.get_value_at_percentile(share) / 1000 for name, share in shares.items()}
        return {"samples": float(late.total_count), **told, "max_ms": self._latest}

    @property
    def connections(self) -> int:
        """Connections that are not wholly over."""
        return len(self._wires)

    def clients_of(self, node: str) -> int:
        """Connections of clients to this node that are not wholly over."""
        return sum(1 for wire in self._wires if wire.client_of == node)

    def stop(self) -> None:
        """All listeners and connections end; no protocol hears of it, so that nothing is recorded."""
        self._closed = True
        for listener in list(self._listeners):
            listener.close()
        for wire in list(self._wires):
            wire.drop()
        for task in list(self._tasks):
            task.cancel()

    def close(self) -> None:
        """Stop, and leave the ports to others: after the nodes have ended, which have some of them."""
        self.stop()
        for anchor in self._anchors:
            anchor.close()

    # For wires and listeners

    def note_late(self, ms: float) -> None:
        """Of a timer of a connection: only the worst is kept, as these are many."""
        if ms > self._latest:
            self._latest = ms

    def forget(self, wire: Wire) -> None:
        self._wires.pop(wire, None)

    def forget_listener(self, listener: Listener) -> None:
        self._listeners.pop(listener, None)

    def accepted(
        self, sock: socket.socket, factory: Callable[[], asyncio.Protocol], out: Link, back: Link
    ) -> None:
        wire = Wire(self, factory, out, back, accepted=True)
        self._wires[wire] = None
        task = self.loop.create_task(self._attach(wire, sock))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    def report(self, error: Exception, message: str) -> None:
        if len(self.troubles) < 100:
            self.troubles.append(f"{message}: {error}")

    # Inner

    def _between(self, party: str, node: str) -> tuple[Link, Link]:
        return self.links.link(party, node), self.links.link(node, party)

    async def _attach(self, wire: Wire, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: wire, sock)
        except OSError:  # it was gone before we had it
            sock.close()
            wire.drop()

    async def _passage(self, link: Link) -> None:
        """A handshake's step over a link, which may be silent or reset before it or after it."""
        _stop_reset(link)
        if link.state == "up":
            await asyncio.sleep(link.delay(self.clock.now(), 0) / 1000)
            _stop_reset(link)
        if link.state == "silent":
            await self.loop.create_future()  # until the caller gives up

    async def _dial(self, address: Address, back: Link) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            await self.loop.sock_connect(sock, address)
        except OSError:
            sock.close()
            await self._passage(back)
            raise
        except BaseException:
            sock.close()
            raise
        return sock

    def _tick(self, due: float) -> None:
        if self._closed:
            return
        now = self.clock.now()
        self.note_late(now - due)
        self._late.record_value(min(max(1, int((now - due) * 1000)), 60_000_000))
        due = max(now, due + TICK_MS)  # a loop that stood still is not made to catch up
        self.clock.call_at(due, self._tick, due)


def state_of(links: tuple[Link, Link]) -> str:
    """Of both ways together: silent beats reset beats up."""
    states = [link.state for link in links]
    return "silent" if "silent" in states else "reset" if "reset" in states else "up"


def _stop_reset(link: Link) -> None:
    if link.state == "reset":
        raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")


def _claim_ports() -> tuple[int, list[socket.socket]]:
    """The first port of a range that no other run has, and the sockets that hold it."""
    for first in range(FIRST_PORT, LAST_PORT, PORTS):
        held: list[socket.socket] = []
        try:
            for port in range(first, first + PORTS):
                held.append(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
                held[-1].bind((ANCHOR, port))
        except OSError:
            for sock in held:
                sock.close()
            continue
        return first, held
    raise OSError(errno.EADDRINUSE, f"no ports are free from {FIRST_PORT} to {LAST_PORT}")
