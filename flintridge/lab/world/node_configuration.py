"""The configurations that nodes start with."""

from typing import Any

from flintridge.lab.fabric import Fabric
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.discovery_host import DiscoveryHost
from flintridge.lab.world.fleet_plan import node_names, node_zones
from flintridge.lab.world.settings import node_settings

NodeConfiguration = dict[str, Any]
"""A node's configuration in the platform's format."""


class NodeConfigurations:
    """Builds the configurations of nodes, with a different seed for each start of a node."""

    def __init__(self, scenario: Scenario, seeds: Seeds, fabric: Fabric, discovery: DiscoveryHost) -> None:
        """Start with no node started.

        Args:
            scenario: The scenario.
            seeds: Source of the seeds of the nodes.
            fabric: Provides the addresses at which nodes listen.
            discovery: Provides its address and the endpoint list of each node.
        """
        self._scenario = scenario
        self._seeds = seeds
        self._fabric = fabric
        self._discovery = discovery
        self._nodes = node_names(scenario)
        self._zones = node_zones(scenario)
        self._starts: dict[str, int] = dict.fromkeys(self._nodes, 0)

    def start(self, node: str) -> NodeConfiguration:
        """Return the configuration for a new start of the node."""
        self._starts[node] += 1
        return self.current(node)

    def current(self, node: str) -> NodeConfiguration:
        """Return the current configuration for the running process of the node."""
        index = self._nodes.index(node)
        host, port = self._fabric.address("listen", node)
        spec = self._scenario.nodes
        seed = self._seeds.of(f"node/{node}/{self._starts[node]}").getrandbits(64)
        return {
            "name": node,
            "listen": f"{host}:{port}",
            "discovery": self._discovery.address(node),
            "seed": f"{seed:016x}",
            "limits": {"sockets": spec.sockets, "memory_mb": spec.memory_mb},
            "known": self._discovery.list_for(node),
            "settings": node_settings(self._scenario, len(self._nodes), index, self._zones[node]),
        }
