"""Pytest plugin: failures listed in KNOWN-RED.txt are printed but do not fail the run; all others do.

The file is in the repository root and exists only while there are entries. Entries are separated by blank
lines. Each has all of these fields, one per line, in any order. A line that starts with a space continues the
line above:

    test: tests/lab/test_run.py::test_a_day[calm]
    command: ./dev python -m pytest -q tests/lab/test_run.py
    seed: 7
    seen: AssertionError: 3 requests lost
    issue: 45
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
FIELDS = ("test", "command", "seed", "seen", "issue")


class MalformedEntryError(ValueError):
    """An entry of KNOWN-RED.txt is invalid; the message names its line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A listed test and its known failure."""

    test: str  # node id
    command: str
    seed: str
    seen: str
    issue: int


def parse(text: str) -> list[KnownFailure]:
    """Parse the text of the file.

    Raises:
        MalformedEntryError: A field is unknown, missing, empty or duplicated, a node id is invalid or listed
            twice, or the issue is not a number.
    """
    entries: list[KnownFailure] = []
    listed: set[str] = set()
    for first_line, fields in _paragraphs(text):
        missing = [name for name in FIELDS if not fields.get(name)]
        if missing:
            raise MalformedEntryError(f"line {first_line}: the entry has no {', '.join(missing)}")
        test = fields["test"]
        if "::" not in test or " " in test.partition("[")[0]:
            raise MalformedEntryError(f"line {first_line}: test: {test!r} is no node id (file::test)")
        if test in listed:
            raise MalformedEntryError(f"line {first_line}: test: {test!r} is listed twice")
        if not fields["issue"].isdecimal():
            raise MalformedEntryError(f"line {first_line}: issue: {fields['issue']!r} is not a number")
        listed.add(test)
        entries.append(
            KnownFailure(test, fields["command"], fields["seed"], fields["seen"], int(fields["issue"]))
        )
    return entries


def _paragraphs(text: str) -> Iterator[tuple[int, dict[str, str]]]:
    """Yield the number of the first line and the fields of each entry."""
    fields: dict[str, str] = {}
    first_line = 0
    name = ""
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if not line.strip():
            if fields:
                yield first_line, fields
            fields = {}
            continue
        if line[0].isspace():
            if not fields:
                raise MalformedEntryError(f"line {number}: continuation line without a field")
            fields[name] += f" {line.strip()}"
            continue
        name, colon, value = line.partition(":")
        if not colon or name not in FIELDS:
            raise MalformedEntryError(f"line {number}: {line!r}: one of {', '.join(FIELDS)} and a colon")
        if name in fields:
            raise MalformedEntryError(f"line {number}: {name} is given twice")
        if not fields:
            first_line = number
        fields[name] = value.strip()


class KnownFailures:
    """The pytest hooks: worker processes mark reports, the controlling process prints them."""

    def __init__(self, entries: list[KnownFailure]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._failed: dict[str, str] = {}  # node id -> failure in this run
        self._passed: set[str] = set()

    def _entry(self, node_id: str) -> KnownFailure | None:
        if node_id in self._entries:
            return self._entries[node_id]
        # xdist appends `@group` to the node ids of tests that have a group.
        return self._entries.get(node_id.rpartition("@")[0])

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item, call):
        report = yield
        entry = self._entry(item.nodeid)
        if entry is not None and report.failed:
            # pytest marks expected failures like this; they do not affect the exit code.
            report.outcome = "skipped"
            report.wasxfail = f"issue {entry.issue}"
            report.known_failure = entry.test
        return report

    def pytest_runtest_logreport(self, report):
        entry = self._entry(report.nodeid)
        if entry is None:
            return
        if hasattr(report, "known_failure"):
            self._failed[entry.test] = report.longreprtext
        elif report.when == "call" and report.passed:
            self._passed.add(entry.test)

    def pytest_terminal_summary(self, terminalreporter):
        if not self._entries:
            return
        terminalreporter.section(f"known failures ({FILE_NAME})")
        for entry in self._entries.values():
            terminalreporter.write_line(f"{entry.test}: {self._result(entry)} (issue {entry.issue})")
            if entry.test in self._failed:
                terminalreporter.write_line(f"  expected: {entry.seen}")
                terminalreporter.write_line(self._failed[entry.test])

    def _result(self, entry: KnownFailure) -> str:
        if entry.test in self._failed:
            return "failed, passed over"
        if entry.test in self._passed:
            return "passed; remove its entry"
        return "not run"


def pytest_configure(config):
    """Read the file if it exists; a malformed entry aborts the run."""
    path: Path = config.rootpath / FILE_NAME
    if not path.exists():
        return
    try:
        entries = parse(path.read_text())
    except (MalformedEntryError, UnicodeDecodeError) as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownFailures(entries), "known-failures")
