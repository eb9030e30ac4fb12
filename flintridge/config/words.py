"""What may stand at a place, and what stands there, in words of one line."""

from typing import Any

import msgspec
from msgspec import inspect

NOTHING: Any = msgspec.UNSET  # in place of a value that is missing, or too faulty to be held
LONGEST = 60  # characters of a value that are shown


def shown(value: Any) -> str:
    """A value as it is told in a fault: one line, cut where it is long, and never an error of its own."""
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, float) and value.is_integer():
        return number(value)
    try:
        text = repr(value)
    except (ValueError, RecursionError):  # a number of thousands of digits, lists nested hundreds deep
        return "what is too long to show"
    return text if len(text) <= LONGEST else f"{text[: LONGEST - 3]}..."


def number(value: float) -> str:
    return str(int(value)) if float(value).is_integer() and abs(value) < 1e15 else f"{value:g}"


def bounds(info: inspect.FloatType | inspect.IntType) -> str:
    """`>= 0 and <= 1`; empty where there are none."""
    said = [
        f"{sign} {number(limit)}"
        for sign, limit in ((">", info.gt), (">=", info.ge), ("<", info.lt), ("<=", info.le))
        if limit is not None
    ]
    if info.multiple_of is not None:
        said.append(f"a multiple of {number(info.multiple_of)}")
    return " and ".join(said)


def length(info: Any, what: str) -> str:
    """`1 to 64 characters`; empty where any length will do."""
    least, most = info.min_length, info.max_length
    if least is None and most is None:
        return ""
    if least == most:
        return f"{least} {what}"
    if most is None:
        return f"at least {least} {what}"
    return f"{least} to {most} {what}" if least else f"at most {most} {what}"


def choice(values: Any) -> str:
    said = [shown(value) for value in values]
    return said[0] if len(said) == 1 else f"one of {', '.join(said)}"


def described(info: inspect.Type) -> str:
    """What is allowed by a type: `a number >= 0 and <= 1`."""
    match info:
        case inspect.Metadata():  # descriptions, which stand in the schema
            return described(info.type)
        case inspect.FloatType():
            return f"a number {bounds(info)}".strip()
        case inspect.IntType():
            return f"a whole number {bounds(info)}".strip()
        case inspect.StrType():
            return f"text {text(info)}".strip()
        case inspect.BoolType():
            return "true or false"
        case inspect.NoneType():
            return "null"
        case inspect.LiteralType():
            return choice(info.values)
        case inspect.EnumType():
            return choice(member.value for member in info.cls)
        case inspect.ListType() | inspect.VarTupleType():
            size = length(info, "values")
            return f"a list{f' of {size}' if size else ''}, each {described(info.item_type)}"
        case inspect.TupleType():
            return f"a list of {len(info.item_types)} values"
        case inspect.UnionType():
            structs = [one for one in info.types if isinstance(one, inspect.StructType)]
            others = [described(one) for one in info.types if one not in structs]
            return ", or ".join(others + ["a table"] * bool(structs))
        case inspect.StructType() | inspect.DictType():
            return "a table"
    return "another kind of value"


def text(info: inspect.StrType) -> str:
    """What a text must be: its length, then its pattern."""
    size = length(info, "characters")
    return " ".join(
        filter(None, (f"of {size}" if size else "", f"matching {info.pattern}" if info.pattern else ""))
    )
