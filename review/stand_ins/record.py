"""The record of a run: what was sent, answered and run, one line each."""

import time
from pathlib import Path


class Record:
    """Collects lines with the time since the start of the run, and writes them to a file at the end."""

    def __init__(self, file: Path) -> None:
        self._file = file
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """The time since the start of the run, in seconds."""
        return time.monotonic() - self._started_at

    def add(self, who: str, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{self.now():8.3f} {who}: {text}")

    def say(self, text: str) -> None:
        """Add a line of the test itself, and print it."""
        self.add("test", text)
        print(text, flush=True)

    def write(self) -> None:
        """Write all lines to the file."""
        self._file.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


def clip(data: bytes, length: int = 110) -> str:
    """The start of a message, for one line of the record."""
    text = data[:length].decode("ascii", "replace").replace("\r\n", " ")
    return text if len(data) <= length else f"{text}... ({len(data)} bytes)"
