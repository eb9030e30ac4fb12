"""Failure detection by SWIM with Lifeguard's extensions: probes, suspicion, refutation and gossip.

A state machine driven by datagrams and the time, in float milliseconds of the node's monotonic clock. It
differs from SWIM in that each datagram echoes the send time of the newest datagram received from the other
side, and how long ago that one was received. So **the age of all knowledge is proved on the receiver's own
clock**, whatever was delayed, duplicated, replayed or buffered while the process was stopped.
"""

from collections import Counter
from collections.abc import Callable
from random import Random

from flintridge.membership.byte_budget import ByteBudget
from flintridge.membership.detection_times import DetectionTimes
from flintridge.membership.duplicate_name import DuplicateNameDetector
from flintridge.membership.member import Member
from flintridge.membership.member_table import MAX_CLOCK_DRIFT, MemberTable
from flintridge.membership.message_sender import MessageSender, OutgoingDatagram
from flintridge.membership.messages import (
    ANY_INCARNATION,
    GossipEntry,
    MemberState,
    Message,
    MessageCodec,
    MessageDroppedError,
    MessageKind,
)
from flintridge.membership.probe_rotation import ProbeRotation
from flintridge.membership.probe_schedule import ProbeSchedule
from flintridge.membership.probes import PROBE_TIMEOUT_MS, Prober
from flintridge.membership.reachability import Reachability
from flintridge.membership.sync_schedule import SyncSchedule
from flintridge.membership.topics import Topic, TopicRegistry

UPDATE_INTERVAL_MS = 200.0  # between two updates of the reachable members
CLOCK_GAP_MS = 1_500.0  # a larger jump of the clock: the process was stopped, or got no CPU time
LEAVE_MESSAGES = 6  # members that a process notifies when it ends in order
MAX_DATAGRAMS_IN_PER_S = 400  # datagrams that are examined; far more than a fleet sends to one node


