"""A day against real node processes on 127.0.0.0/8, in real time."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from flintridge.lab.backend.loopback_fabric import LoopbackFabric, precise_loop, raise_descriptor_limit
from flintridge.lab.backend.processes import ProcessNodes
from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.partial.admin_records import KEY
from flintridge.lab.partial.peer_network import PeerNetwork
from flintridge.lab.records import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth

# Before the warm-up: what the lab's listeners and the starts of the nodes take, on a slow machine
LEAD_S = 2.0
LEAD_A_NODE_S = 0.25
LEAD_A_LISTENER_S = 0.0005
SELDOM = 1000  # lesser collections before one that looks at all objects, which takes 0.05 s and more
SETTLE_MS = 500.0  # before the warm-up, when all should be there
LATE_MS, VERY_LATE_MS = 10.0, 50.0  # p99 and most, beyond which rules may seem broken by the lab itself
UNDO_S = 5.0  # for a day that is cut short

Outcome = tuple[str, dict[str, Any]]
Day = Callable[[Scenario, Seeds, RecordLog, Fabric, GroundTruth, Callable[[Any], NodeRunner]], Awaitable[Any]]


def play_loopback(scenario: Scenario, seed: int, log: RecordLog, day: Day) -> Outcome:
    """Play the day; why it ended ("whole", or what cut it short or died) and what it took, as
    `ProcessNodes.usage` with `lateness` and `troubles` of the lab beside it. To be called in the main thread.

    Raises ValueError where the system is not Linux, OSError where there are no ports or descriptors.
    """
    if sys.platform != "linux":
        raise ValueError("backend: 'loopback' needs Linux; 'virtual' runs everywhere")
    raise_descriptor_limit()
    told: list[int] = []
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        try:
            return runner.run(_minding_sigterm(_play(scenario, seed, log, day), told))
        except asyncio.CancelledError:
            if told:
                raise SystemExit(128 + told[0]) from None
            raise


async def _minding_sigterm(playing: Awaitable[Outcome], told: list[int]) -> Outcome:
    """SIGTERM ends the run as Ctrl-C does, with all that has to be undone."""
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None

    def end() -> None:
        told.append(signal.SIGTERM)
        task.cancel()

    loop.add_signal_handler(signal.SIGTERM, end)
    try:
        return await playing
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


async def _play(scenario: Scenario, seed: int, log: RecordLog, day: Day) -> Outcome:
    from flintridge.lab.world.link_table import LinkTable

    seeds, thresholds = Seeds(seed), gc.get_threshold()
    fabric = LoopbackFabric(LinkTable(scenario.links, seeds), lead_s(scenario) + scenario.warmup_s)
    made: list[ProcessNodes] = []
    warmup_ms = scenario.warmup_s * 1000
    timers = [
        fabric.clock.call_at(-warmup_ms - SETTLE_MS, _keep_what_is_there),
        fabric.clock.call_at(-warmup_ms, fabric.measure_anew),
    ]

    def make_nodes(world: Any) -> NodeRunner:
        nodes = process_nodes(fabric, log, scenario, world)
        made.append(nodes)
        return made[0]

    try:
        whole = await _within(
            day(scenario, seeds, log, fabric, GroundTruth(), make_nodes), scenario.wall_limit_s
        )
    finally:
        # The nodes may take until after these instants to end, and nothing is sampled any more.
        for timer in timers:
            timer.cancel()
        # First the connections, unseen: what the nodes do from now on is no part of the day.
        fabric.stop()
        for nodes in made:
            await nodes.close()
        fabric.close()
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    ended = "whole" if whole else f"wall limit: {scenario.wall_limit_s:g} s"
    return _outcome(ended, made, fabric)


def process_nodes(fabric: LoopbackFabric, log: RecordLog, scenario: Scenario, world: Any) -> ProcessNodes:
    """The day's nodes, with what stands between them where they hear one another."""
    nodes = ProcessNodes(fabric, log, fabric.clock, world.node_config, scenario, clients_of=fabric.clients_of)
    if scenario.peers is not None:
        key_file = nodes.folder / "key"
        key_file.write_bytes(KEY)
        nodes.peers = PeerNetwork(fabric, log, scenario.peers, tuple(world.nodes), str(key_file))
        if scenario.budgets is not None:
            nodes.peers.tables["budgets"] = msgspec.to_builtins(scenario.budgets)
    return nodes


def _keep_what_is_there() -> None:
    """Guards against pauses: listeners and requests drawn ahead, hundreds of thousands of objects, are there
    to stay; looked through for garbage in the middle of the day they would hold all timers up for 0.2 s."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], SELDOM)


async def _within(day: Awaitable[Any], limit_s: float) -> bool:
    """Whether the day ended in time; one that did not is given a little while to undo its doings."""
    task = asyncio.ensure_future(day)
    try:
        await asyncio.wait([task], timeout=limit_s)
        if task.done():
            task.result()
            return True
    finally:
        task.cancel()
    await asyncio.wait([task], timeout=UNDO_S)
    return False


def _outcome(ended: str, made: list[ProcessNodes], fabric: LoopbackFabric) -> Outcome:
    empty: dict[str, Any] = {
        "node_cpu_s": 0.0,
        "node_memory_mb": 0.0,
        "counters": {},
        "nodes": {},
        "unexpected": [],
    }
    usage = made[0].usage() if made else empty
    if usage["unexpected"] and ended == "whole":
        ended = "dead process: " + "; ".join(usage["unexpected"][:3])
    lateness = fabric.lateness()
    troubles = list(fabric.troubles)
    if lateness["p99_ms"] > LATE_MS or lateness["max_ms"] > VERY_LATE_MS:
        troubles.append(
            f"the machine was too busy to judge by: timers were {lateness['p99_ms']:.1f} ms late (p99), "
            f"{lateness['max_ms']:.1f} ms at most"
        )
    return ended, {**usage, "lateness": lateness, "troubles": troubles}


def lead_s(scenario: Scenario) -> float:
    """Seconds between the start of the run and that of the warm-up."""
    servers = sum(group.count for group in scenario.servers) + 3
    return LEAD_S + scenario.nodes.count * (LEAD_A_NODE_S + servers * LEAD_A_LISTENER_S)
