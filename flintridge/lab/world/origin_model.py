"""Model of the origin: slots, a queue with a bounded wait, deduplication of keyed writes, and faults.

It does no I/O and reads no clock: times (ms of the run) are passed in and never decrease.
"""

import random
from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Origin
from flintridge.lab.world.deduplication import DeduplicationTable
from flintridge.lab.world.draws import draw, lognormal
from flintridge.lab.world.load_report import LoadFigures
from flintridge.lab.world.origin_job import OriginJob
from flintridge.lab.world.origin_slots import OriginSlots
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.sliding_window import SlidingWindowSum

MAX_CRASHES = 2  # maximum number of crashes from overload in one run
MIN_READ_MS = 1e-3
DOWN_MODES = ("", "declines", "errors", "silent", "refuses")


class OriginModel:
    """The only origin of a run. It also completes requests whose caller no longer waits.

    Attributes:
        spec: The scenario's settings of the origin.
        zone: Zone of the origin; empty if it is outside every zone.
        crashes: How often it has crashed from overload.
        crashed_until: When it recovers from the last such crash (ms of the run).
    """

    __slots__ = (
        "_accepted_writes",
        "_arrived_work",
        "_down",
        "_down_changed",
        "_fetches",
        "_finished",
        "_read_ms",
        "_rng",
        "_slots",
        "crashed_until",
        "crashes",
        "spec",
        "zone",
    )

    def __init__(
        self, spec: Origin, rng: random.Random, down_changed: Callable[[], None] | None = None
    ) -> None:
        """Start the origin.

        Args:
            spec: The scenario's settings of the origin.
            rng: Source of its random numbers.
            down_changed: Called each time `down` is set.
        """
        self.spec = spec
        self.zone = spec.zone or ""
        self.crashes = 0
        self.crashed_until = -inf
        self._down = ""
        self._down_changed = down_changed
        self._rng = rng
        self._read_ms = max(MIN_READ_MS, draw(rng, spec.read_ms))
        self._slots = OriginSlots(spec)
        self._finished: list[OriginJob] = []
        self._fetches: dict[str, OriginJob] = {}  # running or waiting reads by key, if reads share fetches
        self._accepted_writes = DeduplicationTable()
        self._arrived_work = SlidingWindowSum(spec.fall_ms)

    @property
    def down(self) -> str:
        """How the origin is down, one of `DOWN_MODES`; empty while it is up.

        With "declines" and "errors" it responds to each request immediately with that outcome. With "silent"
        it accepts requests and never starts them. With "refuses" its driver closes the listeners.
        """
        return self._down

    @down.setter
    def down(self, mode: str) -> None:
        """Set the mode and call `down_changed`; an unknown mode raises ValueError."""
        if mode not in DOWN_MODES:
            raise ValueError(f"unknown down mode of the origin: {mode!r}")
        self._down = mode
        if self._down_changed is not None:
            self._down_changed()

    @property
    def slow(self) -> float:
        """Factor on the service time of requests that start from now on; faults may set it at any time."""
        return self._slots.slow

    @slow.setter
    def slow(self, factor: float) -> None:
        """Set the factor for requests that start from now on."""
        self._slots.slow = factor

    @property
    def read_ms(self) -> float:
        """Mean service time of a read in a slot (ms)."""
        return self._read_ms

    @property
    def capacity(self) -> float:
        """Milliseconds of service per millisecond without faults, which is the number of slots."""
        return float(self.spec.slots)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return self._slots.running + self._slots.queued

    def report(self) -> LoadFigures:
        """Return the current load."""
        utilization = self._slots.running / self.spec.slots
        return {
            "inflight": float(self.in_flight),
            "queue": float(self._slots.queued),
            "util": utilization,
        }

    # Requests

    def arrive(self, now: float, job: OriginJob) -> float:
        """Count the work of an arriving request, even if it is rejected later.

        Too much work within a window crashes the origin (`crashed_until`).

        Args:
            now: Time of the run in milliseconds.
            job: The request; its service time is drawn.

        Returns:
            Its service time in a slot (ms).
        """
        spec = self.spec
        work_factor = spec.write_times if job.write else 1.0
        job.service_ms = self._read_ms * lognormal(self._rng, spec.sigma) * work_factor
        if spec.fall_multiple:
            self._check_overload(now, job.service_ms)
        return job.service_ms

    def offer(self, now: float, job: OriginJob) -> Outcome | None:
        """Start a request or queue it.

        Args:
            now: Time of the run in milliseconds.
            job: The request.

        Returns:
            The outcome of a request that ends immediately; None if it ends later or never.
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
        if self._slots.wait_ms() > self.spec.queue_s * 1000:
            job.outcome = Outcome.BUSY
            return job.outcome
        self._admit(now, job)
        return None

    def _find_leader(self, now: float, job: OriginJob) -> OriginJob | None:
        """Return the request whose response this one shares, if there is one."""
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
        self._slots.add(now, job)

    # Time

    def due(self) -> float | None:
        """Return when to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._finished:
            return -inf
        return self._slots.next_end()

    def advance(self, now: float) -> list[OriginJob]:
        """Advance the model to `now` (ms).

        Returns:
            The jobs that ended since the last call, in the order of their ends; jobs that share a response
            follow the job that produced it.
        """
        self._run_to(now)
        finished = self._finished
        self._finished = []
        return finished

    def _run_to(self, now: float) -> None:
        slots = self._slots
        while (finished_at := slots.next_end()) is not None and finished_at <= now:
            job = slots.pop_ended()
            self._finish(job, Outcome.RECEIPT if job.write else Outcome.VALUE, executed=True)
            for expired in slots.start_waiting(finished_at):
                self._finish(expired, Outcome.BUSY, executed=False)

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

    def _check_overload(self, now: float, service_ms: float) -> None:
        spec = self.spec
        arrived_ms = self._arrived_work.add(now, service_ms)
        limit_ms = spec.fall_multiple * self.capacity * spec.fall_ms
        if self.crashes < MAX_CRASHES and arrived_ms > limit_ms:
            self.crashes += 1
            self.crashed_until = now + draw(self._rng, spec.down_s) * 1000
            self.drop_all()

    def drop_all(self) -> None:
        """Drop all requests that have not ended; they count as never executed."""
        for job in self._slots.jobs():
            self._accepted_writes.forget(job)
        self._slots.clear()
        self._fetches.clear()
        self._arrived_work.clear()