class FailureDetector:
    """One node's view of the other members.

    Attributes:
        table: The known members.
        counters: Numbers of events, by name.
        has_successor: Whether a newer process of this node gets its acks through this one.
        max_age_ms: Evidence older than this does not count.
        suspicion_ms: How long a suspicion lasts.
        sender: Sends this process's messages.
        prober: Sends and tracks probes.
        rotation: Selects whom to probe next.
    """

    def __init__(
        self,
        local_name: str,
        incarnation: int,
        names: tuple[str, ...],
        codec: MessageCodec,
        bytes_per_s: float,
        now: float,
        rng: Random,
        log_event: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        """Start with no member known, at `now`.

        Args:
            local_name: Name of this node.
            incarnation: Incarnation of this process.
            names: Names of the fleet's nodes, as configured; with or without this one.
            codec: Codec of the fleet's messages.
            bytes_per_s: Bytes of datagrams that may be sent in any second.
            now: The current time.
            rng: Draws targets and intervals.
            log_event: Called with an event's name and its fields; once for each reason to drop datagrams.
        """
        self.table = MemberTable(local_name, incarnation, names, now, rng)
        self.counters: Counter[str] = Counter()
        self.has_successor = False
        times = DetectionTimes.for_fleet(len(self.table.peer_names) + 1, bytes_per_s)
        self.max_age_ms = times.max_age_ms
        self.suspicion_ms = times.suspicion_ms
        self._topics = TopicRegistry(self.counters)
        self.sender = MessageSender(self.table, codec, self._topics, bytes_per_s, now, self.counters)
        self.prober = Prober(self.table, self.sender, rng, self.counters)
        self.rotation = ProbeRotation(self.table, rng)
        self._sync_schedule = SyncSchedule(self.table, bytes_per_s, now, rng)
        self._codec = codec
        self._rng = rng
        self._log_event = log_event
        self._now = now
        self._datagrams_in = ByteBudget(MAX_DATAGRAMS_IN_PER_S)
        self._probe_schedule = ProbeSchedule(self.sender.budget, now, rng)
        self._duplicate_name = DuplicateNameDetector()
        self._next_update_at = now
        self._has_left = False
        self._logged_keys: set[str] = set()  # keys of events that are logged only once

    @property
    def reachability(self) -> Reachability:
        """Reachability of the fleet as of the last update."""
        return self.table.reachability

    @property
    def local_health_penalty(self) -> int:
        """By how many times its own slowness lengthens this node's probe timeouts; 0: not at all."""
        return self.prober.local_health_penalty

    def register_topic(self, topic: Topic) -> None:
        """Send and receive a topic's payloads from now on.

        Raises:
            ValueError: A topic of that name is registered already.
        """
        self._topics.register(topic)

    def take_datagrams(self) -> list[OutgoingDatagram]:
        """Remove and return the queued datagrams, in the order in which they are to be sent."""
        return self.sender.take_datagrams()

    # Time

    def tick(self, now: float) -> None:
        """Run what is due. To be called about every 50 ms; late calls show as this node's own slowness."""
        self._check_clock_gap(now)
        self.prober.check_probes(now)
        self.prober.expire_indirect_probes(now)
        self.table.resolve_suspicions(now, self.suspicion_ms)
        if not self._has_left and self._probe_schedule.is_due(now):
            target = self.rotation.next_target()
            if target is not None:
                self.prober.probe(target, now)
        if now >= self._next_update_at:
            self._next_update_at = now + UPDATE_INTERVAL_MS
            self._update_reachability(now)
            self.table.remove_expired(now)

    def refresh(self, now: float) -> None:
        """Update the view to `now`, for callers that read it between two ticks."""
        self._check_clock_gap(now)
        self._update_reachability(now)

    def next_sync_source(self, now: float) -> str | None:
        """The peer to ask now, by a state exchange, for members that this node cannot reach; else None."""
        return None if self._has_left else self._sync_schedule.next_source(now)

    def _update_reachability(self, now: float) -> None:
        before = self.reachability.reachable
        if self.table.update_reachability(now, self.max_age_ms):
            view = self.reachability
            self._log_event("peers_heard", heard=view.reachable, of=view.names, before=before)

    def _check_clock_gap(self, now: float) -> None:
        gap = now - self._now
        self._now = now
        if gap <= CLOCK_GAP_MS:
            return
        # A process that was stopped must not take old knowledge for new: what it received is as old as the
        # gap, and nobody could answer its probes.
        self.counters["gaps"] += 1
        self._log_event("peers_gap", ms=round(gap))
        self.prober.clear()
        self.table.reset_after_gap(now)
        self._probe_schedule.restart(now)

    # Received datagrams

    def receive(self, now: float, data: bytes) -> Message | None:
        """Process a datagram. None if it is dropped, which is counted and logged once for each reason."""
        self._check_clock_gap(now)
        self.counters["datagrams_in"] += 1
        self.counters["bytes_in"] += len(data)
        try:
            if not self._datagrams_in.try_spend(now, 1):
                raise MessageDroppedError("flood")
            message = self._codec.decode(data)
            self._process(message, len(data), now)
        except MessageDroppedError as dropped:
            self.counters[f"dropped_{dropped.reason}"] += 1
            self._log_once(dropped.reason, "peers_dropped", reason=dropped.reason)
            return None
        return message

    def _log_once(self, key: str, event: str, **fields: object) -> None:
        if key not in self._logged_keys:
            self._logged_keys.add(key)
            self._log_event(event, **fields)

    def _process(self, message: Message, size: int, now: float) -> None:
        table = self.table
        member = self._accept(message, now)
        member.bytes_received += size
        if message.sent_at > member.newest_sent_at:
            member.newest_sent_at = message.sent_at
            member.newest_received_at = now
        sent_at = self._proven_sent_at(message, now)
        if sent_at is not None and message.echo_delay < PROBE_TIMEOUT_MS:
            member.record_round_trip(now - sent_at)
        table.record_message(member, message.refutations, sent_at, now)
        if sent_at is not None:
            for entry in message.entries:
                table.merge_entry(entry, sent_at, self.suspicion_ms, now, self.max_age_ms)
            self._topics.receive(message, sent_at, now)
        if message.target_incarnation not in (ANY_INCARNATION, table.incarnation):
            self._check_duplicate_name(message, now)
        elif not self._has_left:
            self._respond(message, member, now)

    def _accept(self, message: Message, now: float) -> Member:
        """Find or add the sender, and check for replays. Raises MessageDroppedError."""
        table = self.table
        if message.incarnation == table.incarnation:
            raise MessageDroppedError("own")
        member = table.find_or_add(message.name, message.incarnation, now)
        if member is None:
            is_configured = message.name in (*table.peer_names, table.local_name)
            raise MessageDroppedError("too_many_incarnations" if is_configured else "unknown")
        if member.state is MemberState.LEFT:
            raise MessageDroppedError("left")
        if not member.accept_sequence(message.sequence):
            member.rejected += 1
            raise MessageDroppedError("replayed")
        return member

    def _proven_sent_at(self, message: Message, now: float) -> float | None:
        """The latest instant before which the message cannot have been sent; None if nothing proves one."""
        if message.target_incarnation != self.table.incarnation or message.echoed_sent_at < 0:
            return None
        delay = message.echo_delay * (1 - MAX_CLOCK_DRIFT)
        return min(now, self.sender.origin + message.echoed_sent_at + delay)

    def _check_duplicate_name(self, message: Message, now: float) -> None:
        if self.has_successor:
            self._duplicate_name.clear()
            return
        if message.kind != MessageKind.ACK:
            return
        if self._duplicate_name.receive_ack(message.target_incarnation, now):
            incarnation = f"{message.target_incarnation:x}"
            self._log_once("own_name", "peers_own_name", life=incarnation, answered_by=message.name)

    def _respond(self, message: Message, member: Member, now: float) -> None:
        match message.kind:
            case MessageKind.PING:
                self.sender.send(message.sender, MessageKind.ACK, message.probe_id, now, is_response=True)
            case MessageKind.ACK:
                probed = self.prober.receive_ack(message, member, now)
                if probed is not None and probed != message.name:
                    key = f"wrong_address_{probed}"
                    self._log_once(key, "peers_wrong_address", peer=probed, answers=message.name)
            case MessageKind.PING_REQUEST:
                self.prober.receive_ping_request(message, now)
            case MessageKind.INDIRECT_ACK:
                self.prober.receive_indirect_ack(message)
            case MessageKind.INDIRECT_NACK:
                self.prober.receive_indirect_nack(message)
            case MessageKind.GOSSIP | MessageKind.ACK_RECEIPT | MessageKind.PAYLOADS:
                pass
            case _:
                self.counters["kinds_unknown"] += 1

    # Sent datagrams

    def send_payloads(self, now: float, to: Member) -> bool:
        """Send a member the topics' payloads now, instead of with its next probe.

        A member from which nothing was received yet cannot verify the payloads' age and drops them. It is
        probed instead, and the receipt for its ack carries the payloads.

        Returns:
            False if nothing is sent.
        """
        if self._has_left or to.state is MemberState.LEFT:
            return False
        if to.newest_sent_at >= 0:
            return self.sender.send(to.process_id, MessageKind.PAYLOADS, 0, now)
        return self.prober.probe(to.process_id, now)

    def leave(self, now: float) -> None:
        """Notify a few peers, which pass it on, that this process ends in order. It sends nothing more."""
        self._has_left = True
        table = self.table
        peers = [member for member in table if member.reachable and member.name != table.local_name]
        left_entry = GossipEntry(table.local_name, table.incarnation, table.refutations, MemberState.LEFT, 0)
        for member in self._rng.sample(peers, min(LEAVE_MESSAGES, len(peers))):
            self.sender.send(member.process_id, MessageKind.GOSSIP, 0, now, entries=(left_entry,))
