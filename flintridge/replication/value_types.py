"""The types of replicated entries: their fields, and which of two concurrent versions takes precedence.

`VALUE_TYPES` defines them; the tests compare the table in docs/design/replication.md with it.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from flintridge.errors import FlintridgeError

Body = dict[str, Any]
Precedence = tuple[float, ...]
MAX_RETURN_MS = 86_400_000  # a day
MAX_QUOTA_FACTOR = 10


class WriteRejectedError(FlintridgeError, ValueError):
    """A write was rejected. The text gives the reason and what is allowed, in one line."""


@dataclass(slots=True, frozen=True)
class ValueType:
    """A type of entries.

    Attributes:
        name: Name of the type, as used in keys.
        fields: Fields of a body, for the documentation.
        rule: Which of two concurrent versions takes precedence, for the documentation.
        before_synchronized: What applies on a node that has not synchronized yet, for the documentation.
        validate: Returns what is wrong with a body; empty if nothing is.
        precedence: Called with a body and the version's lifetime in milliseconds. Of two concurrent versions
            the one with the higher result applies; if the results are equal, the newer one.
    """

    name: str
    fields: str
    rule: str
    before_synchronized: str
    validate: Callable[[Body], str]
    precedence: Callable[[Body, float], Precedence]


def _check_number(body: Body, name: str, minimum: float, maximum: float) -> str:
    value = body.get(name)
    # bool is a subclass of int in Python; without this check, `true` for a factor would count as 1.
    if isinstance(value, int | float) and not isinstance(value, bool) and minimum <= value <= maximum:
        return ""
    return f"{name} must be a number from {minimum:g} to {maximum:g}"


def _check_flag(body: Body, name: str) -> str:
    return "" if isinstance(body.get(name), bool) else f"{name} must be true or false"


def _check_names(body: Body, *names: str) -> str:
    unknown = sorted(set(body) - set(names))
    return f"unknown field {unknown[0]}; allowed: {', '.join(names)}" if unknown else ""


def _validate_hold(body: Body) -> str:
    return _check_names(body, "held") or _check_flag(body, "held")


def _hold_precedence(body: Body, _lifetime_ms: float) -> Precedence:
    return (float(body.get("held") is True),)


def _validate_quota(body: Body) -> str:
    return _check_names(body, "factor") or _check_number(body, "factor", 0, MAX_QUOTA_FACTOR)


def _quota_precedence(body: Body, _lifetime_ms: float) -> Precedence:
    return (-float(body.get("factor", 1)),)


def _validate_stop(body: Body) -> str:
    fault = _check_names(body, "stopped", "return_ms") or _check_flag(body, "stopped")
    if fault or "return_ms" not in body:
        return fault
    return _check_number(body, "return_ms", 0, MAX_RETURN_MS)


def _stop_precedence(body: Body, lifetime_ms: float) -> Precedence:
    return (float(body.get("stopped") is True), lifetime_ms, float(body.get("return_ms", 0)))


def _validate_note(body: Body) -> str:
    text = body.get("text")
    is_text = isinstance(text, str) and bool(text)
    return _check_names(body, "text") or ("" if is_text else "text must be a string that is not empty")


def _note_precedence(_body: Body, _lifetime_ms: float) -> Precedence:
    return ()


VALUE_TYPES = {
    value_type.name: value_type
    for value_type in (
        ValueType(
            name="hold",
            fields="held",
            rule="held wins over released",
            before_synchronized="holds that are known count at once",
            validate=_validate_hold,
            precedence=_hold_precedence,
        ),
        ValueType(
            name="quota",
            fields="factor",
            rule="the stricter (lower) factor wins",
            before_synchronized="the configured quota",
            validate=_validate_quota,
            precedence=_quota_precedence,
        ),
        ValueType(
            name="stop",
            fields="stopped, return_ms",
            rule="stopped wins over served, then the longer",
            before_synchronized="stops that are known count at once",
            validate=_validate_stop,
            precedence=_stop_precedence,
        ),
        ValueType(
            name="note",
            fields="text",
            rule="all are kept and shown, the newest first",
            before_synchronized="shown as known",
            validate=_validate_note,
            precedence=_note_precedence,
        ),
    )
}


def precedence(type_name: str, body: bytes, lifetime_ms: float) -> Precedence:
    """The precedence of a version among concurrent ones, of which the one with the highest applies.

    For a type that this release does not know it is always the same, so that the newest version applies.
    """
    value_type = VALUE_TYPES.get(type_name)
    if value_type is None:
        return ()
    try:
        return value_type.precedence(decode_body(body), lifetime_ms)
    except (msgspec.MsgspecError, TypeError, ValueError, AttributeError):
        return (-math.inf,)


def encode_body(type_name: str, body: Body) -> bytes:
    """Validate a body and encode it.

    Raises:
        WriteRejectedError: The type is unknown, or the body is invalid for it.
    """
    value_type = VALUE_TYPES.get(type_name)
    if value_type is None:
        raise WriteRejectedError(f"unknown type {type_name}; allowed: {', '.join(VALUE_TYPES)}")
    fault = value_type.validate(body)
    if fault:
        raise WriteRejectedError(f"{type_name}: {fault}")
    return msgspec.msgpack.encode(body, order="sorted")


def decode_body(body: bytes) -> Body:
    """Decode a body of any type.

    Raises:
        msgspec.MsgspecError: The body is not a map.
    """
    return msgspec.msgpack.decode(body, type=dict[str, Any])


def decode_for_display(body: bytes) -> Body | None:
    """Decode the body of a version; None if it can't be decoded, such as one of a later release."""
    try:
        return decode_body(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
