"""Incremental parser for the commands of a memcache client."""

import enum

from flintridge.api import Settings
from flintridge.codec.errors import MalformedError
from flintridge.codec.long_value import LONG_VALUE_BYTES, MAX_VALUE_BYTES
from flintridge.codec.memcache.commands import (
    Command,
    InvalidCommand,
    LongValueAnnounced,
    LongValueSkipped,
    NoOp,
)
from flintridge.codec.memcache.request_parser import RequestParser
from flintridge.codec.memcache.syntax import CRLF, MAX_LINE_BYTES
from flintridge.core.request import Request

MAX_LENGTH_DIGITS = 10


class _State(enum.Enum):
    """What the next bytes contain.

    COMMAND_LINE -> SHORT_VALUE, AWAITING_ADMISSION or FAILED
    SHORT_VALUE -> COMMAND_LINE or FAILED
    AWAITING_ADMISSION -> LONG_VALUE or SKIPPING_VALUE, by `admit_long_value`
    LONG_VALUE -> COMMAND_LINE or FAILED
    SKIPPING_VALUE -> COMMAND_LINE or FAILED
    """

    COMMAND_LINE = enum.auto()
    SHORT_VALUE = enum.auto()
    AWAITING_ADMISSION = enum.auto()
    LONG_VALUE = enum.auto()
    SKIPPING_VALUE = enum.auto()
    FAILED = enum.auto()


