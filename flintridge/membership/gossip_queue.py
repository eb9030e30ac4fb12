"""Which gossip entries a message carries: changes first, then newer evidence, then all members in turn."""

import math
from random import Random

from flintridge.membership.member import Member
from flintridge.membership.messages import MAX_ENTRIES, GossipEntry, MemberState, encoded_size

EVIDENCE_ADVANCE_MS = 1_000.0  # a member with evidence newer by so much than was queued is queued again,
EVIDENCE_TRANSMISSIONS = 3  # for so many messages
# Of the bytes for entries, at the most: many suspicions must not make all other knowledge old.
CHANGES_FRACTION = 0.5
# Changes and newer evidence together; the rest is for members in turn, so that none is left out.
EVIDENCE_FRACTION = 0.7
MAX_TURNS_EXAMINED = 2 * MAX_ENTRIES  # members in turn that one message looks at


class _Selection:
    """The entries of one message, in at most so many bytes."""

    def __init__(self, max_bytes: float, now: float) -> None:
        self.entries: dict[Member, GossipEntry] = {}
        self._remaining_bytes = max_bytes
        self._now = now

    def try_add(self, member: Member, reserved_bytes: float, state: MemberState | None = None) -> bool:
        """False where fewer than `reserved_bytes` would be left after it."""
        entry = member.gossip_entry(self._now, state)
        remaining = self._remaining_bytes - encoded_size(entry)
        if remaining < reserved_bytes:
            return False
        self.entries[member] = entry
        self._remaining_bytes = remaining
        return True


class GossipQueue:
    """Orders the gossip on members. Only entries that fit use up their turn."""

    def __init__(self, peer_count: int, rng: Random) -> None:
        """Create a queue in which nothing waits.

        Args:
            peer_count: Configured peers; a change is sent in more messages where they are more.
            rng: Shuffles the turns.
        """
        self.max_transmissions = max(4, math.ceil(4 * math.log10(peer_count + 2)))
        self._rng = rng
        # By the messages that shall still carry the change.
        self._changes: list[dict[Member, None]] = [{} for _ in range(self.max_transmissions + 1)]
        # Members with newer evidence, the latest last, with the messages that shall still carry it.
        self._newer_evidence: dict[Member, int] = {}
        self._turns: list[Member] = []  # the next one last

    def change_count(self) -> int:
        """Changes that are still to be sent."""
        return sum(map(len, self._changes))

    def queue_change(self, member: Member) -> None:
        """Its state changed: as many messages as may be shall carry that."""
        self._set_transmissions(member, self.max_transmissions)

    def queue_evidence(self, member: Member, alive_at: float) -> None:
        """It was alive at `alive_at`, which is sent where it is much newer than what was sent before."""
        if alive_at > member.gossiped_alive_at + EVIDENCE_ADVANCE_MS:
            member.gossiped_alive_at = alive_at
            self._newer_evidence.pop(member, None)
            self._newer_evidence[member] = EVIDENCE_TRANSMISSIONS

    def forget(self, member: Member) -> None:
        """An unreachable member is no longer known."""
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
        """The entries for one message, which count as sent.

        Args:
            to: Whom it goes to, where that is known: it is first notified of what it is accused of.
            max_bytes: That the entries may take.
            includes_third_parties: Whether it may carry entries of anybody but `to`.
            reachable: Those that have turns.
            now: For the entries' ages.
        """
        selection = _Selection(max_bytes, now)
        if to is not None:
            accusation = to.pending_accusation
            if accusation is not None or to.state in (MemberState.SUSPECT, MemberState.FAILED):
                selection.try_add(to, 0.0, to.state if accusation is None else accusation)
        if includes_third_parties:
            self._add_changes(selection, to, (1 - CHANGES_FRACTION) * max_bytes)
            self._add_newer_evidence(selection, to, (1 - EVIDENCE_FRACTION) * max_bytes)
            self._add_turns(selection, to, reachable)
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
        """Those that were sent least often come first."""
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

    def _add_turns(self, selection: _Selection, to: Member | None, reachable: dict[Member, None]) -> None:
        examined = 0
        refilled = False
        while examined < MAX_TURNS_EXAMINED and len(selection.entries) < MAX_ENTRIES:
            if not self._turns:
                if refilled or not reachable:
                    break  # all are in it
                refilled = True
                self._turns = [*reachable]
                self._rng.shuffle(self._turns)
            member = self._turns[-1]
            examined += 1
            if _may_carry(member, selection, to) and not selection.try_add(member, 0.0):
                break
            self._turns.pop()


def _may_carry(member: Member, selection: _Selection, to: Member | None) -> bool:
    if member is to or member in selection.entries:
        return False
    return member.reachable and member.state < MemberState.FAILED
