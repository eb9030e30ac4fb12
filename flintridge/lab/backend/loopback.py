"""Plays a scenario against real node processes on 127.0.0.0/8, in real time."""

import asyncio
import gc
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import msgspec

from flintridge.lab.backend.loopback_fabric import LoopbackFabric, precise_loop, raise_descriptor_limit
from flintridge.lab.backend.processes import ProcessNodes
from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.partial.admin_records import KEY
from flintridge.lab.partial.peer_network import PeerNetwork
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth

# Before the warm-up: what the lab's listeners and the starts of the nodes take on a slow machine
LEAD_S = 2.0
LEAD_PER_NODE_S = 0.25
LEAD_PER_LISTENER_S = 0.0005
OTHER_LISTENERS = (
    3  # of each node's, beside those of the cache servers: origin, discovery and its second address
)
OLD_GENERATION_THRESHOLD = 1000  # collections of young objects before one of all, which takes 0.05 s and more
SETTLE_MS = 500.0  # before the warm-up, when all should be ready
MAX_LATENESS_P99_MS = 10.0  # beyond which rules may seem violated by the lab itself
MAX_LATENESS_MS = 50.0
CANCEL_TIMEOUT_S = 5.0  # for a run that is cut short

Outcome = tuple[str, RunUsage]
Run = Callable[[Scenario, Seeds, RecordLog, Fabric, GroundTruth, Callable[[Any], NodeRunner]], Awaitable[Any]]


def play_loopback(scenario: Scenario, seed: int, log: RecordLog, run: Run) -> Outcome:
    """Play a scenario, in the main thread.

    Args:
        scenario: The scenario.
        seed: Of all draws.
        log: Takes the records.
        run: Plays the scenario on a fabric.

    Returns:
        Why the run ended ("whole", or what cut it short or died), and what the nodes used.

    Raises:
        ValueError: If the system is not Linux.
        OSError: If there are no ports or descriptors.
    """
    if sys.platform != "linux":
        raise ValueError("backend: 'loopback' needs Linux; 'virtual' runs everywhere")
    raise_descriptor_limit()
    received_signals: list[int] = []
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        try:
            playing = _play(scenario, seed, log, run)
            return runner.run(_cancelled_by_sigterm(playing, received_signals))
        except asyncio.CancelledError:
            if received_signals:
                raise SystemExit(128 + received_signals[0]) from None
            raise


async def _cancelled_by_sigterm(playing: Awaitable[Outcome], received_signals: list[int]) -> Outcome:
    """End the run at SIGTERM as at Ctrl-C, with all that has to be undone."""
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    assert task is not None

    def cancel() -> None:
        received_signals.append(signal.SIGTERM)
        task.cancel()

    loop.add_signal_handler(signal.SIGTERM, cancel)
    try:
        return await playing
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


async def _play(scenario: Scenario, seed: int, log: RecordLog, run: Run) -> Outcome:
    from flintridge.lab.world.link_table import LinkTable

    seeds = Seeds(seed)
    thresholds = gc.get_threshold()
    fabric = LoopbackFabric(LinkTable(scenario.links, seeds), lead_s(scenario) + scenario.warmup_s)
    created: list[ProcessNodes] = []
    warmup_ms = scenario.warmup_s * 1000
    timers = [
        fabric.clock.call_at(-warmup_ms - SETTLE_MS, _freeze_objects),
        fabric.clock.call_at(-warmup_ms, fabric.lateness.reset),
    ]

    def make_nodes(world: Any) -> NodeRunner:
        nodes = process_nodes(fabric, log, scenario, world)
        created.append(nodes)
        return nodes

    try:
        running = run(scenario, seeds, log, fabric, GroundTruth(), make_nodes)
        completed = await _within(running, scenario.wall_limit_s)
    finally:
        # The nodes may take until after these instants to end, and nothing is sampled any more.
        for timer in timers:
            timer.cancel()
        # First the connections, unrecorded: what the nodes do from now on is no part of the run.
        fabric.stop()
        for nodes in created:
            await nodes.close()
        fabric.close()
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    end_reason = "whole" if completed else f"wall limit: {scenario.wall_limit_s:g} s"
    return _outcome(end_reason, created[0].usage() if created else RunUsage(), fabric)


def process_nodes(fabric: LoopbackFabric, log: RecordLog, scenario: Scenario, world: Any) -> ProcessNodes:
    """Return the nodes of a run, with the relays between them where they know one another.

    Args:
        fabric: The network.
        log: The run's records.
        scenario: The scenario.
        world: The fleet, which has the nodes' names and configurations.
    """
    nodes = ProcessNodes(fabric, log, fabric.clock, world.node_config, scenario, clients_of=fabric.clients_of)
    if scenario.peers is not None:
        key_file = nodes.folder / "key"
        key_file.write_bytes(KEY)
        nodes.peers = PeerNetwork(fabric, log, scenario.peers, tuple(world.nodes), str(key_file))
        if scenario.budgets is not None:
            nodes.peers.tables["budgets"] = msgspec.to_builtins(scenario.budgets)
    return nodes


def _freeze_objects() -> None:
    """Have the garbage collector skip all objects that exist now.

    Guards against pauses: listeners and requests drawn ahead, hundreds of thousands of objects, stay to the
    end; a collection that visits them in the middle of the run would delay all timers by 0.2 s.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], OLD_GENERATION_THRESHOLD)


async def _within(running: Awaitable[Any], limit_s: float) -> bool:
    """Whether the run ended in time; one that did not is given a little while to undo its effects."""
    task = asyncio.ensure_future(running)
    try:
        await asyncio.wait([task], timeout=limit_s)
        if task.done():
            task.result()
            return True
    finally:
        task.cancel()
    await asyncio.wait([task], timeout=CANCEL_TIMEOUT_S)
    return False


def _outcome(end_reason: str, usage: RunUsage, fabric: LoopbackFabric) -> Outcome:
    if usage.unexpected_ends and end_reason == "whole":
        end_reason = "dead process: " + "; ".join(usage.unexpected_ends[:3])
    lateness = fabric.lateness.summary()
    problems = list(fabric.problems)
    if lateness["p99_ms"] > MAX_LATENESS_P99_MS or lateness["max_ms"] > MAX_LATENESS_MS:
        problems.append(
            f"the machine was too busy to judge by: timers were {lateness['p99_ms']:.1f} ms late (p99), "
            f"{lateness['max_ms']:.1f} ms at most"
        )
    return end_reason, replace(usage, lateness_ms=lateness, lab_problems=problems)


def lead_s(scenario: Scenario) -> float:
    """Return the time (s) between the start of the run and that of its warm-up.

    Args:
        scenario: The scenario, which has the numbers of nodes and servers.
    """
    listeners = sum(group.count for group in scenario.servers) + OTHER_LISTENERS
    return LEAD_S + scenario.nodes.count * (LEAD_PER_NODE_S + listeners * LEAD_PER_LISTENER_S)
