"""The receive queue of a connection's socket."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class Segment:
    """Bytes that arrived together.

    Attributes:
        data: The bytes.
        sent_at_s: When they were sent.
    """

    data: bytes
    sent_at_s: float


class ReceiveQueue:
    """Segments that arrived and were not read.

    Attributes:
        segments: In order of arrival, none of them empty.
        size: Their bytes.
    """

    __slots__ = ("segments", "size")

    def __init__(self) -> None:
        self.segments: deque[Segment] = deque()
        self.size = 0

    def append(self, data: bytes, sent_at_s: float) -> None:
        """Bytes arrive that were sent at `sent_at_s`."""
        self.segments.append(Segment(data, sent_at_s))
        self.size += len(data)

    def take(self, limit: int) -> Segment:
        """Read up to `limit` bytes, of several segments where they fit whole; the queue is not empty.

        Returns:
            The bytes, and when the first of them were sent.
        """
        segments = self.segments
        first = segments.popleft()
        if len(first.data) > limit:
            segments.appendleft(Segment(first.data[limit:], first.sent_at_s))
            first.data = first.data[:limit]
        elif segments:
            first.data = self._join_following(first.data, limit)
        self.size -= len(first.data)
        return first

    def _join_following(self, data: bytes, limit: int) -> bytes:
        segments = self.segments
        joined = [data]
        size = len(data)
        while segments and size + len(segments[0].data) <= limit:
            joined.append(segments.popleft().data)
            size += len(joined[-1])
        return b"".join(joined)

    def clear(self) -> None:
        """Drop what was not read."""
        self.segments.clear()
        self.size = 0
