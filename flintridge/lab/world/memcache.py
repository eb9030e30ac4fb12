"""The lab's strict parser of memcache meta commands: anything that a client may not send is malformed.

It deliberately shares no code with the node's parser.
"""

import re
from dataclasses import dataclass
from enum import Enum

from flintridge.lab.world.load_report import LoadFigures

MAX_LINE_BYTES = 4096
MAX_VALUE_BYTES = 65_536
MAX_KEY_BYTES = 250
MAX_PIPELINED = 128
"""Maximum number of commands per connection that a server has started but not yet responded to."""

TOKEN = re.compile(rb"[\x21-\x7e]+")
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,5}")
_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_]*")
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


class CommandKind(Enum):
    """Kinds of commands; the values appear in records."""

    READ = "mg"
    WRITE = "ms"
    NOOP = "mn"
    LOAD_STATS = "stats load"
    MALFORMED = "bad"


class Command:
    """One complete command.

    Attributes:
        kind: Kind of the command.
        started_at: When the bytes that hold its first byte were sent (ms of the run).
        key: Key of a read or a write; empty for other commands.
        request_id: Id of the client's request.
        time_left_ms: How long the caller waits for the response (ms).
        extras: All names and values of its P flag.
        value: Value of a write; None for other commands.
        reason: Why a malformed command is malformed.
        fatal: Whether the command is malformed such that the start of the next command is unknown.
    """

    __slots__ = (
        "extras",
        "fatal",
        "key",
        "kind",
        "reason",
        "request_id",
        "started_at",
        "time_left_ms",
        "value",
    )

    def __init__(self, kind: CommandKind, started_at: float) -> None:
        """Create a command with all other attributes empty."""
        self.kind = kind
        self.started_at = started_at
        self.key = ""
        self.request_id = ""
        self.time_left_ms = 0.0
        self.extras: dict[str, str] = {}
        self.value: bytes | None = None
        self.reason = ""
        self.fatal = False


class MalformedCommandError(ValueError):
    """A command or a request has a form that no client may send."""


@dataclass(slots=True, frozen=True)
class Extras:
    """The list of names and values that a request carries.

    Attributes:
        values: All values, by name.
        time_left_ms: The value of `d`: how long the caller waits for the response (ms).
    """

    values: dict[str, str]
    time_left_ms: float


def read_extras(text: str) -> Extras:
    """Parse the list of names and values.

    Raises:
        MalformedCommandError: No client may send such a list.
    """
    values: dict[str, str] = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not separator or not value or not _NAME.fullmatch(name):
            raise MalformedCommandError("a list that is not of names and values")
        if name in values:
            raise MalformedCommandError(f"{name} twice")
        values[name] = value
    for name in ("d", "h", "size"):
        if name in values and not _DECIMAL.fullmatch(values[name]):
            raise MalformedCommandError(f"{name} is no figure")
    if "d" not in values:
        raise MalformedCommandError("no d")
    time_left_ms = float(values["d"])
    if not time_left_ms > 0:
        raise MalformedCommandError("d is over before it begins")
    return Extras(values, time_left_ms)


@dataclass(slots=True)
class _AwaitedValue:
    """A write whose value has not been received yet."""

    command: Command
    length: int
    complete: bool = False


