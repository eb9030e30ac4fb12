"""Plays a scenario's faults: each begins at its time, and what it did is undone at its end."""

import asyncio
import contextlib
import heapq
import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import msgspec

from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.faults.active import Active, On, burst_factor
from flintridge.lab.faults.choose import (
    Candidate,
    choose_nodes,
    choose_servers,
    generators,
    name_of,
)
from flintridge.lab.faults.controls import LoadControls
from flintridge.lab.faults.nodes import NodeState
from flintridge.lab.faults.servers import WorldState
from flintridge.lab.records import AnyRecord, DatagramRelayed, FaultChanged, MembershipReported, NodeLogLine
from flintridge.lab.scenario import model as m
from flintridge.lab.scenario.system_faults import NodeFault
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.fleet_plan import ServerPlan
from flintridge.membership.messages import MessageKind

RESTART_MS = 1000.0  # from a drained server's end to its start, where it comes back
SPARE_MS = 500.0  # that a churned server drains beyond the notice and the nodes' grace
SHOWN = 20  # names in a record
KINDS = {  # as scenarios name them
    int(MessageKind.PING): "ping",
    int(MessageKind.ACK): "ack",
    int(MessageKind.PING_REQUEST): "ask",
    int(MessageKind.INDIRECT_ACK): "reached",
    int(MessageKind.INDIRECT_NACK): "tried",
    int(MessageKind.GOSSIP): "news",
    int(MessageKind.ACK_RECEIPT): "done",
    int(MessageKind.PAYLOADS): "facts",
}
ENDS, BEGINS = 0, 1  # at the same instant, ends go first

# Faults that name nodes, or have some drawn
_OF_NODES = (m.NodeKill, m.NodeRestart, m.NodeDrain, m.NodePause, m.Reload, NodeFault, m.ClockStep)

Step = Callable[[], Awaitable[None]]


