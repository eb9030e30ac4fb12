"""A rig to drive by hand: real processes of the unmodified program, with faults between them.

It is a day of the lab without its timeline: the same stand-ins, relays, consoles and records. Tests wait for
what they want to see, with a bound, and judge the records at the end.

    async with Rig(5, seed=3) as rig:
        await rig.until(rig.all_hear)
        rig.cut([0], [1, 2])
        await rig.until(lambda: rig.heard("n0") == 3)
        assert not rig.breaches()
"""

import asyncio
import time
from collections.abc import Callable, Sequence
from types import TracebackType
from typing import Any

import msgspec

from flintridge.lab.backend.loopback import process_nodes
from flintridge.lab.backend.loopback_fabric import LoopbackFabric, raise_descriptor_limit
from flintridge.lab.fabric import NodeRunner
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import fleet_limits, membership
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.records import LinkFaultChanged, MembershipReported, NodeLogLine, RecordLog
from flintridge.lab.result import Violation
from flintridge.lab.run import READY_MS, Announced
from flintridge.lab.scenario.model import Load, Nodes, Peers, RequestClass, Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link import NO_FAULT, LinkFault
from flintridge.lab.world.link_table import LinkTable

PATIENCE_S = 30.0  # for what a test waits for; a machine that is busy with other jobs takes longer
LOOK_S = 0.05


