"""The part of the listener's interface that its client connections use."""

from collections.abc import Coroutine
from typing import Protocol

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.request_parser import RequestParser
from flintridge.downstream.command_executor import ExecutorOwner
from flintridge.downstream.command_turns import CommandTurns
from flintridge.downstream.eviction import ConnectionT, EvictionOrder
from flintridge.runtime.clock import Clock
from flintridge.telemetry.log import EventLog


class ConnectionOwner(ExecutorOwner, Protocol[ConnectionT]):
    """The owner of client connections: their shared state, and the methods that they call.

    Attributes:
        settings: The node's settings.
        clock: The node's clock, in float milliseconds.
        log: The node's event log.
        eviction_order: The order in which connections are evicted.
        empty_parser: A shared parser for connections that read no more commands.
        request_parser: The parser of requests, which all connections share.
        turns: The turns of connections that have many commands.
    """

    settings: Settings
    clock: Clock
    log: EventLog
    eviction_order: EvictionOrder[ConnectionT]
    empty_parser: CommandParser
    request_parser: RequestParser
    turns: CommandTurns

    @property
    def reading_stopped(self) -> bool:
        """Whether no connection is read any further, because the node drains."""

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is referenced until it ends."""

    def close_if_draining(self, connection: ConnectionT) -> None:
        """If the node drains, close `connection` if it is between requests."""
