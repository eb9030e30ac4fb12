"""Which keyed writes the origin has accepted of late, so that a repeat is not executed again."""

from collections import deque
from dataclasses import dataclass

from flintridge.lab.world.origin_job import OriginJob

LATE_REPEAT_MS = 50.0  # by which a repeat within its window may arrive later, for its time on the network


@dataclass(slots=True, frozen=True)
class _AcceptedWrite:
    accepted_at: float
    job: OriginJob

    @property
    def window_ends_at(self) -> float:
        return self.accepted_at + self.job.deduplication_window_ms + LATE_REPEAT_MS


class DeduplicationTable:
    """Accepted writes by their idempotency keys."""

    __slots__ = ("_expiries", "_writes")

    def __init__(self) -> None:
        """Start empty."""
        self._writes: dict[str, _AcceptedWrite] = {}
        self._expiries: deque[tuple[float, str]] = deque()  # end of a window, idempotency key

    def add(self, now: float, job: OriginJob) -> None:
        """Remember a write that was accepted at `now` (ms)."""
        write = _AcceptedWrite(now, job)
        self._writes[job.idempotency_key] = write
        self._expiries.append((write.window_ends_at, job.idempotency_key))

    def find(self, now: float, job: OriginJob) -> OriginJob | None:
        """The write that this one repeats within its window, at `now` (ms)."""
        self._expire(now)
        write = self._writes.get(job.idempotency_key)
        if write is None or now > write.window_ends_at:
            return None
        return write.job

    def forget(self, job: OriginJob) -> None:
        """Drop a write that was never executed: what repeats it is no repeat."""
        write = self._writes.get(job.idempotency_key)
        if write is not None and write.job is job:
            del self._writes[job.idempotency_key]

    def _expire(self, now: float) -> None:
        """Guards a long run against growing."""
        expiries = self._expiries
        while expiries and expiries[0][0] < now:
            expired_at, idempotency_key = expiries.popleft()
            write = self._writes.get(idempotency_key)
            if write is not None and write.window_ends_at <= expired_at:
                del self._writes[idempotency_key]
