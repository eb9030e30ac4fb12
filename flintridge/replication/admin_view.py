"""A replica and its entries, as GET /admin/state shows them.

The encoded names are part of the admin API.
"""

import datetime
import math
from typing import Any

import msgspec
from msgspec import UNSET, UnsetType

from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Entry, Key, Version, by_precedence, is_active
from flintridge.replication.value_types import VALUE_TYPES, Body, decode_for_display

SYNC_STATE_NAMES = {
    SyncState.UNSYNCHRONIZED: "fresh",
    SyncState.SYNCHRONIZING: "catching",
    SyncState.SYNCHRONIZED: "caught",
}
COUNT_NAMES = {
    "clock_ahead": "ahead",
    "versions_ended": "ended",
    "chunks_out_of_order": "slices_out_of_turn",
    "messages_malformed": "words_bad",
}
# Types that a body written by another release may contain. They are left to the encoder of the response.
BODY_TYPES = (bytes, bytearray, memoryview, datetime.datetime)


class VersionView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"author": "by", "reason": "why"},
):
    """One version of an entry."""

    dot: str
    body: Body | None  # None if it can't be decoded, such as one of a later release
    author: str
    reason: str
    age_ms: int
    ends_in_ms: int | None  # None if it never expires
    deleted: bool


class EntryView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={"type_name": "type", "active": "holds", "type_known": "known"},
):
    """One entry, with the version that takes precedence first."""

    type_name: str
    name: str
    active: bool
    type_known: bool
    versions: list[VersionView]


class ReplicaView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "incarnation": "life",
        "sync_state": "standing",
        "comparison_source": "asking",
        "entry_count": "entries",
        "max_entries": "of",
        "taken_out": "held",
        "reachable": "heard",
        "next_after": "next",
    },
):
    """The replica as a whole, and the digests and entries that were requested."""

    name: str
    incarnation: str  # hexadecimal
    sync_state: str
    root: str  # hexadecimal
    comparison_source: str | None
    entry_count: int
    max_entries: int
    conflicts: int
    taken_out: list[str]
    reachable: int
    counts: dict[str, int]
    digests: list[str] | UnsetType = UNSET  # hexadecimal
    page: list[EntryView] | UnsetType = UNSET
    next_after: int | None | UnsetType = UNSET  # None on the last page

    def to_json(self) -> dict[str, Any]:
        """Convert the view to a JSON object."""
        values: dict[str, Any] = msgspec.to_builtins(self, builtin_types=BODY_TYPES)
        return values


def view_entry(key: Key, entry: Entry, now: float) -> EntryView:
    """Build the view of an entry at `now`, in milliseconds."""
    type_name, name = key
    versions = by_precedence(type_name, entry, now)
    return EntryView(
        type_name=type_name,
        name=name,
        active=bool(versions) and is_active(versions[0], now),
        type_known=type_name in VALUE_TYPES,
        versions=[_view_version(version, now) for version in versions],
    )


def _view_version(version: Version, now: float) -> VersionView:
    (node, incarnation), count = version.dot
    ends_in_ms = None if version.lifetime_ms == math.inf else round(version.expires_at() - now)
    return VersionView(
        dot=f"{node}/{incarnation:x}/{count}",
        body=decode_for_display(version.body),
        author=version.author,
        reason=version.reason,
        age_ms=max(0, round(now - version.written_at)),
        ends_in_ms=ends_in_ms,
        deleted=version.deleted,
    )
