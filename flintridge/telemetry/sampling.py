"""Sampling of log events: so many of each a second are written, the others counted and summarized."""

import logging
import threading
import time
from collections.abc import Callable

SUMMARY_EVENT = "events_suppressed"


def _do_nothing() -> None:
    pass


class EventSampler(logging.Filter):
    """Lets the first events of a name pass in each second, and counts those that it suppresses."""

    def __init__(
        self,
        max_per_s: int,
        report: Callable[[str, int], None],
        on_first_suppressed: Callable[[], None] = _do_nothing,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Begin with the second that `now_s` is in.

        Args:
            max_per_s: How many events of a name pass in a second.
            report: Called with an event's name and how many of it were suppressed, once their second is over.
            on_first_suppressed: Called as the first one of a name is suppressed in a second.
            now_s: Gives seconds.
        """
        super().__init__()
        self._max_per_s = max_per_s
        self._report = report
        self._on_first_suppressed = on_first_suppressed
        self._now_s = now_s
        self._current_second = int(now_s())
        self._counts: dict[str, int] = {}  # events in the current second, by name
        self._lock = threading.Lock()  # the writer's thread calls as well

    @property
    def has_suppressed(self) -> bool:
        """Whether events were suppressed that have not been reported yet."""
        with self._lock:
            return any(count > self._max_per_s for count in self._counts.values())

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the record's event passes; summaries always do."""
        if record.msg == SUMMARY_EVENT:
            return True
        self.flush()
        with self._lock:
            count = self._counts.get(record.msg, 0) + 1
            self._counts[record.msg] = count
        if count == self._max_per_s + 1:
            self._on_first_suppressed()
        return count <= self._max_per_s

    def flush(self, at_once: bool = False) -> None:
        """Report what was suppressed in a second that is over; `at_once`: in the current one too."""
        with self._lock:
            second = int(self._now_s())
            if second == self._current_second and not at_once:
                return
            self._current_second = second
            suppressed = {
                event: count - self._max_per_s
                for event, count in self._counts.items()
                if count > self._max_per_s
            }
            self._counts.clear()
        for event, count in suppressed.items():  # outside of the lock: what is reported passes `filter`
            self._report(event, count)
