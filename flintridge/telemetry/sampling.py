"""Sampling of log events: some of each name are written per second, the others counted and summarized."""

import logging
import threading
import time
from collections.abc import Callable

SUMMARY_EVENT = "events_suppressed"


def _do_nothing() -> None:
    pass


class EventSampler(logging.Filter):
    """Passes the first events of each name in every second, and counts the events that it suppresses."""

    def __init__(
        self,
        max_per_s: int,
        report: Callable[[str, int], None],
        on_first_suppressed: Callable[[], None] = _do_nothing,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start in the current second of `now_s`.

        Args:
            max_per_s: How many events of the same name pass per second.
            report: Called with an event's name and its number of suppressed events, after the second in which
                they were suppressed.
            on_first_suppressed: Called when the first event of a name is suppressed in a second.
            now_s: Returns the monotonic time in seconds.
        """
        super().__init__()
        self._max_per_s = max_per_s
        self._report = report
        self._on_first_suppressed = on_first_suppressed
        self._now_s = now_s
        self._current_second = int(now_s())
        self._counts: dict[str, int] = {}  # events in the current second, by name
        self._lock = threading.Lock()  # the writer's thread calls this object too

    @property
    def has_suppressed(self) -> bool:
        """Whether there are suppressed events that have not been reported yet."""
        with self._lock:
            return any(count > self._max_per_s for count in self._counts.values())

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record's event passes; summaries always pass."""
        if record.msg == SUMMARY_EVENT:
            return True
        self.flush()
        with self._lock:
            count = self._counts.get(record.msg, 0) + 1
            self._counts[record.msg] = count
        if count == self._max_per_s + 1:
            self._on_first_suppressed()
        return count <= self._max_per_s

    def flush(self, include_current_second: bool = False) -> None:
        """Report the events that were suppressed in a second that is over.

        Args:
            include_current_second: Whether to report those of the current second too.
        """
        with self._lock:
            second = int(self._now_s())
            if second == self._current_second and not include_current_second:
                return
            self._current_second = second
            suppressed = {
                event: count - self._max_per_s
                for event, count in self._counts.items()
                if count > self._max_per_s
            }
            self._counts.clear()
        for event, count in suppressed.items():  # outside the lock, as the summary goes through `filter`
            self._report(event, count)
