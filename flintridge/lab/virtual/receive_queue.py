"""The receive queue of a connection's socket."""

from collections import deque

Segment = tuple[bytes, float]  # data that arrived together, and the time (s) at which it was sent


class ReceiveQueue:
    """Segments that arrived and have not been read.

    Attributes:
        segments: The segments in order of arrival, none of them empty.
        size: The total size of the segments, in bytes.
    """

    __slots__ = ("segments", "size")

    def __init__(self) -> None:
        self.segments: deque[Segment] = deque()
        self.size = 0

    def append(self, data: bytes, sent_at_s: float) -> None:
        """Add a segment that was sent at `sent_at_s`."""
        self.segments.append((data, sent_at_s))
        self.size += len(data)

    def take(self, limit: int) -> Segment:
        """Read up to `limit` bytes; the queue must not be empty.

        Following segments are included only if they fit as a whole.

        Returns:
            The data, and the time (s) at which its first byte was sent.
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
        """Drop all unread data."""
        self.segments.clear()
        self.size = 0
