"""Parsing of a file's text into plain values: JSON if the file has the suffix `.json`, otherwise TOML."""

import json
import re
import tomllib
from typing import Any

from flintridge.errors import FlintridgeError

TOML_POSITION = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)$")
REASON_CHARACTERS_MAX = 120


class ConfigSyntaxError(FlintridgeError, ValueError):
    """Text that cannot be parsed.

    Attributes:
        position: The line and the column, both counted from 1.
        reason: What is wrong there.
    """

    def __init__(self, position: str, reason: str) -> None:
        super().__init__(f"{position}: {reason}")
        self.position = position
        self.reason = reason


def parse(file: str, text: bytes) -> Any:
    """Parse the text of a file.

    Args:
        file: The file's name; the suffix `.json` selects JSON, any other one TOML.
        text: The file's bytes.

    Raises:
        ConfigSyntaxError: `text` is not valid in that format.
    """
    return parse_json(text) if file.lower().endswith(".json") else parse_toml(text)


def parse_toml(text: bytes) -> dict[str, Any]:
    """Parse TOML.

    Raises:
        ConfigSyntaxError: `text` is not TOML in UTF-8.
    """
    decoded = _decode_utf8(text)
    try:
        return tomllib.loads(decoded)
    except tomllib.TOMLDecodeError as error:
        message = str(error)
        found = TOML_POSITION.search(message)
        position = _position_at(decoded, len(decoded))
        if found and found[1]:
            position = _position(found[1], found[2])
        raise ConfigSyntaxError(position, f"not TOML: {TOML_POSITION.sub('', message)}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigSyntaxError("line 1", f"not TOML: {_short_reason(error)}") from error


def parse_json(text: bytes) -> Any:
    """Parse JSON. A duplicate name in an object is rejected, because one of the two values would be lost.

    Raises:
        ConfigSyntaxError: `text` is not JSON in UTF-8, or an object has a duplicate name.
    """
    decoded = _decode_utf8(text)
    try:
        return json.loads(decoded, object_pairs_hook=_unique_names, parse_constant=_reject_constant)
    except json.JSONDecodeError as error:
        raise ConfigSyntaxError(_position(error.lineno, error.colno), f"not JSON: {error.msg}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigSyntaxError("line 1", f"not JSON: {_short_reason(error)}") from error


def _decode_utf8(text: bytes) -> str:
    try:
        return text.decode()
    except UnicodeDecodeError as error:
        before = text[: error.start].decode()
        raise ConfigSyntaxError(_position_at(before, len(before)), "not UTF-8 text") from error


def _position_at(text: str, offset: int) -> str:
    line = text.count("\n", 0, offset) + 1
    line_start = text.rfind("\n", 0, offset) + 1
    return _position(line, offset - line_start + 1)


def _position(line: int | str, column: int | str) -> str:
    return f"line {line}, column {column}"


def _short_reason(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return str(error).splitlines()[0][:REASON_CHARACTERS_MAX]


def _unique_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    values = dict(pairs)
    if len(values) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"{duplicate!r} is a duplicate name in an object")
    return values


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON value")
