"""Model of a cache server: shared cores, an admission queue, memory, and faults.

It does no I/O and reads no clock: times (ms of the run) are passed in and never decrease. Work is measured
in milliseconds of a core of speed 1 ("work-ms").
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
    """Properties that are drawn once for a server and stay the same across its restarts.

    Attributes:
        speed: Speed of each core (work-ms per millisecond).
        queue_limit: Number of requests that may wait for a slot.
    """

    __slots__ = ("queue_limit", "speed")

    def __init__(self, kind: Kind, rng: random.Random) -> None:
        """Draw the properties of a machine of this kind."""
        self.speed = max(MIN_SPEED, draw(rng, kind.speed))
        self.queue_limit = max(0, round(draw(rng, kind.queue_per_core) * kind.cores))


class CacheModel:
    """One incarnation of a cache server.

    After each call of `advance` or `offer`, `due()` returns when to call `advance` next.

    Attributes:
        kind: The kind of server.
        store: The copies that it caches.
        overloaded: Whether too much work arrived during the warm-up; the driver then has to stop the server.
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
            machine: Properties that were drawn for this server.
            rules: The scenario's rules, which limit the work that may arrive during a warm-up.
            store: The copies that it caches.
            rng: Source of its random numbers.
            now: Time of the run in milliseconds.
            warms_up: Whether it starts at the fraction `kind.cold_from` of its capacity and not at all of it.
            catch_up: Advances the model to the present; called before and after a fault changes its speed.
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
        self._arrived_work = SlidingWindowSum(rules.overload_window_ms)  # work during the warm-up

    # State

    @property
    def faults(self) -> FaultControls:
        """Settings that faults change."""
        return self._cores.faults

    @property
    def draining(self) -> bool:
        """Whether the server rejects new requests."""
        return self._executor.draining

    @draining.setter
    def draining(self, draining: bool) -> None:
        """Set whether requests that arrive from now on are rejected."""
        self._executor.draining = draining

    @property
    def warm_capacity(self) -> float:
        """Work-ms per millisecond when warm and without faults."""
        return self._cores.warm_capacity

    def capacity(self, now: float) -> float:
        """Work-ms per millisecond at `now` (ms); warm-up, slowdown and contention reduce it."""
        return self._cores.capacity(now)

    @property
    def warm_up_ms(self) -> float:
        """Duration of the warm-up (ms); 0 for a server that started warm."""
        return self._cores.warm_up.duration_ms

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait."""
        return self._executor.in_flight

    def report(self, now: float) -> LoadFigures:
        """Return the load as of the last refresh, with noise."""
        if now >= self._load_report.refresh_at:
            self._refresh_report(now)
        return self._load_report.figures

    # Requests

    def arrive(self, now: float, job: Job) -> float:
        """Count the work of an arriving request, even if it is rejected later.

        Too much work during the warm-up crashes the server (`overloaded`).

        Args:
            now: Time of the run in milliseconds.
            job: The request; its `cost_ms` is set.

        Returns:
            The work that it takes (work-ms), which depends on whether its key is stored now.
        """
        hit = not job.write and self.store.has(now, job.key)
        cost_ms = job.work_ms if hit else job.work_ms * self.kind.miss_work
        job.cost_ms = cost_ms
        if self._cores.warm_up.is_warming_up(now):
            self._check_overload(now, cost_ms)
        return cost_ms

    def offer(self, now: float, job: Job) -> Outcome | None:
        """Start a request or queue it.

        Args:
            now: Time of the run in milliseconds.
            job: The request.

        Returns:
            The outcome of a request that ends immediately; None for all others.
        """
        self._run_to(now)
        if job.cost_ms < 0:
            self.arrive(now, job)
        return self._executor.offer(job)

    def add_background(self, now: float, work_ms: float) -> None:
        """Start work that is not a request, such as a handshake or a health check; it shares the cores."""
        if work_ms <= 0:
            return
        self._run_to(now)
        self._cores.add_background(work_ms)

    def cancel(self, now: float, job: Job) -> bool:
        """Cancel a request whose caller no longer waits.

        Returns:
            Whether its work stops, which the kind's `drops_cancelled` decides.
        """
        self._run_to(now)
        return self._executor.cancel(job)

    # Time

    def due(self) -> float | None:
        """Return when to call `advance` next (ms of the run); None while there is nothing to do."""
        if self._executor.has_finished:
            return self._cores.now
        if self._executor.is_idle:
            return None
        due = self._cores.next_change()
        return due if due < inf else None

    def advance(self, now: float) -> list[Job]:
        """Advance the model to `now` (ms).

        Returns:
            The jobs that ended since the last call, in the order of their ends.
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
        # The limit depends on the warm-up alone and on nothing else that slows the server, because nodes are
        # only informed about the warm-up.
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
