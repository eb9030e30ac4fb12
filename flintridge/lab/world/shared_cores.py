"""The cores of a cache server: the rate at which jobs progress on them."""

from collections.abc import Callable
from math import inf

from flintridge.lab.scenario.model import Kind
from flintridge.lab.world.cache_job import Job
from flintridge.lab.world.fault_controls import FaultControls
from flintridge.lab.world.pauses import PauseSchedule
from flintridge.lab.world.processor_sharing import ProcessorSharingQueue
from flintridge.lab.world.warm_up import WarmUpCurve

MIN_CORE_FRACTION = 0.02  # lower bound of the fraction of the cores that contention leaves


class SharedCores:
    """Cores that all jobs in service share, slowed by warm-up, pauses, faults and many waiting requests.

    Attributes:
        now: Time up to which the jobs have progressed (ms of the run).
        service: The jobs in service.
        pauses: The pauses, during which no job progresses.
        warm_up: The fraction of the capacity that is available after a start.
        faults: Settings that faults change.
    """

    __slots__ = (
        "_due",
        "_kind",
        "_queued",
        "_rate",
        "_rate_stale",
        "_speed",
        "faults",
        "now",
        "pauses",
        "service",
        "warm_up",
    )

    def __init__(
        self,
        kind: Kind,
        speed: float,
        warm_up: WarmUpCurve,
        pauses: PauseSchedule,
        now: float,
        catch_up: Callable[[], None] | None,
    ) -> None:
        """Start with no job.

        Args:
            kind: Kind of the server.
            speed: Speed of each core (work-ms per millisecond).
            warm_up: The fraction of the capacity that is available after a start.
            pauses: The pauses, during which no job progresses.
            now: Time of the run in milliseconds.
            catch_up: Advances the server to the present; called before and after a fault changes its speed.
        """
        self.now = now
        self.service = ProcessorSharingQueue()
        self.pauses = pauses
        self.warm_up = warm_up
        self.faults = FaultControls(catch_up, self.mark_rate_stale)
        self._kind = kind
        self._speed = speed
        self._queued = 0
        self._rate = 0.0  # rate of one job when warm, in work-ms per ms
        self._rate_stale = True  # the rate and the due time have to be recomputed
        self._due = inf

    @property
    def warm_capacity(self) -> float:
        """Work-ms per millisecond when warm and without faults."""
        return self._kind.cores * self._speed

    def capacity(self, now: float) -> float:
        """Return the work-ms per millisecond at `now` (ms); warm-up, slowdown and contention reduce it."""
        return self._available_cores() * self._speed * self.warm_up.fraction(now) / self.faults.slowdown

    def add_job(self, work_ms: float, job: Job) -> None:
        """Put a job into service."""
        if self._rate_stale:
            self._update_rate()
        self.service.add_job(work_ms, job)
        self._rate_stale = True

    def add_background(self, work_ms: float) -> None:
        """Put background work into service."""
        if self._rate_stale:
            self._update_rate()
        self.service.add_background(work_ms)
        self._rate_stale = True

    def set_queued(self, queued: int) -> None:
        """Set how many requests wait; many waiting requests may slow down all jobs."""
        self._queued = queued
        self._rate_stale = True

    def mark_rate_stale(self) -> None:
        """Mark the rate as outdated, because jobs may progress at another rate from `now` on."""
        self._rate_stale = True

    def next_change(self) -> float:
        """Return when a job next completes or a pause starts or ends (ms of the run); infinity for never."""
        if self._rate_stale:
            self._update_rate()
        return self._due

    def progress_to(self, now: float) -> float:
        """Let jobs progress to `now`, which must not be after `next_change`.

        Args:
            now: Time of the run in milliseconds.

        Returns:
            Busy time averaged over all cores (ms).
        """
        elapsed_ms = now - self.now
        if elapsed_ms <= 0:
            return 0.0
        if self._rate_stale:
            self._update_rate()
        service = self.service
        busy = service.running + service.background
        busy_ms = 0.0
        if busy and not self.pauses.active:
            service.progress(self._rate * self.warm_up.warm_ms(self.now, elapsed_ms))
            busy_ms = elapsed_ms * min(1.0, busy / self._kind.cores)
        self.now = now
        return busy_ms

    def _available_cores(self) -> float:
        return self._kind.cores * max(MIN_CORE_FRACTION, 1.0 - self.faults.contention_fraction)

    def _update_rate(self) -> None:
        """Recompute the current rate of each job, and the time of the next change."""
        self._rate_stale = False
        pauses = self.pauses
        if pauses.active:
            self._due = pauses.ends_at
            return
        service = self.service
        remaining_ms = service.next_remaining_ms()
        if remaining_ms is None:
            self._due = pauses.starts_at
            return
        kind = self._kind
        busy = service.running + service.background
        rate = self._speed / self.faults.slowdown * min(1.0, self._available_cores() / busy)
        excess = (service.running + self._queued) / kind.cores - kind.crowd_at
        if excess > 0:
            rate /= 1.0 + kind.crowd * excess
        self._rate = rate
        completes_at = self.now + self.warm_up.elapsed_ms(self.now, remaining_ms / rate)
        self._due = min(completes_at, pauses.starts_at)
