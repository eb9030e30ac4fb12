"""Links: the delay of data from one host to another, and whether the data arrives."""

from typing import Final, Literal, Protocol

LinkState = Literal["up", "silent", "reset"]

LINK_UP: Final = "up"
LINK_SILENT: Final = "silent"  # all data is lost without notice
LINK_RESET: Final = "reset"  # connections are reset


class Link(Protocol):
    """One direction of the path between two hosts.

    A link may also have `lost() -> bool` and `duplicated() -> bool`, which are called for each datagram.
    """

    @property
    def state(self) -> str:
        """A LinkState, checked both when data is sent and when it arrives."""

    def delay(self, now: float, size: int, /) -> float:
        """Return the delay of a piece of data.

        Args:
            now: The virtual time at which it is sent, in ms.
            size: Its size in bytes; 0 for a signal without data, such as a FIN.

        Returns:
            The time from `now` until it arrives, in ms.
        """

    def segment_sizes(self, size: int, /) -> list[int]:
        """Return the sizes of the segments in which `size` bytes arrive; each segment has its own delay."""


class FixedLink:
    """A link with a fixed delay.

    Attributes:
        delay_ms: The delay, in ms.
        state: A LinkState.
        segment_bytes: The size of the segments into which writes are cut; 0 means that they are not cut.
    """

    def __init__(self, delay_ms: float = 0.05, state: LinkState = LINK_UP, segment_bytes: int = 0) -> None:
        self.delay_ms = delay_ms
        self.state: str = state
        self.segment_bytes = segment_bytes

    def delay(self, now: float, size: int) -> float:
        """Return the fixed delay (ms), whatever the size."""
        return self.delay_ms

    def segment_sizes(self, size: int) -> list[int]:
        """Cut into segments of equal size; the last one has the remainder."""
        if not self.segment_bytes:
            return [size]
        full_segments, rest = divmod(size, self.segment_bytes)
        sizes = [self.segment_bytes] * full_segments
        if rest:
            sizes.append(rest)
        return sizes
