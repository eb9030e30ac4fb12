"""Imports follow the layers in docs/ARCHITECTURE.md from top to bottom, and have no cycles."""

import ast
import re

import pytest
from support.paths import ROOT

# A collection within ast.parse may run finalizers of other tests whose errors are formatted with
# ast.parse, which fails in Python 3.11 ("AST constructor recursion depth mismatch").
pytestmark = pytest.mark.usefixtures("no_collector")

PACKAGE = ROOT / "flintridge"


def module_name(path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


MODULES = {module_name(path): path for path in sorted(PACKAGE.rglob("*.py"))}


def layers() -> list[set[str]]:
    """Return the components of each layer, from the table: `core/` is `core`, `node.py` is `node`."""
    text = (ROOT / "docs" / "ARCHITECTURE.md").read_text()
    table = re.search(r"\| layer \| parts \|.*?\n\n", text, re.S)
    assert table is not None
    rows = [row.split("|") for row in table[0].strip().splitlines()[2:]]
    return [set(re.findall(r"`([a-z_]+)(?:/|\.py)`", row[2])) for row in rows]


def imported(name: str) -> set[str]:
    """Return the flintridge modules that a module imports anywhere, including lazily or for type checking."""
    found = set()
    for node in ast.walk(ast.parse(MODULES[name].read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names if alias.name in MODULES}
        elif isinstance(node, ast.ImportFrom) and node.module:
            for alias in node.names:
                whole = f"{node.module}.{alias.name}"
                found.add(whole if whole in MODULES else node.module)
    return {one for one in found if one in MODULES} - {name}


def part_of(name: str) -> str:
    """Return a module's component: `core` for `flintridge.core.request`, `flintridge` for the package."""
    return name.split(".")[1] if "." in name else name


@pytest.mark.parametrize("name", [name for name in MODULES if part_of(name) not in ("lab", "flintridge")])
def test_imports_when_of_a_node_follow_the_layers_downwards(name):
    depth = {part: at for at, parts in enumerate(layers()) for part in parts}
    assert part_of(name) in depth, f"{part_of(name)} is in no layer"
    for other in imported(name):
        part = part_of(other)
        if part == "flintridge":
            continue  # the package itself exports the public names, and imports downwards
        if part == "lab":
            assert part_of(name) == "cli", f"{name} imports {other}"
            continue
        same = part == part_of(name)
        assert same or depth[part_of(name)] < depth[part], (
            f"{name} imports {other}, which is in no lower layer"
        )


def import_cycles() -> set[frozenset[str]]:
    """Return the import cycles, as strongly connected components."""
    graph = {name: imported(name) for name in MODULES}
    index: dict[str, int] = {}
    low: dict[str, int] = {}
    stack: list[str] = []
    found: set[frozenset[str]] = set()

    def visit(name: str) -> None:
        index[name] = low[name] = len(index)
        stack.append(name)
        for other in sorted(graph[name]):
            if other not in index:
                visit(other)
                low[name] = min(low[name], low[other])
            elif other in stack:
                low[name] = min(low[name], index[other])
        if low[name] == index[name]:
            at = stack.index(name)
            members = frozenset(stack[at:])
            del stack[at:]
            if len(members) > 1:
                found.add(members)

    for name in MODULES:
        if name not in index:
            visit(name)
    return found


def test_modules_have_no_import_cycles():
    assert import_cycles() == set()
