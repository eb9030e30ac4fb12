"""Input of a client connection: reads bytes, parses commands, and times out partial ones."""

import asyncio

from flintridge.api import Settings
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import Command
from flintridge.core.memory_budget import MemoryBudget, bytes_to_reserve
from flintridge.downstream.command_timer import CommandTimer
from flintridge.downstream.input_arrival import InputArrival
from flintridge.downstream.value_memory import ValueMemory
from flintridge.runtime.clock import Clock
from flintridge.runtime.streams import TrackingReader

READ_BYTES = 64 * 1024


class CommandInput:
    """The input of one client connection.

    Attributes:
        arrival: Tracks when the bytes of the last read may have arrived.
        value_memory: The memory that is reserved for the long value being read; the reservation is then
            handed over together with the value's command.
    """

    __slots__ = ("_parser", "_reader", "_timer", "_transport", "arrival", "value_memory")

    def __init__(
        self,
        reader: TrackingReader,
        transport: asyncio.Transport,
        settings: Settings,
        clock: Clock,
        memory_budget: MemoryBudget,
    ) -> None:
        """Start with a newly accepted connection.

        Args:
            reader: Reads the connection's input.
            transport: The connection's transport.
            settings: The node's settings.
            clock: The node's clock.
            memory_budget: The budget for the memory of long values.
        """
        self.value_memory = ValueMemory(memory_budget, clock)
        self._reader = reader
        self._transport = transport
        self._parser = CommandParser(settings)
        self._timer = CommandTimer(clock.now())
        self.arrival = InputArrival(clock, reader.queued_since)

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has been received in part."""
        return not self._parser.idle

    async def read(self) -> bytes:
        """Read the next bytes; the result is empty if the client has shut down its write side.

        Raises:
            OSError: The connection failed.
        """
        self.arrival.before_read(self._reader.has_unread, self._transport.is_reading())
        data = await self._reader.read(READ_BYTES)
        self.arrival.after_read()
        return data

    def parse(self, data: bytes, now: float) -> list[Command]:
        """Parse bytes and return the commands that they complete, in order.

        Args:
            data: The bytes that were read.
            now: The node's clock, in milliseconds.
        """
        self._timer.record_read(now, self._parser.idle)
        commands = self._parser.feed(data)
        if commands:
            self._timer.record_complete_command(now)
        return commands

    async def reserve_memory(self, length: int) -> bool:
        """Reserve memory for a long value before it is read, waiting until enough is free.

        Nothing is read meanwhile, so backpressure holds the bytes on the client's side.

        Args:
            length: The length of the value, in bytes.

        Returns:
            Whether the memory was reserved.
        """
        granted = await self.value_memory.reserve(bytes_to_reserve(length))
        self._timer.record_memory_wait(self.value_memory.wait_ms)
        return granted

    def admit_long_value(self, admitted: bool) -> list[Command]:
        """Read or skip the long value that was announced; returns the commands that are now complete."""
        return self._parser.admit_long_value(admitted)

    def timed_out(self, now: float) -> bool:
        """Whether the partial command has timed out at the time `now`."""
        return self._timer.timed_out(now, self._parser.in_long_value)

    def stop_parsing(self, empty_parser: CommandParser) -> None:
        """Discard the parser with its partial command, and parse nothing more.

        Guards memory: a partial command would occupy some until the end of the connection's lingering close.

        Args:
            empty_parser: Replaces the connection's own parser.
        """
        self._parser = empty_parser
        self.value_memory.release()
