"""The processes of all nodes of a run, watched until they end."""

import asyncio
import signal
from collections import Counter
from collections.abc import Callable
from functools import partial

from flintridge.lab.backend.node_process import EndRequest, NodeProcess
from flintridge.lab.backend.node_recorder import NodeRecorder
from flintridge.lab.backend.usage import ProcessUsage, RunUsage


class ProcessTable:
    """Reads the output of processes, reaps them, and reports unexpected ends.

    Attributes:
        by_node: All processes of each node, in the order of their starts.
        unexpected_ends: Describes processes that ended without being asked to, or did not end when asked.
    """

    def __init__(self, recorder: NodeRecorder) -> None:
        """Create an empty table, in a running loop.

        Args:
            recorder: Records ends of processes and log lines.
        """
        self.by_node: dict[str, list[NodeProcess]] = {}
        self.unexpected_ends: list[str] = []
        self._recorder = recorder
        self._loop = asyncio.get_running_loop()

    def watch(self, process: NodeProcess) -> None:
        """Watch a process that has started.

        Args:
            process: The process; it is the latest of its node from now on.
        """
        process.output.on_event = partial(self._recorder.log_line, process.node)
        self.by_node.setdefault(process.node, []).append(process)
        self._loop.add_reader(process.pidfd, self._on_exit, process)
        self._loop.add_reader(process.output.descriptor, self._on_output, process)

    def not_ended(self) -> list[NodeProcess]:
        """Return the latest process of each node that has not ended."""
        latest = [processes[-1] for processes in self.by_node.values()]
        return [process for process in latest if not process.ended.is_set()]

    def add_unexpected_end(self, node: str, code: int, text: str) -> None:
        """Record an unexpected end of a process.

        Args:
            node: The node's name.
            code: The exit code.
            text: The last output of the process.
        """
        self.unexpected_ends.append(f"{node} exited with {code}" + (f": {text}" if text else ""))

    def kill_stuck(self, process: NodeProcess, grace_s: float) -> None:
        """Kill a process that did not end after SIGTERM.

        Args:
            process: The process.
            grace_s: How long it had to end, in s.
        """
        if process.end_request is not EndRequest.KILL:
            text = f"did not end within {grace_s:g} s of SIGTERM"
            self.unexpected_ends.append(f"{process.node} {text}")
            self._recorder.state(process.node, "stuck", text=text)
        process.end_request = EndRequest.KILL
        process.send_signal(signal.SIGKILL)

    def kill_all_now(self) -> None:
        """Kill all processes without the event loop, for an interrupted run or at interpreter exit."""
        for process in self.not_ended():
            process.kill_now()
            self._release(process)

    def usage(self, fault_counts: Callable[[str], dict[str, int]]) -> RunUsage:
        """Return the resources that all processes used so far.

        Args:
            fault_counts: Returns the number of faults injected at a node, by counter name.
        """
        for process in self.not_ended():
            process.resources.sample()
        everything = [process.resources for processes in self.by_node.values() for process in processes]
        return RunUsage(
            node_cpu_s=sum(resources.cpu_s for resources in everything),
            node_memory_mb=max((resources.memory_mb for resources in everything), default=0.0),
            counters={
                node: _sum_counters(processes) | fault_counts(node)
                for node, processes in self.by_node.items()
            },
            nodes={node: _node_usage(processes) for node, processes in self.by_node.items()},
            unexpected_ends=list(self.unexpected_ends),
        )

    def _on_output(self, process: NodeProcess) -> None:
        if not process.output.read():
            self._loop.remove_reader(process.output.descriptor)

    def _on_exit(self, process: NodeProcess) -> None:
        code = process.reap()
        if code is None:
            return
        process.output.read()
        self._release(process)
        # -SIGTERM: the process ended by the signal itself, because it had not installed its handlers yet.
        in_order = code in (0, -signal.SIGTERM)
        request = process.end_request
        unexpected = request is EndRequest.NONE or (request is not EndRequest.KILL and not in_order)
        if unexpected or request is EndRequest.TERM:
            self._recorder.state(process.node, "exited", code, process.output.final_output())
        if unexpected:
            self.add_unexpected_end(process.node, code, process.output.final_output())

    def _release(self, process: NodeProcess) -> None:
        if not self._loop.is_closed():
            self._loop.remove_reader(process.pidfd)
            self._loop.remove_reader(process.output.descriptor)
        process.close()


def _sum_counters(processes: list[NodeProcess]) -> dict[str, int]:
    """Return the sums of the counters and log events of a node's processes, sorted by name."""
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
