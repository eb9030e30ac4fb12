"""Short seeded runs of the drain soak; the long one is `python -m benchmarks.drain_soak`."""

import asyncio

import pytest
from support.drain_soak import DrainSoak

SEEDS = (1, 3, 9, 12)
RUN_S = 9.0


@pytest.mark.xdist_group("drains")
@pytest.mark.parametrize("seed", SEEDS)
def test_nodes_when_servers_leave_beside_faults_of_discovery_keep_the_grace_of_drains(
    tmp_path, monkeypatch, seed
):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    result = asyncio.run(DrainSoak(seed, tmp_path, RUN_S).run())
    assert result.findings == [], "\n".join([*result.events, *result.log_lines])
    assert result.attempts > 0
