"""One direction of a connection on loopback: what is sent comes out in order, each part when it is due."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.lab.backend.lateness import TimerLateness
from flintridge.lab.fabric import Link, RunClock

PIECE_GAP_MS = 0.1  # between the pieces of one write, so that the node can read them one by one
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
    """The sender writes no more."""


@dataclass(slots=True, frozen=True)
class Lost:
    """The connection ended by an error."""

    error: Exception


@dataclass(slots=True, frozen=True)
class Close:
    """The sender closes the connection in order."""


@dataclass(slots=True, frozen=True)
class Abort:
    """The sender ends the connection at once, with a RST or as asyncio's transports do."""

    reset: bool


Message = Established | Data | EndOfStream | Lost | Close | Abort


@dataclass(slots=True, frozen=True)
class _Queued:
    due_ms: float
    message: Message
    sent_ms: float


class Channel:
    """A queue of messages with their times. It has one timer, as equal timers have no order.

    Attributes:
        last_due_ms: When the latest message is due (ms of the run).
        held: Whether nothing is delivered for now.
    """

    __slots__ = ("_clock", "_deliver", "_lateness", "_queue", "_timer", "held", "last_due_ms")

    def __init__(
        self, clock: RunClock, lateness: TimerLateness, deliver: Callable[[Message, float], None]
    ) -> None:
        """Begin empty.

        Args:
            clock: The run's clock.
            lateness: Notes how late messages are delivered.
            deliver: Called with each message and when it was sent (ms of the run).
        """
        self._clock = clock
        self._lateness = lateness
        self._deliver = deliver
        self._queue: deque[_Queued] = deque()
        self._timer: asyncio.TimerHandle | None = None
        self.last_due_ms = -math.inf
        self.held = False

    def put(self, message: Message, due_ms: float, sent_ms: float) -> None:
        """Add a message.

        Args:
            message: What is sent.
            due_ms: When it is delivered; not before the message that was put before it.
            sent_ms: When it is sent.
        """
        due_ms = max(due_ms, self.last_due_ms)
        self.last_due_ms = due_ms
        self._queue.append(_Queued(due_ms, message, sent_ms))
        if self._timer is None and not self.held:
            self._timer = self._clock.call_at(due_ms, self._deliver_due)

    def put_data(self, data: bytes, link: Link, depart_ms: float, sent_ms: float) -> None:
        """Add bytes in the pieces and with the delays of a link.

        Args:
            data: The bytes of one write.
            link: The way that they take.
            depart_ms: When they depart, as far as their delay goes.
            sent_ms: When they are sent.
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
        """Whether nothing is on its way."""
        return not self._queue

    def has_overdue(self) -> bool:
        """Whether something has arrived that is held."""
        return bool(self._queue) and self._queue[0].due_ms <= self._clock.now()

    def hold(self) -> None:
        """Deliver nothing until `release`."""
        self.held = True
        self._cancel_timer()

    def release(self) -> None:
        """Deliver what is due, and go on."""
        self.held = False
        if self._timer is None and self._queue:
            self._timer = self._clock.call_at(self._queue[0].due_ms, self._deliver_due)

    def clear(self) -> None:
        """Drop all that is on its way."""
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
        # The timer stands until the end: what is put meanwhile must not start a second one.
        try:
            while queue and not self.held and queue[0].due_ms <= now + TIMER_TOLERANCE_MS:
                queued = queue.popleft()
                self._deliver(queued.message, queued.sent_ms)
        finally:
            self._timer = None
            if queue and not self.held:
                self._timer = self._clock.call_at(queue[0].due_ms, self._deliver_due)
