"""One direction of a connection on loopback: messages are delivered in order, each when it is due."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.lab.backend.lateness import TimerLateness
from flintridge.lab.fabric import Link, RunClock

PIECE_GAP_MS = 0.1  # minimum gap between the segments of one write, so that the node reads them separately
TIMER_TOLERANCE_MS = 1e-3


@dataclass(slots=True, frozen=True)
class Established:
    """The handshake is complete."""


@dataclass(slots=True, frozen=True)
class Data:
    """Bytes of the stream."""

    data: bytes


@dataclass(slots=True, frozen=True)
class EndOfStream:
    """The sender closed its sending half."""


@dataclass(slots=True, frozen=True)
class Lost:
    """The connection ended with an error."""

    error: Exception


@dataclass(slots=True, frozen=True)
class Close:
    """The sender closes the connection cleanly."""


@dataclass(slots=True, frozen=True)
class Abort:
    """The sender aborts the connection, with an RST or as asyncio's transports do."""

    reset: bool


Message = Established | Data | EndOfStream | Lost | Close | Abort


@dataclass(slots=True, frozen=True)
class _QueuedMessage:
    due_ms: float
    message: Message
    sent_ms: float


class Channel:
    """A queue of messages with due times. It uses one timer, because timers of equal time have no order.

    Attributes:
        last_due_ms: When the latest message is due (ms of the run).
        held: Whether delivery is suspended.
    """

    __slots__ = ("_clock", "_deliver", "_lateness", "_queue", "_timer", "held", "last_due_ms")

    def __init__(
        self, clock: RunClock, lateness: TimerLateness, deliver: Callable[[Message, float], None]
    ) -> None:
        """Create an empty channel.

        Args:
            clock: The run's clock.
            lateness: Records how late messages are delivered.
            deliver: Called with each message and the time (ms of the run) at which it was sent.
        """
        self._clock = clock
        self._lateness = lateness
        self._deliver = deliver
        self._queue: deque[_QueuedMessage] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.last_due_ms = -math.inf
        self.held = False

    def put(self, message: Message, due_ms: float, sent_ms: float) -> None:
        """Add a message.

        Args:
            message: The message.
            due_ms: When to deliver it (ms of the run), but not before the message added before it.
            sent_ms: When it is sent (ms of the run).
        """
        due_ms = max(due_ms, self.last_due_ms)
        self.last_due_ms = due_ms
        self._queue.append(_QueuedMessage(due_ms, message, sent_ms))
        if self._timer is None and not self.held:
            self._timer = self._clock.call_at(due_ms, self._deliver_due)

    def put_data(self, data: bytes, link: Link, depart_ms: float, sent_ms: float) -> None:
        """Add data, with the segments and delays of a link.

        Args:
            data: The bytes of one write.
            link: The link that the data passes.
            depart_ms: The time (ms of the run) from which the link's delay counts.
            sent_ms: When the data is sent (ms of the run).
        """
        offset = 0
        gap_ms = 0.0
        for size in link.segment_sizes(len(data)):
            due_ms = depart_ms + link.delay(depart_ms, size)
            piece = Data(data[offset : offset + size])
            self.put(piece, max(due_ms, self.last_due_ms + gap_ms), sent_ms)
            offset += size
            gap_ms = PIECE_GAP_MS

    def is_empty(self) -> bool:
        """Whether no message is in flight."""
        return not self._queue

    def has_overdue(self) -> bool:
        """Whether a message is due that has not been delivered."""
        return bool(self._queue) and self._queue[0].due_ms <= self._clock.now()

    def hold(self) -> None:
        """Suspend delivery until `release`."""
        self.held = True
        self._cancel_timer()

    def release(self) -> None:
        """Deliver the messages that are due, and continue."""
        self.held = False
        if self._timer is None and self._queue:
            self._timer = self._clock.call_at(self._queue[0].due_ms, self._deliver_due)

    def clear(self) -> None:
        """Drop all messages in flight."""
        self._queue.clear()
        self._cancel_timer()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _deliver_due(self) -> None:
        queue = self._queue
        now = self._clock.now()
        if queue:
            self._lateness.note(now - queue[0].due_ms)
        # `_timer` stays set during the loop, so that `put` does not start a second timer.
        try:
            while queue and not self.held and queue[0].due_ms <= now + TIMER_TOLERANCE_MS:
                queued = queue.popleft()
                self._deliver(queued.message, queued.sent_ms)
        finally:
            self._timer = None
            if queue and not self.held:
                self._timer = self._clock.call_at(queue[0].due_ms, self._deliver_due)
