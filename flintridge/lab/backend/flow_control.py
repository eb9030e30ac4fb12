"""Flow control of a connection on loopback, by the bytes that are on their way."""

from enum import Enum

WINDOW_BYTES = 256 * 1024  # on the way in one direction; beyond it a sender waits, as for a TCP window
HIGH_WATER_BYTES = 64 * 1024  # as in asyncio


class FlowChange(Enum):
    """What a sender is to do now."""

    NONE = "none"
    PAUSE = "pause"
    RESUME = "resume"


class SendFlow:
    """Decides when the lab's protocol pauses writing.

    Attributes:
        in_flight_bytes: Written, and not yet taken by the node's socket.
        high_bytes: Beyond the window: from here on writing pauses.
        low_bytes: Beyond the window: from here on it goes on.
        socket_paused: Whether the node's socket takes no more.
    """

    def __init__(self) -> None:
        """Begin with nothing on the way."""
        self.in_flight_bytes = 0
        self.high_bytes = HIGH_WATER_BYTES
        self.low_bytes = HIGH_WATER_BYTES // 4
        self.socket_paused = False
        self._paused = False

    def set_limits(self, high: int | None, low: int | None) -> None:
        """Set the limits, as asyncio's transports do.

        Args:
            high: Bytes beyond the window from which on writing pauses.
            low: Bytes beyond the window from which on it goes on.

        Raises:
            ValueError: If they are not in order.
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
        """How many bytes wait before the window; negative while there is room."""
        return self.in_flight_bytes - WINDOW_BYTES

    def next_change(self) -> FlowChange:
        """Decide anew, and take it that the protocol follows."""
        beyond = self.beyond_window_bytes()
        if not self._paused and (beyond > self.high_bytes or self.socket_paused):
            self._paused = True
            return FlowChange.PAUSE
        if self._paused and beyond <= self.low_bytes and not self.socket_paused:
            self._paused = False
            return FlowChange.RESUME
        return FlowChange.NONE


class ReceiveWindow:
    """Decides when the node's socket is read no further."""

    def __init__(self) -> None:
        """Begin with nothing on the way."""
        self._in_flight_bytes = 0
        self._full = False

    def add(self, size: int) -> FlowChange:
        """Bytes were read from the node's socket.

        Args:
            size: How many.
        """
        self._in_flight_bytes += size
        if self._in_flight_bytes > WINDOW_BYTES and not self._full:
            self._full = True
            return FlowChange.PAUSE
        return FlowChange.NONE

    def remove(self, size: int) -> FlowChange:
        """Bytes arrived at the lab.

        Args:
            size: How many.
        """
        self._in_flight_bytes -= size
        if self._full and self._in_flight_bytes <= WINDOW_BYTES // 2:
            self._full = False
            return FlowChange.RESUME
        return FlowChange.NONE
