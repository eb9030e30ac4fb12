"""Writes log records as JSON lines, in a separate thread so that a blocked pipe does not block the node."""

import logging
import queue
import threading
from collections.abc import Callable
from typing import BinaryIO

import orjson

POLL_INTERVAL_S = 1.0

_WAKE_UP = b""  # queued in place of a line to make the thread call `should_poll` again


def encode_line(record: logging.LogRecord) -> bytes:
    """Encode a record as one JSON line, which contains the level unless it is `info`."""
    line: dict[str, object] = {"node": record.name, "event": record.msg}
    if record.levelno != logging.INFO:
        line["level"] = record.levelname.lower()
    fields: dict[str, object] = record.__dict__.get("fields", {})
    try:
        return orjson.dumps({**line, **fields}, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n"
    except (TypeError, ValueError) as error:
        # Some fields can't be encoded as JSON, such as numbers beyond 64 bits and lone surrogates. They must
        # not raise into the node.
        return orjson.dumps({**line, "unserializable": str(error)}) + b"\n"


class ThreadedWriter(logging.Handler):
    """Queues lines for a thread that writes them; if the queue is full, drops lines instead of blocking.

    Attributes:
        dropped_lines: Number of dropped lines.
    """

    def __init__(
        self,
        sink: BinaryIO,
        queue_max_lines: int,
        should_poll: Callable[[], bool],
        on_poll: Callable[[], None],
    ) -> None:
        """Start the writer thread.

        Args:
            sink: The stream that the lines are written to; only the thread writes to it.
            queue_max_lines: How many lines may wait to be written.
            should_poll: Called in the thread; returns whether it should call `on_poll` while the queue is
                empty.
            on_poll: Called in the thread POLL_INTERVAL_S after the last line, and then at this interval.
        """
        super().__init__()
        self._sink = sink
        self._should_poll = should_poll
        self._on_poll = on_poll
        self._queue: queue.Queue[bytes | None] = queue.Queue(queue_max_lines)  # None ends the thread
        self.dropped_lines = 0
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue the line of a record."""
        self._enqueue(encode_line(record))

    def wake_up(self) -> None:
        """Have the thread call `should_poll` again, as it also does after each line."""
        if self._queue.empty():
            self._enqueue(_WAKE_UP)

    def finish(self, timeout_s: float) -> None:
        """Write the queued lines and end the thread.

        Args:
            timeout_s: Limits both the wait for room in a full queue and the wait for the thread to end.
        """
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
            except (OSError, ValueError):  # nobody reads the log any more, so the error can't be logged
                return
