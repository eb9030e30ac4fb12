"""Links: how long bytes take from one host to another, and whether they arrive."""

from typing import Final, Literal, Protocol

LinkState = Literal["up", "silent", "reset"]

LINK_UP: Final = "up"
LINK_SILENT: Final = "silent"  # what is sent is lost
LINK_RESET: Final = "reset"  # connections break


class Link(Protocol):
    """One direction of the path between two hosts.

    A link may also have `lost() -> bool` and `duplicated() -> bool`, asked for each datagram.
    """

    @property
    def state(self) -> str:
        """A LinkState; it counts when bytes are sent and again when they arrive."""

    def delay(self, now: float, size: int, /) -> float:
        """How long bytes take.

        Args:
            now: The virtual time at which they are sent, in ms.
            size: How many they are; 0 is a signal without data.

        Returns:
            Milliseconds from `now` until they arrive.
        """

    def segment_sizes(self, size: int, /) -> list[int]:
        """The sizes of the segments in which `size` bytes arrive, each at a time of its own."""


class FixedLink:
    """A link with one delay for everything.

    Attributes:
        delay_ms: The delay, in ms.
        state: A LinkState.
        segment_bytes: Writes arrive in segments of this size; 0: each in one.
    """

    def __init__(self, delay_ms: float = 0.05, state: LinkState = LINK_UP, segment_bytes: int = 0) -> None:
        self.delay_ms = delay_ms
        self.state: str = state
        self.segment_bytes = segment_bytes

    def delay(self, now: float, size: int) -> float:
        """The same for every size (ms)."""
        return self.delay_ms

    def segment_sizes(self, size: int) -> list[int]:
        """Segments of equal size; the last one has the rest."""
        if not self.segment_bytes:
            return [size]
        full_segments, rest = divmod(size, self.segment_bytes)
        sizes = [self.segment_bytes] * full_segments
        if rest:
            sizes.append(rest)
        return sizes
