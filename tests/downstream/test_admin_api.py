"""Tests of the admin API: the exchange with split and malformed input, and callers that send nothing."""

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
from support.network import FIXED, ManualClock, ScriptedServer, log_and_counters, until
from support.paths import ROOT
from support.program import Program, cache
from support.reserved_port import reserved_port

from flintridge.config.address import Address
from flintridge.config.errors import ConfigError
from flintridge.config.platform_config import node_config
from flintridge.core.admin_routes import AdminResponse
from flintridge.downstream.admin_api import CALL_TIMEOUT_MS, AdminApi
from flintridge.downstream.admin_exchange import MAX_BODY_BYTES, MAX_HEAD_BYTES, AdminExchange
from flintridge.downstream.lingering_close import LINGERING_CLOSE_MS
from flintridge.lab import virtual
from flintridge.runtime.listener import ListenError, open_listener

HEALTH = b"GET /admin/health HTTP/1.1\r\nHost: n1\r\n\r\n"


def routes(calls: list | None = None):
    def call():
        (calls if calls is not None else []).append("quiesce")
        return AdminResponse(200, {"state": "draining"})

    return {
        b"/admin/health": {b"GET": lambda: AdminResponse(200, {"state": "serving"})},
        b"/admin/quiesce": {b"POST": call},
    }


def status_headers_body(data: bytes, *offsets: int) -> tuple[int, dict[bytes, bytes], bytes] | None:
    exchange = AdminExchange(routes())
    bounds = [0, *sorted(offset % (len(data) + 1) for offset in offsets), len(data)]
    for start, end in itertools.pairwise(bounds):
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
        (b"GET /admin/health HTTP/1.1\r\n\r\n", 400),  # no Host header
        (b"mn\r\n\r\n", 400),
        (b"GET /" + b"x" * MAX_HEAD_BYTES * 2, 431),
        (
            b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: 99999999\r\n\r\n"
            + b"x" * MAX_BODY_BYTES * 2,
            413,
        ),
        (b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: -4\r\n\r\n", 400),
        (
            b"POST /admin/quiesce HTTP/1.1\r\nHost: n1\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n"
            b"\r\n2\r\n{}\r\n0\r\n\r\n",
            400,
        ),
    ],
)
def test_exchange_when_given_a_call_then_responds_with_its_status(call, status):
    result = status_headers_body(call)
    assert result is not None and result[0] == status
    assert int(result[1][b"Content-Length"]) == len(result[2]) and result[1][b"Connection"] == b"close"
    orjson.loads(result[2])
    if status == 405:
        assert result[1][b"Allow"] == b"POST"


@FIXED
@given(st.lists(st.integers(0, 10_000), max_size=8))
def test_exchange_when_a_call_is_split_into_any_chunks_then_is_parsed(offsets):
    result = status_headers_body(HEALTH, *offsets)
    assert result is not None and result[0] == 200


@FIXED
@given(st.lists(st.binary(min_size=1, max_size=60), max_size=20))
def test_exchange_when_given_garbage_then_rejects_or_waits_and_never_raises(pieces):
    exchange = AdminExchange(routes())
    responses = [parts for piece in pieces if (parts := exchange.feed(piece)) is not None]
    assert len(responses) <= 1 and all(b"HTTP/1.1 4" in b"".join(parts) for parts in responses)


