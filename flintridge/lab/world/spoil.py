"""Answers as they must not be."""

import random

from flintridge.lab.world.commands import value_answer

ENDLESS = 64 * 1024  # bytes of a line or a value that does not end, as far as it is sent


def spoilt(rng: random.Random, uid: str, answer: bytes, body: bytes | None) -> tuple[bytes, bool]:
    """What goes out in place of `answer`, and whether the answer itself is still whole in it.

    `body` is the value that the answer carries, or None.
    """
    variants = _VARIANTS if body is not None else _LINE_VARIANTS
    name = variants[rng.randrange(len(variants))]
    return spoil_as(name, rng, uid, answer, body), name in WHOLE


def spoil_as(name: str, rng: random.Random, uid: str, answer: bytes, body: bytes | None) -> bytes:
    """One variant by its name. Raises KeyError."""
    match name:
        case "noise":
            return rng.randbytes(rng.randint(20, 2000))
        case "unreadable":
            return b"VA many O" + uid.encode() + b" \x00\xff?\r\n"
        case "endless_line":
            return b"VA " + b"9" * ENDLESS
        case "other_id":
            return _other_id(uid, answer)
        case "twice":
            return answer + answer
        case "noise_behind":
            return answer + rng.randbytes(rng.randint(1, 200))
        case "short_length":  # there is more than was said
            assert body is not None
            return _of_length(uid, body, max(0, len(body) - rng.randint(1, 9)))
        case "long_length":  # there is less than was said
            assert body is not None
            return _of_length(uid, body, len(body) + rng.randint(3, 99))
        case "huge_value":
            return b"VA 3000000000 O%b\r\n" % uid.encode() + b"x" * ENDLESS
        case _:
            raise KeyError(name)


WHOLE = ("twice", "noise_behind")  # the right answer comes first
_LINE_VARIANTS = ("noise", "unreadable", "endless_line", "other_id", "twice", "noise_behind")
_VARIANTS = (*_LINE_VARIANTS, "short_length", "long_length", "huge_value")


def _of_length(uid: str, body: bytes, length: int) -> bytes:
    return b"VA %d O%b\r\n%b\r\n" % (length, uid.encode(), body)


def _other_id(uid: str, answer: bytes) -> bytes:
    """Of a request that nobody made; the value, where there is one, is another one's too."""
    other = uid[:-1] + ("0" if uid[-1] != "0" else "1")
    if answer.startswith(b"VA"):
        return value_answer(other, b"somebody else's|")
    if answer.startswith((b"EN", b"HD")):
        return answer.replace(b" O" + uid.encode(), b" O" + other.encode(), 1)
    return b"EN O%b\r\n" % other.encode()
