"""When to ask a peer for members that this node cannot reach: after a start or a clock gap."""

from random import Random

from flintridge.membership.member_table import MemberTable

MAX_SYNCS = 12  # exchanges after a start or a clock gap, while names are missing
SYNC_INTERVAL_MS = 1_000.0  # shortest interval between two exchanges, before it is varied
SYNC_ENTRY_BYTES = 22.0  # approximate size of an entry in a response
# Fraction of the exchanges' bytes that responses may take, assuming that others reach as much as this node.
SYNC_BYTES_FRACTION = 0.5


class SyncSchedule:
    """Decides when to start an exchange, and with which peer.

    Datagrams alone take long to bring missing members: most of their entries are about known members.
    """

    def __init__(self, table: MemberTable, bytes_per_s: float, now: float, rng: Random) -> None:
        """Start with an exchange due at `now`.

        Args:
            table: Members known to this node.
            bytes_per_s: Bytes per second that exchanges may take.
            now: The current time.
            rng: Draws the peers, and varies the intervals.
        """
        self._table = table
        self._bytes_per_s = bytes_per_s
        self._rng = rng
        self._exchange_count = 0  # exchanges since the evidence was last reset
        self._next_at = now
        self._evidence_valid_from = now  # when the evidence was last reset

    def next_source(self, now: float) -> str | None:
        """The peer to ask now, or None. Each call that returns a name counts as an exchange."""
        table = self._table
        if self._evidence_valid_from != table.evidence_valid_from:
            self._evidence_valid_from = table.evidence_valid_from
            self._exchange_count = 0
            self._next_at = now
        if self._is_done() or now < self._next_at:
            return None
        # Excludes members known through others only, as the direct link to them may be cut.
        sources = [
            member.name
            for member in table.reachable_members
            if member.direct_alive_at >= table.evidence_valid_from and member.name != table.local_name
        ]
        if not sources:
            return None
        self._exchange_count += 1
        self._next_at = now + self._interval_ms() * self._rng.uniform(0.75, 1.25)
        return self._rng.choice(sources)

    def _is_done(self) -> bool:
        if self._exchange_count >= MAX_SYNCS:
            return True
        reachability = self._table.reachability
        return self._exchange_count > 0 and reachability.reachable == reachability.names

    def _interval_ms(self) -> float:
        names = self._table.reachability.names
        fraction = self._table.reachability.fraction
        response_ms = fraction * (1 - fraction) * names * SYNC_ENTRY_BYTES / self._bytes_per_s * 1000
        return max(SYNC_INTERVAL_MS, response_ms / SYNC_BYTES_FRACTION)
