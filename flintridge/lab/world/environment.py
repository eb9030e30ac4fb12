"""Objects that all simulated servers share."""

from dataclasses import dataclass

from flintridge.lab.fabric import Fabric
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.objects import Objects


@dataclass(slots=True, frozen=True)
class Environment:
    """The objects of a run that a simulated server needs.

    Attributes:
        fabric: Clock, addresses, links and listeners.
        log: The log that receives all records.
        truth: What clients really sent, by request id.
        objects: The values that servers hold.
        scenario: The scenario of the run.
        seeds: Source of all random number generators.
        nodes: Names of the nodes, each of which can connect to every server.
    """

    fabric: Fabric
    log: RecordLog
    truth: GroundTruth
    objects: Objects
    scenario: Scenario
    seeds: Seeds
    nodes: list[str]
