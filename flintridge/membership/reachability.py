"""Determines which members are reachable, by the age of the evidence that they were alive."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintridge.membership.member import Member

# Nobody is reachable once no message has proved anything for this long; normally some arrive each second.
ISOLATION_MS = 3_000.0


@dataclass(slots=True)
class Reachability:
    """How much of the fleet a node can reach at one moment, itself included."""

    names: int  # number of the fleet's node names, itself included
    reachable: int  # number of names with a reachable process, itself included
    epoch: int  # incremented whenever a process becomes reachable
    # By number of names: since when at least that many have been reachable without a break.
    since: dict[int, float] = field(default_factory=dict)

    @property
    def fraction(self) -> float:
        """Fraction of the fleet's names that are reachable, 0 to 1."""
        return self.reachable / self.names

    def reachable_since(self, fraction: float) -> float | None:
        """Since when that fraction (0 to 1) or more has been reachable without a break; None if it is not."""
        return self.since.get(max(1, math.ceil(fraction * self.names - 1e-9)))


class ReachabilityTracker:
    """Tracks the set of reachable members and the view of it. Times are float milliseconds."""

    def __init__(self, local_name: str, peer_count: int, now: float) -> None:
        """Start with only this node reachable.

        Args:
            local_name: Name of this node, which is always reachable.
            peer_count: Number of configured peers.
            now: The current time; evidence from before it does not count.
        """
        self.view = Reachability(peer_count + 1, 1, 0, {1: now})
        self.valid_from = now  # older evidence does not count
        self.members: dict[Member, None] = {}  # reachable members, in the order of becoming reachable
        self._local_name = local_name
        self._newest_evidence_at = now
        self._changed: dict[Member, None] = {}  # members whose reachability may have changed since
        self._was_reset = False  # whether `reset` was called since the last update
        self._threshold = now  # threshold of the last update
        # No reachable member's evidence was older than this at the last full update.
        self._oldest_evidence_at = math.inf

    def mark_changed(self, member: Member) -> None:
        """Have the next update examine a member whose state or evidence changed."""
        self._changed[member] = None

    def forget(self, member: Member) -> None:
        """Remove an unreachable member that is no longer known."""
        self._changed.pop(member, None)

    def record_evidence(self, alive_at: float) -> None:
        """Record that a message proved some member to have been alive at `alive_at`."""
        self._newest_evidence_at = max(self._newest_evidence_at, alive_at)

    def is_reachable(self, member: Member, now: float, max_age_ms: float) -> bool:
        """Whether evidence at most `max_age_ms` old shows that the member is alive."""
        return member.is_alive_since(self._threshold_at(now, max_age_ms))

    def update(self, members: Iterable[Member], now: float, max_age_ms: float) -> bool:
        """Update the view to `now`.

        Args:
            members: All known members.
            now: The current time.
            max_age_ms: Evidence older than this does not count.

        Returns:
            Whether the number of reachable names changed.
        """
        threshold = self._threshold_at(now, max_age_ms)
        any_changed = self._update_members(members, threshold)
        if not any_changed and not self._was_reset:
            return False
        self._was_reset = False
        reachable = 1 + len({member.name for member in self.members} - {self._local_name})
        return self._set_reachable_names(reachable, now)

    def reset(self, members: Iterable[Member], now: float) -> None:
        """Make all members unreachable until there is evidence from after `now`."""
        self.valid_from = now
        self._was_reset = True
        self.members.clear()
        for member in members:
            member.reachable = False

    def _threshold_at(self, now: float, max_age_ms: float) -> float:
        """A member is reachable if it is known to have been alive at this instant or later."""
        if self._newest_evidence_at < now - ISOLATION_MS:
            return math.inf
        return max(now - max_age_ms, self.valid_from)

    def _update_members(self, members: Iterable[Member], threshold: float) -> bool:
        any_changed = False
        # Unchanged evidence can only expire, and none of it expires before the oldest. So all members are
        # examined only then, and when the threshold moves back.
        examines_all = threshold > self._oldest_evidence_at or threshold < self._threshold
        self._threshold = threshold
        if examines_all:
            self._oldest_evidence_at = math.inf
        for member in list(members) if examines_all else self._changed:
            reachable = member.is_alive_since(threshold)
            if reachable:
                self._oldest_evidence_at = min(self._oldest_evidence_at, member.last_alive_at)
            if reachable is member.reachable:
                continue
            member.reachable = reachable
            any_changed = True
            if reachable:
                self.members[member] = None
                self.view.epoch += 1
            else:
                del self.members[member]
        self._changed.clear()
        return any_changed

    def _set_reachable_names(self, reachable: int, now: float) -> bool:
        view = self.view
        if reachable == view.reachable:
            return False
        for count in range(view.reachable + 1, reachable + 1):
            view.since[count] = now
        for count in range(reachable + 1, view.reachable + 1):
            view.since.pop(count, None)
        view.reachable = reachable
        return True
