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

# Time before the warm-up, enough to open the lab's listeners and start the nodes on a slow machine.
LEAD_S = 2.0
LEAD_PER_NODE_S = 0.25
LEAD_PER_LISTENER_S = 0.0005
# Listeners for each node in addition to the cache servers: the origin and two addresses of discovery.
OTHER_LISTENERS = 3
# Garbage collections of younger objects before one of all objects, which takes 0.05 s and more.
OLD_GENERATION_THRESHOLD = 1000
SETTLE_MS = 500.0  # how long before the warm-up everything should be ready
MAX_LATENESS_P99_MS = 10.0  # above this, delays of the lab itself may look like violations of rules
MAX_LATENESS_MS = 50.0
CANCEL_TIMEOUT_S = 5.0  # how long a cancelled run may take to clean up

Outcome = tuple[str, RunUsage]
Run = Callable[[Scenario, Seeds, RecordLog, Fabric, GroundTruth, Callable[[Any], NodeRunner]], Awaitable[Any]]


def play_loopback(scenario: Scenario, seed: int, log: RecordLog, run: Run) -> Outcome:
    """Play a scenario; must be called in the main thread.

    Args:
        scenario: The scenario.
        seed: The seed of all random draws.
        log: The log that receives the records.
        run: Plays the scenario on a fabric.

    Returns:
        Why the run ended ("whole", or the reason for a premature end), and the resources that the nodes used.

    Raises:
        ValueError: If the operating system is not Linux.
        OSError: If no ports or descriptors are available.
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
    """Cancel the run on SIGTERM, with the same cleanup as on Ctrl-C."""
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
        completed = await _completes_within(running, scenario.wall_limit_s)
    finally:
        # The nodes may end only after these times, when nothing is sampled any more.
        for timer in timers:
            timer.cancel()
        # Close the connections first and record nothing: the shutdown of the nodes is not part of the run.
        fabric.stop()
        for nodes in created:
            await nodes.close()
        fabric.close()
        gc.unfreeze()
        gc.set_threshold(*thresholds)
    end_reason = "whole" if completed else f"wall limit: {scenario.wall_limit_s:g} s"
    return _outcome(end_reason, created[0].usage() if created else RunUsage(), fabric)


def process_nodes(fabric: LoopbackFabric, log: RecordLog, scenario: Scenario, world: Any) -> ProcessNodes:
    """Create the nodes of a run, and the relays between them if the scenario has peers.

    Args:
        fabric: The network.
        log: The log of the run's records.
        scenario: The scenario.
        world: The simulated fleet, which has the nodes' names and configurations.
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
    """Exclude all existing objects from garbage collection.

    Listeners and requests drawn in advance, hundreds of thousands of objects, live until the end of the run.
    A collection that visits them during the run would delay all timers by 0.2 s.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*gc.get_threshold()[:2], OLD_GENERATION_THRESHOLD)


async def _completes_within(running: Awaitable[Any], limit_s: float) -> bool:
    """Return whether the run ended in time; otherwise cancel it and wait up to CANCEL_TIMEOUT_S."""
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
            f"the machine was too busy to judge the run: timers were {lateness['p99_ms']:.1f} ms late (p99), "
            f"{lateness['max_ms']:.1f} ms at most"
        )
    return end_reason, replace(usage, lateness_ms=lateness, lab_problems=problems)


def lead_s(scenario: Scenario) -> float:
    """Return the time (s) from the start of the run to the start of its warm-up.

    Args:
        scenario: The scenario, which determines the numbers of nodes and servers.
    """
    listeners = sum(group.count for group in scenario.servers) + OTHER_LISTENERS
    return LEAD_S + scenario.nodes.count * (LEAD_PER_NODE_S + listeners * LEAD_PER_LISTENER_S)
