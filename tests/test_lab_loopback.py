"""The lab on loopback: modelled links on real sockets, and real node processes that are never left behind."""

import asyncio
import json
import os
import random
import select
import signal
import subprocess
import sys
import textwrap

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.paths import ROOT
from support.program import SETTINGS
from support.signals import restore_default_signals

from flintridge.lab.backend.loopback import play_loopback
from flintridge.lab.backend.loopback_fabric import LoopbackFabric, precise_loop
from flintridge.lab.backend.processes import ProcessNodes
from flintridge.lab.records import NodeStateChanged, RecordLog
from flintridge.lab.scenario.model import Scenario

SHORT_S = 0.2  # of waiting for what must not come
OPENED = []  # the nodes' ends
PYTHON = (sys.executable, "-c")


class Way:
    def __init__(self, delay_ms=0.0, seed=None):
        self.state, self.delay_ms, self.random = "up", delay_ms, seed and random.Random(seed)

    def delay(self, _now, _size):
        return self.random.uniform(0, 2) if self.random else self.delay_ms

    def cuts(self, size):
        if not self.random or size < 2:
            return [size]
        at = sorted({self.random.randrange(1, size) for _ in range(self.random.randrange(4))})
        return [b - a for a, b in zip([0, *at], [*at, size], strict=True)]


class Ways:
    def __init__(self, delay_ms=0.0, seed=None):
        self.there, self.back = Way(delay_ms, seed), Way(delay_ms, seed and seed + 1)

    def link(self, _source, target):
        return self.there if target.startswith("n") else self.back


class End(asyncio.Protocol):
    """The lab's end of a connection: it remembers, and answers what it is told to."""

    def __init__(self, answer=b"", keep=False):
        self.answer, self.keep = answer, keep
        self.got, self.sent_at, self.paused = [], [], []
        self.made, self.ended = asyncio.Event(), asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        self.made.set()

    def data_received(self, data):
        self.got.append(data)
        self.sent_at.append(self.transport.get_extra_info("sent_at"))
        self.transport.write(self.answer)

    def eof_received(self):
        return self.keep

    def connection_lost(self, exc):
        self.ended.set_result(exc)

    def pause_writing(self):
        self.paused.append(True)

    def resume_writing(self):
        self.paused.append(False)


async def until(true):
    for _ in range(10_000):
        if true():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("it never came to hold")


def on_fabric(test, ways=None):
    async def run():
        fabric = LoopbackFabric(ways or Ways(), 3600)  # all within a warm-up: times are negative
        try:
            await asyncio.wait_for(test(fabric), 30)
        finally:
            fabric.close()
            while OPENED:
                OPENED.pop().transport.abort()

    with asyncio.Runner(loop_factory=precise_loop) as runner:
        runner.run(run())


async def joined(fabric, **how):
    """A server's end of the lab, and the streams of a node's end to it."""
    end = End(**how)
    listener = await fabric.listen("box", "n0", lambda: end)
    reader, writer = await asyncio.open_connection(*fabric.address("box", "n0"))
    OPENED.append(writer)
    await end.made.wait()
    listener.close()
    return end, reader, writer


def change(fabric, state):
    fabric.links.there.state = fabric.links.back.state = state
    fabric.links_changed()


@settings(derandomize=True, deadline=None, database=None, max_examples=40)
@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=12),
    st.lists(st.binary(min_size=1, max_size=300), max_size=12),
    st.integers(1, 10**6),
)
def test_bytes_keep_their_order_both_ways_in_any_pieces_and_ends_come_behind_them(up, down, seed):
    async def test(fabric):
        end, reader, writer = await joined(fabric, keep=True)
        for piece in up:
            writer.write(piece)
        writer.write_eof()  # the answers still come, as on a half-closed socket
        for piece in down:
            end.transport.write(piece)
        await until(lambda: sum(map(len, end.got)) == sum(map(len, up)))
        end.transport.writelines([b"last", b"!"])
        end.transport.close()
        assert await reader.read() == b"".join(down) + b"last!"
        assert b"".join(end.got) == b"".join(up)
        assert await end.ended is None

    on_fabric(test, Ways(seed=seed))


