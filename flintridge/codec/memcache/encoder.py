"""Encoders for the responses to memcache clients; most return a list of buffers for one gathered write."""

import math

from flintridge.codec.memcache.syntax import CRLF
from flintridge.core.response import Response

FAILED_RESPONSE = b"SERVER_ERROR failed\r\n"
NO_OP_RESPONSE = b"MN\r\n"
STARTING_RESPONSE = b"SERVER_ERROR starting\r\n"  # response to a no-op before the node is ready
DRAINING_RESPONSE = b"SERVER_ERROR draining\r\n"  # response to a no-op while the node drains


def encode_response(request_id: bytes, response: Response) -> list[bytes]:
    """Encode a server's response to a read or a write."""
    if response.receipt:
        return [b"HD O", request_id, b" c", response.body, CRLF]
    return [b"VA %d O" % len(response.body), request_id, CRLF, response.body, CRLF]


def encode_stream_head(request_id: bytes, length: int) -> bytes:
    """Encode the line before a value of `length` bytes that is streamed; CRLF must follow the value."""
    return b"VA %d O%b\r\n" % (length, request_id)


def encode_rejection(retry_after_ms: float) -> list[bytes]:
    """Encode the rejection of a request; `retry_after_ms` is left out if it is 0."""
    retry_after = math.ceil(retry_after_ms)
    return [b"SERVER_ERROR busy %d\r\n" % retry_after if retry_after > 0 else b"SERVER_ERROR busy\r\n"]


def encode_client_error(reason: str) -> list[bytes]:
    """Encode the response to an invalid command."""
    return [b"CLIENT_ERROR %b\r\n" % reason.encode()]
