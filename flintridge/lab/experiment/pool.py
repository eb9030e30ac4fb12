"""Many runs at once, each in a worker process of its own that is killed when it hangs.

A worker is a subprocess in a session of its own (`worker.py`), not a member of an executor's pool: there one
process that is killed takes all jobs with it, and what a run has started (loopback nodes) would stay behind.
"""

import asyncio
import os
import sys
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

import msgspec

import flintridge
from flintridge.lab.experiment.jobs import FRAME_LENGTH_BYTES, Job, JobFailed, Outcome, Reply, frame
from flintridge.lab.experiment.worker import kill_tree

GRACE_S = 20.0  # beyond the scenario's own limit: to start, to judge, to end by itself
JOBS_PER_WORKER = 40  # then a new process, so that memory of earlier runs goes
OnDone = Callable[[int, Job, Outcome], None]


class Worker:
    """A worker's process and its pipes.

    Attributes:
        tree: The source tree that its node comes from; this one where empty.
        remaining_jobs: Jobs that it may still play.
    """

    def __init__(self, tree: str) -> None:
        """Prepare a worker; `start` starts its process."""
        self.tree = tree
        self.remaining_jobs = JOBS_PER_WORKER
        self._error_lines: deque[str] = deque(maxlen=50)
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process.

        Raises:
            OSError: It cannot be started.
        """
        home = str(Path(flintridge.__file__).parent.parent)
        paths = [home, *(path for path in sys.path if path)]
        # One thread for numpy: the processes are what runs at once. No current folder on the path (-P): it
        # may be another tree than the one this was started from.
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(paths), "OPENBLAS_NUM_THREADS": "1"}
        tree = ["--tree", self.tree] if self.tree else []
        self._process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-P", "-m", "flintridge.lab.experiment.worker", *tree),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
            start_new_session=True,
        )
        self._reading = asyncio.ensure_future(self._listen(self._process))

    async def _listen(self, process: asyncio.subprocess.Process) -> None:
        """Keep the last lines of its standard error: they tell why it died."""
        assert process.stderr is not None
        rest = b""
        while block := await process.stderr.read(65536):
            *lines, rest = (rest + block).split(b"\n")
            self._error_lines.extend(line.decode(errors="replace") for line in lines if line.strip())
            rest = rest[-4096:]

    async def call(self, job: Job) -> Reply:
        """Play a job.

        Raises:
            EOFError: The process died, or its reply cannot be read; the message says why.
        """
        process = self._process
        assert process is not None
        assert process.stdin is not None
        assert process.stdout is not None
        self.remaining_jobs -= 1
        try:
            process.stdin.write(frame(job))
            await process.stdin.drain()
            size = int.from_bytes(await process.stdout.readexactly(FRAME_LENGTH_BYTES), "big")
            return msgspec.json.decode(await process.stdout.readexactly(size), type=Reply)
        except (OSError, asyncio.IncompleteReadError):
            code = await process.wait()
            last_line = self._error_lines[-1] if self._error_lines else "it said nothing"
            raise EOFError(f"the worker ended with {code}: {last_line}") from None
        except msgspec.MsgspecError as error:
            raise EOFError(f"the result cannot be read: {error}") from None

    def kill(self) -> None:
        """End it and all that it started, at once."""
        # What the worker started may outlive it, so this is done whether or not that has ended.
        if self._process is not None:
            kill_tree(self._process.pid)

    async def close(self) -> None:
        """Kill it; nothing is left when this returns."""
        if self._process is None:
            return
        self.kill()
        # `wait` may also wait for whatever still holds its pipes; the process itself is dead by now.
        with suppress(TimeoutError):
            await asyncio.wait_for(self._process.wait(), 5.0)
        if self._reading is not None:
            self._reading.cancel()
        self._process = None


class Slot:
    """Plays jobs one after another, in workers that it replaces as needed.

    Attributes:
        worker: The current worker, absent before the first job and after a failure.
    """

    def __init__(self) -> None:
        """Begin without a worker."""
        self.worker: Worker | None = None

    async def play(self, job: Job) -> Outcome:
        """Play a job; its limit covers a worker's start as well."""
        limit = job.scenario.wall_limit_s + GRACE_S if job.limit_s is None else job.limit_s
        try:
            async with asyncio.timeout(limit):
                worker = await self._worker_for(job.tree)
                reply = await worker.call(job)
        except TimeoutError:
            await self.close()
            return _failed(job, "hung", f"killed after {limit:g} s")
        except (EOFError, OSError) as error:
            await self.close()
            return _failed(job, "died", str(error))
        if reply.result is None:
            return _failed(job, "raised", reply.error, reply.trace)
        return reply.result

    async def _worker_for(self, tree: str) -> Worker:
        """Return a worker for this tree that may play another job."""
        if self.worker is not None and (self.worker.tree != tree or not self.worker.remaining_jobs):
            await self.close()
        if self.worker is None:
            self.worker = Worker(tree)
            await self.worker.start()
        return self.worker

    async def close(self) -> None:
        """End the worker, if there is one."""
        if self.worker is not None:
            await self.worker.close()
            self.worker = None


