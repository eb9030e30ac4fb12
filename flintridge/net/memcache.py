"""The meta commands of the memcache protocol: parsers and writers for both sides, fed bytes."""

import math
import re
from dataclasses import dataclass

from flintridge.api import Outcome, Settings
from flintridge.core.request import Request
from flintridge.core.response import AttemptResult, Response

MAX_LINE = 2048
MAX_KEY = 250
MAX_VALUE = 4 * 1024 * 1024
LONG = (
    64 * 1024
)  # a value beyond this is long: read in pieces that are passed on, written into room kept before
NUMBER = re.compile(rb"[0-9]{1,15}(?:\.[0-9]{1,15})?(?:[eE][+-]?[0-9]{1,2})?")
EOL = b"\r\n"


@dataclass(slots=True, frozen=True)
class Hello:
    """`mn`: may requests come?"""


@dataclass(slots=True, frozen=True)
class BadCommand:
    """To be answered CLIENT_ERROR; where the framing is lost the connection ends after that."""

    reason: str
    fatal: bool = False


@dataclass(slots=True, frozen=True)
class Announced:
    """A long value is to come. The parser goes on once `admit` has told it whether there is room."""

    length: int


@dataclass(slots=True, frozen=True)
class PassedOver:
    """A long value for which there was no room has been read past: to be answered as a refusal."""


Command = Request | Hello | BadCommand | Announced | PassedOver


class Malformed(ValueError):
    pass


def _number(text: bytes) -> float:
    """A finite number that is not negative, in plain digits: float() would take underlines and `nan` too."""
    if not NUMBER.fullmatch(text) or not (value := float(text)) < 1e15:
        raise Malformed("bad number")
    return value


def _is_text(token: bytes) -> bool:
    return token.isascii() and all(33 <= byte < 127 for byte in token)


