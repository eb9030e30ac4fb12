"""One JSON line an event: levels, context that goes with every line, and an end to endless repeats."""

from __future__ import annotations

import logging
import sys
import traceback
from typing import BinaryIO, Protocol

from flintridge.telemetry.sampling import SUMMARY, Sampler
from flintridge.telemetry.writer import ThreadWriter

WAITING = 2048  # lines; more are dropped and counted


class EventLog(Protocol):
    """What the parts of a node write their events to."""

    def event(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, error: BaseException, **fields: object) -> None: ...


class BoundLog:
    """A log whose lines all carry a context: a request's id, a server, an attempt."""

    def __init__(self, logger: logging.Logger, context: dict[str, object]) -> None:
        self._logger = logger
        self._context = context

    def event(self, event: str, **fields: object) -> None:
        self._tell(logging.INFO, event, fields)

    def debug(self, event: str, **fields: object) -> None:
        self._tell(logging.DEBUG, event, fields)

    def warning(self, event: str, **fields: object) -> None:
        self._tell(logging.WARNING, event, fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        trace = "".join(traceback.format_exception(error)[-4:])
        self._tell(logging.ERROR, event, {"error": repr(error), "trace": trace, **fields})

    def bind(self, **context: object) -> BoundLog:
        """The same log with more context; a name that is bound already takes its new value."""
        return BoundLog(self._logger, {**self._context, **context})

    def _tell(self, level: int, event: str, fields: dict[str, object]) -> None:
        if self._logger.isEnabledFor(level):
            record = logging.LogRecord(self._logger.name, level, "", 0, event, None, None)
            record.__dict__["fields"] = {**self._context, **fields} if self._context else fields
            self._logger.handle(record)


class Log(BoundLog):
    """Lines of the node `name`, written by a thread to `sink` (standard output).

    Events below `level` are left out; `repeats_per_s` bounds the lines of one event (0: no bound). `logger`
    is the standard library's, of this log alone: whoever embeds a node may add handlers.
    """

    def __init__(
        self, name: str, sink: BinaryIO | None = None, level: str = "info", repeats_per_s: int = 0
    ) -> None:
        self.logger = logging.Logger(name, level.upper())
        super().__init__(self.logger, {})
        self._sampler = Sampler(repeats_per_s, self._repeated, self._wake) if repeats_per_s else None
        self._writer = ThreadWriter(sink or sys.stdout.buffer, WAITING, self._holding, self._flush)
        self.logger.addHandler(self._writer)
        if self._sampler:
            self.logger.addFilter(self._sampler)

    @property
    def dropped(self) -> int:
        return self._writer.dropped

    def close(self, wait_s: float = 1.0) -> None:
        """Write out what waits, for at most so long."""
        if self._sampler:
            self._sampler.flush(at_once=True)
        if self.dropped:
            self.event("log_lines_dropped", count=self.dropped)
        self._writer.finish(wait_s)

    def _repeated(self, event: str, count: int) -> None:
        self.warning(SUMMARY, of=event, count=count)

    def _wake(self) -> None:
        self._writer.wake()

    def _holding(self) -> bool:
        return self._sampler is not None and self._sampler.holding

    def _flush(self) -> None:
        if self._sampler:
            self._sampler.flush()
