"""Rumor mongering: a new entry of a replica is sent immediately to a few processes, which pass it on.

A state machine without I/O over a `Replica`, and a topic of the membership's datagrams. Times are float
milliseconds of the process's own clock. Anti-entropy delivers the entries that rumors do not.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from flintridge.membership.member import Member
from flintridge.replication.acknowledgements import Acknowledgements
from flintridge.replication.anti_entropy import ComparisonScheduler
from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import Entry, Key, Writer
from flintridge.replication.messages import (
    GossipMessage,
    decode_gossip,
    encode_gossip,
    make_entry,
    parse_entry,
)
from flintridge.replication.replica import Replica

# Processes to which each process sends an entry that is new to it; anti-entropy delivers it to the others.
FANOUT = 6
# The part of FANOUT to which the entry is sent without waiting for the next regular datagram.
IMMEDIATE_FANOUT = 3
RUMOR_LIFETIME_MS = 2_000.0
MAX_RUMORS = 64  # keys; anti-entropy delivers any others
MAX_OVERSIZED_ENTRIES = 4  # entries that are found too long for a datagram before the search ends


@dataclass(slots=True)
class Rumor:
    """An entry that changed here at `since`, and the processes to which it was sent or from which it came."""

    since: float
    sent_to: set[Writer] = field(default_factory=set)


class RumorSpreader:
    """Exchanges rumors and the status of replicas in datagrams.

    Attributes:
        name: Name of the topic.
        replica: The replica of this process.
        bytes_per_s: Bytes a second that the topic may send.
        counts: Number of events of each kind, by name.
        acknowledgements: Acknowledgements of this process's writes, and those pending for other writers.
        comparisons: Schedules comparisons with other replicas.
        on_change: Called with the key and the entry whenever an entry's versions have changed.
    """

    name = "state"

    def __init__(self, replica: Replica, peers: tuple[str, ...], bytes_per_s: float, rng: Random) -> None:
        """Create a spreader for `replica`; `peers` are the names of the other nodes."""
        self.replica = replica
        self.bytes_per_s = bytes_per_s
        self.counts: Counter[str] = Counter()
        self.acknowledgements = Acknowledgements(peers)
        self.comparisons = ComparisonScheduler(replica, rng)
        self.on_change: Callable[[Key, Entry], None] = lambda key, entry: None
        self._peers = frozenset(peers)
        self._rng = rng
        self._rumors: dict[Key, Rumor] = {}
        self._now = 0.0
        replica.on_change = self._start_rumor

    def _start_rumor(self, key: Key, entry: Entry) -> None:
        if len(self._rumors) < MAX_RUMORS and entry.versions:
            self._rumors[key] = Rumor(self._now)
        self.on_change(key, entry)

    def urgent_targets(self, now: float, reachable: list[Writer]) -> list[Writer]:
        """Choose the reachable processes to which to send a message before the next regular datagram."""
        self._now = now
        self._drop_old_rumors(now)
        targets = [peer for peer in reachable if self.acknowledgements.is_pending(peer)]
        for rumor in self._rumors.values():
            candidates = [peer for peer in reachable if peer not in rumor.sent_to and peer not in targets]
            missing = max(0, IMMEDIATE_FANOUT - len(rumor.sent_to))
            targets += self._rng.sample(candidates, min(missing, len(candidates)))
        return targets

    def _drop_old_rumors(self, now: float) -> None:
        old = [
            key
            for key, rumor in self._rumors.items()
            if now > rumor.since + RUMOR_LIFETIME_MS or len(rumor.sent_to) >= FANOUT
        ]
        for key in old:
            del self._rumors[key]

    def payload_for(self, now: float, to: Member, max_bytes: int) -> bytes | None:
        """The message for a datagram to a process; None if it does not fit into `max_bytes`."""
        peer = to.name, to.incarnation
        replica = self.replica
        message = GossipMessage(
            root=replica.root(),
            synchronized=replica.sync_state is SyncState.SYNCHRONIZED,
            acknowledged=self.acknowledgements.next_for(peer),
            write_count=replica.write_count,
        )
        if len(encode_gossip(message)) > max_bytes:
            return None
        message = self._with_rumors(now, message, peer, max_bytes)
        self.acknowledgements.mark_sent(peer, len(message.acknowledged))
        return encode_gossip(message)

    def _with_rumors(self, now: float, message: GossipMessage, peer: Writer, max_bytes: int) -> GossipMessage:
        """Add the rumors that are new to `peer` to a message, as many as fit into `max_bytes`."""
        oversized_entries = 0
        for key, rumor in self._rumors.items():
            if oversized_entries >= MAX_OVERSIZED_ENTRIES:
                break
            entry = self.replica.entries.get(key)
            if entry is None or peer in rumor.sent_to or len(rumor.sent_to) >= FANOUT:
                continue
            entries = (*message.entries, make_entry(key, entry, now))
            longer_message = msgspec.structs.replace(message, entries=entries)
            if len(encode_gossip(longer_message)) > max_bytes:
                oversized_entries += 1
                continue  # it is sent in a later datagram, or by a comparison
            rumor.sent_to.add(peer)
            message = longer_message
        return message

    def receive_payload(self, now: float, name: str, incarnation: int, as_of: float, data: bytes) -> None:
        """Apply a peer's message, which was sent at `as_of` or later, in milliseconds."""
        message = decode_gossip(data)
        if message is None or name not in self._peers:
            self.counts["messages_malformed"] += 1
            return
        self._now = now
        peer = name, incarnation
        for entry_message in message.entries:
            self._receive_rumor(now, peer, *parse_entry(entry_message, as_of))
        for count in message.acknowledged:
            self.acknowledgements.receive(name, (self.replica.writer, count))
        differs = self.replica.receive_root(
            now, peer, message.root, message.synchronized, message.write_count
        )
        self.comparisons.receive_status(now, peer, message.synchronized, differs)
        if not differs:
            self.acknowledgements.receive_all(name)

    def _receive_rumor(self, now: float, peer: Writer, key: Key, entry: Entry) -> None:
        if not self.replica.receive(now, key, entry):
            return
        rumor = self._rumors.get(key)
        if rumor is not None:
            rumor.sent_to.add(peer)
        self.acknowledgements.add_pending(entry)
