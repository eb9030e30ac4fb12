"""The commands `flintridge state`, and the admin API's routes that take a body."""

import contextlib
import json
import socket
import threading
from types import SimpleNamespace

import pytest
from click.testing import CliRunner

from flintridge.cli.calls import ConsoleResponse
from flintridge.cli.exits import CommandError
from flintridge.cli.main import main
from flintridge.core.admin_routes import AdminResponse, RouteWithInput
from flintridge.downstream.admin_exchange import AdminExchange

ONE_CONSOLE = ("--console", "127.0.0.1:1")
NO_CONSOLE = CommandError("127.0.0.1:1: no console responds there")


def test_route_when_it_takes_a_body_receives_it_with_the_query_and_other_routes_do_not():
    calls = []
    route_with_body = RouteWithInput(
        lambda query, body: calls.append((query, body)) or AdminResponse(200, {})
    )
    routes = {b"/w": {b"POST": route_with_body, b"GET": lambda: AdminResponse(200, {"plain": True})}}
    exchange = AdminExchange(routes)
    head = b"POST /w?a=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\n"
    assert exchange.feed(head + b"abc") is None
    assert b" 200 " in b"".join(exchange.feed(b"def"))
    assert calls == [(b"a=1", b"abcdef")]
    without_body = AdminExchange(routes)
    assert b"plain" in b"".join(without_body.feed(head.replace(b"POST", b"GET") + b"abcdef"))
    too_long = AdminExchange(routes)
    response = too_long.feed(head.replace(b" 6", b" 70000") + b"x" * 70_000)
    assert b" 413 " in b"".join(response)
    assert len(calls) == 1


def run_state(*arguments):
    """Run `flintridge state`, and return its exit code and output."""
    result = CliRunner().invoke(main, ["state", *arguments])
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (("set", "quota", "t", "--body", "{", "--by", "a", "--why", "b"), "--body: is not JSON"),
        (("set", "quota", "t", "--body", "[]", "--by", "a", "--why", "b"), "must be a JSON object"),
        (("hold", "s", "--why", "b"), "--by"),
        (("hold", "s", "--by", "a", "--why", "b"), "no console responds there"),
        (("get", "--name", "x"), "--name: needs --type"),
        (("diff",), "two or more"),
    ],
)
def test_command_when_it_cannot_be_executed_prints_the_reason_and_exits_with_code_2(arguments, message):
    code, output = run_state(*arguments, *ONE_CONSOLE)
    assert code == 2
    assert message in output
    assert "Traceback" not in output


def respond_with(monkeypatch, *responses):
    """Let the admin API give these responses to the next calls."""
    remaining = iter(responses)

    def respond(*_arguments):
        response = next(remaining)
        if isinstance(response, CommandError):
            raise response
        return ConsoleResponse(*response)

    monkeypatch.setattr("flintridge.cli.state.call", respond)


def test_wait_when_too_few_nodes_have_the_write_ends_with_exit_code_1(monkeypatch):
    arguments = ("hold", "s", "--by", "a", "--why", "b", *ONE_CONSOLE, "--wait", "2")
    written = (200, {"name": "n0", "write": 1, "life": "f"})
    respond_with(monkeypatch, written, (200, {"had": 2, "life": "f"}))
    assert run_state(*arguments)[0] == 0
    respond_with(monkeypatch, written, (200, {"had": 1, "life": "f"}))
    code, output = run_state(*arguments, "--timeout", "0.1")
    assert code == 1
    assert "1 and not 2 nodes" in output


@pytest.mark.parametrize("step_s", [-3_600.0, -5.0, 5.0, 3_600.0])
def test_wait_when_the_wall_clock_is_stepped_lasts_for_its_timeout_in_real_time(monkeypatch, step_s):
    slept_s = []
    clock = SimpleNamespace(
        monotonic=lambda: 100.0 + sum(slept_s),
        time=lambda: 1_700_000_000.0 + sum(slept_s) + (step_s if slept_s else 0.0),
        sleep=slept_s.append,
    )
    monkeypatch.setattr("flintridge.cli.state.time", clock)
    written = (200, {"name": "n0", "write": 1, "life": "f"})
    polls = [(200, {"had": 1, "life": "f"})] * 100
    respond_with(monkeypatch, written, *polls)
    arguments = ("hold", "s", "--by", "a", "--why", "b", *ONE_CONSOLE, "--wait", "2")
    assert run_state(*arguments, "--timeout", "1.95")[0] == 1
    assert len(slept_s) == 20


