"""Writes log records as JSON lines, in a thread of its own: a blocked pipe must not block the node."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import BinaryIO

import orjson

POLL_INTERVAL_S = 1.0

_WAKE_UP = b""  # no line: the thread asks again whether it polls


def encode_line(record: logging.LogRecord) -> bytes:
    """A record as one JSON line. The level is in it where it is not `info`."""
    line: dict[str, object] = {"node": record.name, "event": record.msg}
    if record.levelno != logging.INFO:
        line["level"] = record.levelname.lower()
    fields: dict[str, object] = record.__dict__.get("fields", {})
    try:
        return orjson.dumps({**line, **fields}, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n"
    except (TypeError, ValueError) as error:
        # Guards the node against fields that no JSON holds: numbers beyond 64 bits, lone surrogates.
        return orjson.dumps({**line, "unserializable": str(error)}) + b"\n"


class ThreadedWriter(logging.Handler):
    """Queues lines for a thread that writes them, and never blocks the caller: a full queue drops them.

    Attributes:
        dropped_lines: How many were dropped.
    """

    def __init__(
        self,
        sink: BinaryIO,
        queue_max_lines: int,
        should_poll: Callable[[], bool],
        on_poll: Callable[[], None],
    ) -> None:
        """Start the thread.

        Args:
            sink: Where the lines go; the thread alone writes to it.
            queue_max_lines: How many may wait to be written.
            should_poll: Asked in the thread whether it is to call `on_poll` while there is nothing to write.
            on_poll: Called in the thread, POLL_INTERVAL_S after the last line and again.
        """
        super().__init__()
        self._sink = sink
        self._should_poll = should_poll
        self._on_poll = on_poll
        self._queue: queue.Queue[bytes | None] = queue.Queue(queue_max_lines)  # None: the thread ends
        self.dropped_lines = 0
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a record's line."""
        self._enqueue(encode_line(record))

    def wake_up(self) -> None:
        """Have the thread ask `should_poll` again, as it does by itself after each line."""
        if self._queue.empty():
            self._enqueue(_WAKE_UP)

    def finish(self, timeout_s: float) -> None:
        """Write out what waits. It takes at most so many seconds to queue the end, and as many to write."""
        try:
            self._queue.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _enqueue(self, line: bytes) -> None:
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self.dropped_lines += 1

    def _write_lines(self) -> None:
        while True:
            try:
                line = self._queue.get(timeout=POLL_INTERVAL_S if self._should_poll() else None)
            except queue.Empty:
                self._on_poll()
                continue
            if line is None:
                return
            try:
                self._sink.write(line)
                if self._queue.empty():
                    self._sink.flush()
            except (OSError, ValueError):  # nobody reads the log any more; there is nowhere to say so
                return
