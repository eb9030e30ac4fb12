"""A whole node (core, policy, dispatcher) whose machine opens no connections for a while."""

import asyncio
import errno
import os
from dataclasses import replace

import pytest
from support.network import SETTINGS, ScriptedServer, until
from support.node import NodeHarness, endpoint_list
from support.upstream import READ, VALUE

from flintridge import api
from flintridge.runtime.clock import NS_PER_MS
from flintridge.upstream import connection_pool

WRITE = b"ms key7 2 O%b Pc=put,t=acme,d=2900\r\nok\r\n"
STORED = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nr1"
FAILING_MS = 300


def make_node(
    discovery: ScriptedServer, server: ScriptedServer, caches: int, connect_timeout_ms: int
) -> NodeHarness:
    """A node with some caches and an origin, all at one peer."""
    limits = replace(SETTINGS.limits, connect_timeout_ns=connect_timeout_ms * NS_PER_MS, max_attempts=2)
    settings = replace(SETTINGS, limits=limits, discovery=api.DiscoveryMode.POLLED)
    names = [f"s{i}" for i in range(caches)]
    known = endpoint_list(1, **dict.fromkeys([*names, "o1"], "in_service"))
    for entry in known["members"]:
        flavor = "origin" if entry["id"] == "o1" else "m2"
        entry |= {"host_port": f"127.0.0.1:{server.port}", "flavor": flavor}
    return NodeHarness(discovery, known, settings, kinds=("m2", "origin"))


class FailingConnects:
    """Has connects fail for FAILING_MS of the node's time.

    Attributes:
        made_at: When one was let through, in ms of the node's clock.
    """

    def __init__(self, monkeypatch, node: NodeHarness) -> None:
        opened = connection_pool.open_connection
        failing_until = node.clock.now() + FAILING_MS
        self.made_at: list[float] = []

        async def failing(address):
            if node.clock.now() < failing_until:
                raise OSError(errno.ENOBUFS, os.strerror(errno.ENOBUFS))
            self.made_at.append(node.clock.now())
            return await opened(address)

        monkeypatch.setattr(connection_pool, "open_connection", failing)

    async def advance_time(self, node: NodeHarness, ms: int) -> None:
        """Let the clock go on, but not while a connection comes up."""
        for _ in range(ms):
            if self.made_at:
                return
            node.clock.advance(1)
            for _ in range(4):
                await asyncio.sleep(0)


@pytest.mark.parametrize("connect_timeout_ms", [40, 100, 250])
@pytest.mark.parametrize(
    ("command", "caches"),
    [(READ, 1), (READ, 3), (WRITE, 1)],
    ids=["one cache", "three caches", "write at the origin"],
)
def test_request_when_connects_fail_locally_for_a_while_is_served(
    play, monkeypatch, command, caches, connect_timeout_ms
):
    """Its attempts that were never sent count for nothing: not as attempts, not against any server."""

    async def test():
        async with (
            ScriptedServer(lambda _: b"") as discovery,
            ScriptedServer(lambda data: VALUE if data.startswith(b"m") else STORED) as server,
        ):
            node = make_node(discovery, server, caches, connect_timeout_ms)
            connects = FailingConnects(monkeypatch, node)
            reader, writer = await asyncio.open_connection("127.0.0.1", await node.node.start())
            writer.write((command % b"a1").replace(b"d=480", b"d=1900"))
            await until(lambda: node.node.core.unanswered)
            await connects.advance_time(node, FAILING_MS + 60)
            await until(lambda: node.node.core.idle)
            assert (await reader.readline()).split()[0] in (b"VA", b"HD")
            assert len(server.received) == 1
            policy = node.node.core.policy_driver.policy
            assert not any(each.connect_backoff.until for each in policy.servers.values())
            writer.close()
            await node.node.close()

    play(test)


def test_request_when_its_client_closes_while_connects_fail_locally_is_never_sent(play, monkeypatch):
    async def test():
        async with ScriptedServer(lambda _: b"") as discovery, ScriptedServer(lambda _: VALUE) as server:
            node = make_node(discovery, server, 1, 500)
            connects = FailingConnects(monkeypatch, node)
            _, writer = await asyncio.open_connection("127.0.0.1", await node.node.start())
            writer.write((READ % b"a1").replace(b"d=480", b"d=1900"))
            await until(lambda: node.node.core.unanswered)
            await connects.advance_time(node, 20)
            writer.close()
            await until(lambda: node.node.core.idle)
            await connects.advance_time(node, FAILING_MS + 60)
            assert connects.made_at == []
            assert server.received == []
            await node.node.close()

    play(test)
