"""HTTP exchanges with the origin: forwarded requests and health checks, with their responses."""

from urllib.parse import quote

import h11

from flintridge.api import Outcome
from flintridge.codec.http.exchange import HttpExchange, HttpResponse, header_value
from flintridge.codec.load_report import parse_load_report
from flintridge.codec.long_value import MAX_VALUE_BYTES, UNRESERVED_VALUE_BYTES, ValueReader
from flintridge.codec.memcache.syntax import is_receipt
from flintridge.core.request import Request
from flintridge.core.response import AttemptResult, Response

UNQUOTED_IN_TARGET = "!$&'()*+,;=:@/-._~"
STATUS_OK = 200
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504


class _SingleResponseExchange:
    """Base class for HTTP exchanges. After a malformed response, the request may have been executed.

    Attributes:
        reusable: See `Exchange.reusable`; False after a malformed response, as it may have been the response
            to another request, and the response to this one may be still to come.
        names_request: See `Exchange.names_request`.
    """

    def __init__(self, http: HttpExchange) -> None:
        self._http = http
        self.reusable = False
        self.names_request = False  # HTTP itself does not identify a response's request

    @property
    def unreserved_body_bytes(self) -> int:
        """See `Exchange.unreserved_body_bytes`."""
        return self._http.unreserved_body_bytes

    @property
    def streamed_value(self) -> ValueReader | None:
        """See `Exchange.streamed_value`."""
        return self._http.streamed_value

    def encode_request(self) -> list[bytes | bytearray]:
        """See `Exchange.encode_request`."""
        return self._http.encode_request()

    def feed(self, data: bytes) -> AttemptResult | None:
        """See `Exchange.feed`."""
        try:
            response = self._http.feed(data)
        except h11.RemoteProtocolError:
            return AttemptResult(Outcome.ERROR, malformed=True)
        return self._complete(response) if response is not None else None

    def end(self) -> AttemptResult | None:
        """See `Exchange.end`. Only a body without a length may end with the connection."""
        try:
            response = self._http.feed(b"")
        except h11.RemoteProtocolError:
            return None
        return self._complete(response) if response is not None else None

    def _complete(self, response: HttpResponse) -> AttemptResult:
        result = self._result(response)
        self.reusable = self._http.reusable and not result.malformed
        return result

    def _result(self, response: HttpResponse) -> AttemptResult:
        raise NotImplementedError


class OriginExchange(_SingleResponseExchange):
    """A read or a write at the origin."""

    def __init__(self, request: Request, host: str, timeout_ms: float) -> None:
        """Prepare the request.

        Args:
            request: The client's request to forward.
            host: The origin's host and port.
            timeout_ms: The remaining time of the client's timeout, in milliseconds; sent to the origin.
        """
        options = b"".join(request.options_with_timeout(timeout_ms))
        headers = [(b"Host", host.encode()), (b"Req-Id", request.id), (b"Req-Extra", options)]
        if request.value is not None:
            headers.append((b"Content-Length", b"%d" % len(request.value)))
        target = b"/" + quote(request.key, safe=UNQUOTED_IN_TARGET).encode()
        self._id = request.id
        self._write = request.write
        method = b"PUT" if self._write else b"GET"
        stream_body = None if self._write else self._begin_value
        super().__init__(HttpExchange(method, target, headers, request.value or b"", stream_body=stream_body))

    def _begin_value(self, head: h11.Response) -> ValueReader | None:
        """Return a reader if the body is a value that needs reserved memory and has a Content-Length."""
        response_id = header_value(head, b"req-id")
        if head.status_code != STATUS_OK or response_id not in (None, self._id):
            return None
        length = header_value(head, b"content-length") or b""
        if not length.isdigit() or not UNRESERVED_VALUE_BYTES < int(length) <= MAX_VALUE_BYTES:
            return None
        load = parse_load_report(header_value(head, b"srv-load") or b"")
        self.names_request = response_id == self._id
        return ValueReader(int(length), AttemptResult(Outcome.OK, load=load))

    def _result(self, response: HttpResponse) -> AttemptResult:
        if self.streamed_value is not None:
            return self.streamed_value.result
        head = response.head
        load = parse_load_report(header_value(head, b"srv-load") or b"")
        response_id = header_value(head, b"req-id")
        self.names_request = response_id == self._id
        if response_id not in (None, self._id):
            return AttemptResult(Outcome.ERROR, malformed=True)
        if head.status_code == STATUS_OK:
            if self._write and not is_receipt(response.body):
                return AttemptResult(Outcome.ERROR, malformed=True)
            return AttemptResult(Outcome.OK, Response(response.body, receipt=self._write), load=load)
        # Only the origin's own header proves that the request was never executed: a bare 503 may come from
        # any intermediary.
        may_decline = head.status_code in (STATUS_UNAVAILABLE, STATUS_GATEWAY_TIMEOUT)
        declined = may_decline and header_value(head, b"srv-declined") == b"1"
        return AttemptResult(Outcome.FULL if declined else Outcome.ERROR, load=load)


class OriginHealthCheck(_SingleResponseExchange):
    """A health check that requests the origin's load report."""

    def __init__(self, host: str) -> None:
        """Prepare the request; `host` is the origin's host and port."""
        super().__init__(HttpExchange(b"GET", b"/-/load", [(b"Host", host.encode())]))

    def _result(self, response: HttpResponse) -> AttemptResult:
        if header_value(response.head, b"req-id") is not None:  # the late response to a request
            return AttemptResult(Outcome.ERROR, malformed=True)
        load = parse_load_report(header_value(response.head, b"srv-load") or response.body)
        ok = response.head.status_code == STATUS_OK
        return AttemptResult(Outcome.OK if ok else Outcome.ERROR, load=load)
