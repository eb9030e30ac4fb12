"""The slots of the origin, and the requests that wait for a slot."""

import heapq
from collections import deque
from collections.abc import Iterator

from flintridge.lab.scenario.model import Origin
from flintridge.lab.world.origin_job import OriginJob


class OriginSlots:
    """Each slot runs one request; the other requests wait first in, first out.

    Attributes:
        slow: Factor on the service time of requests that start from now on.
    """

    __slots__ = ("_running", "_sequence", "_spec", "_waiting", "_waiting_ms", "slow")

    def __init__(self, spec: Origin) -> None:
        """Start with no request."""
        self.slow = 1.0
        self._spec = spec
        self._running: list[tuple[float, int, OriginJob]] = []  # heap: end, sequence, job
        self._sequence = 0
        self._waiting: deque[OriginJob] = deque()
        self._waiting_ms = 0.0  # service time of all waiting requests

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def jobs(self) -> Iterator[OriginJob]:
        """Yield all requests that run or wait."""
        for _, _, job in self._running:
            yield job
        yield from self._waiting

    def wait_ms(self) -> float:
        """Estimate how long a request that arrives now would wait for a slot (ms)."""
        if len(self._running) < self._spec.slots:
            return 0.0
        return self._waiting_ms * self._slowdown() / self._spec.slots

    def add(self, now: float, job: OriginJob) -> None:
        """Start a request at `now` (ms), or queue it if no slot is free."""
        if len(self._running) < self._spec.slots:
            self._start(now, job)
        else:
            self._waiting.append(job)
            self._waiting_ms += job.service_ms

    def next_end(self) -> float | None:
        """Return when the next request ends (ms of the run); None if no request runs."""
        return self._running[0][0] if self._running else None

    def pop_ended(self) -> OriginJob:
        """Remove and return the request that ends next."""
        return heapq.heappop(self._running)[2]

    def start_waiting(self, now: float) -> list[OriginJob]:
        """Start waiting requests in the slots that are free at `now` (ms).

        Returns:
            The requests that are not started because their callers no longer wait.
        """
        expired: list[OriginJob] = []
        waiting = self._waiting
        while waiting and len(self._running) < self._spec.slots:
            job = waiting.popleft()
            self._waiting_ms = self._waiting_ms - job.service_ms if waiting else 0.0
            if now > job.expires_at and not job.followers:
                expired.append(job)
            else:
                self._start(now, job)
        return expired

    def clear(self) -> None:
        """Drop all requests."""
        self._running.clear()
        self._waiting.clear()
        self._waiting_ms = 0.0

    def _start(self, now: float, job: OriginJob) -> None:
        self._sequence += 1
        heapq.heappush(self._running, (now + job.service_ms * self._slowdown(), self._sequence, job))

    def _slowdown(self) -> float:
        return self.slow * (1.0 + self._spec.crowd * len(self._waiting) / self._spec.slots)
