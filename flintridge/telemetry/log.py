"""The event log: one JSON line an event, with levels, bound context and sampling of repeated events."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import BinaryIO, Protocol

from flintridge.telemetry.sampling import SUMMARY_EVENT, EventSampler
from flintridge.telemetry.writer import ThreadedWriter

QUEUE_MAX_LINES = 2048  # that wait to be written; more are dropped and counted
TRACE_MAX_ENTRIES = 4  # of a traceback, the last ones


class EventLog(Protocol):
    """What the parts of a node write their events to."""

    def event(self, event: str, **fields: object) -> None:
        """Log an event of that name, at the level `info`."""

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        """Log an event of that name with an error and where it was raised."""


class BoundLog:
    """A log whose lines all carry a context: a request's id, a server, an attempt."""

    def __init__(self, logger: logging.Logger, context: dict[str, object]) -> None:
        self._logger = logger
        self._context = context

    def event(self, event: str, **fields: object) -> None:
        """Log an event of that name, at the level `info`."""
        self._log(logging.INFO, event, fields)

    def debug(self, event: str, **fields: object) -> None:
        """Log an event for whoever looks for a fault."""
        self._log(logging.DEBUG, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator should look at."""
        self._log(logging.WARNING, event, fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        """Log an event of that name with an error and the end of its traceback."""
        trace = "".join(traceback.format_exception(error)[-TRACE_MAX_ENTRIES:])
        self._log(logging.ERROR, event, {"error": repr(error), "trace": trace, **fields})

    def bind(self, **context: object) -> BoundLog:
        """The same log with more context; a name that is bound already takes its new value."""
        return BoundLog(self._logger, {**self._context, **context})

    def _log(self, level: int, event: str, fields: dict[str, object]) -> None:
        if self._logger.isEnabledFor(level):
            record = logging.LogRecord(self._logger.name, level, "", 0, event, None, None)
            record.__dict__["fields"] = {**self._context, **fields} if self._context else fields
            self._logger.handle(record)


class Log(BoundLog):
    """The log of one node, written by a thread.

    Attributes:
        logger: The standard library's, of this log alone: whoever embeds a node may add handlers.
    """

    def __init__(
        self, name: str, sink: BinaryIO | None = None, level: str = "info", repeats_per_s: int = 0
    ) -> None:
        """Start the thread that writes.

        Args:
            name: The node's, which all lines carry.
            sink: Where the lines go; None: standard output.
            level: Events below it are not written.
            repeats_per_s: How many events of one name are written in a second; 0: all.
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
        """How many lines were not written, as too many waited."""
        return self._writer.dropped_lines

    def close(self, timeout_s: float = 1.0) -> None:
        """Write out what waits, as `ThreadedWriter.finish` limits it."""
        if self._sampler:
            self._sampler.flush(at_once=True)
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
