"""Attempts while this machine, not a server, opens no connections: no port, buffer, descriptor or route."""

import asyncio
import errno
import os
import socket

import pytest
from support.network import ScriptedServer, until
from support.upstream import VALUE, UpstreamHarness, advance_time

from flintridge.api import Outcome
from flintridge.runtime.local_failure import LOCAL_ERRNOS
from flintridge.upstream import connection_pool

CONNECT_TIMEOUT_MS = 250


def os_error(code: int) -> OSError:
    return OSError(code, os.strerror(code))


class FailingConnects:
    """Has connects fail as `errors` says by the time (ms) since the start; None: they are made.

    Attributes:
        tried_at: When each was tried, in ms since the start.
    """

    def __init__(self, monkeypatch, harness, errors) -> None:
        started_at = harness.clock.now()
        open_connection = connection_pool.open_connection
        self.tried_at: list[float] = []

        async def failing(address):
            at = harness.clock.now() - started_at
            self.tried_at.append(at)
            error = errors(at)
            if error is not None:
                raise error
            return await open_connection(address)

        monkeypatch.setattr(connection_pool, "open_connection", failing)


def failing_until(end_ms, code=errno.ENOBUFS):
    return lambda at: os_error(code) if at < end_ms else None


def with_harness(play, test, answer=lambda _: VALUE, **options) -> None:
    async def run():
        async with ScriptedServer(answer) as peer:
            harness = UpstreamHarness(peer.port, **options)
            await test(harness, peer)
            await harness.dispatcher.close()

    play(run)


@pytest.mark.parametrize("code", sorted(LOCAL_ERRNOS), ids=errno.errorcode.get)
def test_attempt_when_connects_fail_locally_for_a_moment_is_served(play, monkeypatch, code):
    async def test(harness, peer):
        connects = FailingConnects(monkeypatch, harness, failing_until(100, code))
        await harness.start()
        await advance_time(harness, 120)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.OK]
        assert connects.tried_at == [0, 2, 6, 14, 30, 62, 112]  # pauses that double, no busy loop
        assert harness.counters["connects_failed_locally"] == 6
        assert len(peer.received) == 1

    with_harness(play, test)


@pytest.mark.parametrize("code", sorted(LOCAL_ERRNOS), ids=errno.errorcode.get)
def test_attempt_when_connects_fail_locally_throughout_is_no_sign_of_its_server(play, monkeypatch, code):
    async def test(harness, peer):
        events = []
        monkeypatch.setattr(harness.dispatcher._log, "event", lambda name, **fields: events.append(name))
        connects = FailingConnects(monkeypatch, harness, failing_until(1000, code))
        await harness.start()
        await advance_time(harness, CONNECT_TIMEOUT_MS - 1)
        assert harness.results == []
        await advance_time(harness, 1)
        await until(lambda: harness.results)
        # With no route for so long, it is the way to this server that is missing.
        out_of_reach = code == errno.ENETUNREACH
        assert harness.outcomes == [Outcome.CONNECT_FAILED if out_of_reach else Outcome.WITHDRAWN]
        assert harness.counters["attempts_failed_locally"] == (not out_of_reach)
        assert events == ["attempt_failed_locally"] * (not out_of_reach)
        assert len(connects.tried_at) < 12
        assert peer.connections == 0
        assert harness.dispatcher.pool.open_count == 0

    with_harness(play, test)


def test_attempt_when_routes_and_buffers_are_missing_in_turn_is_no_sign_of_its_server(play, monkeypatch):
    async def test(harness, _peer):
        codes = iter([errno.ENETUNREACH, errno.ENOBUFS] * 20)
        FailingConnects(monkeypatch, harness, lambda _: os_error(next(codes)))
        await harness.start()
        await advance_time(harness, CONNECT_TIMEOUT_MS)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.WITHDRAWN]

    with_harness(play, test)


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNRESET])
def test_attempt_when_the_server_refuses_behind_local_failures_is_connect_failed(play, monkeypatch, code):
    async def test(harness, _peer):
        FailingConnects(monkeypatch, harness, lambda at: os_error(errno.ENOBUFS if at < 10 else code))
        await harness.start()
        await advance_time(harness, 15)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.CONNECT_FAILED]

    with_harness(play, test)


@pytest.mark.parametrize("limit", ["begin_by", "written_by", "deadline"])
def test_attempt_when_connects_fail_locally_beyond_its_limits_is_withdrawn(play, monkeypatch, limit):
    async def test(harness, peer):
        connects = FailingConnects(monkeypatch, harness, failing_until(1000))
        await harness.start(**({"wait": 100} if limit == "deadline" else {limit: 100}))
        await advance_time(harness, 99)
        assert harness.results == []
        await advance_time(harness, 1)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.WITHDRAWN]
        assert max(connects.tried_at) < 100
        assert peer.connections == 0

    with_harness(play, test)


