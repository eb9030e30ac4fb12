"""A processor-sharing queue: all jobs in service progress at the same rate.

The queue keeps one counter of the work that each job has received so far. A job completes when this counter
reaches a value that is fixed when the job starts, so the cost of progress does not depend on the number of
jobs in service.
"""

import heapq

from flintridge.lab.world.cache_job import Job, JobState

ROUNDING_MS = 1e-9  # difference in work within which jobs count as completing together


class ProcessorSharingQueue:
    """Jobs and pieces of background work in service.

    Attributes:
        running: Number of jobs in service.
        background: Number of pieces of background work in service.
    """

    __slots__ = ("_attained_ms", "_heap", "_sequence", "background", "running")

    def __init__(self) -> None:
        """Start empty."""
        self.running = 0
        self.background = 0
        self._attained_ms = 0.0  # work that each job has received so far
        self._heap: list[tuple[float, int, Job | None]] = []  # end, sequence, job (None: background)
        self._sequence = 0

    def add_job(self, work_ms: float, job: Job) -> None:
        """Put a job into service."""
        job.state = JobState.RUNNING
        self.running += 1
        self._push(work_ms, job)

    def add_background(self, work_ms: float) -> None:
        """Put background work into service."""
        self._push(work_ms, None)
        self.background += 1

    def cancel(self, job: Job) -> None:
        """Remove a job from service. Its entry in the heap is skipped later."""
        self.running -= 1
        job.state = JobState.FINISHED

    def progress(self, work_ms: float) -> None:
        """Add this much work to each job."""
        self._attained_ms += work_ms

    def next_remaining_ms(self) -> float | None:
        """Return the work until the next completion; None if nothing is in service."""
        heap = self._heap
        while heap and (job := heap[0][2]) is not None and job.state is JobState.FINISHED:
            heapq.heappop(heap)
        if not heap:
            self._attained_ms = 0.0  # keeps the counter small and thus precise
            return None
        return heap[0][0] - self._attained_ms

    def pop_completed(self) -> list[Job]:
        """Remove all work that completes next, which may be several jobs; return the jobs in order."""
        heap = self._heap
        completes_at = heap[0][0]
        self._attained_ms = max(self._attained_ms, completes_at)
        completed: list[Job] = []
        while heap and heap[0][0] <= completes_at + ROUNDING_MS:
            job = heapq.heappop(heap)[2]
            if job is None:
                self.background -= 1
            elif job.state is JobState.RUNNING:
                self.running -= 1
                completed.append(job)
        return completed

    def _push(self, work_ms: float, job: Job | None) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (self._attained_ms + work_ms, self._sequence, job))
