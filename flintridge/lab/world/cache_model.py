"""A cache server as a model: shared cores, an admission queue, memory, and the faults that it can have.

It knows no I/O and no clock: times (ms of the run) are passed in and never go back. Work is counted in
milliseconds of a core of speed 1.
"""

import random
from collections import deque
from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Kind, Rules
from flintridge.lab.world.cache_job import Job, JobState
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.draws import draw, scatter
from flintridge.lab.world.fault_controls import FaultControls
from flintridge.lab.world.load_report import LoadFigures, LoadReport
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.pauses import PauseSchedule
from flintridge.lab.world.processor_sharing import ProcessorSharingQueue
from flintridge.lab.world.sliding_window import SlidingWindowSum
from flintridge.lab.world.warm_up import WarmUpCurve

MIN_CORE_FRACTION = 0.02  # that contention leaves at least
EXECUTED_ERROR_FRACTION = 0.5  # of the errors at the kind's own rate: the request took effect all the same


class Machine:
    """What was drawn for one server: it stays the same over its restarts.

    Attributes:
        speed: Of each core.
        queue_limit: How many requests may wait.
    """

    __slots__ = ("queue_limit", "speed")

    def __init__(self, kind: Kind, rng: random.Random) -> None:
        """Draw a machine of this kind."""
        self.speed = max(1e-6, draw(rng, kind.speed))
        self.queue_limit = max(0, round(draw(rng, kind.queue_per_core) * kind.cores))


