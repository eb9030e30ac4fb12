"""Counts the processes of one node, so that an old and a new one share its limits during an upgrade.

Each holds a lock on a file of its own in one folder. The kernel frees it with the process, however that
ends; a file whose lock can be had is one that a process left behind, and is removed.
"""

import contextlib
import fcntl
import os
from collections.abc import Callable

from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

COUNT_INTERVAL_MS = 250.0  # from one count of the processes to the next


class WorkerProcesses:
    """The processes of this node, this one included.

    Attributes:
        count: How many run, as of the last count; 1 at first.
    """

    def __init__(self, folder: str, clock: Clock, log: EventLog, on_change: Callable[[int], None]) -> None:
        """Nothing is counted before `start`.

        Args:
            folder: Where the processes of this node have their lock files; it is made where there is none.
            clock: Times the counts.
            log: Takes `worker_processes` and `worker_processes_unknown`.
            on_change: Called with the number of processes whenever it has changed.
        """
        self.count = 1
        self._folder = folder
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._lock_descriptor = -1  # open as long as this process runs
        self._lock_path: str | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Be counted, and count.

        A folder that cannot be used is logged; this process then takes itself for the only one.
        """
        try:
            os.makedirs(self._folder, mode=0o700, exist_ok=True)
            self._take_lock()
        except OSError as error:
            self._log.event("worker_processes_unknown", folder=self._folder, error=str(error))
            return
        self._update_count()

    def index_of_other(self) -> int | None:
        """Of two processes, the position of the other one in the order of their starts.

        Returns:
            0 or 1; None where there are not two, or their order isn't known.
        """
        if self._lock_path is None or self.count != 2:
            return None
        try:
            started_ns = os.fstat(self._lock_descriptor).st_mtime_ns
            (other_started_ns,) = [os.stat(path).st_mtime_ns for path in self._other_paths()]
        except (OSError, ValueError):  # it ended just now, or a third one began
            return None
        if started_ns == other_started_ns:
            return None
        return 1 if started_ns < other_started_ns else 0

    def close(self) -> None:
        """Be counted no longer, and stop counting."""
        if self._timer is not None:
            self._timer.cancel()
        if self._lock_path is not None:
            _remove(self._lock_path)
            os.close(self._lock_descriptor)
            self._lock_path = None

    def _take_lock(self) -> None:
        attempt = 0
        while self._lock_path is None:
            path = os.path.join(self._folder, f"{os.getpid()}-{attempt}")
            attempt += 1
            descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            # Guards the moment between the two calls: another process may have had the lock, and removed the
            # file as one left behind; or a process with the same id left it.
            if _try_lock(descriptor) and _is_file_at(descriptor, path):
                self._lock_path = path
                self._lock_descriptor = descriptor
            else:
                os.close(descriptor)

    def _update_count(self) -> None:
        self._timer = self._clock.call_at(self._clock.now() + COUNT_INTERVAL_MS, self._update_count)
        try:
            count = 1 + sum(_is_locked(path) for path in self._other_paths())
        except OSError as error:
            self._log.event("worker_processes_unknown", folder=self._folder, error=str(error))
            return
        if count != self.count:
            self.count = count
            self._log.event("worker_processes", count=count)
            self._on_change(count)

    def _other_paths(self) -> list[str]:
        """The files of the folder but this process's own. Raises OSError."""
        paths = [os.path.join(self._folder, name) for name in os.listdir(self._folder)]
        return [path for path in paths if path != self._lock_path]


def _is_locked(path: str) -> bool:
    """Whether a process holds the lock on a file; one that nobody holds is removed."""
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except OSError:
        return False  # gone meanwhile, or no lock file
    try:
        if not _try_lock(descriptor):
            return True
        _remove(path)
        return False
    finally:
        os.close(descriptor)


def _try_lock(descriptor: int) -> bool:
    """Whether the lock could be had; it is held from then on."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _remove(path: str) -> None:
    with contextlib.suppress(FileNotFoundError):  # another process was quicker
        os.unlink(path)


def _is_file_at(descriptor: int, path: str) -> bool:
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False
