"""Writes whose clients leave and send them again under the same id, at the node program."""

import asyncio
import json

import pytest
from support import crowd
from support.network import ScriptedServer, until
from support.program import Program, cache, origin
from support.reserved_port import reserved_port

WRITE = b"ms menu 2 Oa1 Pc=put,d=2400,k=a1\r\nhi\r\n"
AT_A_TIME = 50


async def send_and_leave(port: int, origin_server: ScriptedServer) -> None:
    """Send the write, and leave once the origin has received it."""
    _, writer = await asyncio.open_connection(crowd.HOST, port)
    writer.write(WRITE)
    await until(lambda: origin_server.received)
    writer.transport.abort()


async def send_other_writes(port: int, count: int) -> None:
    """Send other writes on one connection, some at a time, and read their responses."""
    reader, writer = await asyncio.open_connection(crowd.HOST, port)
    for start in range(0, count, AT_A_TIME):
        for number in range(start, start + AT_A_TIME):
            writer.write(b"ms menu 2 Ob%d Pc=put,d=9000\r\nhi\r\n" % number)
        for _ in range(AT_A_TIME):
            assert (await reader.readline()).startswith(b"HD ")
    writer.close()


@pytest.mark.parametrize("others", [0, 1_200], ids=["at once", "after many others"])
@pytest.mark.parametrize("upgrade", [False, True], ids=["same process", "other process of an upgrade"])
def test_write_when_its_client_left_and_sends_it_again_then_runs_once(tmp_path, monkeypatch, upgrade, others):
    """Guards also against an id that is forgotten because many others came after it."""

    async def test():
        async with (
            ScriptedServer(cache) as cache_server,
            ScriptedServer(origin) as origin_server,
            ScriptedServer(lambda _: b"") as discovery,
        ):
            monkeypatch.setenv("TMPDIR", str(tmp_path))
            program = Program(tmp_path, {"box": cache_server, "origin": origin_server}, discovery)
            config = json.loads(program.config.read_text())
            program.config.write_text(json.dumps(config | {"listen": f"{crowd.HOST}:{port}"}))
            async with program.running():
                await send_and_leave(port, origin_server)
                await send_other_writes(port, others)
                if not upgrade:
                    assert await crowd.one_response(port, WRITE) == b"CLIENT_ERROR id in use\r\n"
                else:
                    (tmp_path / "new").mkdir()
                    other = Program(tmp_path / "new", {}, discovery)
                    other.config.write_text(program.config.read_text())
                    async with other.running():
                        program.process.terminate()
                        await program.event("left")
                        assert await crowd.one_response(port, WRITE) == b"CLIENT_ERROR id in use\r\n"
                assert sum(b"Req-Id: a1\r\n" in request for request in origin_server.received) == 1

    with reserved_port() as port:
        asyncio.run(test())
