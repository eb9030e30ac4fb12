"""Orderly close of a client connection: flushes the output, then discards input for a limited time."""

import asyncio
from collections.abc import Coroutine
from typing import Protocol

from flintridge.downstream.lingering_close import (
    LINGERING_CLOSE_MAX_BYTES,
    LINGERING_CLOSE_MS,
    abort_connection,
    wait_until_read,
)
from flintridge.runtime.clock import Clock, DeadlineExceededError, Timer
from flintridge.runtime.streams import ReadFlow
from flintridge.telemetry.counters import Counters


class BackgroundRunner(Protocol):
    """Starts background tasks."""

    def __call__(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is referenced until it ends."""


class OrderlyClose:
    """The close of one connection.

    Attributes:
        started: Whether the close has begun: no more output is written, and no more input is processed.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_discardable_bytes",
        "_flow",
        "_timer",
        "_transport",
        "_writer",
        "started",
    )

    def __init__(
        self, writer: asyncio.StreamWriter, flow: ReadFlow, clock: Clock, counters: Counters
    ) -> None:
        """Prepare the close; `shut_down` starts it.

        Args:
            writer: Writes the connection's output.
            flow: Pauses the connection's input.
            clock: The node's clock.
            counters: The node's counters.
        """
        assert isinstance(writer.transport, asyncio.Transport)
        self.started = False
        self._writer = writer
        self._flow = flow
        self._transport = writer.transport
        self._clock = clock
        self._counters = counters
        self._discardable_bytes = LINGERING_CLOSE_MAX_BYTES  # remaining limit for input after the shutdown
        self._timer: Timer | None = None  # fires when the lingering close ends

    def shut_down(self, run_in_background: BackgroundRunner) -> None:
        """Shut down the write side once the write buffer has been flushed.

        Args:
            run_in_background: Runs the task that waits for the flush.
        """
        if self._transport.get_write_buffer_size():
            self._flow.hold()  # a request read before the shutdown would need a response
            run_in_background(self._shut_down_when_written())
        else:
            self._shut_down_sending()

    def discard(self, count: int) -> bool:
        """Count input that arrived after the shutdown and was discarded.

        Args:
            count: The number of bytes.

        Returns:
            Whether further input may be discarded as well.
        """
        self._discardable_bytes -= count
        return self._discardable_bytes > 0

    def abort(self) -> None:
        """Close the connection immediately, because the client's time is over or none can be granted."""
        abort_connection(self._writer)

    def cancel_timer(self) -> None:
        """Cancel the timer of the lingering close, since the connection has ended."""
        if self._timer is not None:
            self._timer.cancel()

    async def _shut_down_when_written(self) -> None:
        self._transport.set_write_buffer_limits(high=0)  # makes `drain` wait until the buffer is empty
        try:
            await wait_until_read(self._clock, self._writer)
        except DeadlineExceededError:
            self._counters.add("slow_readers")
            self._transport.abort()
        except OSError:
            pass  # the connection has ended
        else:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        if self._writer.is_closing():
            return
        try:
            self._writer.write_eof()
        except OSError:  # the client has reset the connection
            self.abort()
            return
        self._timer = self._clock.call_at(self._clock.now() + LINGERING_CLOSE_MS, self.abort)
        self._flow.release()  # reading may be paused, for example by a drain or by `shut_down`
