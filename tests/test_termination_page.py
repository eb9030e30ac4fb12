"""Every function and test that docs/termination.md names exists, so that the page stays up to date."""

import ast
import re
from functools import cache

import pytest
from support.paths import ROOT

# A collection within ast.parse may run finalizers of other tests whose errors are formatted with
# ast.parse, which fails in Python 3.11 ("AST constructor recursion depth mismatch").
pytestmark = pytest.mark.usefixtures("no_collector")

PAGE = (ROOT / "docs" / "termination.md").read_text()
OWNER, TEST = 1, 5  # columns of the table


def table_rows() -> list[list[str]]:
    rows = [line.strip("| ").split(" | ") for line in PAGE.splitlines() if line.startswith("| ")]
    return [row for row in rows[2:] if not row[0].startswith("**")]


@cache
def defined_names() -> frozenset[str]:
    """Return the names of all classes and functions; members also as `Class.member`."""
    names: set[str] = set()
    for path in (ROOT / "flintridge").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                names.add(node.name)
                members = _members(node)
                names |= members | {f"{node.name}.{name}" for name in members}
            elif isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
                names.add(node.name)
    return frozenset(names)


def _members(node: ast.ClassDef) -> set[str]:
    members = set()
    for part in ast.walk(node):
        if isinstance(part, (ast.FunctionDef, ast.AsyncFunctionDef)):
            members.add(part.name)
        elif isinstance(part, ast.AnnAssign) and isinstance(part.target, ast.Name):
            members.add(part.target.id)
        elif isinstance(part, ast.Attribute) and isinstance(part.ctx, ast.Store):
            members.add(part.attr)
    return members


def named_tests() -> list[tuple[str, str]]:
    """Return each test file that the table names, with the part of a test's name that it gives."""
    named = []
    for row in table_rows():
        for entry in row[TEST].strip(" |").split("; "):
            file, parts = entry.split(": ")
            named += [(file, part) for part in parts.split(", ")]
    return named


@pytest.mark.parametrize("row", table_rows(), ids=lambda row: row[0][:40])
def test_row_when_read_then_has_an_owner_and_a_test(row):
    assert len(row) == TEST + 1
    assert row[OWNER].strip() and ": " in row[TEST]


@pytest.mark.parametrize(("file", "part"), named_tests())
def test_test_when_the_table_names_it_then_exists(file, part):
    tests = re.findall(r"^(?:async )?def (test_\w+)", (ROOT / "tests" / f"{file}.py").read_text(), re.M)
    assert any(part in name for name in tests)


def test_names_when_the_page_has_them_then_exist_in_the_code():
    names = re.findall(r"`([A-Za-z_]\w*(?:\.[A-Za-z_]\w*)?)`", PAGE)
    code_names = {name for name in names if re.search(r"[_A-Z.]", name) and not name.endswith(".py")}
    assert {name for name in code_names if not name.isupper()} - defined_names() == set()


def test_files_when_the_page_names_them_then_exist():
    files = re.findall(r"`((?:[\w-]+/)*[\w-]+\.py)`", PAGE)
    assert files
    places = (
        ROOT,
        *(path for path in (ROOT / "flintridge").rglob("*") if path.is_dir()),
        ROOT / "flintridge",
    )
    assert {file for file in files if not any((place / file).is_file() for place in places)} == set()
