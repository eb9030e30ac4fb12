"""Where scenarios come from: files, those that ship with the lab, and the `base` that one may extend."""

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any

from flintridge.config import units
from flintridge.config.decoding import syntax_fault
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.syntax import ConfigSyntaxError, parse

NAMED = resources.files("flintridge.lab.scenario") / "named"
BASE = "base"


def read(path_or_name: str | Path) -> tuple[str, Any]:
    """The source's name for messages, and its plain values merged over those of its base.

    A table is merged with the base's table name by name, anything else replaces what the base has.

    Raises:
        ConfigFaultsError: The file or a base is malformed.
        OSError: The file cannot be read.
    """
    return _read(path_or_name, Path(), ())


def shipped() -> dict[str, bytes]:
    """The texts of the scenarios that ship with the lab, by name and in the order of names."""
    return dict(_shipped())


def about(text: bytes) -> str:
    """A shipped scenario's description of itself."""
    try:
        return str(parse("", text).get("about", ""))
    except ConfigSyntaxError as error:  # guards the list against one file that cannot be read
        return f"(cannot be read: {error})"


def _read(path_or_name: str | Path, folder: Path, above: tuple[str, ...]) -> tuple[str, Any]:
    file, text, inside = _text(path_or_name, folder)
    try:
        raw = parse(file, text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    if not isinstance(raw, dict):
        return file, raw
    _resolve_trace(raw, inside)
    if BASE not in raw:
        return file, raw
    base = raw.pop(BASE)
    if not isinstance(base, str) or not base:
        reason = "must be the name of a shipped scenario, or a file"
        raise ConfigFaultsError([ConfigFault(file, BASE, base, reason)])
    if file in above:  # guards against files that extend each other without end
        raise ConfigFaultsError([ConfigFault(file, BASE, base, "leads back to this file")])
    try:
        _, under = _read(base, inside, (*above, file))
    except OSError as error:
        reason = f"cannot be read: {error.strerror or error}"
        raise ConfigFaultsError([ConfigFault(file, BASE, base, reason)]) from error
    return file, _merged(raw, under) if isinstance(under, dict) else under


def _text(path_or_name: str | Path, folder: Path) -> tuple[str, bytes, Path]:
    """The name of the source, its text, and the folder that paths in it start from."""
    name = str(path_or_name)
    path = folder / name
    if isinstance(path_or_name, str) and Path(name).name == name and path.suffix not in (".toml", ".json"):
        known = shipped()
        if name in known:
            return name, known[name], Path.cwd()
        if not path.is_file():
            closest = units.closest_name(name, list(known))
            hint = f"did you mean {closest}?" if closest else "`flintridge lab list` names those that ship"
            reason = f"no such scenario, and no such file; {hint}"
            raise ConfigFaultsError([ConfigFault(name, "", UNSET, reason)])
    return str(path), path.read_bytes(), path.parent


def _shipped() -> Iterator[tuple[str, bytes]]:
    if NAMED.is_dir():
        for entry in sorted(NAMED.iterdir(), key=lambda one: one.name):
            if entry.name.endswith(".toml"):
                yield entry.name.removesuffix(".toml"), entry.read_bytes()


def _resolve_trace(raw: dict[str, Any], folder: Path) -> None:
    """Make a trace's path absolute, from the folder of the file that names it."""
    load = raw.get("load")
    if isinstance(load, dict) and isinstance(load.get("trace"), str) and load["trace"]:
        load["trace"] = str((folder / load["trace"]).absolute())


def _merged(over: dict[str, Any], under: dict[str, Any]) -> dict[str, Any]:
    merged = dict(under)
    for name, value in over.items():
        below = merged.get(name)
        are_tables = isinstance(value, dict) and isinstance(below, dict)
        merged[name] = _merged(value, below or {}) if are_tables else value
    return merged
