"""Loads scenarios from files or by name, applies overrides to them, and dumps them as TOML."""

from collections.abc import Sequence
from importlib import import_module
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from flintridge.config.decoding import decode_values
from flintridge.config.faults import UNSET, ConfigFault, ConfigFaultsError
from flintridge.lab.scenario import sources
from flintridge.lab.scenario.model import Scenario, Table
from flintridge.lab.scenario.overrides import Override, apply, source


def load(path_or_name: str | Path, overrides: Sequence[str] = ()) -> Scenario:
    """Load a scenario from a file (TOML, or JSON with the suffix `.json`) or by the name of a shipped one.

    Each of `overrides` changes one value, such as `load.rate_per_s=300`, `faults[0].for_s=3` or
    `nodes.count=5`; values are TOML, and a bare word is text. A file may extend another one with
    `base = "calm"`. The path of a trace is relative to the file that names it, and is made absolute.

    Raises:
        ConfigFaultsError: The scenario is malformed or contradictory; the error has every fault found.
        OSError: The file cannot be read.
    """
    changes = [Override.parse(override) for override in overrides]
    file, raw = sources.read(path_or_name)
    for change in changes:
        raw = apply(raw, change)
    try:
        scenario = decode_values(file, raw, Scenario)
        scenario, missing = _with_trace(scenario)
        found = [ConfigFault(file, *_split_fault(text)) for text in (*missing, *_contradictions(scenario))]
        if found:
            raise ConfigFaultsError(found)
    except ConfigFaultsError as error:
        raise ConfigFaultsError([_attributed(fault, changes) for fault in error.faults]) from error
    return scenario


def names() -> dict[str, str]:
    """Return the `about` text of each shipped scenario, in the order of their names."""
    return {name: sources.about(text) for name, text in sources.shipped().items()}


def dump(scenario: Scenario, *, with_defaults: bool = False) -> str:
    """Return a scenario as TOML that `load` accepts; default values are included only `with_defaults`."""
    plain = _with_defaults(scenario) if with_defaults else msgspec.to_builtins(scenario)
    return tomli_w.dumps(plain)


def _contradictions(scenario: Scenario) -> list[str]:
    try:
        check = import_module("flintridge.lab.faults.check").check
    except ModuleNotFoundError as error:
        if error.name != "flintridge.lab.faults.check":
            raise
        return []
    found: list[str] = check(scenario)
    return found


def _split_fault(text: str) -> tuple[str, Any, str]:
    """Split `path: reason` into the path, value and reason of a fault."""
    path, _, reason = text.partition(": ")
    return (path, UNSET, reason) if reason else ("", UNSET, text)


def _attributed(fault: ConfigFault, changes: Sequence[Override]) -> ConfigFault:
    """Attribute a fault to the override that set the value; other faults stay attributed to the file."""
    for change in changes:
        if fault.path == change.path or fault.path.startswith((f"{change.path}.", f"{change.path}[")):
            return ConfigFault(source(change.text), fault.path, fault.value, fault.reason, fault.allowed)
    return fault


def _with_trace(scenario: Scenario) -> tuple[Scenario, list[str]]:
    """Make the path of the trace absolute and check the trace.

    A path set by an override is relative to the current folder.

    Returns:
        The scenario, and the faults of its trace as `path: reason`.
    """
    trace = scenario.load.trace
    if not trace:
        return scenario, []
    path = Path(trace).absolute()
    load_table = msgspec.structs.replace(scenario.load, trace=str(path))
    scenario = msgspec.structs.replace(scenario, load=load_table)
    if not path.is_file():
        return scenario, [f"load.trace: there is no file {str(path)!r}"]
    from flintridge.lab.load.trace import read  # imported late: few scenarios have a trace

    try:
        read(path, scenario)
    except ValueError as error:
        return scenario, [f"load.trace: {error}"]
    return scenario, []


def _with_defaults(value: Any) -> Any:
    """Convert to plain values including defaults; None is left out, as TOML cannot express it."""
    if isinstance(value, Table):
        config = value.__struct_config__
        plain = {str(config.tag_field): config.tag} if config.tag_field is not None else {}
        for key, each in value.by_key().items():
            if each is not None:
                plain[key] = _with_defaults(each)
        return plain
    return [_with_defaults(item) for item in value] if isinstance(value, list | tuple) else value
