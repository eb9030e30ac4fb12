"""The origin as a model: slots, a bounded wait, repeats of keyed writes, and the faults that it can have.

It knows no I/O and no clock: times (ms of the run) are passed in and never go back.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Origin
from flintridge.lab.world.deduplication import DeduplicationTable
from flintridge.lab.world.draws import draw, lognormal
from flintridge.lab.world.load_report import LoadFigures
from flintridge.lab.world.origin_job import OriginJob
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.sliding_window import SlidingWindowSum

MAX_CRASHES = 2  # by overload, in a run
MIN_READ_MS = 1e-3
DOWN_MODES = ("", "declines", "errors", "silent", "refuses")


class OriginModel:
    """The one origin. It goes on with requests that nobody waits for any more.

    Attributes:
        spec: What the scenario says of it.
        zone: Where it stands; empty for outside of every zone.
        slow: Times as long that a request takes which starts from now on; faults set it at any time.
        crashes: How often it crashed by overload.
        crashed_until: When it is back from the last such crash (ms of the run).
    """

    __slots__ = (
        "_accepted_writes",
        "_down",
        "_down_changed",
        "_fetches",
        "_finished",
        "_offered_work",
        "_read_ms",
        "_rng",
        "_running",
        "_sequence",
        "_waiting",
        "_waiting_ms",
        "crashed_until",
        "crashes",
        "slow",
        "spec",
        "zone",
    )

    def __init__(
        self, spec: Origin, rng: random.Random, down_changed: Callable[[], None] | None = None
    ) -> None:
        """Start the origin.

        Args:
            spec: What the scenario says of it.
            rng: Where its draws come from.
            down_changed: Called whenever `down` was set.
        """
        self.spec = spec
        self.zone = spec.zone or ""
        self.slow = 1.0
        self.crashes = 0
        self.crashed_until = -inf
        self._down = ""
        self._down_changed = down_changed
        self._rng = rng
        self._read_ms = max(MIN_READ_MS, draw(rng, spec.read_ms))
        self._running: list[tuple[float, int, OriginJob]] = []  # a heap: ends at, order, job
        self._sequence = 0
        self._waiting: deque[OriginJob] = deque()
        self._waiting_ms = 0.0  # their time in slots
        self._finished: list[OriginJob] = []
        self._fetches: dict[str, OriginJob] = {}  # by key, where reads share them
        self._accepted_writes = DeduplicationTable()
        self._offered_work = SlidingWindowSum(spec.fall_ms)

    @property
    def down(self) -> str:
        """How it is down, one of `DOWN_MODES`; empty for up.

        "declines" and "errors" respond so at once; "silent" takes requests and never starts them; "refuses"
        is its driver's task. Setting another one raises ValueError.
        """
        return self._down

    @down.setter
    def down(self, mode: str) -> None:
        if mode not in DOWN_MODES:
            raise ValueError(f"the origin cannot be {mode!r}")
        self._down = mode
        if self._down_changed is not None:
            self._down_changed()

    @property
    def read_ms(self) -> float:
        """Mean time of a read in a slot."""
        return self._read_ms

    @property
    def capacity(self) -> float:
        """Slot milliseconds a millisecond, without faults."""
        return float(self.spec.slots)

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def report(self) -> LoadFigures:
        """The load at present."""
        utilization = len(self._running) / self.spec.slots
        return {
            "inflight": float(self.in_flight),
            "queue": float(len(self._waiting)),
            "util": utilization,
        }

    def wait_ms(self) -> float:
        """What a request that comes now would wait for a slot, as far as can be told."""
        if len(self._running) < self.spec.slots:
            return 0.0
        return self._waiting_ms * self._slowdown() / self.spec.slots

    def _slowdown(self) -> float:
        return self.slow * (1.0 + self.spec.crowd * len(self._waiting) / self.spec.slots)

    # What comes in

    def arrive(self, now: float, job: OriginJob) -> float:
        """Count the work of a request, whatever becomes of it.

        Too much of it in a window crashes the origin (`crashed_until`).

        Args:
            now: Time of the run in milliseconds.
            job: The request; its time in a slot is drawn.

        Returns:
            Its time in a slot (ms).
        """
        spec = self.spec
        times = spec.write_times if job.write else 1.0
        job.service_ms = self._read_ms * lognormal(self._rng, spec.sigma) * times
        if spec.fall_multiple:
            self._count_offered(now, job.service_ms)
        return job.service_ms

    def offer(self, now: float, job: OriginJob) -> Outcome | None:
        """Start a request or let it wait.

        Args:
            now: Time of the run in milliseconds.
            job: The request.

        Returns:
            The outcome of a request that ends at once; None for one that ends later, or never.
        """
        self._run_to(now)
        if self._down == "silent":
            return None
        if now > job.expires_at or self._down in ("declines", "refuses"):
            job.outcome = Outcome.BUSY
            return job.outcome
        if self._down == "errors":
            job.outcome = Outcome.ERROR
            return job.outcome
        leader = self._find_leader(now, job)
        if leader is not None:
            return self._join(leader, job)
        if self.wait_ms() > self.spec.queue_s * 1000:
            job.outcome = Outcome.BUSY
            return job.outcome
        self._admit(now, job)
        return None

    def _find_leader(self, now: float, job: OriginJob) -> OriginJob | None:
        """The request whose response this one shares."""
        if job.idempotency_key:
            repeated = self._accepted_writes.find(now, job)
            if repeated is not None:
                return repeated
        if self.spec.shares_fetches and not job.write:
            return self._fetches.get(job.key)
        return None

    def _join(self, leader: OriginJob, job: OriginJob) -> Outcome | None:
        job.leader = leader
        if leader.outcome is None:
            leader.followers.append(job)
            return None
        job.outcome = leader.outcome
        job.executed = True
        return job.outcome

    def _admit(self, now: float, job: OriginJob) -> None:
        if job.idempotency_key:
            self._accepted_writes.add(now, job)
        if self.spec.shares_fetches and not job.write:
            self._fetches[job.key] = job
        if len(self._running) < self.spec.slots:
            self._start(now, job)
        else:
            self._waiting.append(job)
            self._waiting_ms += job.service_ms

    def _start(self, now: float, job: OriginJob) -> None:
        self._sequence += 1
        heapq.heappush(self._running, (now + job.service_ms * self._slowdown(), self._sequence, job))

    # Time

    def due(self) -> float | None:
        """When to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._finished:
            return -inf
        return self._running[0][0] if self._running else None

    def advance(self, now: float) -> list[OriginJob]:
        """Go on to `now` (ms).

        Returns:
            The jobs that ended since the last call, in their order; those that share a response follow the
            one that made it.
        """
        self._run_to(now)
        finished = self._finished
        self._finished = []
        return finished

    def _run_to(self, now: float) -> None:
        running = self._running
        while running and running[0][0] <= now:
            ended_at, _, job = heapq.heappop(running)
            self._finish(job, Outcome.RECEIPT if job.write else Outcome.VALUE, executed=True)
            self._start_waiting(ended_at)

    def _start_waiting(self, now: float) -> None:
        waiting = self._waiting
        while waiting and len(self._running) < self.spec.slots:
            job = waiting.popleft()
            self._waiting_ms = self._waiting_ms - job.service_ms if waiting else 0.0
            if now > job.expires_at and not job.followers:
                self._finish(job, Outcome.BUSY, executed=False)
            else:
                self._start(now, job)

    def _finish(self, job: OriginJob, outcome: Outcome, *, executed: bool) -> None:
        job.outcome = outcome
        job.executed = executed
        if not executed:
            self._accepted_writes.forget(job)
        if self._fetches.get(job.key) is job:
            del self._fetches[job.key]
        self._finished.append(job)
        for follower in job.followers:
            follower.outcome = outcome
            follower.executed = executed
            self._finished.append(follower)
        job.followers = []

    # Overload

    def _count_offered(self, now: float, service_ms: float) -> None:
        spec = self.spec
        offered_ms = self._offered_work.add(now, service_ms)
        limit_ms = spec.fall_multiple * self.capacity * spec.fall_ms
        if self.crashes < MAX_CRASHES and offered_ms > limit_ms:
            self.crashes += 1
            self.crashed_until = now + draw(self._rng, spec.down_s) * 1000
            self.drop_all()

    def drop_all(self) -> None:
        """Lose all requests that have not ended; they were never executed."""
        for _, _, job in self._running:
            self._accepted_writes.forget(job)
        for job in self._waiting:
            self._accepted_writes.forget(job)
        self._running.clear()
        self._waiting.clear()
        self._waiting_ms = 0.0
        self._fetches.clear()
        self._offered_work.clear()
