"""A hybrid logical clock: stamps of writes that follow the time of day and never run backwards.

Stamps only put concurrent versions in an order that all processes share; see `entry`. Without I/O; times are
float milliseconds of the process's own clock.
"""

STAMP_SHIFT_BITS = 16  # bits of a stamp below its milliseconds
MAX_STAMP = 1 << 62  # of what is accepted: later ones have to fit into the 63 bits of a message


class HybridClock:
    """The clock of one process.

    Attributes:
        time_of_day_offset: Added to a time of the process's clock it gives the time of day, in milliseconds.
    """

    def __init__(self, time_of_day_offset: float, max_lead_ms: float) -> None:
        """`max_lead_ms`: by how much a stamp may be ahead of this process's time of day."""
        self.time_of_day_offset = time_of_day_offset
        self._max_lead_ms = max_lead_ms
        self._last_stamp = 0

    def next_stamp(self, now: float) -> int:
        """The stamp of a write at `now`: later than all before it and all that were observed."""
        wall_clock_stamp = int(now + self.time_of_day_offset) << STAMP_SHIFT_BITS
        self._last_stamp = max(wall_clock_stamp, self._last_stamp + 1)
        return self._last_stamp

    def observe(self, stamp: int) -> None:
        """Give later stamps than that one of another process from now on."""
        self._last_stamp = max(self._last_stamp, stamp)

    def is_ahead(self, stamp: int, written_at: float) -> bool:
        """Whether the stamp of a write is too far ahead of the time of day at which it was made.

        Args:
            stamp: As its writer gave it.
            written_at: When it was made, in milliseconds of this process's clock.
        """
        latest = written_at + self.time_of_day_offset + self._max_lead_ms
        return (stamp >> STAMP_SHIFT_BITS) > latest
