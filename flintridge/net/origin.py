"""The origin's HTTP/1.1, by h11: one exchange a state machine, fed bytes."""

from collections.abc import Callable
from urllib.parse import quote

import h11

from flintridge.api import Outcome
from flintridge.core.request import Request
from flintridge.core.response import AttemptResult, Response
from flintridge.net.memcache import LONG, MAX_VALUE, LongValue, Malformed, load_report

START = b"HTTP/1."


class HttpExchange:
    """One request and its whole response; bounded, and never raising on what the other end sends."""

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | bytearray = b"",
        limit: int = LONG,
        passes: Callable[[h11.Response], LongValue | None] | None = None,
    ) -> None:
        """`limit`: bytes of a body that is kept. `passes` says whether one is a long value, which is not."""
        self._head = h11.Request(method=method, target=target, headers=headers)
        self._body = body
        self._limit = limit
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=16 * 1024)
        self._response: h11.Response | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._first = b""  # bytes of the answer
        self._passes = passes
        self.streamed_value: LongValue | None = None  # that has begun to come
        self.reusable = False

    def encode_request(self) -> list[bytes | bytearray]:
        parts: list[bytes | bytearray] = list(self._connection.send_with_data_passthrough(self._head) or ())
        if self._body:
            body = h11.Data(data=self._body)  # type: ignore[arg-type]  # passed through as it is
            parts += self._connection.send_with_data_passthrough(body) or ()
        parts += self._connection.send_with_data_passthrough(h11.EndOfMessage()) or ()
        return parts

    def feed(self, data: bytes) -> tuple[h11.Response, bytes] | None:
        """The response and its body once whole; raises h11.RemoteProtocolError."""
        if len(self._first) < len(START):  # h11 would await the end of a head that noise never has
            self._first += data[: len(START) - len(self._first)]
            if not START.startswith(self._first):
                raise h11.RemoteProtocolError("not HTTP/1")
        self._connection.receive_data(data)
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Response):
                self._response = event
                self.streamed_value = self._passes(event) if self._passes else None
            elif isinstance(event, h11.Data) and self.streamed_value is not None:
                try:
                    self.streamed_value.feed(bytes(event.data), b"")
                except Malformed as error:
                    raise h11.RemoteProtocolError(str(error)) from error
            elif isinstance(event, h11.Data):
                self._size += len(event.data)
                if self._size > self._limit:
                    raise h11.RemoteProtocolError("body too large")
                self._parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                states = self._connection.states
                left, closed = self._connection.trailing_data
                self.reusable = set(states.values()) == {h11.DONE} and not left and not closed
                assert self._response is not None
                return self._response, b"".join(self._parts)


def header(response: h11.Response, name: bytes) -> bytes | None:
    return next((value for key, value in response.headers if key == name), None)


class _OverHttp:
    """An exchange whose answer is one response. A malformed one ends as an error: it may have run."""

    def __init__(self, http: HttpExchange) -> None:
        self._http = http
        self.names_request = False  # HTTP itself has nothing that ties a response to its request

    @property
    def reusable(self) -> bool:
        return self._http.reusable

    @property
    def streamed_value(self) -> LongValue | None:
        return self._http.streamed_value

    def encode_request(self) -> list[bytes | bytearray]:
        return self._http.encode_request()

    def feed(self, data: bytes) -> AttemptResult | None:
        try:
            found = self._http.feed(data)
        except h11.RemoteProtocolError:
            return AttemptResult(Outcome.ERROR, malformed=True)
        return self._answer(*found) if found else None

    def end(self) -> AttemptResult | None:
        """A body without a length ends with the connection; anything else is cut short."""
        try:
            found = self._http.feed(b"")
        except h11.RemoteProtocolError:
            return None
        return self._answer(*found) if found else None

    def _answer(self, response: h11.Response, body: bytes) -> AttemptResult:
        raise NotImplementedError


class OriginExchange(_OverHttp):
    """A read or a write at the origin, which is told that `wait_ms` are left for it."""

    def __init__(self, request: Request, host: str, wait_ms: float) -> None:
        extras = b"".join(request.options_with_timeout(wait_ms))
        headers = [(b"Host", host.encode()), (b"Req-Id", request.id), (b"Req-Extra", extras)]
        if request.value is not None:
            headers.append((b"Content-Length", b"%d" % len(request.value)))
        target = b"/" + quote(request.key, safe="!$&'()*+,;=:@/-._~").encode()
        self._id = request.id
        self._write = request.write
        method = b"PUT" if self._write else b"GET"
        passes = None if self._write else self._long
        super().__init__(HttpExchange(method, target, headers, request.value or b"", passes=passes))

    def _long(self, response: h11.Response) -> LongValue | None:
        """A value that goes through in pieces: its length is told, and all else is as it must be."""
        told = header(response, b"content-length") or b""
        good = response.status_code == 200 and header(response, b"req-id") in (None, self._id)
        if not good or not told.isdigit() or not LONG < int(told) <= MAX_VALUE:
            return None
        load = load_report(header(response, b"srv-load") or b"")
        return LongValue(int(told), AttemptResult(Outcome.OK, load=load))

    def _answer(self, response: h11.Response, body: bytes) -> AttemptResult:
        if self.streamed_value is not None:
            return self.streamed_value.result
        load = load_report(header(response, b"srv-load") or b"")
        self.names_request = header(response, b"req-id") == self._id
        if header(response, b"req-id") not in (None, self._id):
            return AttemptResult(
                Outcome.ERROR, malformed=True
            )  # where an answer names its request, it must be this
        if response.status_code == 200:
            if self._write and not (body.isascii() and body and all(33 <= byte < 127 for byte in body)):
                return AttemptResult(
                    Outcome.ERROR, malformed=True
                )  # no receipt that could be passed on in a line
            return AttemptResult(Outcome.OK, Response(body, receipt=self._write), load=load)
        # Only the origin's own word proves that it never ran: a bare 503 may come from anything between.
        declined = response.status_code in (503, 504) and header(response, b"srv-declined") == b"1"
        return AttemptResult(Outcome.FULL if declined else Outcome.ERROR, load=load)


class OriginProbe(_OverHttp):
    """The origin's load report."""

    def __init__(self, host: str) -> None:
        super().__init__(HttpExchange(b"GET", b"/-/load", [(b"Host", host.encode())]))

    def _answer(self, response: h11.Response, body: bytes) -> AttemptResult:
        report = load_report(header(response, b"srv-load") or body)
        return AttemptResult(Outcome.OK if response.status_code == 200 else Outcome.ERROR, load=report)
