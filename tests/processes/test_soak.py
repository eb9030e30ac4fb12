"""Short seeded runs of the soak; the long one is `python -m benchmarks.process_soak`."""

import asyncio

import pytest
from support.soak import Soak

SEEDS = range(1, 7)
MESSAGE_FAULT_SEEDS = (8, 13, 44)
REPEAT_SEEDS = (0, 1)


@pytest.mark.parametrize("seed", SEEDS)
def test_node_when_processes_end_in_series_beside_a_crowd_and_disturbed_servers_then_keeps_its_rules(
    tmp_path, monkeypatch, seed
):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    result = asyncio.run(Soak(seed, tmp_path).run())
    assert result.findings == []
    assert result.requests > 0


@pytest.mark.parametrize("seed", MESSAGE_FAULT_SEEDS)
def test_node_when_faults_begin_at_any_point_of_a_message_then_keeps_its_rules(tmp_path, monkeypatch, seed):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    result = asyncio.run(Soak(seed, tmp_path, message_faults=True).run())
    assert result.findings == []
    assert result.requests > 0


@pytest.mark.parametrize("seed", REPEAT_SEEDS)
def test_node_when_responses_come_twice_and_writes_again_then_keeps_its_rules(tmp_path, monkeypatch, seed):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    result = asyncio.run(Soak(seed, tmp_path, repeats=True).run())
    assert result.findings == []
    assert result.requests > 0