class CommandParser:
    """Parses the commands of one connection. Reports and skips invalid commands if the framing is intact."""

    def __init__(self, settings: Settings) -> None:
        self._request_parser = RequestParser(settings)
        self._state = _State.COMMAND_LINE
        self._buffer = bytearray()
        self._position = 0  # index in the buffer; the bytes before it have been parsed
        self._search_start = 0  # index in the buffer; no unparsed line ends before it
        self._tokens: list[bytes] = []  # tokens of the `ms` command whose value is being received
        self._value_length = 0  # length of that value, in bytes
        self._long_value = bytearray()  # the part of a long value and its CRLF that has arrived
        self._bytes_to_skip = 0

    @property
    def idle(self) -> bool:
        """Whether no part of another command has arrived, and no value is being skipped."""
        return not self._buffer and self._state in (_State.COMMAND_LINE, _State.FAILED)

    @property
    def in_long_value(self) -> bool:
        """Whether the next bytes are the rest of a long value."""
        return self._state in (_State.LONG_VALUE, _State.SKIPPING_VALUE)

    def feed(self, data: bytes) -> list[Command]:
        """Parse the next bytes, which may be any input.

        Returns:
            The commands that are now complete, in order.
        """
        if self._state is _State.LONG_VALUE and not self._buffer:
            return self._feed_long_value(data)
        self._buffer += data
        return self._parse_buffer()

    def admit_long_value(self, admitted: bool) -> list[Command]:
        """Continue parsing after a `LongValueAnnounced`.

        Args:
            admitted: Whether to read the value; otherwise it is skipped.

        Returns:
            The commands that are now complete, in order.
        """
        assert self._state is _State.AWAITING_ADMISSION
        if admitted:
            self._state = _State.LONG_VALUE
            self._long_value = bytearray()
        else:
            self._state = _State.SKIPPING_VALUE
            self._bytes_to_skip = self._value_length
        return self._parse_buffer()

    def _parse_buffer(self) -> list[Command]:
        commands: list[Command] = []
        while self._state is not _State.AWAITING_ADMISSION and self._state is not _State.FAILED:
            command = self._next_command()
            if command is None:
                break
            commands.append(command)
        if self._state is _State.FAILED:
            self._buffer.clear()
            self._long_value = bytearray()
        else:
            del self._buffer[: self._position]
            self._search_start -= min(self._position, self._search_start)
        self._position = 0
        return commands

    def _next_command(self) -> Command | None:
        """Parse the next command of the buffer; returns None if more bytes are needed."""
        if self._state is _State.COMMAND_LINE:
            return self._read_line()
        if self._state is _State.SHORT_VALUE:
            return self._read_short_value()
        if self._state is _State.LONG_VALUE:
            return self._read_long_value()
        return self._skip_value()

    def _fail(self, reason: str) -> InvalidCommand:
        self._state = _State.FAILED
        return InvalidCommand(reason, fatal=True)

    def _read_line(self) -> Command | None:
        buffer = self._buffer
        start = self._position
        end = buffer.find(CRLF, max(start, self._search_start - 1))
        if end < 0:
            self._search_start = len(buffer)
            if len(buffer) - start > MAX_LINE_BYTES:
                return self._fail("line too long")
            return None
        self._search_start = end + len(CRLF)
        if end - start > MAX_LINE_BYTES:
            return self._fail("line too long")
        self._position = end + len(CRLF)
        return self._parse_line(bytes(memoryview(buffer)[start:end]))

    def _parse_line(self, line: bytes) -> Command | None:
        tokens = line.split(b" ")
        if tokens[0] == b"mg":
            return self._parse_request(tokens, None)
        if tokens == [b"mn"]:
            return NoOp()
        if tokens[0] != b"ms":
            return InvalidCommand("unknown command")
        if len(tokens) < 3 or not tokens[2].isdigit() or len(tokens[2]) > MAX_LENGTH_DIGITS:
            return self._fail("bad data length")
        length = int(tokens.pop(2))
        if length > MAX_VALUE_BYTES:
            return self._fail("value too large")
        self._tokens = tokens
        self._value_length = length
        if length > LONG_VALUE_BYTES:
            self._state = _State.AWAITING_ADMISSION
            return LongValueAnnounced(length)
        self._state = _State.SHORT_VALUE
        return self._read_short_value()

    def _read_short_value(self) -> Command | None:
        buffer = self._buffer
        start = self._position
        end = start + self._value_length
        if len(buffer) < end + len(CRLF):
            return None
        if buffer[end : end + len(CRLF)] != CRLF:
            return self._fail("bad data chunk")
        self._state = _State.COMMAND_LINE
        self._position = end + len(CRLF)
        return self._parse_request(self._tokens, bytes(memoryview(buffer)[start:end]))

    def _feed_long_value(self, data: bytes) -> list[Command]:
        """Append bytes to the value, bypassing the buffer. Guards memory: a long value exists only once."""
        missing = self._value_length + len(CRLF) - len(self._long_value)
        if len(data) < missing:
            self._long_value += data
            return []
        self._long_value += memoryview(data)[:missing]
        self._buffer += memoryview(data)[missing:]
        return self._parse_buffer()

    def _read_long_value(self) -> Command | None:
        value = self._long_value
        length = self._value_length
        start = self._position
        missing = length + len(CRLF) - len(value)
        available = min(missing, len(self._buffer) - start)
        value += memoryview(self._buffer)[start : start + available]
        self._position = start + available
        if available < missing:
            return None
        if value[length:] != CRLF:
            return self._fail("bad data chunk")
        del value[length:]
        self._state = _State.COMMAND_LINE
        self._long_value = bytearray()
        return self._parse_request(self._tokens, value)

    def _skip_value(self) -> LongValueSkipped | InvalidCommand | None:
        available = min(self._bytes_to_skip, len(self._buffer) - self._position)
        self._bytes_to_skip -= available
        self._position += available
        end = self._position + len(CRLF)
        if self._bytes_to_skip or len(self._buffer) < end:
            return None
        # Guards against executing the bytes of a wrongly measured value as commands.
        if self._buffer[self._position : end] != CRLF:
            return self._fail("bad data chunk")
        self._position = end
        self._state = _State.COMMAND_LINE
        return LongValueSkipped()

    def _parse_request(
        self, tokens: list[bytes], value: bytes | bytearray | None
    ) -> Request | InvalidCommand:
        try:
            return self._request_parser.parse(tokens, value)
        except MalformedError as error:
            return InvalidCommand(str(error))
