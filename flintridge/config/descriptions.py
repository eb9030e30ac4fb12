"""Descriptions of values, and of the values that a type allows, for one line of an error message."""

from collections.abc import Iterable
from typing import Any

from msgspec import inspect

SHOWN_CHARACTERS_MAX = 60
EXACT_INTEGER_MAX = 1e15  # larger whole numbers are shown in scientific notation


def format_value(value: Any) -> str:
    """Format a value for an error message: on one line, truncated if it is long. Never raises."""
    if value is None:
        return "null"
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, dict):
        return "a table"
    if isinstance(value, float) and value.is_integer():
        return format_number(value)
    try:
        text = repr(value)
    except (ValueError, RecursionError):  # a number of thousands of digits, lists nested hundreds deep
        return "a value too long to show"
    if len(text) <= SHOWN_CHARACTERS_MAX:
        return text
    return f"{text[: SHOWN_CHARACTERS_MAX - 3]}..."


def format_number(value: float) -> str:
    """Format a number; a whole number is shown without `.0`."""
    if float(value).is_integer() and abs(value) < EXACT_INTEGER_MAX:
        return str(int(value))
    return f"{value:g}"


def describe_bounds(info: inspect.FloatType | inspect.IntType) -> str:
    """Describe the range of a number, as in `>= 0 and <= 1`; empty if any number is allowed."""
    limits = ((">", info.gt), (">=", info.ge), ("<", info.lt), ("<=", info.le))
    descriptions = [f"{sign} {format_number(limit)}" for sign, limit in limits if limit is not None]
    if info.multiple_of is not None:
        descriptions.append(f"a multiple of {format_number(info.multiple_of)}")
    return " and ".join(descriptions)


def describe_length(info: inspect.StrType | inspect.ListType | inspect.VarTupleType, unit: str) -> str:
    """Describe the allowed length, as in `1 to 64 characters`; empty if any length is allowed."""
    minimum = info.min_length
    maximum = info.max_length
    if minimum is None and maximum is None:
        return ""
    if minimum == maximum:
        return f"{minimum} {unit}"
    if maximum is None:
        return f"at least {minimum} {unit}"
    if minimum:
        return f"{minimum} to {maximum} {unit}"
    return f"at most {maximum} {unit}"


def describe_choice(values: Iterable[Any]) -> str:
    """Describe a choice between several values, as in `one of 'a', 'b'`."""
    choices = [format_value(value) for value in values]
    return choices[0] if len(choices) == 1 else f"one of {', '.join(choices)}"


def describe_allowed(info: inspect.Type) -> str:
    """Describe the values that a type allows, as in `a number >= 0 and <= 1`."""
    match info:
        case inspect.Metadata():  # only adds a description for the JSON Schema
            return describe_allowed(info.type)
        case inspect.FloatType():
            return f"a number {describe_bounds(info)}".strip()
        case inspect.IntType():
            return f"a whole number {describe_bounds(info)}".strip()
        case inspect.StrType():
            return _describe_text(info)
        case inspect.BoolType():
            return "true or false"
        case inspect.NoneType():
            return "null"
        case inspect.LiteralType():
            return describe_choice(info.values)
        case inspect.EnumType():
            return describe_choice(member.value for member in info.cls)
        case _:
            return _describe_container(info)


def _describe_container(info: inspect.Type) -> str:
    match info:
        case inspect.ListType() | inspect.VarTupleType():
            size = describe_length(info, "values")
            sized = f"a list of {size}" if size else "a list"
            return f"{sized}, each {describe_allowed(info.item_type)}"
        case inspect.TupleType():
            return f"a list of {len(info.item_types)} values"
        case inspect.UnionType():
            return _describe_union(info)
        case inspect.StructType() | inspect.DictType():
            return "a table"
        case _:
            return "another kind of value"


def _describe_union(info: inspect.UnionType) -> str:
    structs = [member for member in info.types if isinstance(member, inspect.StructType)]
    descriptions = [describe_allowed(member) for member in info.types if member not in structs]
    if structs:
        descriptions.append("a table")
    return ", or ".join(descriptions)


def _describe_text(info: inspect.StrType) -> str:
    description = "text"
    if size := describe_length(info, "characters"):
        description += f" of {size}"
    if info.pattern:
        description += f" matching {info.pattern}"
    return description
