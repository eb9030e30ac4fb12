"""When which faults were on."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from flintridge.lab.records import AnyRecord, FaultChanged

# Faults that touch no connection and no link to a server: during any other, a node may be trying to reach a
# server, or waiting on a connection that is dead, and no record tells of it.
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
LINK_FAULT_TAIL_MS = 1000.0  # so long after such a fault its last connections may still be waited for


class FaultSpan(NamedTuple):
    """A fault that was on; infinite where no end was seen."""

    name: str
    start_ms: float
    end_ms: float

    @property
    def disturbs_links(self) -> bool:
        """Whether it may keep a node waiting for a server without any record of it."""
        return not self.name.startswith(HARMLESS_TO_LINKS)


class _OpenFault(NamedTuple):
    """A fault without an end yet, with the position of its span."""

    position: int
    name: str
    detail: str


def fault_spans(records: Iterable[AnyRecord]) -> list[FaultSpan]:
    """The faults, in the order of their starts."""
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
    """The one of the same detail, or the oldest: an end may have other details than its start had."""
    same_name = [fault for fault in open_faults if fault.name == record.name]
    for fault in same_name:
        if fault.detail == record.detail:
            return fault
    return same_name[0] if same_name else None
