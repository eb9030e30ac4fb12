"""Estimates when the input of a connection arrived, which may be long before it is read."""

import math
from collections import deque
from typing import NamedTuple

from flintridge.runtime.clock import Clock

# How many observations are kept. With more, bytes count as older than they may be.
MAX_OBSERVATIONS = 16
# With fewer bytes waiting, the receive window is open, and the client's kernel holds none back.
BACKLOG_BYTES = 16 * 1024
# How long fewer have to wait until the client's kernel, which may hold back megabytes, has sent them.
CATCH_UP_MS = 100.0


class _Observation(NamedTuple):
    """Bytes of the stream from `position` on arrived after the instant `at`."""

    position: int
    at: float


class InputArrival:
    """A lower bound for the arrival time of a connection's input. Times are in milliseconds of the clock.

    Guards against measuring a client's timeout from the processing of its command. While the commands of a
    connection wait to be processed, or a value waits for memory, the connection is not read, and bytes that
    its client has sent wait in the reader and in the kernel. They may be read in many pieces later. If they
    are many, the client's kernel holds more of them back, which nothing here shows.

    Attributes:
        arrived_after: The last byte of the last read did not arrive before this instant.
    """

    __slots__ = (
        "_caught_up_at",
        "_clock",
        "_is_polled",
        "_observations",
        "_position",
        "_was_drained",
        "arrived_after",
    )

    def __init__(self, clock: Clock, queued_since: float | None = None) -> None:
        """Start with a newly accepted connection.

        Args:
            clock: The node's clock.
            queued_since: The earliest time at which bytes may have arrived while the connection waited to be
                accepted; None if no bytes arrived before the accept.
        """
        self._clock = clock
        self.arrived_after = clock.earliest_arrival() if queued_since is None else queued_since
        self._observations = deque([_Observation(0, self.arrived_after)])
        self._position = 0  # the number of bytes that have been read
        self._was_drained = queued_since is None  # no bytes waited after the previous read
        self._is_polled = False  # the event loop reads bytes as soon as they arrive
        # The client's kernel holds back no bytes from this instant on, unless many wait again.
        self._caught_up_at = -math.inf

    def before_read(self, has_unread: bool, is_reading: bool) -> None:
        """Record the state in which a read begins.

        Args:
            has_unread: Whether bytes wait in the reader.
            is_reading: Whether the transport reads. If it is paused, bytes may wait in the kernel.
        """
        self._is_polled = self._was_drained and is_reading and not has_unread

    def after_read(self, position: int, waiting_bytes: int) -> None:
        """Update the bounds after a read has returned.

        Args:
            position: The number of bytes that have been read in all.
            waiting_bytes: The number of bytes that wait in the reader and in the kernel.
        """
        if self._is_polled:
            self._observe(self._position, self._clock.earliest_arrival())
        while len(self._observations) > 1 and self._observations[1].position < position:
            self._observations.popleft()
        self.arrived_after = self._observations[0].at
        self._update_backlog(waiting_bytes)
        self._observe(position + waiting_bytes, self._clock.now())
        self._position = position
        self._was_drained = not waiting_bytes

    def _update_backlog(self, waiting_bytes: int) -> None:
        if waiting_bytes >= BACKLOG_BYTES:
            self._caught_up_at = math.inf
        elif self._caught_up_at == math.inf:
            self._caught_up_at = self._clock.now() + CATCH_UP_MS

    def _observe(self, end: int, at: float) -> None:
        """Record that bytes from position `end` on arrived after `at`, unless the client held some back."""
        if at < self._caught_up_at:
            return
        if self._observations[-1].position == end:
            at = max(at, self._observations.pop().at)
        if len(self._observations) < MAX_OBSERVATIONS:
            self._observations.append(_Observation(end, at))
