"""One direction of a network link between two machines: delays, fragments, losses."""

from dataclasses import dataclass

UP = "up"
RESET = "reset"
SILENT = "silent"
STATES = (UP, RESET, SILENT)
"""States of a link, the worse one later."""

MAX_FRAGMENTS = 4
MINSTD_MODULUS = 2_147_483_647
MINSTD_FACTOR = 48_271
_UNIT = 1.0 / MINSTD_MODULUS


@dataclass(slots=True, frozen=True)
class LinkFault:
    """What is wrong in one direction between two nodes, beside what is wrong between their zones.

    What is sent later may arrive earlier: `jitter_ms` is drawn for each datagram. Attributes are those of
    `flintridge.lab.records.LinkFaultChanged`.

    Attributes:
        cut: Whether nothing arrives.
        loss: Fraction of datagrams that are lost.
        duplication: Fraction of datagrams that arrive twice.
        added_delay_ms: By which everything arrives later.
        jitter_ms: Up to which, on top of that, each datagram arrives later.
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
    """One direction between two parties; see `flintridge.lab.fabric.Link`.

    It has a small generator of its own (MINSTD), so that traffic on one link never moves the delays of
    another, and thousands of links stay cheap.

    Attributes:
        source: The party that sends.
        target: The party that receives.
        state: One of `STATES`.
        base_ms: Delay without jitter and without what is added.
        added_ms: Delay that faults between the two zones add.
        fault: What is wrong in this direction alone.
    """

    __slots__ = (
        "_fragment_fraction",
        "_free_at",
        "_generator_state",
        "_jitter",
        "added_ms",
        "base_ms",
        "fault",
        "source",
        "state",
        "target",
    )

    def __init__(
        self, source: str, target: str, base_ms: float, jitter: float, fragment_fraction: float, seed: int
    ) -> None:
        """Make a link that is up.

        Args:
            source: The party that sends.
            target: The party that receives.
            base_ms: Delay without jitter.
            jitter: Fraction of the delay by which it varies at most.
            fragment_fraction: Fraction of writes that arrive in several fragments.
            seed: Of the link's generator.
        """
        self.source = source
        self.target = target
        self.state = UP
        self.base_ms = base_ms
        self.added_ms = 0.0
        self.fault = NO_FAULT
        self._free_at = 0.0  # when all bytes before have left, on a link of limited bandwidth
        self._jitter = jitter
        self._fragment_fraction = fragment_fraction
        self._generator_state = seed % (MINSTD_MODULUS - 1) + 1

    def delay(self, now: float, size: int) -> float:
        """How long something takes that is sent now.

        Args:
            now: Time of the run in milliseconds.
            size: Its bytes, which matter where a fault limits the bandwidth.

        Returns:
            Milliseconds.
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
        """Draw the fragments of a write.

        Args:
            size: Its bytes.

        Returns:
            Sizes that add up to it: one, or two to `MAX_FRAGMENTS` of them.
        """
        if size < 2 or not self._fragment_fraction or self._draw() >= self._fragment_fraction:
            return [size]
        fragments: list[int] = []
        count = min(size, 2 + int(self._draw() * (MAX_FRAGMENTS - 1)))
        for remaining in range(count - 1, 0, -1):
            fragment = 1 + int(self._draw() * (size - remaining))  # leaves a byte for each that follows
            fragments.append(fragment)
            size -= fragment
        fragments.append(size)
        return fragments

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
