"""The origin as a model: slots, a bounded wait, repeats of keyed writes, and the faults that it can have.

It knows no I/O and no clock: times (ms of the run) are passed in and never go back.
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

MAX_CRASHES = 2  # by overload, in a run
MIN_READ_MS = 1e-3
DOWN_MODES = ("", "declines", "errors", "silent", "refuses")


class OriginModel:
    """The one origin. It goes on with requests that nobody waits for any more.

    Attributes:
        spec: What the scenario says of it.
        zone: Where it stands; empty for outside of every zone.
        crashes: How often it crashed by overload.
        crashed_until: When it is back from the last such crash (ms of the run).
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
            spec: What the scenario says of it.
            rng: Where its draws come from.
            down_changed: Called whenever `down` was set.
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
        self._fetches: dict[str, OriginJob] = {}  # by key, where reads share them
        self._accepted_writes = DeduplicationTable()
        self._arrived_work = SlidingWindowSum(spec.fall_ms)

    @property
    def down(self) -> str:
        """How it is down, one of `DOWN_MODES`; empty for up.

        "declines" and "errors" respond so at once; "silent" takes requests and never starts them; "refuses"
        is its driver's task.
        """
        return self._down

    @down.setter
    def down(self, mode: str) -> None:
        """Call `down_changed`; an unknown mode raises ValueError."""
        if mode not in DOWN_MODES:
            raise ValueError(f"the origin cannot be {mode!r}")
        self._down = mode
        if self._down_changed is not None:
            self._down_changed()

    @property
    def slow(self) -> float:
        """Times as long that a request takes which starts from now on; faults set it at any time."""
        return self._slots.slow

    @slow.setter
    def slow(self, factor: float) -> None:
        """Take effect on what starts from now on."""
        self._slots.slow = factor

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
        return self._slots.running + self._slots.queued

    def report(self) -> LoadFigures:
        """The load at present."""
        utilization = self._slots.running / self.spec.slots
        return {
            "inflight": float(self.in_flight),
            "queue": float(self._slots.queued),
            "util": utilization,
        }

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
            self._check_overload(now, job.service_ms)
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
        if self._slots.wait_ms() > self.spec.queue_s * 1000:
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
        self._slots.add(now, job)

    # Time

    def due(self) -> float | None:
        """When to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._finished:
            return -inf
        return self._slots.next_end()

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
        """Lose all requests that have not ended; they were never executed."""
        for job in self._slots.jobs():
            self._accepted_writes.forget(job)
        self._slots.clear()
        self._fetches.clear()
        self._arrived_work.clear()
