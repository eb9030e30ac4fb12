"""A whole node in virtual time: an hour of quiet, requests with no time left, servers that hang or fail."""

import asyncio
import re
from dataclasses import replace

import pytest
from support.network import SETTINGS, ScriptedServer, log_and_counters
from support.node import endpoint_list

from flintridge import api
from flintridge.config.address import Address
from flintridge.config.node_config import NodeConfig
from flintridge.lab import virtual
from flintridge.node import Node
from flintridge.runtime.clock import NS_PER_MS, SystemClock

NOTICE_S = 0.7
HOUR_S = 3_600.0
FINAL_ANSWER = re.compile(rb"EN O|VA \d+ O|HD O|SERVER_ERROR|CLIENT_ERROR")


def settings_with_deadline(deadline_ms: float) -> api.Settings:
    classes = [replace(each, deadline_ns=int(deadline_ms * NS_PER_MS)) for each in SETTINGS.classes]
    return replace(SETTINGS, classes=tuple(classes), discovery=api.DiscoveryMode.POLLED)


def value_for(command: bytes) -> bytes:
    ids = re.findall(rb" O(\w+)", command)
    return b"".join(b"VA 2 O%b\r\nok\r\n" % request_id for request_id in ids)


class WholeNode:
    """A node towards cache servers and a discovery that tells nothing new."""

    def __init__(
        self, servers: list[ScriptedServer], discovery: ScriptedServer, settings: api.Settings
    ) -> None:
        known = endpoint_list(1, **{f"s{number}": "in_service" for number in range(len(servers))})
        for entry, server in zip(known["members"], servers, strict=True):
            entry |= {"host_port": f"127.0.0.1:{server.port}", "flavor": "m2"}
        listen, asked = Address("127.0.0.1", 0), Address("127.0.0.1", discovery.port)
        config = NodeConfig("n1", listen, asked, 1, settings, kinds=("m2", "origin"), known=known)
        self.loop = asyncio.get_running_loop()
        log, self.counters = log_and_counters()
        self.node = Node(config, SystemClock(self.loop), log, self.counters)

    async def start(self) -> None:
        self.port = await self.node.start()

    async def client(self, *commands: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.writelines(commands)
        return reader, writer


@pytest.mark.parametrize("left", [b"5", b"1", b"0", b"-3"])
@pytest.mark.parametrize("answer", [value_for, lambda _: b""], ids=["answers", "hangs"])
def test_request_when_it_has_hardly_any_time_left_then_is_answered_and_told_no_more_than_that(left, answer):
    async def test():
        async with ScriptedServer(answer) as server, ScriptedServer(lambda _: b"") as discovery:
            whole_node = WholeNode([server], discovery, settings_with_deadline(1_000))
            await whole_node.start()
            began = whole_node.loop.time()
            reader, writer = await whole_node.client(b"mg key7 v Oa1 Pc=read,t=acme,d=%b\r\n" % left)
            line = await reader.readline()
            assert FINAL_ANSWER.match(line)
            assert whole_node.loop.time() - began <= max(int(left), 0) / 1000 + 0.01
            told = [int(figure) for figure in re.findall(rb"d=(-?\d+)", b"".join(server.received))]
            assert all(0 < figure <= int(left) for figure in told)
            assert whole_node.node.core.idle
            writer.close()
            await whole_node.node.close()

    virtual.run(test())


@pytest.mark.parametrize("servers_end", [False, True])
def test_request_when_an_hour_was_quiet_then_is_served_and_so_is_one_at_the_shutdown(servers_end):
    """Connections to servers have ended meanwhile, or have not; timers and windows are an hour old."""

    async def test():
        async with ScriptedServer(value_for) as server, ScriptedServer(lambda _: b"") as discovery:
            whole_node = WholeNode([server], discovery, settings_with_deadline(1_000))
            await whole_node.start()
            for number in range(3):
                reader, writer = await whole_node.client(b"mg key7 v Ob%d Pc=read,t=acme\r\n" % number)
                assert await reader.readline() == b"VA 2 Ob%d\r\n" % number
                writer.close()
            if servers_end:
                for connection in server.writers:
                    connection.close()
            await asyncio.sleep(HOUR_S)
            assert whole_node.node.downstream.connection_count == 0
            began = whole_node.loop.time()
            reader, writer = await whole_node.client(b"mg key7 v Oa1 Pc=read,t=acme\r\n")
            assert await reader.readline() == b"VA 2 Oa1\r\n"
            assert whole_node.loop.time() - began < 0.1
            leaving = asyncio.ensure_future(whole_node.node.leave())
            await asyncio.sleep(0)
            writer.write(b"mg key8 v Oa2 Pc=read,t=acme\r\n")
            assert await reader.read() == b"ok\r\nVA 2 Oa2\r\nok\r\n"
            writer.close()
            await leaving

    virtual.run(test())


@pytest.mark.parametrize("response", [None, "rst", b"SERVER_ERROR busy\r\n", b"SERVER_ERROR failed\r\n"])
def test_request_when_every_attempt_fails_at_once_then_has_its_one_final_answer(response):
    async def test():
        async with (
            ScriptedServer(lambda _: response) as first,
            ScriptedServer(lambda _: response) as second,
            ScriptedServer(lambda _: b"") as discovery,
        ):
            settings = settings_with_deadline(1_000)
            whole_node = WholeNode([first, second], discovery, settings)
            await whole_node.start()
            began = whole_node.loop.time()
            reader, writer = await whole_node.client(
                b"mg key7 v Oa1 Pc=read,t=acme\r\n", b"mg key8 v Oa2 Pc=read,t=acme\r\n", b"mn\r\n"
            )
            lines = [await reader.readline() for _ in range(3)]
            assert all(FINAL_ANSWER.match(line) for line in lines[:2]) and lines[2] == b"MN\r\n"
            assert whole_node.loop.time() - began <= 1.0
            attempts = b"".join(first.received + second.received).count(b"mg ")
            assert 1 <= attempts <= 2 * settings.limits.max_attempts
            writer.close()
            await whole_node.node.close()

    virtual.run(test())


class PersistentClient:
    """Keeps sending on one connection for as long as that stays open, whatever it is told."""

    def __init__(self, node: WholeNode, name: str, pause_s: float) -> None:
        self.node = node
        self.name = name
        self.pause_s = pause_s
        self.sent = 0
        self.answered = 0

    async def run(self) -> None:
        reader, writer = await self.node.client()
        answers = asyncio.ensure_future(self._read(reader))
        while not answers.done():
            writer.write(b"mg k%d v O%b%d Pc=read,t=acme\r\n" % (self.sent, self.name.encode(), self.sent))
            self.sent += 1
            await asyncio.sleep(self.pause_s)
        writer.close()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        while line := await reader.readline():
            self.answered += FINAL_ANSWER.match(line) is not None


@pytest.mark.parametrize("deadline_ms", [100.0, 1_000.0, 3_000.0])
def test_shutdown_when_all_servers_hang_then_all_that_is_read_is_answered_before_the_kill(deadline_ms):
    """Clients go on sending on every connection until the kill; new ones come for 0.4 s."""

    async def test():
        async with (
            ScriptedServer(lambda _: b"") as first,
            ScriptedServer(lambda _: b"") as second,
            ScriptedServer(lambda _: b"") as discovery,
        ):
            whole_node = WholeNode([first, second], discovery, settings_with_deadline(deadline_ms))
            await whole_node.start()
            clients = [PersistentClient(whole_node, f"c{n}x", 0.003 + 0.01 * n) for n in range(6)]
            running = [asyncio.ensure_future(client.run()) for client in clients]
            await asyncio.sleep(0.5)
            told_at = whole_node.loop.time()
            killed_at = told_at + NOTICE_S + min(deadline_ms, 3_000.0) / 1000
            leaving = asyncio.ensure_future(whole_node.node.leave())
            for number in range(4):
                await asyncio.sleep(0.1)
                clients.append(PersistentClient(whole_node, f"n{number}x", 0.02))
                running.append(asyncio.ensure_future(clients[-1].run()))
            await asyncio.sleep(killed_at - whole_node.loop.time() - 0.001)
            node = whole_node.node
            assert node.core.idle
            assert all(connection.closing for connection in node.downstream.connections)
            answered = sum(client.answered for client in clients)
            assert whole_node.counters["requests"] == answered > 0
            await leaving
            await asyncio.gather(*running)

    virtual.run(test())
