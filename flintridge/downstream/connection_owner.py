"""What a client connection needs of the listener that accepted it."""

from collections.abc import Coroutine
from typing import Protocol

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.downstream.command_executor import ExecutorOwner
from flintridge.downstream.eviction import ConnectionT, EvictionOrder
from flintridge.runtime.clock import Clock


class ConnectionOwner(ExecutorOwner, Protocol[ConnectionT]):
    """The owner of client connections: what they share, and what they report to it.

    Attributes:
        settings: The node's settings.
        clock: Gives the time, in float milliseconds.
        eviction_order: In which the connections are evicted.
        empty_parser: Of all connections that read no command any more.
    """

    settings: Settings
    clock: Clock
    eviction_order: EvictionOrder[ConnectionT]
    empty_parser: CommandParser

    @property
    def reading_stopped(self) -> bool:
        """Whether connections are read no further, as the node drains."""

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is held until it ends."""

    def close_if_draining(self, connection: ConnectionT) -> None:
        """Close a connection that is between requests if the node drains."""
