"""Counts the processes of one node, so that the old and the new one share its limits during an upgrade.

Each process holds a lock on a file of its own in a common folder. The kernel releases the lock when the
process ends, however it ends. A file that is not locked was left behind by an ended process, and is removed.

File names have the form `SEQUENCE-PID-ATTEMPT`. SEQUENCE gives the order of the starts: it is one more than
the highest one that the process found in the folder. Time stamps can't give this order, since the wall clock
that they come from may be stepped. Files of earlier versions are named `PID-ATTEMPT`. A process that could
not lock a file at its start, but serves, later locks `late-PID-ATTEMPT`. Its position in the order is
unknown.
"""

import contextlib
import errno
import fcntl
import math
import os
import re
from collections.abc import Callable

from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

COUNT_INTERVAL_MS = 250.0  # between two counts of the processes
COUNT_VALID_MS = 2 * COUNT_INTERVAL_MS  # an older count may miss a process that has started since
MAX_LOCK_ATTEMPTS = 64  # per count

NUMBERED_NAME = re.compile(r"(\d+)-\d+-\d+")
EARLIER_VERSION_NAME = re.compile(r"\d+-\d+")
LATE_PREFIX = "late"

# Errors of opening a directory entry that is not a lock file of this user: a folder, a socket, a symbolic
# link to itself, or a file of another user.
NO_LOCK_FILE_ERRNOS = frozenset(
    {errno.EISDIR, errno.ENXIO, errno.ELOOP, errno.EACCES, errno.EPERM, errno.ENODEV}
)


class WorkerProcesses:
    """The processes of this node, this one included.

    Attributes:
        folder: The folder that the processes of this node share.
        count: Number of running processes, as of the last count; 1 before the first count.
    """

    def __init__(self, folder: str, clock: Clock, log: EventLog, on_change: Callable[[int], None]) -> None:
        """Prepare for counting, which `start` begins.

        Args:
            folder: The folder of the lock files of this node's processes; created if it does not exist.
            clock: Times the counts.
            log: Receives the events `worker_processes` and `worker_processes_unknown`.
            on_change: Called with the number of processes whenever it changes.
        """
        self.count = 1
        self.folder = folder
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._lock_descriptor = -1  # kept open, as closing it releases the lock
        self._lock_path: str | None = None
        self._sequence: int | None = None  # position in the order of starts; None if unknown
        self._names_before: frozenset[str] = frozenset()  # files that existed before this process's own
        self._error: str | None = None  # why the last count failed; None if it succeeded
        self._timer: Timer | None = None
        self._counted_at = -math.inf

    @property
    def is_count_current(self) -> bool:
        """Whether the last count is recent; it isn't after the process was stopped, until the next count."""
        return self._clock.now() - self._counted_at <= COUNT_VALID_MS

    def start(self) -> None:
        """Lock this process's file and start counting; call this before the node listens.

        Failures are logged and retried with each count. Until a retry succeeds, the last count stays valid.
        """
        self._update_count(at_start=True)

    def index_of_other(self) -> int | None:
        """The other process's position in the order of starts, if exactly two processes run.

        Returns:
            0 or 1; None if there are not exactly two processes, or their order is unknown.
        """
        if self._sequence is None or self.count != 2:
            return None
        try:
            (other,) = self._other_names()
        except (OSError, ValueError):  # the other process has just ended, or a third one has started
            return None
        if EARLIER_VERSION_NAME.fullmatch(other):
            return 0 if other in self._names_before else 1
        numbered = NUMBERED_NAME.fullmatch(other)
        if numbered is None or int(numbered[1]) == self._sequence:
            return None
        return 1 if self._sequence < int(numbered[1]) else 0

    def close(self) -> None:
        """Stop counting, and release and remove this process's lock file."""
        if self._timer is not None:
            self._timer.cancel()
        if self._lock_path is not None:
            _remove(self._lock_path)
            os.close(self._lock_descriptor)
            self._lock_path = None
            self._sequence = None

    def _update_count(self, at_start: bool = False) -> None:
        self._timer = self._clock.call_at(self._clock.now() + COUNT_INTERVAL_MS, self._update_count)
        error = None
        try:
            self._take_lock(at_start)
        except OSError as raised:
            error = str(raised)
        try:
            self._note_count(1 + sum(_is_locked(self._path(name)) for name in self._other_names()))
        except OSError as raised:  # a process whose lock can't be checked may be running: keep the last count
            error = error or str(raised)
        self._note_error(error)

    def _note_count(self, count: int) -> None:
        self._counted_at = self._clock.now()
        if count != self.count:
            self.count = count
            self._log.event("worker_processes", count=count)
            self._on_change(count)

    def _note_error(self, error: str | None) -> None:
        """Log when counting begins to fail, and when it works again."""
        if error is not None and self._error is None:
            self._log.event("worker_processes_unknown", folder=self.folder, error=error)
        elif error is None and self._error is not None:
            self._log.event("worker_processes", count=self.count)
        self._error = error

    def _take_lock(self, at_start: bool) -> None:
        """Create and lock this process's file, unless it has one. Raises OSError."""
        if self._lock_path is not None:
            return
        os.makedirs(self.folder, mode=0o700, exist_ok=True)
        for attempt in range(MAX_LOCK_ATTEMPTS):
            names_before = frozenset(os.listdir(self.folder))
            # A late process already listens. It may have started to do so before or after the processes whose
            # files it finds here.
            sequence = _next_sequence(names_before) if at_start else None
            path = self._path(f"{LATE_PREFIX if sequence is None else sequence}-{os.getpid()}-{attempt}")
            descriptor = _create_locked(path)
            if descriptor is not None:
                self._lock_path = path
                self._lock_descriptor = descriptor
                self._sequence = sequence
                self._names_before = names_before
                return
        raise BlockingIOError(errno.EAGAIN, "other processes hold the locks")

    def _other_names(self) -> list[str]:
        """The names of all files in the folder except this process's own. Raises OSError."""
        return [name for name in os.listdir(self.folder) if self._path(name) != self._lock_path]

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)