class CacheModel:
    """One incarnation of a cache server.

    After `advance` or `offer`, `due()` tells when to call `advance` next.

    Attributes:
        kind: The kind of server.
        store: The copies that it caches.
        faults: What faults set on it.
        draining: Whether it rejects new requests.
        overloaded: Whether so much arrived during its warm-up that it crashes; its driver must stop it.
    """

    __slots__ = (
        "_at",
        "_due",
        "_finished",
        "_load_report",
        "_machine",
        "_offered_work",
        "_paused_arrivals",
        "_pauses",
        "_rate",
        "_rate_stale",
        "_rng",
        "_rules",
        "_service",
        "_slots",
        "_waiting",
        "_warm_up",
        "draining",
        "faults",
        "kind",
        "overloaded",
        "store",
    )

    def __init__(
        self,
        kind: Kind,
        machine: Machine,
        rules: Rules,
        store: CacheStore,
        rng: random.Random,
        now: float,
        warms_up: bool,
        catch_up: Callable[[], None] | None = None,
    ) -> None:
        """Start a server.

        Args:
            kind: The kind of server.
            machine: What was drawn for it.
            rules: The scenario's rules, for the limit of work during a warm-up.
            store: The copies that it caches.
            rng: Where its draws come from.
            now: Time of the run in milliseconds.
            warms_up: Whether it begins at `kind.cold_from` of its capacity rather than with all of it.
            catch_up: Brings the model up to date; called before and after a fault changes its speed.
        """
        self.kind = kind
        self.store = store
        self.draining = False
        self.overloaded = False
        self.faults = FaultControls(catch_up, self._mark_rate_stale)
        self._rules = rules
        self._rng = rng
        self._machine = machine
        self._slots = kind.cores * kind.slots_per_core
        self._warm_up = WarmUpCurve(now, kind.cold_s * 1000 if warms_up else 0.0, kind.cold_from)
        self._at = now
        self._rate = 0.0  # of one job when warm, work-ms a ms
        self._rate_stale = True  # the rate and the due time must be taken anew
        self._due = inf
        self._service = ProcessorSharingQueue()
        self._waiting: deque[Job] = deque()
        self._paused_arrivals: list[Job] = []
        self._finished: list[Job] = []
        self._pauses = PauseSchedule(kind.pause_every_s * 1000, kind.pause_ms, rng, now)
        self._offered_work = SlidingWindowSum(rules.fall_ms)  # during the warm-up
        self._load_report = LoadReport(rng, now)

    # What it can do

    @property
    def warm_capacity(self) -> float:
        """Work-ms a millisecond when warm and without faults."""
        return self.kind.cores * self._machine.speed

    def capacity(self, now: float) -> float:
        """Work-ms a millisecond at `now` (ms): less during the warm-up, by slowness and by contention."""
        faults = self.faults
        cores = self.kind.cores * max(MIN_CORE_FRACTION, 1.0 - faults.contention_fraction)
        return cores * self._machine.speed * self._warm_up.fraction(now) / faults.slowdown

    @property
    def warm_up_ms(self) -> float:
        """From its start until it is warm; 0 for one that started warm."""
        return self._warm_up.duration_ms

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return self._service.running + len(self._waiting) + len(self._paused_arrivals)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def report(self, now: float) -> LoadFigures:
        """The load as it was at the last refresh, with noise."""
        if now >= self._load_report.refresh_at:
            self._refresh_report(now)
        return self._load_report.figures

    # What comes in

    def arrive(self, now: float, job: Job) -> float:
        """Count the work of a request, whether it will run or not.

        During the warm-up too much of it crashes the server (`overloaded`).

        Args:
            now: Time of the run in milliseconds.
            job: The request; its cost is set.

        Returns:
            The work that it takes here, by what is stored now (work-ms).
        """
        hit = not job.write and self.store.has(now, job.key)
        cost_ms = job.work_ms if hit else job.work_ms * self.kind.miss_work
        job.cost_ms = cost_ms
        if self._warm_up.is_warming_up(now):
            self._count_offered(now, cost_ms)
        return cost_ms

    def offer(self, now: float, job: Job) -> Outcome | None:
        """Start a request or let it wait.

        Args:
            now: Time of the run in milliseconds.
            job: The request.

        Returns:
            The outcome of a request that ends at once, None for any other.
        """
        self._run_to(now)
        if job.cost_ms < 0:
            self.arrive(now, job)
        if self._pauses.active:
            job.state = JobState.WAITING
            self._paused_arrivals.append(job)
            return None
        return self._admit(job)

    def add_background(self, now: float, work_ms: float) -> None:
        """Start work beside the requests, as of a handshake or a health check: it too uses the cores."""
        if work_ms <= 0:
            return
        self._run_to(now)
        if self._rate_stale:
            self._update_rate()
        self._service.add_background(work_ms)
        self._rate_stale = True

    def cancel(self, now: float, job: Job) -> bool:
        """Say that nobody waits for a request any more.

        Returns:
            Whether its work stops, by the kind's `drops_cancelled`.
        """
        drops = self.kind.drops_cancelled
        self._run_to(now)
        if drops == "none" or job.state not in (JobState.WAITING, JobState.RUNNING):
            return False
        if job.state is JobState.RUNNING:
            if drops != "all":
                return False
            self._service.cancel(job)
            self._start_waiting()
        else:
            job.state = JobState.FINISHED
            waiting = self._paused_arrivals if job in self._paused_arrivals else self._waiting
            waiting.remove(job)
        self._rate_stale = True
        return True

    # Time

    def due(self) -> float | None:
        """When to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._finished:
            return self._at
        if not (self._service.running or self._service.background or self._paused_arrivals):
            return None
        due = self._next_change()
        return due if due < inf else None

    def advance(self, now: float) -> list[Job]:
        """Go on to `now` (ms).

        Returns:
            The jobs that ended since the last call, in their order.
        """
        self._run_to(now)
        finished = self._finished
        if finished:
            self._finished = []
        return finished

    def _run_to(self, now: float) -> None:
        while (due := self._next_change()) <= now:
            self._progress_to(due)
            self._change_state()
        self._progress_to(now)
        if now >= self._load_report.refresh_at:
            self._refresh_report(now)

    def _next_change(self) -> float:
        if self._rate_stale:
            self._update_rate()
        return self._due

    def _mark_rate_stale(self) -> None:
        self._rate_stale = True

    def _update_rate(self) -> None:
        """Take the rate of each job as things are, and the next time at which they change by themselves."""
        self._rate_stale = False
        pauses = self._pauses
        if pauses.active:
            self._due = pauses.ends_at
            return
        service = self._service
        remaining_ms = service.next_remaining_ms()
        if remaining_ms is None:
            self._due = pauses.starts_at
            return
        kind = self.kind
        faults = self.faults
        cores = kind.cores * max(MIN_CORE_FRACTION, 1.0 - faults.contention_fraction)
        busy = service.running + service.background
        rate = self._machine.speed / faults.slowdown * min(1.0, cores / busy)
        excess = (service.running + len(self._waiting)) / kind.cores - kind.crowd_at
        if excess > 0:
            rate /= 1.0 + kind.crowd * excess
        self._rate = rate
        completes_at = self._at + self._warm_up.elapsed_ms(self._at, remaining_ms / rate)
        self._due = min(completes_at, pauses.starts_at)

    def _progress_to(self, now: float) -> None:
        elapsed_ms = now - self._at
        if elapsed_ms <= 0:
            return
        if self._rate_stale:
            self._update_rate()
        service = self._service
        busy = service.running + service.background
        if busy and not self._pauses.active:
            service.progress(self._rate * self._warm_up.warm_ms(self._at, elapsed_ms))
            self._load_report.add_busy(elapsed_ms * min(1.0, busy / self.kind.cores))
        self._at = now

    def _change_state(self) -> None:
        self._rate_stale = True
        if self._pauses.active:
            self._end_pause()
        elif self._at >= self._pauses.starts_at:
            self._pauses.start(self._at)
        else:
            for job in self._service.pop_completed():
                self._complete(job)
            self._start_waiting()

    def _end_pause(self) -> None:
        self._pauses.end(self._at)
        arrivals = self._paused_arrivals
        self._paused_arrivals = []
        for job in arrivals:
            if self._admit(job) is not None:
                self._finished.append(job)

    # Requests

    def _admit(self, job: Job) -> Outcome | None:
        faults = self.faults
        if self.draining or self._at > job.expires_at:
            job.outcome = Outcome.BUSY
        elif faults.error_fraction and self._rng.random() < faults.error_fraction:
            job.outcome = Outcome.ERROR
        elif self._service.running < self._slots:
            self._start(job)
            return None
        elif len(self._waiting) < self._machine.queue_limit:
            job.state = JobState.WAITING
            self._waiting.append(job)
            self._rate_stale = True  # a longer queue may slow all
            return None
        else:
            job.outcome = Outcome.BUSY
        job.state = JobState.FINISHED
        return job.outcome

    def _start(self, job: Job) -> None:
        job.version = 0 if job.write else self.store.get(self._at, job.key)
        work_ms = job.work_ms if job.version else job.work_ms * self.kind.miss_work
        if self.kind.speed_cv:
            work_ms *= scatter(self._rng, self.kind.speed_cv)
        if self._rate_stale:
            self._update_rate()
        self._service.add_job(work_ms, job)
        self._rate_stale = True

    def _start_waiting(self) -> None:
        waiting = self._waiting
        while waiting and self._service.running < self._slots:
            job = waiting.popleft()
            if self._at > job.expires_at:
                job.state = JobState.FINISHED
                job.outcome = Outcome.BUSY
                self._finished.append(job)
            else:
                self._start(job)

    def _complete(self, job: Job) -> None:
        job.state = JobState.FINISHED
        hit = job.version > 0
        self._load_report.add_completed(hit=hit, write=job.write)
        error_rate = self.kind.error_rate
        if error_rate and self._rng.random() < error_rate:
            job.outcome = Outcome.ERROR
            job.executed = hit and self._rng.random() < EXECUTED_ERROR_FRACTION
        else:
            job.outcome = Outcome.VALUE if hit else Outcome.MISS
            job.executed = hit
        self._finished.append(job)

    # Overload and load report

    def _count_offered(self, now: float, cost_ms: float) -> None:
        # By the warm-up alone, whatever else slows the server: that is what nodes are told of.
        rules = self._rules
        limit_ms = rules.fall_multiple * self.warm_capacity * self._warm_up.fraction(now) * rules.fall_ms
        if self._offered_work.add(now, cost_ms) > limit_ms:
            self.overloaded = True

    def _refresh_report(self, now: float) -> None:
        self._load_report.refresh(now, self.in_flight, self.queued)
