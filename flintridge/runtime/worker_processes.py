"""Processes of one node: in an upgrade the old and the new one live, and share what the node may hold.

Each holds a lock on a file of its own in one folder. The kernel frees it with the process, however that
ends; a file whose lock can be had is what a dead one left, and is removed.
"""

import contextlib
import fcntl
import os
from collections.abc import Callable

from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

LOOK = 250.0  # between two looks at who lives


class WorkerProcesses:
    """How many processes of this node live, this one included. Times are float milliseconds of `clock`."""

    def __init__(self, folder: str, clock: Clock, log: EventLog, changed: Callable[[int], None]) -> None:
        """`changed` is told the number whenever it is another than before; at first it is 1."""
        self.count = 1
        self._folder = folder
        self._clock = clock
        self._log = log
        self._changed = changed
        self._number = -1  # the descriptor that holds the lock
        self._path: str | None = None
        self._timer: Timer | None = None

    def start(self) -> None:
        """Be counted, and count. A folder that cannot be used is told; this process then counts as alone."""
        try:
            os.makedirs(self._folder, mode=0o700, exist_ok=True)
            self._hold()
        except OSError as error:
            self._log.event("siblings_unknown", folder=self._folder, error=str(error))
            return
        self._look()

    def place_of_other(self) -> int | None:
        """Of two processes, the place of the other one in the order of their starts: 0 or 1."""
        if self._path is None or self.count != 2:
            return None
        try:
            own = os.fstat(self._number).st_mtime_ns
            others = [os.path.join(self._folder, name) for name in os.listdir(self._folder)]
            (other,) = [os.stat(path).st_mtime_ns for path in others if path != self._path]
        except (OSError, ValueError):  # it ended just now, or a third one began
            return None
        return None if own == other else 1 if own < other else 0

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._path is not None:
            _remove(self._path)
            os.close(self._number)
            self._path = None

    def _hold(self) -> None:
        turn = 0
        while self._path is None:
            path = os.path.join(self._folder, f"{os.getpid()}-{turn}")
            turn += 1
            number = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            # Guards the moment between the two calls: another process may have had the lock, and the file for
            # a dead one's; or a dead one of the same number left it.
            if _locked(number) and _same(number, path):
                self._path, self._number = path, number
            else:
                os.close(number)

    def _look(self) -> None:
        self._timer = self._clock.call_at(self._clock.now() + LOOK, self._look)
        try:
            paths = [os.path.join(self._folder, name) for name in os.listdir(self._folder)]
            count = 1 + sum(self._lives(path) for path in paths if path != self._path)
        except OSError as error:
            self._log.event("siblings_unknown", folder=self._folder, error=str(error))
            return
        if count != self.count:
            self.count = count
            self._log.event("processes", count=count)
            self._changed(count)

    @staticmethod
    def _lives(path: str) -> bool:
        try:
            number = os.open(path, os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False  # gone meanwhile, or none of ours
        try:
            if not _locked(number):
                return True
            _remove(path)
            return False
        finally:
            os.close(number)


def _locked(number: int) -> bool:
    """Whether the lock could be had; it is held from then on."""
    try:
        fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        return False
    return True


def _remove(path: str) -> None:
    with contextlib.suppress(FileNotFoundError):  # another process was quicker
        os.unlink(path)


def _same(number: int, path: str) -> bool:
    try:
        return os.path.samestat(os.fstat(number), os.stat(path))
    except FileNotFoundError:
        return False
