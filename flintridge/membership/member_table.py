"""What one node knows about its members, merged from evidence whose age is proved.

Times are float milliseconds of this node's clock.
"""

from random import Random

from flintridge.membership.gossip_queue import GossipQueue
from flintridge.membership.member import Member
from flintridge.membership.member_filter import SALT_BITS, encode_filter, members_not_in
from flintridge.membership.member_registry import MemberRegistry
from flintridge.membership.messages import MAX_ENTRIES, GossipEntry, MemberState
from flintridge.membership.reachability import Reachability, ReachabilityTracker

MAX_CLOCK_DRIFT = 0.02  # largest fraction by which the rates of two clocks may differ
STATES = tuple(MemberState)  # indexed by value: cheaper than calling the enum


class MemberTable(MemberRegistry):
    """The members with their states, the gossip about them, and which of them are reachable.

    Attributes:
        local_name: Name of this node.
        incarnation: Incarnation of this process.
        refutations: How often this process has refuted a suspicion; sent with each of its messages.
        peer_names: Names of the fleet's other nodes, as configured.
    """

    def __init__(
        self, local_name: str, incarnation: int, names: tuple[str, ...], now: float, rng: Random
    ) -> None:
        """Create a table without members.

        Args:
            local_name: Name of this node.
            incarnation: Incarnation of this process.
            names: Names of the fleet's nodes, as configured; with or without this one.
            now: The current time.
            rng: Shuffles gossip, and salts filters.
        """
        self.local_name = local_name
        self.incarnation = incarnation
        self.refutations = 0
        self.peer_names = tuple(name for name in names if name != local_name)
        super().__init__((*self.peer_names, local_name), now)
        self._rng = rng
        self._gossip = GossipQueue(len(self.peer_names), rng)
        self._tracker = ReachabilityTracker(local_name, len(self.peer_names), now)
        self._suspects: dict[Member, None] = {}

    def _remove(self, member: Member) -> None:
        super()._remove(member)
        self._gossip.forget(member)
        self._tracker.forget(member)
        self._suspects.pop(member, None)

    # Evidence

    def record_message(self, member: Member, refutations: int, sent_at: float | None, now: float) -> None:
        """Record a message that was received from a member.

        Args:
            member: The sender.
            refutations: The sender's refutations, as the message states them.
            sent_at: The message was sent at this instant or later; None if nothing proves when.
            now: The current time.
        """
        if member.state is MemberState.LEFT:
            return
        if refutations > member.refutations:
            member.refutations = refutations
            member.pending_accusation = None
            if member.state is not MemberState.ALIVE:
                self._change_state(member, MemberState.ALIVE, now)
        if sent_at is None:
            return
        self._record_alive(member, sent_at)
        if sent_at > member.direct_alive_at:
            member.direct_alive_at = sent_at
        self._tracker.record_evidence(sent_at)
        if member.state is not MemberState.ALIVE and sent_at > member.state_since:
            # Its own message proves that it was alive after the accusation. Notify it of the accusation, so
            # that it refutes it towards the other nodes, which have not received this message.
            member.pending_accusation = member.state
            self._change_state(member, MemberState.ALIVE, now, gossiped=False)

    def merge_entry(
        self, entry: GossipEntry, sent_at: float, suspicion_ms: float, now: float, max_age_ms: float
    ) -> None:
        """Merge another node's gossip entry.

        Args:
            entry: The entry as received.
            sent_at: The entry was sent at this instant or later.
            suspicion_ms: How long a suspicion lasts.
            now: The current time.
            max_age_ms: An unknown member is not added on evidence older than this.
        """
        if entry.incarnation == self.incarnation and entry.name == self.local_name:
            self._refute(entry)
            return
        # A sender whose clock runs slow states ages that are too short, so each age is extended by the
        # maximum drift. Every node that forwards an entry adds the same small fraction of the age again.
        alive_at = sent_at - entry.age_ms / (1 - MAX_CLOCK_DRIFT)
        member = self.find(entry.name, entry.incarnation)
        if member is None:
            member = self._add_from_entry(entry, alive_at, now, max_age_ms)
        if member is None or member.state is MemberState.LEFT:
            return
        self._record_alive(member, alive_at)
        if alive_at > member.indirect_alive_at:
            member.indirect_alive_at = alive_at
        self._merge_state(member, entry, alive_at + suspicion_ms, now)

    def _refute(self, entry: GossipEntry) -> None:
        accused = entry.state in (MemberState.SUSPECT, MemberState.FAILED)
        if accused and entry.refutations >= self.refutations:
            self.refutations = entry.refutations + 1  # sent with every message from now on

    def _add_from_entry(
        self, entry: GossipEntry, alive_at: float, now: float, max_age_ms: float
    ) -> Member | None:
        """Add a member; None if the entry is old, as it must not bring back a member that was removed."""
        if STATES[entry.state] >= MemberState.FAILED:
            return None
        if alive_at < max(now - max_age_ms, self._tracker.valid_from):
            return None
        member = self.find_or_add(entry.name, entry.incarnation, now)
        if member is None:
            return None
        member.refutations = entry.refutations
        # In a process that has just started every member is new; newer evidence then covers the rest.
        if self._gossip.change_count() < MAX_ENTRIES:
            self._gossip.queue_change(member)
        return member

    def _merge_state(self, member: Member, entry: GossipEntry, suspected_until: float, now: float) -> None:
        """Merge an entry's state; `suspected_until` is one suspicion period after the entry's evidence."""
        state = STATES[entry.state]
        if state is MemberState.LEFT:
            self._change_state(member, state, now)
        elif entry.refutations > member.refutations:
            member.refutations = entry.refutations
            member.pending_accusation = None
            if state is not member.state:
                self._change_state(member, state, now)
        elif entry.refutations == member.refutations and state > member.state:
            if state is MemberState.FAILED and member.last_alive_at > suspected_until:
                state = (
                    MemberState.SUSPECT
                )  # this node has newer evidence than the node that declared it failed
            if state > member.state:
                self._change_state(member, state, now)

    def _record_alive(self, member: Member, alive_at: float) -> None:
        if not member.reachable:
            self._tracker.mark_changed(member)
        self._gossip.queue_evidence(member, alive_at)

    def _change_state(self, member: Member, state: MemberState, now: float, gossiped: bool = True) -> None:
        member.state = state
        member.state_since = now
        self._tracker.mark_changed(member)
        if state is MemberState.SUSPECT:
            self._suspects[member] = None
        else:
            self._suspects.pop(member, None)
        if gossiped:
            self._gossip.queue_change(member)

    # Suspicion

    def suspect(self, member: Member, now: float) -> None:
        """Suspect a member because a probe by this node failed, both directly and through others."""
        if member.state is MemberState.ALIVE:
            self._change_state(member, MemberState.SUSPECT, now)

    def resolve_suspicions(self, now: float, suspicion_ms: float) -> None:
        """End suspicions after `suspicion_ms`: alive if there is evidence since their start, else failed."""
        for member in [*self._suspects]:
            if now < member.state_since + suspicion_ms:
                continue
            if member.last_alive_at > member.state_since:
                self._change_state(member, MemberState.ALIVE, now, gossiped=False)
            else:
                self._change_state(member, MemberState.FAILED, now)

    # Outgoing gossip

    @property
    def max_transmissions(self) -> int:
        """Number of messages that carry a change of a member's state."""
        return self._gossip.max_transmissions

    def select_entries(
        self, to: Member | None, max_bytes: float, includes_third_parties: bool, now: float
    ) -> list[GossipEntry]:
        """Select the gossip entries for a message; see `GossipQueue.select`."""
        return self._gossip.select(to, max_bytes, includes_third_parties, self._tracker.members, now)

    def reachable_filter(self) -> bytes:
        """Encode which members are reachable here, for a state exchange that asks for the others."""
        return encode_filter(self._tracker.members, len(self.peer_names), self._rng.getrandbits(SALT_BITS))

    def reachable_not_in(self, peer_filter: bytes) -> list[Member]:
        """The reachable members that a peer's `reachable_filter` lacks; all of them if it sent none."""
        reachable = [member for member in self._tracker.members if member.state < MemberState.FAILED]
        return members_not_in(peer_filter, reachable)

    # Reachability

    @property
    def reachability(self) -> Reachability:
        """Reachability of the fleet as of the last update."""
        return self._tracker.view

    @property
    def evidence_valid_from(self) -> float:
        """Evidence from before this instant does not count."""
        return self._tracker.valid_from

    @property
    def reachable_members(self) -> list[Member]:
        """The members that were reachable at the last update."""
        return [*self._tracker.members]

    @property
    def reachable_or_suspect_members(self) -> list[Member]:
        """The members that were reachable at the last update, and those that are suspected."""
        return [*(self._tracker.members | self._suspects)]

    def is_reachable(self, member: Member, now: float, max_age_ms: float) -> bool:
        """Whether evidence at most `max_age_ms` old shows that the member is alive."""
        return self._tracker.is_reachable(member, now, max_age_ms)

    def update_reachability(self, now: float, max_age_ms: float) -> bool:
        """Update `reachability` to `now`; return whether the number of reachable names changed."""
        return self._tracker.update(self, now, max_age_ms)

    def reset_after_gap(self, now: float) -> None:
        """Discard all evidence as too old, since this node's own clock jumped."""
        self._tracker.reset(self, now)
        for member in self:
            if member.state is MemberState.SUSPECT:
                member.state_since = now  # restarts the suspicion: no refutation could be received in the gap

    def describe_state(self, member: Member, now: float, max_age_ms: float) -> str:
        """Describe a member's state for the admin API.

        Returns:
            `left`, `silent` (not reachable), `suspect`, `heard` (reachable by its own messages) or `through`
            (reachable by others' messages only).
        """
        if member.state is MemberState.LEFT:
            return "left"
        if not self.is_reachable(member, now, max_age_ms):
            return "silent"
        if member.state is MemberState.SUSPECT:
            return "suspect"
        oldest = max(now - max_age_ms, self._tracker.valid_from)
        return "heard" if member.direct_alive_at >= oldest else "through"
