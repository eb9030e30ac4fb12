"""Sources of scenarios: files, the scenarios shipped with the lab, and the `base` that a file may extend."""

from collections.abc import Iterator
from importlib import resources
from pathlib import Path
from typing import Any

from flintridge.config import units
from flintridge.config.decoding import syntax_fault
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.config.syntax import ConfigSyntaxError, parse

SHIPPED_FOLDER = resources.files("flintridge.lab.scenario") / "named"
BASE = "base"


def read(path_or_name: str | Path) -> tuple[str, Any]:
    """Return the source's name for messages, and its plain values merged over those of its base.

    Tables are merged key by key with those of the base; any other value replaces that of the base.

    Raises:
        ConfigFaultsError: The file or a base is malformed.
        OSError: The file cannot be read.
    """
    return _read(path_or_name, Path(), ())


def shipped() -> dict[str, bytes]:
    """Return the texts of the scenarios shipped with the lab, by name and in the order of their names."""
    return dict(_shipped())


def about(text: bytes) -> str:
    """Return the `about` text of a shipped scenario."""
    try:
        return str(parse("", text).get("about", ""))
    except ConfigSyntaxError as error:  # one malformed file must not break the list of scenarios
        return f"(cannot be read: {error})"


def _read(path_or_name: str | Path, folder: Path, extending_files: tuple[str, ...]) -> tuple[str, Any]:
    file, text, base_folder = _read_text(path_or_name, folder)
    try:
        raw = parse(file, text)
    except ConfigSyntaxError as error:
        raise syntax_fault(file, error) from error
    if not isinstance(raw, dict):
        return file, raw
    _resolve_trace(raw, base_folder)
    if BASE not in raw:
        return file, raw
    base = raw.pop(BASE)
    if not isinstance(base, str) or not base:
        reason = "must be the name of a shipped scenario or a file"
        raise ConfigFaultsError([ConfigFault(file, BASE, base, reason)])
    if file in extending_files:  # guards against files that extend each other endlessly
        raise ConfigFaultsError([ConfigFault(file, BASE, base, "extends this file, directly or indirectly")])
    try:
        _, base_values = _read(base, base_folder, (*extending_files, file))
    except OSError as error:
        reason = f"cannot be read: {error.strerror or error}"
        raise ConfigFaultsError([ConfigFault(file, BASE, base, reason)]) from error
    return file, _merged(raw, base_values) if isinstance(base_values, dict) else base_values


def _read_text(path_or_name: str | Path, folder: Path) -> tuple[str, bytes, Path]:
    """Return the name of the source, its text, and the folder to which paths in it are relative."""
    name = str(path_or_name)
    path = folder / name
    if isinstance(path_or_name, str) and Path(name).name == name and path.suffix not in (".toml", ".json"):
        known = shipped()
        if name in known:
            return name, known[name], Path.cwd()
        if not path.is_file():
            closest = units.closest_name(name, list(known))
            hint = f"did you mean {closest}?" if closest else "see `flintridge lab list` for the shipped ones"
            reason = f"no such scenario or file; {hint}"
            raise ConfigFaultsError([ConfigFault(name, "", UNSET, reason)])
    return str(path), path.read_bytes(), path.parent


def _shipped() -> Iterator[tuple[str, bytes]]:
    if SHIPPED_FOLDER.is_dir():
        for entry in sorted(SHIPPED_FOLDER.iterdir(), key=lambda path: path.name):
            if entry.name.endswith(".toml"):
                yield entry.name.removesuffix(".toml"), entry.read_bytes()


def _resolve_trace(raw: dict[str, Any], folder: Path) -> None:
    """Make the path of a trace absolute; it is relative to the folder of the file that names it."""
    load = raw.get("load")
    if isinstance(load, dict) and isinstance(load.get("trace"), str) and load["trace"]:
        load["trace"] = str((folder / load["trace"]).absolute())


def _merged(values: dict[str, Any], base_values: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base_values)
    for name, value in values.items():
        base_value = merged.get(name)
        are_tables = isinstance(value, dict) and isinstance(base_value, dict)
        merged[name] = _merged(value, base_value or {}) if are_tables else value
    return merged
