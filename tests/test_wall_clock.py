"""Which modules read the machine's wall clock: only those that docs/design/time.md names."""

import ast
from pathlib import Path

from support.paths import ROOT

PACKAGE = ROOT / "flintridge"
PAGE = ROOT / "docs" / "design" / "time.md"
# Names of the standard library by which a program sees the wall clock, or stamps that it made.
WALL_CLOCK_NAMES = {
    "CLOCK_REALTIME",
    "asctime",
    "ctime",
    "fromtimestamp",
    "getctime",
    "getmtime",
    "gmtime",
    "localtime",
    "st_ctime",
    "st_ctime_ns",
    "st_mtime",
    "st_mtime_ns",
    "strftime",
    "time_ns",
    "today",
    "utcnow",
}
READERS = {
    "lab/backend/faulty_node.py",
    "lab/backend/loopback_clock.py",
    "replication/driver.py",
    "runtime/clock.py",
}


def reads_wall_clock(node: ast.AST) -> bool:
    if isinstance(node, ast.ImportFrom) and node.module in ("time", "datetime"):
        return any(alias.name in {"time", *WALL_CLOCK_NAMES} for alias in node.names)
    if not isinstance(node, ast.Attribute):
        return False
    owner = node.value.id if isinstance(node.value, ast.Name) else ""
    is_now = (owner, node.attr) in {("time", "time"), ("datetime", "now"), ("date", "now")}
    return is_now or node.attr in WALL_CLOCK_NAMES


def readers_in(package: Path) -> set[str]:
    return {
        path.relative_to(package).as_posix()
        for path in package.rglob("*.py")
        if any(map(reads_wall_clock, ast.walk(ast.parse(path.read_text()))))
    }


def test_wall_clock_when_read_is_read_by_no_module_but_those_that_are_known():
    assert readers_in(PACKAGE) <= READERS


def test_wall_clock_readers_when_known_have_a_row_on_the_page():
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    named = {line.split("`")[1] for line in rows}
    assert named >= READERS
