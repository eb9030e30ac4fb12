"""The first so many of an event a second; the rest of that second is counted and told in one line."""

import logging
import threading
import time
from collections.abc import Callable

SUMMARY = "repeated"


class Sampler(logging.Filter):
    """`tell` is given an event's name and how many of it were held back, once their second is over.

    `began` is called as the first one of a second is held back. `now` gives seconds.
    """

    def __init__(
        self,
        per_s: int,
        tell: Callable[[str, int], None],
        began: Callable[[], None] = lambda: None,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._per_s = per_s
        self._tell = tell
        self._began = began
        self._now = now
        self._second = int(now())
        self._seen: dict[str, int] = {}
        self._lock = threading.Lock()  # the writer's thread asks as well

    @property
    def holding(self) -> bool:
        with self._lock:
            return any(seen > self._per_s for seen in self._seen.values())

    def filter(self, record: logging.LogRecord) -> bool:
        if record.msg == SUMMARY:
            return True
        self.flush()
        with self._lock:
            seen = self._seen[record.msg] = self._seen.get(record.msg, 0) + 1
        if seen == self._per_s + 1:
            self._began()
        return seen <= self._per_s

    def flush(self, at_once: bool = False) -> None:
        """Tell what was held back in a second that is over, or in this one too."""
        with self._lock:
            second = int(self._now())
            if second == self._second and not at_once:
                return
            self._second = second
            held = [(name, seen - self._per_s) for name, seen in self._seen.items() if seen > self._per_s]
            self._seen.clear()
        for name, count in held:
            self._tell(name, count)
