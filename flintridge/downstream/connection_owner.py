"""What a client connection needs of the listener that accepted it."""

from collections.abc import Coroutine
from typing import Protocol

from flintridge.api import Settings
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.downstream.eviction import C, EvictionOrder
from flintridge.net import memcache
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters


class ConnectionOwner(Protocol[C]):
    """The owner of client connections: what they share, and what they report to it.

    Attributes:
        core: Takes the requests.
        settings: The node's settings.
        clock: Gives the time, in float milliseconds.
        counters: Takes the counts.
        eviction_order: In which the connections are evicted.
        empty_parser: Of all connections that read no command any more.
    """

    core: RequestLifecycle
    settings: Settings
    clock: Clock
    counters: Counters
    eviction_order: EvictionOrder[C]
    empty_parser: memcache.CommandParser

    @property
    def reading_stopped(self) -> bool:
        """Whether connections are read no further, as the node drains."""

    @property
    def hello_response(self) -> bytes:
        """The response to `mn`."""

    def run_in_background(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is held until it ends."""

    def close_if_draining(self, connection: C) -> None:
        """Close a connection that is between requests if the node drains."""
