"""Time limits of a partial command, which give an early error to a client that stops in its middle.

Such a client must get an error or a close within 3 s of connecting. Within these 3 s the limits leave room
for the interval of the sweep that checks them (250 ms) and for a node that stalls before it writes (150 ms).
"""

COMMAND_TIMEOUT_MS = 2_500.0  # limit for a partial command; a well-behaved client may take 2 s for a head
VALUE_TIMEOUT_MS = 20_000.0  # limit for a long value, even if it keeps arriving
# A first command that began late may exceed COMMAND_TIMEOUT_MS after the connect, as long as its bytes keep
# arriving at intervals shorter than this.
STALL_MS = 500.0


class CommandTimer:
    """Tracks when a partial command began and when it last progressed. Times are in float milliseconds."""

    __slots__ = ("_connected_at", "_is_first", "_last_read_at", "_memory_wait_ms", "_started_at")

    def __init__(self, now: float) -> None:
        self._connected_at = now
        self._started_at = now
        self._last_read_at = now
        self._memory_wait_ms = 0.0
        self._is_first = True

    def record_read(self, now: float, begins_command: bool) -> None:
        """Record that bytes were read; `begins_command` if no partial command preceded them."""
        self._last_read_at = now
        if begins_command:
            self._start(now)

    def record_complete_command(self, now: float) -> None:
        """Record that a command is complete, so that bytes after it belong to the next command."""
        self._is_first = False
        self._start(now)

    def record_memory_wait(self, wait_ms: float) -> None:
        """Record that nothing was read for `wait_ms` while the value waited for memory.

        Guards the limit of 3 s for a client that had stopped sending before: the node caused the wait, but
        the wait counts towards the limit all the same.
        """
        self._memory_wait_ms += wait_ms

    def timed_out(self, now: float, in_long_value: bool) -> bool:
        """Whether the partial command has timed out.

        Args:
            now: The node's clock, in milliseconds.
            in_long_value: Whether a long value is being received. It may arrive slowly, but it occupies
                memory and therefore must not stall.
        """
        stalled_ms = now - self._last_read_at
        if in_long_value:
            if stalled_ms >= COMMAND_TIMEOUT_MS - self._memory_wait_ms:
                return True
            return now - self._started_at >= VALUE_TIMEOUT_MS
        if now - self._started_at >= COMMAND_TIMEOUT_MS:
            return True
        # The client was idle before its first command, and the command has stalled.
        late = self._is_first and now - self._connected_at >= COMMAND_TIMEOUT_MS
        return late and stalled_ms >= STALL_MS

    def _start(self, now: float) -> None:
        self._started_at = now
        self._memory_wait_ms = 0.0
