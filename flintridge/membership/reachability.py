"""Which members are reachable, from the age of the evidence that they were alive."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from flintridge.membership.member import Member

# Where no message proved anything for so long, nobody is reachable: some messages are received each second.
ISOLATION_MS = 3_000.0


@dataclass(slots=True)
class Reachability:
    """What fraction of the fleet a node can reach, itself included, at one moment."""

    names: int  # of the fleet, itself included
    reachable: int  # names of which a process is reachable, itself included
    epoch: int  # changes whenever a process becomes reachable
    since: dict[int, float] = field(default_factory=dict)  # from when so many names were without a break

    @property
    def fraction(self) -> float:
        """Of the fleet's names, those that are reachable; 0 to 1."""
        return self.reachable / self.names

    def reachable_since(self, fraction: float) -> float | None:
        """From when on at least that fraction (0 to 1) was reachable without a break; None: it is not."""
        return self.since.get(max(1, math.ceil(fraction * self.names - 1e-9)))


class ReachabilityTracker:
    """Keeps the set of reachable members and the view of it. Times are float milliseconds."""

    def __init__(self, local_name: str, peer_count: int, now: float) -> None:
        """Start with this node alone.

        Args:
            local_name: Of this node, which is always reachable.
            peer_count: Configured peers.
            now: Evidence from before it does not count.
        """
        self.view = Reachability(peer_count + 1, 1, 0, {1: now})
        self.valid_from = now  # older evidence does not count
        self.members: dict[Member, None] = {}  # those that are reachable, in the order of becoming so
        self._local_name = local_name
        self._newest_evidence_at = now
        self._changed: dict[Member, None] = {}  # may have become reachable, or unreachable, since the update
        self._was_reset = False  # since the last update
        self._threshold = now  # at the last update
        self._oldest = math.inf  # no reachable member was last alive before it, at the last full update

    def mark_changed(self, member: Member) -> None:
        """Its state or evidence changed: the next update examines it."""
        self._changed[member] = None

    def forget(self, member: Member) -> None:
        """An unreachable member is no longer known."""
        self._changed.pop(member, None)

    def record_evidence(self, alive_at: float) -> None:
        """A message proved that somebody was alive at that instant."""
        self._newest_evidence_at = max(self._newest_evidence_at, alive_at)

    def is_reachable(self, member: Member, now: float, max_age_ms: float) -> bool:
        """Whether evidence at most `max_age_ms` old shows it alive."""
        return member.is_alive_since(self._threshold_at(now, max_age_ms))

    def update(self, members: Iterable[Member], now: float, max_age_ms: float) -> bool:
        """Bring the view up to `now`.

        Args:
            members: All that are known.
            now: The present instant.
            max_age_ms: Older evidence does not count.

        Returns:
            Whether the number of names that are reachable changed.
        """
        threshold = self._threshold_at(now, max_age_ms)
        any_changed = self._update_members(members, threshold)
        if not any_changed and not self._was_reset:
            return False
        self._was_reset = False
        reachable = 1 + len({member.name for member in self.members} - {self._local_name})
        return self._set_reachable_names(reachable, now)

    def reset(self, members: Iterable[Member], now: float) -> None:
        """Nobody is reachable before new evidence, which counts from `now`."""
        self.valid_from = now
        self._was_reset = True
        self.members.clear()
        for member in members:
            member.reachable = False

    def _threshold_at(self, now: float, max_age_ms: float) -> float:
        """Who is known to have been alive then or later is reachable."""
        if self._newest_evidence_at < now - ISOLATION_MS:
            return math.inf
        return max(now - max_age_ms, self.valid_from)

    def _update_members(self, members: Iterable[Member], threshold: float) -> bool:
        any_changed = False
        # Evidence that did not change can only have grown too old, and not before the oldest did.
        examines_all = threshold > self._oldest or threshold < self._threshold
        self._threshold = threshold
        if examines_all:
            self._oldest = math.inf
        for member in list(members) if examines_all else self._changed:
            reachable = member.is_alive_since(threshold)
            if reachable:
                self._oldest = min(self._oldest, member.last_alive_at)
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
