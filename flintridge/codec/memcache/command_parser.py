"""Incremental parser for the commands of a memcache client."""

import enum
from dataclasses import replace

from flintridge.api import Settings
from flintridge.codec.errors import MalformedError
from flintridge.codec.long_value import LONG_VALUE_BYTES, MAX_VALUE_BYTES, UNRESERVED_VALUE_BYTES
from flintridge.codec.memcache.commands import (
    Command,
    InvalidCommand,
    NoOp,
    ValueAnnounced,
    ValueSkipped,
)
from flintridge.codec.memcache.request_parser import RequestParser
from flintridge.codec.memcache.syntax import CRLF, MAX_LINE_BYTES
from flintridge.core.request import Request

MAX_LENGTH_DIGITS = 10


class _State(enum.Enum):
    """What the next bytes contain.

    COMMAND_LINE -> SHORT_VALUE, AWAITING_ADMISSION, SKIPPING_VALUE or FAILED
    SHORT_VALUE -> COMMAND_LINE or FAILED
    AWAITING_ADMISSION -> RESERVED_VALUE or SKIPPING_VALUE, by `admit_value`
    RESERVED_VALUE -> COMMAND_LINE or FAILED
    SKIPPING_VALUE -> COMMAND_LINE or FAILED
    """

    COMMAND_LINE = enum.auto()
    SHORT_VALUE = enum.auto()
    AWAITING_ADMISSION = enum.auto()
    RESERVED_VALUE = enum.auto()
    SKIPPING_VALUE = enum.auto()
    FAILED = enum.auto()


