"""Probes of members, direct and through others, and the pings that this node sends for others."""

from collections import Counter
from dataclasses import dataclass
from random import Random

from flintridge.membership.member import Member
from flintridge.membership.member_registry import MAX_INCARNATIONS
from flintridge.membership.member_table import MemberTable
from flintridge.membership.message_sender import MessageSender
from flintridge.membership.messages import ANY_INCARNATION, Message, MessageKind, ProcessId

PING_TIMEOUT_MS = 200.0  # wait for an ack before others are requested to ping the target
PROBE_TIMEOUT_MS = 1_000.0  # wait for a direct or indirect ack before the probe fails
# Timeout of a ping for another node. It ends before that node's own probe, which otherwise could not tell a
# failed member from its own broken links.
INDIRECT_PROBE_TIMEOUT_MS = PROBE_TIMEOUT_MS / 2
MAX_PING_REQUESTS = 8  # sent at a time: one at first, then twice as many each time
MAX_INDIRECT_PROBES = 64  # pings for other nodes that may be pending at a time
MAX_HEALTH_PENALTY = 3  # a slow node multiplies its probe timeouts by up to 1 + this
PROBE_ID_BITS = 62


@dataclass(slots=True)
class Probe:
    """A probe by this node for itself."""

    target: ProcessId
    started_at: float
    pings: int = 1  # pings sent to the target
    requested_members: int = 0  # members that were requested to ping the target
    nacks: int = 0  # requested members that answered that they got no ack either


@dataclass(slots=True)
class IndirectProbe:
    """A ping by this node on behalf of another node."""

    requester: ProcessId
    probe_id: int  # ID of the requester's probe
    ends_at: float


class Prober:
    """Sends probes and tracks those that wait for an ack. Times are float milliseconds."""

    def __init__(
        self, table: MemberTable, sender: MessageSender, rng: Random, counters: Counter[str]
    ) -> None:
        """Start with no pending probe; `sender` sends the messages, `counters` counts the outcomes."""
        self.local_health_penalty = 0  # as in Lifeguard: raised while this node itself seems slow
        self._table = table
        self._sender = sender
        self._rng = rng
        self._counters = counters
        self._probes: dict[int, Probe] = {}
        self._indirect_probes: dict[int, IndirectProbe] = {}

    def clear(self) -> None:
        """Forget all pending probes, as nobody could answer them."""
        self._probes.clear()
        self._indirect_probes.clear()

    def probe(self, target: ProcessId, now: float) -> bool:
        """Ping a target unless a probe of it is pending; return whether a ping was sent."""
        if any(probe.target == target for probe in self._probes.values()):
            return False
        probe_id = self._new_probe_id()
        sent = self._sender.send(target, MessageKind.PING, probe_id, now)
        if sent:
            self._probes[probe_id] = Probe(target, now)
        return sent

    def check_probes(self, now: float) -> None:
        """Ping again, directly and through others, where an ack is overdue, and end failed probes."""
        timeout_factor = 1 + self.local_health_penalty
        for probe_id, probe in [*self._probes.items()]:
            elapsed_ms = now - probe.started_at
            if elapsed_ms >= PROBE_TIMEOUT_MS * timeout_factor:
                del self._probes[probe_id]
                self._fail(probe, now)
            elif elapsed_ms >= PING_TIMEOUT_MS * timeout_factor * probe.pings:
                # When many datagrams are lost, a single ping, or a single round of requests to others, would
                # accuse too many members.
                self._request_pings(probe_id, probe, now)
                probe.pings += 1
                self._sender.send(probe.target, MessageKind.PING, probe_id, now)

    def expire_indirect_probes(self, now: float) -> None:
        """Notify the requesters of pings whose target did not answer in time."""
        for probe_id, probe in [*self._indirect_probes.items()]:
            if now >= probe.ends_at:
                del self._indirect_probes[probe_id]
                self._sender.send(
                    probe.requester, MessageKind.INDIRECT_NACK, probe.probe_id, now, is_response=True
                )

    def receive_ack(self, message: Message, member: Member, now: float) -> str | None:
        """End the probe that an ack answers.

        Returns:
            The probed name, if the probe was this node's own, else None. If it is not the sender's name, the
            ack proves nothing about the probed node: another node answers at the address configured for it.
        """
        probe = self._probes.get(message.probe_id)
        if probe is not None:
            if probe.target.name != message.name:
                self._counters["acks_from_wrong_member"] += 1
                return probe.target.name
            del self._probes[message.probe_id]
            self._adjust_health(-1)
            self._sender.send(message.sender, MessageKind.ACK_RECEIPT, message.probe_id, now)
            return probe.target.name
        indirect = self._indirect_probes.pop(message.probe_id, None)
        if indirect is not None:
            entry = member.gossip_entry(now)
            self._sender.send(
                indirect.requester,
                MessageKind.INDIRECT_ACK,
                indirect.probe_id,
                now,
                entries=(entry,),
                is_response=True,
            )
        return None

    def receive_ping_request(self, message: Message, now: float) -> None:
        """Ping a member on behalf of another node."""
        if (
            message.probe_target is None
            or message.probe_target[0] not in self._table.peer_names
            or len(self._indirect_probes) >= MAX_INDIRECT_PROBES
        ):
            self._counters["indirect_probes_rejected"] += 1
            return
        probe_id = self._new_probe_id()
        target = ProcessId(*message.probe_target)
        if self._sender.send(target, MessageKind.PING, probe_id, now, is_response=True):
            ends_at = now + INDIRECT_PROBE_TIMEOUT_MS
            self._indirect_probes[probe_id] = IndirectProbe(message.sender, message.probe_id, ends_at)

    def receive_indirect_ack(self, message: Message) -> None:
        """End a probe, as a member that was requested to ping the target got an ack."""
        if self._probes.pop(message.probe_id, None) is not None:
            self._counters["probes_acked_indirectly"] += 1

    def receive_indirect_nack(self, message: Message) -> None:
        """Record that a member that was requested to ping the target got no ack either."""
        probe = self._probes.get(message.probe_id)
        if probe is not None:
            probe.nacks += 1

    def _fail(self, probe: Probe, now: float) -> None:
        self._counters["probes_failed"] += 1
        if probe.requested_members and not probe.nacks:
            self._adjust_health(1)  # no requested member answered: this node itself may be slow
        member = self._table.find(probe.target.name, probe.target.incarnation)
        if member is not None and member.last_alive_at < probe.started_at:
            self._table.suspect(member, now)

    def _request_pings(self, probe_id: int, probe: Probe, now: float) -> None:
        if probe.target.incarnation == ANY_INCARNATION:
            return
        reachable = self._table.reachable_members
        count = min(MAX_PING_REQUESTS, 1 << (probe.pings - 1))
        # Larger than `count`, as some of the sample may be processes of the target or of this node.
        sample = self._rng.sample(reachable, min(count + 2 * MAX_INCARNATIONS, len(reachable)))
        excluded = (probe.target.name, self._table.local_name)
        for member in [member for member in sample if member.name not in excluded][:count]:
            if self._sender.send(
                member.process_id, MessageKind.PING_REQUEST, probe_id, now, probe_target=probe.target
            ):
                probe.requested_members += 1

    def _adjust_health(self, change: int) -> None:
        self.local_health_penalty = min(MAX_HEALTH_PENALTY, max(0, self.local_health_penalty + change))

    def _new_probe_id(self) -> int:
        return self._rng.getrandbits(PROBE_ID_BITS) + 1
