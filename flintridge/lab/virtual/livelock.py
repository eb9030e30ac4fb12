"""Detection of code that never rests: without time advancing, or beyond a limit of real time."""

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

TIME_STEP_MIN_S = 1e-6  # time that advances by less stands still
REPORTED_HANDLES = 8  # named by the error
ALARM_REPEAT_S = 0.25  # real time after which an error that was swallowed is raised again


class LivelockDetector:
    """Counts handles while virtual time stands still, and watches a limit of real time.

    Attributes:
        wall_deadline_s: The value of `perf_counter` at which real time is over.
        error: What was raised, or waits to be raised by the loop.
        handles: That ran since time advanced, or are about to; whoever runs them counts.
        noted_from: Beyond so many of them, each is worth a `note`: the limit is near.
    """

    def __init__(self, max_handles: int, start_s: float) -> None:
        self.wall_deadline_s = inf
        self.error: LivelockError | None = None
        self._max_handles = max_handles
        self.handles = 0
        self.noted_from = max_handles - REPORTED_HANDLES
        self._advanced_at_s = start_s
        self._last_handles: deque[str] = deque(maxlen=REPORTED_HANDLES)

    def time_advanced(self, now_s: float) -> None:
        """Virtual time is `now_s`."""
        if now_s - self._advanced_at_s >= TIME_STEP_MIN_S:
            self._advanced_at_s = now_s
            self.handles = 0
            self._last_handles.clear()

    def note(self, handle: Any, host: str) -> None:
        """Keep the name of a handle that is about to run on `host`.

        Raises:
            LivelockError: If it is one too many.
        """
        self._last_handles.append(f"{host}: {handle_name(handle)}")
        if self.handles > self._max_handles:
            last = ", ".join(self._last_handles)
            reason = f"{self._max_handles} handles ran while time stood still; the last: {last}"
            self.error = LivelockError(host, reason)
            raise self.error

    def wall_limit_exceeded(self, host: str | None, handle: Any, frame: FrameType | None) -> None:
        """Real time is over.

        Args:
            host: Whose code runs; None: just now nobody's, and the loop raises the error later.
            handle: What runs.
            frame: Where it is, if that is known.

        Raises:
            LivelockError: If code runs.
        """
        if self.error is None:
            where = f" at {frame.f_code.co_filename}:{frame.f_lineno}" if frame is not None else ""
            running = "between handles" if handle is None else handle_name(handle)
            self.error = LivelockError(host or "lab", f"the limit of real time is over: {running}{where}")
        if host is not None:
            raise self.error


@contextmanager
def alarm_after(limit_s: float, on_alarm: Callable[[FrameType | None], None]) -> Iterator[None]:
    """Calls `on_alarm` after `limit_s` of real time, again and again, in the main thread only."""
    if threading.current_thread() is not threading.main_thread():
        yield  # signals come to the main thread: the loop looks between handles
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
