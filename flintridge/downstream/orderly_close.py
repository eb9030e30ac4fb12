"""Orderly close of a client connection: what was written goes out, then input is discarded for a while."""

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
from flintridge.telemetry.counters import Counters


class BackgroundRunner(Protocol):
    """Runs what goes on behind the caller's back."""

    def __call__(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a task that is held until it ends."""


class OrderlyClose:
    """The close of one connection.

    Attributes:
        started: Whether nothing more is written to the connection, nor processed of its input.
    """

    __slots__ = ("_clock", "_counters", "_discardable_bytes", "_timer", "_transport", "_writer", "started")

    def __init__(self, writer: asyncio.StreamWriter, clock: Clock, counters: Counters) -> None:
        """Await the close.

        Args:
            writer: The connection's output.
            clock: Of the node.
            counters: Of the node.
        """
        assert isinstance(writer.transport, asyncio.Transport)
        self.started = False
        self._writer = writer
        self._transport = writer.transport
        self._clock = clock
        self._counters = counters
        self._discardable_bytes = LINGERING_CLOSE_MAX_BYTES  # of input, after the shutdown
        self._timer: Timer | None = None  # when the lingering close ends

    def shut_down(self, run_in_background: BackgroundRunner) -> None:
        """Shut the sending half once all that was written has gone out.

        Args:
            run_in_background: Runs what waits for that.
        """
        if self._transport.get_write_buffer_size():
            self._transport.pause_reading()  # what is read before the shutdown would need a response
            run_in_background(self._shut_down_when_written())
        else:
            self._shut_down_sending()

    def discards(self, count: int) -> bool:
        """Input came after the shutdown.

        Args:
            count: Bytes.

        Returns:
            Whether more of it will be discarded.
        """
        self._discardable_bytes -= count
        return self._discardable_bytes > 0

    def abort(self) -> None:
        """Close it now: its client has had its time, or there is none to give."""
        abort_connection(self._writer)

    def cancel_timer(self) -> None:
        """The connection has ended by itself."""
        if self._timer is not None:
            self._timer.cancel()

    async def _shut_down_when_written(self) -> None:
        self._transport.set_write_buffer_limits(high=0)  # `drain` waits until all is written
        try:
            await wait_until_read(self._clock, self._writer)
        except DeadlineExceededError:
            self._counters.add("slow_readers")
            self._transport.abort()
        except OSError:
            pass  # it has ended: gone like any other
        else:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        if self._writer.is_closing():
            return
        try:
            self._writer.write_eof()
        except OSError:  # its client has reset it
            self.abort()
            return
        self._timer = self._clock.call_at(self._clock.now() + LINGERING_CLOSE_MS, self.abort)
        self._transport.resume_reading()  # no matter why it was paused
