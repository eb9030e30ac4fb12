"""Selects whom to probe next: reachable members in random order, and in some turns unreachable names."""

from enum import Enum, auto
from random import Random

from flintridge.membership.member_table import MemberTable
from flintridge.membership.messages import ANY_INCARNATION, ProcessId

UNREACHABLE_TURN_INTERVAL = 4  # one in this many probes prefers an unreachable name


class TargetGroup(Enum):
    """The groups of targets; each has its own rotation."""

    REACHABLE = auto()
    UNREACHABLE = auto()


class ProbeRotation:
    """Gives each target of a group one probe before any of them gets a second one."""

    def __init__(self, table: MemberTable, rng: Random) -> None:
        """Start without targets; the first call of `next_target` draws them."""
        self.targets: dict[TargetGroup, list[ProcessId]] = {group: [] for group in TargetGroup}
        self._table = table
        self._rng = rng
        self._turn = 0

    def next_target(self) -> ProcessId | None:
        """The target of the next probe, or None if there is no target at all."""
        self._turn += 1
        if not any(self.targets.values()):
            for group in TargetGroup:
                self.refill(group)
        order = [TargetGroup.REACHABLE, TargetGroup.UNREACHABLE]
        if self._turn % UNREACHABLE_TURN_INTERVAL == 0:
            order.reverse()
        for group in order:
            if not self.targets[group] and self._may_have_targets(group):
                self.refill(group)
            if self.targets[group]:
                return self.targets[group].pop()
        return None

    def refill(self, group: TargetGroup) -> None:
        """Begin a new round of a group, in a new random order."""
        members = [
            member
            for member in self._table.reachable_or_suspect_members
            if member.name != self._table.local_name
        ]
        if group is TargetGroup.REACHABLE:
            targets = [member.process_id for member in members]
        else:
            names = {member.name for member in members}
            targets = [
                ProcessId(name, ANY_INCARNATION) for name in self._table.peer_names if name not in names
            ]
        self._rng.shuffle(targets)
        self.targets[group] = targets

    def _may_have_targets(self, group: TargetGroup) -> bool:
        reachability = self._table.reachability
        return group is TargetGroup.REACHABLE or reachability.reachable < reachability.names
