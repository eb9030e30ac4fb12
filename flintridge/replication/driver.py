"""The driver of a process's replica: its timer, its topic in the datagrams, and its exchanges with peers.

The driver makes no decisions on requests. A hold by operators reaches the policy as the server's draining,
through the endpoint list; see `flintridge.discovery.overrides`. Quotas and stops are stored and shown, and
their changes are passed to `on_limit_change`.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random

from flintridge.config.node_config import StateConfig
from flintridge.core.admin_routes import Routes
from flintridge.membership.driver import MembershipDriver
from flintridge.membership.exchange_service import ExchangeRejectedError
from flintridge.membership.messages import MessageDroppedError
from flintridge.replication.admin import ReplicationActivity, StateAdminApi
from flintridge.replication.comparison import IncompatibleDigestsError, SyncState
from flintridge.replication.entry import Entry, Key, Writer, by_precedence, is_active
from flintridge.replication.gossip import RumorSpreader
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.messages import (
    ReceivedChunk,
    decode_chunk,
    decode_request,
    encode_chunk,
    encode_request,
)
from flintridge.replication.replica import CHUNK_BYTES, Replica
from flintridge.replication.value_types import Body, decode_for_display
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer, sleep
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK_MS = 50.0
EXPIRY_BUCKETS_PER_TICK = 8  # covers all buckets within two seconds
# A chunk has at most the bytes that exchanges may send in this time, since it must be complete within their
# time limit.
CHUNK_TIME_S = 2.0
HOLD = "hold"
LIMIT_TYPES = ("quota", "stop")


class ReplicationDriver:
    """One process's replica, connected to its peers, its endpoint list and its operators.

    Times are float milliseconds of the clock.

    Attributes:
        config: The table `[state]`.
        replica: The replica of this process.
        gossip: The replica's topic in the peers' datagrams.
        on_limit_change: Called with the type, the name and the body of a quota or stop that changed. The body
            is None if the quota or stop no longer applies.
    """

    def __init__(
        self,
        config: StateConfig,
        membership: MembershipDriver,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
        take_out: Callable[[frozenset[str]], None],
    ) -> None:
        """`take_out` is called at each change with all servers that operators hold out of service."""
        self.config = config
        self.on_limit_change: Callable[[str, str, Body | None], None] = lambda type_name, name, body: None
        self._membership = membership
        self._clock = clock
        self._log = log
        self._counters = counters
        self._take_out = take_out
        self._taken_out: frozenset[str] = frozenset()
        self._hold_names: set[str] = set()  # names of entries of type hold that may be active
        self._chunk_bytes = min(CHUNK_BYTES, int(membership.config.bytes_per_s / 2 * CHUNK_TIME_S))
        self._timer: Timer | None = None
        self._comparison_task: asyncio.Task[None] | None = None
        self._source: Writer | None = None  # source of the comparison in progress
        now = clock.now()
        self.replica = Replica(
            (membership.name, membership.incarnation),
            _limits(config),
            now,
            time.time() * 1000 - now,
            log.event,
        )
        peers = tuple(name for name, _ in membership.config.known if name != membership.name)
        self.gossip = RumorSpreader(self.replica, peers, config.bytes_per_s, Random(entropy(16)))
        self.gossip.on_change = self._entry_changed
        self._admin_api = StateAdminApi(
            self.replica, self.gossip, membership, clock, counters, self._activity
        )
        membership.failure_detector.register_topic(self.gossip)
        membership.register_exchange(self.gossip.name, self._respond)

    def start(self) -> None:
        """Start the timer."""
        self._log.event("state_started", entries=self.config.entries, remember_s=self.config.remember_s)
        self._tick()

    async def close(self) -> None:
        """Stop the timer and the comparison in progress."""
        if self._timer is not None:
            self._timer.cancel()
        if self._comparison_task is not None:
            self._comparison_task.cancel()
            await asyncio.gather(self._comparison_task, return_exceptions=True)

    def routes(self) -> Routes:
        """The admin API's routes for the replicated state."""
        return self._admin_api.routes()

    def is_synchronized(self) -> bool:
        """Whether this node may send requests for clients; until then it does not respond to `mn`."""
        return self.replica.sync_state is SyncState.SYNCHRONIZED

    def publish_counters(self) -> None:
        """Update the node's counters to those of the replica and its gossip."""
        for name, count in (self.replica.counts + self.gossip.counts).items():
            counter = f"state_{name}"
            self._counters.add(counter, count - self._counters[counter])

    def _activity(self) -> ReplicationActivity:
        return ReplicationActivity(
            source=None if self._source is None else self._source[0], taken_out=self._taken_out
        )

    def _tick(self) -> None:
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK_MS, self._tick)
        try:
            self.replica.stamps.time_of_day_offset = time.time() * 1000 - now
            self.replica.expire(now, EXPIRY_BUCKETS_PER_TICK)
            self._apply_holds(now)
            reachable = self._reachable()
            self._send_urgent(now, reachable)
            self._compare_if_due(now, reachable)
        except Exception as error:  # the node must go on serving, whatever fails here
            self._counters.add("state_errors")
            self._log.error("state_tick_failed", error)

    def _reachable(self) -> list[Writer]:
        configured = {name for name, _ in self._membership.config.known}
        return [
            (member.name, member.incarnation)
            for member in self._membership.failure_detector.table
            if member.reachable and member.name in configured and member.name != self._membership.name
        ]

    def _send_urgent(self, now: float, reachable: list[Writer]) -> None:
        for name, incarnation in self.gossip.urgent_targets(now, reachable):
            member = self._membership.failure_detector.table.find(name, incarnation)
            if member is not None:
                self._membership.send_payloads(member)

    def _compare_if_due(self, now: float, reachable: list[Writer]) -> None:
        if self._comparison_task is not None and not self._comparison_task.done():
            return
        source = self.gossip.comparisons.choose_source(now, reachable)
        if source is not None:
            self._comparison_task = asyncio.ensure_future(self._compare(source))

    # Changes of entries

    def _entry_changed(self, key: Key, entry: Entry) -> None:
        type_name, name = key
        now = self._clock.now()
        versions = by_precedence(type_name, entry, now)
        if not versions:
            return
        if type_name == HOLD:
            self._hold_names.add(name)
        first = versions[0]
        body = decode_for_display(first.body)
        self._log.event(
            "state_changed",
            type=type_name,
            name=name,
            by=first.author,
            why=first.reason,
            writer=first.dot[0][0],
            deleted=first.deleted,
            body=body,
            conflict=len(versions) > 1,
        )
        if type_name in LIMIT_TYPES:
            self.on_limit_change(type_name, name, body if is_active(first, now) else None)

    def _apply_holds(self, now: float) -> None:
        taken_out = set()
        for name in list(self._hold_names):
            version = self.replica.active_version((HOLD, name), now)
            if version is None:
                self._hold_names.discard(name)
                continue
            body = decode_for_display(version.body) or {}
            if body.get("held") is True:
                taken_out.add(name)
        if taken_out != self._taken_out:
            self._taken_out = frozenset(taken_out)
            self._log.event("operator_holds", servers=sorted(taken_out))
            self._take_out(self._taken_out)

    # Comparisons

    def _respond(self, query: bytes) -> Iterable[bytes]:
        request = decode_request(query)
        if request is None:
            return ()
        try:
            chunk = self.replica.make_chunk(request, self._chunk_bytes)
        except IncompatibleDigestsError as error:
            self._log.event("state_incompatible", reason=str(error))
            return ()
        return encode_chunk(self.replica.writer, chunk, self._clock.now())

    async def _compare(self, source: Writer) -> None:
        """Fetch all that differs from the source. Accepted entries remain, even if the comparison fails."""
        replica = self.replica
        root_before = replica.root()
        self._source = source
        try:
            while not await self._fetch_chunk(source):
                await sleep(self._clock, TICK_MS)
            self._counters.add("state_comparisons")
        except (OSError, DeadlineExceededError, MessageDroppedError, ExchangeRejectedError) as error:
            self._counters.add("state_comparisons_failed")
            self._log.event("state_comparison_failed", source=source[0], error=repr(error))
        finally:
            self._source = None
            replica.abandon_comparison(source)
            was_productive = replica.root() != root_before
            self.gossip.comparisons.finish(self._clock.now(), source, was_productive)

    async def _fetch_chunk(self, source: Writer) -> bool:
        """Request a chunk and apply it; return whether it was the last one."""
        requested_at = self._clock.now()
        request = self.replica.next_request(source)
        frames = await self._membership.exchange(source[0], self.gossip.name, encode_request(request))
        received = _checked_chunk(frames, requested_at, source)
        self._counters.add("state_chunks")
        self._counters.add("state_chunk_bytes", sum(map(len, frames)))
        for _, entry in received.chunk.entries:
            self.gossip.acknowledgements.add_pending(entry)
        now = self._clock.now()
        is_complete = self.replica.apply_chunk(now, source, received.chunk)
        self._apply_holds(now)  # `mn` is answered as soon as the replica is synchronized
        return is_complete


def _limits(config: StateConfig) -> ReplicaLimits:
    return ReplicaLimits(
        max_entries=config.entries,
        max_entry_bytes=config.entry_bytes,
        tombstone_ms=config.remember_s * 1000.0,
        sync_wait_ms=config.wait_ms,
    )


def _checked_chunk(frames: list[bytes], requested_at: float, source: Writer) -> ReceivedChunk:
    received = decode_chunk(frames, requested_at)
    if received is None:
        raise MessageDroppedError("malformed")
    if received.source != source:
        raise ConnectionResetError("another process responded at the address of the source")
    return received
