"""One run: a scenario, a seed and a backend in; the judged result out."""

import asyncio
import gc
import resource
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from pathlib import Path
from typing import Any

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.backend.virtual import VirtualFabric, VirtualNodes, VirtualPeers
from flintridge.lab.defects import DEFECTS
from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.faults.timeline import Timeline
from flintridge.lab.judge.verdict import judge
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.load.trace import write as write_trace
from flintridge.lab.partial.allocation_oracle import AllocationMode, AllocationOracle
from flintridge.lab.records import NodeStateChanged, RecordLog
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import FolderErrors, NodeDrain, Scenario, Span, keeps_lines
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import LivelockError, Network, VirtualLoop
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link_table import LinkTable
from flintridge.node import Node

BACKENDS = ("virtual", "loopback")
LEAD_MS = 2_000.0  # before the warm-up: nodes start and get ready
READY_MS = 30_000.0  # so long they may take
MAX_LIVELOCK_CHARACTERS = 300  # of its message in the log
SETTLE_MS = 1_000.0  # after the last answer, in which late bytes and late attempts would still show


def play(
    scenario: Scenario,
    seed: int,
    *,
    backend: str = "virtual",
    defect: str | None = None,
    events: Path | None = None,
    trace: Path | None = None,
    dealing: AllocationMode | None = None,
) -> Result:
    """Play a day and judge it.

    `defect` names one of `flintridge.lab.defects.DEFECTS` to plant in every node (virtual only); `events` is
    a file for the log, one JSON line a record; `trace` one for the requests, to be replayed by another day
    (`load.trace`); `dealing`: budgets are dealt out by demand (virtual only). Raises ValueError for a backend
    or defect that there is none of, OSError where the log cannot be written.
    """
    if backend not in BACKENDS:
        raise ValueError(f"backend: {backend!r}: one of {', '.join(BACKENDS)}")
    if defect is not None and (backend != "virtual" or defect not in DEFECTS):
        raise ValueError(f"defect: {defect!r}: one of {', '.join(sorted(DEFECTS))}, on the virtual backend")
    if backend != "virtual" and dealing is not None:
        raise ValueError(f"dealing: on the virtual backend only, and this is {backend!r}")
    if backend != "virtual" and any(isinstance(fault, NodeDrain) for fault in scenario.faults):
        raise ValueError(f"faults: node_drain: on the virtual backend only, and this is {backend!r}")
    if backend != "loopback" and any(isinstance(fault, FolderErrors) for fault in scenario.faults):
        raise ValueError(f"faults: folder_errors: on the loopback backend only, and this is {backend!r}")
    began, cpu = time.perf_counter(), time.process_time()
    log = RecordLog()
    requests: list[GeneratedRequest] = []
    playing = day if trace is None else partial(day, on_request=requests.append)
    if backend == "virtual":
        ended, usage = _play_virtual(scenario, seed, log, defect, playing, dealing)
    else:
        from flintridge.lab.backend.loopback import play_loopback

        ended, usage = play_loopback(scenario, seed, log, playing)
    if events is not None:
        log.write(events)
    if trace is not None:
        write_trace(trace, requests)
    with _no_collections():
        result = judge(log, scenario, seed, backend)
    result.end_reason = ended
    result.digest = log.digest()
    result.records = len(log)
    result.wall_s = time.perf_counter() - began
    result.node_cpu_s = usage.node_cpu_s
    result.lab_cpu_s = time.process_time() - cpu - (usage.node_cpu_s if backend == "virtual" else 0.0)
    result.node_memory_mb = usage.node_memory_mb
    result.peak_memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    result.counters = usage.counters
    result.histograms = usage.histograms
    result.lab_problems = usage.lab_problems
    result.lateness_ms = usage.lateness_ms
    result.expectation = _unmet(scenario, result)
    return result


async def day(
    scenario: Scenario,
    seeds: Seeds,
    log: RecordLog,
    fabric: Fabric,
    truth: GroundTruth,
    make_nodes: Callable[[SimulatedFleet], NodeRunner],
    on_request: Callable[[GeneratedRequest], object] | None = None,
) -> tuple[NodeRunner, SimulatedFleet]:
    """The whole day on a fabric; the nodes still run at its end, for whoever closes them."""
    world = SimulatedFleet(scenario, seeds, log, fabric, truth)
    await world.open()
    runner = make_nodes(world)
    load = LoadDriver(
        scenario, seeds, log, truth, fabric, world.nodes, world.node_zones, on_request=on_request
    )
    await load.start()
    runner = Announced(runner, load)
    for node in world.nodes:
        await runner.start(node)
    await load.wait_until_ready(READY_MS)
    timeline = Timeline(scenario, seeds, world, fabric, runner, load)
    faults = asyncio.ensure_future(timeline.run())
    try:
        await load.run()
        await fabric.clock.sleep_until(fabric.clock.now() + SETTLE_MS)
    finally:
        await timeline.stop()
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        await load.close()
    return runner, world


