"""Errors of system calls on connections to servers, and requests of which the system takes nothing."""

import asyncio
import errno

import pytest
from support.network import ScriptedServer, until
from support.upstream import VALUE, FaultySocket, UpstreamHarness, advance_time, on_connect

from flintridge.api import Outcome
from flintridge.core.response import AttemptResult

BROKEN = [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.EPIPE, errno.ENETUNREACH]
WITHDRAWN = AttemptResult(Outcome.WITHDRAWN)
BIG = b"x" * (16 << 20)

errors = pytest.mark.parametrize("code", BROKEN, ids=errno.errorcode.get)


def with_harness(test, answer=lambda _: VALUE) -> None:
    async def run():
        async with ScriptedServer(answer) as peer:
            harness = UpstreamHarness(peer.port)
            await test(harness, peer)
            await until(lambda: not harness.dispatcher._tasks)
            idle = sum(map(len, harness.dispatcher.pool._idle.values()))
            assert harness.dispatcher.pool.open_count == idle
            await harness.dispatcher.close()

    asyncio.run(asyncio.wait_for(run(), 60))


async def use_idle(harness) -> FaultySocket:
    """Have one connection idle for a while; its socket."""
    assert await harness.outcome() is Outcome.OK
    harness.clock.advance(300)
    (connection,) = harness.connections
    return FaultySocket(connection.writer.transport)


@errors
def test_attempt_when_reading_fails_behind_its_last_byte_may_have_been_executed(code):
    async def test(harness, _peer):
        on_connect(harness, lambda sock: setattr(sock, "recv_error", code))
        assert await harness.result() == AttemptResult(Outcome.RESET)

    with_harness(test)


@errors
def test_attempt_when_reading_fails_on_a_reused_connection_may_have_been_executed(code):
    async def test(harness, _peer):
        (await use_idle(harness)).recv_error = code
        assert await harness.result() == AttemptResult(Outcome.RESET, malformed=True)

    with_harness(test)


@errors
def test_attempt_when_writing_fails_on_a_new_connection_is_connect_failed(code):
    async def test(harness, peer):
        on_connect(harness, lambda sock: setattr(sock, "send_error", code))
        assert await harness.result() == AttemptResult(Outcome.CONNECT_FAILED)
        assert peer.received == []

    with_harness(test)


@errors
def test_attempt_when_writing_fails_on_a_reused_connection_is_no_sign_of_its_server(code):
    """It broke while nobody looked; the server may be well, and got nothing."""

    async def test(harness, peer):
        (await use_idle(harness)).send_error = code
        assert await harness.result() == WITHDRAWN
        assert len(peer.received) == 1
        assert harness.counters["attempts_on_broken_idle_connection"] == 1
        assert await harness.outcome() is Outcome.OK
        assert peer.connections == 2

    with_harness(test)


@pytest.mark.parametrize("reused", [False, True])
@errors
def test_attempt_when_writing_fails_behind_its_first_bytes_is_connect_failed(code, reused):
    """It counts as an attempt, as its server has got some of it; it never ran."""

    async def test(harness, _peer):
        sockets = [await use_idle(harness)] if reused else on_connect(harness, lambda _: None)
        send = FaultySocket.send

        def fail_in_the_middle(sock, data) -> int:
            if sock.sent > 1 << 20:
                sock.send_error = code
            return send(sock, data)

        FaultySocket.send = fail_in_the_middle
        try:
            assert await harness.result(value=BIG) == AttemptResult(Outcome.CONNECT_FAILED)
        finally:
            FaultySocket.send = send
        assert sockets[0].sent > 1 << 20

    with_harness(test)


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM], ids=errno.errorcode.get)
def test_attempt_when_the_system_lacks_memory_to_send_is_no_sign_of_its_server(code):
    async def test(harness, peer):
        on_connect(harness, lambda sock: setattr(sock, "send_error", code))
        assert await harness.result() == WITHDRAWN
        assert harness.counters["attempts_failed_locally"] == 1
        assert peer.received == []

    with_harness(test)


def test_attempt_when_writes_are_short_is_served():
    async def test(harness, peer):
        on_connect(harness, lambda sock: setattr(sock, "max_send", 1))
        assert await harness.outcome() is Outcome.OK
        assert b"".join(peer.received).startswith(b"mg key7 ")

    with_harness(test, answer=lambda data: VALUE if data.endswith(b"\n") else b"")


@pytest.mark.parametrize("reason", ["seen", "unseen", "begin_by", "written_by", "deadline"])
@pytest.mark.parametrize("value", [None, BIG], ids=["read", "long write"])
def test_attempt_when_the_system_takes_no_byte_and_its_reason_ends_is_never_begun(reason, value):
    async def test(harness, peer):
        sockets = on_connect(harness, lambda sock: setattr(sock, "send_error", errno.EAGAIN))
        limits = {"begin_by": {reason: 19}, "written_by": {reason: 20}, "deadline": {"wait": 20}}
        attempt = await harness.start(value=value, **limits.get(reason, {}))
        await until(lambda: sockets)
        await advance_time(harness, 10)
        assert harness.results == []
        if reason == "seen":
            attempt.request_ended = True
        elif reason == "unseen":
            attempt.check_client = lambda: setattr(attempt, "request_ended", True)
        await advance_time(harness, 15)
        sockets[0].send_error = 0
        await advance_time(harness, 30)
        await until(lambda: harness.results)
        assert harness.results == [WITHDRAWN]
        await until(lambda: not harness.dispatcher.pool.open_count)  # what waits there is never written
        assert sockets[0].sent == 0
        assert peer.received == []

    with_harness(test)


def test_attempt_when_the_system_takes_no_byte_at_first_is_served():
    async def test(harness, peer):
        sockets = on_connect(harness, lambda sock: setattr(sock, "send_error", errno.EAGAIN))
        await harness.start()
        await until(lambda: sockets)
        await advance_time(harness, 35)
        assert harness.results == []
        sockets[0].send_error = 0
        await until(lambda: peer.received)
        await advance_time(harness, 10)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.OK]

    with_harness(test)


def test_attempt_when_it_times_out_as_the_system_takes_it_at_last_may_have_been_executed():
    async def test(harness, peer):
        sockets = on_connect(harness, lambda sock: setattr(sock, "send_error", errno.EAGAIN))
        await harness.start(wait=25)
        await until(lambda: sockets)
        await advance_time(harness, 21)
        sockets[0].send_error = 0
        await until(lambda: peer.received)
        harness.clock.advance(4)  # before the next look at the buffer
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.TIMEOUT]

    with_harness(test, answer=lambda _: b"")
