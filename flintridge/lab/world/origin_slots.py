"""The slots of the origin, and the requests that wait for one."""

import heapq
from collections import deque
from collections.abc import Iterator

from flintridge.lab.scenario.model import Origin
from flintridge.lab.world.origin_job import OriginJob


class OriginSlots:
    """Each slot runs one request; the others wait in their order.

    Attributes:
        slow: Times as long that a request takes which starts from now on.
    """

    __slots__ = ("_running", "_sequence", "_spec", "_waiting", "_waiting_ms", "slow")

    def __init__(self, spec: Origin) -> None:
        """Start with no request."""
        self.slow = 1.0
        self._spec = spec
        self._running: list[tuple[float, int, OriginJob]] = []  # a heap: ends at, order, job
        self._sequence = 0
        self._waiting: deque[OriginJob] = deque()
        self._waiting_ms = 0.0  # their time in slots

    @property
    def running(self) -> int:
        """How many requests run."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._waiting)

    def jobs(self) -> Iterator[OriginJob]:
        """All requests that run or wait."""
        for _, _, job in self._running:
            yield job
        yield from self._waiting

    def wait_ms(self) -> float:
        """What a request that comes now would wait, as far as can be told."""
        if len(self._running) < self._spec.slots:
            return 0.0
        return self._waiting_ms * self._slowdown() / self._spec.slots

    def add(self, now: float, job: OriginJob) -> None:
        """Start a request at `now` (ms), or let it wait."""
        if len(self._running) < self._spec.slots:
            self._start(now, job)
        else:
            self._waiting.append(job)
            self._waiting_ms += job.service_ms

    def next_end(self) -> float | None:
        """When a request ends next (ms of the run)."""
        return self._running[0][0] if self._running else None

    def pop_ended(self) -> OriginJob:
        """Take out the request that ends next."""
        return heapq.heappop(self._running)[2]

    def start_waiting(self, now: float) -> list[OriginJob]:
        """Start requests in the slots that are free at `now` (ms).

        Returns:
            Those that nobody waits for any more, which are not started.
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
