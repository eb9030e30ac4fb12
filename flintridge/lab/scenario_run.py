"""A scenario on a fabric, from the start of the fleet to the last response."""

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

READY_TIMEOUT_MS = 30_000.0  # of all nodes
SETTLE_MS = 1_000.0  # after the last response, in which late bytes and late attempts would still show


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
        scenario: What there is, what is offered to it, and what goes wrong.
        seeds: For all draws.
        log: Takes the records.
        fabric: The network and the clock.
        truth: What each request really is.
        make_nodes: Makes the nodes' runner for a fleet.
        on_request: Called with each request as it is sent first.

    Returns:
        The nodes, which still run, and the fleet, for whoever closes them.
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
