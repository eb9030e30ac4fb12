"""What every table and every fault of a scenario has: bounded numbers, times, triggers."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Fraction = Annotated[float, Meta(ge=0, le=1)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
# Of any length to msgspec: 0.20 to 0.23 read a tuple of fixed length beside a bounded number wrongly.
Span = Amount | Annotated[tuple[Amount, ...], Meta(min_length=2, max_length=2)]


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True, omit_defaults=True):
    """A table of the file; a key that is not known is rejected."""

    def by_key(self) -> dict[str, Any]:
        """The values by their keys in the file, in the order of the fields."""
        return {field.encode_name: getattr(self, field.name) for field in msgspec.structs.fields(self)}


class Seen(Table, kw_only=True, frozen=True):
    """Something to wait for, from `at_s` on, at a node (or at any): one of `line`, `heard` and `datagram`."""

    line: Annotated[str, Meta(max_length=64)] = ""  # an event of a node's log
    heard: Count | None = None  # a node's console tells that it hears so many nodes or fewer, itself included
    datagram: Literal["", "ping", "ack", "ask", "reached", "tried", "news", "done"] = (
        ""  # that it sends a peer
    )
    node: Count | None = None
    nth: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    until_s: Positive = 10.0  # after `at_s`; a fault whose sign never came does not begin


class Fault(Table, tag_field="what", frozen=True):
    """Something that goes wrong from `at_s` on, counted from the start of the day."""

    at_s: Amount = 0.0
    once: Seen | None = None  # with it: at the moment in which that is seen


class TimedFault(Fault, frozen=True):
    """A fault that ends after `for_s`."""

    for_s: Amount = 5.0
