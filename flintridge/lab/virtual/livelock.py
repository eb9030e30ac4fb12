"""Detection of code that runs without end: at one virtual time, or beyond a limit of real time."""

import signal
import threading
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from math import inf
from types import FrameType
from typing import Any

from flintridge.lab.virtual.errors import LivelockError
from flintridge.lab.virtual.handles import handle_name

TIME_STEP_MIN_S = 1e-6  # smaller steps of virtual time do not count as progress
REPORTED_HANDLES = 8  # number of recent handles that the error message names
ALARM_REPEAT_S = 0.25  # real time after which an error that the code suppressed is raised again


class LivelockDetector:
    """Counts handles while virtual time stands still, and watches a limit of real time.

    Attributes:
        wall_deadline_s: The value of `perf_counter` at which the limit of real time is reached.
        error: The error that was raised, or that the loop has yet to raise.
        handles: The number of handles since virtual time advanced; the scheduler adds each batch before it
            runs it.
        note_threshold: Above this number of handles the limit is near, so that the scheduler calls `note` for
            each handle.
    """

    def __init__(self, max_handles: int, start_s: float) -> None:
        self.wall_deadline_s = inf
        self.error: LivelockError | None = None
        self._max_handles = max_handles
        self.handles = 0
        self.note_threshold = max_handles - REPORTED_HANDLES
        self._advanced_at_s = start_s
        self._last_handles: deque[str] = deque(maxlen=REPORTED_HANDLES)

    def time_advanced(self, now_s: float) -> None:
        """Reset the count of handles if virtual time has advanced far enough to `now_s`."""
        if now_s - self._advanced_at_s >= TIME_STEP_MIN_S:
            self._advanced_at_s = now_s
            self.handles = 0
            self._last_handles.clear()

    def note(self, handle: Any, host: str) -> None:
        """Record the name of a handle that is about to run on `host`.

        Raises:
            LivelockError: If the number of handles exceeds the limit.
        """
        self._last_handles.append(f"{host}: {handle_name(handle)}")
        if self.handles > self._max_handles:
            last = ", ".join(self._last_handles)
            reason = f"{self._max_handles} handles ran while virtual time stood still; the last: {last}"
            self.error = LivelockError(host, reason)
            raise self.error

    def wall_limit_exceeded(self, host: str | None, handle: Any, frame: FrameType | None) -> None:
        """Handle that the limit of real time is exceeded.

        Args:
            host: The host whose code is running. None means that no host's code runs at this moment; the loop
                then raises the error later.
            handle: The handle that is running, or None between handles.
            frame: The stack frame that is running, if it is known.

        Raises:
            LivelockError: If the code of a host is running.
        """
        if self.error is None:
            where = f" at {frame.f_code.co_filename}:{frame.f_lineno}" if frame is not None else ""
            running = "between handles" if handle is None else handle_name(handle)
            self.error = LivelockError(host or "lab", f"the limit of real time is exceeded: {running}{where}")
        if host is not None:
            raise self.error


@contextmanager
def alarm_after(limit_s: float, on_alarm: Callable[[FrameType | None], None]) -> Iterator[None]:
    """Call `on_alarm` after `limit_s` of real time and repeatedly from then on; in the main thread only."""
    if threading.current_thread() is not threading.main_thread():
        yield  # only the main thread gets signals; the loop checks the deadline between handles
        return
    previous_handler = signal.signal(signal.SIGALRM, lambda _, frame: on_alarm(frame))
    previous_timer = signal.setitimer(signal.ITIMER_REAL, limit_s, ALARM_REPEAT_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)
        if previous_timer[0]:
            signal.setitimer(signal.ITIMER_REAL, *previous_timer)
