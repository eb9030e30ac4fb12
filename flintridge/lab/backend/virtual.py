"""The day in virtual time: the fabric over the in-memory network, and the nodes as hosts on it."""

import asyncio
import os
import signal
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, cast

import msgspec
import orjson

from flintridge.config.address import Address
from flintridge.config.errors import ConfigError
from flintridge.config.model import Budgets as NodeBudgets
from flintridge.config.node_config import BudgetsConfig, PeersConfig
from flintridge.config.node_file import budgets_config
from flintridge.config.platform_config import node_config
from flintridge.lab.fabric import Links, Listener, RunClock
from flintridge.lab.faults.injection import SOUND, Injector, SystemState
from flintridge.lab.partial.admin_records import (
    FLEET,
    KEY,
    REPORT_INTERVAL_MS,
    datagram_record,
    lease_records,
    membership_record,
)
from flintridge.lab.records import ConnectionCount, NodeLogLine, NodeStateChanged, RecordLog
from flintridge.lab.scenario.model import Budgets, Peers
from flintridge.lab.virtual import Host, VirtualLoop
from flintridge.lab.virtual.machine import AcceptPauses
from flintridge.membership.messages import MessageCodec
from flintridge.node import Node
from flintridge.runtime.acceptor import FIRST_PAUSE_MS, MAX_PAUSE_MS
from flintridge.runtime.clock import ArrivalTrackingSelector, SystemClock
from flintridge.telemetry.counters import Counters

UNIX_MS = 1_700_000_000_000.0  # the Unix time at which each virtual day begins
LISTENING_PORT = 11211
KEPT_EVENTS = 400  # of each node's own log
SAMPLE_MS = 1000.0
# The node accepts by a reader of its own where there are descriptors, which a virtual loop has none of: what
# it does when accept() fails is modelled on that.
NODE_PAUSES = AcceptPauses(FIRST_PAUSE_MS / 1000, MAX_PAUSE_MS / 1000, reports=False)
NO_CONNECTIONS = 8  # descriptors of a node that are none: listener, event loop, standard streams