class CommandParser:
    """Parses the commands of one connection. Reports and skips invalid commands if the framing is intact.

    Commands are parsed one at a time, by `next_command`. Guards memory: parsed commands occupy many times
    their bytes. For the same reason a command line is parsed before its value is received: only the request
    is retained, not the fields of the line.

    Attributes:
        bytes_to_skip: How many of the next bytes belong to a value that is skipped.
    """

    def __init__(self, settings: Settings, request_parser: RequestParser | None = None) -> None:
        """Start at the beginning of a connection.

        Args:
            settings: The node's settings.
            request_parser: The parser of requests, which connections can share; None creates one.
        """
        self._request_parser = request_parser or RequestParser(settings)
        self._state = _State.COMMAND_LINE
        self._buffer = bytearray()
        self._position = 0  # index in the buffer; the bytes before it have been parsed
        self._search_start = 0  # index in the buffer; no unparsed line ends before it
        # What the `ms` command becomes once its value has been received or skipped.
        self._after_value: Request | InvalidCommand | ValueSkipped = ValueSkipped()
        self._value_length = 0  # length of that value, in bytes
        self._value = bytearray()  # room for a value in reserved memory, and for its CRLF
        self._value_received = 0  # how many bytes of it have arrived
        self.bytes_to_skip = 0

    @property
    def idle(self) -> bool:
        """Whether no part of another command has arrived, and no value is being skipped."""
        return not self._buffer and self._state in (_State.COMMAND_LINE, _State.FAILED)

    @property
    def in_long_value(self) -> bool:
        """Whether the next bytes are the rest of a long value."""
        in_value = self._state in (_State.RESERVED_VALUE, _State.SKIPPING_VALUE)
        return in_value and self._value_length > LONG_VALUE_BYTES

    @property
    def in_reserved_value(self) -> bool:
        """Whether the next bytes are the rest of a value for which memory is reserved."""
        return self._state is _State.RESERVED_VALUE

    def record_skipped(self, count: int) -> None:
        """Record that `count` of `bytes_to_skip` were discarded, and are not fed."""
        self.bytes_to_skip -= count

    def feed(self, data: bytes) -> None:
        """Append the next bytes, which may be any input; `next_command` parses them."""
        if self._state is _State.RESERVED_VALUE and not self._buffer:
            self._feed_value(data)
        elif self._state is not _State.FAILED:
            self._buffer += data

    def next_command(self) -> Command | None:
        """Parse the next command.

        Returns:
            The command; None if more bytes are needed, a value awaits admission, or the framing is lost.
        """
        if self._is_stopped():
            return None
        command = self._parse_next()
        if command is None or self._is_stopped():
            self._discard_parsed()
        return command

    def _is_stopped(self) -> bool:
        return self._state is _State.AWAITING_ADMISSION or self._state is _State.FAILED

    def admit_value(self, admitted: bool) -> None:
        """Continue parsing after a `ValueAnnounced`.

        Args:
            admitted: Whether to read the value; otherwise it is skipped.
        """
        assert self._state is _State.AWAITING_ADMISSION
        if admitted:
            self._state = _State.RESERVED_VALUE
            # All at once: a bytearray that grows occupies an eighth more than its length.
            self._value = bytearray(self._value_length + len(CRLF))
            self._value_received = 0
        else:
            self._skip_next_value(ValueSkipped())

    def _discard_parsed(self) -> None:
        """Remove the bytes from the buffer that have been parsed."""
        if self._position == len(self._buffer):
            self._buffer = bytearray()  # unlike `del`, this releases the memory
        else:
            del self._buffer[: self._position]
        self._search_start -= min(self._position, self._search_start)
        self._position = 0

    def _parse_next(self) -> Command | None:
        """Parse the next command of the buffer; returns None if more bytes are needed."""
        command: Command | None = None
        if self._state is _State.COMMAND_LINE:
            command = self._read_line()
        if command is not None:
            return command
        if self._state is _State.SHORT_VALUE:
            return self._read_short_value()
        if self._state is _State.RESERVED_VALUE:
            return self._read_reserved_value()
        if self._state is _State.SKIPPING_VALUE:
            return self._skip_value()
        return None

    def _fail(self, reason: str) -> InvalidCommand:
        self._state = _State.FAILED
        self._position = len(self._buffer)
        self._value = bytearray()
        return InvalidCommand(reason, fatal=True)

    def _read_line(self) -> Command | None:
        """Parse a command line; returns None if it is incomplete, or if a value follows."""
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
        return self._begin_value(length, self._parse_request(tokens, b""))

    def _begin_value(self, length: int, command: Request | InvalidCommand) -> ValueAnnounced | None:
        """Continue with the value of a command, whose line has been parsed."""
        self._value_length = length
        self._after_value = command
        if isinstance(command, InvalidCommand):
            self._skip_next_value(command)
        elif length > UNRESERVED_VALUE_BYTES:
            self._state = _State.AWAITING_ADMISSION
            return ValueAnnounced(length, command)
        else:
            self._state = _State.SHORT_VALUE
        return None

    def _skip_next_value(self, after: InvalidCommand | ValueSkipped) -> None:
        self._state = _State.SKIPPING_VALUE
        self._after_value = after
        self.bytes_to_skip = self._value_length

    def _read_short_value(self) -> Command | None:
        buffer = self._buffer
        start = self._position
        end = start + self._value_length
        if len(buffer) < end + len(CRLF):
            return None
        if buffer[end : end + len(CRLF)] != CRLF:
            return self._fail("bad data chunk")
        self._position = end + len(CRLF)
        return self._complete_request(bytes(memoryview(buffer)[start:end]))

    def _complete_request(self, value: bytes | bytearray) -> Request:
        """Return the command with its value, and continue with the next command line."""
        request = self._after_value
        assert isinstance(request, Request)
        self._state = _State.COMMAND_LINE
        self._after_value = ValueSkipped()
        return replace(request, value=value)

    def _feed_value(self, data: bytes) -> None:
        """Add bytes to the value, bypassing the buffer. Guards memory: the value exists only once."""
        received = self._add_to_value(memoryview(data))
        self._buffer += memoryview(data)[received:]

    def _add_to_value(self, data: memoryview) -> int:
        """Add the bytes of the value, and of its CRLF, at the start of `data`; returns how many they are."""
        start = self._value_received
        count = min(len(self._value) - start, len(data))
        self._value[start : start + count] = data[:count]
        self._value_received = start + count
        return count

    def _read_reserved_value(self) -> Command | None:
        with memoryview(self._buffer) as buffer:
            self._position += self._add_to_value(buffer[self._position :])
        value = self._value
        if self._value_received < len(value):
            return None
        length = self._value_length
        if value[length:] != CRLF:
            return self._fail("bad data chunk")
        del value[length:]
        self._value = bytearray()
        return self._complete_request(value)

    def _skip_value(self) -> ValueSkipped | InvalidCommand | None:
        available = min(self.bytes_to_skip, len(self._buffer) - self._position)
        self.bytes_to_skip -= available
        self._position += available
        end = self._position + len(CRLF)
        if self.bytes_to_skip or len(self._buffer) < end:
            return None
        # Guards against executing the bytes of a wrongly measured value as commands.
        if self._buffer[self._position : end] != CRLF:
            return self._fail("bad data chunk")
        self._position = end
        self._state = _State.COMMAND_LINE
        command = self._after_value
        assert not isinstance(command, Request)
        return command

    def _parse_request(
        self, tokens: list[bytes], value: bytes | bytearray | None
    ) -> Request | InvalidCommand:
        try:
            return self._request_parser.parse(tokens, value)
        except MalformedError as error:
            return InvalidCommand(str(error))
