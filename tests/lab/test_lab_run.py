"""Whole runs: equal seeds give equal runs, and a node or run that never ends is cut short and reported."""

import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from support.paths import ROOT

from flintridge.lab import defects
from flintridge.lab.defects import Defect
from flintridge.lab.record_log import RecordLog, read_records
from flintridge.lab.records import ConnectionCount
from flintridge.lab.run import play
from flintridge.lab.scenario.load import load, names
from flintridge.lab.scenario.model import NodeDrain, Scenario

# A short run with some of everything whose order could depend on more than the seed.
OVERRIDES = [
    "length_s=6",
    "warmup_s=2",
    "load.rate_per_s=120",
    "links.cut=0.2",
    "clients.pipeline=3",
    'faults=[{what="crash",at_s=1,for_s=2,count=2},{what="node_kill",at_s=2,for_s=1},'
    '{what="node_restart",at_s=4,nodes=[1]},{what="spoilt",at_s=1,for_s=4,share=1.0,part=0.05},'
    '{what="bad_clients",at_s=1,for_s=4,per_s=5},{what="zone_loss",at_s=3,for_s=2,zone="west"}]',
]


def run_in_new_process(seed: int, hash_seed: str, tmp_path: Path) -> dict:
    out = tmp_path / f"{seed}-{hash_seed}.json"
    options = [f"--set={override}" for override in OVERRIDES]
    command = [sys.executable, "-m", "flintridge.cli", "lab", "run", "calm", f"--seed={seed}", *options]
    done = subprocess.run(
        [*command, f"--json={out}"],
        cwd=ROOT,
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert done.returncode in (0, 1), done.stderr  # 1: less goodput than the calm scenario expects
    return json.loads(out.read_text())


def test_a_seed_gives_the_same_run_in_every_process_and_another_seed_a_different_one(tmp_path):
    events = tmp_path / "events.jsonl"
    here = play(load("calm", OVERRIDES), 4, events=events)
    assert here.violation_count == 0 and here.end_reason == "whole", here.violations[:3]
    others = [run_in_new_process(4, hash_seed, tmp_path) for hash_seed in ("1", "77")]
    assert [run["digest"] for run in others] == [here.digest] * 2
    assert others[0]["goodput"] == others[1]["goodput"] == here.goodput
    assert run_in_new_process(5, "1", tmp_path)["digest"] != here.digest
    log = RecordLog()
    for record in read_records(events.read_bytes().splitlines()):
        log.add(record)
    assert log.digest() == here.digest and len(log) == here.records
    assert any(isinstance(record, ConnectionCount) for record in log)


def burn(node):
    """Make the node's first attempt loop forever, so that nothing else runs."""

    def start(attempt):
        while True:
            pass

    node.dispatcher.start = start


def spin(node):
    """Make the node set timers for the current time forever, so that time never advances."""

    def again():
        node.clock.call_at(node.clock.now(), again)

    node.clock.call_at(node.clock.now() + 1000, again)


@pytest.mark.parametrize("plant", [burn, spin])
def test_a_node_that_never_stops_computing_is_cut_short_and_named(plant, monkeypatch):
    monkeypatch.setitem(defects.DEFECTS, plant.__name__, Defect(plant, frozenset({"stopped"})))
    scenario = load("calm", ["length_s=3", "warmup_s=1", "load.rate_per_s=20", "wall_limit_s=4"])
    result = play(scenario, 1, defect=plant.__name__)
    assert result.end_reason.startswith("stuck: n") and result.rules["stopped"] == 1
    assert result.violations[0].node in result.end_reason


def test_a_run_longer_than_its_wall_limit_is_cut_short():
    scenario = msgspec.structs.replace(load("calm"), length_s=3600.0, wall_limit_s=1.0)
    result = play(scenario, 1)
    assert "stuck" in result.end_reason and result.wall_s < 60


@pytest.mark.parametrize("name", sorted(names()))
def test_every_shipped_scenario_is_valid_and_has_a_description_and_an_expected_goodput(name):
    scenario = load(name)
    assert scenario.name == name and scenario.about and scenario.expect.goodput_at_least is not None


@pytest.mark.parametrize(("words", "said"), [({"backend": "moon"}, "virtual"), ({"defect": "none"}, "held")])
def test_an_unknown_backend_or_defect_is_rejected(words, said):
    with pytest.raises(ValueError, match=said):
        play(load("calm"), 1, **words)


def test_a_drain_by_operators_is_rejected_without_an_admin_api():
    scenario = Scenario(faults=(NodeDrain(at_s=1.0, for_s=1.0),))
    with pytest.raises(ValueError, match="node_drain: on the virtual backend only"):
        play(scenario, 1, backend="loopback")
