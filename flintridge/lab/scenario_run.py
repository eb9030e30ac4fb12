"""Runs a scenario on a backend, from the start of the fleet to the last response."""

import asyncio
from collections.abc import Callable

from flintridge.lab.announcing_runner import AnnouncingRunner
from flintridge.lab.fabric import Fabric, NodeRunner
from flintridge.lab.faults.timeline import Timeline
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.load.generated_requests import GeneratedRequest
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.fleet import SimulatedFleet

READY_TIMEOUT_MS = 30_000.0  # the time within which all nodes must be ready
SETTLE_MS = 1_000.0  # time after the last response in which late bytes and late attempts are still observed


async def run_scenario(
    scenario: Scenario,
    seeds: Seeds,
    log: RecordLog,
    fabric: Fabric,
    truth: GroundTruth,
    make_nodes: Callable[[SimulatedFleet], NodeRunner],
    on_request: Callable[[GeneratedRequest], object] | None = None,
) -> tuple[NodeRunner, SimulatedFleet]:
    """Run the whole scenario.

    Args:
        scenario: The scenario to run.
        seeds: The seeds of all randomness in the run.
        log: The log to which records are added.
        fabric: The network and the clock.
        truth: The ground truth of each request.
        make_nodes: Creates the runner of the nodes for a fleet.
        on_request: Called with each request when its first attempt is sent.

    Returns:
        The runner of the nodes, which are still running, and the fleet; the caller closes both.
    """
    fleet = SimulatedFleet(scenario, seeds, log, fabric, truth)
    await fleet.open()
    runner = make_nodes(fleet)
    load = LoadDriver(
        scenario, seeds, log, truth, fabric, fleet.nodes, fleet.node_zones, on_request=on_request
    )
    await load.start()
    runner = AnnouncingRunner(runner, load)
    for node in fleet.nodes:
        await runner.start(node)
    await load.wait_until_ready(READY_TIMEOUT_MS)
    timeline = Timeline(scenario, seeds, fleet, fabric, runner, load)
    faults = asyncio.ensure_future(timeline.run())
    try:
        await load.run()
        await fabric.clock.sleep_until(fabric.clock.now() + SETTLE_MS)
    finally:
        await timeline.stop()
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        await load.close()
    return runner, fleet
