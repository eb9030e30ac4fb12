"""The nodes of a run as real processes: started, signalled, watched, and never left behind."""

import asyncio
import atexit
import signal
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path
from typing import Any

from flintridge.lab.backend.node_launcher import NodeLauncher
from flintridge.lab.backend.node_output import MAX_TEXT_CHARACTERS
from flintridge.lab.backend.node_process import KILL_TIMEOUT_S, EndRequest, NodeProcess
from flintridge.lab.backend.process_resources import SAMPLE_S
from flintridge.lab.backend.usage import ProcessUsage, RunUsage
from flintridge.lab.fabric import Fabric, RunClock
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.partial.peer_network import PeerNetwork
from flintridge.lab.records import ConnectionCount, NodeLogLine, NodeStateChanged, RecordLog
from flintridge.lab.scenario.model import Scenario, keeps_lines

NODE_COMMAND = (sys.executable, "-m", "flintridge")
INTERNAL_SOCKETS = 4  # of a node: its listener, its loop's own pair, its watch of discovery
CLOSE_GRACE_S = 3.0  # beyond the longest deadline: how long nodes may take to end after SIGTERM
CANNOT_START = 127  # exit code of a process that could not be started


class ProcessNodes:
    """A NodeRunner on real processes. Make it in a running loop; `close` leaves nothing behind.

    Nodes die with the thread that started them, so that is to be the lab's main thread.

    Attributes:
        peers: Relays between nodes that know one another; set before the first start.
        unexpected_ends: Processes that ended without being asked to, or that did not end when asked.
    """

    def __init__(
        self,
        fabric: Fabric,
        log: RecordLog,
        clock: RunClock,
        config_of: Callable[[str], dict[str, Any]],
        scenario: Scenario,
        *,
        command: Sequence[str] = NODE_COMMAND,
        close_grace_s: float | None = None,
        clients_of: Callable[[str], int] = lambda _: 0,
    ) -> None:
        """Run no node yet; connections and resources are sampled from now on.

        Args:
            fabric: It has the nodes' addresses.
            log: The run's records.
            clock: The run's clock.
            config_of: Returns a node's configuration file.
            scenario: The scenario.
            command: Starts a node.
            close_grace_s: What nodes are given at the end before they are killed; None: by the deadlines.
            clients_of: Counts the connections that clients hold to a node.
        """
        self.peers: PeerNetwork | None = None
        self.unexpected_ends: list[str] = []
        self._records_log_lines = keeps_lines(scenario)
        self._log = log
        self._clock = clock
        self._config_of = config_of
        self._clients_of = clients_of
        max_deadline_ms = max(request_class.deadline_ms for request_class in scenario.classes)
        self._close_grace_s = (
            CLOSE_GRACE_S + max_deadline_ms / 1000 if close_grace_s is None else close_grace_s
        )
        self._loop = asyncio.get_running_loop()
        self._launcher = NodeLauncher(fabric, scenario, command)
        self._processes: dict[str, list[NodeProcess]] = {}  # by node, in the order of their starts
        self._closed = False
        self._sample_timer: asyncio.TimerHandle | None = None
        atexit.register(self._kill_all_now)
        self._sample()

    # NodeRunner

    async def start(self, node: str) -> None:
        """Start a node's process from its configuration; returns before it is ready.

        Raises:
            RuntimeError: If it runs already or all is closed.
            ValueError: If its name is not of letters and digits.
        """
        if self._closed:
            raise RuntimeError("the nodes are closed")
        if self.running(node):
            raise RuntimeError(f"node {node!r} is running already")
        if not node.isalnum():
            raise ValueError(f"node {node!r}: letters and digits only")
        await self.ended(node)  # the one before must be gone from its port
        if self.peers is not None:
            await self.peers.open()
        config = self._config_of(node)
        self._write_config(node, config)
        self._record_state(node, "started")
        try:
            popen = self._launcher.launch(
                node, self._launcher.config_path(node), seed=str(config.get("seed", ""))
            )
            process = NodeProcess(node, popen)
        except OSError as error:
            self._record_state(node, "exited", CANNOT_START, str(error))
            self._add_unexpected_end(node, CANNOT_START, str(error))
            return
        self._watch(node, process)

    async def start_beside(self, node: str, console: str) -> str:
        """Start a second process of a node that runs, as in an upgrade.

        Args:
            node: The node's name.
            console: The address of the second process's console; the rest of its configuration is the same.

        Returns:
            The name by which the second process is called here.

        Raises:
            RuntimeError: If that runs already.
            OSError: If it cannot be started.
        """
        second = f"{node}+"
        if self._closed or self.running(second):
            raise RuntimeError(f"node {second!r} runs already, or the nodes are closed")
        self._launcher.write_variant(node, second, console=console)
        self._record_state(second, "started")
        popen = self._launcher.launch(node, self._launcher.config_path(second))
        self._watch(second, NodeProcess(second, popen))
        return second

    def kill(self, node: str) -> None:
        """Kill a node's process where it runs."""
        if self.running(node):
            process = self._processes[node][-1]
            process.end_request = EndRequest.KILL
            process.resources.sample()
            process.send_signal(signal.SIGKILL)
            self._record_state(node, "killed", -signal.SIGKILL)

    def term(self, node: str) -> None:
        """Send a node SIGTERM where it runs."""
        if self.running(node):
            self._record_state(node, "term")
            process = self._processes[node][-1]
            process.end_request = EndRequest.TERM
            process.send_signal(signal.SIGTERM)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace a node's configuration file and send it SIGHUP, where it runs."""
        if self.running(node):
            self._write_config(node, config)
            self._signal(node, "hup", signal.SIGHUP)

    def pause(self, node: str) -> None:
        """Pause a node's process where it runs."""
        if self.running(node):
            self._signal(node, "paused", signal.SIGSTOP)

    def resume(self, node: str) -> None:
        """Have a node's process go on where it runs."""
        if self.running(node):
            self._signal(node, "resumed", signal.SIGCONT)

    def quiesce(self, node: str) -> None:
        """Raise NotImplementedError: no console is open."""
        raise NotImplementedError("node_drain is played in virtual time only: no console is opened here")

    def unquiesce(self, node: str) -> None:
        """Raise NotImplementedError: no console is open."""
        raise NotImplementedError("node_drain is played in virtual time only: no console is opened here")

    def set_system(self, node: str, state: SystemState) -> None:
        """Set what is wrong with a node's operating system, also for processes started later."""
        self._launcher.faults.set_state(node, state)

    def running(self, node: str) -> bool:
        """Whether a node runs: also while it ends after SIGTERM, not once it was killed."""
        if node not in self._processes:
            return False
        process = self._processes[node][-1]
        return not process.ended.is_set() and process.end_request is not EndRequest.KILL

    async def ended(self, node: str) -> None:
        """Wait until a node's process has ended."""
        if node in self._processes:
            await self._processes[node][-1].ended.wait()

    async def close(self) -> None:
        """Send SIGTERM to all and SIGKILL to those that do not end in time; nothing of them is left."""
        self._closed = True  # a fault's end may still want to start one
        if self.peers is not None:
            self.peers.close()
        running = self._not_ended()
        try:
            for process in running:
                process.resources.sample()
                if process.end_request is EndRequest.NONE:
                    process.end_request = EndRequest.CLOSE
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGCONT)  # one that is paused could not end
            await _wait_for_ends(running, self._close_grace_s)
            for process in self._not_ended():
                self._kill_stuck(process)
            await _wait_for_ends(self._not_ended(), KILL_TIMEOUT_S)
        finally:  # also where the wait was interrupted
            if self._sample_timer is not None:
                self._sample_timer.cancel()
            self._kill_all_now()
            atexit.unregister(self._kill_all_now)

    def usage(self) -> RunUsage:
        """What the nodes used so far."""
        for process in self._not_ended():
            process.resources.sample()
        everything = [process.resources for processes in self._processes.values() for process in processes]
        return RunUsage(
            node_cpu_s=sum(resources.cpu_s for resources in everything),
            node_memory_mb=max((resources.memory_mb for resources in everything), default=0.0),
            counters={
                node: _sum_counters(processes) | self._launcher.faults.counts(node)
                for node, processes in self._processes.items()
            },
            nodes={node: _node_usage(processes) for node, processes in self._processes.items()},
            unexpected_ends=list(self.unexpected_ends),
        )

    # For tests and reports

    def pid(self, node: str) -> int:
        """Return the number of a node's latest process.

        Raises:
            KeyError: If the node was never started.
        """
        return self.process(node).popen.pid

    def process(self, node: str) -> NodeProcess:
        """Return a node's latest process.

        Raises:
            KeyError: If the node was never started.
        """
        return self._processes[node][-1]

    def lines(self, node: str) -> list[str]:
        """Return the last lines that a node's latest process wrote."""
        return list(self.process(node).output.lines)

    @property
    def folder(self) -> Path:
        """The run's own folder, until `close`."""
        return self._launcher.folder

    # Starts and signals

    def _write_config(self, node: str, config: dict[str, Any]) -> None:
        if self.peers is not None:
            config = self.peers.node_file(node, config)
        self._launcher.write_config(node, config)

    def _watch(self, name: str, process: NodeProcess) -> None:
        process.output.on_event = partial(self._record_log_line, name)
        self._processes.setdefault(name, []).append(process)
        self._loop.add_reader(process.pidfd, self._on_exit, process)
        self._loop.add_reader(process.output.descriptor, self._on_output, process)

    def _signal(self, node: str, state: str, number: signal.Signals) -> None:
        self._record_state(node, state)
        self._processes[node][-1].send_signal(number)

    # Ends

    def _on_output(self, process: NodeProcess) -> None:
        if not process.output.read():
            self._loop.remove_reader(process.output.descriptor)

    def _on_exit(self, process: NodeProcess) -> None:
        code = process.reap()
        if code is None:
            return
        process.output.read()
        self._release(process)
        # By SIGTERM itself: the process had not come so far as to handle signals.
        in_order = code in (0, -signal.SIGTERM)
        request = process.end_request
        unexpected = request is EndRequest.NONE or (request is not EndRequest.KILL and not in_order)
        if unexpected or request is EndRequest.TERM:
            self._record_state(process.node, "exited", code, process.output.last_words())
        if unexpected:
            self._add_unexpected_end(process.node, code, process.output.last_words())

    def _add_unexpected_end(self, node: str, code: int, text: str) -> None:
        self.unexpected_ends.append(f"{node} exited with {code}" + (f": {text}" if text else ""))

    def _kill_stuck(self, process: NodeProcess) -> None:
        if process.end_request is not EndRequest.KILL:
            text = f"did not end within {self._close_grace_s:g} s of SIGTERM"
            self.unexpected_ends.append(f"{process.node} {text}")
            self._record_state(process.node, "stuck", text=text)
        process.end_request = EndRequest.KILL
        process.send_signal(signal.SIGKILL)

    def _kill_all_now(self) -> None:
        """End all without the loop: for an end in the middle of things."""
        for process in self._not_ended():
            process.kill_now()
            self._release(process)
        self._launcher.remove_folder()

    def _release(self, process: NodeProcess) -> None:
        if not self._loop.is_closed():
            self._loop.remove_reader(process.pidfd)
            self._loop.remove_reader(process.output.descriptor)
        process.close()

    def _not_ended(self) -> list[NodeProcess]:
        latest = [processes[-1] for processes in self._processes.values()]
        return [process for process in latest if not process.ended.is_set()]

    # Records

    def _sample(self) -> None:
        for process in self._not_ended():
            process.resources.sample()
            sockets = process.resources.open_sockets()
            if sockets is not None:
                self._record_connections(process.node, sockets)
        self._sample_timer = self._loop.call_later(SAMPLE_S, self._sample)

    def _record_connections(self, node: str, sockets: int) -> None:
        clients = self._clients_of(node)
        servers = max(0, sockets - clients - INTERNAL_SOCKETS)
        now = self._clock.now()
        self._log.add(ConnectionCount(at_ms=now, node=node, server_side=servers, client_side=clients))

    def _record_log_line(self, node: str, event: str, line: bytes) -> None:
        if self._records_log_lines:
            text = line.decode(errors="replace")
            self._log.add(NodeLogLine(at_ms=self._clock.now(), node=node, event=event, fields=text))

    def _record_state(self, node: str, state: str, code: int = 0, text: str = "") -> None:
        text = text[:MAX_TEXT_CHARACTERS]
        now = self._clock.now()
        self._log.add(NodeStateChanged(at_ms=now, node=node, state=state, code=code, text=text))


async def _wait_for_ends(processes: list[NodeProcess], timeout_s: float) -> None:
    if not processes:
        return
    waits = [asyncio.ensure_future(process.ended.wait()) for process in processes]
    try:
        await asyncio.wait(waits, timeout=timeout_s)
    finally:
        for wait in waits:
            wait.cancel()


def _sum_counters(processes: list[NodeProcess]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for process in processes:
        total.update(process.output.counters)
        total.update({f"log_{event}": count for event, count in process.output.events.items()})
    return dict(sorted(total.items()))


def _node_usage(processes: list[NodeProcess]) -> ProcessUsage:
    resources = [process.resources for process in processes]
    return ProcessUsage(
        cpu_s=sum(used.cpu_s for used in resources),
        memory_mb=max(used.memory_mb for used in resources),
        peak_cores=max(used.peak_cores for used in resources),
        max_saturated_s=max(used.max_saturated_s for used in resources),
        processes=len(resources),
    )
