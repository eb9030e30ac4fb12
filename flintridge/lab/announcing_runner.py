"""A node runner that notifies the clients' load balancer of starts and ends of nodes."""

from typing import Any

from flintridge.lab.backend.usage import RunUsage
from flintridge.lab.fabric import NodeRunner
from flintridge.lab.faults.injection import SystemState
from flintridge.lab.load.driver import LoadDriver


class AnnouncingRunner:
    """A NodeRunner that notifies the load balancer of starts and ends of its nodes, as the platform does."""

    def __init__(self, runner: NodeRunner, load: LoadDriver) -> None:
        self._runner = runner
        self._load = load

    async def start(self, node: str) -> None:
        """Start the node, then notify the load balancer."""
        await self._runner.start(node)
        self._load.load_balancer.node_started(node)

    def kill(self, node: str) -> None:
        """Kill the node, then notify the load balancer."""
        self._runner.kill(node)
        self._load.load_balancer.node_killed(node)

    def term(self, node: str) -> None:
        """Notify the load balancer, then send SIGTERM to the node."""
        self._load.load_balancer.node_terminating(node)
        self._runner.term(node)

    def reload(self, node: str, config: dict[str, Any]) -> None:
        """Reload the node's configuration."""
        self._runner.reload(node, config)

    def pause(self, node: str) -> None:
        """Pause the node."""
        self._runner.pause(node)

    def resume(self, node: str) -> None:
        """Resume the node."""
        self._runner.resume(node)

    def quiesce(self, node: str) -> None:
        """Drain the node, then notify the load balancer."""
        self._runner.quiesce(node)
        self._load.load_balancer.node_draining(node)

    def unquiesce(self, node: str) -> None:
        """End the drain of the node; the load balancer is not notified."""
        self._runner.unquiesce(node)

    def set_system(self, node: str, state: SystemState) -> None:
        """Set the faults of the node's operating system."""
        self._runner.set_system(node, state)

    def running(self, node: str) -> bool:
        """Whether the node has a process."""
        return self._runner.running(node)

    async def ended(self, node: str) -> None:
        """Wait until the node's process has ended."""
        await self._runner.ended(node)

    async def close(self) -> None:
        """End the processes of all nodes."""
        await self._runner.close()

    def usage(self) -> RunUsage:
        """Return the resource usage of the nodes."""
        return self._runner.usage()
