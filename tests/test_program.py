"""The real program, started as it is deployed, between in-test peers on ephemeral ports."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys

import pytest
from support.network import Peer
from support.paths import ROOT
from support.program import Program, cache, origin


def test_reads_misses_and_writes_pass_through_and_sigterm_ends_it_well(tmp_path):
    async def test():
        async with Peer(cache) as box, Peer(origin) as main, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box, "origin": main}, discovery)
            port = await program.start()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\nmg kept v Oa1 Pc=read,d=9000\r\nmg other v Oa2 Pc=read,d=9000\r\n")
                writer.write(b"ms kept 2 Oa3 Pc=put,d=9000,k=5c\r\nhi\r\nnonsense\r\n")
                expected = (
                    b"MN\r\nVA 4 Oa1\r\nmenu\r\nVA 7 Oa2\r\nfresh\r\n\r\nHD Oa3 cr77\r\n"
                    b"CLIENT_ERROR unknown command\r\n"
                )
                assert await reader.readexactly(len(expected)) == expected
                told = re.search(rb"Req-Id: a2\r\nReq-Extra: c=read,d=(\d+)\r\n", b"".join(main.got))
                assert told is not None and 0 < int(told[1]) < 9000  # what is left
                assert discovery.got[0].startswith(b"GET /api/targets?after=41&wait_ms=")
                program.process.send_signal(signal.SIGUSR1)
                counters = await program.event("counters")
                assert (counters["requests"], counters["responses_served"]) == (3, 3)
                program.process.send_signal(signal.SIGTERM)
                assert await reader.read() == b""
                assert (await program.event("counters"))["bad_commands"] == 1
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


def test_requests_under_way_at_sigterm_are_answered(tmp_path):
    async def test():
        async with Peer(lambda _: b"") as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            port = await program.start()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mg kept v Oa1 Pc=read,d=9000\r\n")
                while not box.got:
                    await asyncio.sleep(0.001)
                program.process.send_signal(signal.SIGTERM)
                await program.event("leaving")
                box.writers[0].write(cache(box.got[0]))
                assert await reader.read() == b"VA 4 Oa1\r\nmenu\r\n"
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


def test_a_burst_of_connections_does_not_use_up_the_descriptors(tmp_path):
    """Guards against a second without any accept: more were taken in one go than could be turned away."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            config = json.loads(program.config.read_text())
            program.config.write_text(json.dumps(config | {"limits": {"sockets": 128}}))
            port = await program.start(files=128)
            try:
                program.process.send_signal(signal.SIGSTOP)  # they all wait when it goes on
                asked = b"mg kept v Oa%d Pc=read,d=9000\r\n"
                burst = [await asyncio.open_connection("127.0.0.1", port) for _ in range(300)]
                for i, (_, writer) in enumerate(burst):
                    writer.write(asked % i)
                program.process.send_signal(signal.SIGCONT)
                answers = [await reader.readline() for reader, _ in burst]
                assert sum(line.startswith((b"VA 4 Oa", b"SERVER_ERROR busy")) for line in answers) >= 295
                program.process.send_signal(signal.SIGTERM)
                log = (await program.process.stdout.read()).splitlines()
                events = [json.loads(line)["event"] for line in log]
                assert "left" in events and "unhandled" not in events
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


def test_sighup_reads_the_configuration_again_and_a_bad_one_changes_nothing(tmp_path):
    async def test():
        async with (
            Peer(cache) as box,
            Peer(lambda _: b"") as asked,
            Peer(lambda _: b"") as first,
            Peer(lambda _: b"") as then,
        ):
            program = Program(tmp_path, {"box": box, "origin": asked}, first)
            port = await program.start()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mg other v Oa1 Pc=read,d=9000\r\n")  # held at the origin throughout
                while not asked.got:
                    await asyncio.sleep(0.001)
                good = program.config.read_text()
                program.config.write_text(good[:-9])
                program.process.send_signal(signal.SIGHUP)
                assert "JSON" in (await program.event("reload_refused"))["error"]
                changed = json.loads(good) | {"discovery": f"127.0.0.1:{then.port}", "name": "n2"}
                program.config.write_text(json.dumps(changed))
                program.process.send_signal(signal.SIGHUP)
                said = await program.event("reloaded")
                assert (said["changed"], said["until_restart"]) == (["discovery"], ["name"])
                while not then.got:
                    await asyncio.sleep(0.001)
                assert then.got[0].startswith(b"GET /api/targets HTTP")
                program.process.send_signal(signal.SIGHUP)  # with nothing new in the file
                assert (await program.event("reloaded"))["changed"] == []
                asked.writers[0].write(origin(asked.got[0]))
                assert await reader.readexactly(19) == b"VA 7 Oa1\r\nfresh\r\n\r\n"
                assert len(asked.got) == 1 and (first.connections, then.connections) == (1, 1)
                program.process.send_signal(signal.SIGTERM)
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (None, "PROXY_CONFIG"),
        ("{", "not JSON"),
        ("[]", "not a JSON object"),
        ('{"settings": {"services": [{"sloNs": -4}]}}', "latency_objective_ns"),
        ('{"settings": {}, "listen": "somewhere:1"}', "listen"),
        ('{"settings": {}, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "known": 5}', "known"),
    ],
)
def test_a_wrong_configuration_is_one_clear_line(tmp_path, text, said):
    path = tmp_path / "config.json"
    env = {k: v for k, v in os.environ.items() if not k.startswith("PROXY_")}
    if text is not None:
        path.write_text(text)
        env["PROXY_CONFIG"] = str(path)
    done = subprocess.run(
        [sys.executable, "-m", "flintridge"], cwd=ROOT, env=env, capture_output=True, text=True
    )
    assert done.returncode == 2 and said in done.stderr
    assert done.stderr.startswith("flintridge: ") and done.stderr.count("\n") == 1
