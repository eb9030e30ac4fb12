"""The receive queue of a connection's socket."""

from collections import deque

Segment = tuple[bytes, float]  # bytes that arrived together, and when (s) they were sent


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
        self.segments.append((data, sent_at_s))
        self.size += len(data)

    def take(self, limit: int) -> Segment:
        """Read up to `limit` bytes, of several segments where they fit whole; the queue is not empty.

        Returns:
            The bytes, and when the first of them were sent.
        """
        segments = self.segments
        data, sent_at_s = segments.popleft()
        if len(data) > limit:
            segments.appendleft((data[limit:], sent_at_s))
            data = data[:limit]
        elif segments:
            data = self._join_following(data, limit)
        self.size -= len(data)
        return data, sent_at_s

    def _join_following(self, data: bytes, limit: int) -> bytes:
        segments = self.segments
        joined = [data]
        size = len(data)
        while segments and size + len(segments[0][0]) <= limit:
            following, _ = segments.popleft()
            joined.append(following)
            size += len(following)
        return b"".join(joined)

    def clear(self) -> None:
        """Drop what was not read."""
        self.segments.clear()
        self.size = 0
