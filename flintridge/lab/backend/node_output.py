"""The output of a node's process: its log events, its counters, and its final error output."""

import os
from collections import Counter, deque
from collections.abc import Callable

import msgspec

MAX_KEPT_LINES = 2000
MAX_LINE_BYTES = 64 * 1024  # longer lines are truncated
READ_BYTES = 64 * 1024
MAX_TEXT_CHARACTERS = 300  # limit of a text in a record


class _Event(msgspec.Struct):
    """The fields of a node's log line that are read here."""

    event: str


_events = msgspec.json.Decoder(_Event)


class NodeOutput:
    """The output of a node's process, read without blocking.

    Attributes:
        descriptor: The read end of the output pipe.
        lines: The last MAX_KEPT_LINES lines.
        events: The number of log events by name.
        counters: The process's counters as it logged them last.
        on_event: Called with the name and the line of each log event.
    """

    def __init__(self, descriptor: int) -> None:
        """Read from a pipe.

        Args:
            descriptor: The read end of the pipe; it is set to non-blocking.
        """
        self.descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.lines: deque[str] = deque(maxlen=MAX_KEPT_LINES)
        self.events: Counter[str] = Counter()
        self.counters: dict[str, int] = {}
        self.on_event: Callable[[str, bytes], None] = _ignore
        self._incomplete = b""

    def read(self) -> bool:
        """Read all available output.

        Returns:
            False at the end of the output.
        """
        while True:
            try:
                data = os.read(self.descriptor, READ_BYTES)
            except BlockingIOError:
                return True
            if not data:
                if self._incomplete:
                    self._add_line(self._incomplete)
                    self._incomplete = b""
                return False
            *lines, incomplete = (self._incomplete + data).split(b"\n")
            for line in lines:
                self._add_line(line)
            self._incomplete = incomplete[:MAX_LINE_BYTES]

    def final_output(self) -> str:
        """Return the last lines that are not log events, such as a traceback or an error message."""
        others = [line.strip() for line in self.lines if line.strip() and not line.startswith("{")]
        return " | ".join(others[-3:])[-MAX_TEXT_CHARACTERS:]

    def _add_line(self, line: bytes) -> None:
        self.lines.append(line[:MAX_LINE_BYTES].decode(errors="replace"))
        try:
            event = _events.decode(line).event
        except msgspec.MsgspecError:  # a traceback, or a truncated line
            return
        self.events[event] += 1
        self.on_event(event, line)
        if event == "counters":
            fields = msgspec.json.decode(line)
            self.counters = {name: count for name, count in fields.items() if isinstance(count, int)}


def _ignore(_event: str, _line: bytes) -> None:
    pass
