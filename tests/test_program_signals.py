"""Signals to the real program, at the moments that matter."""

import asyncio
import json
import os
import signal

import pytest
from support.network import Peer
from support.program import Program, cache


def test_sighup_and_sigterm_while_a_process_starts_lose_nothing(tmp_path):
    """The configuration is a pipe that nobody has written to yet: the program waits for it, for certain."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
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
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


def test_sigterm_before_a_process_serves_is_an_end_as_good_as_any(tmp_path):
    """The configuration is a pipe to which nobody writes: it must not wait for that either."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
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


@pytest.mark.parametrize("late", [signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1, signal.SIGINT])
def test_a_signal_behind_the_end_changes_nothing(tmp_path, late):
    """It comes as the loop has closed and the log is written out: the last thing that the program does."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            text = (
                "import os, runpy, signal\n"
                "from flintridge.telemetry.log import Log\n"
                "close = Log.close\n"
                f"Log.close = lambda log: (os.kill(os.getpid(), {int(late)}), close(log))\n"
                "runpy.run_module('flintridge', run_name='__main__')\n"
            )
            await program.start(text=text)
            program.process.send_signal(signal.SIGTERM)
            events = [
                json.loads(line)["event"] for line in (await program.process.stdout.read()).splitlines()
            ]
            assert events[-1] == "left" and await program.process.wait() == 0

    asyncio.run(test())


def test_a_request_and_sigterm_that_reach_a_process_together(tmp_path):
    """Both wait while it is stopped, on a resting connection and in the listener's queue."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            port = await program.start()
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\n")
                assert await reader.readline() == b"MN\r\n"
                program.process.send_signal(signal.SIGSTOP)
                queued, queued_writer = await asyncio.open_connection("127.0.0.1", port)
                for number, one in enumerate((writer, queued_writer)):
                    one.write(b"mg kept v Oa%d Pc=read,d=9000\r\n" % number)
                program.process.send_signal(signal.SIGTERM)
                program.process.send_signal(signal.SIGCONT)
                assert await reader.read() == b"VA 4 Oa0\r\nmenu\r\n"
                assert await queued.read() == b"VA 4 Oa1\r\nmenu\r\n"
                writer.close()
                queued_writer.close()
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())
