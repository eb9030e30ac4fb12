"""Signals to the real program, at the moments that matter."""

import asyncio
import json
import os
import signal

import pytest
from support.network import ScriptedServer
from support.program import Program, cache


def test_sighup_when_the_process_is_starting_then_is_carried_out_once_it_serves(tmp_path):
    """The configuration is a pipe that nobody has written to yet: the program waits for it, for certain."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            text = program.config.read_bytes()
            program.config.unlink()
            os.mkfifo(program.config)
            starting = asyncio.ensure_future(program.start())
            loop = asyncio.get_running_loop()
            pipe = await loop.run_in_executor(None, os.open, program.config, os.O_WRONLY)  # it has opened it
            program.process.send_signal(signal.SIGHUP)
            os.write(pipe, text)
            program.config.unlink()
            program.config.write_bytes(text.replace(b'"sockets": 256', b'"sockets": 300'))
            os.close(pipe)
            port = await starting
            try:
                assert (await program.event("reloaded"))["changed"] == ["sockets"]
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mg kept v Oa1 Pc=read,d=9000\r\n")
                assert await reader.readline() == b"VA 4 Oa1\r\n"
                for _ in range(2):
                    program.process.send_signal(signal.SIGTERM)
                assert await reader.read() == b"menu\r\n"
                assert await program.process.wait() == 0
            finally:
                program.kill()

    asyncio.run(test())


def test_sigterm_when_the_process_does_not_serve_yet_then_exits_cleanly(tmp_path):
    """The configuration is a pipe to which nobody writes: it must not wait for that either."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            program.config.unlink()
            os.mkfifo(program.config)
            starting = asyncio.ensure_future(program.start())
            loop = asyncio.get_running_loop()
            pipe = await loop.run_in_executor(None, os.open, program.config, os.O_WRONLY)  # it has opened it
            program.process.send_signal(signal.SIGTERM)
            assert await program.process.wait() == 0
            os.close(pipe)
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)

    asyncio.run(test())


@pytest.mark.parametrize("late_signal", [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT])
def test_signal_when_the_node_has_terminated_then_changes_nothing(tmp_path, late_signal):
    """It comes as the loop has closed and the log is written out: the last thing that the program does."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            text = (
                "import os, runpy, signal\n"
                "from flintridge.telemetry.log import Log\n"
                "close = Log.close\n"
                f"Log.close = lambda log: (os.kill(os.getpid(), {int(late_signal)}), close(log))\n"
                "runpy.run_module('flintridge', run_name='__main__')\n"
            )
            await program.start(text=text)
            program.process.send_signal(signal.SIGTERM)
            events = [
                json.loads(line)["event"] for line in (await program.process.stdout.read()).splitlines()
            ]
            assert events[-1] == "left"
            assert await program.process.wait() == 0

    asyncio.run(test())


def test_request_when_it_arrives_with_sigterm_then_has_its_response(tmp_path):
    """Both wait while it is stopped, on an idle connection and in the listener's queue."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            async with program.running() as port:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\n")
                assert await reader.readline() == b"MN\r\n"
                program.process.send_signal(signal.SIGSTOP)
                queued, queued_writer = await asyncio.open_connection("127.0.0.1", port)
                for number, client in enumerate((writer, queued_writer)):
                    client.write(b"mg kept v Oa%d Pc=read,d=9000\r\n" % number)
                program.process.send_signal(signal.SIGTERM)
                program.process.send_signal(signal.SIGCONT)
                assert await reader.read() == b"VA 4 Oa0\r\nmenu\r\n"
                assert await queued.read() == b"VA 4 Oa1\r\nmenu\r\n"
                writer.close()
                queued_writer.close()
                assert await program.process.wait() == 0

    asyncio.run(test())
