"""A test rig: real processes of the unmodified program, with link faults that the test sets between them.

It works like a run of the lab without a fault timeline: the simulated servers, relays, admin APIs and records
are the same. Tests wait for a condition with a timeout, and check the records at the end.

    async with Rig(5, seed=3) as rig:
        await rig.wait_until(rig.all_reachable)
        rig.cut([0], [1, 2])
        await rig.wait_until(lambda: rig.reachable_count("n0") == 3)
        assert not rig.violations()
"""

import asyncio
import itertools
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import fields
from types import TracebackType
from typing import Any

import msgspec

from flintridge.lab.announcing_runner import AnnouncingRunner
from flintridge.lab.backend.loopback import process_nodes
from flintridge.lab.backend.loopback_fabric import LoopbackFabric, raise_descriptor_limit
from flintridge.lab.fabric import NodeRunner
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import fleet_limits, membership
from flintridge.lab.load.driver import LoadDriver
from flintridge.lab.partial.node_file_format import JsonObject
from flintridge.lab.partial.peer_network import MEMBERSHIP_PATH
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import LinkFaultChanged, MembershipReported, NodeLogLine
from flintridge.lab.result import Violation
from flintridge.lab.scenario.model import Load, Nodes, Peers, RequestClass, Scenario
from flintridge.lab.scenario_run import READY_TIMEOUT_MS
from flintridge.lab.seeds import Seeds
from flintridge.lab.truth import GroundTruth
from flintridge.lab.world.fleet import SimulatedFleet
from flintridge.lab.world.link import NO_FAULT, LinkFault
from flintridge.lab.world.link_table import LinkTable

WAIT_TIMEOUT_S = 30.0  # for any single condition that a test waits for; long enough on a busy machine
POLL_INTERVAL_S = 0.05
REPORT_MAX_AGE_MS = 2_000
CHECKED_LENGTH_S = 86_400.0  # scenario length for the rules; longer than any test, so that they check it all


