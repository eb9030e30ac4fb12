"""Faults of a node's operating system, and the draws by which single calls fail; for both backends."""

import errno
import os
import random
from collections import Counter
from typing import Literal

import msgspec

from flintridge.lab.scenario.system_faults import Call


class CallErrors(msgspec.Struct, frozen=True):
    """Calls of one kind that fail.

    Attributes:
        call: The kind of call.
        errors: Names of the errors, of which each failure has one.
        fraction: Fraction of the calls that fail.
    """

    call: Call
    errors: tuple[str, ...]
    fraction: float


class FolderState(msgspec.Struct, frozen=True):
    """Calls on a node's own folder that fail.

    Attributes:
        errors: Names of the errors, of which each failure has one.
        fraction: Fraction of the calls that fail.
        half_written: Files that lie there as a killed process leaves them.
    """

    errors: tuple[Literal["ENOSPC", "EIO"], ...]
    fraction: float
    half_written: int


class SystemState(msgspec.Struct, frozen=True):
    """What is wrong with one node's operating system; by default nothing.

    Attributes:
        calls: Socket calls that fail.
        short_io_fraction: Fraction of reads and writes that transfer fewer bytes than asked.
        short_io_bytes: The bytes that such a call transfers.
        stall_fraction: Fraction of writes before which the process stands still.
        max_stall_ms: The longest time for which it does.
        clock_offset_ms: How much its wall clock is ahead.
        folder: Calls on its own folder that fail.
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
    """Draws, for one process, which of its calls fail and how.

    Attributes:
        state: What is wrong now.
        counts: The faults injected so far, by the names of their counters.
    """

    def __init__(self, seed: str, state: SystemState = NO_FAULTS) -> None:
        """Begin with no fault injected.

        Args:
            seed: Of the draws.
            state: What is wrong now.
        """
        self.state = state
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)

    def error(self, call: Call, opened: bool = True) -> OSError | None:
        """Draw how a socket call fails.

        Args:
            call: The kind of call.
            opened: Whether it is made on a connection that the process itself opened.

        Returns:
            The error, or None where the call succeeds.
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
        """Draw how many of `size` bytes one call transfers."""
        state = self.state
        if size <= state.short_io_bytes or self._random.random() >= state.short_io_fraction:
            return size
        self.counts["injected_short_io"] += 1
        return state.short_io_bytes

    def stall_s(self) -> float:
        """Draw how long (s) the process stands still before a write."""
        state = self.state
        if not state.stall_fraction or self._random.random() >= state.stall_fraction:
            return 0.0
        self.counts["injected_stall"] += 1
        return self._random.uniform(0, state.max_stall_ms) / 1000

    def folder_error(self, allocates: bool) -> OSError | None:
        """Draw how a call on the node's own folder fails.

        Args:
            allocates: Whether the call may need space on the disk.

        Returns:
            The error, or None where the call succeeds.
        """
        for faulty in self.state.folder:
            names = [name for name in faulty.errors if allocates or name != "ENOSPC"]
            if names and self._random.random() < faulty.fraction:
                self.counts["injected_folder"] += 1
                return _os_error(self._random.choice(names))
        return None


def _os_error(name: str) -> OSError:
    """An error of the subclass that Python has for this errno."""
    number: int = getattr(errno, name)
    return OSError(number, os.strerror(number))
