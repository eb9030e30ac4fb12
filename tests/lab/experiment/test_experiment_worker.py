"""Tests of a worker that loads the node from another source tree."""

import subprocess
import sys
from pathlib import Path

import pytest

from flintridge.lab.experiment.compare import Variant, compare
from flintridge.lab.experiment.worker import NODE_MODULES, NodeTreeError, check_tree
from flintridge.lab.result import Result
from flintridge.lab.scenario.model import Scenario

ROOT = Path(__file__).parents[3]


def report_node_origin(scenario, seed, **_):
    """A runner whose result shows from which source tree a worker loaded its modules."""
    from flintridge import api, node
    from flintridge.lab import result
    from flintridge.policy import balancer

    are_from_this_tree = [
        str(Path(module.__file__).parent.parent) == str(ROOT) for module in (balancer, node)
    ]
    lab_is_from_this_tree = Path(result.__file__).is_relative_to(ROOT)
    # All modules of the node come from one tree.
    assert balancer.api is api is sys.modules["flintridge.api"]
    marker_value = float(getattr(balancer, "CHANGED_IN_THE_COPY", 0))
    return Result(
        scenario="",
        seed=seed,
        backend="",
        goodput=marker_value,
        hit_fraction=sum(are_from_this_tree),
        goal=float(lab_is_from_this_tree),
    )


def test_the_node_of_another_tree_is_played_by_the_lab_of_this_tree(tmp_path):
    copy = tmp_path / "flintridge"
    copy.mkdir()
    for part in ("__init__.py", *NODE_MODULES):
        subprocess.run(["cp", "-r", str(ROOT / "flintridge" / part), str(copy / part)], check=True)
    with (copy / "policy" / "balancer.py").open("a") as file:
        file.write("\nCHANGED_IN_THE_COPY = 1\n")
    a = Variant(label="ours", scenario=Scenario())
    b = Variant(label="copy", scenario=Scenario(), tree=str(tmp_path))
    found = compare(a, b, [1, 2], workers=1, runner=report_node_origin)
    assert not found.failures and [pair.a["goodput"] for pair in found.pairs] == [0, 0]
    assert [pair.b["goodput"] for pair in found.pairs] == [1, 1]
    assert all(pair.a["goal"] == pair.b["goal"] == 1 for pair in found.pairs)
    (copy / "node.py").unlink()
    with pytest.raises(NodeTreeError, match=r"node\.py"):
        check_tree(tmp_path)
