"""Base class for services that listen at their own address and serve each connection in a task."""

import asyncio
from abc import ABC, abstractmethod

from flintridge.config.address import Address
from flintridge.runtime.clock import Clock
from flintridge.runtime.listener import Listener, open_listener
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog


class ListeningService(ABC):
    """A service with one listener.

    Attributes:
        clock: The node's clock, in float milliseconds.
        counters: The node's counters.
        log: The node's event log.
    """

    def __init__(self, clock: Clock, log: EventLog, counters: Counters, *, shared: bool) -> None:
        """Prepare the service; `listen` opens the listener.

        Args:
            clock: The node's clock, in float milliseconds.
            log: The node's event log.
            counters: The node's counters.
            shared: Whether other processes may listen at the same address.
        """
        self.clock = clock
        self.counters = counters
        self.log = log
        self._shared = shared
        self._listener: Listener | None = None

    async def listen(self, address: Address) -> int:
        """Open the listener.

        Returns:
            The port that the listener is bound to.

        Raises:
            ListenError: The listener can't be opened.
        """
        self._listener = await open_listener(
            self._serve, address, self._shared, self.clock, self.log, self.counters
        )
        return self._listener.port

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve an accepted connection until it ends."""
