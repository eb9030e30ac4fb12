"""What all simulated servers share."""

from dataclasses import dataclass

from flintridge.lab.fabric import Fabric
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.objects import Objects


@dataclass(slots=True, frozen=True)
class Environment:
    """What a simulated server needs from the run.

    Attributes:
        fabric: Clock, addresses, links and listeners.
        log: Where records go.
        truth: What clients really sent.
        objects: The values that servers hold.
        scenario: The scenario of the run.
        seeds: Where generators of random numbers come from.
        nodes: Names of the nodes, each of which can connect.
    """

    fabric: Fabric
    log: RecordLog
    truth: GroundTruth
    objects: Objects
    scenario: Scenario
    seeds: Seeds
    nodes: list[str]
