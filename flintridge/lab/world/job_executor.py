"""Execution of requests at a cache server: slots, an admission queue, and the outcome of each request."""

import random
from collections import deque

from flintridge.lab.scenario.model import Kind
from flintridge.lab.world.cache_job import Job, JobState
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.draws import lognormal_by_cv
from flintridge.lab.world.load_report import LoadReport
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.shared_cores import SharedCores

EXECUTED_ERROR_FRACTION = 0.5  # fraction of the errors by `Kind.error_rate` whose request took effect


class JobExecutor:
    """Starts requests when slots are free, and completes them.

    Attributes:
        draining: Whether new requests are rejected.
    """

    __slots__ = (
        "_cores",
        "_finished",
        "_kind",
        "_load_report",
        "_paused_arrivals",
        "_queue_limit",
        "_rng",
        "_slots",
        "_store",
        "_waiting",
        "draining",
    )

    def __init__(
        self,
        kind: Kind,
        queue_limit: int,
        store: CacheStore,
        cores: SharedCores,
        load_report: LoadReport,
        rng: random.Random,
    ) -> None:
        """Start with no request.

        Args:
            kind: Kind of the server.
            queue_limit: Number of requests that may wait for a slot.
            store: The copies that the server caches.
            cores: The cores that run requests.
            load_report: Counts the completed requests.
            rng: Source of random numbers.
        """
        self.draining = False
        self._kind = kind
        self._queue_limit = queue_limit
        self._store = store
        self._cores = cores
        self._load_report = load_report
        self._rng = rng
        self._slots = kind.cores * kind.slots_per_core
        self._waiting: deque[Job] = deque()
        self._paused_arrivals: list[Job] = []
        self._finished: list[Job] = []

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return self._cores.service.running + len(self._waiting) + len(self._paused_arrivals)

    @property
    def has_finished(self) -> bool:
        """Whether `take_finished` would return any request."""
        return bool(self._finished)

    @property
    def is_idle(self) -> bool:
        """Whether no request can end without another call."""
        service = self._cores.service
        return not (service.running or service.background or self._paused_arrivals)

    def offer(self, job: Job) -> Outcome | None:
        """Start or queue a request; return its outcome if it ends immediately."""
        if self._cores.pauses.active:
            job.state = JobState.WAITING
            self._paused_arrivals.append(job)
            return None
        return self._admit(job)

    def cancel(self, job: Job) -> bool:
        """Cancel a request whose caller no longer waits; return whether its work stops."""
        drops = self._kind.drops_cancelled
        if drops == "none" or job.state not in (JobState.WAITING, JobState.RUNNING):
            return False
        if job.state is JobState.RUNNING:
            if drops != "all":
                return False
            self._cores.service.cancel(job)
            self._start_waiting()
        else:
            job.state = JobState.FINISHED
            waiting = self._paused_arrivals if job in self._paused_arrivals else self._waiting
            waiting.remove(job)
        self._update_queued()
        return True

    def change_state(self) -> None:
        """Process the change that is due now: end a pause, start one, or complete requests."""
        cores = self._cores
        cores.mark_rate_stale()
        if cores.pauses.active:
            self._end_pause()
        elif cores.now >= cores.pauses.starts_at:
            cores.pauses.start(cores.now)
        else:
            for job in cores.service.pop_completed():
                self._complete(job)
            self._start_waiting()

    def take_finished(self) -> list[Job]:
        """Return the requests that ended since the last call, in the order of their ends."""
        finished = self._finished
        if finished:
            self._finished = []
        return finished

    def _end_pause(self) -> None:
        self._cores.pauses.end(self._cores.now)
        arrivals = self._paused_arrivals
        self._paused_arrivals = []
        for job in arrivals:
            if self._admit(job) is not None:
                self._finished.append(job)

    def _admit(self, job: Job) -> Outcome | None:
        cores = self._cores
        error_fraction = cores.faults.error_fraction
        if self.draining or cores.now > job.expires_at:
            job.outcome = Outcome.BUSY
        elif error_fraction and self._rng.random() < error_fraction:
            job.outcome = Outcome.ERROR
        elif cores.service.running < self._slots:
            self._start(job)
            return None
        elif len(self._waiting) < self._queue_limit:
            job.state = JobState.WAITING
            self._waiting.append(job)
            self._update_queued()
            return None
        else:
            job.outcome = Outcome.BUSY
        job.state = JobState.FINISHED
        return job.outcome

    def _start(self, job: Job) -> None:
        job.version = 0 if job.write else self._store.get(self._cores.now, job.key)
        work_ms = job.work_ms if job.version else job.work_ms * self._kind.miss_work
        if self._kind.speed_cv:
            work_ms *= lognormal_by_cv(self._rng, self._kind.speed_cv)
        self._cores.add_job(work_ms, job)

    def _start_waiting(self) -> None:
        cores = self._cores
        waiting = self._waiting
        while waiting and cores.service.running < self._slots:
            job = waiting.popleft()
            if cores.now > job.expires_at:
                job.state = JobState.FINISHED
                job.outcome = Outcome.BUSY
                self._finished.append(job)
            else:
                self._start(job)
        self._update_queued()

    def _complete(self, job: Job) -> None:
        job.state = JobState.FINISHED
        hit = job.version > 0
        self._load_report.add_completed(hit=hit, write=job.write)
        error_rate = self._kind.error_rate
        if error_rate and self._rng.random() < error_rate:
            job.outcome = Outcome.ERROR
            job.executed = hit and self._rng.random() < EXECUTED_ERROR_FRACTION
        else:
            job.outcome = Outcome.VALUE if hit else Outcome.MISS
            job.executed = hit
        self._finished.append(job)

    def _update_queued(self) -> None:
        # A longer queue may slow down all requests.
        self._cores.set_queued(len(self._waiting))
