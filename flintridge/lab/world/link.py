"""One direction of a network link between two machines: delays, segments and losses."""

from dataclasses import dataclass

UP = "up"
RESET = "reset"
SILENT = "silent"
STATES = (UP, RESET, SILENT)
"""States of a link, in increasing order of severity."""

MAX_SEGMENTS = 4
MINSTD_MODULUS = 2_147_483_647
MINSTD_FACTOR = 48_271
_UNIT = 1.0 / MINSTD_MODULUS


@dataclass(slots=True, frozen=True)
class LinkFault:
    """A fault in one direction between two nodes, in addition to faults between their zones.

    Datagrams can overtake each other, because `jitter_ms` is drawn for each of them. The attributes are those
    of `flintridge.lab.records.LinkFaultChanged`.

    Attributes:
        cut: Whether nothing arrives.
        loss: Fraction of datagrams that are lost.
        duplication: Fraction of datagrams that arrive twice.
        added_delay_ms: Additional delay of everything that is sent (ms).
        jitter_ms: Upper bound of a further delay that is drawn for each datagram (ms).
        bytes_per_s: Bandwidth; 0 for no limit.
    """

    cut: bool = False
    loss: float = 0.0
    duplication: float = 0.0
    added_delay_ms: float = 0.0
    jitter_ms: float = 0.0
    bytes_per_s: float = 0.0


NO_FAULT = LinkFault()


class SimulatedLink:
    """The link from one party to another; see `flintridge.lab.fabric.Link`.

    It has its own small random number generator (MINSTD), so that traffic on one link never changes the
    delays of another one, and thousands of links stay cheap.

    Attributes:
        source: The party that sends.
        target: The party that receives.
        state: One of `STATES`.
        base_ms: Delay without jitter and without additional delays (ms).
        added_ms: Delay that faults between the two zones add (ms).
        fault: The fault of this direction.
    """

    __slots__ = (
        "_free_at",
        "_generator_state",
        "_jitter",
        "_segmented_fraction",
        "added_ms",
        "base_ms",
        "fault",
        "source",
        "state",
        "target",
    )

    def __init__(
        self, source: str, target: str, base_ms: float, jitter: float, segmented_fraction: float, seed: int
    ) -> None:
        """Create a link that is up.

        Args:
            source: The party that sends.
            target: The party that receives.
            base_ms: Delay without jitter (ms).
            jitter: Largest variation of the delay, as a fraction of it.
            segmented_fraction: Fraction of writes that arrive in several segments.
            seed: Seed of the link's random number generator.
        """
        self.source = source
        self.target = target
        self.state = UP
        self.base_ms = base_ms
        self.added_ms = 0.0
        self.fault = NO_FAULT
        self._free_at = 0.0  # when all earlier bytes have been sent, if the bandwidth is limited
        self._jitter = jitter
        self._segmented_fraction = segmented_fraction
        self._generator_state = seed % (MINSTD_MODULUS - 1) + 1

    def delay(self, now: float, size: int) -> float:
        """Draw the delay of bytes that are sent now.

        Args:
            now: Time of the run in milliseconds.
            size: Number of bytes; it matters only if a fault limits the bandwidth.

        Returns:
            The delay in milliseconds.
        """
        state = self._generator_state * MINSTD_FACTOR % MINSTD_MODULUS
        self._generator_state = state
        delay_ms = self.base_ms * (1.0 + self._jitter * (2.0 * state * _UNIT - 1.0)) + self.added_ms
        if self.fault is NO_FAULT:
            return delay_ms
        return delay_ms + self._fault_delay(now, size)

    def lost(self) -> bool:
        """Draw whether a datagram is lost."""
        return self.fault.loss > 0 and self._draw() < self.fault.loss

    def duplicated(self) -> bool:
        """Draw whether a datagram arrives twice."""
        return self.fault.duplication > 0 and self._draw() < self.fault.duplication

    def segment_sizes(self, size: int) -> list[int]:
        """Draw the segments in which a write arrives.

        Args:
            size: Number of bytes of the write.

        Returns:
            One size, or two to `MAX_SEGMENTS` sizes, which add up to `size`.
        """
        if size < 2 or not self._segmented_fraction or self._draw() >= self._segmented_fraction:
            return [size]
        segments: list[int] = []
        count = min(size, 2 + int(self._draw() * (MAX_SEGMENTS - 1)))
        for remaining in range(count - 1, 0, -1):
            segment = 1 + int(self._draw() * (size - remaining))  # leaves one byte for each later segment
            segments.append(segment)
            size -= segment
        segments.append(size)
        return segments

    def _fault_delay(self, now: float, size: int) -> float:
        fault = self.fault
        queueing_ms = 0.0
        if fault.bytes_per_s:
            self._free_at = max(self._free_at, now) + size / fault.bytes_per_s * 1000
            queueing_ms = self._free_at - now
        jitter_ms = fault.jitter_ms * self._draw() if fault.jitter_ms else 0.0
        return queueing_ms + fault.added_delay_ms + jitter_ms

    def _draw(self) -> float:
        state = self._generator_state * MINSTD_FACTOR % MINSTD_MODULUS
        self._generator_state = state
        return state * _UNIT
