"""Names that carry their unit: what was meant by a name that is not known, or by a text such as "1.2s"."""

import difflib
import re
from collections.abc import Sequence

SAID = {
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
ALIASES = {
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
SECONDS = {"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1.0, "min": 60.0, "h": 3600.0}
BYTES = {"bytes": 1.0, "b": 1.0, "kb": 1024.0, "mb": 1024.0**2, "gb": 1024.0**3}
ENDINGS = sorted((*SAID, *ALIASES), key=len, reverse=True)  # `per_s` before `s`
QUANTITY = re.compile(r"\s*(\d+(?:\.\d+)?)\s*([A-Za-z]+)\s*$")


def split(name: str) -> tuple[str, str]:
    """A name's stem and its unit, empty where it has none: `aim_ms` and `aimMs` are `aim` and `ms`."""
    plain = re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name).lower().replace("-", "_")
    for ending in ENDINGS:
        if plain.endswith(f"_{ending}"):
            return plain[: -len(ending) - 1], ALIASES.get(ending, ending)
    return plain, ""


def unknown(name: str, allowed: Sequence[str]) -> str:
    """Why a name is refused, and which of those that are allowed was probably meant."""
    stem, unit = split(name)
    for other in allowed:
        other_stem, other_unit = split(other)
        if other_stem == stem and other_unit and other_unit != unit:
            return f"wrong unit: it is {other} ({SAID[other_unit]})"
    if meant := close(name, allowed):
        return f"unknown name: did you mean {meant}?"
    return f"unknown name: known here are {', '.join(allowed) or 'none'}"


def close(name: str, allowed: Sequence[str]) -> str:
    """The one of `allowed` that was probably meant; empty where none is near."""
    plain = {"_".join(filter(None, split(other))): other for other in allowed}
    near = difflib.get_close_matches("_".join(filter(None, split(name))), plain, n=1, cutoff=0.6)
    return plain[near[0]] if near else ""


def in_unit(name: str, text: str) -> str:
    """What to write for a text such as "1.2s" where `name` takes a number; empty where that is not clear."""
    found = QUANTITY.match(text)
    _, unit = split(name)
    if not found or not unit:
        return ""
    said = ALIASES.get(found[2].lower(), found[2].lower())
    for factors in (SECONDS, BYTES):
        if said in factors and unit in factors:
            return f"{float(found[1]) * factors[said] / factors[unit]:.12g}"
    return ""
