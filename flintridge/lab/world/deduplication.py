"""Deduplication of keyed writes at the origin, so that a repeated write is not executed again."""

from collections import deque
from dataclasses import dataclass

from flintridge.lab.world.origin_job import OriginJob

LATE_REPEAT_MS = 50.0  # extends the window by the time that a repeat sent within it may be on the network


@dataclass(slots=True, frozen=True)
class _AcceptedWrite:
    accepted_at: float
    job: OriginJob

    @property
    def window_ends_at(self) -> float:
        return self.accepted_at + self.job.deduplication_window_ms + LATE_REPEAT_MS


class DeduplicationTable:
    """Recently accepted writes by idempotency key."""

    __slots__ = ("_expiries", "_writes")

    def __init__(self) -> None:
        """Start empty."""
        self._writes: dict[str, _AcceptedWrite] = {}
        self._expiries: deque[tuple[float, str]] = deque()  # end of the window, idempotency key

    def add(self, now: float, job: OriginJob) -> None:
        """Remember a write that was accepted at `now` (ms)."""
        write = _AcceptedWrite(now, job)
        self._writes[job.idempotency_key] = write
        self._expiries.append((write.window_ends_at, job.idempotency_key))

    def find(self, now: float, job: OriginJob) -> OriginJob | None:
        """Return the write that this one repeats at `now` (ms) within its window; None if it is no repeat."""
        self._expire(now)
        write = self._writes.get(job.idempotency_key)
        if write is None or now > write.window_ends_at:
            return None
        return write.job

    def forget(self, job: OriginJob) -> None:
        """Remove a write that was never executed, so that a later write with its key is not a repeat."""
        write = self._writes.get(job.idempotency_key)
        if write is not None and write.job is job:
            del self._writes[job.idempotency_key]

    def _expire(self, now: float) -> None:
        """Remove expired writes, which bounds memory in a long run."""
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            expired_at, idempotency_key = expiries.popleft()
            write = self._writes.get(idempotency_key)
            if write is not None and write.window_ends_at <= expired_at:
                del self._writes[idempotency_key]