def test_admin_api_when_callers_are_silent_or_incomplete_then_others_are_served():
    async def test():
        clock, (log, counters) = ManualClock(), log_and_counters()
        admin_api = AdminApi(routes(), clock, log, counters, connection_limit=3)
        port = await admin_api.listen(Address("127.0.0.1", 0))
        silent_callers = [await asyncio.open_connection("127.0.0.1", port) for _ in range(5)]
        silent_callers[3][1].write(HEALTH[:20])
        for _ in range(4):  # the responses arrive without the clock advancing
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(HEALTH)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
        assert counters["admin_api_evictions"] >= 3
        clock.advance(CALL_TIMEOUT_MS)  # the other calls time out
        for reader, _ in silent_callers:
            response = await reader.read()
            assert response == b"" or response.startswith(b"HTTP/1.1 408")
        clock.advance(LINGERING_CLOSE_MS)  # the callers have this long to close their side
        await until(lambda: not admin_api._callers)
        timeouts = counters["admin_api_timeouts"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(HEALTH)
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        # The call has its response, so it does not time out even if its caller does not close.
        clock.advance(CALL_TIMEOUT_MS)
        await until(lambda: not admin_api._callers)
        assert counters["admin_api_timeouts"] == timeouts
        admin_api.close()

    virtual.run(test())


def config(tmp_path, **changes):
    return {"settings": {}, "listen": "127.0.0.1:7", "discovery": "127.0.0.1:8", **changes}


def test_console_setting_when_no_address_or_a_taken_one_then_is_rejected(tmp_path):
    with pytest.raises(ConfigError, match=r"console: 'somewhere:1'|console: 'somewhere'"):
        node_config(config(tmp_path, console="somewhere:1"), {})
    with pytest.raises(
        ConfigError, match=r"console: 127.0.0.1:7 is also the listen or discovery address; it must be"
    ):
        node_config(config(tmp_path, console="127.0.0.1:7"), {})
    assert node_config(config(tmp_path), {}).console is None
    env = {"PROXY_CONSOLE": "127.0.0.1:9"}
    assert node_config(config(tmp_path), env).console == Address("127.0.0.1", 9)
    assert node_config(config(tmp_path, console="127.0.0.1:6"), env).console == Address("127.0.0.1", 6)


def test_listen_when_the_address_is_in_use_then_the_error_names_it():
    async def test():
        log, counters = log_and_counters()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", 0))
            taken.listen()
            port = taken.getsockname()[1]
            with pytest.raises(ListenError, match=rf"127.0.0.1:{port}: Address already in use"):
                await AdminApi(routes(), ManualClock(), log, counters).listen(Address("127.0.0.1", port))

    asyncio.run(test())


async def call(port: int, method: str, path: str) -> tuple[int, dict]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: n1\r\n\r\n".encode())
    response = await reader.read()
    writer.close()
    return int(response.split()[1]), orjson.loads(response.partition(b"\r\n\r\n")[2])


def test_program_when_called_by_its_admin_api_then_drains_resumes_and_shuts_down(tmp_path):
    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            config_fields = json.loads(program.config.read_text()) | {"console": f"127.0.0.1:{admin_port}"}
            program.config.write_text(json.dumps(config_fields))
            port = await program.start()
            try:
                assert await call(admin_port, "GET", "/admin/health") == (
                    200, {"state": "serving", "connections": 0, "requests": 0},
                )  # fmt: skip
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                assert (await call(admin_port, "POST", "/admin/quiesce")) == (200, {"state": "draining"})
                assert (await call(admin_port, "POST", "/admin/quiesce"))[0] == 200
                writer.write(b"mn\r\nmg kept v Oa1 Pc=read,d=9000\r\n")
                assert await reader.readline() == b"SERVER_ERROR draining\r\n"
                assert await reader.read() == b"VA 4 Oa1\r\nmenu\r\n"  # served, then closed
                await program.event("drained")
                program.process.send_signal(signal.SIGHUP)
                await program.event("reloaded")  # a reload does not end the drain
                status, response = await call(admin_port, "GET", "/admin/health")
                assert (status, response["state"]) == (200, "drained")
                assert await call(admin_port, "POST", "/admin/resume") == (200, {"state": "serving"})
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"mn\r\n")
                assert await reader.readline() == b"MN\r\n"
                program.process.send_signal(signal.SIGTERM)
                await program.event("leaving")
                status, response = await call(admin_port, "GET", "/admin/health")
                assert (status, response["state"]) == (503, "leaving")
                assert (await call(admin_port, "POST", "/admin/resume"))[0] == 409
                assert await program.process.wait() == 0
            finally:
                if program.process.returncode is None:
                    program.process.kill()

    with reserved_port() as admin_port:
        asyncio.run(test())


def test_shared_address_when_one_of_two_programs_shuts_down_then_no_request_is_lost(tmp_path):
    """Requests are sent throughout on new connections; some wait to be accepted as the listener closes."""

    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            programs = []
            for name in ("old", "new"):
                (tmp_path / name).mkdir()
                program = Program(tmp_path / name, {"box": cache_server}, discovery)
                config_fields = json.loads(program.config.read_text()) | {"listen": f"127.0.0.1:{port}"}
                program.config.write_text(json.dumps(config_fields))
                programs.append(program)
            try:
                await programs[0].start()
                responses: list[bytes] = []
                retried: list[int] = []
                finished = asyncio.Event()

                async def send_request(number: int, retry: bool = True) -> None:
                    """Send a request as clients do, and retry it once if it crossed a close."""
                    try:
                        reader, writer = await asyncio.open_connection("127.0.0.1", port)
                        writer.write(b"mg kept v Oa%d Pc=read,d=9000\r\n" % number)
                        line = await reader.readline()
                    except ConnectionResetError:
                        line = b""
                    else:
                        writer.close()
                    if not line and retry:
                        retried.append(number)
                        await send_request(number, retry=False)
                        return
                    responses.append(line)

                async def send_requests() -> None:
                    number = 0
                    while not finished.is_set():
                        number += 10
                        await asyncio.gather(*(send_request(number + i) for i in range(10)))

                sending = asyncio.ensure_future(send_requests())
                await programs[1].start()
                seen = len(responses)
                await until(lambda: len(responses) > seen + 100)
                while (await programs[0].event("worker_processes"))["count"] != 2:
                    pass
                programs[0].process.send_signal(signal.SIGTERM)
                assert (await programs[0].event("leaving"))["stepped_aside"] is True
                assert await programs[0].process.wait() == 0
                seen = len(responses)
                await until(lambda: len(responses) > seen + 100)
                finished.set()
                await sending
                assert [line for line in responses if not line.startswith(b"VA 4 Oa")] == []
                assert retried == []  # no request had to be retried
            finally:
                for program in programs:
                    if program.process.returncode is None:
                        os.kill(program.process.pid, signal.SIGKILL)

    with reserved_port() as port:
        asyncio.run(test())