def test_bytes_are_handed_up_with_the_time_of_their_sending_after_the_handshake_of_the_model():
    async def test(fabric):
        loop = asyncio.get_running_loop()
        before = loop.time()
        end, _, writer = await joined(fabric)
        writer.write(b"x")
        await until(lambda: end.got)
        # The node's kernel needed no time for the handshake; the links take theirs: there, back and there.
        assert loop.time() >= before + 0.060
        assert before <= end.sent_at[0] <= loop.time() - 0.020
        assert fabric.lateness.summary()["samples"] > 0

    on_fabric(test, Ways(delay_ms=20.0))


def test_a_reset_link_ends_its_connections_at_once_on_both_sides_and_refuses_new_ones():
    async def test(fabric):
        listener = await fabric.listen("late", "n0", End)
        end, reader, _ = await joined(fabric)
        change(fabric, "reset")
        assert isinstance(await end.ended, ConnectionResetError)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        for dial in (asyncio.open_connection(*fabric.address("late", "n0")), fabric.connect("c0", "n0", End)):
            with pytest.raises(ConnectionError):
                await dial
        change(fabric, "up")
        _, writer = await asyncio.open_connection(*fabric.address("late", "n0"))
        writer.close()
        listener.close()
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*fabric.address("late", "n0"))
        assert fabric.problems == []

    on_fabric(test)


@pytest.mark.parametrize("side", ["node", "lab"])
def test_what_a_silent_link_lost_is_reset_when_either_side_sends_after_it_is_back(side):
    async def test(fabric):
        sound, sound_reader, _ = await joined(fabric)
        end, reader, writer = await joined(fabric)
        end.transport.write(b"before")
        assert await reader.readexactly(6) == b"before"
        change(fabric, "silent")
        writer.write(b"lost")
        end.transport.write(b"lost")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_S)
        change(fabric, "up")
        assert end.got == [] and not end.ended.done()
        if side == "node":
            writer.write(b"after")
        else:
            end.transport.write(b"after")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        assert isinstance(await end.ended, ConnectionResetError) and end.got == []
        sound.transport.write(b"nothing lost here")
        sound.transport.close()
        assert await sound_reader.read() == b"nothing lost here"

    on_fabric(test)


def test_the_end_of_a_connection_is_lost_on_a_silent_link_too():
    async def test(fabric):
        end, reader, writer = await joined(fabric)
        gone, _, gone_writer = await joined(fabric)
        change(fabric, "silent")
        end.transport.close()
        gone_writer.close()
        assert await end.ended is None
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), SHORT_S)
        change(fabric, "up")
        assert not gone.ended.done()
        gone.transport.write(b"to nobody")
        assert isinstance(await gone.ended, ConnectionResetError)
        writer.write(b"to nobody")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        await until(lambda: not fabric.connections)

    on_fabric(test)


def test_new_connections_never_come_up_while_the_link_is_silent_and_nothing_is_refused_around_it():
    async def test(fabric):
        made = []

        def factory():
            made.append(End())
            return made[-1]

        await fabric.listen("box", "n0", factory)
        address = fabric.address("box", "n0")
        for _ in range(2):
            change(fabric, "silent")
            for dial in (asyncio.open_connection(*address), fabric.connect("c0", "n0", End)):
                with pytest.raises(TimeoutError):  # the kernel says nothing at all
                    await asyncio.wait_for(dial, SHORT_S)
            assert made == []
            change(fabric, "up")
            _, writer = await asyncio.open_connection(*address)
            await until(lambda: made and made.pop())
            writer.close()

    on_fabric(test)


def test_a_client_connects_to_a_node_and_is_refused_where_none_listens():
    async def test(fabric):
        with pytest.raises(ConnectionRefusedError):
            await fabric.connect("c0", "n0", End)

        async def serve(reader, writer):
            writer.write(await reader.read(100))
            writer.close()

        server = await asyncio.start_server(serve, *fabric.address("listen", "n0"))
        transport = await fabric.connect("c0", "n0", End)
        end = transport.get_protocol()
        transport.write(b"hello")
        assert await end.ended is None and end.got == [b"hello"] and transport.is_closing()
        assert transport.get_extra_info("peername") == fabric.address("listen", "n0")
        server.close()
        await until(lambda: not fabric.connections)

    on_fabric(test, Ways(delay_ms=1.0))


