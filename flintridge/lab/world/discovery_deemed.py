"""When a node counts as told of the list although it was not, or asked for nothing.

It leans to the node's side: what might excuse it (a cut link, a call that failed, a pause) puts the moment
off.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from flintridge.lab.world.discovery_list import Change, Roll

WATCH_GAP_MS = 200.0  # a watch goes on if the next call comes within this of an answer
PLAIN_MS = 6000.0  # after which an answer counts as told, arrived or not,
WAITED_MS = 2000.0  # and after the wait of a call that might wait
RELOAD_MS = 4000.0  # after SIGHUP
FAILED_TIMES = 4.0  # as long after a failed call


@dataclass(slots=True)
class Standing:
    """What discovery knows of its dealings with a node's process."""

    told: int  # the revision up to which it is told
    contact: float  # ms of the day when it last asked, or its watch last held
    failed: bool = False  # its last call did
    paused: bool = False
    open: dict[int, float] = field(default_factory=dict)  # its calls: when an answer counts as told
    owed: list[tuple[float, int]] = field(default_factory=list)  # from then on, up to this revision


class Deemed:
    """`cut` tells whether no call of a node can come through at present."""

    def __init__(self, roll: Roll, ask_within_ms: float, cut: Callable[[str], bool]) -> None:
        self._roll = roll
        self._ask_within_ms = ask_within_ms
        self._cut = cut
        self._nodes: dict[str, Standing] = {}

    def started(self, now: float, node: str, revision: int) -> None:
        """A new process, told of the list as its configuration holds it."""
        self._nodes[node] = Standing(revision, now)

    def ended(self, node: str) -> None:
        self._nodes.pop(node, None)

    def paused(self, now: float, node: str, on: bool) -> None:
        """A process that stands still can ask for nothing; its time runs again from its going on."""
        if (standing := self._nodes.get(node)) is not None:
            standing.paused = on
            standing.contact = max(standing.contact, now)

    def asked(self, now: float, node: str, key: int, until: float) -> None:
        """A call arrived; `until`: the end of its wait, in the past for one that may not wait."""
        if (standing := self._nodes.get(node)) is not None:
            standing.contact = now
            standing.open[key] = until + WAITED_MS if until > now else now + PLAIN_MS

    def answered(self, now: float, node: str, key: int, revision: int, watches: bool, left: bool) -> None:
        """An answer was written; `left`: its bytes are on their way."""
        standing = self._nodes.get(node)
        if standing is None:
            return
        counts_at = standing.open.pop(key, now + PLAIN_MS)
        standing.contact = now + (WATCH_GAP_MS if watches else 0.0)
        standing.failed = not left
        if left:
            standing.told = max(standing.told, revision)
        else:
            standing.owed.append((max(counts_at, now), revision))

    def failed(self, now: float, node: str, key: int) -> None:
        """A call ended in an error, or was never answered."""
        if (standing := self._nodes.get(node)) is not None:
            standing.open.pop(key, None)
            standing.contact, standing.failed = now, True

    def hung_up(self, now: float, node: str, key: int, broken: bool) -> None:
        """The node left a call before its answer; that is no failed call unless its time was over."""
        standing = self._nodes.get(node)
        if standing is None or key not in standing.open:
            return
        counts_at = standing.open.pop(key)
        standing.contact = now
        if broken or now >= counts_at - WAITED_MS:
            standing.failed = True

    def unreachable(self, now: float, node: str) -> None:
        """No call can come through at `now`: as good as one that failed."""
        if (standing := self._nodes.get(node)) is not None:
            standing.contact, standing.failed = max(standing.contact, now), True

    def reloaded(self, now: float, node: str) -> None:
        """SIGHUP with another address: a sound node asks there at once."""
        if (standing := self._nodes.get(node)) is not None:
            standing.owed.append((now + RELOAD_MS, self._roll.revision))

    def check(self, now: float) -> list[tuple[str, int, list[Change]]]:
        """Who counts as told by `now` without having been: the node, the revision, and what it is told of.

        Each change is deemed told once.
        """
        found: list[tuple[str, int, list[Change]]] = []
        for node, standing in self._nodes.items():
            if standing.told == self._roll.revision:
                standing.owed.clear()
                continue
            if standing.paused:
                continue
            if self._cut(node):
                self.unreachable(now, node)
                continue
            upto = max(self._owed(now, standing), self._silent(now, standing))
            if upto > standing.told:
                changes = self._roll.between(standing.told, upto)
                standing.told = upto
                if changes:
                    found.append((node, upto, changes))
        return found

    def _owed(self, now: float, standing: Standing) -> int:
        ripe = [revision for at, revision in standing.owed if at <= now]
        if ripe:
            standing.owed = [(at, revision) for at, revision in standing.owed if at > now]
        return max(ripe, default=0)

    def _silent(self, now: float, standing: Standing) -> int:
        """The revision of so long ago that a node which asks for nothing counts as told of it."""
        within = self._ask_within_ms * (FAILED_TIMES if standing.failed else 1.0)
        if standing.open or standing.contact + within > now:
            return 0
        return self._roll.revision_at(now - within)
