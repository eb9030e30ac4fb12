"""One HTTP/1.1 request and its response, as an I/O-free state machine on h11 with bounded memory."""

from collections.abc import Callable
from dataclasses import dataclass

import h11

from flintridge.codec.errors import MalformedError
from flintridge.codec.long_value import LONG_VALUE_BYTES, UNRESERVED_VALUE_BYTES, ValueReader
from flintridge.errors import FlintridgeError

RESPONSE_START = b"HTTP/1."
MAX_HEAD_BYTES = 16 * 1024
MAX_HEADER_FIELDS = 100  # many short fields occupy many times their bytes once they are parsed
BODY_LENGTH_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class HttpResponseError(FlintridgeError, h11.RemoteProtocolError):
    """The response is not HTTP/1, or exceeds a limit of this implementation."""


class HttpFramingError(FlintridgeError, h11.RemoteProtocolError):
    """The end of a message's body is ambiguous."""


@dataclass(slots=True, frozen=True)
class HttpResponse:
    """A complete response.

    Attributes:
        head: The status and the headers.
        body: The body; empty if it was streamed.
    """

    head: h11.Response
    body: bytes


def header_value(head: h11.Response, name: bytes) -> bytes | None:
    """Return the value of a response's first header of this name, or None if it has no such header.

    Args:
        head: The response head.
        name: The header name, in lower case.
    """
    return next((value for key, value in head.headers if key == name), None)


def check_body_framing(head: h11.Request | h11.Response) -> None:
    """Check that a message states the length of its body in only one way (RFC 9112, section 6.3).

    If a message has both, h11 delimits the body by the chunks, whatever Content-Length states. A reader that
    relies on Content-Length would then expect another number of bytes.

    Raises:
        HttpFramingError: The message has both Content-Length and Transfer-Encoding.
    """
    names = {name for name, _ in head.headers}
    if names >= BODY_LENGTH_HEADERS:
        raise HttpFramingError("message has both Content-Length and Transfer-Encoding")


class HttpExchange:
    """One request and its response.

    Attributes:
        reusable: Whether the connection may carry another exchange.
        streamed_value: The value that is being received, if it needs reserved memory.
        unreserved_body_bytes: How long the body may get, if memory must be reserved for it; otherwise 0.
    """

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes | bytearray = b"",
        max_body_bytes: int = LONG_VALUE_BYTES,
        stream_body: Callable[[h11.Response], ValueReader | None] | None = None,
    ) -> None:
        """Prepare a request.

        Args:
            method: The request method.
            target: The request target, percent-encoded.
            headers: The request headers.
            body: The request body.
            max_body_bytes: The maximum size of the response body, in bytes.
            stream_body: Called with the response head. Returns a reader if the body is a value that needs
                reserved memory, to which `max_body_bytes` does not apply; otherwise None.
        """
        self._request = h11.Request(method=method, target=target, headers=headers)
        self._request_body = body
        self._max_body_bytes = max_body_bytes
        self._stream_body = stream_body
        self._connection = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._start = b""  # the first bytes of the response, to compare with RESPONSE_START
        self._head: h11.Response | None = None
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self.streamed_value: ValueReader | None = None
        self.unreserved_body_bytes = 0
        self.reusable = False

    def encode_request(self) -> list[bytes | bytearray]:
        """Encode the request as a list of buffers."""
        send = self._connection.send_with_data_passthrough
        pieces: list[bytes | bytearray] = list(send(self._request) or ())
        if self._request_body:
            body = h11.Data(data=self._request_body)  # type: ignore[arg-type]  # h11 passes it through unchanged
            pieces += send(body) or ()
        pieces += send(h11.EndOfMessage()) or ()
        return pieces

    def feed(self, data: bytes) -> HttpResponse | None:
        """Process bytes of the response.

        Args:
            data: The next bytes; empty if the server has shut down its write side.

        Returns:
            The response once it is complete, otherwise None.

        Raises:
            h11.RemoteProtocolError: The response is malformed, or exceeds a limit.
        """
        self._check_start(data)
        self._connection.receive_data(data)
        while True:
            event = self._connection.next_event()
            if event is h11.NEED_DATA or isinstance(event, h11.ConnectionClosed):
                return None
            if isinstance(event, h11.Response):
                if len(event.headers) > MAX_HEADER_FIELDS:
                    raise HttpResponseError("response has too many header fields")
                check_body_framing(event)
                self._begin_body(event)
            elif isinstance(event, h11.Data):
                self._take_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return self._complete()

    def _check_start(self, data: bytes) -> None:
        """Reject data that is not HTTP/1 by its first bytes; h11 would wait for the end of a head in it."""
        if len(self._start) >= len(RESPONSE_START):
            return
        self._start += data[: len(RESPONSE_START) - len(self._start)]
        if not RESPONSE_START.startswith(self._start):
            raise HttpResponseError("response does not start with HTTP/1.")

    def _begin_body(self, head: h11.Response) -> None:
        self._head = head
        if self._stream_body is not None:
            self.streamed_value = self._stream_body(head)
        if self.streamed_value is None:
            length = header_value(head, b"content-length") or b""
            body_bytes = int(length) if length.isdigit() else self._max_body_bytes
            if body_bytes > UNRESERVED_VALUE_BYTES:
                self.unreserved_body_bytes = min(body_bytes, self._max_body_bytes)

    def _take_body(self, chunk: bytes) -> None:
        if self.streamed_value is not None:
            try:
                self.streamed_value.feed(chunk, b"")
            except MalformedError as error:
                raise HttpResponseError(str(error)) from error
            return
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes:
            raise HttpResponseError("response body is too large")
        self._body_chunks.append(chunk)

    def _complete(self) -> HttpResponse:
        both_done = set(self._connection.states.values()) == {h11.DONE}
        trailing_bytes, closed = self._connection.trailing_data
        # Nothing was requested that these bytes could answer. A duplicate of the response does no harm.
        if not RESPONSE_START.startswith(trailing_bytes[: len(RESPONSE_START)]):
            raise HttpResponseError("response body is longer than its length")
        self.reusable = both_done and not trailing_bytes and not closed
        assert self._head is not None
        return HttpResponse(self._head, b"".join(self._body_chunks))
