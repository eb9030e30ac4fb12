"""The nodes of a run in virtual time; each runs its real code on a separate host."""

import signal
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

import msgspec
import orjson

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.backend.virtual.fabric import VirtualFabric
from flintridge.lab.backend.virtual.node_counters import NodeCounters
from flintridge.lab.backend.virtual.observation import ConnectionSampler, FleetStateSampler
from flintridge.lab.backend.virtual.peers import VirtualPeers
from flintridge.lab.backend.virtual.process import NodeEventLog, VirtualProcess
from flintridge.lab.faults.injection import NO_FAULTS, Injector, SystemState
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import NodeLogLine, NodeStateChanged
from flintridge.lab.virtual.machine import AcceptPauses
from flintridge.node import Node
from flintridge.runtime.acceptor import FIRST_PAUSE_MS, MAX_PAUSE_MS

# With real descriptors the node accepts connections through its own reader. A virtual loop has no
# descriptors, so the pauses of that reader after a failed accept() are modelled here.
NODE_ACCEPT_PAUSES = AcceptPauses(FIRST_PAUSE_MS / 1000, MAX_PAUSE_MS / 1000, reports=False)
# Descriptors of a node that are not connections: its listener, event loop and standard streams.
RESERVED_DESCRIPTORS = 8
MAX_TEXT_CHARACTERS = 300  # limit of a message in a record


