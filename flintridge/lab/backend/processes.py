"""Runs the nodes of a run as real processes: starts, signals and watches them, and leaves none behind."""

import asyncio
import atexit
import signal
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from flintridge.lab.backend.node_launcher import NodeLauncher
from flintridge.lab.backend.node_process import KILL_TIMEOUT_S, EndRequest, NodeProcess
from flintridge.lab.backend.node_recorder import NodeRecorder
from flintridge.lab.backend.process_resources import SAMPLE_S
from flintridge.lab.backend.process_table import ProcessTable
from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.fabric import Fabric, RunClock
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.partial.peer_network import PeerNetwork
from flintridge.lab.record_log import RecordLog
from flintridge.lab.scenario.model import Scenario, records_node_logs

NODE_COMMAND = (sys.executable, "-m", "flintridge")
# Sockets of a node that are not counted: its listener, the socket pair of its loop, its watch of discovery.
INTERNAL_SOCKETS = 4
CLOSE_GRACE_S = 3.0  # how long nodes may take to end after SIGTERM, beyond the longest deadline
CANNOT_START = 127  # exit code of a process that could not be started


class ProcessNodes:
    """A NodeRunner on real processes. Create it in a running loop; `close` ends all processes.

    Nodes are killed when the thread that started them ends, so it must be the lab's main thread.

    Attributes:
        peers: The relays between nodes that are peers; to be set before the first start.
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
        """Create without nodes; connections and resources are sampled from now on.

        Args:
            fabric: The fabric, which has the nodes' addresses.
            log: The log of the run's records.
            clock: The run's clock.
            config_of: Returns the content of a node's configuration file.
            scenario: The scenario.
            command: The command that starts a node.
            close_grace_s: How long nodes may take to end in `close` before they are killed, in s; None means
                CLOSE_GRACE_S beyond the longest deadline.
            clients_of: Returns the number of client connections to a node.
        """
        self.peers: PeerNetwork | None = None
        self._recorder = NodeRecorder(log, clock, with_log_lines=records_node_logs(scenario))
        self._table = ProcessTable(self._recorder)
        self._config_of = config_of
        self._clients_of = clients_of
        max_deadline_ms = max(request_class.deadline_ms for request_class in scenario.classes)
        self._close_grace_s = (
            CLOSE_GRACE_S + max_deadline_ms / 1000 if close_grace_s is None else close_grace_s
        )
        self._loop = asyncio.get_running_loop()
        self._launcher = NodeLauncher(fabric, scenario, command)
        self._closed = False
        self._sample_timer: asyncio.TimerHandle | None = None
        atexit.register(self._kill_all_now)
        self._sample()

    # NodeRunner

    async def start(self, node: str) -> None:
        """Start a node's process from its configuration; returns before it is ready.

        Raises:
            RuntimeError: If the node is running already, or after `close`.
            ValueError: If the name has other characters than letters and digits.
        """
        if self._closed:
            raise RuntimeError("the nodes are closed")
        if self.running(node):
            raise RuntimeError(f"node {node!r} is running already")
        if not node.isalnum():
            raise ValueError(f"node {node!r}: letters and digits only")
        await self.ended(node)  # the previous process must have released the port
        if self.peers is not None:
            await self.peers.open()
        config = self._config_of(node)
        self._write_config(node, config)
        self._recorder.state(node, "started")
        try:
            popen = self._launcher.launch(
                node, self._launcher.config_path(node), seed=str(config.get("seed", ""))
            )
            process = NodeProcess(node, popen)
        except OSError as error:
            self._recorder.state(node, "exited", CANNOT_START, str(error))
            self._table.add_unexpected_end(node, CANNOT_START, str(error))
            return
        self._table.watch(process)

    async def start_beside(self, node: str, console: str) -> str:
        """Start another process of a running node, as in an upgrade.

        Args:
            node: The node's name.
            console: The address of the process's console; the rest of its configuration is the same.

        Returns:
            The name of the process for the other methods.

        Raises:
            RuntimeError: If it is called after `close`.
            OSError: If the process cannot be started.
        """
        if self._closed:
            raise RuntimeError(f"no process of {node!r} is started, as the nodes are closed")
        other = f"{node}+"
        while self.running(other):
            other += "+"
        self._launcher.write_variant(node, other, console=console)
        self._recorder.state(other, "started")
        popen = self._launcher.launch(node, self._launcher.config_path(other))
        self._table.watch(NodeProcess(other, popen))
        return other

    def kill(self, node: str) -> None:
        """Kill a node's process if it is running."""
        if self.running(node):
            process = self._table.by_node[node][-1]
            process.end_request = EndRequest.KILL
            process.resources.sample()
            process.send_signal(signal.SIGKILL)
            self._recorder.state(node, "killed", -signal.SIGKILL)

    def term(self, node: str) -> None:
        """Send SIGTERM to a node if it is running."""
        if self.running(node):
            self._recorder.state(node, "term")
            process = self._table.by_node[node][-1]
            process.end_request = EndRequest.TERM
            process.send_signal(signal.SIGTERM)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Replace a node's configuration file and send SIGHUP, if it is running."""
        if self.running(node):
            self._write_config(node, config)
            self._signal(node, "hup", signal.SIGHUP)

    def pause(self, node: str) -> None:
        """Pause a node's process with SIGSTOP if it is running."""
        if self.running(node):
            self._signal(node, "paused", signal.SIGSTOP)

    def resume(self, node: str) -> None:
        """Resume a node's process with SIGCONT if it is running."""
        if self.running(node):
            self._signal(node, "resumed", signal.SIGCONT)

    def quiesce(self, node: str) -> None:
        """Raise NotImplementedError: this backend opens no operator console."""
        raise NotImplementedError("node_drain needs virtual time: this backend opens no operator console")

    def unquiesce(self, node: str) -> None:
        """Raise NotImplementedError: this backend opens no operator console."""
        raise NotImplementedError("node_drain needs virtual time: this backend opens no operator console")

    def set_system(self, node: str, state: SystemState) -> None:
        """Set the faults of a node's operating system, also for processes started later."""
        self._launcher.faults.set_state(node, state)

    def running(self, node: str) -> bool:
        """Whether a node is running, including while it shuts down after SIGTERM, but not after SIGKILL."""
        if node not in self._table.by_node:
            return False
        process = self._table.by_node[node][-1]
        return not process.ended.is_set() and process.end_request is not EndRequest.KILL

    async def ended(self, node: str) -> None:
        """Wait until a node's process has ended."""
        if node in self._table.by_node:
            await self._table.by_node[node][-1].ended.wait()

    async def close(self) -> None:
        """Send SIGTERM to all nodes, and SIGKILL to those that do not end in time; no process is left."""
        self._closed = True  # the end of a fault may still try to start a node
        if self.peers is not None:
            self.peers.close()
        running = self._table.not_ended()
        try:
            for process in running:
                process.resources.sample()
                if process.end_request is EndRequest.NONE:
                    process.end_request = EndRequest.CLOSE
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGCONT)  # a paused process cannot handle SIGTERM
            await _wait_for_ends(running, self._close_grace_s)
            for process in self._table.not_ended():
                self._table.kill_stuck(process, self._close_grace_s)
            await _wait_for_ends(self._table.not_ended(), KILL_TIMEOUT_S)
        finally:  # also if the wait was interrupted
            if self._sample_timer is not None:
                self._sample_timer.cancel()
            self._kill_all_now()
            atexit.unregister(self._kill_all_now)

    def usage(self) -> RunUsage:
        """Return the resources that the nodes used so far."""
        return self._table.usage(self._launcher.faults.counts)

    # Used by tests and reports

    def pid(self, node: str) -> int:
        """Return the process ID of a node's latest process.

        Raises:
            KeyError: If the node was never started.
        """
        return self.process(node).popen.pid

    def process(self, node: str) -> NodeProcess:
        """Return a node's latest process.

        Raises:
            KeyError: If the node was never started.
        """
        return self._table.by_node[node][-1]

    def lines(self, node: str) -> list[str]:
        """Return the last lines that a node's latest process wrote."""
        return list(self.process(node).output.lines)

    @property
    def unexpected_ends(self) -> list[str]:
        """Descriptions of processes that ended without being asked to, or did not end when asked."""
        return self._table.unexpected_ends

    @property
    def processes(self) -> dict[str, list[NodeProcess]]:
        """All processes of each node, in the order of their starts."""
        return self._table.by_node

    @property
    def folder(self) -> Path:
        """The folder for the files of this run; `close` removes it."""
        return self._launcher.folder

    # Configuration and signals

    def _write_config(self, node: str, config: dict[str, Any]) -> None:
        if self.peers is not None:
            config = self.peers.node_file(node, config)
        self._launcher.write_config(node, config)

    def _signal(self, node: str, state: str, number: signal.Signals) -> None:
        self._recorder.state(node, state)
        self._table.by_node[node][-1].send_signal(number)

    # Internal

    def _sample(self) -> None:
        for process in self._table.not_ended():
            process.resources.sample()
            sockets = process.resources.open_sockets()
            if sockets is not None:
                clients = self._clients_of(process.node)
                servers = max(0, sockets - clients - INTERNAL_SOCKETS)
                self._recorder.connections(process.node, servers, clients)
        self._sample_timer = self._loop.call_later(SAMPLE_S, self._sample)

    def _kill_all_now(self) -> None:
        self._table.kill_all_now()
        self._launcher.remove_folder()


async def _wait_for_ends(processes: list[NodeProcess], timeout_s: float) -> None:
    if not processes:
        return
    waits = [asyncio.ensure_future(process.ended.wait()) for process in processes]
    try:
        await asyncio.wait(waits, timeout=timeout_s)
    finally:
        for wait in waits:
            wait.cancel()
