"""The time spans in which faults were active."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from flintridge.lab.records import AnyRecord, FaultChanged

# Name prefixes of faults that affect no connection and no link to a server. During any other fault, a node
# may be trying to reach a server or waiting on a broken connection without any record of it.
HARMLESS_TO_LINKS = (
    "flush",
    "hot_key",
    "burst",
    "crowding",
    "slowness",
    "quick_errors",
    "spoilt",
    "lost_answers",
    "origin_slow",
    "discovery",
    "bad_clients",
    "reload",
    "node_",
)
# For this long after a fault that disturbs links, a node may still be waiting on its broken connections.
LINK_FAULT_TAIL_MS = 1000.0


class FaultSpan(NamedTuple):
    """The time span of a fault.

    Attributes:
        name: The fault's name.
        start_ms: When it began.
        end_ms: When it ended; infinite if no end was recorded.
    """

    name: str
    start_ms: float
    end_ms: float

    @property
    def disturbs_links(self) -> bool:
        """Whether the fault may keep a node waiting for a server without any record of it."""
        return not self.name.startswith(HARMLESS_TO_LINKS)


class _OpenFault(NamedTuple):
    """A fault that has not ended yet.

    Attributes:
        position: Index of its span in the list of all spans.
        name: The fault's name.
        detail: The detail of the record of its beginning.
    """

    position: int
    name: str
    detail: str


def fault_spans(records: Iterable[AnyRecord]) -> list[FaultSpan]:
    """Return the spans of all faults, in the order of their beginnings."""
    spans: list[FaultSpan] = []
    open_faults: list[_OpenFault] = []
    for record in records:
        if not isinstance(record, FaultChanged):
            continue
        if record.begins:
            open_faults.append(_OpenFault(len(spans), record.name, record.detail))
            spans.append(FaultSpan(record.name, record.at_ms, math.inf))
            continue
        closed = _closed_by(record, open_faults)
        if closed is not None:
            open_faults.remove(closed)
            spans[closed.position] = spans[closed.position]._replace(end_ms=record.at_ms)
    return spans


def _closed_by(record: FaultChanged, open_faults: list[_OpenFault]) -> _OpenFault | None:
    """Return the open fault that a record ends; None if none has its name.

    Prefers a fault with the same detail over the oldest one, because the detail may differ between the
    beginning and the end of a fault.
    """
    same_name = [fault for fault in open_faults if fault.name == record.name]
    for fault in same_name:
        if fault.detail == record.detail:
            return fault
    return same_name[0] if same_name else None