def test_both_sides_hold_the_other_up_until_they_read():
    async def test(fabric):
        end, reader, writer = await joined(fabric, keep=True)
        end.transport.pause_reading()
        writer.write(b"y" * 20_000_000)
        end.transport.write(b"z" * 20_000_000)
        await until(lambda: end.paused == [True])
        assert end.transport.get_write_buffer_size() > 0 and end.got == []
        assert writer.transport.get_write_buffer_size() > 0
        assert await reader.readexactly(20_000_000) == b"z" * 20_000_000
        await until(lambda: end.paused == [True, False])
        end.transport.resume_reading()
        await until(lambda: sum(map(len, end.got)) == 20_000_000)
        end.transport.reset()
        with pytest.raises(ConnectionResetError):
            await reader.read()

    on_fabric(test)


def test_two_runs_at_once_have_ports_of_their_own():
    async def test(fabric):
        other = LoopbackFabric(Ways())
        try:
            for one in (fabric, other):
                await one.listen("box", "n0", End)
            assert fabric.address("box", "n0") != other.address("box", "n0")
            assert len({fabric.address(p, n) for p in ("a", "b") for n in ("n0", "n1", "n207")}) == 6
        finally:
            other.close()

    on_fabric(test)


class Discovery(asyncio.Protocol):
    """Lists one server that nobody ever asks; a watch waits for good."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        if b"after=1&" not in data:
            box = {"id": "s1", "host_port": "127.0.0.1:9", "flavor": "box", "phase": "in_service"}
            body = json.dumps({"revision": 1, "complete": True, "members": [box]}).encode()
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def on_nodes(test, **how):
    async def run(fabric):
        def config(node):
            discovery = "{}:{}".format(*fabric.address("discovery", node))
            return {"discovery": discovery, "seed": "5", "settings": settings_of.get(node, SETTINGS)}

        settings_of, log = {"n7": {"services": [{"sloNs": -4}]}}, RecordLog()
        nodes = ProcessNodes(fabric, log, fabric.clock, config, Scenario(), **how)
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

    on_fabric(run)


async def ready(fabric, node):
    """Until the node can serve."""
    answers = []
    while answers != [b"MN\r\n"]:
        try:
            transport = await fabric.connect("c0", node, End)
        except ConnectionError:
            await asyncio.sleep(0.01)
            continue
        answers = transport.get_protocol().got
        transport.write(b"mn\r\n")
        while not answers:
            await asyncio.sleep(0.001)
        transport.close()


def test_a_node_is_started_paused_reloaded_and_ends_well_and_is_started_anew_after_a_kill():
    async def test(fabric, nodes, said):
        await nodes.start("n0")
        with pytest.raises(RuntimeError):
            await nodes.start("n0")
        await ready(fabric, "n0")
        nodes.pause("n0")
        question = asyncio.ensure_future(ready(fabric, "n0"))
        await asyncio.wait([question], timeout=SHORT_S)
        assert not question.done()
        nodes.resume("n0")
        await question
        discovery = "{}:{}".format(*fabric.address("discovery2", "n0"))
        nodes.reload("n0", {"discovery": discovery, "seed": "5", "settings": SETTINGS})
        await until(lambda: any('"reloaded"' in line for line in nodes.lines("n0")))
        nodes.kill("n0")
        assert not nodes.running("n0")
        await nodes.start("n0")
        await ready(fabric, "n0")
        nodes.term("n0")
        assert nodes.running("n0")
        await nodes.ended("n0")
        states = [(state, code) for _, state, code in said()]
        assert states == [
            *((state, 0) for state in ("started", "paused", "resumed", "hup")),
            *(("killed", -9), ("started", 0), ("term", 0), ("exited", 0)),
        ]
        usage = nodes.usage()
        assert usage.unexpected_ends == [] and usage.node_cpu_s > 0
        assert usage.node_memory_mb < 200 and usage.nodes["n0"].processes == 2
        assert usage.counters["n0"]["log_serving"] == 2

    on_nodes(test)


def test_an_end_that_nobody_asked_for_is_recorded_and_told():
    async def test(fabric, nodes, said):
        await nodes.start("n7")  # its configuration is bad
        await nodes.start("n1")
        await ready(fabric, "n1")
        os.kill(nodes.pid("n1"), signal.SIGKILL)
        await nodes.ended("n7")
        await nodes.ended("n1")
        ends = [one for one in said() if one[1] == "exited"]
        assert sorted(ends) == [("n1", "exited", -9), ("n7", "exited", 2)]
        told = sorted(nodes.usage().unexpected_ends)
        assert told[0].startswith("n1 exited with -9") and "latency_objective_ns" in told[1]
        assert not nodes.running("n1")

    on_nodes(test)


def test_a_node_that_burns_a_core_and_minds_no_sigterm_shows_and_is_killed_at_the_end():
    stubborn = "import signal; signal.signal(15, signal.SIG_IGN); print('on', flush=True)\nwhile True: pass"

    async def test(fabric, nodes, said):
        await nodes.start("n0")
        nodes.pause("n0")
        nodes.resume("n0")
        await until(lambda: nodes.lines("n0") and nodes.usage().nodes["n0"].peak_cores > 0.1)
        pid = nodes.pid("n0")
        await nodes.close()
        assert said()[-1][1] == "stuck" and "did not end" in nodes.usage().unexpected_ends[0]
        with pytest.raises(ProcessLookupError):
            os.kill(pid, 0)

    on_nodes(test, command=(*PYTHON, stubborn), close_grace_s=SHORT_S)


LAB = """
    import asyncio, sys
    from flintridge.lab.backend.loopback import play_loopback
    from flintridge.lab.records import RecordLog
    from flintridge.lab.scenario.model import Scenario

    class World:
        def node_config(self, node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def day(scenario, seeds, log, fabric, truth, make_nodes):
        nodes = make_nodes(World())
        await nodes.start("n0")
        print(nodes.pid("n0"), flush=True)
        await asyncio.sleep(3600)

    play_loopback(Scenario(), 1, RecordLog(), day)
"""


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGTERM, signal.SIGINT])
def test_no_node_outlives_the_lab_whatever_ends_it(number, tmp_path):
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
        assert select.select([pidfd], [], [], 20)[0]  # it has ended
        os.close(pidfd)
        lab.wait(20)
        assert number == signal.SIGKILL or list(tmp_path.iterdir()) == []
    finally:
        lab.kill()
        lab.communicate(timeout=20)


def test_a_day_beyond_its_wall_limit_is_ended_and_says_so_and_a_raise_leaves_nothing():
    log, seen = RecordLog(), {}

    class World:
        def node_config(self, _node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def day(scenario, seeds, log, fabric, truth, make_nodes):
        seen["nodes"] = nodes = make_nodes(World())
        await nodes.start("n0")
        if seeds.seed == 2:
            raise RuntimeError("a mistake")
        await asyncio.sleep(3600)

    ended, usage = play_loopback(Scenario(wall_limit_s=1.5), 1, log, day)
    assert ended == "wall limit: 1.5 s" and usage.unexpected_ends == [] and usage.lateness_ms["samples"] > 0
    assert msgspec.json.encode(usage) and [r.state for r in log if isinstance(r, NodeStateChanged)] == [
        "started"
    ]
    with pytest.raises(RuntimeError, match="a mistake"):
        play_loopback(Scenario(), 2, log, day)
    with pytest.raises(ProcessLookupError):
        os.kill(seen["nodes"].pid("n0"), 0)


def test_lateness_when_the_nodes_end_only_after_the_warm_up_would_have_begun_is_still_reported(monkeypatch):
    fabrics = []

    class SlowToEnd(ProcessNodes):
        async def close(self):
            await fabrics[0].clock.sleep_until(1.0)  # past the instant at which sampling would start anew
            await super().close()

    class World:
        def node_config(self, _node):
            return {"settings": {}, "discovery": "127.0.0.1:1"}

    async def day(scenario, seeds, log, fabric, truth, make_nodes):
        fabrics.append(fabric)
        await make_nodes(World()).start("n0")
        await asyncio.sleep(3600)

    monkeypatch.setattr("flintridge.lab.backend.loopback.ProcessNodes", SlowToEnd)
    monkeypatch.setattr("flintridge.lab.backend.loopback.LEAD_S", 0.0)
    ended, usage = play_loopback(Scenario(warmup_s=0.0, wall_limit_s=0.05), 1, RecordLog(), day)
    assert ended == "wall limit: 0.05 s" and usage.lateness_ms["samples"] > 0
