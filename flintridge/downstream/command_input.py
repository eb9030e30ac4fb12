"""Input of a client connection: bytes read, the commands in them, and the limits of one that is not whole."""

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
    """What is read from one client.

    Attributes:
        arrival: When the bytes of the last read may have arrived.
        value_memory: Reserved for the long value that is read, and then passed on with its command.
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
        """Begin with a connection that was just accepted.

        Args:
            reader: Its input.
            transport: Carries it.
            settings: Of the service.
            clock: Of the node.
            memory_budget: For long values.
        """
        self.value_memory = ValueMemory(memory_budget, clock)
        self._reader = reader
        self._transport = transport
        self._parser = CommandParser(settings)
        self._timer = CommandTimer(clock.now())
        self.arrival = InputArrival(clock, reader.queued_since)

    @property
    def has_half_command(self) -> bool:
        """Whether something of a command was parsed that is not whole yet."""
        return not self._parser.idle

    async def read(self) -> bytes:
        """What comes next; empty where the client has ended its sending.

        Raises:
            OSError: The connection broke.
        """
        self.arrival.before_read(self._reader.has_unread, self._transport.is_reading())
        data = await self._reader.read(READ_BYTES)
        self.arrival.after_read()
        return data

    def parse(self, data: bytes, now: float) -> list[Command]:
        """The commands that bytes complete, in order.

        Args:
            data: What was read.
            now: The clock's time.
        """
        self._timer.bytes_read(now, self._parser.idle)
        commands = self._parser.feed(data)
        if commands:
            self._timer.command_read(now)
        return commands

    async def reserve_memory(self, length: int) -> bool:
        """Wait until memory is free for a long value, before any byte of it is read.

        Nothing is read meanwhile: the client's own buffers hold it up.

        Args:
            length: Of the value, in bytes.

        Returns:
            Whether it is reserved now.
        """
        granted = await self.value_memory.reserve(bytes_to_reserve(length))
        self._timer.memory_waited(self.value_memory.wait_ms)
        return granted

    def admit_long_value(self, admitted: bool) -> list[Command]:
        """Read the long value that was announced, or skip it; the commands that are complete now."""
        return self._parser.admit_long_value(admitted)

    def timed_out(self, now: float) -> bool:
        """Whether the command that is not whole has taken too long at the time `now`."""
        return self._timer.timed_out(now, self._parser.in_long_value)

    def drop(self, empty_parser: CommandParser) -> None:
        """Parse nothing more.

        Guards memory: half a command holds some for as long as its connection lingers.

        Args:
            empty_parser: Takes the place of the connection's own.
        """
        self._parser = empty_parser
        self.value_memory.release()
