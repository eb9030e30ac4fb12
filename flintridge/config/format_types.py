"""What the node's own configuration format and the lab's scenario format have in common.

Fields have the names of `flintridge.api`. Where a key of a file has another name, these tables of field to
key have it; a class takes from them what it has.
"""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

StructT = TypeVar("StructT", bound=msgspec.Struct)

# The last part guards against an ending newline, which `$` alone lets pass.
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$(?!\n)")]

REQUEST_CLASS_KEYS = {
    "latency_objective_ms": "aim_ms",
    "priority_weight": "worth",
    "late_weight_fraction": "late_share",
    "deduplication_scope": "group",
    "deduplication_window_ms": "window_ms",
    "objective_work_factor": "aim_stretch",
}
LIMIT_KEYS = {"hedged_requests": "second_copies", "health_checks": "probes", "peer_messages": "peers"}
RULE_KEYS = {
    "poll_interval_s": "ask_within_s",
    "slow_start_fraction": "cold_share",
    "slow_start_s": "cold_s",
    "overload_multiple": "fall_multiple",
    "overload_window_ms": "fall_ms",
}
FLEET_LIMIT_KEYS = {
    "slow_start": "cold",
    "cache_permits": "cache_places",
    "origin_permits": "origin_places",
    "retries_per_s": "repeats_per_s",
    "retries_per_attempt": "repeat_share",
}


def schema_description(text: str | None) -> Callable[[type[StructT]], type[StructT]]:
    """Give a class a description in the JSON Schema, in place of its doc comment; None: no description."""

    def describe(table: type[StructT]) -> type[StructT]:
        table.__doc__ = text
        return table

    return describe
