"""One direction of a connection over a link; data arrives in the order in which it was sent."""

from collections.abc import Callable

from flintridge.lab.virtual.link import Link
from flintridge.lab.virtual.scheduler import VirtualTimeLoop

SEGMENT_GAP_S = 1e-6  # between the segments of one write, so that each is read separately


class SendPath:
    """Schedules the arrival of data that one end of a connection sends.

    Attributes:
        link: The link of this direction. The caller checks whether it is up.
        last_arrival_s: The arrival time of the latest data; later data arrives no earlier.
    """

    __slots__ = ("_loop", "last_arrival_s", "link")

    def __init__(self, loop: VirtualTimeLoop, link: Link) -> None:
        self._loop = loop
        self.link = link
        self.last_arrival_s = 0.0

    def send_data(self, data: bytes, arrive: Callable[[bytes, float], None]) -> None:
        """Send bytes.

        Args:
            data: The bytes; the link splits them into segments.
            arrive: Called with each segment and the time (s) at which it was sent.
        """
        loop = self._loop
        size = len(data)
        sizes = self.link.segment_sizes(size)
        if len(sizes) > 1:
            self._send_segments(data, sizes, arrive)
            return
        now_s = loop.now_s + loop.lead_s
        when_s = now_s + self.link.delay(now_s * 1000, size) / 1000
        if when_s < self.last_arrival_s:
            when_s = self.last_arrival_s
        self.last_arrival_s = when_s
        loop.schedule_network_event(when_s, arrive, data, now_s)

    def _send_segments(self, data: bytes, sizes: list[int], arrive: Callable[[bytes, float], None]) -> None:
        if sum(sizes) != len(data) or min(sizes) <= 0:
            raise RuntimeError(f"a link split {len(data)} bytes into segments of {sizes} bytes")
        now_s = self._loop.now_s + self._loop.lead_s
        offset = 0
        for size in sizes:
            when_s = now_s + self.link.delay(now_s * 1000, size) / 1000
            when_s = max(when_s, self.last_arrival_s + SEGMENT_GAP_S)
            self.last_arrival_s = when_s
            self._loop.schedule_network_event(when_s, arrive, data[offset : offset + size], now_s)
            offset += size

    def send_signal(self, arrive: Callable[[], None]) -> None:
        """Send a signal without data (FIN, RST, SYN-ACK), which arrives after the data sent before it."""
        now_s = self._loop.now_s + self._loop.lead_s
        when_s = now_s + self.link.delay(now_s * 1000, 0) / 1000
        when_s = max(when_s, self.last_arrival_s)
        self.last_arrival_s = when_s
        self._loop.schedule_network_event(when_s, arrive)

    def send_unordered_signal(self, arrive: Callable[[int], None], size: int) -> None:
        """Send a window update for `size` bytes, which may overtake data."""
        loop = self._loop
        when_s = loop.now_s + self.link.delay(loop.now_s * 1000, 0) / 1000
        loop.schedule_network_event(when_s, arrive, size)
