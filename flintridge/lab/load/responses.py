"""A strict parser of a node's responses. It shares no code with the node, so it can't share its mistakes."""

from typing import Literal, NamedTuple

from flintridge.lab.record_log import body_digest
from flintridge.lab.records import ResponseReceived

MAX_LINE_BYTES = 2048
MAX_VALUE_BYTES = 64 * 1024
MAX_LENGTH_DIGITS = 5
MAX_RETRY_AFTER_DIGITS = 9
MAX_TEXT_CHARACTERS = 120  # a recorded line is cut to this length
LINE_STARTS = (b"VA ", b"HD ", b"SERVER_ERROR ", b"CLIENT_ERROR", b"ERROR\r", b"MN\r")
START_BYTES = 16  # long enough to tell the line starts apart

ResponseKind = Literal["served", "refused", "failed", "error", "ready", "garbled"]
"""`ready` is the response to `mn`. After a `garbled` response, the parser reads no more."""


class Response(NamedTuple):
    """One response.

    Attributes:
        kind: The kind of the response.
        text: The response's line, cut to 120 characters.
        request_id: The request id in the response; empty if it has none.
        is_receipt: Whether it is the receipt of a write.
        body_digest: Digest of the value or receipt; empty if it has none.
        retry_after_ms: The retry-after time of a rejection; 0 if it has none.
    """

    kind: ResponseKind
    text: str
    request_id: str = ""
    is_receipt: bool = False
    body_digest: str = ""
    retry_after_ms: float = 0.0


class ResponseParser:
    """Parses a stream of responses, whose bytes may arrive in pieces of any size."""

    __slots__ = ("_buffer", "_head", "_is_garbled", "_value_length")

    def __init__(self) -> None:
        self._buffer = b""
        self._head: Response | None = None  # the line of a value that is not complete yet
        self._value_length = 0
        self._is_garbled = False

    @property
    def is_partial(self) -> bool:
        """Whether a response has started but is not complete."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> list[Response]:
        """Parse further bytes, and return the responses that are complete now.

        After a garbled response, all further bytes are ignored.
        """
        responses: list[Response] = []
        if self._is_garbled:
            return responses
        buffer = self._buffer + data if self._buffer else data
        position = 0
        while True:
            if self._head is None:
                end = buffer.find(b"\r\n", position)
                if end < 0 or end - position > MAX_LINE_BYTES:
                    if _is_never_valid(buffer, position):
                        responses.append(self._garble(buffer[position : position + MAX_TEXT_CHARACTERS]))
                    break
                response = self._parse_line(buffer[position:end])
                position = end + 2
                if response is None:
                    continue
            else:
                end = position + self._value_length
                if len(buffer) < end + 2:
                    break
                response = self._parse_value(self._head, buffer[position:end], buffer[end : end + 2])
                position = end + 2
            responses.append(response)
            if self._is_garbled or position == len(buffer):
                break
        self._buffer = b"" if self._is_garbled else buffer[position:]
        return responses

    def _garble(self, line: bytes) -> Response:
        self._is_garbled = True
        self._head = None
        return Response("garbled", _text(line))

    def _parse_line(self, line: bytes) -> Response | None:
        """Return the response of a line; None if its value follows."""
        fields = line.split(b" ")
        match fields[0]:
            case b"VA" if len(fields) == 3 and _is_length(fields[1]) and _is_id(fields[2]):
                self._value_length = int(fields[1])
                self._head = Response("served", _text(line), _id(fields[2]))
                return None
            case b"HD" if len(fields) == 3 and _is_id(fields[1]) and _is_receipt(fields[2]):
                digest = body_digest(fields[2][1:])
                return Response("served", _text(line), _id(fields[1]), is_receipt=True, body_digest=digest)
            case b"SERVER_ERROR" if len(fields) > 1:
                return self._parse_server_error(fields, line)
            case b"CLIENT_ERROR":
                return Response("error", _text(line))
            case b"ERROR" if len(fields) == 1:
                return Response("error", _text(line))
            case b"MN" if len(fields) == 1:
                return Response("ready", _text(line))
        return self._garble(line)

    def _parse_server_error(self, fields: list[bytes], line: bytes) -> Response:
        if fields[1] != b"busy":
            return Response("failed", _text(line))
        if len(fields) == 2:
            return Response("refused", _text(line))
        if len(fields) == 3 and fields[2].isdigit() and len(fields[2]) <= MAX_RETRY_AFTER_DIGITS:
            return Response("refused", _text(line), retry_after_ms=float(fields[2]))
        return self._garble(line)

    def _parse_value(self, head: Response, body: bytes, end: bytes) -> Response:
        self._head = None
        if end != b"\r\n":
            return self._garble(head.text.encode())
        return Response("served", head.text, head.request_id, body_digest=body_digest(body))


def kind_for(response: Response, request_id: str, is_write: bool) -> ResponseKind:
    """Return the kind of a response to a given request; `garbled` if it can't be a response to it."""
    if response.kind == "ready":
        return "garbled"
    if response.kind == "served" and (response.request_id != request_id or response.is_receipt != is_write):
        return "garbled"
    return response.kind


def response_record(
    at_ms: float, node: str, request_id: str, response: Response, kind: ResponseKind | None = None
) -> ResponseReceived:
    """Return the record of a response.

    Args:
        at_ms: When it arrived.
        node: The node that sent it.
        request_id: The request that it is a response to.
        response: The response.
        kind: Its kind as a response to that request; None: the kind of the response itself.
    """
    if kind is None:
        kind = "garbled" if response.kind == "ready" else response.kind
    return ResponseReceived(
        at_ms=at_ms,
        node=node,
        request_id=request_id,
        kind=kind,
        body_digest=response.body_digest,
        retry_after_ms=response.retry_after_ms,
        text=response.text,
    )


def _text(line: bytes) -> str:
    return line[:MAX_TEXT_CHARACTERS].decode("ascii", "replace")


def _is_never_valid(buffer: bytes, position: int) -> bool:
    """Whether the incomplete line can't become a response, whatever follows.

    Malformed data can be recognized by its first bytes or its length, without waiting for the end of line.
    """
    if len(buffer) - position > MAX_LINE_BYTES:
        return True
    head = buffer[position : position + START_BYTES]
    return not any(head.startswith(start[: len(head)]) for start in LINE_STARTS)


def _is_length(text: bytes) -> bool:
    """Whether the text is a length: digits without leading zeros, at most MAX_VALUE_BYTES."""
    if not text.isdigit() or len(text) > MAX_LENGTH_DIGITS or int(text) > MAX_VALUE_BYTES:
        return False
    return text == b"0" or text[:1] != b"0"


def _is_id(text: bytes) -> bool:
    return len(text) > 1 and text[:1] == b"O" and text.isascii()


def _is_receipt(text: bytes) -> bool:
    return len(text) > 1 and text[:1] == b"c"


def _id(text: bytes) -> str:
    return text[1:].decode("ascii")
