"""What the benchmarks share: arguments, tables, and rows that a file keeps between calls."""

import argparse
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

import orjson

Job = TypeVar("Job")
Row = dict[str, Any]  # of a kept file: what was played, and its figures


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """A parser whose help is the module's doc comment as it stands."""
    return argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )


def add_jobs(parser: argparse.ArgumentParser, default: int) -> None:
    """--jobs N."""
    parser.add_argument("--jobs", type=int, default=default, help="worker processes at once")


def add_first_seed(parser: argparse.ArgumentParser) -> None:
    """--first N."""
    parser.add_argument("--first", type=int, default=1, help="the first seed")


def add_json(parser: argparse.ArgumentParser) -> None:
    """--json FILE, for KeptRows."""
    parser.add_argument("--json", type=Path, help="keeps the figures; what is there is not played again")


class KeptRows:
    """Rows of figures, in a file if one is given."""

    def __init__(self, path: Path | None) -> None:
        """Read what an earlier call kept."""
        self._path = path
        self.rows: list[Row] = []
        if path is not None and path.exists():
            self.rows = orjson.loads(path.read_bytes())

    def select(self, names: Sequence[str], values: Sequence[object]) -> None:
        """Go on with the rows that have these values alone."""
        self.rows = [row for row in self.rows if [row[name] for name in names] == list(values)]

    def keys(self, names: Sequence[str]) -> set[tuple[Any, ...]]:
        """What was played, by these fields."""
        return {tuple(row[name] for name in names) for row in self.rows}

    def append(self, row: Row) -> None:
        """Keep one more."""
        self.rows.append(row)
        if self._path is not None:
            self._path.write_bytes(orjson.dumps(self.rows))

    def play(self, play: Callable[[Job], Row], jobs: Iterable[Job], workers: int) -> Iterable[Row]:
        """Play jobs in worker processes; each row is kept as soon as it is there, and handed on."""
        with ProcessPoolExecutor(workers) as pool:
            for row in pool.map(play, jobs):
                self.append(row)
                yield row


def print_table_head(columns: Sequence[str]) -> None:
    """Print the first two lines of a table in Markdown."""
    print_table_row(columns)
    print("| --- " * len(columns) + "|", flush=True)


def print_table_row(cells: Sequence[str]) -> None:
    """Print a line of a table in Markdown."""
    print("| " + " | ".join(cells) + " |", flush=True)