class Timeline:
    """The faults of one run; `run` is to be a task of its own."""

    def __init__(
        self,
        scenario: m.Scenario,
        seeds: Seeds,
        world: SimulatedFleet,
        fabric: Fabric,
        nodes: NodeRunner,
        load_controls: LoadControls,
    ) -> None:
        self._scenario, self._world, self._fabric = scenario, world, fabric
        self._clock, self._load = fabric.clock, load_controls
        self._rngs = generators(scenario.faults, seeds)
        self._active = Active()
        self._state = WorldState(world, fabric, self._active)
        self._nodes = NodeState(world, nodes, self._active, self._clock)
        self._steps: list[tuple[float, int, int, Step]] = []
        self._order = 0
        self._replacing: dict[int, list[tuple[ServerPlan, str]]] = {}  # what is gone, and where it listened
        self._begun: dict[int, str] = {}  # what has begun and not ended, with its detail
        self._hot = 0.0
        self._bad: tuple[float, tuple[str, ...]] = (0.0, ())
        self._stepping = asyncio.Lock()  # one change at a time
        self._side: list[asyncio.Task[None]] = []  # they wait for nodes to end
        self._task: asyncio.Task[None] | None = None
        self._stopped = False
        self._signs = 0  # faults that wait for something to be seen
        self._planned = asyncio.Event()

    async def run(self) -> None:
        """Play all faults, to the end of the last; returns then. What may go wrong in a step is raised."""
        self._task = asyncio.current_task()
        if any(isinstance(fault, m.Burst) for fault in self._scenario.faults):
            # All at once: the clients plan ahead, and would learn too late of a burst that begins.
            self._load.burst(partial(burst_factor, self._scenario.faults))
        for number, fault in enumerate(self._scenario.faults):
            begin = self._begin if fault.once is None else self._await_sign
            self._plan(fault.at_s * 1000, BEGINS, partial(begin, number, fault))
        while self._steps or self._signs:
            if not self._steps:
                await self._planned.wait()
                self._planned.clear()
                continue
            at = self._steps[0][0]
            if self._signs and at > self._clock.now():
                # What a sign sets off may be due before it.
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._planned.wait(), (at - self._clock.now()) / 1000)
                    self._planned.clear()
                    continue
            at, _, _, step = heapq.heappop(self._steps)
            await self._clock.sleep_until(at)
            async with self._stepping:
                await step()
        await asyncio.gather(*self._side)

    async def _await_sign(self, number: int, fault: m.AnyFault) -> None:
        """Have the fault begin when what it waits for is seen; its time counts from then on."""
        once = fault.once
        assert once is not None
        node = None if once.node is None else self._world.nodes[once.node]
        left = once.nth
        self._signs += 1

        def seen(record: AnyRecord) -> None:
            nonlocal left
            if left > 0 and _is_sign(once, node, record):
                left -= 1
                if left == 0:
                    now = self._clock.now()
                    begun = msgspec.structs.replace(fault, at_s=now / 1000)
                    over(partial(self._begin, number, begun), now)

        def over(step: Step | None, at: float = 0.0) -> None:
            nonlocal left
            left = 0
            self._signs -= 1
            late.cancel()
            if step is not None:
                self._plan(at, BEGINS, step)
            self._planned.set()

        def never() -> None:
            if left > 0:
                over(None)

        late = self._clock.call_later(once.until_s * 1000, never)
        self._world.log.watch(seen)

    async def stop(self) -> None:
        """End the run and undo all that is on; processes that are down stay so."""
        if self._stopped:
            return
        self._stopped = True
        tasks = [*self._side, *([self._task] if self._task is not None else [])]
        tasks = [task for task in tasks if task is not asyncio.current_task() and not task.done()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._steps.clear()
        self._active.on.clear()
        for number in list(self._begun):
            self._say(number, False)
        await self._apply(start=False)
        if any(isinstance(fault, m.Burst) for fault in self._scenario.faults):
            self._load.burst(_usual)

    # Steps

    def _plan(self, at: float, rank: int, step: Step) -> None:
        self._order += 1
        heapq.heappush(self._steps, (at, rank, self._order, step))

    def _plan_end(self, number: int, fault: m.TimedFault, ms: float | None = None) -> None:
        after = fault.for_s * 1000 if ms is None else ms
        self._plan(fault.at_s * 1000 + after, ENDS, partial(self._end, number))

    async def _begin(self, number: int, fault: m.AnyFault) -> None:
        on = self._about(number, fault)
        self._begun[number] = _detail(on)
        self._say(number, True)
        match fault:
            case m.Flush():
                self._world.objects.invalidate(fault.part, str(number))
                self._say(number, False)
            case m.ClockStep():
                self._active.on[number] = on  # for good
                await self._apply()
                self._say(number, False)
            case m.Reload():
                for node in on.nodes:
                    await self._nodes.reload(node)
                self._say(number, False)
            case m.Replace():
                await self._begin_replace(number, on, fault)
            case m.Churn():
                self._begin_churn(number, fault)
            case _:
                assert isinstance(fault, m.TimedFault)
                await self._begin_lasting(number, on, fault)

    def _about(self, number: int, fault: m.AnyFault) -> On:
        world, rng = self._world, self._rngs[number]
        if isinstance(fault, m.ServerFault):
            return On(fault, tuple(choose_servers(fault, self._candidates(), rng)))
        if isinstance(fault, _OF_NODES):
            return On(fault, nodes=tuple(choose_nodes(fault.nodes, fault.count, world.nodes, rng)))
        if isinstance(fault, m.PeerLink):
            return On(fault, ways=_ways(fault, world.nodes))
        if isinstance(fault, m.ZoneLoss):
            servers = tuple(name for name, host in world.servers.items() if host.zone == fault.zone)
            return On(fault, servers, tuple(n for n, zone in world.node_zones.items() if zone == fault.zone))
        return On(fault)

    async def _begin_lasting(self, number: int, on: On, fault: m.TimedFault) -> None:
        self._active.on[number] = on
        if isinstance(fault, m.NodeKill) or (
            isinstance(fault, m.ZoneLoss) and fault.how == "die" and fault.nodes
        ):
            for node in on.nodes:
                self._nodes.kill(node)
        elif isinstance(fault, m.NodeRestart):
            for node in on.nodes:
                self._nodes.term(node)
            self._side.append(asyncio.ensure_future(self._restart_nodes(number, on)))
        elif isinstance(fault, m.NodeDrain):
            for node in on.nodes:
                self._nodes.quiesce(node)
        await self._apply()
        if isinstance(fault, m.Drain):
            self._plan(fault.at_s * 1000 + fault.for_s * 1000, ENDS, partial(self._end_drain, number, on))
        elif isinstance(fault, m.NodeRestart) or (
            isinstance(fault, (m.Crash, m.NodeKill)) and not fault.for_s  # for good
        ):
            pass
        else:
            self._plan_end(number, fault)

    async def _end(self, number: int) -> None:
        on = self._active.on.pop(number, None)
        self._say(number, False)
        lost = on.fault if on is not None else None
        if on is not None and isinstance(lost, m.NodeDrain):
            for node in on.nodes:
                self._nodes.unquiesce(node)
        cold = on is not None and isinstance(lost, m.ZoneLoss) and lost.how != "die" and lost.cold
        await self._apply(cold=on.servers if on is not None and cold else ())

    async def _apply(self, start: bool = True, cold: tuple[str, ...] = ()) -> None:
        await self._state.apply(start, cold)
        await self._nodes.apply(start)
        self._apply_load()

    def _apply_load(self) -> None:
        hot = self._active.hot_part()
        if hot != self._hot:
            self._hot = hot
            if hot:
                self._load.hot_key(hot)
            else:
                self._load.cool()
        bad = self._active.bad_clients()
        if bad != self._bad:
            if self._bad[0]:
                self._load.bad_clients(*self._bad, False)
            if bad[0]:
                self._load.bad_clients(*bad, True)
            self._bad = bad

    # Drains, replacements, restarts

    async def _end_drain(self, number: int, on: On) -> None:
        """The servers stop, for good or for a moment."""
        on.stopped = True
        await self._apply()
        fault = on.fault
        if isinstance(fault, m.Drain) and fault.back:
            self._plan_end(number, fault, fault.for_s * 1000 + RESTART_MS)
        else:
            self._say(number, False)

    async def _begin_replace(self, number: int, on: On, fault: m.Replace) -> None:
        gone = [(self._world.servers[name].party, name) for name in on.servers]
        self._replacing[number] = [(self._world.remove(name), at) for at, name in gone]
        await self._apply()
        end = fault.at_s * 1000 + fault.for_s * 1000
        self._plan(end, ENDS, partial(self._end_replace, number, fault.same_address))

    async def _end_replace(self, number: int, same_address: bool) -> None:
        for spec, at in self._replacing.pop(number):
            await self._world.replace(spec, at if same_address else None)
        self._say(number, False)
        await self._apply()

    def _begin_churn(self, number: int, fault: m.Churn) -> None:
        begin, every = fault.at_s * 1000, fault.every_s * 1000
        order: list[str] = []
        count = int(fault.for_s * 1000 / every + 1e-9)
        for nth in range(max(1, count)):
            step = partial(self._churn_one, fault, order, self._rngs[number])
            self._plan(begin + nth * every, BEGINS, step)
        self._plan(begin + fault.for_s * 1000, ENDS, partial(self._end, number))

    async def _churn_one(self, fault: m.Churn, order: list[str], rng: random.Random) -> None:
        """Drain the next server in an order that comes to each once, and then to what replaced them."""
        servers = self._world.servers
        for _ in range(2):
            while order:
                name = order.pop()
                if name in servers and servers[name].up and not servers[name].model.draining:
                    self._world.drain(name)
                    at = self._clock.now() + self._churn_ms()
                    self._plan(at, ENDS, partial(self._churn_over, fault, name))
                    return
            order.extend(rng.sample(list(servers), len(servers)))

    async def _churn_over(self, fault: m.Churn, name: str) -> None:
        host = self._world.servers.get(name)
        if host is None:  # something else has replaced it meanwhile
            return
        at = host.party if fault.same_address else None
        await self._world.replace(self._world.remove(name), at)
        await self._apply()

    def _churn_ms(self) -> float:
        """Long enough for every node to be told and to end what it has there."""
        notice = self._scenario.discovery.notice_s
        longest = max(notice) if isinstance(notice, tuple) else notice
        return longest * 1000 + self._scenario.rules.drain_grace_ms + SPARE_MS

    async def _restart_nodes(self, number: int, on: On) -> None:
        fault = on.fault
        assert isinstance(fault, m.NodeRestart)
        for node in on.nodes:
            await self._nodes.end(node, fault.at_s * 1000)
        await self._clock.sleep_until((fault.at_s + fault.for_s) * 1000)
        async with self._stepping:
            await self._end(number)

    # Records

    def _candidates(self) -> list[Candidate]:
        servers = self._world.servers
        return [
            Candidate(name, self._world.plans[name].label, host.zone, host.kind.name)
            for name, host in servers.items()
        ]

    def _say(self, number: int, begins: bool) -> None:
        detail = self._begun[number] if begins else self._begun.pop(number)
        name = name_of(self._scenario.faults[number])
        self._world.log.add(FaultChanged(at_ms=self._clock.now(), name=name, begins=begins, detail=detail))


def _is_sign(once: m.Seen, node: str | None, record: AnyRecord) -> bool:
    match record:
        case NodeLogLine() if once.line:
            return record.event == once.line and node in (None, record.node)
        case MembershipReported() if once.heard is not None:
            return record.reachable <= once.heard and node in (None, record.node)
        case DatagramRelayed() if once.datagram:
            return KINDS.get(record.kind) == once.datagram and node in (None, record.source)
    return False


def _ways(fault: m.PeerLink, nodes: Sequence[str]) -> tuple[tuple[str, str], ...]:
    """From and to, each once."""
    sources = [nodes[i] for i in fault.nodes]
    targets = [nodes[i] for i in fault.to] or [node for node in nodes if node not in sources]
    ways = [(a, b) for a in sources for b in targets if a != b]
    return tuple(dict.fromkeys([*ways, *([(b, a) for a, b in ways] if fault.both else [])]))


def _usual(_: float) -> float:
    return 1.0


def _detail(on: On) -> str:
    """What the fault is about, or else its own figures."""
    fault = on.fault
    if isinstance(fault, (m.ServerFault, m.NodeKill, m.NodeRestart, m.NodePause, m.Reload)):
        names = on.servers or on.nodes
        more = f" and {len(names) - SHOWN} more" if len(names) > SHOWN else ""
        return ", ".join(names[:SHOWN]) + more
    skipped = ("at_s", "for_s", "once")
    shown = [(key, value) for key, value in fault.by_key().items() if key not in skipped]
    return ", ".join(f"{name}={value}" for name, value in shown)