def test_new_version_when_it_cannot_start_then_reports_why_and_the_old_one_serves(tmp_path):
    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            config_fields = json.loads(program.config.read_text()) | {"listen": f"127.0.0.1:{port}"}
            program.config.write_text(json.dumps(config_fields | {"console": f"127.0.0.1:{admin_port}"}))
            await program.start()
            try:
                for changes, exit_code, message in (
                    (
                        {"console": f"127.0.0.1:{admin_port}"},
                        1,
                        f"127.0.0.1:{admin_port}: Address already in use",
                    ),
                    ({"console": "here"}, 2, "console: 'here'"),
                    ({"console": f"127.0.0.1:{port}"}, 2, f"console: 127.0.0.1:{port} is also the listen or"),
                ):
                    path = tmp_path / "new.json"
                    path.write_text(json.dumps(config_fields | changes))
                    new = await asyncio.create_subprocess_exec(
                        sys.executable, "-m", "flintridge", cwd=ROOT, stderr=asyncio.subprocess.PIPE,
                        stdout=asyncio.subprocess.DEVNULL, env={**os.environ, "PROXY_CONFIG": str(path)},
                    )  # fmt: skip
                    line = (await new.stderr.read()).decode()
                    assert await new.wait() == exit_code
                    assert line.startswith(f"flintridge: {message}") and line.count("\n") == 1
                    status, state = await call(admin_port, "GET", "/admin/health")
                    assert (status, state["state"]) == (200, "serving")
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"mg kept v Oa1 Pc=read,d=9000\r\n")
                    assert await reader.readline() == b"VA 4 Oa1\r\n"
                    writer.close()
            finally:
                program.process.kill()
                await program.process.wait()

    with reserved_port() as port, reserved_port() as admin_port:
        asyncio.run(test())


def test_admin_call_when_the_event_loop_is_never_idle_then_gets_its_response_in_few_iterations():
    """A thousand callbacks in each event loop iteration delay the admin API only by their own run time."""

    async def test():
        clock, (log, counters) = ManualClock(), log_and_counters()
        admin_api = AdminApi(routes(), clock, log, counters)
        port = await admin_api.listen(Address("127.0.0.1", 0))
        loop, iterations, finished = asyncio.get_running_loop(), 0, False

        def run_iteration() -> None:
            nonlocal iterations
            iterations += 1
            if not finished:
                for _ in range(1000):
                    loop.call_soon(int)
                loop.call_soon(run_iteration)

        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        loop.call_soon(run_iteration)
        writer.write(HEALTH)
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        finished = True
        assert iterations <= 100
        admin_api.close()

    asyncio.run(test())


def test_listener_when_it_diverts_connections_then_another_one_gets_them_if_it_exists():
    async def test():
        accepted = {"first": 0, "second": 0}

        def counting_acceptor(name):
            async def accept(reader, writer) -> None:
                accepted[name] += 1
                writer.close()

            return accept

        async def connect(count: int) -> dict[str, int]:
            accepted.update(first=0, second=0)
            for _ in range(count):
                reader, writer = await asyncio.open_connection("127.0.0.1", first.port)
                assert await reader.read() == b""
                writer.close()
            return dict(accepted)

        context = (ManualClock(), *log_and_counters())
        first = await open_listener(counting_acceptor("first"), Address("127.0.0.1", 0), True, *context)
        assert first.divert_to(1) and await connect(8) == {"first": 8, "second": 0}  # no second one exists
        second = await open_listener(
            counting_acceptor("second"), Address("127.0.0.1", first.port), True, *context
        )
        distribution = await connect(64)  # opening the second one reset the choice
        assert distribution["first"] and distribution["second"]
        assert first.divert_to(1) and await connect(16) == {"first": 0, "second": 16}
        assert second.divert_to(0) and await connect(16) == {"first": 16, "second": 0}
        assert first.divert_to(1)
        first.close()
        assert await connect(8) == {"first": 0, "second": 8}
        second.close()

    asyncio.run(test())
