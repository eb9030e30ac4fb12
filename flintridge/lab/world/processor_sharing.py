"""A processor-sharing queue: all jobs in service progress at the same rate.

The queue counts the work that each job got so far, the same for all, and a job completes when that reaches a
fixed figure: an event costs the same however many jobs are in service.
"""

import heapq

from flintridge.lab.world.cache_job import Job, JobState

ROUNDING_MS = 1e-9  # of work, within which jobs complete together


class ProcessorSharingQueue:
    """Jobs in service, and background work beside them.

    Attributes:
        running: How many jobs are in service.
        background: How many pieces of background work are.
    """

    __slots__ = ("_attained_ms", "_heap", "_sequence", "background", "running")

    def __init__(self) -> None:
        """Start empty."""
        self.running = 0
        self.background = 0
        self._attained_ms = 0.0  # work that each job got so far
        self._heap: list[tuple[float, int, Job | None]] = []  # completes at, order, job (None: background)
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
        """Take a job out of service. Its entry in the heap is passed over later."""
        self.running -= 1
        job.state = JobState.FINISHED

    def progress(self, work_ms: float) -> None:
        """Let each job get so much work."""
        self._attained_ms += work_ms

    def next_remaining_ms(self) -> float | None:
        """Work until the next completion; None where nothing is in service."""
        heap = self._heap
        while heap and (job := heap[0][2]) is not None and job.state is JobState.FINISHED:
            heapq.heappop(heap)
        if not heap:
            self._attained_ms = 0.0  # small figures keep their precision
            return None
        return heap[0][0] - self._attained_ms

    def pop_completed(self) -> list[Job]:
        """Take out what completes next, and all that completes together with it, in order."""
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
