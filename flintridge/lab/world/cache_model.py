"""A cache server as a model: shared cores, an admission queue, memory, and the faults that it can have.

It knows no I/O and no clock: times (ms of the run) are passed in and never go back. Work is counted in
milliseconds of a core of speed 1.
"""

import random
from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Kind, Rules
from flintridge.lab.world.cache_job import Job
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.draws import draw
from flintridge.lab.world.fault_controls import FaultControls
from flintridge.lab.world.job_executor import JobExecutor
from flintridge.lab.world.load_report import LoadFigures, LoadReport
from flintridge.lab.world.outcomes import Outcome
from flintridge.lab.world.pauses import PauseSchedule
from flintridge.lab.world.shared_cores import SharedCores
from flintridge.lab.world.sliding_window import SlidingWindowSum
from flintridge.lab.world.warm_up import WarmUpCurve

MIN_SPEED = 1e-6


class Machine:
    """What was drawn for one server: it stays the same over its restarts.

    Attributes:
        speed: Of each core.
        queue_limit: How many requests may wait.
    """

    __slots__ = ("queue_limit", "speed")

    def __init__(self, kind: Kind, rng: random.Random) -> None:
        """Draw a machine of this kind."""
        self.speed = max(MIN_SPEED, draw(rng, kind.speed))
        self.queue_limit = max(0, round(draw(rng, kind.queue_per_core) * kind.cores))


class CacheModel:
    """One incarnation of a cache server.

    After `advance` or `offer`, `due()` tells when to call `advance` next.

    Attributes:
        kind: The kind of server.
        store: The copies that it caches.
        overloaded: Whether so much arrived during its warm-up that it crashes; its driver must stop it.
    """

    __slots__ = (
        "_arrived_work",
        "_cores",
        "_executor",
        "_load_report",
        "_rules",
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
        self.overloaded = False
        self._rules = rules
        warm_up = WarmUpCurve(now, kind.cold_s * 1000 if warms_up else 0.0, kind.cold_from)
        pauses = PauseSchedule(kind.pause_every_s * 1000, kind.pause_ms, rng, now)
        self._cores = SharedCores(kind, machine.speed, warm_up, pauses, now, catch_up)
        self._load_report = LoadReport(rng, now)
        self._executor = JobExecutor(kind, machine.queue_limit, store, self._cores, self._load_report, rng)
        self._arrived_work = SlidingWindowSum(rules.overload_window_ms)  # during the warm-up

    # What it can do

    @property
    def faults(self) -> FaultControls:
        """What faults set on it."""
        return self._cores.faults

    @property
    def draining(self) -> bool:
        """Whether it rejects new requests."""
        return self._executor.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        """Take effect on what arrives from now on."""
        self._executor.draining = draining

    @property
    def warm_capacity(self) -> float:
        """Work-ms a millisecond when warm and without faults."""
        return self._cores.warm_capacity

    def capacity(self, now: float) -> float:
        """Work-ms a millisecond at `now` (ms): less during the warm-up, by slowness and by contention."""
        return self._cores.capacity(now)

    @property
    def warm_up_ms(self) -> float:
        """From its start until it is warm; 0 for one that started warm."""
        return self._cores.warm_up.duration_ms

    @property
    def in_flight(self) -> int:
        """Requests that run or wait."""
        return self._executor.in_flight

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
        if self._cores.warm_up.is_warming_up(now):
            self._check_overload(now, cost_ms)
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
        return self._executor.offer(job)

    def add_background(self, now: float, work_ms: float) -> None:
        """Start work beside the requests, as of a handshake or a health check: it too uses the cores."""
        if work_ms <= 0:
            return
        self._run_to(now)
        self._cores.add_background(work_ms)

    def cancel(self, now: float, job: Job) -> bool:
        """Say that nobody waits for a request any more.

        Returns:
            Whether its work stops, by the kind's `drops_cancelled`.
        """
        self._run_to(now)
        return self._executor.cancel(job)

    # Time

    def due(self) -> float | None:
        """When to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._executor.has_finished:
            return self._cores.now
        if self._executor.is_idle:
            return None
        due = self._cores.next_change()
        return due if due < inf else None

    def advance(self, now: float) -> list[Job]:
        """Go on to `now` (ms).

        Returns:
            The jobs that ended since the last call, in their order.
        """
        self._run_to(now)
        return self._executor.take_finished()

    def _run_to(self, now: float) -> None:
        cores = self._cores
        report = self._load_report
        while (due := cores.next_change()) <= now:
            report.add_busy(cores.progress_to(due))
            self._executor.change_state()
        report.add_busy(cores.progress_to(now))
        if now >= report.refresh_at:
            self._refresh_report(now)

    # Overload and load report

    def _check_overload(self, now: float, cost_ms: float) -> None:
        # By the warm-up alone, whatever else slows the server: that is what nodes are told of.
        rules = self._rules
        cores = self._cores
        limit_ms = (
            rules.overload_multiple
            * cores.warm_capacity
            * cores.warm_up.fraction(now)
            * rules.overload_window_ms
        )
        if self._arrived_work.add(now, cost_ms) > limit_ms:
            self.overloaded = True

    def _refresh_report(self, now: float) -> None:
        executor = self._executor
        self._load_report.refresh(now, executor.in_flight, executor.queued)
