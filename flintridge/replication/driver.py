"""What a node holds of the fleet's state: its copy's driver, between peers, the list of servers and staff.

It judges nothing. A hold reaches the decisions as the server's being drained, by the list's own way; see
`Holds` in `net/transport_map.py`. Quotas and stops are held and shown; `obeyed` is where they go from here.
"""

import asyncio
import math
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from flintridge.fronts.console import Routes, Taking
from flintridge.membership.driver import MembershipDriver
from flintridge.membership.exchange_service import ExchangeRefusedError
from flintridge.membership.messages import MessageDroppedError
from flintridge.replication.entry import Dot, Entry, Key, Version, Writer, counts, ordered
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.messages import asked, asked_of, pieces, slice_of
from flintridge.replication.replica import SLICE, Limits, Replica, Standing
from flintridge.replication.value_types import TABLE, Body, Refused, checked, decode
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, sleep
from flintridge.settings import StateConfig
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK = 50.0
LOOKS = 8  # buckets a tick; all of them within two seconds
PAGE = 100  # entries in an answer to staff
FIELDS = ("type", "name", "bucket", "conflicts", "after", "digests", "entries")  # of a query
SLICE_S = 2.0  # of the bytes a second that exchanges have, for a slice: it must be over within their time


class Call(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A write, as staff call for it."""

    type: str
    name: str
    by: str
    why: str
    body: dict[str, Any] = {}
    lasts_ms: float | None = None
    delete: bool = False


class ReplicationDriver:
    """One process's part. Times are float milliseconds of `clock`."""

    def __init__(
        self,
        config: StateConfig,
        peers: MembershipDriver,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
        hold: Callable[[frozenset[str]], None],
    ) -> None:
        """`hold` is told which servers are held out, at each change."""
        self.config = config
        self._peers, self._clock, self._log, self._counters = peers, clock, log, counters
        now = clock.now()
        limits = Limits(config.entries, config.entry_bytes, config.remember_s * 1000.0, config.wait_ms)
        me = peers.name, peers.incarnation
        self.copy = Replica(me, limits, now, time.time() * 1000 - now, log.event)
        names = tuple(name for name, _ in peers.config.known if name != peers.name)
        self.spread = RumorSpreader(self.copy, names, config.bytes_per_s, Random(entropy(16)))
        self.spread.changed = self._changed
        self.obeyed: Callable[[str, str, Body | None], None] = lambda type, name, body: None
        self._hold = hold
        self._held: frozenset[str] = frozenset()
        self._holds: set[str] = set()  # names of hold entries that may count
        self._slice = min(SLICE, int(peers.config.bytes_per_s / 2 * SLICE_S))
        self._timer: Timer | None = None
        self._asking: asyncio.Task[None] | None = None
        self._asked: Writer | None = None  # whom, while that goes on
        peers.failure_detector.register_topic(self.spread)
        peers.register_exchange(self.spread.name, self._answer)

    def start(self) -> None:
        self._log.event("state", entries=self.config.entries, remember_s=self.config.remember_s)
        self._tick()

    async def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)

    def routes(self) -> Routes:
        """What staff call for."""
        return {
            b"/admin/state": {b"GET": Taking(self.said), b"POST": Taking(self.write)},
            b"/admin/state/had": {b"GET": Taking(self.had)},
        }

    def caught_up(self) -> bool:
        """Whether this node may call for clients: `mn` is told no before."""
        return self.copy.standing is Standing.CAUGHT

    def _tick(self) -> None:
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK, self._tick)
        try:
            self.copy.offset = time.time() * 1000 - now
            self.copy.look(now, LOOKS)
            self._lay_holds(now)
            fresh = self._fresh()
            for name, life in self.spread.waiting(now, fresh):
                if (one := self._peers.failure_detector.table.find(name, life)) is not None:
                    self._peers.send_payloads(one)
            if self._asking is None or self._asking.done():
                source = self.spread.source(now, fresh)
                if source is not None:
                    self._asking = asyncio.ensure_future(self._ask(source))
        except Exception as error:  # the node must serve on whatever breaks here
            self._counters.add("state_errors")
            self._log.error("state_broke", error)

    def _fresh(self) -> list[Writer]:
        names = self._peers.config.known
        known = {name for name, _ in names}
        return [
            (one.name, one.incarnation)
            for one in self._peers.failure_detector.table
            if one.reachable and one.name in known and one.name != self._peers.name
        ]

    # What changes

    def _changed(self, key: Key, entry: Entry) -> None:
        now = self._clock.now()
        order = ordered(key[0], entry, now)
        if not order:
            return
        if key[0] == "hold":
            self._holds.add(key[1])
        first = order[0]
        body = _shown(first.body)
        self._log.event(
            "state_changed",
            type=key[0],
            name=key[1],
            by=first.by,
            why=first.why,
            writer=first.dot[0][0],
            deleted=first.deleted,
            body=body,
            conflict=len(order) > 1,
        )
        if key[0] in ("quota", "stop"):
            self.obeyed(key[0], key[1], body if counts(first, now) else None)

    def _lay_holds(self, now: float) -> None:
        held = set()
        for name in list(self._holds):
            version = self.copy.holding(("hold", name), now)
            if version is None:
                self._holds.discard(name)
            elif (_shown(version.body) or {}).get("held") is True:
                held.add(name)
        if held != self._held:
            self._held = frozenset(held)
            self._log.event("holds", servers=sorted(held))
            self._hold(self._held)

    # Comparisons

    def _answer(self, about: bytes) -> Iterable[bytes]:
        ask = asked_of(about)
        if ask is None:
            return ()
        try:
            got = self.copy.answer(ask, self._slice)
        except Refused as refused:
            self._log.event("state_not_comparable", reason=str(refused))
            return ()
        return pieces(self.copy.me, got, self._clock.now())

    async def _ask(self, source: Writer) -> None:
        """Until that one has told all that differs. What was taken stays, whatever happens."""
        copy, clock = self.copy, self._clock
        before = copy.root()
        self._asked = source
        try:
            while True:
                asked_at, ask = clock.now(), copy.ask(source)
                parts = await self._peers.exchange(source[0], self.spread.name, asked(ask))
                got = slice_of(parts, asked_at)
                if got is None:
                    raise MessageDroppedError("malformed")
                if got[0] != source:
                    raise ConnectionResetError("another process answers there")
                self._counters.add("state_slices")
                self._counters.add("state_slice_bytes", sum(map(len, parts)))
                for _, entry in got[1].entries:
                    self.spread.owe(entry)
                if copy.take(clock.now(), source, got[1]):
                    break
                await sleep(clock, TICK)
            self._counters.add("state_comparisons")
        except (OSError, DeadlineExceededError, MessageDroppedError, ExchangeRefusedError) as error:
            self._counters.add("state_comparisons_broken")
            self._log.event("state_broke_off", source=source[0], error=repr(error))
        finally:
            self._asked = None
            copy.broke_off(source)
            self.spread.compared(clock.now(), source, copy.root() != before)

    # For staff

    def said(self, query: bytes, body: bytes) -> tuple[int, dict[str, Any]]:
        """GET /admin/state: of the copy as a whole. With `type=T[&name=N]`, `bucket=I` or `conflicts=1` also
        entries, PAGE at a time; `after` goes on from the `next` of the page before."""
        asked_for = dict(parse_qsl(query.decode("utf-8", "replace")))
        if unknown := sorted(set(asked_for) - set(FIELDS)):
            return 400, {"error": f"unknown {unknown[0]}; allowed: {', '.join(FIELDS)}"}
        now, copy = self._clock.now(), self.copy
        said: dict[str, Any] = {
            "name": self._peers.name,
            "life": f"{self._peers.incarnation:x}",
            "standing": copy.standing.name.lower(),
            "root": f"{copy.root():016x}",
            "asking": None if self._asked is None else self._asked[0],
            "entries": len(copy.entries),
            "of": self.config.entries,
            "conflicts": sum(1 for _ in copy.conflicts()),
            "held": sorted(self._held),
            "heard": self._peers.reachability.reachable,
            "counts": {**copy.counts, **self.spread.counts},
        }
        if "digests" in asked_for:
            said["digests"] = [f"{one:016x}" for one in copy.digests]
        if {"type", "bucket", "conflicts", "entries"} & set(asked_for):
            try:
                keys = self._keys(asked_for)
                at = int(asked_for.get("after", "0"))
            except (ValueError, IndexError):
                return 400, {"error": f"bucket and after are numbers; a bucket is under {len(copy.digests)}"}
            page = keys[at : at + PAGE]
            said["page"] = [self._said(key, now) for key in page]
            said["next"] = at + PAGE if at + PAGE < len(keys) else None
        return 200, said

    def _keys(self, asked_for: dict[str, str]) -> list[Key]:
        copy = self.copy
        if "bucket" in asked_for:
            return copy.bucket(int(asked_for["bucket"]))
        if "type" in asked_for and "name" in asked_for:
            key = asked_for["type"], asked_for["name"]
            return [key] if key in copy.entries else []
        keys = copy.conflicts() if "conflicts" in asked_for else copy.entries
        return sorted(key for key in keys if asked_for.get("type") in (None, key[0]))

    def _said(self, key: Key, now: float) -> dict[str, Any]:
        entry = self.copy.entries[key]
        order = ordered(key[0], entry, now)
        holds = bool(order) and counts(order[0], now)
        return {
            "type": key[0],
            "name": key[1],
            "holds": holds,
            "known": key[0] in TABLE,
            "versions": [self._version(one, now) for one in order],
        }

    def _version(self, one: Version, now: float) -> dict[str, Any]:
        (name, life), count = one.dot
        return {
            "dot": f"{name}/{life:x}/{count}",
            "body": _shown(one.body),
            "by": one.by,
            "why": one.why,
            "age_ms": max(0, round(now - one.at)),
            "ends_in_ms": None if one.lasts == math.inf else round(one.ends() - now),
            "deleted": one.deleted,
        }

    def write(self, query: bytes, body: bytes) -> tuple[int, dict[str, Any]]:
        """POST /admin/state, a `Call` in JSON. Written here at once; nothing waits for others."""
        try:
            call = msgspec.json.decode(body, type=Call)
            if not call.by or not call.why:
                raise Refused("by and why must say who and for what reason")
            if not 0 < len(call.name) <= 200:
                raise Refused("name has 1 to 200 characters")
            data = checked(call.type, call.body)
            key = call.type, call.name
            if call.delete and key not in self.copy.entries:
                raise Refused(f"there is no {call.type} {call.name} here")
            lasts = math.inf if call.lasts_ms is None else call.lasts_ms
            version = self.copy.write(self._clock.now(), key, data, call.by, call.why, lasts, call.delete)
        except msgspec.MsgspecError as error:
            return 400, {"error": str(error)}
        except (UnicodeDecodeError, RecursionError):
            return 400, {"error": "the body is not JSON"}
        except Refused as refused:
            self._counters.add("state_refused")
            return 409, {"error": str(refused)}
        self.spread.wrote(version.dot)
        self._counters.add("state_writes")
        return 200, {
            "name": self._peers.name,
            "write": version.dot[1],
            "life": f"{self._peers.incarnation:x}",
        }

    def had(self, query: bytes, body: bytes) -> tuple[int, dict[str, Any]]:
        """GET /admin/state/had?write=N: how many nodes are known to have that write of this process."""
        text = dict(parse_qsl(query.decode("utf-8", "replace"))).get("write", "")
        dot: Dot = self.copy.me, int(text) if text.isdecimal() and len(text) < 19 else 0
        had = self.spread.had_by(dot)
        if had is None:
            return 404, {"error": "no such write of this process, or too long ago"}
        return 200, {"had": had, "life": f"{self._peers.incarnation:x}"}

    def tell_counters(self) -> None:
        """The copy's counts into the node's counters."""
        for name, count in (self.copy.counts + self.spread.counts).items():
            full = f"state_{name}"
            self._counters.add(full, count - self._counters[full])


def _shown(body: bytes) -> Body | None:
    try:
        return decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
