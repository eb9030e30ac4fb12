"""Whether a server is still writing a value: a slow one is not given up, one that hangs is."""

from flintridge.runtime.clock import Clock

# A server that has sent bytes of a value within this time is still writing it, if it has done so for some
# time. A server that hangs has sent a part of the value at once, and nothing since.
MIN_SILENCE_MS = 500.0
# So is one that has been silent for less than this many times the longest pause that it has made within it.
PAUSES_OF_SILENCE = 2.0


class TransferProgress:
    """When the pieces of one value were received. Times are in milliseconds of the clock.

    Attributes:
        head_received_at: When the head of the response was received.
    """

    __slots__ = ("_begun_at", "_clock", "_last_received_at", "_longest_pause_ms", "head_received_at")

    def __init__(self, clock: Clock) -> None:
        """Start now, when the head of the response was received."""
        self._clock = clock
        self.head_received_at = clock.now()
        self._begun_at = self.head_received_at
        self._last_received_at = self.head_received_at
        self._longest_pause_ms = 0.0

    @property
    def silent_ms(self) -> float:
        """For how long nothing has been received."""
        return self._clock.now() - self._last_received_at

    @property
    def longest_silence_ms(self) -> float:
        """After how long a silence the server is not writing any more."""
        return max(MIN_SILENCE_MS, PAUSES_OF_SILENCE * self._longest_pause_ms)

    @property
    def elapsed_ms(self) -> float:
        """How long the value has been collected."""
        return self._clock.now() - self._begun_at

    def begin(self) -> None:
        """Record that the value is collected from now on."""
        self._begun_at = self._clock.now()

    def record_received(self) -> None:
        """Record that bytes of the value were received now."""
        self._longest_pause_ms = max(self._longest_pause_ms, self.silent_ms)
        self._last_received_at = self._clock.now()

    def is_writing(self, for_ms: float) -> bool:
        """Whether the server has sent bytes for at least `for_ms` milliseconds, and still does."""
        written_ms = self._last_received_at - self._begun_at
        return written_ms >= for_ms and self.silent_ms < self.longest_silence_ms
