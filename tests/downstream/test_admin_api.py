"""The console: its exchange against every cut and garbage, its sockets against callers who say nothing."""

import asyncio
import itertools
import json
import os
import signal
import socket
import sys

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, HandClock, Peer, quiet, until
from support.paths import ROOT
from support.program import Program, cache

from flintridge.fronts.console import MAX_BODY, MAX_HEAD, AdminExchange
from flintridge.lab import virtual
from flintridge.net.console import CALL_TIME, AdminApi
from flintridge.net.parting import PARTING
from flintridge.runtime.listener import ListenError, open_listener
from flintridge.settings import Address, ConfigError, node_config

HEALTH = b"GET /admin/health HTTP/1.1\r\nHost: n1\r\n\r\n"


def routes(done: list | None = None):
    def call():
        (done if done is not None else []).append("quiesce")
        return 200, {"state": "draining"}

    return {
        b"/admin/health": {b"GET": lambda: (200, {"state": "serving"})},
        b"/admin/quiesce": {b"POST": call},
    }


def answered(data: bytes, *cuts: int) -> tuple[int, dict[bytes, bytes], bytes] | None:
    exchange = AdminExchange(routes())
    edges = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    for start, end in itertools.pairwise(edges):
        if start < end and (parts := exchange.feed(data[start:end])) is not None:
            head, _, body = b"".join(parts).partition(b"\r\n\r\n")
            first, *lines = head.split(b"\r\n")
            return int(first.split()[1]), dict(line.split(b": ", 1) for line in lines), body
    return None


@pytest.mark.parametrize(
    ("call", "status"),
    [
        (HEALTH, 200),
        (HEALTH.replace(b"health ", b"health?verbose=1 "), 200),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: 2\r\n\r\n{}", 200),
        (b"POST /admin/quiesce HTTP/1.0\r\n\r\n", 200),
        (b"GET /admin/quiesce HTTP/1.1\r\nHost: n1\r\n\r\n", 405),
        (b"GET /admin/other HTTP/1.1\r\nHost: n1\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\nHost: n1\r\n\r\n", 404),
        (b"GET /admin/health HTTP/1.1\r\n\r\n", 400),  # no host
        (b"mn\r\n\r\n", 400),
        (b"GET /" + b"x" * MAX_HEAD * 2, 431),
        (
            b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: 99999999\r\n\r\n"
            + b"x" * MAX_BODY * 2,
            413,
        ),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: -4\r\n\r\n", 400),
    ],
)
def test_each_call_has_its_status(call, status):
    got = answered(call)
    assert got is not None and got[0] == status
    assert int(got[1][b"Content-Length"]) == len(got[2]) and got[1][b"Connection"] == b"close"
    orjson.loads(got[2])
    if status == 405:
        assert got[1][b"Allow"] == b"POST"


@FIXED
@given(st.lists(st.integers(0, 10_000), max_size=8))
def test_a_call_is_read_in_whichever_cuts(cuts):
    got = answered(HEALTH, *cuts)
    assert got is not None and got[0] == 200


@FIXED
@given(st.lists(st.binary(min_size=1, max_size=60), max_size=20))
def test_garbage_is_refused_or_waited_for_and_never_raises(pieces):
    exchange = AdminExchange(routes())
    answers = [parts for piece in pieces if (parts := exchange.feed(piece)) is not None]
    assert len(answers) <= 1 and all(b"HTTP/1.1 4" in b"".join(parts) for parts in answers)


def test_callers_who_say_nothing_or_half_a_call_keep_nobody_waiting():
    async def test():
        clock, (log, counters) = HandClock(), quiet()
        console = AdminApi(routes(), clock, log, counters, places=3)
        port = await console.listen(Address("127.0.0.1", 0))
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        silent[3][1].write(HEALTH[:20])
        for _ in range(4):  # at once, with no time passing
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(HEALTH)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
        assert counters["console_made_place"] >= 3
        clock.go(CALL_TIME)  # and none stays for long
        for reader, _ in silent:
            said = await reader.read()
            assert said == b"" or said.startswith(b"HTTP/1.1 408")
        clock.go(PARTING)  # which they have to end their side
        await until(lambda: not console._callers)
        late = counters["console_late"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEALTH)
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        clock.go(CALL_TIME)  # answered, and its caller does not close: that is not late
        await until(lambda: not console._callers)
        assert counters["console_late"] == late
        console.close()

    virtual.run(test())


