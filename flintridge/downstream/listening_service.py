"""What a node serves at an address of its own: opened once, each connection handed to a task."""

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
        clock: Gives the time, in float milliseconds.
        counters: Takes the counts.
    """

    def __init__(self, clock: Clock, log: EventLog, counters: Counters, *, shared: bool) -> None:
        """Prepare it; `listen` opens it.

        Args:
            clock: Gives the time, in float milliseconds.
            log: Takes the events.
            counters: Takes the counts.
            shared: Whether other processes may listen at the same address.
        """
        self.clock = clock
        self.counters = counters
        self._log = log
        self._shared = shared
        self._listener: Listener | None = None

    async def listen(self, address: Address) -> int:
        """Open the listener.

        Returns:
            The port.

        Raises:
            ListenError: It can't be opened.
        """
        self._listener = await open_listener(
            self._serve, address, self._shared, self.clock, self._log, self.counters
        )
        return self._listener.port

    @abstractmethod
    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve an accepted connection until its end."""
