"""Builds the outgoing datagrams, and keeps their bytes within the node's budget."""

from collections import Counter
from dataclasses import dataclass

from msgspec.structs import replace

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.member import Member
from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import (
    ANY_INCARNATION,
    MAX_DATAGRAM_BYTES,
    GossipEntry,
    Message,
    MessageCodec,
    MessageKind,
    ProcessId,
    encoded_size,
)
from flintridge.membership.topics import TopicRegistry

MAX_GOSSIP_DATAGRAM_BYTES = 800  # limit with gossip entries; the rest of a datagram is for payloads
# Fraction of a second's remaining bytes that a datagram with gossip entries may take.
GOSSIP_BUDGET_FRACTION = 0.25
ENTRY_COUNT_BYTES = 2  # by which the encoded number of entries may grow
# Fraction of the bytes that responses may take, so that a flood of pings does not stop a node's own probes.
RESPONSE_BUDGET_FRACTION = 0.6
# The kinds of messages that carry gossip entries about third parties. A response proves the entries' age to
# its receiver. A ping may echo an instant of long ago, and as clocks drift, an older echo proves less.
GOSSIP_KINDS = (MessageKind.ACK, MessageKind.ACK_RECEIPT, MessageKind.GOSSIP)


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """A datagram for the configured address of the node `name`."""

    name: str
    data: bytes


class MessageSender:
    """Builds and queues one process's messages. Times are float milliseconds of this node's clock."""

    def __init__(
        self,
        table: MemberTable,
        codec: MessageCodec,
        topics: TopicRegistry,
        bytes_per_s: float,
        now: float,
        counters: Counter[str],
    ) -> None:
        """Create a sender with nothing queued.

        Args:
            table: Members known to this node; provides the gossip entries.
            codec: Codec of the fleet's messages.
            topics: Topics whose payloads are sent with messages.
            bytes_per_s: Bytes of datagrams that may be sent in any second.
            now: The current time.
            counters: Counts datagrams and their bytes.
        """
        self.origin = now - 1.0  # the instant from which `sent_at` of messages counts
        self.budget = ByteBudget(bytes_per_s)
        self._response_budget = ByteBudget(RESPONSE_BUDGET_FRACTION * bytes_per_s)
        self._table = table
        self._codec = codec
        self._topics = topics
        self._counters = counters
        self._sequence = 0
        self._queue: list[OutgoingDatagram] = []

    def take_datagrams(self) -> list[OutgoingDatagram]:
        """Remove and return the queued datagrams, in the order in which they are to be sent."""
        queue = self._queue
        self._queue = []
        return queue

    def send(
        self,
        to: ProcessId,
        kind: MessageKind,
        probe_id: int,
        now: float,
        *,
        probe_target: ProcessId | None = None,
        entries: tuple[GossipEntry, ...] = (),
        is_response: bool = False,
    ) -> bool:
        """Queue a message, with the gossip entries and payloads that fit into it.

        Args:
            to: The receiver.
            kind: Kind of the message.
            probe_id: ID of the probe that the message belongs to; 0 if it belongs to none.
            now: The current time.
            probe_target: The process that the receiver shall ping.
            entries: Gossip entries that the message carries in any case, before others.
            is_response: Whether the response budget limits the message too.

        Returns:
            False, with nothing queued, if the budget has too few bytes left.
        """
        available = self.budget.available(now)
        if is_response:
            available = min(available, self._response_budget.available(now))
        member = None
        if to.incarnation != ANY_INCARNATION:
            member = self._table.find(to.name, to.incarnation)
        message = self._new_message(to, member, kind, probe_id, now, probe_target, entries)
        message = self._with_gossip(message, member, available, now)
        max_bytes = min(MAX_DATAGRAM_BYTES, available)
        if self._topics and member is not None:
            remaining = int(max_bytes) - self._codec.overhead_bytes - encoded_size(message)
            message = replace(message, payloads=self._topics.payloads_for(member, now, remaining))
        return self._enqueue(to.name, self._codec.encode(message), max_bytes, is_response, now)

    def _new_message(
        self,
        to: ProcessId,
        member: Member | None,
        kind: MessageKind,
        probe_id: int,
        now: float,
        probe_target: ProcessId | None,
        entries: tuple[GossipEntry, ...],
    ) -> Message:
        self._sequence += 1
        echoed_sent_at = -1
        echo_delay = 0
        if member is not None and member.newest_sent_at >= 0:
            echoed_sent_at = member.newest_sent_at
            echo_delay = int(now - member.newest_received_at)
        return Message(
            self._codec.fleet,
            self._table.local_name,
            self._table.incarnation,
            self._table.refutations,
            self._sequence,
            int(kind),
            probe_id,
            int(now - self.origin),
            to.incarnation,
            echoed_sent_at,
            echo_delay,
            probe_target,
            entries,
        )

    def _with_gossip(self, message: Message, to: Member | None, available: float, now: float) -> Message:
        """Append gossip entries to those of a message; `available` bytes may be sent."""
        # Leaves bytes for the responses that are still to be sent in this second: without them, a node that
        # gossips too much would seem to have failed.
        max_gossip_bytes = min(MAX_GOSSIP_DATAGRAM_BYTES, available * GOSSIP_BUDGET_FRACTION)
        max_entries_bytes = (
            max_gossip_bytes - self._codec.overhead_bytes - encoded_size(message) - ENTRY_COUNT_BYTES
        )
        carries_gossip = message.kind in GOSSIP_KINDS
        selected = self._table.select_entries(to, max_entries_bytes, carries_gossip, now)
        return replace(message, entries=(*message.entries, *selected)) if selected else message

    def _enqueue(self, name: str, data: bytes, max_bytes: float, is_response: bool, now: float) -> bool:
        if len(data) > max_bytes or not self.budget.try_spend(now, len(data)):
            self._counters["unsent"] += 1
            return False
        if is_response:
            self._response_budget.try_spend(now, len(data))
        self._counters["datagrams_out"] += 1
        self._counters["bytes_out"] += len(data)
        self._queue.append(OutgoingDatagram(name, data))
        return True
