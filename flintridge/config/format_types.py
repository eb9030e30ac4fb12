"""Types and key names that the node's own configuration format and the lab's scenario format share.

Fields have the names of `flintridge.api`. Where a key in the file has another name, these tables map the
field to the key. A table may have entries for fields that a class does not have.
"""

from collections.abc import Callable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

StructT = TypeVar("StructT", bound=msgspec.Struct)

# The negative lookahead rejects a trailing newline, which `$` alone would accept.
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
    """Set the description of a class in the JSON Schema, in place of its doc comment.

    Args:
        text: The description; None: the JSON Schema has no description for the class.
    """

    def describe(table: type[StructT]) -> type[StructT]:
        table.__doc__ = text
        return table

    return describe