def test_wait_when_the_write_is_rejected_ends_with_exit_code_2(monkeypatch):
    arguments = ("hold", "s", "--by", "a", "--why", "b", *ONE_CONSOLE, "--wait", "2")
    respond_with(monkeypatch, (409, {"error": "there are 10000 entries already; allowed: 10000"}))
    code, output = run_state(*arguments)
    assert code == 2
    assert "allowed: 10000" in output


def test_wait_when_the_process_has_ended_since_ends_with_exit_code_1_as_the_entry_was_written(monkeypatch):
    """Guards against exit code 2, "was not written", after a write that a node has accepted."""
    arguments = ("hold", "s", "--by", "a", "--why", "b", *ONE_CONSOLE, "--wait", "2")
    written = (200, {"name": "n0", "write": 1, "life": "f"})
    for later in ((200, {"had": 2, "life": "another"}), (404, {"error": "no such write"}), NO_CONSOLE):
        respond_with(monkeypatch, written, later)
        code, output = run_state(*arguments)
        assert code == 1
        assert "which nodes have" in output


class Console:
    """A console that reads calls and gives a response, or none before it closes."""

    def __init__(self, response: bytes | None) -> None:
        self.calls = 0
        self._response = response
        self._listening = socket.create_server(("127.0.0.1", 0))
        self.options = ("--console", f"127.0.0.1:{self._listening.getsockname()[1]}")
        self._thread = threading.Thread(target=self._serve)

    def _serve(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listening.accept()
                with connection:
                    connection.recv(65_536)
                    self.calls += 1
                    if self._response is not None:
                        connection.sendall(self._response)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._listening.shutdown(socket.SHUT_RDWR)
        self._listening.close()
        self._thread.join()


def encode_response(status: int, fields: dict) -> bytes:
    body = json.dumps(fields).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


WRITTEN = encode_response(200, {"name": "n0", "write": 1, "life": "f"})
NOT_EXECUTED = encode_response(503, {"error": "not executed: call again"})
REJECTED = encode_response(409, {"error": "allowed: 10000"})


@pytest.mark.parametrize(
    ("responses", "code", "message"),
    [
        ((None,), 1, "whether the call was executed is not known"),
        ((None, NOT_EXECUTED), 1, "whether the call was executed is not known"),
        ((NOT_EXECUTED,), 2, "not executed: call again"),
        ((NOT_EXECUTED, NOT_EXECUTED), 2, "not executed: call again"),
        ((NOT_EXECUTED, WRITTEN), 0, "n0: written"),
        ((None, WRITTEN), 0, "whether the call was executed is not known"),
        ((REJECTED, WRITTEN), 2, "allowed: 10000"),
    ],
)
def test_write_when_a_console_does_not_respond_or_execute_it_exits_with_what_is_known(
    responses, code, message
):
    """Guards against exit code 2, "was not written", for a write that a node may have executed."""
    with contextlib.ExitStack() as stack:
        consoles = [stack.enter_context(Console(response)) for response in responses]
        options = [option for console in consoles for option in console.options]
        result = run_state("hold", "s", "--by", "a", "--why", "b", *options)
    assert result[0] == code
    assert message in result[1]
    is_decided_by_first = responses[0] in (WRITTEN, REJECTED)
    assert [console.calls for console in consoles[1:]] == [0 if is_decided_by_first else 1] * (
        len(consoles) - 1
    )


def test_diff_when_nodes_differ_shows_the_entries_and_since_when(monkeypatch):
    version = {
        "dot": "n0/f/1",
        "body": {"held": True},
        "by": "a",
        "why": "b",
        "age_ms": 70,
        "ends_in_ms": None,
        "deleted": False,
    }
    entry = {"type": "hold", "name": "s", "versions": [version]}
    summaries = [(200, {"name": f"n{i}", "digests": ["1", str(i)], "entries": 1}) for i in range(2)]
    pages = [(200, {"page": page, "next": None}) for page in ([entry], [])]
    arguments = ("diff", *ONE_CONSOLE, "--console", "127.0.0.1:2")
    respond_with(monkeypatch, *summaries, *pages)
    code, output = run_state(*arguments)
    assert code == 1
    assert "hold s: differs, the newest write 70 ms ago" in output
    assert "127.0.0.1:2: nothing" in output
    respond_with(monkeypatch, summaries[0], summaries[0])
    code, output = run_state(*arguments, "--json")
    assert code == 0
    assert json.loads(output)["differ"] == []
