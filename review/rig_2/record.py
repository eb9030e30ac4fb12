"""The record of a case: what was sent, answered and run, with times since the start of the case."""

import time
from pathlib import Path


class Record:
    """Collects lines and writes them to a file at the end of a case."""

    def __init__(self, path: Path) -> None:
        """Start an empty record that is written to `path`."""
        self._path = path
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    @property
    def elapsed_s(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def add(self, source: str, text: str) -> None:
        """Append a line about an event at `source`."""
        self._lines.append(f"{self.elapsed_s:9.4f} {source:12} {text}")

    def save(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n")