class CommandReader:
    """Parses commands from a stream of bytes, which may arrive in pieces of any size."""

    __slots__ = ("_awaited", "_buffer", "_sent_at", "_stopped")

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = b""
        self._sent_at = 0.0  # send time of the bytes that hold the first byte of the current command
        self._awaited: _AwaitedValue | None = None
        self._stopped = False

    def feed(self, data: bytes, sent_at: float) -> list[Command]:
        """Parse received bytes. After a fatal command all further bytes are ignored.

        Args:
            data: The received bytes.
            sent_at: When they were sent (ms of the run).

        Returns:
            The commands that these bytes complete.
        """
        commands: list[Command] = []
        if self._stopped:
            return commands
        if self._buffer:
            data = self._buffer + data
        elif self._awaited is None:
            self._sent_at = sent_at
        at = 0
        end = len(data)
        while at < end and not self._stopped:
            if self._awaited is not None:
                used = self._read_value(self._awaited, data, at)
            else:
                used = self._read_line(data, at, commands)
            if not used:
                break
            at += used
            if self._awaited is None:
                self._sent_at = sent_at  # the next command begins in these bytes
            elif self._awaited.complete:
                commands.append(self._awaited.command)
                self._awaited = None
                self._sent_at = sent_at
        self._buffer = data[at:] if at else data
        return commands

    def _read_line(self, data: bytes, at: int, commands: list[Command]) -> int:
        """Parse one line and return the number of bytes consumed; 0 if the line is not complete yet."""
        end = data.find(b"\r\n", at)
        if end < 0 and len(data) - at <= MAX_LINE_BYTES:
            return 0
        if end < 0 or end - at > MAX_LINE_BYTES:
            commands.append(self._malformed("a line that does not end", fatal=True))
            return len(data) - at
        command = self._parse_line(data[at:end])
        if command is not None:
            commands.append(command)
        return end + 2 - at

    def _read_value(self, awaited: _AwaitedValue, data: bytes, at: int) -> int:
        """Take a write's value and return the number of bytes consumed; 0 if it is not complete yet."""
        end = at + awaited.length
        if len(data) < end + 2:
            return 0
        command = awaited.command
        if data[end : end + 2] != b"\r\n":
            command.kind = CommandKind.MALFORMED
            command.reason = "a value of another length"
            command.fatal = True
            self._stopped = True
        else:
            command.value = data[at:end]
        awaited.complete = True
        return awaited.length + 2

    def _malformed(self, reason: str, *, fatal: bool = False) -> Command:
        command = Command(CommandKind.MALFORMED, self._sent_at)
        command.reason = reason
        command.fatal = fatal
        if fatal:
            self._stopped = True
        return command

    def _parse_line(self, line: bytes) -> Command | None:
        """Return the command in a line; None for a write, whose value follows."""
        fields = line.split(b" ")
        name = fields[0]
        if name == b"mg":
            if len(fields) != 5 or fields[2] != b"v":
                return self._malformed("not the form of a read")
            return self._parse_request(CommandKind.READ, fields[1], fields[3], fields[4])
        if name == b"ms":
            return self._parse_write(fields)
        if line == b"mn":
            return Command(CommandKind.NOOP, self._sent_at)
        if line == b"stats load":
            return Command(CommandKind.LOAD_STATS, self._sent_at)
        return self._malformed("an unknown command")

    def _parse_write(self, fields: list[bytes]) -> Command | None:
        if len(fields) != 5 or not _LENGTH.fullmatch(fields[2]) or int(fields[2]) > MAX_VALUE_BYTES:
            return self._malformed("not the form of a write", fatal=True)
        command = self._parse_request(CommandKind.WRITE, fields[1], fields[3], fields[4])
        if command.kind is CommandKind.MALFORMED:
            command.fatal = True
            self._stopped = True
            return command
        self._awaited = _AwaitedValue(command, int(fields[2]))
        return None

    def _parse_request(self, kind: CommandKind, key: bytes, request_id: bytes, extras: bytes) -> Command:
        if len(key) > MAX_KEY_BYTES or not TOKEN.fullmatch(key):
            return self._malformed("not a key")
        if request_id[:1] != b"O" or not TOKEN.fullmatch(request_id) or len(request_id) < 2:
            return self._malformed("no id")
        if extras[:1] != b"P" or not TOKEN.fullmatch(extras):
            return self._malformed("no list of names and values")
        try:
            parsed = read_extras(extras[1:].decode("ascii"))
        except MalformedCommandError as error:
            return self._malformed(str(error))
        command = Command(kind, self._sent_at)
        command.extras = parsed.values
        command.time_left_ms = parsed.time_left_ms
        command.key = key.decode("ascii")
        command.request_id = request_id[1:].decode("ascii")
        return command


# Responses

BUSY = b"SERVER_ERROR busy\r\n"
FAILED = b"SERVER_ERROR failed\r\n"
READY = b"MN\r\n"
UNKNOWN = b"ERROR\r\n"


def value_response(request_id: str, body: bytes) -> bytes:
    """Return the response to a hit, which carries the value."""
    return b"VA %d O%b\r\n%b\r\n" % (len(body), request_id.encode(), body)


def miss_response(request_id: str) -> bytes:
    """Return the response to a miss."""
    return b"EN O%b\r\n" % request_id.encode()


def error_response(reason: str) -> bytes:
    """Return the response to a malformed command."""
    return b"CLIENT_ERROR %b\r\n" % reason.encode("ascii", "replace")


def stats_response(figures: LoadFigures) -> bytes:
    """Return the response to `stats load`."""
    lines = [f"STAT {name} {value:.6g}\r\n" for name, value in figures.items()]
    return "".join(lines).encode() + b"END\r\n"
