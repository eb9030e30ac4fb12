"""Single values of a scenario changed before it is decoded: `faults[0].for_s=3`."""

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

STEP = re.compile(r"\.?([A-Za-z0-9_-]+)|\[(\d{1,6})\]")
BARE_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9._-]*")


@dataclass(slots=True, frozen=True)
class Override:
    """A change of one value.

    Attributes:
        text: As it was given.
        path: Of the value, as `faults[0].for_s`.
        steps: Names and positions along the path.
        value: As TOML has it.
    """

    text: str
    path: str
    steps: tuple[str | int, ...]
    value: Any

    @classmethod
    def parse(cls, text: str) -> "Override":
        """Read `PATH=VALUE`.

        Raises:
            ConfigFaultsError: The path or the value is malformed.
        """
        path, sign, value = text.partition("=")
        path = path.strip()
        if not sign or not path:
            raise _fault(text, "must be PATH=VALUE, as in load.rate_per_s=300")
        return cls(text, path, _steps(text, path), _value(text, value.strip()))


def apply(raw: Any, change: Override) -> Any:
    """The raw scenario with the change in it; `raw` is left as it is.

    What the file leaves out is there with its default: `kinds[0].cores=4` needs no `kinds` in the file.

    Raises:
        ConfigFaultsError: The path leads nowhere.
    """
    info: inspect.Type | None = type_info(Scenario)
    root = {"": _copied(raw)}
    inner: Any = root
    at: str | int = ""
    for step in change.steps:
        if isinstance(step, str):
            if not isinstance(inner[at], dict):
                raise _fault(change.text, f"a value stands where a table is needed for {step}")
            info = _enter(inner[at], info, step)
        else:
            if not isinstance(inner[at], list):
                raise _fault(change.text, f"a value stands where a list is needed for [{step}]")
            if step >= len(inner[at]):
                size = len(inner[at])
                raise _fault(change.text, f"there is no [{step}] in a list of {size}")
            info = getattr(info, "item_type", None)
        inner = inner[at]
        at = step
    inner[at] = change.value
    return root[""]


def _enter(table: dict[str, Any], info: inspect.Type | None, step: str) -> inspect.Type | None:
    """Make sure that `step` is in the table, with its default; its type, where that is known."""
    field = None
    for one in _structs(info, table):
        field = next((f for f in one.fields if f.encode_name == step), field)
    if step not in table:
        if field is not None and not field.required and field.default is not inspect.NODEFAULT:  # type: ignore[attr-defined]
            table[step] = _copied(msgspec.to_builtins(field.default))
        else:
            table[step] = {}
    return field.type if field is not None else None


def _structs(info: inspect.Type | None, table: dict[str, Any]) -> Sequence[inspect.StructType]:
    """The structs that a table can be, by its tag."""
    several = info.types if isinstance(info, inspect.UnionType) else (info,)
    structs = [one for one in several if isinstance(one, inspect.StructType)]
    return [one for one in structs if one.tag_field is None or table.get(one.tag_field) == one.tag]


def _copied(value: Any) -> Any:
    if isinstance(value, dict):
        return {name: _copied(one) for name, one in value.items()}
    return [_copied(one) for one in value] if isinstance(value, list | tuple) else value


def _steps(text: str, path: str) -> tuple[str | int, ...]:
    steps: list[str | int] = []
    at = 0
    while at < len(path):
        found = STEP.match(path, at)
        if not found or (at == 0) == path.startswith((".", "["), at):
            raise _fault(text, f"{path!r} is not a path such as faults[0].for_s")
        steps.append(found[1] if found[1] is not None else int(found[2]))
        at = found.end()
    return tuple(steps)


def _value(text: str, literal: str) -> Any:
    try:
        read = tomllib.loads(f"value = {literal}")
    except (ValueError, RecursionError) as error:
        if BARE_WORD.fullmatch(literal):
            return literal
        reason = f"{literal!r} is not a TOML value; text goes in quotes"
        raise _fault(text, reason) from error
    if list(read) != ["value"]:  # guards against a value that goes on with lines of its own
        raise _fault(text, f"{literal!r} is more than one value")
    return read["value"]


def _fault(text: str, reason: str) -> ConfigFaultsError:
    return ConfigFaultsError([ConfigFault(source(text), "", UNSET, reason)])


def source(text: str) -> str:
    """The name of the source in messages where an override is at fault; always one line."""
    return f"--set {text if text.isprintable() else repr(text)}"
