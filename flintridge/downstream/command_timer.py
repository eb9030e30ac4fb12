"""Time limits of a command that is not whole yet: a client that stops half way is told so, and soon.

Such a client is owed an error or a close within 3 s of connecting. The limits leave room in that for the
sweep that looks at them (250 ms) and for a node that is held up before it writes (150 ms).
"""

COMMAND_TIMEOUT_MS = 2_500.0  # for half a command: a good client may take 2 s for a head
VALUE_TIMEOUT_MS = 20_000.0  # nor may a long value take longer than this to come
STALL_MS = 500.0  # a first command that came late may go on after COMMAND_TIMEOUT_MS while it keeps coming


class CommandTimer:
    """When the command that a client is writing began, and went on. Times are float milliseconds."""

    __slots__ = ("_connected_at", "_is_first", "_last_read_at", "_memory_wait_ms", "_started_at")

    def __init__(self, now: float) -> None:
        self._connected_at = now
        self._started_at = now
        self._last_read_at = now
        self._memory_wait_ms = 0.0
        self._is_first = True

    def bytes_read(self, now: float, begins_command: bool) -> None:
        """Bytes were read; `begins_command`: nothing of a command had come before them."""
        self._last_read_at = now
        if begins_command:
            self._start(now)

    def command_read(self, now: float) -> None:
        """A command is whole: what is behind it is the next one."""
        self._is_first = False
        self._start(now)

    def memory_waited(self, wait_ms: float) -> None:
        """Nothing was read for so long, as no memory was free for the value.

        Guards the 3 s of a client that stopped before: the wait was not its own, but it counts for them.
        """
        self._memory_wait_ms += wait_ms

    def timed_out(self, now: float, in_long_value: bool) -> bool:
        """Whether the command has taken too long.

        Args:
            now: The clock's time.
            in_long_value: Whether it is one that may come slowly; but it holds memory, so it has to go on.
        """
        stalled_ms = now - self._last_read_at
        if in_long_value:
            if stalled_ms >= COMMAND_TIMEOUT_MS - self._memory_wait_ms:
                return True
            return now - self._started_at >= VALUE_TIMEOUT_MS
        if now - self._started_at >= COMMAND_TIMEOUT_MS:
            return True
        # Its client rested before it began, and has stopped.
        late = self._is_first and now - self._connected_at >= COMMAND_TIMEOUT_MS
        return late and stalled_ms >= STALL_MS

    def _start(self, now: float) -> None:
        self._started_at = now
        self._memory_wait_ms = 0.0