class Rig:
    """Runs the nodes n0, n1 ... as processes for the duration of an `async with` block.

    The attributes from `links` on exist only within the block.

    Attributes:
        scenario: Defines the servers, the links and the load.
        names: The names of the nodes.
        log: All records of the run.
        links: The links between the nodes.
        fabric: Provides the addresses and the clock.
        fleet: The simulated servers.
        nodes: The processes of the nodes.
        network: The relays between the processes.
        runner: Starts and stops nodes, and notifies the clients of it.
    """

    def __init__(
        self,
        count: int,
        seed: int = 1,
        scenario: Scenario | None = None,
        tables: Mapping[str, Any] | None = None,
        loaded: bool = False,
        **scenario_changes: Any,
    ) -> None:
        """Prepare a rig.

        Args:
            count: The number of nodes.
            seed: The seed of all random draws.
            scenario: The scenario; None for a default with one request class and peers.
            tables: Additional tables for the configuration of every node.
            loaded: Whether clients send the scenario's load during the block.
            **scenario_changes: Fields of `Scenario` to replace (`budgets`, `tenants`, `load` ...).
        """
        self.scenario = scenario or Scenario(
            name="rig",
            nodes=Nodes(count=count),
            peers=Peers(),
            load=Load(rate_per_s=1.0),
            length_s=3600.0,
            classes=(RequestClass(name="read"),),
        )
        self.scenario = msgspec.structs.replace(self.scenario, **scenario_changes)
        self.names = tuple(f"n{i}" for i in range(count))
        self.log = RecordLog()
        self._seed = seed
        self._tables = tables or {}
        self._is_loaded = loaded
        self._clients: LoadDriver | None = None
        self._sending: asyncio.Task[None] | None = None

    async def __aenter__(self) -> "Rig":
        raise_descriptor_limit()
        seeds = Seeds(self._seed)
        self.links = LinkTable(self.scenario.links, seeds)
        self.fabric = LoopbackFabric(self.links)
        truth = GroundTruth()
        self.fleet = SimulatedFleet(self.scenario, seeds, self.log, self.fabric, truth)
        self.nodes = process_nodes(self.fabric, self.log, self.scenario, self.fleet)
        assert self.nodes.peers is not None
        self.network = self.nodes.peers
        self.network.tables |= self._tables
        self.runner: NodeRunner = self.nodes
        try:
            await self._start(seeds, truth)
        except BaseException:
            await self._close()
            raise
        return self

    async def _start(self, seeds: Seeds, truth: GroundTruth) -> None:
        await self.fleet.open()
        if self._is_loaded:
            self._clients = LoadDriver(
                self.scenario, seeds, self.log, truth, self.fabric, self.fleet.nodes, self.fleet.node_zones
            )
            await self._clients.start()
            self.runner = AnnouncingRunner(self.nodes, self._clients)
        for name in self.names:
            await self.runner.start(name)
        if self._clients is not None:
            await self._clients.wait_until_ready(READY_TIMEOUT_MS)
            self._sending = asyncio.ensure_future(self._clients.run())

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._close()

    async def _close(self) -> None:
        self.fabric.stop()
        if self._sending is not None:
            self._sending.cancel()
            await asyncio.gather(self._sending, return_exceptions=True)
        if self._clients is not None:
            await self._clients.close()
        await self.nodes.close()
        await self.fleet.close()
        self.fabric.close()

    # Faults

    def set_link_fault(self, source: str, target: str, **fault_fields: Any) -> None:
        """Set the fault of the link from one node to another.

        Args:
            source: The sending node.
            target: The receiving node.
            **fault_fields: Fields of `LinkFault`; none for a link without a fault.
        """
        fault = LinkFault(**fault_fields)
        self.links.set_fault(source, target, fault)
        recorded = {field.name: getattr(fault, field.name) for field in fields(LinkFault)}
        self.log.add(
            LinkFaultChanged(at_ms=self.fabric.clock.now(), source=source, target=target, **recorded)
        )

    def set_link_faults(
        self, sources: Sequence[int], targets: Sequence[int], both: bool = True, **fault_fields: Any
    ) -> None:
        """Set the fault of all links from `sources` to `targets`, and of those back if `both`.

        Nodes are given by their numbers.
        """
        for source, target in itertools.product(sources, targets):
            self.set_link_fault(self.names[source], self.names[target], **fault_fields)
            if both:
                self.set_link_fault(self.names[target], self.names[source], **fault_fields)

    def cut(self, sources: Sequence[int], targets: Sequence[int], both: bool = True) -> None:
        """Cut all links from `sources` to `targets`, and those back if `both`; nodes are given by number."""
        self.set_link_faults(sources, targets, both, cut=True)

    def heal(self) -> None:
        """End all link faults."""
        for source, target in itertools.permutations(self.names, 2):
            if self.links.link(source, target).fault is not NO_FAULT:
                self.set_link_fault(source, target)

    def kill(self, node: str) -> None:
        """Kill a node's process."""
        self.runner.kill(node)
        self.fleet.node_stopped(node)

    # Observation

    def last_report(self, node: str, since_ms: float = float("-inf")) -> MembershipReported | None:
        """Return a node's newest membership report; None if it has none at or after `since_ms`."""
        for record in reversed(self.log.records):
            if record.at_ms < since_ms:
                break
            if isinstance(record, MembershipReported) and record.node == node:
                return record
        return None

    def reachable_count(self, node: str) -> int:
        """Return how many nodes `node` reports as reachable, itself included.

        Returns 0 if the node has reported nothing in the last `REPORT_MAX_AGE_MS`.
        """
        report = self.last_report(node, self.fabric.clock.now() - REPORT_MAX_AGE_MS)
        return 0 if report is None else report.reachable

    def all_reachable(self, nodes: Sequence[str] = (), count: int | None = None) -> bool:
        """Whether each of `nodes` (by default all) reports `count` nodes (by default all) as reachable."""
        required = len(self.names) if count is None else count
        return all(self.reachable_count(node) == required for node in nodes or self.names)

    def member_states(self, node: str, name: str) -> list[str]:
        """Return the states that `node` last reported for the incarnations of the node `name`, sorted."""
        report = self.last_report(node)
        if report is None:
            return []
        return sorted(state for member, _, state, _ in report.members if member == name)

    def log_lines(self, event: str, node: str | None = None) -> list[NodeLogLine]:
        """Return the log lines of an event from one node's log, or from all nodes' logs if `node` is None."""
        return [
            record
            for record in self.log.records
            if isinstance(record, NodeLogLine) and record.event == event and node in (None, record.node)
        ]

    async def wait_until(self, condition: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Wait until a condition holds.

        Raises:
            TimeoutError: It did not hold within `timeout_s`; the message contains each node's last report.
        """
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                reports = {node: self._describe_report(node) for node in self.names}
                raise TimeoutError(
                    f"condition did not hold within {timeout_s:g} s; last membership reports: {reports}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    def _describe_report(self, node: str) -> str:
        report = self.last_report(node)
        if report is None:
            return "none"
        members = [member[:3] for member in report.members]
        return f"{report.reachable} of {report.member_count}: {members}"

    async def request_admin(
        self, node: str, path: str = MEMBERSHIP_PATH, method: str = "GET", body: bytes = b""
    ) -> JsonObject | None:
        """Return the body of a response of a node's admin API; None if there is none in time."""
        return await self.network.request_admin(node, path, method, body)

    async def wait_for_counters(self, node: str, condition: Callable[[dict[str, int]], bool]) -> None:
        """Wait until the counters that a node's admin API reports satisfy `condition`.

        Raises:
            TimeoutError: They did not within `WAIT_TIMEOUT_S`.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                response = await self.request_admin(node)
                if response is not None and condition(response["counts"]):
                    return
                await asyncio.sleep(POLL_INTERVAL_S)

    def violations(self) -> list[Violation]:
        """Return the violations of the rules on membership and on fleet-wide limits, found in the records."""
        scenario = msgspec.structs.replace(self.scenario, length_s=CHECKED_LENGTH_S)
        history = History(self.log, scenario, "loopback")
        findings = Findings((*membership.RULES, *fleet_limits.RULES))
        membership.check(history, findings)
        fleet_limits.check(history, findings)
        return findings.violations