class Announced:
    """A NodeRunner that tells the front of its nodes' starts and ends, as the platform does."""

    def __init__(self, runner: NodeRunner, load: LoadDriver) -> None:
        self._runner = runner
        self._load = load

    async def start(self, node: str) -> None:
        await self._runner.start(node)
        self._load.load_balancer.node_started(node)

    def kill(self, node: str) -> None:
        self._runner.kill(node)
        self._load.load_balancer.node_killed(node)

    def term(self, node: str) -> None:
        self._load.load_balancer.node_terminating(node)
        self._runner.term(node)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        self._runner.reload(node, config)

    def pause(self, node: str) -> None:
        self._runner.pause(node)

    def resume(self, node: str) -> None:
        self._runner.resume(node)

    def quiesce(self, node: str) -> None:
        self._runner.quiesce(node)
        self._load.load_balancer.node_draining(node)

    def unquiesce(self, node: str) -> None:
        self._runner.unquiesce(node)

    def set_system(self, node: str, state: SystemState) -> None:
        """As the runner that it announces for."""
        self._runner.set_system(node, state)

    def running(self, node: str) -> bool:
        return self._runner.running(node)

    async def ended(self, node: str) -> None:
        await self._runner.ended(node)

    async def close(self) -> None:
        await self._runner.close()

    def usage(self) -> RunUsage:
        """As the runner that it announces for."""
        return self._runner.usage()


def _play_virtual(
    scenario: Scenario,
    seed: int,
    log: RecordLog,
    defect: str | None,
    playing: Callable[..., Any],
    dealing: AllocationMode | None = None,
) -> tuple[str, RunUsage]:
    seeds = Seeds(seed)
    links = LinkTable(scenario.links, seeds)
    loop = VirtualLoop(Network(links.link))
    fabric = VirtualFabric(loop, links, loop.time() + (LEAD_MS + scenario.warmup_s * 1000) / 1000)
    starts = seeds.of("nodes/start")
    made: list[VirtualNodes] = []

    def make_nodes(world: SimulatedFleet) -> NodeRunner:
        start_ms = lambda _: drawn(scenario.nodes.start_ms, starts)  # noqa: E731
        sockets = scenario.nodes.sockets
        peers = None
        if scenario.peers is not None:
            entropy = seeds.of("peers").randbytes
            peers = VirtualPeers(scenario.peers, tuple(world.nodes), entropy, scenario.budgets)
        plants: list[Callable[[Node], object]] = [] if defect is None else [DEFECTS[defect].apply]
        if dealing is not None:
            tenants = [tenant.name for tenant in scenario.tenants]
            plants.append(AllocationOracle(dealing, log, fabric.clock, list(world.nodes), tenants).attach)

        def plant(node: Node) -> None:
            for each in plants:
                each(node)

        nodes = VirtualNodes(fabric, log, start_ms, world.node_config, plant, sockets, peers)
        nodes.records_log_lines = keeps_lines(scenario)
        made.append(nodes)
        return made[0]

    ended = "whole"
    try:
        loop.run(
            playing(scenario, seeds, log, fabric, GroundTruth(), make_nodes),
            wall_limit_s=scenario.wall_limit_s,
        )
    except LivelockError as livelock:
        ended = f"stuck: {livelock}"
        if livelock.host in {f"n{i}" for i in range(scenario.nodes.count)}:
            now = fabric.clock.now()
            text = str(livelock)[:MAX_LIVELOCK_CHARACTERS]
            log.add(NodeStateChanged(at_ms=now, node=livelock.host, state="stuck", text=text))
    usage = made[0].usage() if made else RunUsage()
    return ended, usage


@contextmanager
def _no_collections() -> Iterator[None]:
    """Guards the judging of a large day: it makes objects by the hundred thousand and no garbage, and each
    collection would walk them all."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def drawn(span: Span, random: Any) -> float:
    """One value of a Span."""
    if isinstance(span, tuple):
        low, high = span
        return float(random.uniform(low, high))
    return float(span)


def _unmet(scenario: Scenario, result: Result) -> str:
    expect, unmet = scenario.expect, []
    if expect.goodput_at_least is not None and result.goodput < expect.goodput_at_least:
        unmet.append(f"goodput {result.goodput:.4f} is below {expect.goodput_at_least}")
    unmet += [f"rule {rule} was kept" for rule in expect.breaks if not result.rules.get(rule)]
    return "; ".join(unmet)