class CommandParser:
    """Commands of a client, as Envelopes; bad ones are told and passed over where the framing holds."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self._tenants = {t.name.encode(): i for i, t in enumerate(settings.tenants)}
        self._buffer = bytearray()
        self._scanned = 0  # of the buffer: no line ends before this
        self._skip = 0  # bytes of a refused value still to come
        self._write: tuple[int, list[bytes]] | None = None  # an ms whose value is awaited: length, tokens
        self._asked = False  # a long value was announced, and whether there is room for it is not told yet
        self._long: bytearray | None = None  # a long value with its end, as far as it came
        self._dead = False

    @property
    def idle(self) -> bool:
        """Whether nothing of a further command has arrived, and nothing is read past."""
        return not self._buffer and self._write is None and not self._skip

    @property
    def in_value(self) -> bool:
        """Whether what is awaited is the rest of a long value."""
        return self._long is not None or self._skip > 0

    def feed(self, data: bytes) -> list[Command]:
        """What is whole now, in order. Raises nothing, whatever `data` is."""
        if self._long is not None and not self._buffer:
            return self._fill(data)  # not by way of the buffer: a long value is there once
        self._buffer += data
        return self._found()

    def admit(self, room: bool) -> list[Command]:
        """The answer to `Announced`; what is whole then."""
        assert self._write is not None and self._asked
        self._asked = False
        length, _ = self._write
        if room:
            self._long = bytearray()
        else:
            self._write, self._skip = None, length + 2
        return self._found()

    def _found(self) -> list[Command]:
        found: list[Command] = []
        at = 0
        while not self._dead and not self._asked:
            at, command, more = self._next(at)
            if command is not None:
                found.append(command)
                self._dead = isinstance(command, BadCommand) and command.fatal
            if not more:
                break
        if self._dead:
            self._buffer.clear()
            self._long = None
        else:
            del self._buffer[:at]
            self._scanned -= min(at, self._scanned)
        return found

    def _fill(self, data: bytes) -> list[Command]:
        assert self._write is not None and self._long is not None
        length, _ = self._write
        lacks = length + 2 - len(self._long)
        if len(data) < lacks:
            self._long += data
            return []
        self._long += memoryview(data)[:lacks]
        self._buffer += memoryview(data)[lacks:]
        return self._found()

    def _next(self, at: int) -> tuple[int, Command | None, bool]:
        """One step from `at` on: where the next begins, what was found, and whether there may be more."""
        buffer = self._buffer
        if self._skip:
            step = min(self._skip, len(buffer) - at)
            self._skip -= step
            return at + step, None if self._skip else PassedOver(), not self._skip
        if self._write is not None:
            return self._value(at, *self._write)
        end = buffer.find(EOL, max(at, self._scanned - 1))
        if end < 0:
            self._scanned = len(buffer)
            if len(buffer) - at > MAX_LINE:
                return at, BadCommand("line too long", fatal=True), False
            return at, None, False
        self._scanned = end + 2
        if end - at > MAX_LINE:
            return at, BadCommand("line too long", fatal=True), False
        return end + 2, self._line(bytes(memoryview(buffer)[at:end])), True

    def _value(self, at: int, length: int, tokens: list[bytes]) -> tuple[int, Command | None, bool]:
        buffer, long = self._buffer, self._long
        if long is not None:
            lacks = min(length + 2 - len(long), len(buffer) - at)
            long += memoryview(buffer)[at : at + lacks]
            at += lacks
            if len(long) < length + 2:
                return at, None, False
            self._write = self._long = None
            if long[length:] != EOL:
                return at, BadCommand("bad data chunk", fatal=True), False
            del long[length:]
            return at, self._envelope(tokens, long), True
        if len(buffer) - at < length + 2:
            return at, None, False
        self._write = None
        end = at + length
        if buffer[end : end + 2] != EOL:
            return at, BadCommand("bad data chunk", fatal=True), False
        return end + 2, self._envelope(tokens, bytes(memoryview(buffer)[at:end])), True

    def _line(self, line: bytes) -> Command | None:
        tokens = line.split(b" ")
        if tokens == [b"mn"]:
            return Hello()
        if tokens[0] == b"mg":
            return self._envelope(tokens, None)
        if tokens[0] != b"ms":
            return BadCommand("unknown command")
        if len(tokens) < 3 or not tokens[2].isdigit() or len(tokens[2]) > 10:
            return BadCommand("bad data length", fatal=True)
        length = int(tokens.pop(2))
        if length > MAX_VALUE:
            return BadCommand("value too large", fatal=True)
        self._write = length, tokens
        if length <= LONG:
            return None
        self._asked = True
        return Announced(length)

    def _envelope(self, tokens: list[bytes], value: bytes | bytearray | None) -> Request | BadCommand:
        try:
            return self._checked(tokens, value)
        except Malformed as error:
            return BadCommand(str(error))

    def _checked(self, tokens: list[bytes], value: bytes | bytearray | None) -> Request:
        if len(tokens) < 2 or not 0 < len(tokens[1]) <= MAX_KEY or not _is_text(tokens[1]):
            raise Malformed("bad key")
        flags: dict[bytes, bytes] = {}
        for token in tokens[2:]:
            mark = token[:1]
            if mark not in (b"v", b"O", b"P") or mark in flags or not _is_text(token):
                raise Malformed("bad flag")
            flags[mark] = token[1:]
        if not flags.get(b"O"):
            raise Malformed("no id")
        if (b"v" in flags) != (value is None) or flags.get(b"v"):
            raise Malformed("bad flag")
        return self._filled(tokens[1], flags[b"O"], flags.get(b"P", b""), value)

    def _filled(self, key: bytes, id_: bytes, extras: bytes, value: bytes | bytearray | None) -> Request:
        said: dict[bytes, bytes] = {}
        span, at = None, 0
        for pair in extras.split(b",") if extras else ():
            name, mark, text = pair.partition(b"=")
            if not mark or not name or name in said:
                raise Malformed("bad list of names and values")
            said[name] = text
            if name == b"d":
                span = at + 2, at + len(pair)
            at += len(pair) + 1
        numbers = {name: _number(said[name]) for name in (b"d", b"h", b"size") if name in said}
        cls = self._classes.get(said[b"c"]) if b"c" in said else 0
        tenant = self._tenants.get(said[b"t"]) if b"t" in said and self._tenants else 0
        if cls is None:
            raise Malformed("unknown class")
        if tenant is None:
            raise Malformed("unknown tenant")
        return Request(
            id_,
            key,
            extras,
            span,
            value,
            timeout_ms=numbers.get(b"d"),
            class_index=cls,
            tenant=tenant,
            retry=said.get(b"r") == b"1",
            work_us=numbers.get(b"h"),
            size=numbers.get(b"size"),
        )


# Answers to clients: lists of parts for a gathered write


def served_parts(id_: bytes, served: Response) -> list[bytes]:
    if served.receipt:
        return [b"HD O", id_, b" c", served.body, EOL]
    return [b"VA %d O" % len(served.body), id_, EOL, served.body, EOL]


def passage_head(id_: bytes, length: int) -> bytes:
    """What stands before a long value that goes through in pieces; EOL ends it."""
    return b"VA %d O%b\r\n" % (length, id_)


def defer_parts(retry_after_ms: float) -> list[bytes]:
    wait = math.ceil(retry_after_ms)
    return [b"SERVER_ERROR busy %d\r\n" % wait if wait > 0 else b"SERVER_ERROR busy\r\n"]


FAILED = b"SERVER_ERROR failed\r\n"
HELLO = b"MN\r\n"
NOT_YET = b"SERVER_ERROR starting\r\n"
NO_MORE = b"SERVER_ERROR draining\r\n"


def bad_command_parts(reason: str) -> list[bytes]:
    return [b"CLIENT_ERROR %b\r\n" % reason.encode()]


# The other side: a command to a cache server and its answer


def load_report(text: bytes) -> dict[str, float]:
    """Names and values; what is no finite number is passed over."""
    report = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name and math.isfinite(number):
            report[name.decode("ascii", "replace")] = number
    return report


class AnswerReader:
    """Lines and counted blocks out of bytes that arrive in any cuts."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        self._buffer += data

    def line(self, kinds: tuple[bytes, ...]) -> bytes | None:
        """The next line, which begins as one of these. Noise shows by its first bytes: no end is awaited."""
        end = self._buffer.find(EOL)
        if not any(self._buffer.startswith(kind[: len(self._buffer)]) for kind in kinds):
            raise Malformed("no line of an answer")
        if end < 0 and len(self._buffer) <= MAX_LINE:
            return None
        if not 0 <= end <= MAX_LINE:
            raise Malformed("line too long")
        line = bytes(memoryview(self._buffer)[:end])
        del self._buffer[: end + 2]
        return line

    def block(self, length: int) -> bytes | None:
        if len(self._buffer) < length + 2:
            return None
        if self._buffer[length : length + 2] != EOL:
            raise Malformed("bad data chunk")
        block = bytes(memoryview(self._buffer)[:length])
        del self._buffer[: length + 2]
        return block

    def rest(self) -> bytes:
        """All that is here; nothing is kept."""
        rest, self._buffer = bytes(self._buffer), bytearray()
        return rest

    @property
    def empty(self) -> bool:
        return not self._buffer


