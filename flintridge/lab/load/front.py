"""The front deals requests over the nodes that it knows to be ready, and learns late of those that died."""

import asyncio
from collections.abc import Mapping, Sequence

from flintridge.lab.fabric import Fabric
from flintridge.lab.load.answers import AnswerReader
from flintridge.lab.records import NodeStateChanged, RecordLog
from flintridge.lab.scenario.model import Span
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.draws import draw

POLL_MS = 100.0
POLL_LIMIT_MS = 1000.0  # for one poll; a node that is paused answers none
TERM_MS = (200.0, 400.0)  # after SIGTERM, until which new connections still go to a node
DRAIN_MS = 200.0  # after a node's no, until which new connections still go to it
MACHINE = "c0"  # whose links the polls go over


class Hello(asyncio.Protocol):
    """Asks `mn`; `answer` becomes True upon `MN`, False upon anything else."""

    def __init__(self) -> None:
        self.answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        self._reader = AnswerReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(b"mn\r\n")

    def data_received(self, data: bytes) -> None:
        for answer in self._reader.feed(data):
            self._say(answer.kind == "ready")

    def connection_lost(self, error: Exception | None) -> None:
        self._say(False)

    def _say(self, ready: bool) -> None:
        if not self.answer.done():
            self.answer.set_result(ready)


class Dealt:
    """Nodes over which requests are dealt evenly, by zone."""

    def __init__(self, zoned: Sequence[tuple[str, str]]) -> None:
        """`zoned`: each node with its zone, in their order."""
        self._all = [node for node, _ in zoned]
        self._by_zone: dict[str, list[str]] = {}
        for node, zone in zoned:
            self._by_zone.setdefault(zone, []).append(node)

    def at(self, zone: str, share: float) -> str | None:
        """One of the zone's, or of all where the zone has none; `share` (0 to 1) decides."""
        nodes = self._by_zone.get(zone) or self._all
        return nodes[int(share * len(nodes))] if nodes else None


class Front:
    """Which node a request goes to. The runner tells it what happens to nodes; it acts on that as late as a
    front would: on a death after the scenario's `notice_s`, on SIGTERM after 0.2 to 0.4 s, on a start once
    the node has answered `mn` with `MN`. After SIGTERM clients send on the connections that stay open, until
    the process is killed or another one starts."""

    def __init__(
        self,
        nodes: Sequence[str],
        zones: Mapping[str, str],
        notice: Span,
        fabric: Fabric,
        log: RecordLog,
        seeds: Seeds,
    ) -> None:
        """`zones` by node; `notice` in seconds."""
        self._nodes = tuple(nodes)
        self._zones = zones
        self._notice = notice
        self._fabric = fabric
        self._log = log
        self._rng = seeds.of("load/front")
        self._used = dict.fromkeys(nodes, False)
        self._ready = dict.fromkeys(nodes, False)
        self._life = dict.fromkeys(nodes, 0)  # changes with each start and death: what it began then is over
        self._deaths = dict.fromkeys(nodes, 0)
        self._polls: dict[str, asyncio.Task[None]] = {}
        self._changed = asyncio.Event()
        self._leaving: dict[str, None] = {}  # after SIGTERM: only connections that are open are used on
        self._to_new = Dealt(())  # over which new connections are dealt
        self._to_open = Dealt(())  # over which requests on open connections are: those that leave as well

    # What the runner tells

    def node_started(self, node: str) -> None:
        """Poll it until it is ready."""
        self._life[node] += 1
        self._forget_leaving(node)
        self._ready[node] = False
        self._stop_poll(node)
        self._polls[node] = asyncio.ensure_future(self._poll(node))

    def node_killed(self, node: str) -> None:
        """Its process died, or its machine vanished: noticed later."""
        self._life[node] += 1
        self._deaths[node] += 1
        self._forget_leaving(node)
        self._ready[node] = False
        self._stop_poll(node)
        after = draw(self._rng, self._notice) * 1000
        self._fabric.clock.call_later(after, self._notice_death, node)

    def node_term(self, node: str) -> None:
        """It got SIGTERM."""
        self._stop_poll(node)
        after = draw(self._rng, TERM_MS)
        self._fabric.clock.call_later(after, self._stop_using, node, self._life[node])

    def node_quiesced(self, node: str) -> None:
        """It was told to drain. It is asked `mn` every 0.1 s, until it has said no and yes again."""
        self._stop_poll(node)
        self._polls[node] = asyncio.ensure_future(self._poll_drain(node))

    # What clients ask

    def choose(self, zone: str, share: float) -> str | None:
        """One of the zone's nodes, or of all where the zone has none in use; `share` (0 to 1) decides."""
        return self._to_new.at(zone, share)

    def choose_open(self, zone: str, share: float) -> str | None:
        """As `choose`, for a request that may go on an open connection: nodes that leave count as well."""
        return self._to_open.at(zone, share)

    def is_leaving(self, node: str) -> bool:
        """Whether it gets no new connections after SIGTERM, though those that stay open are used on."""
        return node in self._leaving

    def deaths(self, node: str) -> int:
        """How often it has died so far: a connection from before a death was not closed by a live node."""
        return self._deaths[node]

    async def ready(self, limit_ms: float) -> bool:
        """Wait until all nodes are in use; False where `limit_ms` ran out."""
        try:
            async with asyncio.timeout(limit_ms / 1000):
                while not all(self._used.values()):
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """No poll goes on."""
        polls = list(self._polls.values())
        for node in self._nodes:
            self._stop_poll(node)
        await asyncio.gather(*polls, return_exceptions=True)

    # Its own

    def _use(self, node: str, used: bool) -> None:
        self._used[node] = used
        self._deal()
        self._changed.set()

    def _deal(self) -> None:
        zoned = [(node, self._zones.get(node, "")) for node in self._nodes]
        self._to_new = Dealt([(node, zone) for node, zone in zoned if self._used[node]])
        self._to_open = Dealt(
            [(node, zone) for node, zone in zoned if self._used[node] or node in self._leaving]
        )

    def _forget_leaving(self, node: str) -> None:
        if node in self._leaving:
            del self._leaving[node]
            self._deal()

    def _notice_death(self, node: str) -> None:
        if not self._ready[node]:  # it may have come back unnoticed
            self._use(node, False)

    def _stop_using(self, node: str, life: int) -> None:
        if self._life[node] == life:
            self._ready[node] = False
            self._leaving[node] = None
            self._use(node, False)

    def _stop_poll(self, node: str) -> None:
        poll = self._polls.pop(node, None)
        if poll is not None:
            poll.cancel()

    async def _poll(self, node: str) -> None:
        while not await self._hello(node):
            await asyncio.sleep(POLL_MS / 1000)
        self._ready[node] = True
        self._log.add(NodeStateChanged(at_ms=self._fabric.clock.now(), node=node, state="ready"))
        self._use(node, True)

    async def _poll_drain(self, node: str) -> None:
        while await self._hello(node):
            await asyncio.sleep(POLL_MS / 1000)
        await asyncio.sleep(DRAIN_MS / 1000)
        self._ready[node] = False
        self._use(node, False)
        await self._poll(node)

    async def _hello(self, node: str) -> bool:
        hello = Hello()
        try:
            async with asyncio.timeout(POLL_LIMIT_MS / 1000):
                await self._fabric.connect(MACHINE, node, lambda: hello)
                return await hello.answer
        except OSError:  # a time-out is one too
            return False
        finally:
            if hello.transport is not None:
                hello.transport.abort()