def _next_sequence(names: frozenset[str]) -> int:
    """One more than the highest sequence number in the names of lock files; 1 if there is none."""
    numbered = (NUMBERED_NAME.fullmatch(name) for name in names)
    return 1 + max((int(match[1]) for match in numbered if match is not None), default=0)


def _create_locked(path: str) -> int | None:
    """Create a lock file and lock it.

    Returns:
        The descriptor that holds the lock; None if another process holds the lock, or removed the file.

    Raises:
        OSError: The file can't be created or locked.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    is_locked = False
    try:
        # Between open() and flock() another process may have locked the file and removed it as left behind.
        # It may also be a file that an ended process with the same id left behind.
        is_locked = _try_lock(descriptor) and _is_file_at(descriptor, path)
    finally:
        if not is_locked:
            os.close(descriptor)
    return descriptor if is_locked else None


def _is_locked(path: str) -> bool:
    """Whether a process holds the lock on a file; a file that is not locked is removed.

    Raises:
        OSError: The lock can't be checked, for example for lack of a descriptor.
    """
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return False  # removed meanwhile
    except OSError as error:
        if error.errno in NO_LOCK_FILE_ERRNOS:
            return False
        raise
    try:
        if not _try_lock(descriptor):
            return True
        _remove(path)
        return False
    finally:
        os.close(descriptor)


def _try_lock(descriptor: int) -> bool:
    """Acquire an exclusive lock without waiting; returns whether that succeeded."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _remove(path: str) -> None:
    """Remove a lock file; if that fails, the file stays, but is not counted without a lock."""
    with contextlib.suppress(OSError):  # another process removed it first, or the folder is not writable
        os.unlink(path)


def _is_file_at(descriptor: int, path: str) -> bool:
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False
