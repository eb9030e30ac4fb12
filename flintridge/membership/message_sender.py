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

MAX_GOSSIP_DATAGRAM_BYTES = 800  # with gossip entries; what is left of a datagram is for payloads
# Of what is left of a second's bytes that a datagram with gossip entries may take.
GOSSIP_BUDGET_FRACTION = 0.25
ENTRY_COUNT_BYTES = 2  # by which the encoded count of entries may grow
# Of the bytes that responses may take: a flood of pings must not silence a node's own probes.
RESPONSE_BUDGET_FRACTION = 0.6
# What carries gossip entries of others: what is sent in response proves their age to whom it goes. A probe
# itself echoes an instant that may be long ago, and less is proved the longer that was, as clocks drift.
GOSSIP_KINDS = (MessageKind.ACK, MessageKind.ACK_RECEIPT, MessageKind.GOSSIP)


@dataclass(slots=True, frozen=True)
class OutgoingDatagram:
    """A datagram for the address that this node has for `name`."""

    name: str
    data: bytes


class MessageSender:
    """Queues messages of one process. Times are float milliseconds of this node's clock."""

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
            table: Of this node; it gives the gossip entries.
            codec: Of the fleet.
            topics: Their payloads go with messages.
            bytes_per_s: Of datagrams, in any second.
            now: The present instant.
            counters: Where datagrams are counted.
        """
        self.origin = now - 1.0  # `sent_at` of a message counts from here
        self.budget = ByteBudget(bytes_per_s)
        self._response_budget = ByteBudget(RESPONSE_BUDGET_FRACTION * bytes_per_s)
        self._table = table
        self._codec = codec
        self._topics = topics
        self._counters = counters
        self._sequence = 0
        self._queue: list[OutgoingDatagram] = []

    def take_datagrams(self) -> list[OutgoingDatagram]:
        """What is to be sent, in its order; each once."""
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
        """Queue a message, with what gossip entries and payloads it can carry.

        Args:
            to: Whom it goes to.
            kind: Of the message.
            probe_id: Of the probe that it belongs to; 0: of none.
            now: The present instant.
            probe_target: Whom the receiver shall ping.
            entries: Gossip entries that it carries in any case, first.
            is_response: Whether the response budget bounds it too.

        Returns:
            False, and nothing is queued, where the budget has not enough bytes left.
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
        """The message with gossip entries after those that it has; `available` bytes may be sent."""
        # Guards the responses that are still to be sent in this second: without them this node would seem
        # failed for having gossiped too much.
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
