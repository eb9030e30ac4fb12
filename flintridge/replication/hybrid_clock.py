"""A hybrid logical clock: stamps of writes that follow the time of day and never run backwards.

Stamps only put concurrent versions in an order that all processes share; see `entry`. Without I/O; times are
float milliseconds of the process's own clock.
"""

STAMP_SHIFT_BITS = 16  # bits of a stamp below its milliseconds
# Stamps from this one on are rejected, so that later stamps still fit into the 63 bits of a message field.
MAX_STAMP = 1 << 62


class HybridClock:
    """The hybrid logical clock of one process.

    Attributes:
        time_of_day_offset: Milliseconds from the process's clock to the time of day.
    """

    def __init__(self, time_of_day_offset: float, max_lead_ms: float) -> None:
        """Create a clock; `max_lead_ms` is by how much a stamp may be ahead of this process's time of day."""
        self.time_of_day_offset = time_of_day_offset
        self._max_lead_ms = max_lead_ms
        self._last_stamp = 0

    def next_stamp(self, now: float) -> int:
        """Return the stamp of a write at `now`, which is later than all previous and all observed stamps."""
        wall_clock_stamp = int(now + self.time_of_day_offset) << STAMP_SHIFT_BITS
        self._last_stamp = max(wall_clock_stamp, self._last_stamp + 1)
        return self._last_stamp

    def observe(self, stamp: int) -> None:
        """Make all stamps from now on later than a stamp of another process."""
        self._last_stamp = max(self._last_stamp, stamp)

    def is_ahead(self, stamp: int, written_at: float) -> bool:
        """Whether the stamp of a write is too far ahead of the time of day of that write.

        Args:
            stamp: Stamp of the write, as its writer set it.
            written_at: Time of the write, in milliseconds of this process's clock.
        """
        latest = written_at + self.time_of_day_offset + self._max_lead_ms
        return (stamp >> STAMP_SHIFT_BITS) > latest
