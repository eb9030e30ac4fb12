"""The upstream dispatch on loopback and in virtual time, with a manual clock for deadlines."""

import asyncio

import pytest
from support.network import ScriptedServer, until
from support.upstream import VALUE, UpstreamHarness, advance_time

from flintridge import api
from flintridge.api import Outcome
from flintridge.upstream.connection_pool import QUARANTINE_MS, SWEEP_INTERVAL_MS


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [(VALUE, Outcome.OK), (b"EN Oa1\r\n", Outcome.MISS), (None, Outcome.RESET), ("rst", Outcome.RESET)],
)
def test_attempt_when_the_server_answers_or_ends_has_its_outcome(play, answer, outcome):
    async def test():
        async with ScriptedServer(lambda _: answer) as server:
            harness = UpstreamHarness(server.port)
            assert await harness.outcome() is outcome
            await harness.dispatcher.close()

    play(test)


def test_attempt_when_the_connection_is_refused_is_never_executed(play):
    async def test():
        async with ScriptedServer(lambda _: None) as server:
            harness = UpstreamHarness(server.port)
        await server.server.wait_closed()
        assert await harness.outcome() is Outcome.CONNECT_FAILED
        await harness.dispatcher.close()

    play(test)


def test_attempt_when_reset_before_its_last_byte_is_written_ends_as_connect_failed(play):
    async def test():
        async def serve(reader, writer):  # reads the head and resets; the value does not fit into the buffers
            await reader.readexactly(10)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        harness = UpstreamHarness(server.sockets[0].getsockname()[1])
        assert await harness.outcome(value=b"x" * (16 << 20)) is Outcome.CONNECT_FAILED
        await harness.dispatcher.close()
        server.close()

    play(test)


def test_attempt_when_written_ends_at_its_deadline_as_timeout_and_cancellation_closes_the_connection(play):
    async def test():
        async with ScriptedServer(lambda _: b"") as server:
            harness = UpstreamHarness(server.port)
            await harness.start()
            await until(lambda: server.received)
            harness.clock.advance(399)
            await asyncio.sleep(0)
            assert harness.outcomes == []
            harness.clock.advance(1)
            await until(lambda: harness.outcomes == [Outcome.TIMEOUT])
            attempt = await harness.start()
            await until(lambda: len(server.received) == 2)
            attempt.abort()
            await until(lambda: harness.outcomes[1:] == [Outcome.CANCELLED])
            await until(lambda: all(w.transport.is_closing() for w in server.writers))
            await harness.dispatcher.close()

    play(test)


def test_idle_connection_when_near_the_server_timeout_or_ended_is_not_reused(play):
    async def test():
        settings = api.Settings(limits=api.Limits(conn_idle_ns=5_000_000_000))
        async with ScriptedServer(lambda _: VALUE) as server:
            harness = UpstreamHarness(server.port, settings=settings)
            for expected in (1, 1):
                assert await harness.outcome() is Outcome.OK
                assert server.connections == expected
            harness.clock.advance(4000)  # 0.8 of the server's idle timeout
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 2
            server.writers[1].close()
            await asyncio.sleep(0.01)
            harness.clock.advance(SWEEP_INTERVAL_MS)
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 3
            harness.dispatcher.close_idle_connections("s1")
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 4
            await harness.dispatcher.close()

    play(test)


@pytest.mark.parametrize("late", [False, True])
def test_connection_when_unexpected_data_arrives_is_closed_and_answers_no_other_request(play, late):
    async def test():
        answers = [VALUE, VALUE] if late else [VALUE + VALUE, VALUE]
        async with ScriptedServer(lambda _: answers.pop(0)) as server:
            harness = UpstreamHarness(server.port)
            # The valid response before the unexpected data counts.
            assert await harness.outcome() is Outcome.OK
            if late:
                assert harness.dispatcher.pool._idle
                server.writers[0].write(VALUE)
            await until(lambda: not harness.dispatcher.pool._idle and harness.dispatcher.pool.open_count == 0)
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 2
            await harness.dispatcher.close()

    play(test)


def test_attempt_when_the_connection_limit_is_reached_is_withdrawn(play):
    async def test():
        async with ScriptedServer(lambda _: b"") as server:
            harness = UpstreamHarness(server.port, max_connections=2)
            for _ in range(3):
                await harness.start()
            await until(lambda: len(server.received) == 2)
            await advance_time(harness, 249)  # a connection might become idle
            assert harness.outcomes == []
            await advance_time(harness, 1)
            await until(lambda: harness.results)
            assert harness.outcomes == [Outcome.WITHDRAWN]  # not held against the server
            assert harness.counters["attempts_no_descriptor"] == 1
            assert server.connections == 2
            await harness.dispatcher.close()

    play(test)


def test_idle_timeout_when_connections_are_dropped_silently_is_learned_from_their_idle_time(play):
    """Guards against writing to dead connections: servers may drop idle ones long before their timeout."""

    async def test():
        settings = api.Settings(limits=api.Limits(conn_idle_ns=5_000_000_000))
        answers = [VALUE, "rst", VALUE, "rst", VALUE, VALUE, VALUE]
        async with ScriptedServer(lambda _: answers.pop(0)) as server:
            harness = UpstreamHarness(server.port, settings=settings)
            for expected in (Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.RESET, Outcome.OK):
                assert await harness.outcome() is expected
                harness.clock.advance(1500)
            assert server.connections == 3
            # Closed before it reaches the idle time at which the others were lost.
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 4
            harness.clock.advance(1000)
            assert await harness.outcome() is Outcome.OK
            assert server.connections == 4
            await harness.dispatcher.close()

    play(test)


def test_pool_when_a_server_is_no_longer_used_keeps_nothing_of_it(play):
    async def test():
        async with ScriptedServer(lambda _: VALUE) as server:
            harness = UpstreamHarness(server.port)
            assert await harness.outcome() is Outcome.OK
            assert len(harness.dispatcher.pool._idle) == 1
            server.writers[0].close()
            await until(lambda: not harness.dispatcher.pool._idle and harness.dispatcher.pool.open_count == 0)
            harness.endpoints.apply({"revision": 2, "complete": True, "members": []})
            assert await harness.outcome() is Outcome.CONNECT_FAILED  # no longer listed, so never executed
            await harness.dispatcher.close()

    play(test)


def test_origin_when_it_gets_two_http_requests_reuses_the_connection(play):
    async def test():
        text = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        async with ScriptedServer(lambda _: text) as server:
            harness = UpstreamHarness(server.port, flavor="origin")
            for _ in range(2):
                assert await harness.outcome() is Outcome.OK
                # A duplicate of a response without a request id would have arrived by then.
                harness.clock.advance(QUARANTINE_MS)
            assert server.connections == 1
            assert server.received[0].startswith(b"GET /key7 HTTP/1.1\r\n")
            loads: list = []
            harness.dispatcher.check_health("s1", loads.append)
            await until(lambda: loads)
            assert server.received[-1].startswith(b"GET /-/load ")
            assert loads[0].outcome is Outcome.OK
            await harness.dispatcher.close()

    play(test)
