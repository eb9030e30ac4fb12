"""Buffer for a value that is collected before it is forwarded, in reserved memory."""

from collections import deque
from types import TracebackType

from flintridge.core.memory_budget import MemoryBudget

SEGMENT_BYTES = 16 * 1024


class ValueBuffer:
    """The bytes of one value, in order. A context manager that releases its reservation at the end.

    The bytes are merged into segments: a value that arrives byte by byte would otherwise occupy many times
    its length. The memory of a segment is released when it is taken, so a slow client does not retain all.
    """

    __slots__ = ("_budget", "_reserved_bytes", "_segments")

    def __init__(self, budget: MemoryBudget, reserved_bytes: int) -> None:
        """Create an empty buffer.

        Args:
            budget: The budget that the memory was reserved from.
            reserved_bytes: The number of reserved bytes, which the buffer takes over: the value's length.
        """
        self._budget = budget
        self._reserved_bytes = reserved_bytes
        self._segments: deque[bytes | bytearray] = deque()

    def __enter__(self) -> "ValueBuffer":
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self.clear()

    def append(self, chunks: list[bytes]) -> None:
        """Append the next bytes of the value."""
        for chunk in chunks:
            last = self._segments[-1] if self._segments else b""
            if isinstance(last, bytearray):
                last += chunk
                if len(last) >= SEGMENT_BYTES:
                    self._segments[-1] = bytes(
                        last
                    )  # a bytearray that has grown occupies more than its length
            else:
                self._segments.append(chunk if len(chunk) >= SEGMENT_BYTES else bytearray(chunk))

    def take_segment(self) -> bytes | bytearray | None:
        """Remove and return the next bytes, and release their memory; None if the buffer is empty."""
        if not self._segments:
            return None
        segment = self._segments.popleft()
        self._release(len(segment))
        return segment

    def take_all(self) -> bytes:
        """Remove and return all bytes; their memory stays reserved until `clear`."""
        whole = b"".join(self._segments)
        self._segments.clear()
        return whole

    def clear(self) -> None:
        """Discard the bytes, and release the rest of the reservation."""
        self._segments.clear()
        self._release(self._reserved_bytes)

    def _release(self, count: int) -> None:
        self._reserved_bytes -= count
        self._budget.release(count)
