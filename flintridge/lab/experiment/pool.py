"""A pool that plays runs concurrently in worker processes and kills those that hang.

A worker is a subprocess in its own session (`worker.py`) and not a process of `concurrent.futures`: if one
process of such an executor is killed, all its jobs fail, and processes that a run has started (loopback
nodes) keep running.
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

WALL_LIMIT_MARGIN_S = 20.0  # added to the scenario's own limit for the start, the judging and a regular end
JOBS_PER_WORKER = 40  # a new process then replaces the worker and frees the memory of earlier runs
OnDone = Callable[[int, Job, Outcome], None]


class Worker:
    """A worker process and the pipes to it.

    Attributes:
        tree: The source tree that the node is loaded from; the current tree if empty.
        remaining_jobs: The number of jobs that the worker may still play.
    """

    def __init__(self, tree: str) -> None:
        """Create a worker without a process; `start` starts it."""
        self.tree = tree
        self.remaining_jobs = JOBS_PER_WORKER
        self._error_lines: deque[str] = deque(maxlen=50)
        self._process: asyncio.subprocess.Process | None = None
        self._error_reader: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process.

        Raises:
            OSError: The process cannot be started.
        """
        home = str(Path(flintridge.__file__).parent.parent)
        paths = [home, *(path for path in sys.path if path)]
        # numpy uses one thread, because the worker processes already run in parallel. -P keeps the current
        # directory off the import path: it may hold another source tree than this process was started from.
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
        self._error_reader = asyncio.ensure_future(self._collect_error_lines(self._process))

    async def _collect_error_lines(self, process: asyncio.subprocess.Process) -> None:
        """Keep the last lines that the process writes to standard error; they show why it ended."""
        assert process.stderr is not None
        partial_line = b""
        while block := await process.stderr.read(65536):
            *lines, partial_line = (partial_line + block).split(b"\n")
            self._error_lines.extend(line.decode(errors="replace") for line in lines if line.strip())
            partial_line = partial_line[-4096:]

    async def call(self, job: Job) -> Reply:
        """Play a job and return the reply of the process.

        Raises:
            EOFError: The process ended or its reply cannot be decoded; the message gives the reason.
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
            last_line = self._error_lines[-1] if self._error_lines else "no output on standard error"
            raise EOFError(f"the worker exited with status {code}: {last_line}") from None
        except msgspec.MsgspecError as error:
            raise EOFError(f"the worker's reply cannot be decoded: {error}") from None

    def kill(self) -> None:
        """Kill the process and all its descendants immediately."""
        # Descendants may outlive the worker, so this is done even if the worker has already ended.
        if self._process is not None:
            kill_tree(self._process.pid)

    async def close(self) -> None:
        """Kill the process and its descendants, and wait for the end of the process for up to 5 s."""
        if self._process is None:
            return
        self.kill()
        # The process has ended, but `wait` may also wait for other processes that hold its pipes open.
        with suppress(TimeoutError):
            await asyncio.wait_for(self._process.wait(), 5.0)
        if self._error_reader is not None:
            self._error_reader.cancel()
        self._process = None


class Slot:
    """Plays jobs one after another and replaces its worker as needed.

    Attributes:
        worker: The current worker; absent before the first job and after a failure.
    """

    def __init__(self) -> None:
        """Create a slot without a worker."""
        self.worker: Worker | None = None

    async def play(self, job: Job) -> Outcome:
        """Play a job. The time limit of the job includes the start of a worker."""
        limit = job.scenario.wall_limit_s + WALL_LIMIT_MARGIN_S if job.limit_s is None else job.limit_s
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
        """Return a worker for this source tree, a new one if the current worker cannot play another job."""
        if self.worker is not None and (self.worker.tree != tree or not self.worker.remaining_jobs):
            await self.close()
        if self.worker is None:
            self.worker = Worker(tree)
            await self.worker.start()
        return self.worker

    async def close(self) -> None:
        """Kill the worker, if there is one."""
        if self.worker is not None:
            await self.worker.close()
            self.worker = None


class Pool:
    """A context manager for worker processes that are reused by successive calls of `run`.

    All workers are killed when the context ends.

    Attributes:
        size: The number of jobs that are played concurrently.
    """

    def __init__(self, workers: int | None = None) -> None:
        """Create a pool of at most `workers` workers (default: one per core), each started when needed."""
        self.size = max(1, workers or os.cpu_count() or 1)
        self._slots = [Slot() for _ in range(self.size)]
        self._runner = asyncio.Runner()

    def __enter__(self) -> "Pool":
        """Start the event loop that the workers' pipes belong to."""
        self._runner.__enter__()
        return self

    def __exit__(self, *_: object) -> None:
        """Kill all workers."""
        # All workers are killed before any is awaited, so that another Ctrl-C during the wait leaves none.
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
        """Play jobs concurrently, one per worker.

        Jobs with the loopback backend run last and one at a time: they run in real time, and concurrent jobs
        would delay them. After an exception, including Ctrl-C, the pool cannot be used again and its context
        must be closed.

        Args:
            jobs: The jobs.
            on_done: Called with the index, the job and the outcome when a job ends, in any order. An
                exception that it raises ends all jobs.
            stop: No further job is started once this function returns true.
            show: Whether to show progress on standard error if it is a terminal.
            title: The title of the progress display.

        Returns:
            The outcomes in the order of the jobs, None for each job that was not started.
        """
        job_list = list(jobs)
        outcomes: list[Outcome | None] = [None] * len(job_list)
        concurrent = [i for i, job in enumerate(job_list) if job.backend != "loopback"]
        sequential = [i for i, job in enumerate(job_list) if job.backend == "loopback"]
        with _progress(show, len(job_list), title) as advance:

            async def play_jobs(slot: Slot, indexes: Iterator[int]) -> None:
                for index in indexes:
                    if stop():
                        return
                    outcome = await slot.play(job_list[index])
                    outcomes[index] = outcome
                    if on_done is not None:
                        on_done(index, job_list[index], outcome)
                    advance()

            async def run_all() -> None:
                for indexes, slots in ((concurrent, self._slots), (sequential, self._slots[:1])):
                    remaining = iter(indexes)  # shared by all slots: each one plays the next index
                    async with asyncio.TaskGroup() as group:
                        for slot in slots[: len(indexes)]:
                            group.create_task(play_jobs(slot, remaining))

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
    """Call `Pool.run` in a new pool with at most `workers` workers (default: one per core)."""
    job_list = list(jobs)
    with Pool(min(len(job_list), workers or os.cpu_count() or 1)) as pool:
        return pool.run(job_list, on_done=on_done, stop=stop, show=show, title=title)


def run_one(job: Job) -> Outcome:
    """Play a single job in a worker process, with the same time limit as in a pool."""
    outcome = run_jobs([job])[0]
    assert outcome is not None
    return outcome


def _failed(job: Job, mode: str, reason: str, trace: str = "") -> JobFailed:
    """Return the outcome of a job that produced no result."""
    return JobFailed(label=job.label, seed=job.seed, mode=mode, reason=reason, trace=trace)


@contextmanager
def _progress(show: bool, total: int, title: str) -> Iterator[Callable[[], None]]:
    """Show a progress bar if standard error is a terminal; yields the function that advances it."""
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
