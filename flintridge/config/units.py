"""Units in names of keys: suggestions for an unknown name, and for a text such as "1.2s"."""

import difflib
import re
from collections.abc import Sequence
from typing import NamedTuple

UNIT_NAMES = {
    "ns": "nanoseconds",
    "us": "microseconds",
    "ms": "milliseconds",
    "s": "seconds",
    "min": "minutes",
    "h": "hours",
    "bytes": "bytes",
    "kb": "kilobytes",
    "mb": "megabytes",
    "gb": "gigabytes",
    "per_s": "a second",
    "per_min": "a minute",
}
UNIT_ALIASES = {
    "nanos": "ns",
    "micros": "us",
    "usec": "us",
    "millis": "ms",
    "msec": "ms",
    "sec": "s",
    "secs": "s",
    "seconds": "s",
    "minutes": "min",
    "hours": "h",
    "kib": "kb",
    "mib": "mb",
    "gib": "gb",
    "per_sec": "per_s",
    "per_second": "per_s",
}
# The size of each unit in seconds and in bytes.
SECONDS_BY_UNIT = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES_BY_UNIT = {"bytes": 1.0, "b": 1.0, "kb": 1024.0, "mb": 1024.0**2, "gb": 1024.0**3}
SUFFIXES = sorted((*UNIT_NAMES, *UNIT_ALIASES), key=len, reverse=True)  # `per_s` before `s`
QUANTITY = re.compile(r"\s*(\d+(?:\.\d+)?)\s*([A-Za-z]+)\s*$")
SIMILARITY_MIN = 0.6  # minimum similarity, as `difflib` measures it, of a name that is suggested


class SplitName(NamedTuple):
    """A key's name without its unit, and the unit, which is empty if the name has none."""

    stem: str
    unit: str

    @property
    def plain(self) -> str:
        """The stem and the unit, joined by an underscore."""
        return f"{self.stem}_{self.unit}" if self.stem and self.unit else self.stem or self.unit


def split_unit(name: str) -> SplitName:
    """Split a name into its stem and its unit: `aim_ms` and `aimMs` into `aim` and `ms`."""
    plain = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower().replace("-", "_")
    for suffix in SUFFIXES:
        if plain.endswith(f"_{suffix}"):
            return SplitName(plain[: -len(suffix) - 1], UNIT_ALIASES.get(suffix, suffix))
    return SplitName(plain, "")


def unknown_name_reason(name: str, allowed: Sequence[str]) -> str:
    """Return why a name is rejected, with the allowed name that was probably meant."""
    stem, unit = split_unit(name)
    for candidate in allowed:
        candidate_stem, candidate_unit = split_unit(candidate)
        if candidate_stem == stem and candidate_unit and candidate_unit != unit:
            return f"wrong unit: it is {candidate} ({UNIT_NAMES[candidate_unit]})"
    if meant := closest_name(name, allowed):
        return f"unknown name: did you mean {meant}?"
    return f"unknown name: the known names are {', '.join(allowed) or 'none'}"


def closest_name(name: str, allowed: Sequence[str]) -> str:
    """Return the name in `allowed` that was probably meant; empty if none is similar."""
    by_plain_name = {split_unit(candidate).plain: candidate for candidate in allowed}
    closest = difflib.get_close_matches(split_unit(name).plain, by_plain_name, n=1, cutoff=SIMILARITY_MIN)
    return by_plain_name[closest[0]] if closest else ""


def amount_in_unit(name: str, text: str) -> str:
    """Convert a text such as "1.2s" to the number to write for `name`.

    Args:
        name: The key's name, which ends in its unit.
        text: The value in the file, a number with a unit.

    Returns:
        The number in the unit of the name; empty if `text` or `name` has no known unit, or the two units
        measure different quantities.
    """
    found = QUANTITY.match(text)
    unit = split_unit(name).unit
    if not found or not unit:
        return ""
    written_unit = UNIT_ALIASES.get(found[2].lower(), found[2].lower())
    for factors in (SECONDS_BY_UNIT, BYTES_BY_UNIT):
        if written_unit in factors and unit in factors:
            amount = float(found[1]) * factors[written_unit] / factors[unit]
            return f"{amount:.12g}"
    return ""