def config(tmp_path, **changes):
    return {"settings": {}, "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8", **changes}


def test_a_console_that_is_no_address_or_another_ones_is_refused(tmp_path):
    with pytest.raises(ConfigError, match=r"console: 'somewhere:1'|console: 'somewhere'"):
        node_config(config(tmp_path, console="somewhere:1"), {})
    with pytest.raises(ConfigError, match=r"console: 127.0.0.1:7 is listen"):
        node_config(config(tmp_path, console="127.0.0.1:7"), {})
    assert node_config(config(tmp_path), {}).console is None
    env = {"PROXY_CONSOLE": "127.0.0.1:9"}
    assert node_config(config(tmp_path), env).console == Address("127.0.0.1", 9)
    assert node_config(config(tmp_path, console="127.0.0.1:6"), env).console == Address("127.0.0.1", 6)


def test_a_taken_console_is_told_as_such():
    async def test():
        log, counters = quiet()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            with pytest.raises(ListenError, match=rf"127.0.0.1:{port}: Address already in use"):
                await AdminApi(routes(), HandClock(), log, counters).listen(Address("127.0.0.1", port))

    asyncio.run(test())


async def call(port: int, method: str, path: str) -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())
    said = await reader.read()
    writer.close()
    return int(said.split()[1]), orjson.loads(said.partition(b"\r\n\r\n")[2])


def free_port() -> int:
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        return one.getsockname()[1]


def test_the_program_drains_resumes_and_leaves_by_its_console(tmp_path):
    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            door = free_port()
            held = json.loads(program.config.read_text()) | {"console": f"127.0.0.1:{door}"}
            program.config.write_text(json.dumps(held))
            port = await program.start()
            try:
                assert await call(door, "GET", "/admin/health") == (
                    200, {"state": "serving", "connections": 0, "requests": 0},
                )  # fmt: skip
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                assert (await call(door, "POST", "/admin/quiesce")) == (200, {"state": "draining"})
                assert (await call(door, "POST", "/admin/quiesce"))[0] == 200
                writer.write(b"mn\r\nmg kept v Oa1 Pc=read,d=9000\r\n")
                assert await reader.readline() == b"SERVER_ERROR draining\r\n"
                assert await reader.read() == b"VA 4 Oa1\r\nmenu\r\n"  # served, then closed
                await program.event("drained")
                program.process.send_signal(signal.SIGHUP)
                await program.event("reloaded")  # and it stays drained
                status, said = await call(door, "GET", "/admin/health")
                assert (status, said["state"]) == (200, "drained")
                assert await call(door, "POST", "/admin/resume") == (200, {"state": "serving"})
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\n")
                assert await reader.readline() == b"MN\r\n"
                program.process.send_signal(signal.SIGTERM)
                await program.event("leaving")
                status, said = await call(door, "GET", "/admin/health")
                assert (status, said["state"]) == (503, "leaving")
                assert (await call(door, "POST", "/admin/resume"))[0] == 409
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    asyncio.run(test())


def test_two_programs_share_the_clients_address_and_nothing_is_lost_as_one_leaves(tmp_path):
    """Requests throughout, each on a connection of its own; those that wait as a listener closes too."""

    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            programs = []
            port = free_port()
            for name in ("old", "new"):
                (tmp_path / name).mkdir()
                program = Program(tmp_path / name, {"box": box}, discovery)
                held = json.loads(program.config.read_text()) | {"listen": f"127.0.0.1:{port}"}
                program.config.write_text(json.dumps(held))
                programs.append(program)
            try:
                await programs[0].start()
                answers, crossed, ended = [], [], asyncio.Event()

                async def ask(number: int, again: bool = True) -> None:
                    """As clients do it: what a close crossed is sent once more."""
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", port)
                        writer.write(b"mg kept v Oa%d Pc=read,d=9000\r\n" % number)
                        line = await reader.readline()
                    except ConnectionResetError:
                        line = b""
                    else:
                        writer.close()
                    if not line and again:
                        crossed.append(number)
                        await ask(number, again=False)
                        return
                    answers.append(line)

                async def ask_on() -> None:
                    number = 0
                    while not ended.is_set():
                        number += 10
                        await asyncio.gather(*(ask(number + i) for i in range(10)))

                asking = asyncio.ensure_future(ask_on())
                await programs[1].start()
                seen = len(answers)
                await until(lambda: len(answers) > seen + 100)
                while (await programs[0].event("worker_processes"))["count"] != 2:
                    pass
                programs[0].process.send_signal(signal.SIGTERM)
                assert (await programs[0].event("leaving"))["stepped_aside"] is True
                assert await programs[0].process.wait() == 0
                seen = len(answers)
                await until(lambda: len(answers) > seen + 100)
                ended.set()
                await asking
                assert [one for one in answers if not one.startswith(b"VA 4 Oa")] == []
                assert crossed == []  # nor had any to be sent again
            finally:
                for program in programs:
                    if program.process.returncode is None:
                        os.kill(program.process.pid, signal.SIGKILL)

    asyncio.run(test())


