"""Exchanges with a cache server: a forwarded command or a health check, and the response to it."""

from flintridge.api import Outcome
from flintridge.codec.errors import MalformedError
from flintridge.codec.load_report import parse_load_report
from flintridge.codec.long_value import LONG_VALUE_BYTES, MAX_VALUE_BYTES, LongValueReader
from flintridge.codec.memcache.response_parser import ResponseParser
from flintridge.codec.memcache.syntax import CRLF
from flintridge.core.request import Request
from flintridge.core.response import AttemptResult, Response

RESPONSE_PREFIXES = (b"VA ", b"HD ", b"EN ", b"SERVER_ERROR", b"CLIENT_ERROR ", b"ERROR")
RESPONSES_WITH_ID = (b"VA", b"HD", b"EN")
STATS_PREFIXES = (b"STAT ", b"END", b"SERVER_ERROR", b"ERROR")
MAX_LENGTH_DIGITS = 7
MAX_LOAD_FIELDS = 64


def _cache_status(flags: list[bytes]) -> int | None:
    """As in `AttemptEnded`: 1 a hit, 2 a miss, 3 a miss while a fetch is out."""
    if b"h1" in flags:
        return 1
    if b"h0" not in flags:
        return None
    return 3 if b"Z" in flags else 2


def _load(flags: list[bytes]) -> dict[str, float]:
    return parse_load_report(flags[-1][1:]) if flags and flags[-1][:1] == b"L" else {}


class CacheExchange:
    """One command that is forwarded to a cache server. After a malformed response it may have been executed.

    Attributes:
        reusable: As in `Exchange`.
        names_request: As in `Exchange`.
    """

    def __init__(self, request: Request, timeout_ms: float) -> None:
        """Prepare the command.

        Args:
            request: What is forwarded.
            timeout_ms: What remains of the client's timeout, which the server is told, in milliseconds.
        """
        self._request = request
        self._timeout_ms = timeout_ms
        self._parser = ResponseParser()
        self._value_head: AttemptResult | None = None  # set while the value behind it is awaited
        self._value_length = 0
        self._long_value: LongValueReader | None = None
        self.reusable = False
        self.names_request = True

    @property
    def streamed_value(self) -> LongValueReader | None:
        """As in `Exchange`."""
        return self._long_value

    def encode_request(self) -> list[bytes | bytearray]:
        """As in `Exchange`."""
        request = self._request
        options = [b" P", *request.options_with_timeout(self._timeout_ms)] if request.options else []
        if request.value is None:
            return [b"mg ", request.key, b" v O", request.id, *options, CRLF]
        length = b" %d O" % len(request.value)
        return [b"ms ", request.key, length, request.id, *options, CRLF, request.value, CRLF]

    def feed(self, data: bytes) -> AttemptResult | None:
        """As in `Exchange`."""
        try:
            if self._long_value is None:
                self._parser.feed(data)
                result = self._parse()
                if result is not None or self._long_value is None:
                    return result
                data = self._parser.take_rest()
            return self._feed_long_value(self._long_value, data)
        except MalformedError:
            return AttemptResult(Outcome.ERROR, malformed=True)

    def end(self) -> AttemptResult | None:
        """As in `Exchange`: no response ends with its connection."""
        return None

    def _feed_long_value(self, value: LongValueReader, data: bytes) -> AttemptResult | None:
        rest = value.feed(data, CRLF)
        if rest is None:
            return None
        self.reusable = not rest
        return value.result

    def _parse(self) -> AttemptResult | None:
        if self._value_head is None:
            line = self._parser.take_line(RESPONSE_PREFIXES)
            if line is None:
                return None
            result = self._parse_line(line)
            if result is not None:
                self.reusable = self._parser.empty
                return result
        head = self._value_head
        assert head is not None
        if self._value_length > LONG_VALUE_BYTES:
            self._long_value = LongValueReader(self._value_length, head)
            return None
        body = self._parser.take_block(self._value_length)
        if body is None:
            return None
        self.reusable = self._parser.empty
        return AttemptResult(Outcome.OK, Response(body, receipt=False), head.cache_status, head.load)

    def _parse_line(self, line: bytes) -> AttemptResult | None:
        """The result, or None if a value is to follow."""
        tokens = line.split(b" ")
        kind = tokens[0]
        flags = tokens[1:]
        self.names_request = kind in RESPONSES_WITH_ID
        if kind == b"SERVER_ERROR":
            busy = flags[:1] == [b"busy"]
            return AttemptResult(Outcome.FULL if busy else Outcome.ERROR, load=_load(flags[1:]))
        if kind in (b"CLIENT_ERROR", b"ERROR"):
            return AttemptResult(Outcome.ERROR)
        if kind == b"VA":
            self._value_length = self._parse_length(flags)
        if not self.names_request or flags[:1] != [b"O" + self._request.id]:
            raise MalformedError("not a response to this command")
        cache_status = _cache_status(flags)
        load = _load(flags)
        if kind == b"EN":
            return AttemptResult(Outcome.MISS, None, cache_status, load)
        if (kind == b"HD") != self._request.write:
            raise MalformedError("a response of another kind")
        if kind == b"VA":
            self._value_head = AttemptResult(Outcome.OK, None, cache_status, load)
            return None
        receipt = next((flag[1:] for flag in flags if flag[:1] == b"c"), None)
        if receipt is None:
            raise MalformedError("no receipt")
        return AttemptResult(Outcome.OK, Response(receipt, receipt=True), cache_status, load)

    @staticmethod
    def _parse_length(flags: list[bytes]) -> int:
        """Take the value's length off `flags`."""
        if not flags or not flags[0].isdigit() or len(flags[0]) > MAX_LENGTH_DIGITS:
            raise MalformedError("bad length")
        length = int(flags.pop(0))
        if length > MAX_VALUE_BYTES:
            raise MalformedError("bad length")
        return length


class CacheHealthCheck:
    """`stats load`: asks a cache server for its load report.

    Attributes:
        reusable: As in `Exchange`.
        names_request: As in `Exchange`: never.
        streamed_value: As in `Exchange`: a load report is no long value.
    """

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._load: dict[str, float] = {}
        self.reusable = False
        self.names_request = False
        self.streamed_value = None

    def encode_request(self) -> list[bytes | bytearray]:
        """As in `Exchange`."""
        return [b"stats load\r\n"]

    def feed(self, data: bytes) -> AttemptResult | None:
        """As in `Exchange`."""
        self._parser.feed(data)
        try:
            while True:
                line = self._parser.take_line(STATS_PREFIXES)
                if line is None:
                    return None
                result = self._parse_line(line)
                if result is not None:
                    return result
        except MalformedError:
            return AttemptResult(Outcome.ERROR)

    def end(self) -> AttemptResult | None:
        """As in `Exchange`: no response ends with its connection."""
        return None

    def _parse_line(self, line: bytes) -> AttemptResult | None:
        """The result; None if further lines are to follow."""
        match line.split(b" "):
            case [b"STAT", name, value] if len(self._load) < MAX_LOAD_FIELDS:
                self._load |= parse_load_report(name + b"=" + value)
                return None
            case [b"END"]:
                self.reusable = self._parser.empty
                return AttemptResult(Outcome.OK, load=self._load)
            case [b"SERVER_ERROR", b"busy", *_]:
                return AttemptResult(Outcome.FULL)
            case _:
                return AttemptResult(Outcome.ERROR)
