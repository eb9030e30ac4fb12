"""What a node's operating system does wrong at present, and the draws of single calls; for both backends."""

import errno
import os
import random
from collections import Counter
from typing import Literal

import msgspec

from flintridge.lab.scenario.system_faults import Call


class CallErrors(msgspec.Struct, frozen=True):
    """So large a part of the calls of a kind fails, each by one of these errors."""

    call: Call
    errors: tuple[str, ...]
    part: float


class FolderState(msgspec.Struct, frozen=True):
    """So large a part of the calls on a node's folder fails by these; and what a kill left half written."""

    errors: tuple[Literal["ENOSPC", "EIO"], ...]
    part: float
    half_written: int


class SystemState(msgspec.Struct, frozen=True):
    """What is wrong with one node's operating system; all at rest: nothing."""

    calls: tuple[CallErrors, ...] = ()
    short_part: float = 0.0
    short_bytes: int = 0
    stall_part: float = 0.0
    stall_ms: float = 0.0
    clock_ms: float = 0.0  # what its wall clock is ahead
    folder: tuple[FolderState, ...] = ()


SOUND = SystemState()


class Injector:
    """Draws, for one process, which of its calls go wrong and how.

    Attributes:
        state: What is wrong at present.
        counts: What was caused so far, by name.
    """

    def __init__(self, seed: str, state: SystemState = SOUND) -> None:
        """`seed` makes the draws."""
        self.state = state
        self.counts: Counter[str] = Counter()
        self._random = random.Random(seed)

    def error(self, call: Call, opened: bool = True) -> OSError | None:
        """How a call fails; None: it does not. `opened`: on a connection that the node itself opened."""
        for wrong in self.state.calls:
            if wrong.call != call or self._random.random() >= wrong.part:
                continue
            name = self._random.choice(wrong.errors)
            if call in ("read", "write") and not opened and name != "EINTR":
                continue
            self.counts[f"injected_{call}"] += 1
            return _os_error(name)
        return None

    def short(self, size: int) -> int:
        """How much of so many bytes one call takes."""
        state = self.state
        if size <= state.short_bytes or self._random.random() >= state.short_part:
            return size
        self.counts["injected_short_io"] += 1
        return state.short_bytes

    def stall_s(self) -> float:
        """How long the node is held up before a write."""
        state = self.state
        if not state.stall_part or self._random.random() >= state.stall_part:
            return 0.0
        self.counts["injected_stall"] += 1
        return self._random.uniform(0, state.stall_ms) / 1000

    def folder_error(self, makes: bool) -> OSError | None:
        """How a call on the node's folder fails; `makes`: it makes or enlarges something."""
        for wrong in self.state.folder:
            names = [name for name in wrong.errors if makes or name != "ENOSPC"]
            if names and self._random.random() < wrong.part:
                self.counts["injected_folder"] += 1
                return _os_error(self._random.choice(names))
        return None


def _os_error(name: str) -> OSError:
    """Of the subclass that Python has for this errno."""
    number: int = getattr(errno, name)
    return OSError(number, os.strerror(number))
