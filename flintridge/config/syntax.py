"""The text of a file as plain values: TOML, or JSON by the file's suffix `.json`."""

import json
import re
import tomllib
from typing import Any

PLACE = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)$")


class SyntaxFault(ValueError):
    """Text that cannot be read at all; `place` says where, as a line and a column counted from 1."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


def parse(file: str, text: bytes) -> Any:
    """Plain values. Raises SyntaxFault."""
    return parse_json(text) if file.lower().endswith(".json") else parse_toml(text)


def parse_toml(text: bytes) -> dict[str, Any]:
    """Raises SyntaxFault."""
    decoded = _decoded(text)
    try:
        return tomllib.loads(decoded)
    except tomllib.TOMLDecodeError as error:
        said = str(error)
        found = PLACE.search(said)
        line, column = (found[1], found[2]) if found and found[1] else _place(decoded, len(decoded))
        raise SyntaxFault(_said(line, column), f"not TOML: {PLACE.sub('', said)}") from error
    except (ValueError, RecursionError) as error:
        raise SyntaxFault("line 1", f"not TOML: {_short(error)}") from error


def parse_json(text: bytes) -> Any:
    """Raises SyntaxFault. A name that stands twice in an object is refused: one of the two would be lost."""
    decoded = _decoded(text)
    try:
        return json.loads(decoded, object_pairs_hook=_once, parse_constant=_no_constant)
    except json.JSONDecodeError as error:
        raise SyntaxFault(_said(error.lineno, error.colno), f"not JSON: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        raise SyntaxFault("line 1", f"not JSON: {_short(error)}") from error


def _decoded(text: bytes) -> str:
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        before = text[: error.start].decode()
        raise SyntaxFault(_said(*_place(before, len(before))), "not UTF-8 text") from error


def _place(text: str, at: int) -> tuple[int, int]:
    return text.count("\n", 0, at) + 1, at - (text.rfind("\n", 0, at) + 1) + 1


def _said(line: int | str, column: int | str) -> str:
    return f"line {line}, column {column}"


def _short(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return str(error).splitlines()[0][:120]


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    whole = dict(pairs)
    if len(whole) < len(pairs):
        names = [name for name, _ in pairs]
        twice = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{twice!r} stands twice in one object")
    return whole


def _no_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a value")
