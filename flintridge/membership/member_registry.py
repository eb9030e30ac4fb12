"""The processes of configured names that one node knows, bounded in memory.

A member is a process: one that starts anew under its name, or runs beside another of the name in an upgrade,
is a member of its own. Times are float milliseconds of this node's clock.
"""

from collections.abc import Iterable, Iterator

from flintridge.membership.member import Member

MAX_INCARNATIONS = 4  # of a name: old and new of an upgrade, and two that ended lately
# An ended process is remembered for so long, so that late entries of it make it known no more.
RETENTION_MS = 60_000.0
EXPIRY_INTERVAL_MS = RETENTION_MS / 16


class MemberRegistry:
    """Members by name and incarnation. No process of any name that is not configured is ever added."""

    def __init__(self, names: Iterable[str], now: float) -> None:
        """Create a registry without members.

        Args:
            names: Those that are configured.
            now: The present instant.
        """
        self._by_name: dict[str, dict[int, Member]] = {name: {} for name in names}
        self._next_expiry_at = now + RETENTION_MS

    def __iter__(self) -> Iterator[Member]:
        """All members, by name as configured, then in the order of being added."""
        for members in self._by_name.values():
            yield from members.values()

    def members_named(self, name: str) -> list[Member]:
        """All known processes of a name."""
        return list(self._by_name.get(name, {}).values())

    def find(self, name: str, incarnation: int) -> Member | None:
        """The member, or None where it is not known."""
        return self._by_name.get(name, {}).get(incarnation)

    def find_or_add(self, name: str, incarnation: int, now: float) -> Member | None:
        """The member, added where it is new.

        Returns:
            None where its name is not configured, or has as many members as it may. Guards memory against
            whoever starts again and again, or makes processes up.
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
        """Forget members that ended long ago; looks at them every EXPIRY_INTERVAL_MS only."""
        if now < self._next_expiry_at:
            return
        self._next_expiry_at = now + EXPIRY_INTERVAL_MS
        for member in [*self]:
            last_change_at = max(member.state_since, member.last_alive_at)
            if not member.reachable and now > last_change_at + RETENTION_MS:
                self._remove(member)

    def _remove(self, member: Member) -> None:
        del self._by_name[member.name][member.incarnation]