class VirtualNodes:
    """A NodeRunner in virtual time.

    Attributes:
        records_log_lines: Whether the nodes' log lines are recorded.
        fabric: The fabric of the run.
        peers: The peer configuration of the nodes; None if they are not peers.
        on_node_created: Called with each node before it starts.
    """

    def __init__(
        self,
        fabric: VirtualFabric,
        log: RecordLog,
        start_delay_ms: Callable[[str], float],
        config_of: Callable[[str], dict[str, Any]],
        on_node_created: Callable[[Node], object] | None = None,
        max_descriptors: int | None = None,
        peers: VirtualPeers | None = None,
    ) -> None:
        """Create without nodes; periodic records are made from now on.

        Args:
            fabric: The fabric of the run.
            log: The log of the run's records.
            start_delay_ms: Returns how long a node's program takes to load, in ms.
            config_of: Returns the content of a node's configuration file.
            on_node_created: Called with each node before it starts, for example to inject a defect.
            max_descriptors: The limit of descriptors of a node's process; None means no limit.
            peers: The peer configuration of the nodes; None if they are not peers.
        """
        self.fabric = fabric
        self.peers = peers
        self.on_node_created = on_node_created
        self.records_log_lines = peers is not None
        self._log = log
        self._start_delay_ms = start_delay_ms
        self._config_of = config_of
        self._max_connections = None if max_descriptors is None else max_descriptors - RESERVED_DESCRIPTORS
        self._processes: dict[str, VirtualProcess] = {}  # the latest process of each node
        self._injectors: dict[str, Injector] = {}  # for nodes that have or had operating system faults
        self._counters = NodeCounters()
        self._samplers: list[ConnectionSampler | FleetStateSampler] = [
            ConnectionSampler(fabric, log, self._running_processes)
        ]
        if peers is not None:
            fabric.network.on_datagram = peers.recorder(fabric, log)
            self._samplers.append(FleetStateSampler(fabric, log, self._running_processes))

    # NodeRunner

    async def start(self, node: str) -> None:
        """Start a node's process from its configuration; returns before it is ready."""
        host = self.fabric.network.host(node)
        if not host.alive:
            host.revive()
        host.max_connections = self._max_connections
        host.accept_pauses = NODE_ACCEPT_PAUSES
        log = NodeEventLog(partial(self._record_log_line, node))
        process = VirtualProcess(node, self._config_of(node), log)
        self._processes[node] = process
        self._record_state(node, "started")
        host.run(process.run(self))

    def kill(self, node: str) -> None:
        """Kill a node's process if it is running."""
        if self.running(node):
            self.fabric.network.host(node).kill()
            self._end(node, "killed", -signal.SIGKILL)

    def term(self, node: str) -> None:
        """Send SIGTERM to a node if it is running."""
        if self.running(node):
            self._record_state(node, "term")
            self._signal(node, signal.SIGTERM)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace a node's configuration file and send SIGHUP, if it is running."""
        if self.running(node):
            self._processes[node].config = config
            self._record_state(node, "hup")
            self._signal(node, signal.SIGHUP)

    def pause(self, node: str) -> None:
        """Pause a node's process if it is running."""
        if self.running(node):
            self._record_state(node, "paused")
            self.fabric.network.host(node).pause()

    def resume(self, node: str) -> None:
        """Resume a node's process if it is running."""
        if self.running(node):
            self._record_state(node, "resumed")
            self.fabric.network.host(node).resume()

    def quiesce(self, node: str) -> None:
        """Start a node's drain, as a command on its console does."""
        self._call_console(node, "quiesced", lambda served: served.quiesce())

    def unquiesce(self, node: str) -> None:
        """End a node's drain."""
        self._call_console(node, "back", lambda served: served.resume())

    def set_system(self, node: str, state: SystemState) -> None:
        """Set the faults of a node's operating system, also for processes started later."""
        if node not in self._injectors:
            seed = self._processes[node].config.get("seed") if node in self._processes else ""
            self._injectors[node] = Injector(f"{node}/{seed}")
        injector = self._injectors[node]
        if state.clock_offset_ms != injector.state.clock_offset_ms:
            injector.counts["injected_clock_step"] += 1
        injector.state = state
        calls_unaffected = msgspec.structs.replace(state, clock_offset_ms=0.0) == NO_FAULTS
        self.fabric.network.host(node).system_call_faults = None if calls_unaffected else injector

    def running(self, node: str) -> bool:
        """Whether a node's process is running."""
        return node in self._processes and not self._processes[node].ended.is_set()

    async def ended(self, node: str) -> None:
        """Wait until a node's process has ended."""
        if node in self._processes:
            await self._processes[node].ended.wait()

    async def close(self) -> None:
        """Kill all nodes and stop the periodic records."""
        for sampler in self._samplers:
            sampler.close()
        for process in list(self._running_processes()):
            self._counters.collect(process)
            process.ended.set()
            self.fabric.network.host(process.name).kill()

    def usage(self) -> RunUsage:
        """Return the resources that the nodes used so far."""
        for process in self._running_processes():
            self._counters.collect(process)
        counters = self._counters.totals()
        for node, injector in self._injectors.items():
            counters.setdefault(node, {}).update(injector.counts)
        return RunUsage(
            node_cpu_s=sum(self.fabric.network.host(node).busy_s for node in self._processes),
            counters=counters,
            histograms=self._counters.histograms,
        )

    # ProcessEnvironment

    def start_delay_ms(self, node: str) -> float:
        """Return how long a node's program takes to load, in ms."""
        return self._start_delay_ms(node)

    def wall_clock_ms(self, node: str) -> float:
        """Return the Unix time (ms) of a node's wall clock."""
        injector = self._injectors.get(node)
        offset_ms = 0.0 if injector is None else injector.state.clock_offset_ms
        return self.fabric.clock.unix_ms(self.fabric.clock.now()) + offset_ms

    def process_exited(self, node: str, code: int, text: str) -> None:
        """Record that a node's process exited by itself.

        Args:
            node: The node's name.
            code: The exit code.
            text: The error message, if any.
        """
        self._end(node, "exited", code, text)

    # Internal

    def _running_processes(self) -> Iterator[VirtualProcess]:
        return (process for process in self._processes.values() if not process.ended.is_set())

    def _signal(self, node: str, number: signal.Signals) -> None:
        host = self.fabric.network.host(node)
        host.signal(number)
        if not host.alive:  # the signal killed the process, because no handler was installed yet
            self._end(node, "exited", -number)

    def _call_console(self, node: str, state: str, call: Callable[[Node], object]) -> None:
        """Run a console command in the node's own process."""
        served = self._processes[node].node if self.running(node) else None
        if served is None:  # the node is not created yet, so its console does not respond
            return

        async def carry_out() -> None:
            call(served)

        self._record_state(node, state)
        self.fabric.network.host(node).run(carry_out())

    def _end(self, node: str, state: str, code: int, text: str = "") -> None:
        if self.running(node):
            process = self._processes[node]
            self._counters.collect(process)
            process.ended.set()
            self._record_state(node, state, code, text)

    def _record_log_line(self, node: str, event: str, fields: dict[str, object]) -> None:
        if self.records_log_lines:
            text = orjson.dumps(fields, default=str).decode()
            now = self.fabric.clock.now()
            self._log.add(NodeLogLine(at_ms=now, node=node, event=event, fields=text))

    def _record_state(self, node: str, state: str, code: int = 0, text: str = "") -> None:
        self._log.add(
            NodeStateChanged(
                at_ms=self.fabric.clock.now(),
                node=node,
                state=state,
                code=code,
                text=text[:MAX_TEXT_CHARACTERS],
            )
        )
