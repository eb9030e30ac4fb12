"""Calls of the admin API that would change something after their callers have given them up."""

import asyncio
import json
import signal
import socket

import pytest
from support.downstream import run_loop_turns
from support.downstream_termination import read_until_end, reset_connection
from support.network import ManualClock, ScriptedServer, log_and_counters, until
from support.program import Program, cache
from support.reserved_port import HOST, reserved_port

from flintridge.config.address import Address
from flintridge.core.admin_routes import AdminResponse, RouteWithInput
from flintridge.downstream.admin_api import MAX_CALL_AGE_MS, AdminApi
from flintridge.runtime.hold_ups import RECENT_MS

BODY = b"{}"
PATHS = (b"/admin/state", b"/admin/quiesce")


def encode(method: bytes, path: bytes) -> bytes:
    """Return a call with a body."""
    return b"%b %b HTTP/1.1\r\nHost: n1\r\nContent-Length: %d\r\n\r\n%b" % (method, path, len(BODY), BODY)


class Harness:
    """An admin API that records the calls that it executes, on a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.log, self.counters = log_and_counters()
        self.executed: list[str] = []
        with_input = RouteWithInput(lambda _query, _body: self._execute("with input"))
        routes = {
            b"/admin/state": {b"POST": with_input, b"GET": with_input},
            b"/admin/quiesce": {b"POST": lambda: self._execute("plain")},
        }
        self.api = AdminApi(routes, self.clock, self.log, self.counters)

    def _execute(self, name: str) -> AdminResponse:
        self.executed.append(name)
        return AdminResponse(200, {})

    async def connect(self) -> socket.socket:
        port = await self.api.listen(Address(HOST, 0))
        return socket.create_connection((HOST, port))


def close_in_order(caller: socket.socket) -> None:
    caller.close()


def close_half(caller: socket.socket) -> None:
    caller.shutdown(socket.SHUT_WR)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("leave", [close_in_order, close_half, reset_connection])
def test_change_when_its_caller_has_left_then_is_not_executed(path, leave):
    """Guards against a node that was stopped executing what its caller has given up and done elsewhere."""

    async def test():
        harness = Harness()
        caller = await harness.connect()
        caller.sendall(encode(b"POST", path))
        leave(caller)  # the event loop has not run since
        await until(lambda: harness.counters["admin_api_calls"] == 1)
        await run_loop_turns()
        assert harness.executed == []
        harness.api.close()
        caller.close()

    asyncio.run(test())


def test_query_when_its_caller_has_closed_half_then_is_answered():
    async def test():
        harness = Harness()
        caller = await harness.connect()
        caller.sendall(encode(b"GET", b"/admin/state"))
        close_half(caller)
        assert (await read_until_end(caller)).startswith(b"HTTP/1.1 200 ")
        harness.api.close()
        caller.close()

    asyncio.run(test())


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("waits", ["held up", "held up, and the timer has run", "in the accept queue"])
def test_change_when_it_may_have_waited_too_long_then_is_not_executed_until_called_again(path, waits):
    """Guards against a call whose caller may have given it up, although its end is not here yet."""

    async def test():
        harness = Harness()
        caller = await harness.connect()
        caller.sendall(encode(b"POST", path))
        if waits == "in the accept queue":
            harness.clock.max_read_delay_ms = MAX_CALL_AGE_MS + 1
        else:
            harness.clock.at += MAX_CALL_AGE_MS + 1  # without running the timers
        if waits == "held up, and the timer has run":
            harness.clock.advance(0)
        response = await read_until_end(caller)
        assert response.startswith(b"HTTP/1.1 503 ")
        assert b"not executed" in response
        assert harness.executed == []
        assert harness.counters["admin_api_calls_too_old"] == 1

        harness.clock.max_read_delay_ms = 0
        harness.clock.advance(RECENT_MS + 1)
        again = socket.create_connection(caller.getpeername())
        again.sendall(encode(b"POST", path))
        assert (await read_until_end(again)).startswith(b"HTTP/1.1 200 ")
        assert len(harness.executed) == 1
        harness.api.close()
        for one in (caller, again):
            one.close()

    asyncio.run(test())


def test_change_when_the_process_was_held_up_for_a_moment_then_is_executed():
    async def test():
        harness = Harness()
        caller = await harness.connect()
        caller.sendall(encode(b"POST", b"/admin/state"))
        harness.clock.at += MAX_CALL_AGE_MS
        assert (await read_until_end(caller)).startswith(b"HTTP/1.1 200 ")
        harness.api.close()
        caller.close()

    asyncio.run(test())


def test_drain_when_its_caller_gave_up_at_a_stopped_process_then_never_begins(tmp_path):
    async def test():
        async with ScriptedServer(cache) as cache_server, ScriptedServer(lambda _: b"") as discovery:
            program = Program(tmp_path, {"box": cache_server}, discovery)
            config_fields = json.loads(program.config.read_text()) | {"console": f"{HOST}:{admin_port}"}
            program.config.write_text(json.dumps(config_fields))
            async with program.running():
                program.process.send_signal(signal.SIGSTOP)
                with socket.create_connection((HOST, admin_port)) as caller:
                    caller.sendall(encode(b"POST", b"/admin/quiesce"))
                program.process.send_signal(signal.SIGCONT)
                reader, writer = await asyncio.open_connection(HOST, admin_port)
                writer.write(b"GET /admin/health HTTP/1.1\r\nHost: n1\r\n\r\n")
                assert json.loads((await reader.read()).split(b"\r\n\r\n")[1])["state"] == "serving"
                writer.close()
                assert (await program.event("admin_call_not_executed"))["reason"] == "caller_left"

    with reserved_port() as admin_port:
        asyncio.run(test())
