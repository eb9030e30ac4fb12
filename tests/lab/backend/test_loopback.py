"""Runs against real nodes: how they end, and that no process is left behind."""

import asyncio
import os
import select
import signal
import subprocess
import sys
import textwrap

import msgspec
import pytest
from support.paths import ROOT
from support.signals import restore_default_signals

from flintridge.lab.backend.loopback import play_loopback
from flintridge.lab.backend.processes import ProcessNodes
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import NodeStateChanged
from flintridge.lab.scenario.model import Scenario

PYTHON = (sys.executable, "-c")


LAB = """
    import asyncio, sys
    from flintridge.lab.backend.loopback import play_loopback
    from flintridge.lab.record_log import RecordLog
    from flintridge.lab.scenario.model import Scenario

    class World:
        def node_config(self, node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def run_nodes(scenario, seeds, log, fabric, truth, make_nodes):
        nodes = make_nodes(World())
        await nodes.start("n0")
        print(nodes.pid("n0"), flush=True)
        await asyncio.sleep(3600)

    play_loopback(Scenario(), 1, RecordLog(), run_nodes)
"""


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_no_node_outlives_the_lab_whichever_signal_ends_it(number, tmp_path):
    env = {**os.environ, "TMPDIR": str(tmp_path)}
    lab = subprocess.Popen(
        [*PYTHON, textwrap.dedent(LAB)],
        cwd=ROOT,
        env=env,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        preexec_fn=restore_default_signals,
    )
    try:
        assert select.select([lab.stdout], [], [], 30)[0]
        pidfd = os.pidfd_open(int(lab.stdout.readline()))
        lab.send_signal(number)
        assert select.select([pidfd], [], [], 20)[0]  # the node has ended
        os.close(pidfd)
        lab.wait(20)
        assert number == signal.SIGKILL or list(tmp_path.iterdir()) == []
    finally:
        lab.kill()
        lab.communicate(timeout=20)


def test_a_run_beyond_its_wall_limit_is_ended_and_reported_and_an_error_leaves_no_process():
    log, seen = RecordLog(), {}

    class World:
        def node_config(self, _node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def run_nodes(scenario, seeds, log, fabric, truth, make_nodes):
        seen["nodes"] = nodes = make_nodes(World())
        await nodes.start("n0")
        if seeds.seed == 2:
            raise RuntimeError("a mistake")
        await asyncio.sleep(3600)

    reason, usage = play_loopback(Scenario(wall_limit_s=1.5), 1, log, run_nodes)
    assert reason == "wall limit: 1.5 s" and usage.unexpected_ends == [] and usage.lateness_ms["samples"] > 0
    assert msgspec.json.encode(usage) and [r.state for r in log if isinstance(r, NodeStateChanged)] == [
        "started"
    ]
    with pytest.raises(RuntimeError, match="a mistake"):
        play_loopback(Scenario(), 2, log, run_nodes)
    with pytest.raises(ProcessLookupError):
        os.kill(seen["nodes"].pid("n0"), 0)


def test_lateness_when_the_nodes_end_only_after_the_start_of_the_warm_up_is_still_reported(monkeypatch):
    fabrics = []

    class SlowToEnd(ProcessNodes):
        async def close(self):
            await fabrics[0].clock.sleep_until(1.0)  # past the time at which the samples would be reset
            await super().close()

    class World:
        def node_config(self, _node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def run_nodes(scenario, seeds, log, fabric, truth, make_nodes):
        fabrics.append(fabric)
        await make_nodes(World()).start("n0")
        await asyncio.sleep(3600)

    monkeypatch.setattr("flintridge.lab.backend.loopback.ProcessNodes", SlowToEnd)
    monkeypatch.setattr("flintridge.lab.backend.loopback.LEAD_S", 0.0)
    reason, usage = play_loopback(Scenario(warmup_s=0.0, wall_limit_s=0.05), 1, RecordLog(), run_nodes)
    assert reason == "wall limit: 0.05 s" and usage.lateness_ms["samples"] > 0
