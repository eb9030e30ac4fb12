"""Logs when the memory that a process may use for its clients runs short, and what it is used for."""

from flintridge.core.memory_budget import MemoryBudget
from flintridge.runtime.clock import Clock, Timer
from flintridge.telemetry.log import EventLog

CHECK_INTERVAL_MS = 100.0
# Memory is short above the first fraction of the budget, and until it falls below the second.
SHORT_ABOVE_FRACTION = 0.9
SHORT_UNTIL_FRACTION = 0.6


class MemoryMonitor:
    """Checks the memory budget of a process periodically.

    Attributes:
        peak_bytes: The most bytes that were reserved at any check.
    """

    def __init__(
        self, process_memory: MemoryBudget, parts: dict[str, MemoryBudget], clock: Clock, log: EventLog
    ) -> None:
        """Start the checks.

        Args:
            process_memory: Memory for everything that the process holds for its clients.
            parts: The budgets that take from it, by the name that they are logged under.
            clock: Times the checks.
            log: Receives the events `memory_short` and `memory_available`.
        """
        self.peak_bytes = 0
        self._process_memory = process_memory
        self._parts = parts
        self._clock = clock
        self._log = log
        self._is_short = False
        self._timer: Timer = self._schedule()

    def usage(self) -> dict[str, int]:
        """Return the reserved bytes of each part, of responses that clients have not read, and of all."""
        reserved = {name: part.reserved for name, part in self._parts.items()}
        total = self._process_memory.reserved
        unread_responses = total - sum(reserved.values())
        return {**reserved, "unread_responses": unread_responses, "all": total}

    def check(self) -> None:
        """Log if memory has become short, or has become available again."""
        reserved = self._process_memory.reserved
        self.peak_bytes = max(self.peak_bytes, reserved)
        fraction = reserved / self._process_memory.total
        if not self._is_short and fraction > SHORT_ABOVE_FRACTION:
            self._is_short = True
            self._log.event("memory_short", total=self._process_memory.total, **self.usage())
        elif self._is_short and fraction < SHORT_UNTIL_FRACTION:
            self._is_short = False
            self._log.event("memory_available", total=self._process_memory.total, **self.usage())

    def close(self) -> None:
        """Stop the checks."""
        self._timer.cancel()

    def _check_periodically(self) -> None:
        self._timer = self._schedule()
        self.check()

    def _schedule(self) -> Timer:
        return self._clock.call_at(self._clock.now() + CHECK_INTERVAL_MS, self._check_periodically)
