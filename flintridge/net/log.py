"""One JSON line an event, written by a thread of its own: a blocked pipe must not hold the node up."""

import queue
import sys
import threading
import traceback
from typing import BinaryIO, Protocol

import orjson

WAITING = 2048  # lines; more are dropped and counted


class EventLog(Protocol):
    """What the parts of a node write their events to."""

    def event(self, event: str, **fields: object) -> None: ...

    def error(self, event: str, error: BaseException, **fields: object) -> None: ...


class Log:
    def __init__(self, name: str, sink: BinaryIO | None = None) -> None:
        self._name = name
        self._sink = sink or sys.stdout.buffer
        self._lines: queue.Queue[bytes | None] = queue.Queue(WAITING)
        self.dropped = 0
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def event(self, event: str, **fields: object) -> None:
        record = {"node": self._name, "event": event, **fields}
        try:
            self._lines.put_nowait(orjson.dumps(record, default=str, option=orjson.OPT_NON_STR_KEYS) + b"\n")
        except queue.Full:
            self.dropped += 1

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        trace = "".join(traceback.format_exception(error)[-4:])
        self.event(event, error=repr(error), trace=trace, **fields)

    def close(self, wait_s: float = 1.0) -> None:
        """Write out what waits, for at most so long."""
        if self.dropped:
            self.event("log_lines_dropped", count=self.dropped)
        try:
            self._lines.put(None, timeout=wait_s)
        except queue.Full:
            return
        self._thread.join(wait_s)

    def _write(self) -> None:
        while (line := self._lines.get()) is not None:
            try:
                self._sink.write(line)
                if self._lines.empty():
                    self._sink.flush()
            except (OSError, ValueError):  # nobody reads the log any more; there is nowhere to say so
                return
