"""The upstream dispatch on loopback and in virtual time; deadlines are set by hand."""

import asyncio

import pytest
from support.network import Peer, until
from support.upstream import VALUE, Bench

from flintridge import api
from flintridge.api import Outcome
from flintridge.net.delivery import REST, SWEEP


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [(VALUE, Outcome.OK), (b"EN Oa1\r\n", Outcome.MISS), (None, Outcome.RESET), ("rst", Outcome.RESET)],
)
def test_an_attempt_ends_as_its_server_has_it(play, answer, outcome):
    async def test():
        async with Peer(lambda _: answer) as peer:
            bench = Bench(peer.port)
            assert await bench.outcome() is outcome
            await bench.delivery.close()

    play(test)


def test_a_refused_connection_never_ran(play):
    async def test():
        async with Peer(lambda _: None) as peer:
            bench = Bench(peer.port)
        await peer.server.wait_closed()
        assert await bench.outcome() is Outcome.CONNECT_FAILED
        await bench.delivery.close()

    play(test)


def test_a_break_before_the_last_byte_was_written_is_a_failed_connection(play):
    async def test():
        async def serve(reader, writer):  # takes the head and resets: the value does not fit the buffers
            await reader.readexactly(10)
            writer.transport.abort()

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=1024)
        bench = Bench(server.sockets[0].getsockname()[1])
        assert await bench.outcome(value=b"x" * (16 << 20)) is Outcome.CONNECT_FAILED
        await bench.delivery.close()
        server.close()

    play(test)


def test_time_runs_out_as_a_timeout_once_asked_and_a_cancel_closes_the_connection(play):
    async def test():
        async with Peer(lambda _: b"") as peer:
            bench = Bench(peer.port)
            await bench.carry()
            await until(lambda: peer.got)
            bench.clock.go(399)
            await asyncio.sleep(0)
            assert bench.ended == []
            bench.clock.go(1)
            await until(lambda: bench.ended == [Outcome.TIMEOUT])
            attempt = await bench.carry()
            await until(lambda: len(peer.got) == 2)
            attempt.abort()
            await until(lambda: bench.ended[1:] == [Outcome.CANCELLED])
            await until(lambda: all(w.transport.is_closing() for w in peer.writers))
            await bench.delivery.close()

    play(test)


def test_idle_connections_are_used_again_but_not_near_the_servers_limit_nor_at_their_end(play):
    async def test():
        settings = api.Settings(limits=api.Limits(conn_idle_ns=5_000_000_000))
        async with Peer(lambda _: VALUE) as peer:
            bench = Bench(peer.port, settings=settings)
            for expected in (1, 1):
                assert await bench.outcome() is Outcome.OK and peer.connections == expected
            bench.clock.go(4000)  # four fifths of what the server allows: it may close at any moment
            assert await bench.outcome() is Outcome.OK and peer.connections == 2
            peer.writers[1].close()
            await asyncio.sleep(0.01)
            bench.clock.go(SWEEP)
            assert await bench.outcome() is Outcome.OK and peer.connections == 3
            bench.delivery.close_idle_connections("s1")
            assert await bench.outcome() is Outcome.OK and peer.connections == 4
            await bench.delivery.close()

    play(test)


@pytest.mark.parametrize("late", [False, True])
def test_bytes_that_nobody_asked_for_end_the_connection_and_answer_no_other_request(play, late):
    async def test():
        answers = [VALUE, VALUE] if late else [VALUE + VALUE, VALUE]
        async with Peer(lambda _: answers.pop(0)) as peer:
            bench = Bench(peer.port)
            assert await bench.outcome() is Outcome.OK  # the good answer before them counts
            if late:
                assert bench.delivery._idle
                peer.writers[0].write(VALUE)
            await until(lambda: not bench.delivery._idle and bench.delivery._open == 0)
            assert await bench.outcome() is Outcome.OK and peer.connections == 2
            await bench.delivery.close()

    play(test)


def test_one_attempt_a_connection_and_no_more_connections_than_there_is_room(play):
    async def test():
        async with Peer(lambda _: b"") as peer:
            bench = Bench(peer.port, room=2)
            for _ in range(3):
                await bench.carry()
            await until(
                lambda: len(peer.got) == 2 and bench.ended == [Outcome.WITHDRAWN]
            )  # no fault of its server
            assert peer.connections == 2
            await bench.delivery.close()

    play(test)


def test_connections_dropped_unseen_are_learnt_of_by_their_age(play):
    """Guards against writing to what is dead: servers dropped idle connections long before their time."""

    async def test():
        settings = api.Settings(limits=api.Limits(conn_idle_ns=5_000_000_000))
        answers = [VALUE, "rst", VALUE, "rst", VALUE, VALUE, VALUE]
        async with Peer(lambda _: answers.pop(0)) as peer:
            bench = Bench(peer.port, settings=settings)
            for expected in (Outcome.OK, Outcome.RESET, Outcome.OK, Outcome.RESET, Outcome.OK):
                assert await bench.outcome() is expected
                bench.clock.go(1500)
            assert peer.connections == 3
            assert await bench.outcome() is Outcome.OK and peer.connections == 4  # closed before it is as old
            bench.clock.go(1000)
            assert await bench.outcome() is Outcome.OK and peer.connections == 4
            await bench.delivery.close()

    play(test)


def test_nothing_is_kept_of_a_server_that_is_never_used_again(play):
    async def test():
        async with Peer(lambda _: VALUE) as peer:
            bench = Bench(peer.port)
            assert await bench.outcome() is Outcome.OK and len(bench.delivery._idle) == 1
            peer.writers[0].close()
            await until(lambda: not bench.delivery._idle and bench.delivery._open == 0)
            bench.transports.apply({"revision": 2, "complete": True, "members": []})
            assert await bench.outcome() is Outcome.CONNECT_FAILED  # unlisted by now: it never ran
            await bench.delivery.close()

    play(test)


def test_the_origin_is_asked_over_http_and_its_connection_is_used_again(play):
    async def test():
        text = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        async with Peer(lambda _: text) as peer:
            bench = Bench(peer.port, flavor="origin")
            for _ in range(2):
                assert await bench.outcome() is Outcome.OK
                bench.clock.go(REST)  # a second copy of an answer that names no request would show by then
            assert peer.connections == 1 and peer.got[0].startswith(b"GET /key7 HTTP/1.1\r\n")
            loads: list = []
            bench.delivery.check_health("s1", loads.append)
            await until(lambda: loads)
            assert peer.got[-1].startswith(b"GET /-/load ") and loads[0].outcome is Outcome.OK
            await bench.delivery.close()

    play(test)
