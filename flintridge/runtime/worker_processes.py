"""Counts the processes of one node, so that an old and a new one share its limits during an upgrade.

Each holds a lock on a file of its own in one folder. The kernel frees it with the process, however that
ends; a file whose lock can be had is one that a process left behind, and is removed.

A file's name, `SEQUENCE-PID-ATTEMPT`, tells the order of the starts: its number is one more than the highest
that its process found. Time stamps can't tell it, as the wall clock that writes them may be stepped. Earlier
versions named theirs `PID-ATTEMPT`. `late-PID-ATTEMPT` is that of a process which could not be counted at its
start, but served: where it stands in the order isn't known.
"""

import contextlib
import errno
import fcntl
import os
import re
from collections.abc import Callable

from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

COUNT_INTERVAL_MS = 250.0  # from one count of the processes to the next
MAX_LOCK_ATTEMPTS = 64  # at one count

NUMBERED_NAME = re.compile(r"(\d+)-\d+-\d+")
EARLIER_VERSION_NAME = re.compile(r"\d+-\d+")
LATE_PREFIX = "late"

# What opening something in the folder fails with that is no lock file of this user: a folder, a socket, a
# link to itself, another user's.
NO_LOCK_FILE_ERRNOS = frozenset(
    {errno.EISDIR, errno.ENXIO, errno.ELOOP, errno.EACCES, errno.EPERM, errno.ENODEV}
)


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
        self._sequence: int | None = None  # in the order of starts; None where it isn't known
        self._names_before: frozenset[str] = frozenset()  # the files that were there before this process's
        self._error: str | None = None  # why the processes are not known just now
        self._timer: Timer | None = None

    def start(self) -> None:
        """Be counted, and count; call this before the node listens.

        What fails is logged, and tried again with each count. Until then the last count holds.
        """
        self._update_count(at_start=True)

    def index_of_other(self) -> int | None:
        """Of two processes, the position of the other one in the order of their starts.

        Returns:
            0 or 1; None where there are not two, or their order isn't known.
        """
        if self._sequence is None or self.count != 2:
            return None
        try:
            (other,) = self._other_names()
        except (OSError, ValueError):  # it ended just now, or a third one began
            return None
        if EARLIER_VERSION_NAME.fullmatch(other):
            return 0 if other in self._names_before else 1
        numbered = NUMBERED_NAME.fullmatch(other)
        if numbered is None or int(numbered[1]) == self._sequence:
            return None
        return 1 if self._sequence < int(numbered[1]) else 0

    def close(self) -> None:
        """Be counted no longer, and stop counting."""
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
        except OSError as raised:  # a process that can't be looked at may run: the last count holds
            error = error or str(raised)
        self._note_error(error)

    def _note_count(self, count: int) -> None:
        if count != self.count:
            self.count = count
            self._log.event("worker_processes", count=count)
            self._on_change(count)

    def _note_error(self, error: str | None) -> None:
        """Log where the processes cease to be known, and where they are known again."""
        if error is not None and self._error is None:
            self._log.event("worker_processes_unknown", folder=self._folder, error=error)
        elif error is None and self._error is not None:
            self._log.event("worker_processes", count=self.count)
        self._error = error

    def _take_lock(self, at_start: bool) -> None:
        """Lock a file of this process's own, unless it has one. Raises OSError."""
        if self._lock_path is not None:
            return
        os.makedirs(self._folder, mode=0o700, exist_ok=True)
        for attempt in range(MAX_LOCK_ATTEMPTS):
            names_before = frozenset(os.listdir(self._folder))
            # A late process listens already: it may have begun to before those that it finds, or after.
            sequence = _next_sequence(names_before) if at_start else None
            path = self._path(f"{LATE_PREFIX if sequence is None else sequence}-{os.getpid()}-{attempt}")
            descriptor = _create_locked(path)
            if descriptor is not None:
                self._lock_path = path
                self._lock_descriptor = descriptor
                self._sequence = sequence
                self._names_before = names_before
                return
        raise BlockingIOError(errno.EAGAIN, "other processes have the locks")

    def _other_names(self) -> list[str]:
        """The files of the folder but this process's own. Raises OSError."""
        return [name for name in os.listdir(self._folder) if self._path(name) != self._lock_path]

    def _path(self, name: str) -> str:
        return os.path.join(self._folder, name)


def _next_sequence(names: frozenset[str]) -> int:
    """One more than the highest in the names of lock files; 1 where there is none."""
    numbered = (NUMBERED_NAME.fullmatch(name) for name in names)
    return 1 + max((int(match[1]) for match in numbered if match is not None), default=0)


def _create_locked(path: str) -> int | None:
    """The descriptor of a lock file that this process holds; None where another one has or had it.

    Raises:
        OSError: The file can't be made or locked.
    """
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    is_locked = False
    try:
        # Guards the moment between the two calls: another process may have had the lock, and removed the
        # file as one left behind; or a process with the same id left it.
        is_locked = _try_lock(descriptor) and _is_file_at(descriptor, path)
    finally:
        if not is_locked:
            os.close(descriptor)
    return descriptor if is_locked else None


def _is_locked(path: str) -> bool:
    """Whether a process holds the lock on a file; one that nobody holds is removed.

    Raises:
        OSError: It can't be told, as for want of a descriptor.
    """
    try:
        descriptor = os.open(path, os.O_RDWR | os.O_CLOEXEC)
    except FileNotFoundError:
        return False  # gone meanwhile
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
    """Whether the lock could be had; it is held from then on."""
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _remove(path: str) -> None:
    """Remove a file that nobody holds; where that fails it stays, and counts for nothing without a lock."""
    with contextlib.suppress(OSError):  # another process was quicker, or the folder can't be written
        os.unlink(path)


def _is_file_at(descriptor: int, path: str) -> bool:
    try:
        return os.path.samestat(os.fstat(descriptor), os.stat(path))
    except FileNotFoundError:
        return False
