"""The event log: one JSON line per event, with levels, bound context and sampling of repeated events."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import BinaryIO, Protocol

from flintridge.telemetry.sampling import SUMMARY_EVENT, EventSampler
from flintridge.telemetry.writer import ThreadedWriter

QUEUE_MAX_LINES = 2048  # lines that may wait to be written; further ones are dropped and counted
TRACE_MAX_ENTRIES = 4  # the last entries of a traceback are logged, up to this number


class EventLog(Protocol):
    """The interface through which the parts of a node log their events."""

    def event(self, event: str, **fields: object) -> None:
        """Log an event with this name at the level `info`."""

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        """Log an event with this name, an error and where the error was raised."""


class BoundLog:
    """A log that adds context fields to each line, such as a request's id, a server or an attempt."""

    def __init__(self, logger: logging.Logger, context: dict[str, object]) -> None:
        self._logger = logger
        self._context = context

    def event(self, event: str, **fields: object) -> None:
        """Log an event with this name at the level `info`."""
        self._log(logging.INFO, event, fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event that helps to diagnose faults, at the level `debug`."""
        self._log(logging.DEBUG, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator should look at, at the level `warning`."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        """Log an event with this name, an error and the end of its traceback, at the level `error`."""
        trace = "".join(traceback.format_exception(error)[-TRACE_MAX_ENTRIES:])
        self._log(logging.ERROR, event, {"error": repr(error), "trace": trace, **fields})

    def bind(self, **context: object) -> BoundLog:
        """Return this log with more context; a field that is already bound gets the new value."""
        return BoundLog(self._logger, {**self._context, **context})

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        if self._logger.isEnabledFor(level):
            record = logging.LogRecord(self._logger.name, level, "", 0, event, None, None)
            record.__dict__["fields"] = {**self._context, **fields} if self._context else fields
            self._logger.handle(record)


class Log(BoundLog):
    """The log of one node, written by a separate thread.

    Attributes:
        logger: The standard library's logger, used by this log only. A program that embeds a node may add
            handlers to it.
    """

    def __init__(
        self, name: str, sink: BinaryIO | None = None, level: str = "info", repeats_per_s: int = 0
    ) -> None:
        """Start the writer thread.

        Args:
            name: The node's name, which is a field of every line.
            sink: The stream that the lines are written to; None for standard output.
            level: Events below this level are not written.
            repeats_per_s: How many events of the same name are written per second; 0 for all.
        """
        self.logger = logging.Logger(name, level.upper())
        super().__init__(self.logger, {})
        self._sampler: EventSampler | None = None
        if repeats_per_s:
            self._sampler = EventSampler(repeats_per_s, self._report_suppressed, self._wake_writer)
            self.logger.addFilter(self._sampler)
        self._writer = ThreadedWriter(
            sink or sys.stdout.buffer, QUEUE_MAX_LINES, self._has_suppressed, self._flush_sampler
        )
        self.logger.addHandler(self._writer)

    @property
    def dropped_lines(self) -> int:
        """Number of lines that were dropped because the queue was full."""
        return self._writer.dropped_lines

    def close(self, timeout_s: float = 1.0) -> None:
        """Write the queued lines, within the time limits of `ThreadedWriter.finish`."""
        if self._sampler:
            self._sampler.flush(include_current_second=True)
        if self.dropped_lines:
            self.event("log_lines_dropped", count=self.dropped_lines)
        self._writer.finish(timeout_s)

    def _report_suppressed(self, event: str, count: int) -> None:
        self.warning(SUMMARY_EVENT, suppressed=event, count=count)

    def _wake_writer(self) -> None:
        self._writer.wake_up()

    def _has_suppressed(self) -> bool:
        return self._sampler is not None and self._sampler.has_suppressed

    def _flush_sampler(self) -> None:
        if self._sampler:
            self._sampler.flush()
