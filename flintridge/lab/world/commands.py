"""The lab's own reading of the meta commands, strict: what no client may send is bad, whoever sends it.

It is fed bytes, and shares nothing with the node's parser on purpose.
"""

import re

MAX_LINE = 4096
MAX_VALUE = 65_536
MAX_KEY = 250
_LENGTH = re.compile(rb"0|[1-9][0-9]{0,5}")
TOKEN = re.compile(rb"[\x21-\x7e]+")
_NAME = re.compile(r"[A-Za-z][A-Za-z0-9_]*")
_FIGURE = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

READ, WRITE, HELLO, STATS, BAD = "mg", "ms", "mn", "stats load", "bad"


class Command:
    """One whole command; `began` is the stamp of the bytes in which it begins."""

    __slots__ = ("began", "extras", "fatal", "key", "kind", "reason", "uid", "value", "wait_ms")

    def __init__(self, kind: str, began: float) -> None:
        self.kind = kind
        self.began = began
        self.key = ""
        self.uid = ""
        self.wait_ms = 0.0
        self.extras: dict[str, str] = {}  # all of P, by name
        self.value: bytes | None = None  # of a write
        self.reason = ""  # of what is bad
        self.fatal = False  # where the next command begins is not known


class Unreadable(ValueError):
    """In a form that no client sends."""


def read_extras(text: str) -> tuple[dict[str, str], float]:
    """The list of names and values, and its `d` in milliseconds. Raises Unreadable."""
    extras: dict[str, str] = {}
    for pair in text.split(","):
        name, mark, value = pair.partition("=")
        if not mark or not value or not _NAME.fullmatch(name):
            raise Unreadable("a list that is not of names and values")
        if name in extras:
            raise Unreadable(f"{name} twice")
        extras[name] = value
    for name in ("d", "h", "size"):
        if name in extras and not _FIGURE.fullmatch(extras[name]):
            raise Unreadable(f"{name} is no figure")
    if "d" not in extras:
        raise Unreadable("no d")
    wait_ms = float(extras["d"])
    if not wait_ms > 0:
        raise Unreadable("d is over before it begins")
    return extras, wait_ms


class CommandReader:
    """Commands out of bytes in any cuts."""

    __slots__ = ("_buffer", "_dead", "_stamp", "_value")

    def __init__(self) -> None:
        self._buffer = b""
        self._stamp = 0.0
        self._value: tuple[Command, int] | None = None  # a write whose value is awaited
        self._dead = False

    def feed(self, data: bytes, stamp: float) -> list[Command]:
        """All commands that are whole now. After one that is fatal nothing more is read."""
        found: list[Command] = []
        if self._dead:
            return found
        if self._buffer:
            data = self._buffer + data
        elif self._value is None:
            self._stamp = stamp
        at, end = 0, len(data)
        while at < end and not self._dead:
            step = self._take_value(data, at) if self._value is not None else self._take_line(data, at, found)
            if not step:
                break
            at += step
            if self._value is None:
                self._stamp = stamp  # whatever follows came with these bytes
            elif self._value[1] < 0:
                found.append(self._value[0])
                self._value = None
                self._stamp = stamp
        self._buffer = data[at:] if at else data
        return found

    def _take_line(self, data: bytes, at: int, found: list[Command]) -> int:
        """The bytes used; 0: no whole line yet."""
        end = data.find(b"\r\n", at)
        if end < 0 and len(data) - at <= MAX_LINE:
            return 0
        if end < 0 or end - at > MAX_LINE:
            found.append(self._bad("a line that does not end", fatal=True))
            return len(data) - at
        command = self._line(data[at:end])
        if command is not None:
            found.append(command)
        return end + 2 - at

    def _take_value(self, data: bytes, at: int) -> int:
        assert self._value is not None
        command, length = self._value
        if len(data) - at < length + 2:
            return 0
        if data[at + length : at + length + 2] != b"\r\n":
            command.kind, command.reason, command.fatal = BAD, "a value of another length", True
            self._dead = True
        else:
            command.value = data[at : at + length]
        self._value = command, -1
        return length + 2

    def _bad(self, reason: str, fatal: bool = False) -> Command:
        command = Command(BAD, self._stamp)
        command.reason, command.fatal = reason, fatal
        self._dead = self._dead or fatal
        return command

    def _line(self, line: bytes) -> Command | None:
        """A command; None where its value is still to come."""
        parts = line.split(b" ")
        kind = parts[0]
        if kind == b"mg":
            if len(parts) != 5 or parts[2] != b"v":
                return self._bad("not the form of a read")
            return self._request(Command(READ, self._stamp), parts[1], parts[3], parts[4])
        if kind == b"ms":
            return self._write(parts)
        if line == b"mn":
            return Command(HELLO, self._stamp)
        if line == b"stats load":
            return Command(STATS, self._stamp)
        return self._bad("an unknown command")

    def _write(self, parts: list[bytes]) -> Command | None:
        if len(parts) != 5 or not _LENGTH.fullmatch(parts[2]) or int(parts[2]) > MAX_VALUE:
            return self._bad("not the form of a write", fatal=True)
        command = self._request(Command(WRITE, self._stamp), parts[1], parts[3], parts[4])
        if command.kind == BAD:
            command.fatal = self._dead = True
            return command
        self._value = command, int(parts[2])
        return None

    def _request(self, command: Command, key: bytes, uid: bytes, extras: bytes) -> Command:
        if len(key) > MAX_KEY or not TOKEN.fullmatch(key):
            return self._bad("not a key")
        if uid[:1] != b"O" or not TOKEN.fullmatch(uid) or len(uid) < 2:
            return self._bad("no id")
        if extras[:1] != b"P" or not TOKEN.fullmatch(extras):
            return self._bad("no list of names and values")
        try:
            command.extras, command.wait_ms = read_extras(extras[1:].decode("ascii"))
        except Unreadable as error:
            return self._bad(str(error))
        command.key = key.decode("ascii")
        command.uid = uid[1:].decode("ascii")
        return command


# Answers

BUSY = b"SERVER_ERROR busy\r\n"
FAILED = b"SERVER_ERROR failed\r\n"
READY = b"MN\r\n"
UNKNOWN = b"ERROR\r\n"


def value_answer(uid: str, body: bytes, notes: str = "") -> bytes:
    """`notes`: flags that tell of hits (" h1", " h0", " h0 Z"), where servers tell."""
    return b"VA %d O%b%b\r\n%b\r\n" % (len(body), uid.encode(), notes.encode(), body)


def receipt_answer(uid: str, receipt: bytes) -> bytes:
    return b"HD O%b c%b\r\n" % (uid.encode(), receipt)


def miss_answer(uid: str, notes: str = "") -> bytes:
    return b"EN O%b%b\r\n" % (uid.encode(), notes.encode())


def error_answer(reason: str) -> bytes:
    """To what no client may send."""
    return b"CLIENT_ERROR %b\r\n" % reason.encode("ascii", "replace")


def stats_answer(report: dict[str, float]) -> bytes:
    return "".join(f"STAT {name} {value:.6g}\r\n" for name, value in report.items()).encode() + b"END\r\n"
