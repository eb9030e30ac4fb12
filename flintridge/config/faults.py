"""Faults of a file, each with its path in the file, the invalid value and the allowed values."""

from dataclasses import dataclass
from typing import Any

import msgspec

from flintridge.config.descriptions import format_value
from flintridge.errors import FlintridgeError

UNSET: Any = msgspec.UNSET  # stands in for a value that is missing or invalid


@dataclass(slots=True, frozen=True)
class ConfigFault:
    """One fault of a file.

    Attributes:
        file: The file's name; empty until the fault is reported.
        path: The path of the value, as in `classes[1].aim_ms`; empty for the file as a whole.
        value: The value in the file; UNSET if it is missing or is not to be shown.
        reason: Why the value is rejected.
        allowed: The allowed values; empty if the reason already describes them.
    """

    file: str
    path: str
    value: Any
    reason: str
    allowed: str = ""

    def __str__(self) -> str:
        value = "" if self.value is UNSET else format_value(self.value)
        return ": ".join(text for text in (self.file, self.path, value, self.reason) if text)


class ConfigFaultsError(FlintridgeError, ValueError):
    """A file is not valid; the message has one line for each fault.

    Attributes:
        faults: All faults of the file.
    """

    def __init__(self, faults: list[ConfigFault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


def fault_at(path: str, value: Any, reason: str, allowed: str = "") -> ConfigFault:
    """Return a fault without its file's name, which is filled in when the fault is reported."""
    return ConfigFault("", path, value, reason, allowed)


def all_valid(*values: Any) -> bool:
    """Whether none of the values is UNSET. An invalid value is not checked for conflicts with others."""
    return all(value is not UNSET for value in values)
