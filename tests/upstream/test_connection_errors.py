"""Errors of system calls on connections to servers, and requests of which the kernel accepts no byte."""

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
        async with ScriptedServer(answer) as server:
            harness = UpstreamHarness(server.port)
            await test(harness, server)
            await until(lambda: not harness.dispatcher._tasks)
            idle = sum(map(len, harness.dispatcher.pool._idle.values()))
            assert harness.dispatcher.pool.open_count == idle
            await harness.dispatcher.close()

    asyncio.run(asyncio.wait_for(run(), 60))


async def use_idle(harness) -> FaultySocket:
    """Leave one connection idle for 300 ms and return its socket."""
    assert await harness.outcome() is Outcome.OK
    harness.clock.advance(300)
    (connection,) = harness.connections
    return FaultySocket(connection.writer.transport)


@errors
def test_attempt_when_reading_fails_after_its_last_byte_may_have_been_executed(code):
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
    async def test(harness, server):
        on_connect(harness, lambda sock: setattr(sock, "send_error", code))
        assert await harness.result() == AttemptResult(Outcome.CONNECT_FAILED)
        assert server.received == []

    with_harness(test)


@errors
def test_attempt_when_writing_fails_on_a_reused_connection_is_not_held_against_its_server(code):
    """The connection failed while idle. The server may be healthy, and received nothing."""

    async def test(harness, server):
        (await use_idle(harness)).send_error = code
        assert await harness.result() == WITHDRAWN
        assert len(server.received) == 1
        assert harness.counters["attempts_on_broken_idle_connection"] == 1
        assert await harness.outcome() is Outcome.OK
        assert server.connections == 2

    with_harness(test)


@pytest.mark.parametrize("reused", [False, True])
@errors
def test_attempt_when_writing_fails_after_its_first_bytes_is_connect_failed(code, reused):
    """It counts as an attempt because the server received part of it, but it was never executed."""

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
def test_attempt_when_the_kernel_lacks_memory_to_send_is_not_held_against_its_server(code):
    async def test(harness, server):
        on_connect(harness, lambda sock: setattr(sock, "send_error", code))
        assert await harness.result() == WITHDRAWN
        assert harness.counters["attempts_failed_locally"] == 1
        assert server.received == []

    with_harness(test)


def test_attempt_when_writes_are_short_is_served():
    async def test(harness, server):
        on_connect(harness, lambda sock: setattr(sock, "max_send", 1))
        assert await harness.outcome() is Outcome.OK
        assert b"".join(server.received).startswith(b"mg key7 ")

    with_harness(test, answer=lambda data: VALUE if data.endswith(b"\n") else b"")


@pytest.mark.parametrize("reason", ["seen", "unseen", "begin_by", "written_by", "deadline"])
@pytest.mark.parametrize("value", [None, BIG], ids=["read", "long write"])
def test_attempt_when_the_kernel_accepts_no_byte_and_a_precondition_ends_is_never_begun(reason, value):
    async def test(harness, server):
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
        await until(lambda: not harness.dispatcher.pool.open_count)  # the buffered bytes are never written
        assert sockets[0].sent == 0
        assert server.received == []

    with_harness(test)


def test_attempt_when_the_kernel_accepts_no_byte_at_first_is_served():
    async def test(harness, server):
        sockets = on_connect(harness, lambda sock: setattr(sock, "send_error", errno.EAGAIN))
        await harness.start()
        await until(lambda: sockets)
        await advance_time(harness, 35)
        assert harness.results == []
        sockets[0].send_error = 0
        await until(lambda: server.received)
        await advance_time(harness, 10)
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.OK]

    with_harness(test)


def test_attempt_when_it_times_out_as_the_kernel_accepts_it_may_have_been_executed():
    async def test(harness, server):
        sockets = on_connect(harness, lambda sock: setattr(sock, "send_error", errno.EAGAIN))
        await harness.start(wait=25)
        await until(lambda: sockets)
        await advance_time(harness, 21)
        sockets[0].send_error = 0
        await until(lambda: server.received)
        harness.clock.advance(4)  # before the buffer is checked again
        await until(lambda: harness.results)
        assert harness.outcomes == [Outcome.TIMEOUT]

    with_harness(test, answer=lambda _: b"")
