"""The list of servers as discovery knows it: late, in revisions, with what changed since each."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
KEPT = 1000  # changes kept at least, beside two for each entry


@dataclass(slots=True, frozen=True)
class Entry:
    """What the list says of a server."""

    id: str
    at: str  # the party at whose addresses it listens
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    phase: str = IN_SERVICE
    started_at: float = 0.0  # ms of the day; 0: long ago


@dataclass(slots=True, frozen=True)
class Change:
    revision: int
    listed_at: float  # ms of the day
    entry: Entry


@dataclass(slots=True)
class Pending:
    """A change that is not listed yet."""

    happened: float
    entry: Entry
    by_silence: bool = False
    dropped: bool = False  # the machine came back, or really died, before it was listed as gone


class Roll:
    """Entries become listed a while after what they tell of; the changes of one server keep their order."""

    def __init__(
        self, first_revision: int, notice_ms: Callable[[], float], silent_ms: Callable[[], float]
    ) -> None:
        """`notice_ms` draws how long a start, a drain or a death stays unlisted, `silent_ms` how long a
        machine may be silent before it is listed as gone."""
        self.revision = first_revision
        self.stale_since: float | None = None  # nothing that happened since then is listed
        self._notice_ms, self._silent_ms = notice_ms, silent_ms
        self._entries: dict[str, Change] = {}  # all but the terminated
        self._changes: deque[Change] = deque()
        self._due: list[tuple[float, int, Pending]] = []
        self._held: list[Pending] = []  # due, but kept back while stale
        self._order = 0
        self._last_due: dict[str, float] = {}
        self._wanted: dict[str, Entry] = {}  # the last word on each server, listed or not
        self._silent: dict[str, Pending] = {}

    def enlist(self, now: float, entry: Entry) -> None:
        """List it at once, as of a server that runs since long ago."""
        self._wanted[entry.id] = entry
        self._list(now, entry)

    def truth(self, now: float, entry: Entry, silent: bool = False) -> None:
        """What a server really is at `now`; a silent one cannot tell what it is."""
        if silent:
            if entry.id not in self._silent and entry.phase != TERMINATED:
                gone = replace(entry, phase=TERMINATED)
                self._silent[entry.id] = self._schedule(now, self._silent_ms(), gone, by_silence=True)
            return
        if (silence := self._silent.pop(entry.id, None)) is not None:
            silence.dropped = True
        if self._wanted.get(entry.id) != entry:
            self._wanted[entry.id] = entry
            self._schedule(now, self._notice_ms(), entry)

    def due(self) -> float | None:
        """When there may be something to list next (ms of the day)."""
        return self._due[0][0] if self._due else None

    def advance(self, now: float) -> bool:
        """List what is due; whether there was anything."""
        before = self.revision
        ready, self._held = self._held, []
        while self._due and self._due[0][0] <= now:
            ready.append(heapq.heappop(self._due)[2])
        for pending in ready:
            if pending.dropped:
                continue
            if self.stale_since is not None and pending.happened >= self.stale_since:
                self._held.append(pending)
                continue
            if pending.by_silence:
                self._wanted[pending.entry.id] = pending.entry  # so that a return is listed again
            self._list(now, pending.entry)
        return self.revision != before

    def since(self, revision: int) -> list[Change] | None:
        """What changed after this revision, the last word on each server; None: the whole list is needed."""
        if revision > self.revision or revision <= 0:
            return None
        if revision == self.revision:
            return []
        if not self._changes or revision < self._changes[0].revision - 1:
            return None
        return self.between(revision, self.revision)

    def between(self, after: int, upto: int) -> list[Change]:
        """The last word on each server within these revisions, as far back as changes are kept."""
        found: dict[str, Change] = {}
        for change in reversed(self._changes):
            if change.revision <= after:
                break
            if change.revision <= upto:
                found.setdefault(change.entry.id, change)
        return sorted(found.values(), key=_by_revision)

    def whole(self) -> list[Change]:
        """All entries by id, so that their order tells nothing."""
        return [self._entries[name] for name in sorted(self._entries)]

    def revision_at(self, at: float) -> int:
        """The revision that was listed at `at` or before, as far back as changes are kept."""
        for change in reversed(self._changes):
            if change.listed_at <= at:
                return change.revision
        return self._changes[0].revision - 1 if self._changes else self.revision

    def _schedule(self, now: float, delay: float, entry: Entry, by_silence: bool = False) -> Pending:
        # Guards the order of one server's changes: a quick restart must not be listed before its death.
        due = max(now + delay, self._last_due.get(entry.id, now))
        if not by_silence:  # which may be dropped, and then holds nothing up
            self._last_due[entry.id] = due
        self._order += 1
        pending = Pending(now, entry, by_silence)
        heapq.heappush(self._due, (due, self._order, pending))
        return pending

    def _list(self, now: float, entry: Entry) -> None:
        listed = self._entries.get(entry.id)
        if (listed.entry if listed else None) == entry or (not listed and entry.phase == TERMINATED):
            return
        self.revision += 1
        change = Change(self.revision, now, entry)
        self._changes.append(change)
        if entry.phase == TERMINATED:
            del self._entries[entry.id]
            if self._wanted.get(entry.id) == entry:  # guards a long day of new ids against growing
                del self._wanted[entry.id]
                self._last_due.pop(entry.id, None)
        else:
            self._entries[entry.id] = change
        while len(self._changes) > KEPT + 2 * len(self._entries):
            self._changes.popleft()


def _by_revision(change: Change) -> int:
    return change.revision
