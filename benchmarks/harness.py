"""Helpers of the benchmarks: arguments, tables, and result rows that are stored in a file."""

import argparse
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

import orjson

Job = TypeVar("Job")
Row = dict[str, Any]  # the parameters of a run and its results


def argument_parser(description: str | None) -> argparse.ArgumentParser:
    """Create a parser whose help shows `description` with its line breaks."""
    return argparse.ArgumentParser(
        description=description, formatter_class=argparse.RawDescriptionHelpFormatter
    )


def add_jobs(parser: argparse.ArgumentParser, default: int) -> None:
    """Add the option --jobs."""
    parser.add_argument("--jobs", type=int, default=default, help="number of parallel worker processes")


def add_first_seed(parser: argparse.ArgumentParser) -> None:
    """Add the option --first."""
    parser.add_argument("--first", type=int, default=1, help="the first seed")


def add_json(parser: argparse.ArgumentParser) -> None:
    """Add the option --json, whose value is the path of `StoredRows`."""
    parser.add_argument("--json", type=Path, help="file that stores results; stored runs are not repeated")


class StoredRows:
    """Result rows, which are stored in a file if one is given."""

    def __init__(self, path: Path | None) -> None:
        """Load the rows that earlier invocations have stored."""
        self._path = path
        self.rows: list[Row] = []
        if path is not None and path.exists():
            self.rows = orjson.loads(path.read_bytes())

    def select(self, names: Sequence[str], values: Sequence[object]) -> None:
        """Drop the rows whose fields `names` don't have these values."""
        self.rows = [row for row in self.rows if [row[name] for name in names] == list(values)]

    def keys(self, names: Sequence[str]) -> set[tuple[Any, ...]]:
        """The values of the given fields in each row, which identify the runs that are stored."""
        return {tuple(row[name] for name in names) for row in self.rows}

    def append(self, row: Row) -> None:
        """Add a row, and store it."""
        self.rows.append(row)
        if self._path is not None:
            self._path.write_bytes(orjson.dumps(self.rows))

    def run_jobs(self, run_job: Callable[[Job], Row], jobs: Iterable[Job], workers: int) -> Iterable[Row]:
        """Run jobs in worker processes; each row is stored and yielded as soon as it is complete."""
        with ProcessPoolExecutor(workers) as pool:
            for row in pool.map(run_job, jobs):
                self.append(row)
                yield row


def print_table_head(columns: Sequence[str]) -> None:
    """Print the header of a Markdown table."""
    print_table_row(columns)
    print("| --- " * len(columns) + "|", flush=True)


def print_table_row(cells: Sequence[str]) -> None:
    """Print a row of a Markdown table."""
    print("| " + " | ".join(cells) + " |", flush=True)
