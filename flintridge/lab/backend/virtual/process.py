"""One process of a node in virtual time: it runs the equivalent of the node's program on a separate host."""

import asyncio
import os
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol, cast

from flintridge.config.errors import ConfigError
from flintridge.config.platform_config import node_config
from flintridge.lab.backend.virtual.fabric import VirtualFabric
from flintridge.lab.backend.virtual.peers import VirtualPeers
from flintridge.lab.virtual import Host
from flintridge.node import Node
from flintridge.runtime.clock import ArrivalTrackingSelector, SystemClock
from flintridge.telemetry.counters import Counters

EXIT_FAILURE = 1
EXIT_BAD_CONFIG = 2


class NodeEventLog:
    """The log of a virtual node.

    Attributes:
        counts: The number of events by name.
    """

    def __init__(self, on_event: Callable[[str, dict[str, object]], None]) -> None:
        """Create an empty log.

        Args:
            on_event: Called with the name and the fields of each event.
        """
        self.counts: Counter[str] = Counter()
        self._on_event = on_event

    def event(self, event: str, **fields: object) -> None:
        """Log an event."""
        self.counts[event] += 1
        self._on_event(event, fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        """Log an event with the error that caused it."""
        self.event(event, error=repr(error), **fields)


class InputArrival:
    """Provides the arrival time of input, which a real node gets from its selector."""

    def __init__(self, host: Host) -> None:
        """Provide the arrival time of the input of a host."""
        self._host = host

    @property
    def earliest_arrival_s(self) -> float:
        """See `ArrivalTrackingSelector`."""
        return self._host.earliest_arrival_s


class ProcessEnvironment(Protocol):
    """The interface of the node runner that processes use."""

    @property
    def fabric(self) -> VirtualFabric:
        """The fabric of the run."""

    @property
    def peers(self) -> VirtualPeers | None:
        """The peer configuration of the nodes; None if they are not peers."""

    @property
    def on_node_created(self) -> Callable[[Node], object] | None:
        """Called with each node before it starts."""

    def start_delay_ms(self, node: str) -> float:
        """Return how long the program takes to load, in ms."""

    def wall_clock_ms(self, node: str) -> float:
        """Return the Unix time (ms) of a node's wall clock."""

    def process_exited(self, node: str, code: int, text: str) -> None:
        """Record that the process exited by itself.

        Args:
            node: The node's name.
            code: The exit code.
            text: The error message, if any.
        """


class VirtualProcess:
    """One process of a node, from its start to its end.

    Attributes:
        name: The node's name.
        config: The current content of its configuration file.
        log: The log of the process.
        counters: The counters since the last collection.
        node: The node, once it was created.
        ended: Set once the process has ended.
    """

    def __init__(self, name: str, config: dict[str, Any], log: NodeEventLog) -> None:
        """Create a process; `run` executes it.

        Args:
            name: The node's name.
            config: The content of its configuration file.
            log: The log of the process.
        """
        self.name = name
        self.config = config
        self.log = log
        self.counters = Counters()
        self.node: Node | None = None
        self.ended = asyncio.Event()

    async def run(self, environment: ProcessEnvironment) -> None:
        """Run the equivalent of the node's program; must be called on the node's host.

        Args:
            environment: The node runner.
        """
        loop = asyncio.get_running_loop()
        terminated = asyncio.Event()
        early_reloads: list[int] = []
        loop.add_signal_handler(signal.SIGTERM, terminated.set)
        loop.add_signal_handler(signal.SIGHUP, early_reloads.append, signal.SIGHUP)
        loop.set_exception_handler(lambda _, context: self._log_unhandled(context))
        host = environment.fabric.network.host(self.name)
        code = EXIT_FAILURE
        text = ""
        try:
            await asyncio.sleep(environment.start_delay_ms(self.name) / 1000)
            node = self.node = self._create(environment, host)
            loop.add_signal_handler(signal.SIGHUP, self._reload)
            if environment.on_node_created is not None:
                environment.on_node_created(node)
            await node.start()
            if early_reloads:
                self._reload()
            await terminated.wait()
            await node.leave()
            code = 0
        except ConfigError as error:
            code = EXIT_BAD_CONFIG
            text = str(error)
        except Exception as error:  # ends the process, as it ends the real program
            text = repr(error)
        environment.process_exited(self.name, code, text)
        # The process has ended, and the kernel closes its open sockets. The call is scheduled, so that it
        # does not run inside this task.
        loop.call_soon(host.kill)

    def _create(self, environment: ProcessEnvironment, host: Host) -> Node:
        arrival = cast(ArrivalTrackingSelector, InputArrival(host))
        clock = SystemClock(asyncio.get_running_loop(), environment.wall_clock_ms(self.name), arrival)
        config = node_config(self.config, {})
        entropy = os.urandom
        peers = environment.peers
        if peers is not None:
            peers_config = peers.config(environment.fabric, self.name)
            config = replace(config, peers=peers_config, budgets=peers.shared())
            entropy = peers.entropy
        return Node(config, clock, self.log, self.counters, entropy=entropy)

    def _reload(self) -> None:
        assert self.node is not None
        try:
            config = node_config(self.config, {})
        except ConfigError as error:
            self.node.reject_reload(error)
        else:
            self.node.reload(config)

    def _log_unhandled(self, context: dict[str, Any]) -> None:
        self.log.event("unhandled", message=str(context.get("message")), error=repr(context.get("exception")))
