"""Notices when the process was held up: stopped, without CPU time, or long in one event loop iteration.

Input that arrived meanwhile waits in the kernel, which doesn't tell for how long.
"""

import math

from flintridge.runtime.clock import Clock, Timer

CHECK_INTERVAL_MS = 250.0
MIN_HOLD_UP_MS = 250.0  # a check that is late by less is not counted
# How long after a hold-up the input that waited may still be processed.
RECENT_MS = 1_000.0


class HoldUpMonitor:
    """Measures how long the event loop was held up, by the delay of a periodic timer."""

    def __init__(self, clock: Clock) -> None:
        """Begin to check; `close` ends it."""
        self._clock = clock
        self._began_at = self._ended_at = -math.inf
        self._schedule()

    def recent_hold_up_ms(self) -> float:
        """Return how long input that is processed now may have waited unread; 0 without a hold-up."""
        self._note_delay()  # the timer is not first in an iteration
        if self._clock.now() - self._ended_at > RECENT_MS:
            return 0.0
        return self._ended_at - self._began_at

    def close(self) -> None:
        """Stop checking."""
        self._timer.cancel()

    def _schedule(self) -> None:
        self._due = self._clock.now() + CHECK_INTERVAL_MS
        self._timer: Timer = self._clock.call_at(self._due, self._check)

    def _check(self) -> None:
        self._note_delay()
        self._schedule()

    def _note_delay(self) -> None:
        now = self._clock.now()
        if now - self._due < MIN_HOLD_UP_MS:
            return
        began_at = self._due - CHECK_INTERVAL_MS  # the last instant at which the loop certainly ran
        if began_at - self._ended_at > RECENT_MS:  # otherwise both count as one
            self._began_at = began_at
        self._ended_at = now
