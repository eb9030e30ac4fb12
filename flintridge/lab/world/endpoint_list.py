"""The endpoint list as discovery knows it: late, in revisions, with what changed since each."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

MIN_REMEMBERED_CHANGES = 1000  # beside two for each endpoint


class Phase(StrEnum):
    """Where an endpoint is in its life; the values are those that discovery sends."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """What the list says of a server.

    Attributes:
        id: Its id.
        party: At whose addresses it listens.
        zone: Where it stands.
        kind: Name of its kind.
        cell: Its cell in that zone.
        weight: Its weight.
        phase: Where it is in its life.
        started_at: When it started (ms of the run); 0 for long ago.
    """

    id: str
    party: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    phase: Phase = Phase.IN_SERVICE
    started_at: float = 0.0


@dataclass(slots=True, frozen=True)
class EndpointChange:
    """A change of the list.

    Attributes:
        revision: Of the list, by this change.
        listed_at: When it was listed (ms of the run).
        endpoint: The endpoint as it is listed since.
    """

    revision: int
    listed_at: float
    endpoint: Endpoint


@dataclass(slots=True)
class PendingChange:
    """A change that is not listed yet.

    Attributes:
        observed_at: When it came about (ms of the run).
        endpoint: What will be listed.
        by_silence: Whether the machine is listed as terminated because nothing was heard of it.
        dropped: Whether the machine came back, or really terminated, before that was listed.
    """

    observed_at: float
    endpoint: Endpoint
    by_silence: bool = False
    dropped: bool = False


class EndpointList:
    """Endpoints become listed a while after what happens to them; the changes of one keep their order.

    Attributes:
        revision: Of the list at present.
        stale_since: Nothing that came about since then is listed (ms of the run); None for no such fault.
    """

    def __init__(
        self, first_revision: int, notice_ms: Callable[[], float], silent_ms: Callable[[], float]
    ) -> None:
        """Make an empty list.

        Args:
            first_revision: Its revision.
            notice_ms: Draws how long a start, a drain or a termination stays unlisted (ms).
            silent_ms: Draws how long a machine may be silent before it is listed as terminated (ms).
        """
        self.revision = first_revision
        self.stale_since: float | None = None
        self._notice_ms = notice_ms
        self._silent_ms = silent_ms
        self._listed: dict[str, EndpointChange] = {}  # all but the terminated
        self._changes: deque[EndpointChange] = deque()
        self._pending: list[tuple[float, int, PendingChange]] = []  # a heap: due at, order, change
        self._backlog: list[PendingChange] = []  # due, but not listed while the list is stale
        self._sequence = 0
        self._last_due: dict[str, float] = {}
        self._observed: dict[str, Endpoint] = {}  # the latest of each endpoint, listed or not
        self._silences: dict[str, PendingChange] = {}

    def add(self, now: float, endpoint: Endpoint) -> None:
        """List an endpoint at once, as one that runs since long ago."""
        self._observed[endpoint.id] = endpoint
        self._list(now, endpoint)

    def observe(self, now: float, endpoint: Endpoint, silent: bool = False) -> None:
        """Take what an endpoint really is; it is listed later.

        Args:
            now: Time of the run in milliseconds.
            endpoint: What it is.
            silent: Whether nothing is heard of its machine, which then cannot tell what it is.
        """
        if silent:
            if endpoint.id not in self._silences and endpoint.phase != Phase.TERMINATED:
                terminated = replace(endpoint, phase=Phase.TERMINATED)
                pending = self._schedule(now, self._silent_ms(), terminated, by_silence=True)
                self._silences[endpoint.id] = pending
            return
        silence = self._silences.pop(endpoint.id, None)
        if silence is not None:
            silence.dropped = True
        if self._observed.get(endpoint.id) != endpoint:
            self._observed[endpoint.id] = endpoint
            self._schedule(now, self._notice_ms(), endpoint)

    def due(self) -> float | None:
        """When there may be something to list next (ms of the run)."""
        return self._pending[0][0] if self._pending else None

    def advance(self, now: float) -> bool:
        """List what is due at `now` (ms).

        Returns:
            Whether there was anything.
        """
        before = self.revision
        ready = self._backlog
        self._backlog = []
        while self._pending and self._pending[0][0] <= now:
            ready.append(heapq.heappop(self._pending)[2])
        for pending in ready:
            if pending.dropped:
                continue
            if self.stale_since is not None and pending.observed_at >= self.stale_since:
                self._backlog.append(pending)
                continue
            if pending.by_silence:
                # So that a return is listed again.
                self._observed[pending.endpoint.id] = pending.endpoint
            self._list(now, pending.endpoint)
        return self.revision != before

    def changes_since(self, revision: int) -> list[EndpointChange] | None:
        """The latest change of each endpoint after this revision; None: the complete list is needed."""
        if revision > self.revision or revision <= 0:
            return None
        if revision == self.revision:
            return []
        if not self._changes or revision < self._changes[0].revision - 1:
            return None
        return self.changes_between(revision, self.revision)

    def changes_between(self, after: int, up_to: int) -> list[EndpointChange]:
        """The latest change of each endpoint within these revisions, as far back as changes are remembered.

        Args:
            after: The revision before the first of them.
            up_to: The last of them.
        """
        latest: dict[str, EndpointChange] = {}
        for change in reversed(self._changes):
            if change.revision <= after:
                break
            if change.revision <= up_to:
                latest.setdefault(change.endpoint.id, change)
        return sorted(latest.values(), key=_by_revision)

    def snapshot(self) -> list[EndpointChange]:
        """All endpoints by id, so that their order tells nothing."""
        return [self._listed[name] for name in sorted(self._listed)]

    def revision_at(self, at: float) -> int:
        """The revision that was listed at `at` (ms) or before, as far back as changes are remembered."""
        for change in reversed(self._changes):
            if change.listed_at <= at:
                return change.revision
        return self._changes[0].revision - 1 if self._changes else self.revision

    def _schedule(
        self, now: float, delay_ms: float, endpoint: Endpoint, *, by_silence: bool = False
    ) -> PendingChange:
        # Guards the order of one endpoint's changes: a quick restart must not be listed before its end.
        due = max(now + delay_ms, self._last_due.get(endpoint.id, now))
        if not by_silence:  # which may be dropped, and then delays nothing
            self._last_due[endpoint.id] = due
        self._sequence += 1
        pending = PendingChange(now, endpoint, by_silence)
        heapq.heappush(self._pending, (due, self._sequence, pending))
        return pending

    def _list(self, now: float, endpoint: Endpoint) -> None:
        listed = self._listed.get(endpoint.id)
        if listed is None and endpoint.phase == Phase.TERMINATED:
            return
        if listed is not None and listed.endpoint == endpoint:
            return
        self.revision += 1
        change = EndpointChange(self.revision, now, endpoint)
        self._changes.append(change)
        if endpoint.phase == Phase.TERMINATED:
            del self._listed[endpoint.id]
            if self._observed.get(endpoint.id) == endpoint:  # guards a long run of new ids against growing
                del self._observed[endpoint.id]
                self._last_due.pop(endpoint.id, None)
        else:
            self._listed[endpoint.id] = change
        while len(self._changes) > MIN_REMEMBERED_CHANGES + 2 * len(self._listed):
            self._changes.popleft()


def _by_revision(change: EndpointChange) -> int:
    return change.revision