def test_a_new_version_that_cannot_start_says_why_and_the_old_one_goes_on(tmp_path):
    async def test():
        async with Peer(cache) as box, Peer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": box}, discovery)
            port, door = free_port(), free_port()
            held = json.loads(program.config.read_text()) | {"listen": f"127.0.0.1:{port}"}
            program.config.write_text(json.dumps(held | {"console": f"127.0.0.1:{door}"}))
            await program.start()
            try:
                for changes, code, said in (
                    ({"console": f"127.0.0.1:{door}"}, 1, f"127.0.0.1:{door}: Address already in use"),
                    ({"console": "here"}, 2, "console: 'here'"),
                    ({"console": f"127.0.0.1:{port}"}, 2, f"console: 127.0.0.1:{port} is listen"),
                ):
                    path = tmp_path / "new.json"
                    path.write_text(json.dumps(held | changes))
                    new = await asyncio.create_subprocess_exec(
                        sys.executable, "-m", "flintridge", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                        stdout=asyncio.subprocess.DEVNULL, env={**os.environ, "PROXY_CONFIG": str(path)},
                    )  # fmt: skip
                    line = (await new.stderr.read()).decode()
                    assert await new.wait() == code
                    assert line.startswith(f"flintridge: {said}") and line.count("\n") == 1
                    status, state = await call(door, "GET", "/admin/health")
                    assert (status, state["state"]) == (200, "serving")
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"mg kept v Oa1 Pc=read,d=9000\r\n")
                    assert await reader.readline() == b"VA 4 Oa1\r\n"
                    writer.close()
            finally:
                program.process.kill()
                await program.process.wait()

    asyncio.run(test())


def test_a_call_is_answered_within_few_turns_of_a_loop_that_is_never_idle():
    """A thousand callbacks in each turn hold the console up only by what they themselves take."""

    async def test():
        clock, (log, counters) = HandClock(), quiet()
        console = AdminApi(routes(), clock, log, counters)
        port = await console.listen(Address("127.0.0.1", 0))
        loop, turns, over = asyncio.get_running_loop(), 0, False

        def turn() -> None:
            nonlocal turns
            turns += 1
            if not over:
                for _ in range(1000):
                    loop.call_soon(int)
                loop.call_soon(turn)

        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        loop.call_soon(turn)
        writer.write(HEALTH)
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        over = True
        assert turns <= 100
        console.close()

    asyncio.run(test())


def test_a_listener_steps_aside_for_the_other_one_and_not_for_none():
    async def test():
        took = {"first": 0, "second": 0}

        def taker(name):
            async def take(reader, writer) -> None:
                took[name] += 1
                writer.close()

            return take

        async def connect(count: int) -> dict[str, int]:
            took.update(first=0, second=0)
            for _ in range(count):
                reader, writer = await asyncio.open_connection("127.0.0.1", first.port)
                assert await reader.read() == b""
                writer.close()
            return dict(took)

        first = await open_listener(taker("first"), Address("127.0.0.1", 0), shared=True)
        assert first.divert_to(1) and await connect(8) == {"first": 8, "second": 0}  # there is no other
        second = await open_listener(taker("second"), Address("127.0.0.1", first.port), shared=True)
        dealt = await connect(64)  # the new one ended what had been chosen
        assert dealt["first"] and dealt["second"]
        assert first.divert_to(1) and await connect(16) == {"first": 0, "second": 16}
        assert second.divert_to(0) and await connect(16) == {"first": 16, "second": 0}
        assert first.divert_to(1)
        first.close()
        assert await connect(8) == {"first": 0, "second": 8}
        second.close()

    asyncio.run(test())
