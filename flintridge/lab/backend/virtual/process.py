"""One process of a node in virtual time: what the node's program does, on a host of its own."""

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
        counts: How many events there were of each name.
    """

    def __init__(self, on_event: Callable[[str, dict[str, object]], None]) -> None:
        """Begin without events.

        Args:
            on_event: Called with the name and the fields of each.
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
    """Tells a virtual node what its selector would tell it of the arrival of what it reads."""

    def __init__(self, host: Host) -> None:
        """Follow the input of a host."""
        self._host = host

    @property
    def earliest_arrival_s(self) -> float:
        """As `ArrivalTrackingSelector` has it."""
        return self._host.earliest_arrival_s


class ProcessEnvironment(Protocol):
    """What a process needs of those that run it."""

    @property
    def fabric(self) -> VirtualFabric:
        """The network."""

    @property
    def peers(self) -> VirtualPeers | None:
        """How the nodes reach one another; None: they do not."""

    @property
    def on_node_created(self) -> Callable[[Node], object] | None:
        """Called with each node before it starts."""

    def start_delay_ms(self, node: str) -> float:
        """How long the program takes until it is loaded."""

    def wall_clock_ms(self, node: str) -> float:
        """Unix time as a node's machine has it."""

    def process_exited(self, node: str, code: int, text: str) -> None:
        """The process ends by itself.

        Args:
            node: The node's name.
            code: Its exit code.
            text: What it said of an error.
        """


class VirtualProcess:
    """One process of a node, from its start to its end.

    Attributes:
        name: The node's name.
        config: Its configuration file as it is now.
        log: Its log.
        counters: Its counters, since they were last collected.
        node: The node, once it was created.
        ended: Set once the process has ended.
    """

    def __init__(self, name: str, config: dict[str, Any], log: NodeEventLog) -> None:
        """Prepare a process; `run` is what it does.

        Args:
            name: The node's name.
            config: Its configuration file.
            log: Its log.
        """
        self.name = name
        self.config = config
        self.log = log
        self.counters = Counters()
        self.node: Node | None = None
        self.ended = asyncio.Event()

    async def run(self, environment: ProcessEnvironment) -> None:
        """Do what the node's program does; to be run on the node's host.

        Args:
            environment: What the process needs of those that run it.
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
        except Exception as error:  # the process ends by it, as the program would
            text = repr(error)
        environment.process_exited(self.name, code, text)
        # The process is gone: the kernel closes what it left open. From the lab, not from the process itself.
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