class Pool:
    """Workers that stay between calls of `run`; a context manager, at whose end none of them is left.

    Attributes:
        size: Jobs played at once.
    """

    def __init__(self, workers: int | None = None) -> None:
        """Make a pool of so many workers, one a core where absent; they start when needed."""
        self.size = max(1, workers or os.cpu_count() or 1)
        self._slots = [Slot() for _ in range(self.size)]
        self._runner = asyncio.Runner()

    def __enter__(self) -> "Pool":
        """Enter the event loop that the workers' pipes belong to."""
        self._runner.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """End all workers."""
        # First all kills, which cannot be interrupted half-way by another Ctrl-C, then the waiting.
        for slot in self._slots:
            if slot.worker is not None:
                slot.worker.kill()
        self._runner.run(self._close())
        self._runner.close()

    async def _close(self) -> None:
        for slot in self._slots:
            await slot.close()

    def run(
        self,
        jobs: Iterable[Job],
        *,
        on_done: OnDone | None = None,
        stop: Callable[[], bool] = lambda: False,
        show: bool = False,
        title: str = "runs",
    ) -> list[Outcome | None]:
        """Play jobs, as many at once as there are workers.

        Jobs on loopback run last and one at a time: they keep real time, and others would make them late.
        After an exception, also Ctrl-C, the pool must be left.

        Args:
            jobs: The jobs.
            on_done: Called with index, job and outcome as each ends, in any order; what it raises ends
                everything.
            stop: Once it returns true no further job is started.
            show: Whether to show progress on standard error where that is a terminal.
            title: The title of that display.

        Returns:
            The outcomes in the order of the jobs, None for those that were not started.
        """
        listed = list(jobs)
        outcomes: list[Outcome | None] = [None] * len(listed)
        concurrent = [i for i, job in enumerate(listed) if job.backend != "loopback"]
        sequential = [i for i, job in enumerate(listed) if job.backend == "loopback"]
        with _progress(show, len(listed), title) as advance:

            async def drain(slot: Slot, indexes: Iterator[int]) -> None:
                for index in indexes:
                    if stop():
                        return
                    outcome = await slot.play(listed[index])
                    outcomes[index] = outcome
                    if on_done is not None:
                        on_done(index, listed[index], outcome)
                    advance()

            async def run_all() -> None:
                for indexes, slots in ((concurrent, self._slots), (sequential, self._slots[:1])):
                    remaining = iter(indexes)  # shared: each slot takes the next one
                    async with asyncio.TaskGroup() as group:
                        for slot in slots[: len(indexes)]:
                            group.create_task(drain(slot, remaining))

            try:
                self._runner.run(run_all())
            except BaseExceptionGroup as group:
                raise group.exceptions[0] from None
        return outcomes


def run_jobs(
    jobs: Iterable[Job],
    *,
    workers: int | None = None,
    on_done: OnDone | None = None,
    stop: Callable[[], bool] = lambda: False,
    show: bool = False,
    title: str = "runs",
) -> list[Outcome | None]:
    """Call `Pool.run` in a pool of its own, of so many workers."""
    listed = list(jobs)
    with Pool(min(len(listed), workers or os.cpu_count() or 1)) as pool:
        return pool.run(listed, on_done=on_done, stop=stop, show=show, title=title)


def run_one(job: Job) -> Outcome:
    """Play a single job in a worker, with the same limits."""
    outcome = run_jobs([job])[0]
    assert outcome is not None
    return outcome


def _failed(job: Job, mode: str, reason: str, trace: str = "") -> JobFailed:
    """Return the outcome of a job without a result."""
    return JobFailed(label=job.label, seed=job.seed, mode=mode, reason=reason, trace=trace)


@contextmanager
def _progress(show: bool, total: int, title: str) -> Iterator[Callable[[], None]]:
    """Show a progress bar on standard error where that is a terminal; yields what advances it."""
    if not (show and total and sys.stderr.isatty()):
        yield lambda: None
        return
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
    from rich.progress import TimeRemainingColumn as Remaining

    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn())
    with Progress(*columns, Remaining(), console=Console(stderr=True), transient=True) as progress:
        task = progress.add_task(title, total=total)
        yield lambda: progress.advance(task)