@pytest.mark.parametrize("seen", [True, False])
def test_attempt_when_its_client_leaves_in_a_pause_connects_no_more(play, monkeypatch, seen):
    async def test(harness, peer):
        connects = FailingConnects(monkeypatch, harness, failing_until(40))
        attempt = await harness.start()
        await advance_time(harness, 31)
        if seen:
            attempt.request_ended = True
        else:  # the system holds its end, and the event loop has not come to it
            attempt.check_client = lambda: setattr(attempt, "request_ended", True)
        await advance_time(harness, 50)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.WITHDRAWN]
        assert connects.tried_at == [0, 2, 6, 14, 30]
        assert peer.connections == 0

    with_harness(play, test)


def test_attempt_when_a_connection_becomes_idle_in_a_pause_uses_it(play, monkeypatch):
    async def test(harness, peer):
        await harness.start()
        await until(lambda: peer.received)
        FailingConnects(monkeypatch, harness, failing_until(1000))
        await harness.start()
        await advance_time(harness, 10)
        assert harness.results == []
        peer.writers[0].write(VALUE)
        await until(lambda: len(harness.results) == 1)
        await advance_time(harness, 10)
        await until(lambda: len(peer.received) == 2)
        peer.writers[0].write(VALUE)
        await until(lambda: len(harness.results) == 2)
        assert harness.outcomes == [Outcome.OK, Outcome.OK]
        assert peer.connections == 1

    with_harness(play, test, answer=lambda _: b"")


def test_attempt_when_the_connection_limit_is_reached_for_a_moment_is_served(play):
    async def test(harness, peer):
        for _ in range(2):
            await harness.start()
        await until(lambda: peer.received)
        await advance_time(harness, 30)
        assert harness.results == []
        peer.writers[0].write(VALUE)
        await until(lambda: harness.results)
        await advance_time(harness, 50)
        await until(lambda: len(peer.received) == 2)
        assert harness.counters["attempts_no_descriptor"] == 0

    with_harness(play, test, answer=lambda _: b"", max_connections=1)


@pytest.mark.parametrize(("failing_ms", "outcome"), [(100, Outcome.CONNECT_FAILED), (200, Outcome.WITHDRAWN)])
def test_attempt_when_a_connection_hangs_behind_local_failures_blames_who_had_more_time(
    play, monkeypatch, failing_ms, outcome
):
    async def test(harness, peer):
        connect = connection_pool.open_connection

        async def hanging(address):
            await asyncio.Event().wait()
            return await connect(address)

        monkeypatch.setattr(connection_pool, "open_connection", hanging)
        FailingConnects(monkeypatch, harness, failing_until(failing_ms))
        await harness.start()
        await advance_time(harness, CONNECT_TIMEOUT_MS)
        await until(lambda: harness.results)
        assert harness.outcomes == [outcome]
        assert peer.connections == 0

    with_harness(play, test)


class FailingSocket(socket.socket):
    """Fails in one of its calls by `code`, as long as `failures` are left."""

    call = ""
    code = 0
    failures = 0

    @classmethod
    def fails_now(cls, call: str) -> bool:
        if call != cls.call or not cls.failures:
            return False
        cls.failures -= 1
        return True

    def __init__(self, *args, **options) -> None:
        if self.fails_now("socket"):
            raise os_error(self.code)
        super().__init__(*args, **options)

    def connect(self, address) -> None:
        if self.fails_now("connect"):
            raise os_error(self.code)
        super().connect(address)
        if self.call == "connect in progress" and self.failures:
            raise os_error(errno.EINPROGRESS)

    def getsockopt(self, level, name, *rest):
        if name == socket.SO_ERROR and self.fails_now("connect in progress"):
            return self.code
        return super().getsockopt(level, name, *rest)


def failing_calls() -> list[tuple[str, int]]:
    calls = [(call, code) for call in ("socket", "connect") for code in sorted(LOCAL_ERRNOS)]
    # EAGAIN comes from connect(2) alone, never as the error of a connect that is in progress.
    return calls + [("connect in progress", code) for code in sorted(LOCAL_ERRNOS - {errno.EAGAIN})]


@pytest.mark.parametrize(("call", "code"), failing_calls(), ids=lambda it: errno.errorcode.get(it, it))
def test_attempt_when_a_system_call_fails_for_a_moment_is_served(monkeypatch, call, code):
    """What asyncio makes of the errors of socket(2) and connect(2), at once or as the connect is awaited."""

    async def test():
        async with ScriptedServer(lambda _: VALUE) as peer:
            harness = UpstreamHarness(peer.port)
            with monkeypatch.context() as patched:
                patched.setattr(FailingSocket, "call", call)
                patched.setattr(FailingSocket, "code", code)
                patched.setattr(FailingSocket, "failures", 3)
                patched.setattr(socket, "socket", FailingSocket)
                await harness.start()
                await until(lambda: FailingSocket.failures < 3)
                for failures in (1, 2, 3):
                    await until(lambda count=failures: harness.counters["connects_failed_locally"] == count)
                    harness.clock.advance(8)
                await until(lambda: harness.results)
            assert harness.outcomes == [Outcome.OK]
            assert peer.connections >= 1
            await harness.dispatcher.close()

    asyncio.run(asyncio.wait_for(test(), 60))
