"""Runs a scenario in virtual time: event loop, network, and nodes with injected defects or an oracle."""

from collections.abc import Callable
from typing import Any

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.backend.virtual import VirtualFabric, VirtualNodes, VirtualPeers
from flintridge.lab.defects import DEFECTS
from flintridge.lab.fabric import NodeRunner
from flintridge.lab.partial.allocation_oracle import AllocationMode, AllocationOracle
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import NodeStateChanged
from flintridge.lab.scenario.model import Scenario, Span, records_node_logs
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.virtual import LivelockError, Network, VirtualLoop
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link_table import LinkTable
from flintridge.node import Node

STARTUP_MS = 2_000.0  # time before the warm-up in which nodes start and become ready
MAX_LIVELOCK_CHARACTERS = 300  # maximum length of the text in the record of a livelock


class VirtualRun:
    """One run of a scenario in virtual time.

    Args:
        scenario: The scenario to run.
        seed: The seed of all randomness in the run.
        log: The log to which records are added.
        defect: The name of a defect to inject into every node; None: no defect.
        allocation: The limits that an oracle allocates by demand; None: no oracle.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        log: RecordLog,
        defect: str | None,
        allocation: AllocationMode | None,
    ) -> None:
        self._scenario = scenario
        self._seeds = Seeds(seed)
        self._log = log
        self._defect = defect
        self._allocation = allocation
        links = LinkTable(scenario.links, self._seeds)
        self._loop = VirtualLoop(Network(links.link))
        lead_s = (STARTUP_MS + scenario.warmup_s * 1000) / 1000
        self._fabric = VirtualFabric(self._loop, links, self._loop.time() + lead_s)
        self._start_delay_rng = self._seeds.of("nodes/start")
        self._nodes: VirtualNodes | None = None

    def play(self, run: Callable[..., Any]) -> tuple[str, RunUsage]:
        """Run a coroutine function with the arguments of `run_scenario`.

        Returns:
            Why the run ended (`whole`, or the reason of an early end), and the nodes' resource usage.
        """
        scenario = self._scenario
        end_reason = "whole"
        try:
            self._loop.run(
                run(scenario, self._seeds, self._log, self._fabric, GroundTruth(), self._make_nodes),
                wall_limit_s=scenario.wall_limit_s,
            )
        except LivelockError as livelock:
            end_reason = f"stuck: {livelock}"
            self._record_livelock(livelock)
        usage = RunUsage() if self._nodes is None else self._nodes.usage()
        return end_reason, usage

    def _record_livelock(self, livelock: LivelockError) -> None:
        if livelock.host not in {f"n{i}" for i in range(self._scenario.nodes.count)}:
            return
        now = self._fabric.clock.now()
        text = str(livelock)[:MAX_LIVELOCK_CHARACTERS]
        self._log.add(NodeStateChanged(at_ms=now, node=livelock.host, state="stuck", text=text))

    def _make_nodes(self, fleet: SimulatedFleet) -> NodeRunner:
        scenario = self._scenario
        peers = None
        if scenario.peers is not None:
            entropy = self._seeds.of("peers").randbytes
            peers = VirtualPeers(scenario.peers, tuple(fleet.nodes), entropy, scenario.budgets)
        modifiers = self._modifiers(fleet)

        def modify(node: Node) -> None:
            for each in modifiers:
                each(node)

        nodes = VirtualNodes(
            self._fabric,
            self._log,
            lambda _node: draw(scenario.nodes.start_ms, self._start_delay_rng),
            fleet.node_config,
            modify,
            scenario.nodes.sockets,
            peers,
        )
        nodes.records_log_lines = records_node_logs(scenario)
        self._nodes = nodes
        return nodes

    def _modifiers(self, fleet: SimulatedFleet) -> list[Callable[[Node], object]]:
        """Return the functions that modify each node before it starts."""
        modifiers: list[Callable[[Node], object]] = []
        if self._defect is not None:
            modifiers.append(DEFECTS[self._defect].apply)
        if self._allocation is not None:
            tenants = [tenant.name for tenant in self._scenario.tenants]
            oracle = AllocationOracle(
                self._allocation, self._log, self._fabric.clock, list(fleet.nodes), tenants
            )
            modifiers.append(oracle.attach)
        return modifiers


def draw(span: Span, random: Any) -> float:
    """Draw one value of a span from a generator."""
    if isinstance(span, tuple):
        low, high = span
        return float(random.uniform(low, high))
    return float(span)
