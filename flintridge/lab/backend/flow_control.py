"""Flow control of a connection on loopback, by the number of bytes in flight."""

from enum import Enum

WINDOW_BYTES = 256 * 1024  # in flight in one direction before the sender waits, like a TCP window
HIGH_WATER_BYTES = 64 * 1024  # as in asyncio


class FlowChange(Enum):
    """Whether a sender pauses or resumes."""

    NONE = "none"
    PAUSE = "pause"
    RESUME = "resume"


class SendFlow:
    """Decides when the lab's protocol pauses writing.

    Attributes:
        in_flight_bytes: The number of bytes written by the lab and not yet delivered to the node's socket.
        high_bytes: Writing pauses above this number of bytes beyond the window.
        low_bytes: Writing resumes at or below this number of bytes beyond the window.
        socket_paused: Whether the write buffer of the node's socket is full.
    """

    def __init__(self) -> None:
        """Start with no bytes in flight."""
        self.in_flight_bytes = 0
        self.high_bytes = HIGH_WATER_BYTES
        self.low_bytes = HIGH_WATER_BYTES // 4
        self.socket_paused = False
        self._paused = False

    def set_limits(self, high: int | None, low: int | None) -> None:
        """Set the limits, with the same defaults as asyncio's transports.

        Args:
            high: The number of bytes beyond the window above which writing pauses.
            low: The number of bytes beyond the window at which writing resumes.

        Raises:
            ValueError: If `low` is negative or above `high`.
        """
        if high is None:
            high = HIGH_WATER_BYTES if low is None else 4 * low
        if low is None:
            low = high // 4
        if not high >= low >= 0:
            raise ValueError(f"high ({high!r}) must be >= low ({low!r}) must be >= 0")
        self.high_bytes = high
        self.low_bytes = low

    def beyond_window_bytes(self) -> int:
        """Return the number of bytes that exceed the window; negative while it has room."""
        return self.in_flight_bytes - WINDOW_BYTES

    def next_change(self) -> FlowChange:
        """Decide whether to pause or resume; the caller must apply the returned change."""
        beyond = self.beyond_window_bytes()
        if not self._paused and (beyond > self.high_bytes or self.socket_paused):
            self._paused = True
            return FlowChange.PAUSE
        if self._paused and beyond <= self.low_bytes and not self.socket_paused:
            self._paused = False
            return FlowChange.RESUME
        return FlowChange.NONE


class ReceiveWindow:
    """Decides when reading from the node's socket pauses."""

    def __init__(self) -> None:
        """Start with no bytes in flight."""
        self._in_flight_bytes = 0
        self._full = False

    def add(self, size: int) -> FlowChange:
        """Account for bytes that were read from the node's socket.

        Args:
            size: The number of bytes.
        """
        self._in_flight_bytes += size
        if self._in_flight_bytes > WINDOW_BYTES and not self._full:
            self._full = True
            return FlowChange.PAUSE
        return FlowChange.NONE

    def remove(self, size: int) -> FlowChange:
        """Account for bytes that arrived at the lab.

        Args:
            size: The number of bytes.
        """
        self._in_flight_bytes -= size
        if self._full and self._in_flight_bytes <= WINDOW_BYTES // 2:
            self._full = False
            return FlowChange.RESUME
        return FlowChange.NONE
