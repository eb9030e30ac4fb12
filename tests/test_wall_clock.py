"""Only the modules that docs/design/time.md lists read the machine's wall clock."""

import ast
from pathlib import Path

import pytest
from support.paths import ROOT

# A collection within ast.parse may run finalizers of other tests whose errors are formatted with
# ast.parse, which fails in Python 3.11 ("AST constructor recursion depth mismatch").
pytestmark = pytest.mark.usefixtures("no_collector")

PACKAGE = ROOT / "flintridge"
PAGE = ROOT / "docs" / "design" / "time.md"
# Names in the standard library that read the wall clock, or timestamps derived from it.
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


def test_wall_clock_when_read_is_read_only_by_the_listed_modules():
    assert readers_in(PACKAGE) <= READERS


def test_wall_clock_readers_when_listed_have_a_row_on_the_page():
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| `")]
    named = {line.split("`")[1] for line in rows}
    assert named >= READERS
