"""The real program, started as it is deployed, between in-test peers on ephemeral ports."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys

import pytest
from support.network import ScriptedServer, until
from support.paths import ROOT
from support.program import Program, cache, origin


def test_program_when_reads_misses_and_writes_come_then_serves_them_and_exits_cleanly_at_sigterm(tmp_path):
    async def test():
        async with (
            ScriptedServer(cache) as cache_server,
            ScriptedServer(origin) as origin_server,
            ScriptedServer(lambda _: b"") as discovery,
        ):
            program = Program(tmp_path, {"box": cache_server, "origin": origin_server}, discovery)
            async with program.running() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\nmg kept v Oa1 Pc=read,d=9000\r\nmg other v Oa2 Pc=read,d=9000\r\n")
                writer.write(b"ms kept 2 Oa3 Pc=put,d=9000,k=5c\r\nhi\r\nnonsense\r\n")
                expected = (
                    b"MN\r\nVA 4 Oa1\r\nmenu\r\nVA 7 Oa2\r\nfresh\r\n\r\nHD Oa3 cr77\r\n"
                    b"CLIENT_ERROR unknown command\r\n"
                )
                assert await reader.readexactly(len(expected)) == expected
                timeout = re.search(
                    rb"Req-Id: a2\r\nReq-Extra: c=read,d=(\d+)\r\n", b"".join(origin_server.received)
                )
                assert timeout is not None
                assert 0 < int(timeout[1]) < 9000  # what remains of the client's
                assert discovery.received[0].startswith(b"GET /api/targets?after=41&wait_ms=")
                program.process.send_signal(signal.SIGUSR1)
                counters = await program.event("counters")
                assert (counters["requests"], counters["responses_served"]) == (3, 3)
                program.process.send_signal(signal.SIGTERM)
                assert await reader.read() == b""
                assert (await program.event("counters"))["bad_commands"] == 1
                assert await program.process.wait() == 0

    asyncio.run(test())


def test_requests_when_in_flight_at_sigterm_then_have_their_responses(tmp_path):
    async def test():
        async with ScriptedServer(lambda _: b"") as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            async with program.running() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mg kept v Oa1 Pc=read,d=9000\r\n")
                await until(lambda: cache_server.received)
                program.process.send_signal(signal.SIGTERM)
                await program.event("leaving")
                cache_server.writers[0].write(cache(cache_server.received[0]))
                assert await reader.read() == b"VA 4 Oa1\r\nmenu\r\n"
                assert await program.process.wait() == 0

    asyncio.run(test())


def test_connections_when_a_burst_comes_then_do_not_exhaust_the_descriptors(tmp_path):
    """Guards against a second without any accept: more were accepted in one go than could be rejected."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            config = json.loads(program.config.read_text())
            program.config.write_text(json.dumps(config | {"limits": {"sockets": 128}}))
            async with program.running(max_descriptors=128) as port:
                program.process.send_signal(signal.SIGSTOP)  # they all wait when it goes on
                command = b"mg kept v Oa%d Pc=read,d=9000\r\n"
                burst = [await asyncio.open_connection("127.0.0.1", port) for _ in range(300)]
                for i, (_, writer) in enumerate(burst):
                    writer.write(command % i)
                program.process.send_signal(signal.SIGCONT)
                responses = [await reader.readline() for reader, _ in burst]
                assert sum(line.startswith((b"VA 4 Oa", b"SERVER_ERROR busy")) for line in responses) >= 295
                program.process.send_signal(signal.SIGTERM)
                log = (await program.process.stdout.read()).splitlines()
                events = [json.loads(line)["event"] for line in log]
                assert "left" in events
                assert "unhandled" not in events
                assert await program.process.wait() == 0

    asyncio.run(test())


def test_sighup_when_the_configuration_changed_then_applies_it_unless_it_is_bad(tmp_path):
    async def test():
        async with (
            ScriptedServer(cache) as cache_server,
            ScriptedServer(lambda _: b"") as origin_server,
            ScriptedServer(lambda _: b"") as first_discovery,
            ScriptedServer(lambda _: b"") as next_discovery,
        ):
            program = Program(tmp_path, {"box": cache_server, "origin": origin_server}, first_discovery)
            async with program.running() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mg other v Oa1 Pc=read,d=9000\r\n")  # the origin responds at the end only
                await until(lambda: origin_server.received)
                valid_text = program.config.read_text()
                program.config.write_text(valid_text[:-9])
                program.process.send_signal(signal.SIGHUP)
                assert "JSON" in (await program.event("reload_refused"))["error"]
                changes = {"discovery": f"127.0.0.1:{next_discovery.port}", "name": "n2"}
                program.config.write_text(json.dumps(json.loads(valid_text) | changes))
                program.process.send_signal(signal.SIGHUP)
                reloaded = await program.event("reloaded")
                assert (reloaded["changed"], reloaded["until_restart"]) == (["discovery"], ["name"])
                await until(lambda: next_discovery.received)
                assert next_discovery.received[0].startswith(b"GET /api/targets HTTP")
                program.process.send_signal(signal.SIGHUP)  # with nothing new in the file
                assert (await program.event("reloaded"))["changed"] == []
                origin_server.writers[0].write(origin(origin_server.received[0]))
                assert await reader.readexactly(19) == b"VA 7 Oa1\r\nfresh\r\n\r\n"
                assert len(origin_server.received) == 1
                assert (first_discovery.connections, next_discovery.connections) == (1, 1)
                program.process.send_signal(signal.SIGTERM)
                assert await program.process.wait() == 0

    asyncio.run(test())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (None, "PROXY_CONFIG"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"settings": {"services": [{"sloNs": -4}]}}', "latency_objective_ns"),
        ('{"settings": {}, "listen": "somewhere:1"}', "listen"),
        ('{"settings": {}, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "known": 5}', "known"),
    ],
)
def test_program_when_its_configuration_is_bad_then_says_so_in_one_line(tmp_path, text, message):
    path = tmp_path / "config.json"
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    if text is not None:
        path.write_text(text)
        env["PROXY_CONFIG"] = str(path)
    done = subprocess.run(
        [sys.executable, "-m", "flintridge"], cwd=ROOT, env=env, capture_output=True, text=True
    )
    assert done.returncode == 2
    assert message in done.stderr
    assert done.stderr.startswith("flintridge: ")
    assert done.stderr.count("\n") == 1
