"""Exchanges of reachable members, for a process that has just started or whose clock had a gap."""

from collections.abc import Awaitable, Callable, Iterator

import msgspec

from flintridge.membership.exchange_service import ExchangeRejectedError
from flintridge.membership.failure_detector import FailureDetector
from flintridge.membership.messages import GossipEntry, MessageDroppedError
from flintridge.runtime.clock import Clock, DeadlineExceededError
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

MEMBERS_TOPIC = "lives"  # topic of these exchanges
ENTRIES_PER_CHUNK = 32


class MemberSync:
    """Serves the members that are reachable here, and pulls those of a peer."""

    def __init__(
        self,
        detector: FailureDetector,
        exchange: Callable[[str, str, bytes], Awaitable[list[bytes]]],
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Prepare the exchanges.

        Args:
            detector: Failure detector of this process.
            exchange: Sends a topic's query to a peer, and returns the chunks of the whole response.
            clock: Clock of this process, in float milliseconds.
            log: Logs failed exchanges.
            counters: Counts completed and failed exchanges.
        """
        self._detector = detector
        self._exchange = exchange
        self._clock = clock
        self._log = log
        self._counters = counters

    def serve(self, query: bytes) -> Iterator[bytes]:
        """Yield the chunks of a response: the reachable members that a peer's filter lacks."""
        encoder = msgspec.msgpack.Encoder()
        members = self._detector.table.reachable_not_in(query)
        for start in range(0, len(members), ENTRIES_PER_CHUNK):
            now = self._clock.now()  # ages are as of each chunk, or a slow reader would understate them
            block = members[start : start + ENTRIES_PER_CHUNK]
            yield encoder.encode([member.gossip_entry(now) for member in block])

    async def pull(self, peer: str) -> None:
        """Merge the members that a peer can reach and this node cannot."""
        requested_at = self._clock.now()
        try:
            entries = await self._request_entries(peer)
        except (
            OSError,
            DeadlineExceededError,
            MessageDroppedError,
            ExchangeRejectedError,
            msgspec.MsgspecError,
        ) as error:
            self._counters.add("peers_syncs_failed")
            self._log.event("peers_sync_failed", peer=peer, error=repr(error))
            return
        detector = self._detector
        now = self._clock.now()
        for entry in entries:
            # The entry was sent after the request, no matter when the response arrived.
            detector.table.merge_entry(entry, requested_at, detector.suspicion_ms, now, detector.max_age_ms)
        self._counters.add("peers_syncs_completed")

    async def _request_entries(self, peer: str) -> list[GossipEntry]:
        chunks = await self._exchange(peer, MEMBERS_TOPIC, self._detector.table.reachable_filter())
        return [
            entry
            for chunk in chunks
            if chunk
            for entry in msgspec.msgpack.decode(chunk, type=list[GossipEntry])
        ]
