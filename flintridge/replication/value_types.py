"""What may be held, and which of two versions counts where neither writer had seen the other.

`TABLE` is the rule, and the tests hold the table of docs/design/replication.md against it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

Body = dict[str, Any]
Rank = Callable[[Body, float], tuple[float, ...]]


class Refused(ValueError):
    """A write that is not taken. The text says why and what is allowed, in one line."""


@dataclass(slots=True, frozen=True)
class Kind:
    """A type of entries. `check` says what is wrong with a body, or nothing; of two concurrent versions that
    with the higher `rank` (of its body, and how long it lasts in milliseconds) counts, then the newer one."""

    name: str
    fields: str
    rule: str
    before: str
    check: Callable[[Body], str]
    rank: Rank
    all_shown: bool = False


def _number(body: Body, name: str, least: float, most: float) -> str:
    value = body.get(name)
    # bool is an int in Python: `true` for a factor would be taken for 1.
    good = isinstance(value, int | float) and not isinstance(value, bool) and least <= value <= most
    return "" if good else f"{name} is a number from {least:g} to {most:g}"


def _flag(body: Body, name: str) -> str:
    return "" if isinstance(body.get(name), bool) else f"{name} is true or false"


def _only(body: Body, *names: str) -> str:
    extra = sorted(set(body) - set(names))
    return f"unknown field {extra[0]}; allowed: {', '.join(names)}" if extra else ""


def _text(body: Body) -> str:
    text = body.get("text")
    return "" if isinstance(text, str) and text else "text is a text that is not empty"


def _stop(body: Body) -> str:
    if wrong := _only(body, "stopped", "return_ms") or _flag(body, "stopped"):
        return wrong
    return _number(body, "return_ms", 0, 86_400_000) if "return_ms" in body else ""


TABLE = {
    one.name: one
    for one in (
        Kind(
            "hold",
            "held",
            "held wins over released",
            "holds that are known count at once",
            lambda body: _only(body, "held") or _flag(body, "held"),
            lambda body, lasts: (float(body.get("held") is True),),
        ),
        Kind(
            "quota",
            "factor",
            "the stricter (lower) factor wins",
            "the configured quota",
            lambda body: _only(body, "factor") or _number(body, "factor", 0, 10),
            lambda body, lasts: (-float(body.get("factor", 1)),),
        ),
        Kind(
            "stop",
            "stopped, return_ms",
            "stopped wins over served, then the longer",
            "stops that are known count at once",
            _stop,
            lambda body, lasts: (float(body.get("stopped") is True), lasts, float(body.get("return_ms", 0))),
        ),
        Kind(
            "note",
            "text",
            "all are kept and shown, the newest first",
            "shown as known",
            lambda body: _only(body, "text") or _text(body),
            lambda body, lasts: (),
            all_shown=True,
        ),
    )
}


def rank(kind: str, body: bytes, lasts: float) -> tuple[float, ...]:
    """Of a version. Of a type that is not known here it is always the same: the newest counts."""
    known = TABLE.get(kind)
    if known is None:
        return ()
    try:
        return known.rank(decode(body), lasts)
    except (msgspec.MsgspecError, TypeError, ValueError, AttributeError):
        return (-math.inf,)


def checked(kind: str, body: Body) -> bytes:
    """The body in bytes. Raises Refused."""
    if (known := TABLE.get(kind)) is None:
        raise Refused(f"unknown type {kind}; allowed: {', '.join(TABLE)}")
    if wrong := known.check(body):
        raise Refused(f"{kind}: {wrong}")
    return msgspec.msgpack.encode(body, order="sorted")


def decode(body: bytes) -> Body:
    """Raises msgspec.MsgspecError."""
    return msgspec.msgpack.decode(body, type=dict[str, Any])