class VirtualClock:
    """DayClock on a virtual loop: `zero` is the loop's time (s) at which the day begins."""

    def __init__(self, loop: asyncio.AbstractEventLoop, zero: float) -> None:
        self._loop = loop
        self._zero = zero

    def now(self) -> float:
        return (self._loop.time() - self._zero) * 1000

    def unix_ms(self, at: float) -> float:
        return UNIX_MS + at

    def call_at(self, at: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self._loop.call_at(self._zero + at / 1000, call, *args)

    def call_later(self, ms: float, call: Callable[..., object], *args: object) -> asyncio.TimerHandle:
        return self._loop.call_later(ms / 1000, call, *args)

    async def sleep_until(self, at: float) -> None:
        await asyncio.sleep((at - self.now()) / 1000)


class VirtualFabric:
    """A Fabric on a Network whose hosts are the parties, by their names."""

    def __init__(self, loop: VirtualLoop, links: Links, day_begins_s: float) -> None:
        """`day_begins_s` is on the loop's clock."""
        self.loop = loop
        self.network = loop.network
        self.links = links
        self._day_begins_s = day_begins_s
        self.clock: RunClock = VirtualClock(loop, day_begins_s)
        self._numbers: dict[str, int] = {}

    def address(self, party: str, node: str) -> tuple[str, int]:
        number = self._numbers.setdefault(party, len(self._numbers))
        which = int(node[1:])
        return f"127.{16 + which // 200}.{which % 200}.{number % 250 + 1}", LISTENING_PORT + number // 250

    async def listen(self, party: str, node: str, factory: Callable[[], asyncio.Protocol]) -> Listener:
        host, port = self.address(party, node)
        return await self.network.host(party).run(self.loop.create_server(factory, host, port))

    async def connect(
        self, party: str, node: str, factory: Callable[[], asyncio.Protocol]
    ) -> asyncio.Transport:
        host, port = self.address("listen", node)
        connecting = self.loop.create_connection(factory, host, port)
        transport: asyncio.Transport
        transport, _ = await self.network.host(party).run(connecting)
        return transport

    def sent_at(self, transport: asyncio.BaseTransport) -> float:
        sent: float = transport.get_extra_info("sent_at")
        return (sent - self._day_begins_s) * 1000

    def links_changed(self) -> None:
        self.network.links_changed()

    def held_by(self, node: str) -> tuple[int, int]:
        """Connections whose ends on a node's machine are open: with clients, and with servers."""
        peers = self.network.host(node).peers()
        clients = sum(1 for peer in peers if peer[:1] == "c" and peer[1:].isdigit())
        return clients, sum(1 for peer in peers if not peer.startswith("discovery")) - clients


class NodeLog:
    """The log of a virtual node: its last events, and how many of each kind there were."""

    def __init__(self, clock: RunClock) -> None:
        self._clock = clock
        self.kinds: Counter[str] = Counter()
        self.told: Callable[[str, dict[str, object]], None] = lambda event, fields: None
        self.last: deque[tuple[float, str, dict[str, object]]] = deque(maxlen=KEPT_EVENTS)

    def event(self, event: str, **fields: object) -> None:
        self.kinds[event] += 1
        self.last.append((self._clock.now(), event, fields))
        self.told(event, fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        self.event(event, error=repr(error), **fields)


@dataclass(slots=True, frozen=True)
class VirtualPeers:
    """How the nodes of a virtual day hear one another: by one address each, as the network has the links.
    And what they lend one another, if anything."""

    part: Peers
    names: tuple[str, ...]
    entropy: Callable[[int], bytes]
    budgets: Budgets | None = None

    def shared(self) -> BudgetsConfig | None:
        """What of it is for `NodeConfig.budgets`."""
        if self.budgets is None:
            return None
        return budgets_config(msgspec.convert(msgspec.to_builtins(self.budgets), NodeBudgets))

    def config(self, fabric: VirtualFabric, node: str) -> PeersConfig:
        known = tuple((name, Address(*fabric.address("peers", name))) for name in self.names)
        listen = Address(*fabric.address("peers", node))
        return PeersConfig(listen, known, FLEET, KEY if self.part.sealed else None, self.part.bytes_per_s)

    def recorder(self, fabric: VirtualFabric, log: RecordLog) -> Callable[[str, str, bytes, str], None]:
        """What takes down each datagram between nodes."""
        codec = MessageCodec(FLEET, KEY if self.part.sealed else None)

        def seen(source: str, target: str, data: bytes, fate: str) -> None:
            log.add(datagram_record(codec, fabric.clock.now(), source, target, data, fate))

        return seen


class Arrivals:
    """Tells a virtual node what its selector would tell it of the arrival of what it reads."""

    def __init__(self, host: Host) -> None:
        self._host = host

    @property
    def earliest_arrival_s(self) -> float:
        """As ArrivalTrackingSelector has it."""
        return self._host.earliest_arrival_s


@dataclass(slots=True)
class Life:
    """One process of a node, from its start to its end."""

    config: dict[str, Any]
    log: NodeLog
    counters: Counters = field(default_factory=Counters)
    node: Node | None = None


class VirtualNodes:
    """A NodeRunner: each node's real code on a host of its own."""

    def __init__(
        self,
        fabric: VirtualFabric,
        log: RecordLog,
        start_ms: Callable[[str], float],
        config_of: Callable[[str], dict[str, Any]],
        plant: Callable[[Node], object] | None = None,
        sockets: int | None = None,
        peers: VirtualPeers | None = None,
    ) -> None:
        """`plant` is given each node right after it was put together: to plant a defect in it. `sockets` is
        how many descriptors a node's process may hold. `peers`: the nodes hear one another."""
        self._peers = peers
        self.keeps_lines = peers is not None
        self._fabric = fabric
        self._log = log
        self._start_ms = start_ms
        self._config_of = config_of
        self._plant = plant
        self._connections = None if sockets is None else sockets - NO_CONNECTIONS
        self._lives: dict[str, Life] = {}
        self._ended: dict[str, asyncio.Event] = {}
        self._injectors: dict[str, Injector] = {}  # of nodes whose systems are, or were, at fault
        self._counters: dict[str, Counter[str]] = {}
        self._histograms: dict[str, dict[str, dict[str, float]]] = {}
        self._sampler = fabric.clock.call_later(SAMPLE_MS, self._sample)
        self._viewer: asyncio.TimerHandle | None = None
        if peers is not None:
            fabric.network.on_datagram = peers.recorder(fabric, log)
            self._look_at_peers()

    def node(self, name: str) -> Node | None:
        """The node's object while it lives, for tests."""
        life = self._lives.get(name)
        return None if life is None else life.node

    def log_of(self, name: str) -> NodeLog | None:
        life = self._lives.get(name)
        return None if life is None else life.log

    async def start(self, node: str) -> None:
        host = self._fabric.network.host(node)
        if not host.alive:
            host.revive()
        host.max_connections = self._connections
        host.accept_pauses = NODE_PAUSES
        life = self._lives[node] = Life(self._config_of(node), NodeLog(self._fabric.clock))
        life.log.told = partial(self._line, node)
        self._ended[node] = asyncio.Event()
        self._say(node, "started")
        host.run(self._live(node, life))

    async def _live(self, name: str, life: Life) -> None:
        """What the daemon's main does, on this host."""
        loop = asyncio.get_running_loop()
        ending = asyncio.Event()
        early: list[int] = []
        loop.add_signal_handler(signal.SIGTERM, ending.set)
        loop.add_signal_handler(signal.SIGHUP, early.append, signal.SIGHUP)
        loop.set_exception_handler(lambda _, said: _unhandled(life, said))
        code, text = 1, ""
        try:
            await asyncio.sleep(self._start_ms(name) / 1000)
            arrivals = cast(ArrivalTrackingSelector, Arrivals(self._fabric.network.host(name)))
            clock = SystemClock(loop, self._wall_ms(name), arrivals)
            config = node_config(life.config, {})
            entropy = os.urandom
            if self._peers is not None:
                peers = self._peers.config(self._fabric, name)
                config = replace(config, peers=peers, budgets=self._peers.shared())
                entropy = self._peers.entropy
            node = life.node = Node(config, clock, life.log, life.counters, entropy=entropy)
            loop.add_signal_handler(signal.SIGHUP, self._read_again, name, life)
            if self._plant is not None:
                self._plant(node)
            await node.start()
            if early:
                self._read_again(name, life)
            await ending.wait()
            await node.leave()
            code = 0
        except ConfigError as error:
            code, text = 2, str(error)
        except Exception as error:  # the process ends by it, as the daemon would
            text = repr(error)
        self._over(name, "exited", code, text)
        # The process is gone: the kernel closes what it left open. From the lab, not from the process itself.
        loop.call_soon(self._fabric.network.host(name).kill)

    def _read_again(self, name: str, life: Life) -> None:
        assert life.node is not None
        try:
            new = node_config(life.config, {})
        except ConfigError as error:
            life.node.reject_reload(error)
        else:
            life.node.reload(new)

    def kill(self, node: str) -> None:
        if self.running(node):
            self._fabric.network.host(node).kill()
            self._over(node, "killed", -signal.SIGKILL)

    def term(self, node: str) -> None:
        if self.running(node):
            self._say(node, "term")
            self._fabric.network.host(node).signal(signal.SIGTERM)
            if not self._fabric.network.host(node).alive:  # it had no handler yet
                self._over(node, "exited", -signal.SIGTERM)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        if self.running(node):
            self._lives[node].config = config
            self._say(node, "hup")
            self._fabric.network.host(node).signal(signal.SIGHUP)
            if not self._fabric.network.host(node).alive:
                self._over(node, "exited", -signal.SIGHUP)

    def pause(self, node: str) -> None:
        if self.running(node):
            self._say(node, "paused")
            self._fabric.network.host(node).pause()

    def resume(self, node: str) -> None:
        if self.running(node):
            self._say(node, "resumed")
            self._fabric.network.host(node).resume()

    def quiesce(self, node: str) -> None:
        self._call(node, "quiesced", lambda served: served.quiesce())

    def unquiesce(self, node: str) -> None:
        self._call(node, "back", lambda served: served.resume())

    def set_system(self, node: str, state: SystemState) -> None:
        """Its calls fail as drawn; a process that starts later has the stepped clock."""
        if node not in self._injectors:
            drawn_seed = self._lives[node].config.get("seed") if node in self._lives else ""
            self._injectors[node] = Injector(f"{node}/{drawn_seed}")
        injector = self._injectors[node]
        if state.clock_ms != injector.state.clock_ms:
            injector.counts["injected_clock_step"] += 1
        injector.state = state
        quiet = msgspec.structs.replace(state, clock_ms=0.0) == SOUND
        self._fabric.network.host(node).system_call_faults = None if quiet else injector

    def _wall_ms(self, node: str) -> float:
        """Unix time as a node's machine has it."""
        injector = self._injectors.get(node)
        ahead = 0.0 if injector is None else injector.state.clock_ms
        return self._fabric.clock.unix_ms(self._fabric.clock.now()) + ahead

    def _call(self, name: str, said: str, call: Callable[[Node], object]) -> None:
        """What a call at the console does, in the node's own process."""
        node = self._lives[name].node if self.running(name) else None
        if node is None:  # not put together yet: nobody would answer the call
            return

        async def carry_out() -> None:
            call(node)

        self._say(name, said)
        self._fabric.network.host(name).run(carry_out())

    def _line(self, node: str, event: str, fields: dict[str, object]) -> None:
        if self.keeps_lines:
            told = orjson.dumps(fields, default=str).decode()
            self._log.add(NodeLogLine(at_ms=self._fabric.clock.now(), node=node, event=event, fields=told))

    def _look_at_peers(self) -> None:
        self._viewer = self._fabric.clock.call_later(REPORT_INTERVAL_MS, self._look_at_peers)
        now = self._fabric.clock.now()
        for name, life in self._lives.items():
            if not self.running(name) or life.node is None:
                continue
            if life.node.membership is not None and not self._fabric.network.host(name).paused:
                said = life.node.membership.admin_view().fields
                self._log.add(membership_record(now, name, said))
            if life.node.leases is not None:  # also of one that stands still: it may use it once it goes on
                said = life.node.leases.admin_status().fields
                for held in lease_records(now, name, said):
                    self._log.add(held)

    def running(self, node: str) -> bool:
        return node in self._ended and not self._ended[node].is_set()

    async def ended(self, node: str) -> None:
        if node in self._ended:
            await self._ended[node].wait()

    async def close(self) -> None:
        self._sampler.cancel()
        if self._viewer is not None:
            self._viewer.cancel()
        for node in list(self._lives):
            if self.running(node):
                self._count(node)
                self._ended[node].set()
                self._fabric.network.host(node).kill()

    def usage(self) -> dict[str, Any]:
        for node in self._lives:
            if self.running(node):
                self._count(node)
        busy = [self._fabric.network.host(node).busy_s for node in self._lives]
        counters = {node: dict(sorted(seen.items())) for node, seen in self._counters.items()}
        for node, injector in self._injectors.items():
            counters.setdefault(node, {}).update(injector.counts)
        return {
            "node_cpu_s": sum(busy),
            "node_memory_mb": 0.0,
            "counters": counters,
            "histograms": self._histograms,
        }

    def _sample(self) -> None:
        self._sampler = self._fabric.clock.call_later(SAMPLE_MS, self._sample)
        for node in self._lives:
            if self.running(node):
                clients, servers = self._fabric.held_by(node)
                self._log.add(
                    ConnectionCount(
                        at_ms=self._fabric.clock.now(), node=node, server_side=servers, client_side=clients
                    )
                )

    # A node's end

    def _over(self, node: str, state: str, code: int, text: str = "") -> None:
        if self.running(node):
            self._count(node)
            self._ended[node].set()
            self._say(node, state, code, text)

    def _count(self, node: str) -> None:
        """Add up what this life counted, once."""
        life = self._lives[node]
        seen = self._counters.setdefault(node, Counter())
        seen.update(life.counters.snapshot())
        seen.update({f"log_{kind}": count for kind, count in life.log.kinds.items()})
        self._histograms[node] = life.counters.histograms()
        life.counters = Counters()
        life.log.kinds.clear()

    def _say(self, node: str, state: str, code: int = 0, text: str = "") -> None:
        self._log.add(
            NodeStateChanged(
                at_ms=self._fabric.clock.now(), node=node, state=state, code=code, text=text[:300]
            )
        )


def _unhandled(life: Life, said: dict[str, Any]) -> None:
    life.log.event("unhandled", message=str(said.get("message")), error=repr(said.get("exception")))