class Rig:
    """`count` nodes n0, n1 ... as processes; leave the block and nothing of them is left."""

    def __init__(
        self,
        count: int,
        seed: int = 1,
        scenario: Scenario | None = None,
        tables: dict[str, dict[str, Any]] | None = None,
        loaded: bool = False,
        **parts: Any,
    ) -> None:
        """`scenario`: the day's world, where a test needs another one than the usual of the lab. `parts`: of
        it, by the names of `Scenario` (`budgets`, `tenants`, `load` ...). `tables`: further tables of each
        node's configuration. `loaded`: clients send what the scenario says as long as the block lasts."""
        self.scenario = scenario or Scenario(
            name="rig", nodes=Nodes(count=count), peers=Peers(), load=Load(rate_per_s=1.0), length_s=3600.0,
            classes=(RequestClass(name="read"),),
        )  # fmt: skip
        self.scenario = msgspec.structs.replace(self.scenario, **parts)
        self.names = tuple(f"n{i}" for i in range(count))
        self.log = RecordLog()
        self._seed = seed
        self._tables = tables or {}
        self._loaded = loaded
        self._load: LoadDriver | None = None
        self._sending: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Rig":
        raise_descriptor_limit()
        seeds = Seeds(self._seed)
        self.links = LinkTable(self.scenario.links, seeds)
        self.fabric = LoopbackFabric(self.links)
        truth = GroundTruth()
        self.world = SimulatedFleet(self.scenario, seeds, self.log, self.fabric, truth)
        self.nodes = process_nodes(self.fabric, self.log, self.scenario, self.world)
        assert self.nodes.peers is not None
        self.net = self.nodes.peers
        self.net.tables |= self._tables
        self.runner: NodeRunner = self.nodes
        try:
            await self.world.open()
            if self._loaded:
                world = self.world
                self._load = LoadDriver(
                    self.scenario, seeds, self.log, truth, self.fabric, world.nodes, world.node_zones
                )
                await self._load.start()
                self.runner = Announced(self.nodes, self._load)
            for name in self.names:
                await self.runner.start(name)
            if self._load is not None:
                await self._load.wait_until_ready(READY_MS)
                self._sending = asyncio.ensure_future(self._load.run())
        except BaseException:
            await self._close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._close()

    async def _close(self) -> None:
        self.fabric.stop()
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.gather(self._sending, return_exceptions=True)
        if self._load is not None:
            await self._load.close()
        await self.nodes.close()
        await self.world.close()
        self.fabric.close()

    # Faults

    def way(self, source: str, target: str, **wrong: Any) -> None:
        """What is wrong from now on in that direction, by the names of `LinkFault`; nothing: it is sound."""
        fault = LinkFault(**wrong)
        self.links.set_fault(source, target, fault)
        told = {name: getattr(fault, name) for name in LinkFault.__dataclass_fields__}
        self.log.add(LinkFaultChanged(at_ms=self.fabric.clock.now(), source=source, target=target, **told))

    def ways(self, sources: Sequence[int], targets: Sequence[int], both: bool = True, **wrong: Any) -> None:
        for a in sources:
            for b in targets:
                self.way(self.names[a], self.names[b], **wrong)
                if both:
                    self.way(self.names[b], self.names[a], **wrong)

    def cut(self, sources: Sequence[int], targets: Sequence[int], both: bool = True) -> None:
        self.ways(sources, targets, both, cut=True)

    def heal(self) -> None:
        for a in self.names:
            for b in self.names:
                if a != b and self.links.link(a, b).fault is not NO_FAULT:
                    self.way(a, b)

    def kill(self, node: str) -> None:
        self.runner.kill(node)
        self.world.node_stopped(node)

    # What is seen

    def view(self, node: str, since: float = float("-inf")) -> MembershipReported | None:
        """The newest view that its console gave, where that is not older than `since` (ms of the day)."""
        for record in reversed(self.log.records):
            if record.at_ms < since:
                break
            if isinstance(record, MembershipReported) and record.node == node:
                return record
        return None

    def heard(self, node: str) -> int:
        """How many names it hears, itself included; 0 where its console has said nothing in the last 2 s."""
        view = self.view(node, self.fabric.clock.now() - 2_000)
        return 0 if view is None else view.reachable

    def all_hear(self, nodes: Sequence[str] = (), count: int | None = None) -> bool:
        want = len(self.names) if count is None else count
        return all(self.heard(node) == want for node in nodes or self.names)

    def standings(self, node: str, of: str) -> list[str]:
        """The states of the lives of a name, as that node's console last told them."""
        view = self.view(node)
        return [] if view is None else sorted(state for name, _, state, _ in view.members if name == of)

    def lines(self, event: str, node: str | None = None) -> list[NodeLogLine]:
        return [
            record
            for record in self.log.records
            if isinstance(record, NodeLogLine) and record.event == event and node in (None, record.node)
        ]

    async def until(self, holds: Callable[[], bool], patience_s: float = PATIENCE_S) -> None:
        """Raises TimeoutError with the last views where it never does."""
        end = time.monotonic() + patience_s
        while not holds():
            if time.monotonic() > end:
                views = {node: self.view(node) for node in self.names}
                told = {
                    n: v and (v.reachable, v.member_count, [one[:3] for one in v.members])
                    for n, v in views.items()
                }
                raise TimeoutError(f"it did not come to hold within {patience_s:g} s; last views: {told}")
            await asyncio.sleep(LOOK_S)

    async def console(
        self, node: str, path: str = "/admin/peers", method: str = "GET", body: bytes = b""
    ) -> dict[str, Any] | None:
        return await self.net.ask(node, path, method, body)

    async def told(self, node: str, holds: Callable[[dict[str, int]], bool]) -> None:
        """Wait until that holds of the counts on a node's console. Raises TimeoutError."""
        async with asyncio.timeout(PATIENCE_S):
            while (said := await self.console(node)) is None or not holds(said["counts"]):
                await asyncio.sleep(LOOK_S)

    def breaches(self) -> list[Violation]:
        """Of the rules on peers and on budgets, by the records alone."""
        scenario = msgspec.structs.replace(self.scenario, length_s=86_400.0)
        day = History(self.log, scenario, "loopback")
        findings = Findings((*membership.RULES, *fleet_limits.RULES))
        membership.check(day, findings)
        fleet_limits.check(day, findings)
        return findings.violations
