"""Corruption of the responses of a cache server."""

import random
from dataclasses import dataclass

from flintridge.lab.world.memcache import value_response

ENDLESS_BYTES = 64 * 1024  # number of bytes sent of a line or a value that never ends

INTACT_VARIANTS = ("twice", "noise_behind")
"""Variants that start with the correct response."""

LINE_VARIANTS = ("noise", "unreadable", "endless_line", "other_id", "twice", "noise_behind")
"""Variants for any response."""

VARIANTS = (*LINE_VARIANTS, "short_length", "long_length", "huge_value")
"""Variants for a response that carries a value."""


@dataclass(slots=True, frozen=True)
class CorruptedResponse:
    """The bytes that are sent in place of a response.

    Attributes:
        data: The bytes.
        response_intact: Whether they still contain the complete response.
    """

    data: bytes
    response_intact: bool


def corrupt(rng: random.Random, request_id: str, response: bytes, body: bytes | None) -> CorruptedResponse:
    """Draw a variant and apply it to a response.

    Args:
        rng: Source of random numbers.
        request_id: Id of the request.
        response: The correct response.
        body: The value that it carries, or None.
    """
    variants = VARIANTS if body is not None else LINE_VARIANTS
    name = variants[rng.randrange(len(variants))]
    return CorruptedResponse(corrupt_as(name, rng, request_id, response, body), name in INTACT_VARIANTS)


def corrupt_as(name: str, rng: random.Random, request_id: str, response: bytes, body: bytes | None) -> bytes:
    """Return a response with one variant applied; the other arguments are those of `corrupt`.

    Raises:
        KeyError: There is no such variant.
    """
    match name:
        case "noise":
            return rng.randbytes(rng.randint(20, 2000))
        case "unreadable":
            return b"VA many O" + request_id.encode() + b" \x00\xff?\r\n"
        case "endless_line":
            return b"VA " + b"9" * ENDLESS_BYTES
        case "other_id":
            return _with_foreign_id(request_id, response)
        case "twice":
            return response + response
        case "noise_behind":
            return response + rng.randbytes(rng.randint(1, 200))
        case "short_length":  # the value is longer than the line says
            assert body is not None
            return _with_length(request_id, body, max(0, len(body) - rng.randint(1, 9)))
        case "long_length":  # the value is shorter than the line says
            assert body is not None
            return _with_length(request_id, body, len(body) + rng.randint(3, 99))
        case "huge_value":
            return b"VA 3000000000 O%b\r\n" % request_id.encode() + b"x" * ENDLESS_BYTES
        case _:
            raise KeyError(name)


def _with_length(request_id: str, body: bytes, length: int) -> bytes:
    return b"VA %d O%b\r\n%b\r\n" % (length, request_id.encode(), body)


def _with_foreign_id(request_id: str, response: bytes) -> bytes:
    """Return a response to a request that nobody made; a value is replaced by a foreign one."""
    last = "0" if request_id[-1] != "0" else "1"
    foreign_id = request_id[:-1] + last
    if response.startswith(b"VA"):
        return value_response(foreign_id, b"somebody else's|")
    if response.startswith((b"EN", b"HD")):
        return response.replace(b" O" + request_id.encode(), b" O" + foreign_id.encode(), 1)
    return b"EN O%b\r\n" % foreign_id.encode()
