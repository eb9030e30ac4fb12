"""The loop as a whole: with asyncio's runner, with a node, and with the same trace in each run."""

import asyncio
import os
import signal
import subprocess
import sys

import pytest
from support.network import log_and_counters
from support.paths import ROOT

import flintridge.__main__
from flintridge.config.loader import load_config
from flintridge.lab.virtual import VirtualLoop, run


@pytest.mark.parametrize(
    "call",
    [
        lambda loop: loop.run_in_executor(None, print),
        lambda loop: loop.subprocess_exec(asyncio.SubprocessProtocol, "true"),
        lambda loop: loop.create_connection(asyncio.Protocol, "127.0.0.1", 1, ssl=True),
        lambda loop: loop.getaddrinfo("example.org", 80),
        lambda loop: loop.add_reader(0, print),
    ],
)
def test_loop_when_an_operation_has_no_counterpart_then_raises(call):
    async def main():
        with pytest.raises(NotImplementedError):
            await call(asyncio.get_running_loop())

    run(main())


TRACED_PROGRAM = """
import asyncio, random, sys
from flintridge.lab.virtual import Network, run
from support.virtual_network import RandomLink

async def main():
    loop = asyncio.get_running_loop()
    network, seen, chance = loop.network, [], random.Random(7)
    def note(*what): seen.append((round(loop.time(), 9), *what))
    async def serve(reader, writer):
        while data := await reader.read(100):
            note("server", len(data), writer.get_extra_info("peername"))
            writer.write(data)
        writer.close()
    async def client(name):
        while True:
            try:
                reader, writer = await asyncio.open_connection("10.0.0.1", 80)
                for size in range(1, 400, 90):
                    writer.write(b"x" * size)
                    note(name, len(await reader.read(100)))
                writer.close()
            except OSError as error:
                note(name, type(error).__name__)
            tasks = {asyncio.ensure_future(asyncio.sleep(i / 100)) for i in range(3)}
            await asyncio.wait(tasks)
    server = network.host("server")
    for i in range(5):
        network.host(f"c{i}").run(client(f"c{i}"))
    for _ in range(20):
        await server.run(asyncio.start_server(serve, "10.0.0.1", 80))
        await asyncio.sleep(chance.random() / 5)
        getattr(network.host(f"c{chance.randrange(5)}"), chance.choice(["pause", "resume"]))()
        server.kill()
        await asyncio.sleep(chance.random() / 50)
        server.revive()
    return seen

seen = run(main(), Network(lambda a, b: RandomLink(len(a + b))))
print(len(seen), *seen, sep="\\n")
"""


def test_program_when_run_with_another_hash_seed_then_produces_the_same_trace():
    traces = []
    for seed in ("1", "2"):
        paths = os.pathsep.join(str(path) for path in (ROOT / "tests", ROOT))
        environment = os.environ | {"PYTHONHASHSEED": seed, "PYTHONPATH": paths}
        done = subprocess.run(
            [sys.executable, "-c", TRACED_PROGRAM],
            env=environment,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        traces.append(done.stdout)
    assert traces[0] == traces[1]
    assert int(traces[0].split()[0]) > 500


def test_loop_when_run_by_asyncio_runner_then_ends_cleanly():
    async def main():
        network = asyncio.get_running_loop().network
        network.host("dead").run(asyncio.sleep(1e6))
        await asyncio.sleep(0)
        network.host("dead").kill()
        return await asyncio.wait_for(network.host("a").run(asyncio.sleep(5, "done")), 10)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        assert runner.run(main()) == "done"


def test_node_when_run_on_a_host_then_shuts_down_on_sigterm():
    config = load_config({"PROXY_CONFIG": str(ROOT / "examples" / "config.json")})

    async def main():
        host = asyncio.get_running_loop().network.host("node")
        node = host.run(flintridge.__main__.run(config, log_and_counters()[0]))
        await asyncio.sleep(0.1)
        reader, writer = await asyncio.open_connection(config.listen.host, config.listen.port)
        writer.write(b"mn\r\n")
        assert await reader.readline() in (b"MN\r\n", b"SERVER_ERROR starting\r\n")
        host.signal(signal.SIGTERM)
        assert not node.done()
        assert await reader.read() == b""  # the connection is closed during the shutdown
        await node
        assert host.open_connections == 0
        assert host.tasks_alive == 0

    run(main())
