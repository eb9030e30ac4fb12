"""Selects a message's gossip entries: changes first, then newer evidence, then all members in rotation."""

import math
from random import Random

from flintridge.membership.member import Member
from flintridge.membership.messages import MAX_ENTRIES, GossipEntry, MemberState, encoded_size

# A member is queued again once its evidence is newer by this much than what was last queued.
EVIDENCE_ADVANCE_MS = 1_000.0
EVIDENCE_TRANSMISSIONS = 3  # number of messages that carry a member's newer evidence
# Largest fraction of the entries' bytes for changes, as many suspicions must not let other knowledge expire.
CHANGES_FRACTION = 0.5
# The same for changes and newer evidence together. The rest is for the rotation, so no member is left out.
EVIDENCE_FRACTION = 0.7
MAX_ROTATION_EXAMINED = 2 * MAX_ENTRIES  # members of the rotation that are examined for one message


class _Selection:
    """The entries selected for one message, in at most `max_bytes` bytes."""

    def __init__(self, max_bytes: float, now: float) -> None:
        self.entries: dict[Member, GossipEntry] = {}
        self._remaining_bytes = max_bytes
        self._now = now

    def try_add(self, member: Member, reserved_bytes: float, state: MemberState | None = None) -> bool:
        """Add a member's entry; False if fewer than `reserved_bytes` would be left after it."""
        entry = member.gossip_entry(self._now, state)
        remaining = self._remaining_bytes - encoded_size(entry)
        if remaining < reserved_bytes:
            return False
        self.entries[member] = entry
        self._remaining_bytes = remaining
        return True


class GossipQueue:
    """Orders the gossip about members. A member whose entry does not fit keeps its place."""

    def __init__(self, peer_count: int, rng: Random) -> None:
        """Create an empty queue.

        Args:
            peer_count: Number of configured peers; the more there are, the more messages carry a change.
            rng: Shuffles the rotation.
        """
        self.max_transmissions = max(4, math.ceil(4 * math.log10(peer_count + 2)))
        self._rng = rng
        # Changed members, indexed by the number of messages that shall still carry the change.
        self._changes: list[dict[Member, None]] = [{} for _ in range(self.max_transmissions + 1)]
        # Members with newer evidence, the latest last, and the number of messages that shall still carry it.
        self._newer_evidence: dict[Member, int] = {}
        self._rotation: list[Member] = []  # members left in this round; the next one is last

    def change_count(self) -> int:
        """Number of changes that are still to be sent."""
        return sum(map(len, self._changes))

    def queue_change(self, member: Member) -> None:
        """Queue a member's state change for `max_transmissions` messages."""
        self._set_transmissions(member, self.max_transmissions)

    def queue_evidence(self, member: Member, alive_at: float) -> None:
        """Queue newer evidence of a member, if it exceeds the last one queued by EVIDENCE_ADVANCE_MS."""
        if alive_at > member.gossiped_alive_at + EVIDENCE_ADVANCE_MS:
            member.gossiped_alive_at = alive_at
            self._newer_evidence.pop(member, None)
            self._newer_evidence[member] = EVIDENCE_TRANSMISSIONS

    def forget(self, member: Member) -> None:
        """Remove an unreachable member that is no longer known."""
        self._changes[member.remaining_transmissions].pop(member, None)
        self._newer_evidence.pop(member, None)

    def select(
        self,
        to: Member | None,
        max_bytes: float,
        includes_third_parties: bool,
        reachable: dict[Member, None],
        now: float,
    ) -> list[GossipEntry]:
        """Select the entries for one message, and count them as sent.

        Args:
            to: The receiver, if it is known; an accusation against it comes first, so that it can refute it.
            max_bytes: Size limit of the entries.
            includes_third_parties: Whether entries about members other than `to` may be selected.
            reachable: The members of the rotation.
            now: The current time, from which the entries' ages are counted.
        """
        selection = _Selection(max_bytes, now)
        if to is not None:
            accusation = to.pending_accusation
            if accusation is not None or to.state in (MemberState.SUSPECT, MemberState.FAILED):
                selection.try_add(to, 0.0, to.state if accusation is None else accusation)
        if includes_third_parties:
            self._add_changes(selection, to, (1 - CHANGES_FRACTION) * max_bytes)
            self._add_newer_evidence(selection, to, (1 - EVIDENCE_FRACTION) * max_bytes)
            self._add_rotation(selection, to, reachable)
        return [*selection.entries.values()][:MAX_ENTRIES]

    def _set_transmissions(self, member: Member, count: int) -> None:
        self._changes[member.remaining_transmissions].pop(member, None)
        member.remaining_transmissions = count
        if count:
            self._changes[count][member] = None

    def _add_changes(self, selection: _Selection, to: Member | None, reserved_bytes: float) -> None:
        for member in self._changes_that_fit(selection, to, reserved_bytes):
            self._set_transmissions(member, member.remaining_transmissions - 1)

    def _changes_that_fit(
        self, selection: _Selection, to: Member | None, reserved_bytes: float
    ) -> list[Member]:
        """Add changes that fit, the least often sent first, and return their members."""
        added: list[Member] = []
        for changes in reversed(self._changes):
            for member in changes:
                if member is to:
                    continue
                if not selection.try_add(member, reserved_bytes):
                    return added
                added.append(member)
        return added

    def _add_newer_evidence(self, selection: _Selection, to: Member | None, reserved_bytes: float) -> None:
        added: list[Member] = []
        for member in reversed(self._newer_evidence):
            if member is to or member.state >= MemberState.FAILED or member in selection.entries:
                continue
            if not selection.try_add(member, reserved_bytes):
                break
            added.append(member)
        for member in added:
            self._newer_evidence[member] -= 1
            if self._newer_evidence[member] <= 0:
                del self._newer_evidence[member]

    def _add_rotation(self, selection: _Selection, to: Member | None, reachable: dict[Member, None]) -> None:
        examined = 0
        refilled = False
        while examined < MAX_ROTATION_EXAMINED and len(selection.entries) < MAX_ENTRIES:
            if not self._rotation:
                if refilled or not reachable:
                    break  # all members were examined
                refilled = True
                self._rotation = [*reachable]
                self._rng.shuffle(self._rotation)
            member = self._rotation[-1]
            examined += 1
            if _is_eligible(member, selection, to) and not selection.try_add(member, 0.0):
                break
            self._rotation.pop()


def _is_eligible(member: Member, selection: _Selection, to: Member | None) -> bool:
    if member is to or member in selection.entries:
        return False
    return member.reachable and member.state < MemberState.FAILED
