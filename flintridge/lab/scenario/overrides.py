"""Overrides: changes of single values, such as `faults[0].for_s=3`, before a scenario is decoded."""

import re
import tomllib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import inspect

from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.type_validation import type_info
from flintridge.lab.scenario.model import Scenario

PATH_STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d{1,6})\]")
BARE_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9._-]*")


@dataclass(slots=True, frozen=True)
class Override:
    """A change of one value.

    Attributes:
        text: The override as it was given.
        path: The path of the value, such as `faults[0].for_s`.
        steps: The names and list positions along the path.
        value: The decoded TOML value.
    """

    text: str
    path: str
    steps: tuple[str | int, ...]
    value: Any

    @classmethod
    def parse(cls, text: str) -> "Override":
        """Parse `PATH=VALUE`.

        Raises:
            ConfigFaultsError: The path or the value is malformed.
        """
        path, sign, value = text.partition("=")
        path = path.strip()
        if not sign or not path:
            raise _override_error(text, "must be PATH=VALUE, as in load.rate_per_s=300")
        return cls(text, path, _steps(text, path), _value(text, value.strip()))


def apply(raw: Any, change: Override) -> Any:
    """Return a copy of the raw scenario with the change applied; `raw` is not modified.

    Tables that the file leaves out are filled with their defaults first: `kinds[0].cores=4` needs no `kinds`
    in the file.

    Raises:
        ConfigFaultsError: The path does not exist.
    """
    info: inspect.Type | None = type_info(Scenario)
    root = {"": _deep_copy(raw)}
    inner: Any = root
    at: str | int = ""
    for step in change.steps:
        if isinstance(step, str):
            if not isinstance(inner[at], dict):
                raise _override_error(change.text, f"the path names {step} of a value that is not a table")
            info = _ensure_member(inner[at], info, step)
        else:
            if not isinstance(inner[at], list):
                raise _override_error(change.text, f"the path names [{step}] of a value that is not a list")
            if step >= len(inner[at]):
                size = len(inner[at])
                raise _override_error(change.text, f"there is no [{step}] in a list of {size}")
            info = getattr(info, "item_type", None)
        inner = inner[at]
        at = step
    inner[at] = change.value
    return root[""]


def _ensure_member(table: dict[str, Any], info: inspect.Type | None, step: str) -> inspect.Type | None:
    """Add the default of `step` to the table if it is missing; return the member's type, if it is known."""
    field = None
    for struct in _matching_structs(info, table):
        field = next((f for f in struct.fields if f.encode_name == step), field)
    if step not in table:
        if field is not None and not field.required and field.default is not inspect.NODEFAULT:  # type: ignore[attr-defined]
            table[step] = _deep_copy(msgspec.to_builtins(field.default))
        else:
            table[step] = {}
    return field.type if field is not None else None


def _matching_structs(info: inspect.Type | None, table: dict[str, Any]) -> Sequence[inspect.StructType]:
    """Return the structs that the table may be decoded as, according to its tag."""
    options = info.types if isinstance(info, inspect.UnionType) else (info,)
    structs = [struct for struct in options if isinstance(struct, inspect.StructType)]
    return [
        struct for struct in structs if struct.tag_field is None or table.get(struct.tag_field) == struct.tag
    ]


def _deep_copy(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _deep_copy(item) for name, item in value.items()}
    return [_deep_copy(item) for item in value] if isinstance(value, list | tuple) else value


def _steps(text: str, path: str) -> tuple[str | int, ...]:
    steps: list[str | int] = []
    at = 0
    while at < len(path):
        found = PATH_STEP.match(path, at)
        if not found or (at == 0) == path.startswith((".", "["), at):
            raise _override_error(text, f"{path!r} is not a path such as faults[0].for_s")
        steps.append(found[1] if found[1] is not None else int(found[2]))
        at = found.end()
    return tuple(steps)


def _value(text: str, literal: str) -> Any:
    try:
        read = tomllib.loads(f"value = {literal}")
    except (ValueError, RecursionError) as error:
        if BARE_WORD.fullmatch(literal):
            return literal
        reason = f"{literal!r} is not a TOML value; text must be quoted"
        raise _override_error(text, reason) from error
    if list(read) != ["value"]:  # guards against a value that contains further lines with keys
        raise _override_error(text, f"{literal!r} is more than one value")
    return read["value"]


def _override_error(text: str, reason: str) -> ConfigFaultsError:
    return ConfigFaultsError([ConfigFault(source(text), "", UNSET, reason)])


def source(text: str) -> str:
    """Return the name of the source in messages about an override; it is always one line."""
    return f"--set {text if text.isprintable() else repr(text)}"
