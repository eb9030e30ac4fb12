"""Faults of a file, each with its place, its value and what is allowed there."""

from dataclasses import dataclass
from typing import Any

import msgspec

from flintridge.config.descriptions import shown
from flintridge.errors import FlintridgeError

UNSET: Any = msgspec.UNSET  # in place of a value that is missing or not valid


@dataclass(slots=True, frozen=True)
class ConfigFault:
    """What is wrong at one place of a file.

    Attributes:
        file: The file's name; empty until the fault is reported.
        path: As in `classes[1].aim_ms`; empty for the file as a whole.
        value: What is there; UNSET where it is missing or not to be shown.
        reason: What is wrong with it.
        allowed: What is allowed there; empty where the reason says all.
    """

    file: str
    path: str
    value: Any
    reason: str
    allowed: str = ""

    def __str__(self) -> str:
        value = "" if self.value is UNSET else shown(self.value)
        return ": ".join(text for text in (self.file, self.path, value, self.reason) if text)


class ConfigFaultsError(FlintridgeError, ValueError):
    """A file is not valid; the text has a line for each fault.

    Attributes:
        faults: All faults of the file.
    """

    def __init__(self, faults: list[ConfigFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


def fault_at(path: str, value: Any, reason: str, allowed: str = "") -> ConfigFault:
    """A fault of a file whose name is filled in later, see `ConfigFault`."""
    return ConfigFault("", path, value, reason, allowed)


def all_valid(*values: Any) -> bool:
    """Whether none of the values is UNSET: nothing can be said to conflict with a value that is not valid."""
    return all(value is not UNSET for value in values)
