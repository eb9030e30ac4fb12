"""The endpoint list as discovery publishes it: with a delay, in revisions, with the changes since each."""

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import StrEnum

MIN_REMEMBERED_CHANGES = 1000  # kept in addition to two changes per endpoint


class Phase(StrEnum):
    """Lifecycle phases of an endpoint; discovery sends these values."""

    IN_SERVICE = "in_service"
    TERMINATING = "terminating"
    TERMINATED = "terminated"


@dataclass(slots=True, frozen=True)
class Endpoint:
    """An entry of the list, which describes one server.

    Attributes:
        id: Id of the server.
        party: The party at whose addresses the server listens.
        zone: Zone of the server.
        kind: Name of the server's kind.
        cell: Cell of the server within its zone.
        weight: Weight of the server.
        phase: Lifecycle phase of the server.
        started_at: When the server started (ms of the run); 0 if it started long before the run.
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
        revision: Revision of the list that this change created.
        listed_at: When it was listed (ms of the run).
        endpoint: The endpoint as listed from this revision on.
    """

    revision: int
    listed_at: float
    endpoint: Endpoint


@dataclass(slots=True)
class PendingChange:
    """A change that is not listed yet.

    Attributes:
        observed_at: When the change happened (ms of the run).
        endpoint: The endpoint as it will be listed.
        by_silence: Whether the change lists the machine as terminated because it is silent.
        dropped: Whether the machine returned or really terminated first, so that the change is never listed.
    """

    observed_at: float
    endpoint: Endpoint
    by_silence: bool = False
    dropped: bool = False


class EndpointList:
    """Lists changes of endpoints after a delay; the changes of one endpoint keep their order.

    Attributes:
        revision: Current revision of the list.
        stale_since: Changes since this time (ms of the run) are not listed; None without such a fault.
    """

    def __init__(
        self, first_revision: int, notice_ms: Callable[[], float], silent_ms: Callable[[], float]
    ) -> None:
        """Create an empty list.

        Args:
            first_revision: Revision of the empty list.
            notice_ms: Draws the delay until a start, a drain or a termination is listed (ms).
            silent_ms: Draws how long a machine may be silent before it is listed as terminated (ms).
        """
        self.revision = first_revision
        self.stale_since: float | None = None
        self._notice_ms = notice_ms
        self._silent_ms = silent_ms
        self._listed: dict[str, EndpointChange] = {}  # latest by id, without terminated endpoints
        self._changes: deque[EndpointChange] = deque()
        self._pending: list[tuple[float, int, PendingChange]] = []  # heap: due time, sequence, change
        self._backlog: list[PendingChange] = []  # due changes that are held back while the list is stale
        self._sequence = 0
        self._last_due: dict[str, float] = {}
        self._observed: dict[str, Endpoint] = {}  # latest observed state by id, listed or not
        self._silences: dict[str, PendingChange] = {}

    def add(self, now: float, endpoint: Endpoint) -> None:
        """List an endpoint without delay, as one that has been running for a long time."""
        self._observed[endpoint.id] = endpoint
        self._list(now, endpoint)

    def observe(self, now: float, endpoint: Endpoint, silent: bool = False) -> None:
        """Observe the actual state of an endpoint, which is listed after a delay.

        Args:
            now: Time of the run in milliseconds.
            endpoint: Actual state of the endpoint.
            silent: Whether its machine is silent, so that discovery cannot learn the actual state.
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
        """Return when the next change is due (ms of the run); None if there is none."""
        return self._pending[0][0] if self._pending else None

    def advance(self, now: float) -> bool:
        """List all changes that are due at `now` (ms).

        Returns:
            Whether the list changed.
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
                # Makes a later return of the machine differ from the observed state, so that it is listed.
                self._observed[pending.endpoint.id] = pending.endpoint
            self._list(now, pending.endpoint)
        return self.revision != before

    def changes_since(self, revision: int) -> list[EndpointChange] | None:
        """Return the latest change of each endpoint after a revision; None if the complete list is needed."""
        if revision > self.revision or revision <= 0:
            return None
        if revision == self.revision:
            return []
        if not self._changes or revision < self._changes[0].revision - 1:
            return None
        return self.changes_between(revision, self.revision)

    def changes_between(self, after: int, up_to: int) -> list[EndpointChange]:
        """Return the latest change of each endpoint in a range of revisions, as far back as changes are kept.

        Args:
            after: The revision before the range.
            up_to: The last revision of the range.
        """
        latest: dict[str, EndpointChange] = {}
        for change in reversed(self._changes):
            if change.revision <= after:
                break
            if change.revision <= up_to:
                latest.setdefault(change.endpoint.id, change)
        return sorted(latest.values(), key=_by_revision)

    def snapshot(self) -> list[EndpointChange]:
        """Return all endpoints, ordered by id so that the order reveals nothing about them."""
        return [self._listed[name] for name in sorted(self._listed)]

    def revision_at(self, at: float) -> int:
        """Return the revision that was current at `at` (ms), as far back as changes are remembered."""
        for change in reversed(self._changes):
            if change.listed_at <= at:
                return change.revision
        return self._changes[0].revision - 1 if self._changes else self.revision

    def _schedule(
        self, now: float, delay_ms: float, endpoint: Endpoint, *, by_silence: bool = False
    ) -> PendingChange:
        # Keeps the order of an endpoint's changes: a fast restart must not be listed before the termination.
        due = max(now + delay_ms, self._last_due.get(endpoint.id, now))
        if not by_silence:  # such a change may be dropped and must not delay later ones
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
            if self._observed.get(endpoint.id) == endpoint:  # bounds memory in a long run with many new ids
                del self._observed[endpoint.id]
                self._last_due.pop(endpoint.id, None)
        else:
            self._listed[endpoint.id] = change
        while len(self._changes) > MIN_REMEMBERED_CHANGES + 2 * len(self._listed):
            self._changes.popleft()


def _by_revision(change: EndpointChange) -> int:
    return change.revision