class LongValue:
    """A long value on its way through: counted, and its last byte kept back until the end was seen.

    Guards the client against taking a value for whole whose end was spoilt: the end was not written then.
    """

    def __init__(self, length: int, result: AttemptResult) -> None:
        self.length = length
        self.result = result  # what its head told; the value is not part of it
        self._left = length
        self._end = b""  # what came of the bytes that must follow it
        self._pieces: list[bytes] = []
        self._last = b""

    def feed(self, data: bytes, end: bytes) -> bytes | None:
        """What follows the value and its `end`, once both are whole. Raises Malformed for another end."""
        if self._left:
            piece, data = data[: self._left], data[self._left :]
            self._left -= len(piece)
            if not self._left:
                piece, self._last = piece[:-1], piece[-1:]
            if piece:
                self._pieces.append(piece)
            if self._left:
                return None
        lacks = len(end) - len(self._end)
        self._end += data[:lacks]
        if not end.startswith(self._end):
            raise Malformed("bad data chunk")
        if self._end != end:
            return None
        self._pieces.append(self._last)
        self._last = b""
        return data[lacks:]

    def take_chunks(self) -> list[bytes]:
        """The pieces that may go out now; they are the caller's."""
        pieces, self._pieces = self._pieces, []
        return pieces


class CacheExchange:
    """One command passed on to a cache server. A malformed answer ends as an error: it may have run."""

    def __init__(self, request: Request, wait_ms: float) -> None:
        self._envelope = request
        self._wait_ms = wait_ms
        self._reader = AnswerReader()
        self._value: tuple[int, AttemptResult] | None = None  # the length of a value that is still to come
        self._long: LongValue | None = None
        self.reusable = False
        self.names_request = True

    @property
    def streamed_value(self) -> "LongValue | None":
        """The long value that has begun to come, from which its pieces are to be taken."""
        return self._long

    def encode_request(self) -> list[bytes | bytearray]:
        e = self._envelope
        listed = [b" P", *e.options_with_timeout(self._wait_ms)] if e.options else []
        if e.value is None:
            return [b"mg ", e.key, b" v O", e.id, *listed, EOL]
        return [b"ms ", e.key, b" %d O" % len(e.value), e.id, *listed, EOL, e.value, EOL]

    def feed(self, data: bytes) -> AttemptResult | None:
        try:
            if self._long is None:
                self._reader.feed(data)
                if (answer := self._step()) is not None or self._long is None:
                    return answer
                data = self._reader.rest()
            return self._go_on(self._long, data)
        except Malformed:
            return AttemptResult(Outcome.ERROR, malformed=True)

    def _go_on(self, long: "LongValue", data: bytes) -> AttemptResult | None:
        left = long.feed(data, EOL)
        if left is None:
            return None
        self.reusable = not left
        assert self._value is not None
        return self._value[1]

    def end(self) -> AttemptResult | None:
        return None

    def _step(self) -> AttemptResult | None:
        if self._value is None:
            line = self._reader.line((b"VA ", b"HD ", b"EN ", b"SERVER_ERROR", b"CLIENT_ERROR ", b"ERROR"))
            if line is None:
                return None
            answer = self._line(line)
            if answer is not None:
                self.reusable = self._reader.empty
                return answer
        assert self._value is not None
        length, answer = self._value
        if length > LONG:
            self._long = LongValue(length, answer)
            return None
        body = self._reader.block(length)
        if body is None:
            return None
        self.reusable = self._reader.empty
        return AttemptResult(Outcome.OK, Response(body, receipt=False), answer.cache_status, answer.load)

    def _line(self, line: bytes) -> AttemptResult | None:
        """The answer, or None when a value is to follow."""
        tokens = line.split(b" ")
        kind, flags = tokens[0], tokens[1:]
        self.names_request = kind in (b"VA", b"HD", b"EN")  # the other lines hold no id
        if kind == b"SERVER_ERROR":
            busy = flags[:1] == [b"busy"]
            return AttemptResult(Outcome.FULL if busy else Outcome.ERROR, load=self._load(flags[1:]))
        if kind in (b"CLIENT_ERROR", b"ERROR"):
            return AttemptResult(Outcome.ERROR)
        length = 0
        if kind == b"VA":
            if not flags or not flags[0].isdigit() or len(flags[0]) > 7 or int(flags[0]) > MAX_VALUE:
                raise Malformed("bad length")
            length = int(flags.pop(0))
        if kind not in (b"VA", b"HD", b"EN") or flags[:1] != [b"O" + self._envelope.id]:
            raise Malformed("not an answer to this command")
        note = 1 if b"h1" in flags else 2 if b"h0" in flags else None
        if note == 2 and b"Z" in flags:
            note = 3
        load = self._load(flags)
        if kind == b"EN":
            return AttemptResult(Outcome.MISS, None, note, load)
        if (kind == b"HD") != self._envelope.write:
            raise Malformed("an answer of another kind")
        if kind == b"VA":
            self._value = length, AttemptResult(Outcome.OK, None, note, load)
            return None
        receipt = next((f[1:] for f in flags if f[:1] == b"c"), None)
        if receipt is None:
            raise Malformed("no receipt")
        return AttemptResult(Outcome.OK, Response(receipt, receipt=True), note, load)

    @staticmethod
    def _load(flags: list[bytes]) -> dict[str, float]:
        return load_report(flags[-1][1:]) if flags and flags[-1][:1] == b"L" else {}


class CacheProbe:
    """`stats load`: the load report of a cache server."""

    def __init__(self) -> None:
        self.streamed_value = None
        self._reader = AnswerReader()
        self._load: dict[str, float] = {}
        self.reusable = False
        self.names_request = False

    def encode_request(self) -> list[bytes | bytearray]:
        return [b"stats load\r\n"]

    def feed(self, data: bytes) -> AttemptResult | None:
        self._reader.feed(data)
        try:
            while (line := self._reader.line((b"STAT ", b"END", b"SERVER_ERROR", b"ERROR"))) is not None:
                match line.split(b" "):
                    case [b"STAT", name, value] if len(self._load) < 64:
                        self._load |= load_report(name + b"=" + value)
                    case [b"END"]:
                        self.reusable = self._reader.empty
                        return AttemptResult(Outcome.OK, load=self._load)
                    case [b"SERVER_ERROR", b"busy", *_]:
                        return AttemptResult(Outcome.FULL)
                    case _:
                        return AttemptResult(Outcome.ERROR)
        except Malformed:
            return AttemptResult(Outcome.ERROR)
        return None

    def end(self) -> AttemptResult | None:
        return None
