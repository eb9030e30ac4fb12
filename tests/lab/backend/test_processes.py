"""Nodes as real processes, none of which is left behind."""

import asyncio
import json
import os
import signal
import sys

import pytest
from support.loopback import SHORT_S, RecordingProtocol, run_on_fabric, until
from support.program import SETTINGS

from flintridge.lab.backend.processes import ProcessNodes
from flintridge.lab.record_log import RecordLog
from flintridge.lab.records import NodeStateChanged
from flintridge.lab.scenario.model import Scenario

PYTHON = (sys.executable, "-c")


class Discovery(asyncio.Protocol):
    """Returns a list of one server that gets no requests; a watch never gets a response."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if b"after=1&" not in data:
            box = {"id": "s1", "host_port": "127.0.0.1:9", "flavor": "box", "phase": "in_service"}
            body = json.dumps({"revision": 1, "complete": True, "members": [box]}).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def run_on_nodes(test, **options):
    async def run(fabric):
        def config(node):
            discovery = "{}:{}".format(*fabric.address("discovery", node))
            return {"discovery": discovery, "seed": "5", "settings": settings_of.get(node, SETTINGS)}

        settings_of, log = {"n7": {"services": [{"sloNs": -4}]}}, RecordLog()
        nodes = ProcessNodes(fabric, log, fabric.clock, config, Scenario(), **options)
        try:
            for node in ("n0", "n1"):
                await fabric.listen("discovery", node, Discovery)
            await test(
                fabric,
                nodes,
                lambda: [(r.node, r.state, r.code) for r in log if isinstance(r, NodeStateChanged)],
            )
        finally:
            await nodes.close()
            assert not nodes.folder.exists()

    run_on_fabric(run)


async def wait_until_ready(fabric, node):
    """Wait until the node serves requests."""
    replies = []
    while replies != [b"MN\r\n"]:
        try:
            transport = await fabric.connect("c0", node, RecordingProtocol)
        except ConnectionError:
            await asyncio.sleep(0.01)
            continue
        replies = transport.get_protocol().received
        transport.write(b"mn\r\n")
        while not replies:
            await asyncio.sleep(0.001)
        transport.close()


def test_a_node_can_be_started_paused_reloaded_terminated_and_restarted_after_a_kill():
    async def test(fabric, nodes, states):
        await nodes.start("n0")
        with pytest.raises(RuntimeError):
            await nodes.start("n0")
        await wait_until_ready(fabric, "n0")
        nodes.pause("n0")
        connecting = asyncio.ensure_future(wait_until_ready(fabric, "n0"))
        await asyncio.wait([connecting], timeout=SHORT_S)
        assert not connecting.done()
        nodes.resume("n0")
        await connecting
        discovery = "{}:{}".format(*fabric.address("discovery2", "n0"))
        nodes.reload("n0", {"discovery": discovery, "seed": "5", "settings": SETTINGS})
        await until(lambda: any('"reloaded"' in line for line in nodes.lines("n0")))
        nodes.kill("n0")
        assert not nodes.running("n0")
        await nodes.start("n0")
        await wait_until_ready(fabric, "n0")
        nodes.term("n0")
        assert nodes.running("n0")
        await nodes.ended("n0")
        n0_states = [(state, code) for _, state, code in states()]
        assert n0_states == [
            *((state, 0) for state in ("started", "paused", "resumed", "hup")),
            *(("killed", -9), ("started", 0), ("term", 0), ("exited", 0)),
        ]
        usage = nodes.usage()
        assert usage.unexpected_ends == [] and usage.node_cpu_s > 0
        assert usage.node_memory_mb < 200 and usage.nodes["n0"].processes == 2
        assert usage.counters["n0"]["log_serving"] == 2

    run_on_nodes(test)


def test_an_unexpected_end_is_recorded_and_reported():
    async def test(fabric, nodes, states):
        await nodes.start("n7")  # its configuration is invalid
        await nodes.start("n1")
        await wait_until_ready(fabric, "n1")
        os.kill(nodes.pid("n1"), signal.SIGKILL)
        await nodes.ended("n7")
        await nodes.ended("n1")
        ends = [one for one in states() if one[1] == "exited"]
        assert sorted(ends) == [("n1", "exited", -9), ("n7", "exited", 2)]
        reported = sorted(nodes.usage().unexpected_ends)
        assert reported[0].startswith("n1 exited with -9") and "latency_objective_ns" in reported[1]
        assert not nodes.running("n1")

    run_on_nodes(test)


def test_a_node_that_saturates_a_core_and_ignores_sigterm_is_reported_and_killed_on_close():
    program = "import signal; signal.signal(15, signal.SIG_IGN); print('on', flush=True)\nwhile True: pass"

    async def test(fabric, nodes, states):
        await nodes.start("n0")
        nodes.pause("n0")
        nodes.resume("n0")
        await until(lambda: nodes.lines("n0") and nodes.usage().nodes["n0"].peak_cores > 0.1)
        pid = nodes.pid("n0")
        await nodes.close()
        assert states()[-1][1] == "stuck" and "did not end" in nodes.usage().unexpected_ends[0]
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)

    run_on_nodes(test, command=(*PYTHON, program), close_grace_s=SHORT_S)
