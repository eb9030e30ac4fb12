"""Connections on loopback over links whose state and delay the test sets."""

import asyncio
import random

from flintridge.lab.backend.loopback_fabric import LoopbackFabric, precise_loop

SHORT_S = 0.2  # how long to wait for something that must not happen
OPENED = []  # writers of the nodes' ends


class ScriptedLink:
    def __init__(self, delay_ms=0.0, seed=None):
        self.state, self.delay_ms, self.random = "up", delay_ms, seed and random.Random(seed)

    def delay(self, _now, _size):
        return self.random.uniform(0, 2) if self.random else self.delay_ms

    def segment_sizes(self, size):
        if not self.random or size < 2:
            return [size]
        at = sorted({self.random.randrange(1, size) for _ in range(self.random.randrange(4))})
        return [b - a for a, b in zip([0, *at], [*at, size], strict=True)]


class LinkPair:
    def __init__(self, delay_ms=0.0, seed=None):
        self.to_node, self.from_node = ScriptedLink(delay_ms, seed), ScriptedLink(delay_ms, seed and seed + 1)

    def link(self, _source, target):
        return self.to_node if target.startswith("n") else self.from_node


class RecordingProtocol(asyncio.Protocol):
    """The lab's end of a connection, which records its input and replies to each read with `answer`."""

    def __init__(self, answer=b"", keep=False):
        self.answer, self.keep = answer, keep
        self.received, self.sent_at, self.paused = [], [], []
        self.made, self.ended = asyncio.Event(), asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport
        self.made.set()

    def data_received(self, data):
        self.received.append(data)
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


async def until(condition):
    for _ in range(10_000):
        if condition():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("the condition did not become true")


def run_on_fabric(test, links=None):
    async def run():
        # Everything happens during the warm-up, at negative times.
        fabric = LoopbackFabric(links or LinkPair(), 3600)
        try:
            await asyncio.wait_for(test(fabric), 30)
        finally:
            fabric.close()
            while OPENED:
                OPENED.pop().transport.abort()

    with asyncio.Runner(loop_factory=precise_loop) as runner:
        runner.run(run())


async def connected_pair(fabric, **how):
    """Connect a node to a server; return the lab's end and the node's streams."""
    end = RecordingProtocol(**how)
    listener = await fabric.listen("box", "n0", lambda: end)
    reader, writer = await asyncio.open_connection(*fabric.address("box", "n0"))
    OPENED.append(writer)
    await end.made.wait()
    listener.close()
    return end, reader, writer


def set_link_state(fabric, state):
    fabric.links.to_node.state = fabric.links.from_node.state = state
    fabric.links_changed()
