"""The processes of the configured nodes that one node knows, bounded in memory.

A member is a process: one that restarts under its name, or runs beside another process of that name during
an upgrade, is a separate member. Times are float milliseconds of this node's clock.
"""

from collections.abc import Iterable, Iterator

from flintridge.membership.member import Member

MAX_INCARNATIONS = 4  # per name: old and new process of an upgrade, and two that ended recently
# How long an ended process is remembered, so that late gossip entries about it do not add it again.
RETENTION_MS = 60_000.0
EXPIRY_INTERVAL_MS = RETENTION_MS / 16


class MemberRegistry:
    """Members by name and incarnation. Only processes of configured names are added."""

    def __init__(self, names: Iterable[str], now: float) -> None:
        """Create a registry without members.

        Args:
            names: The configured node names.
            now: The current time.
        """
        self._by_name: dict[str, dict[int, Member]] = {name: {} for name in names}
        self._next_expiry_at = now + RETENTION_MS

    def __iter__(self) -> Iterator[Member]:
        """All members, in the order of the configured names and then in the order of being added."""
        for members in self._by_name.values():
            yield from members.values()

    def members_named(self, name: str) -> list[Member]:
        """All known processes of the node `name`."""
        return list(self._by_name.get(name, {}).values())

    def find(self, name: str, incarnation: int) -> Member | None:
        """The member, or None if it is not known."""
        return self._by_name.get(name, {}).get(incarnation)

    def find_or_add(self, name: str, incarnation: int, now: float) -> Member | None:
        """Find a member, or add it if it is new.

        Returns:
            The member; None if its name is not configured, or already has MAX_INCARNATIONS reachable members.
            This bounds memory against a node that restarts again and again, or a sender that makes up
            processes.
        """
        members = self._by_name.get(name)
        if members is None:
            return None
        known = members.get(incarnation)
        if known is not None:
            return known
        if len(members) >= MAX_INCARNATIONS:
            unreachable = [member for member in members.values() if not member.reachable]
            if not unreachable:
                return None
            self._remove(min(unreachable, key=lambda member: member.last_alive_at))
        added = Member(name, incarnation, state_since=now)
        members[incarnation] = added
        return added

    def remove_expired(self, now: float) -> None:
        """Forget members that ended more than RETENTION_MS ago; checks every EXPIRY_INTERVAL_MS only."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_MS
        for member in [*self]:
            last_change_at = max(member.state_since, member.last_alive_at)
            if not member.reachable and now > last_change_at + RETENTION_MS:
                self._remove(member)

    def _remove(self, member: Member) -> None:
        del self._by_name[member.name][member.incarnation]
