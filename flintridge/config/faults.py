"""Decoding a file into a struct with all of its faults told at once, one line each."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any, TypeVar, cast

import msgspec

from flintridge.config.syntax import SyntaxFault, parse
from flintridge.config.walk import Walk, type_info
from flintridge.config.words import NOTHING, shown

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class Fault:
    """What is wrong at one place of a file.

    `path` is as in `classes[1].aim_ms`; `allowed` says what may stand there, empty where the reason says all.
    """

    file: str
    path: str
    value: Any
    reason: str
    allowed: str = ""

    def __str__(self) -> str:
        parts = [self.file, self.path, "" if self.value is NOTHING else shown(self.value), self.reason]
        return ": ".join(part for part in parts if part)


class ConfigFaults(ValueError):
    """Every fault of a file; its text has a line for each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


Also = Callable[[Any], Iterable[Fault]]


def decode(path: str, text: bytes, type: type[T], also: Also | None = None) -> T:
    """The file's text (TOML, or JSON by its suffix) as a `type`. Raises ConfigFaults.

    `also` looks for contradictions. It is given the struct even where some of it is faulty; what is faulty
    then is `NOTHING`, see `given`.
    """
    try:
        raw = parse(path, text)
    except SyntaxFault as error:
        raise ConfigFaults([Fault(path, error.place, NOTHING, error.reason)]) from error
    return decode_raw(path, raw, type, also)


def decode_raw(path: str, raw: Any, type: type[T], also: Also | None = None) -> T:
    """Plain values as a `type`; as `decode`."""
    walk, kind = Walk(), cast(Any, type)
    partial = walk.take(type_info(kind), raw, "")
    faults = [Fault(path, place, value, reason, allowed) for place, value, reason, allowed in walk.found]
    whole = None
    if not faults:
        try:
            whole = partial = msgspec.convert(raw, type)
        except msgspec.ValidationError as error:  # guards against a kind of type that the walk does not know
            faults = [Fault(path, "", NOTHING, str(error))]
    if also and given(partial):
        faults += [replace(fault, file=path) for fault in also(partial)]
    if faults or whole is None:
        raise ConfigFaults(faults)
    return whole


def given(*values: Any) -> bool:
    """Whether none of the values is faulty: what contradicts a faulty one is not known."""
    return all(value is not NOTHING for value in values)
