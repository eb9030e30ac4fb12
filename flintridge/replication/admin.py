"""The admin API's routes for the replicated state: queries, writes, and how many nodes have a write."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from flintridge.core.admin_routes import AdminResponse, Routes, RouteWithInput
from flintridge.membership.driver import MembershipDriver
from flintridge.replication.admin_view import COUNT_NAMES, SYNC_STATE_NAMES, ReplicaView, view_entry
from flintridge.replication.entry import Dot, Key, Version
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.replica import Replica
from flintridge.replication.value_types import WriteRejectedError, encode_body
from flintridge.runtime.clock import Clock
from flintridge.telemetry.counters import Counters

PAGE_ENTRIES = 100
MAX_NAME_CHARACTERS = 200
MAX_NUMBER_DIGITS = 18
QUERY_FIELDS = ("type", "name", "bucket", "conflicts", "after", "digests", "entries")
ENTRY_QUERY_FIELDS = frozenset(("type", "bucket", "conflicts", "entries"))


class WriteCall(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"type_name": "type", "author": "by", "reason": "why", "lifetime_ms": "lasts_ms"},
):
    """The JSON body of a write."""

    type_name: str
    name: str
    author: str
    reason: str
    body: dict[str, Any] = {}
    lifetime_ms: float | None = None
    delete: bool = False


@dataclass(slots=True, frozen=True)
class ReplicationActivity:
    """The current activity of the driver.

    Attributes:
        source: Name of the node with which a comparison is in progress; None if there is none.
        taken_out: Servers that operators have taken out of service.
    """

    source: str | None
    taken_out: frozenset[str]


class StateAdminApi:
    """Handlers of the routes below /admin/state, which take a request's query and body."""

    def __init__(
        self,
        replica: Replica,
        gossip: RumorSpreader,
        membership: MembershipDriver,
        clock: Clock,
        counters: Counters,
        activity: Callable[[], ReplicationActivity],
    ) -> None:
        """Create the handlers; `activity` returns the current activity of the driver."""
        self._replica = replica
        self._gossip = gossip
        self._membership = membership
        self._clock = clock
        self._counters = counters
        self._activity = activity

    def routes(self) -> Routes:
        """The handlers by path and method."""
        return {
            b"/admin/state": {b"GET": RouteWithInput(self.query), b"POST": RouteWithInput(self.write)},
            b"/admin/state/had": {b"GET": RouteWithInput(self.holder_count)},
        }

    def query(self, query: bytes, _body: bytes) -> AdminResponse:
        """Respond to GET /admin/state with a summary of the replica.

        With `type=T[&name=N]`, `bucket=I` or `conflicts=1` the response also has entries, PAGE_ENTRIES at a
        time. `after` continues at the `next` of the previous page.
        """
        fields = dict(parse_qsl(query.decode("utf-8", "replace")))
        unknown = sorted(set(fields) - set(QUERY_FIELDS))
        if unknown:
            return AdminResponse(
                400, {"error": f"unknown field {unknown[0]}; allowed: {', '.join(QUERY_FIELDS)}"}
            )
        view = self._view()
        if "digests" in fields:
            digests = [f"{digest:016x}" for digest in self._replica.digests]
            view = msgspec.structs.replace(view, digests=digests)
        if ENTRY_QUERY_FIELDS & set(fields):
            try:
                view = self._with_page(view, fields)
            except (ValueError, IndexError):
                limit = len(self._replica.digests)
                error = f"bucket and after must be numbers, and bucket must be less than {limit}"
                return AdminResponse(400, {"error": error})
        return AdminResponse(200, view.to_json())

    def _view(self) -> ReplicaView:
        replica = self._replica
        activity = self._activity()
        counts = {**replica.counts, **self._gossip.counts}
        return ReplicaView(
            name=self._membership.name,
            incarnation=f"{self._membership.incarnation:x}",
            sync_state=SYNC_STATE_NAMES[replica.sync_state],
            root=f"{replica.root():016x}",
            comparison_source=activity.source,
            entry_count=len(replica.entries),
            max_entries=replica.limits.max_entries,
            conflicts=sum(1 for _ in replica.conflicting_keys()),
            taken_out=sorted(activity.taken_out),
            reachable=self._membership.reachability.reachable,
            counts={COUNT_NAMES.get(name, name): count for name, count in counts.items()},
        )

    def _with_page(self, view: ReplicaView, fields: dict[str, str]) -> ReplicaView:
        keys = self._matching_keys(fields)
        start = int(fields.get("after", "0"))
        end = start + PAGE_ENTRIES
        now = self._clock.now()
        page = [view_entry(key, self._replica.entries[key], now) for key in keys[start:end]]
        return msgspec.structs.replace(view, page=page, next_after=end if end < len(keys) else None)

    def _matching_keys(self, fields: dict[str, str]) -> list[Key]:
        replica = self._replica
        if "bucket" in fields:
            return replica.sorted_bucket(int(fields["bucket"]))
        if "type" in fields and "name" in fields:
            key = fields["type"], fields["name"]
            return [key] if key in replica.entries else []
        keys = replica.conflicting_keys() if "conflicts" in fields else replica.entries
        type_name = fields.get("type")
        return sorted(key for key in keys if type_name is None or key[0] == type_name)

    def write(self, _query: bytes, body: bytes) -> AdminResponse:
        """Apply the `WriteCall` of a POST /admin/state here, without waiting for other nodes."""
        try:
            call = msgspec.json.decode(body, type=WriteCall)
            version = self._write(call)
        except msgspec.MsgspecError as error:
            return AdminResponse(400, {"error": str(error)})
        except (UnicodeDecodeError, RecursionError):
            return AdminResponse(400, {"error": "the body is not JSON"})
        except WriteRejectedError as error:
            self._counters.add("state_writes_rejected")
            return AdminResponse(409, {"error": str(error)})
        self._gossip.acknowledgements.track(version.dot)
        self._counters.add("state_writes")
        fields = {
            "name": self._membership.name,
            "write": version.dot[1],
            "life": f"{self._membership.incarnation:x}",
        }
        return AdminResponse(200, fields)

    def _write(self, call: WriteCall) -> Version:
        if not call.author or not call.reason:
            raise WriteRejectedError("by and why must not be empty")
        if not 0 < len(call.name) <= MAX_NAME_CHARACTERS:
            raise WriteRejectedError(f"name must have 1 to {MAX_NAME_CHARACTERS} characters")
        body = encode_body(call.type_name, call.body)
        key = call.type_name, call.name
        if call.delete and key not in self._replica.entries:
            raise WriteRejectedError(f"there is no {call.type_name} {call.name} on this node")
        lifetime_ms = math.inf if call.lifetime_ms is None else call.lifetime_ms
        return self._replica.write(
            self._clock.now(), key, body, call.author, call.reason, lifetime_ms, call.delete
        )

    def holder_count(self, query: bytes, _body: bytes) -> AdminResponse:
        """Respond to GET /admin/state/had?write=N: how many nodes are known to have this process's write."""
        text = dict(parse_qsl(query.decode("utf-8", "replace"))).get("write", "")
        is_number = text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
        dot: Dot = (self._replica.writer, int(text) if is_number else 0)
        count = self._gossip.acknowledgements.holder_count(dot)
        if count is None:
            return AdminResponse(404, {"error": "no such write of this process, or it is too old"})
        return AdminResponse(200, {"had": count, "life": f"{self._membership.incarnation:x}"})
