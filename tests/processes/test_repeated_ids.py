"""Writes whose clients leave and send them again under the same id, at the node program."""

import asyncio
import json

import pytest
from support import crowd
from support.network import ScriptedServer, until
from support.program import Program, cache, origin
from support.reserved_port import reserved_port

WRITE = b"ms menu 2 Oa1 Pc=put,d=2400,k=a1\r\nhi\r\n"


async def send_and_leave(port: int, origin_server: ScriptedServer) -> None:
    """Send the write, and leave once the origin has received it."""
    _, writer = await asyncio.open_connection(crowd.HOST, port)
    writer.write(WRITE)
    await until(lambda: origin_server.received)
    writer.transport.abort()


@pytest.mark.parametrize("upgrade", [False, True], ids=["same process", "other process of an upgrade"])
def test_write_when_its_client_left_and_sends_it_again_then_runs_once(tmp_path, monkeypatch, upgrade):
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
                assert len(origin_server.received) == 1

    with reserved_port() as port:
        asyncio.run(test())
