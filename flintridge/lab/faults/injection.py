"""Faults of a node's operating system, and the random injection of failures into single calls.

Both backends use it.
"""

import errno
import os
import random
from collections import Counter
from typing import Literal

import msgspec

from flintridge.lab.scenario.system_faults import Call


class CallErrors(msgspec.Struct, frozen=True):
    """Failures of one kind of socket call.

    Attributes:
        call: The kind of call.
        errors: The names of the errors from which each failure draws one.
        fraction: The fraction of the calls that fail.
    """

    call: Call
    errors: tuple[str, ...]
    fraction: float


class FolderState(msgspec.Struct, frozen=True):
    """Failures of calls on a node's own folder.

    Attributes:
        errors: The names of the errors from which each failure draws one.
        fraction: The fraction of the calls that fail.
        half_written: The number of incomplete files in the folder, such as a killed process leaves behind.
    """

    errors: tuple[Literal["ENOSPC", "EIO"], ...]
    fraction: float
    half_written: int


class SystemState(msgspec.Struct, frozen=True):
    """The faults of one node's operating system; by default none.

    Attributes:
        calls: The failures of socket calls.
        short_io_fraction: The fraction of reads and writes that transfer fewer bytes than requested.
        short_io_bytes: The number of bytes that such a call transfers.
        stall_fraction: The fraction of writes before which the process stalls.
        max_stall_ms: The maximum duration of a stall.
        clock_offset_ms: The time by which the node's wall clock is ahead.
        folder: The failures of calls on the node's own folder.
    """

    calls: tuple[CallErrors, ...] = ()
    short_io_fraction: float = 0.0
    short_io_bytes: int = 0
    stall_fraction: float = 0.0
    max_stall_ms: float = 0.0
    clock_offset_ms: float = 0.0
    folder: tuple[FolderState, ...] = ()


NO_FAULTS = SystemState()


class Injector:
    """Decides at random which calls of one process fail, and how.

    Attributes:
        state: The current faults of the operating system.
        counts: The number of faults injected so far, by the names of their counters.
    """

    def __init__(self, seed: str, state: SystemState = NO_FAULTS) -> None:
        """Create an injector that has injected no fault yet.

        Args:
            seed: The seed of the random decisions.
            state: The current faults of the operating system.
        """
        self.state = state
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)

    def error(self, call: Call, opened: bool = True) -> OSError | None:
        """Decide whether a socket call fails.

        Args:
            call: The kind of call.
            opened: Whether the process itself opened the connection on which the call is made.

        Returns:
            The error, or None if the call succeeds.
        """
        for faulty in self.state.calls:
            if faulty.call != call or self._random.random() >= faulty.fraction:
                continue
            name = self._random.choice(faulty.errors)
            if call in ("read", "write") and not opened and name != "EINTR":
                continue
            self.counts[f"injected_{call}"] += 1
            return _os_error(name)
        return None

    def short(self, size: int) -> int:
        """Decide how many of `size` bytes one call transfers."""
        state = self.state
        if size <= state.short_io_bytes or self._random.random() >= state.short_io_fraction:
            return size
        self.counts["injected_short_io"] += 1
        return state.short_io_bytes

    def stall_s(self) -> float:
        """Decide how long (s) the process stalls before a write; 0: it does not stall."""
        state = self.state
        if not state.stall_fraction or self._random.random() >= state.stall_fraction:
            return 0.0
        self.counts["injected_stall"] += 1
        return self._random.uniform(0, state.max_stall_ms) / 1000

    def folder_error(self, allocates: bool) -> OSError | None:
        """Decide whether a call on the node's own folder fails.

        Args:
            allocates: Whether the call may allocate space on the disk.

        Returns:
            The error, or None if the call succeeds.
        """
        for faulty in self.state.folder:
            names = [name for name in faulty.errors if allocates or name != "ENOSPC"]
            if names and self._random.random() < faulty.fraction:
                self.counts["injected_folder"] += 1
                return _os_error(self._random.choice(names))
        return None


def _os_error(name: str) -> OSError:
    """Return an OSError, of the subclass that Python defines for this errno."""
    number: int = getattr(errno, name)
    return OSError(number, os.strerror(number))
