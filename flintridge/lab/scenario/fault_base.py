"""Base types of scenario tables and faults: bounded numbers, start times and triggers."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
# The tuple has no fixed length, only bounds on it: msgspec 0.20 to 0.23 decode a union of a bounded number
# and a fixed-length tuple wrongly.
Span = Amount | Annotated[tuple[Amount, ...], Meta(min_length=2, max_length=2)]


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True, omit_defaults=True):
    """A table of the scenario file; unknown keys are rejected."""

    def by_key(self) -> dict[str, Any]:
        """Return the values by their keys in the file, in the order of the fields."""
        return {field.encode_name: getattr(self, field.name) for field in msgspec.structs.fields(self)}


class Seen(Table, kw_only=True, frozen=True):
    """The trigger of a fault: exactly one of `line`, `heard` and `datagram`, awaited from `at_s` on."""

    # The name of an event in a node's log.
    line: Annotated[str, Meta(max_length=64)] = ""
    # A node's admin API reports at most this many reachable nodes, the node itself included.
    heard: Count | None = None
    # The kind of a datagram that a node sends to a peer.
    datagram: Literal["", "ping", "ack", "ask", "reached", "tried", "news", "done"] = ""
    # The number of the node at which the trigger must be observed; None: at any node.
    node: Count | None = None
    # The fault begins at the nth observation.
    nth: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    # Seconds after `at_s` until the wait ends; a fault that was not triggered by then never begins.
    until_s: Positive = 10.0


class Fault(Table, tag_field="what", frozen=True):
    """A fault that begins at `at_s`, in seconds since the start of the run."""

    at_s: Amount = 0.0
    # With a trigger, the fault begins when the trigger is observed, at `at_s` at the earliest.
    once: Seen | None = None


class TimedFault(Fault, frozen=True):
    """A fault that ends `for_s` seconds after its start."""

    for_s: Amount = 5.0
