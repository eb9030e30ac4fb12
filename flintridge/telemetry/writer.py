"""Records as JSON lines, written by a thread of its own: a blocked pipe must not hold the node up."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import BinaryIO

import orjson

WAKE = b""  # no line: the thread looks again how long it may wait


def line(record: logging.LogRecord) -> bytes:
    """The record as one JSON line. The level is told where it is not `info`."""
    head: dict[str, object] = {"node": record.name, "event": record.msg}
    if record.levelno != logging.INFO:
        head["level"] = record.levelname.lower()
    fields: dict[str, object] = record.__dict__.get("fields", {})
    try:
        return orjson.dumps({**head, **fields}, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n"
    except (TypeError, ValueError) as error:
        # Guards the node against fields that no JSON holds: numbers beyond 64 bits, half characters.
        return orjson.dumps({**head, "unprintable": str(error)}) + b"\n"


class ThreadWriter(logging.Handler):
    """Never blocks whoever logs: beyond `waiting` lines, more are dropped and counted.

    `idle` is called in the thread once a second while `watched` says so.
    """

    def __init__(
        self, sink: BinaryIO, waiting: int, watched: Callable[[], bool], idle: Callable[[], None]
    ) -> None:
        super().__init__()
        self._sink = sink
        self._watched = watched
        self._idle = idle
        self._lines: queue.Queue[bytes | None] = queue.Queue(waiting)
        self.dropped = 0
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        self._put(line(record))

    def wake(self) -> None:
        """Have the thread look at `watched` anew; of no matter where it is busy anyway."""
        if self._lines.empty():
            self._put(WAKE)

    def finish(self, wait_s: float) -> None:
        """Write out what waits, for at most so many seconds."""
        try:
            self._lines.put(None, timeout=wait_s)
        except queue.Full:
            return
        self._thread.join(wait_s)

    def _put(self, text: bytes) -> None:
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while True:
            try:
                text = self._lines.get(timeout=1.0 if self._watched() else None)
            except queue.Empty:
                self._idle()
                continue
            if text is None:
                return
            try:
                self._sink.write(text)
                if self._lines.empty():
                    self._sink.flush()
            except (OSError, ValueError):  # nobody reads the log any more; there is nowhere to say so
                return
