"""Input of a client connection: reads bytes, parses commands, and times out partial ones."""

import asyncio

from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import Command
from flintridge.core.memory_budget import MemoryBudget, bytes_to_reserve
from flintridge.downstream.command_timer import CommandTimer
from flintridge.downstream.input_arrival import InputArrival
from flintridge.downstream.value_memory import ValueMemory
from flintridge.runtime.clock import Clock
from flintridge.runtime.streams import (
    READ_MAX_BYTES,
    UNRESERVED_READ_BYTES,
    TrackingReader,
    pending_input_bytes,
)

MAX_DISCARDED_BYTES = 1024 * 1024  # of a skipped value at a time, so that other connections have their turn
VALUE_READ_BYTES = 8 * 1024  # read at a time of a value for which memory is reserved


class CommandInput:
    """The input of one client connection.

    Attributes:
        arrival: Tracks when the bytes of the last read may have arrived.
        value_memory: The memory that is reserved for the value being read; the reservation is then handed
            over together with the value's command.
    """

    __slots__ = (
        "_min_read_limit",
        "_parser",
        "_read_limit",
        "_reader",
        "_timer",
        "_transport",
        "arrival",
        "value_memory",
    )

    def __init__(
        self,
        reader: TrackingReader,
        transport: asyncio.Transport,
        parser: CommandParser,
        clock: Clock,
        memory_budget: MemoryBudget,
    ) -> None:
        """Start with a newly accepted connection.

        Args:
            reader: Reads the connection's input.
            transport: The connection's transport.
            parser: Parses the connection's commands.
            clock: The node's clock.
            memory_budget: The budget for the memory of values.
        """
        self.value_memory = ValueMemory(memory_budget, clock)
        self._reader = reader
        self._transport = transport
        self._parser = parser
        self._min_read_limit = UNRESERVED_READ_BYTES
        self._read_limit = 0  # bytes that the transport reads at a time
        self._limit_reads()
        self._timer = CommandTimer(clock.now())
        self.arrival = InputArrival(clock, reader.queued_since)

    @property
    def has_partial_command(self) -> bool:
        """Whether a command has been received in part."""
        return not self._parser.idle

    def allow_read_ahead(self) -> None:
        """Read as much at a time as READ_MAX_BYTES, since memory is reserved for that."""
        self._min_read_limit = READ_MAX_BYTES
        self._limit_reads()

    async def read(self) -> bytes:
        """Read the next bytes; the result is empty if the client has shut down its write side.

        Raises:
            OSError: The connection failed.
        """
        self._discard_skipped()
        self.arrival.before_read(self._reader.has_unread, self._transport.is_reading())
        data = await self._reader.read(READ_MAX_BYTES)
        unread_bytes = self._reader.received_bytes - self._reader.read_bytes
        waiting_bytes = unread_bytes + pending_input_bytes(self._reader, self._transport)
        self.arrival.after_read(self._reader.read_bytes, waiting_bytes)
        return data

    def _discard_skipped(self) -> None:
        """Discard what the kernel has of a value that is skipped.

        Guards the time of its rejection: reading it in small pieces would take many iterations of the event
        loop.
        """
        if self._parser.bytes_to_skip:
            max_bytes = min(self._parser.bytes_to_skip, MAX_DISCARDED_BYTES)
            self._parser.record_skipped(self._reader.discard(self._transport, max_bytes))

    def feed(self, data: bytes, now: float) -> None:
        """Append bytes that were read; `next_command` parses them.

        Args:
            data: The bytes that were read.
            now: The node's clock, in milliseconds.
        """
        self._timer.record_read(now, self._parser.idle)
        self._parser.feed(data)

    def next_command(self, now: float) -> Command | None:
        """Parse the next command; None if the bytes that were read contain no other complete one.

        Args:
            now: The node's clock, in milliseconds.
        """
        command = self._parser.next_command()
        if command is not None:
            self._timer.record_complete_command(now)
        self._limit_reads()
        return command

    async def reserve_memory(self, length: int, client_timeout_ms: float) -> bool:
        """Reserve memory for a value before it is read, waiting until enough is free.

        Nothing is read meanwhile, so backpressure holds the bytes on the client's side.

        Args:
            length: The length of the value, in bytes.
            client_timeout_ms: How long the client waits for the response, in milliseconds.

        Returns:
            Whether the memory was reserved.
        """
        granted = await self.value_memory.reserve(bytes_to_reserve(length), client_timeout_ms)
        self._timer.record_memory_wait(self.value_memory.wait_ms)
        return granted

    def admit_value(self, admitted: bool) -> None:
        """Read or skip the value that was announced."""
        self._parser.admit_value(admitted)
        self._limit_reads()

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

    def _limit_reads(self) -> None:
        """Read little at a time, unless memory is reserved for what is read."""
        value_limit = VALUE_READ_BYTES if self._parser.in_reserved_value else 0
        limit = max(value_limit, self._min_read_limit)
        if limit != self._read_limit:
            self._read_limit = limit
            self._reader.set_read_limit(self._transport, limit)
