"""Exchanges with a cache server: forwarded commands and health checks, with their responses."""

from flintridge.api import Outcome
from flintridge.codec.errors import MalformedError
from flintridge.codec.load_report import parse_load_report
from flintridge.codec.long_value import MAX_VALUE_BYTES, UNRESERVED_VALUE_BYTES, ValueReader
from flintridge.codec.memcache.response_parser import ResponseParser
from flintridge.codec.memcache.syntax import CRLF, is_receipt
from flintridge.core.request import Request
from flintridge.core.response import AttemptResult, Response

RESPONSE_PREFIXES = (b"VA ", b"HD ", b"EN ", b"SERVER_ERROR", b"CLIENT_ERROR ", b"ERROR")
RESPONSES_WITH_ID = (b"VA", b"HD", b"EN")
STATS_PREFIXES = (b"STAT ", b"END", b"SERVER_ERROR", b"ERROR")
MAX_LENGTH_DIGITS = 7
MAX_LOAD_FIELDS = 64


def _cache_status(flags: list[bytes]) -> int | None:
    """Return the cache status as in `AttemptEnded`: 1 hit, 2 miss, 3 miss while a fetch is in progress."""
    if b"h1" in flags:
        return 1
    if b"h0" not in flags:
        return None
    return 3 if b"Z" in flags else 2


def _load(flags: list[bytes]) -> dict[str, float]:
    return parse_load_report(flags[-1][1:]) if flags and flags[-1][:1] == b"L" else {}


class CacheExchange:
    """A command that is forwarded to a cache server. After a malformed response, it may have been executed.

    Attributes:
        reusable: See `Exchange.reusable`.
        names_request: See `Exchange.names_request`.
        unreserved_body_bytes: See `Exchange.unreserved_body_bytes`; always 0, as the head has the length.
    """

    unreserved_body_bytes = 0

    def __init__(self, request: Request, timeout_ms: float) -> None:
        """Prepare the command.

        Args:
            request: The client's request to forward.
            timeout_ms: The remaining time of the client's timeout, in milliseconds; sent to the server.
        """
        self._request = request
        self._timeout_ms = timeout_ms
        self._parser = ResponseParser()
        self._value_head: AttemptResult | None = None  # set while the value after it is awaited
        self._value_length = 0
        self._reserved_value: ValueReader | None = None
        self.reusable = False
        self.names_request = True

    @property
    def streamed_value(self) -> ValueReader | None:
        """See `Exchange.streamed_value`."""
        return self._reserved_value

    def encode_request(self) -> list[bytes | bytearray]:
        """See `Exchange.encode_request`."""
        request = self._request
        options = [b" P", *request.options_with_timeout(self._timeout_ms)] if request.options else []
        if request.value is None:
            return [b"mg ", request.key, b" v O", request.id, *options, CRLF]
        length = b" %d O" % len(request.value)
        return [b"ms ", request.key, length, request.id, *options, CRLF, request.value, CRLF]

    def feed(self, data: bytes) -> AttemptResult | None:
        """See `Exchange.feed`."""
        try:
            if self._reserved_value is None:
                self._parser.feed(data)
                result = self._parse()
                if result is not None or self._reserved_value is None:
                    return result
                data = self._parser.take_rest()
            return self._feed_reserved_value(self._reserved_value, data)
        except MalformedError:
            return AttemptResult(Outcome.ERROR, malformed=True)

    def end(self) -> AttemptResult | None:
        """See `Exchange.end`. No memcache response is delimited by the end of the connection."""
        return None

    def _feed_reserved_value(self, value: ValueReader, data: bytes) -> AttemptResult | None:
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
        if self._value_length > UNRESERVED_VALUE_BYTES:
            self._reserved_value = ValueReader(self._value_length, head)
            return None
        body = self._parser.take_block(self._value_length)
        if body is None:
            return None
        self.reusable = self._parser.empty
        return AttemptResult(Outcome.OK, Response(body, receipt=False), head.cache_status, head.load)

    def _parse_line(self, line: bytes) -> AttemptResult | None:
        """Parse a response line; returns its result, or None if a value follows."""
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
            raise MalformedError("response does not carry the ID of the command")
        cache_status = _cache_status(flags)
        load = _load(flags)
        if kind == b"EN":
            return AttemptResult(Outcome.MISS, None, cache_status, load)
        if (kind == b"HD") != self._request.write:
            raise MalformedError("kind of response does not match the command")
        if kind == b"VA":
            self._value_head = AttemptResult(Outcome.OK, None, cache_status, load)
            return None
        receipt = next((flag[1:] for flag in flags if flag[:1] == b"c"), None)
        if receipt is None or not is_receipt(receipt):
            raise MalformedError("response has no valid receipt")
        return AttemptResult(Outcome.OK, Response(receipt, receipt=True), cache_status, load)

    @staticmethod
    def _parse_length(flags: list[bytes]) -> int:
        """Remove the value's length from the front of `flags`, and parse it."""
        if not flags or not flags[0].isdigit() or len(flags[0]) > MAX_LENGTH_DIGITS:
            raise MalformedError("invalid value length")
        length = int(flags.pop(0))
        if length > MAX_VALUE_BYTES:
            raise MalformedError("invalid value length")
        return length


class CacheHealthCheck:
    """A health check that requests a cache server's load report by `stats load`.

    Attributes:
        reusable: See `Exchange.reusable`.
        names_request: See `Exchange.names_request`; always False.
        streamed_value: See `Exchange.streamed_value`; always None, since a load report is not a value.
        unreserved_body_bytes: See `Exchange.unreserved_body_bytes`; always 0.
    """

    unreserved_body_bytes = 0

    def __init__(self) -> None:
        self._parser = ResponseParser()
        self._load: dict[str, float] = {}
        self.reusable = False
        self.names_request = False
        self.streamed_value = None

    def encode_request(self) -> list[bytes | bytearray]:
        """See `Exchange.encode_request`."""
        return [b"stats load\r\n"]

    def feed(self, data: bytes) -> AttemptResult | None:
        """See `Exchange.feed`."""
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
        """See `Exchange.end`. No memcache response is delimited by the end of the connection."""
        return None

    def _parse_line(self, line: bytes) -> AttemptResult | None:
        """Parse a line; returns the result, or None if more lines follow."""
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
