"""A worker that takes its node from another source tree."""

import subprocess
import sys
from pathlib import Path

import pytest

from flintridge.lab.experiment.compare import Variant, compare
from flintridge.lab.experiment.worker import NODE_MODULES, NodeTreeError, check_tree
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

ROOT = Path(__file__).parents[3]


def whose_node(scenario, seed, **_):
    """Tells whose decision module a worker runs."""
    from flintridge import api, node
    from flintridge.lab import result
    from flintridge.policy import balancer as decide

    ours = [str(Path(module.__file__).parent.parent) == str(ROOT) for module in (decide, node)]
    lab_is_ours = Path(result.__file__).is_relative_to(ROOT)
    assert decide.api is api is sys.modules["flintridge.api"]  # one node, not parts of two
    there = float(getattr(decide, "CHANGED_IN_THE_COPY", 0))
    return Result(
        scenario="", seed=seed, backend="", goodput=there, hit_fraction=sum(ours), goal=float(lab_is_ours)
    )


def test_another_tree_plays_its_own_node_under_our_lab(tmp_path):
    copy = tmp_path / "flintridge"
    copy.mkdir()
    for part in ("__init__.py", *NODE_MODULES):
        subprocess.run(["cp", "-r", str(ROOT / "flintridge" / part), str(copy / part)], check=True)
    with (copy / "policy" / "balancer.py").open("a") as file:
        file.write("\nCHANGED_IN_THE_COPY = 1\n")
    a = Variant(label="ours", scenario=Scenario())
    b = Variant(label="copy", scenario=Scenario(), tree=str(tmp_path))
    found = compare(a, b, [1, 2], workers=1, runner=whose_node)
    assert not found.failures and [pair.a["goodput"] for pair in found.pairs] == [0, 0]
    assert [pair.b["goodput"] for pair in found.pairs] == [1, 1]
    assert all(pair.a["goal"] == pair.b["goal"] == 1 for pair in found.pairs)
    (copy / "node.py").unlink()
    with pytest.raises(NodeTreeError, match=r"node\.py"):
        check_tree(tmp_path)
