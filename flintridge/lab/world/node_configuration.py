"""The configurations that nodes are started with."""

from typing import Any

from flintridge.lab.fabric import Fabric
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.discovery_host import DiscoveryHost
from flintridge.lab.world.fleet_plan import node_names, node_zones
from flintridge.lab.world.settings import node_settings

NodeConfiguration = dict[str, Any]
"""A node's configuration in the platform's form."""


class NodeConfigurations:
    """Makes them, with another seed for each start of a node."""

    def __init__(self, scenario: Scenario, seeds: Seeds, fabric: Fabric, discovery: DiscoveryHost) -> None:
        """Begin with no node started.

        Args:
            scenario: The scenario.
            seeds: Where the nodes' own seeds come from.
            fabric: Where nodes listen.
            discovery: Where they find it, and what is listed.
        """
        self._scenario = scenario
        self._seeds = seeds
        self._fabric = fabric
        self._discovery = discovery
        self._nodes = node_names(scenario)
        self._zones = node_zones(scenario)
        self._starts: dict[str, int] = dict.fromkeys(self._nodes, 0)

    def start(self, node: str) -> NodeConfiguration:
        """For another start of the node."""
        self._starts[node] += 1
        return self.current(node)

    def current(self, node: str) -> NodeConfiguration:
        """For the process that runs, as things are now."""
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
