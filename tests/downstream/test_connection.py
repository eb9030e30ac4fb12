"""Client connections on loopback and in virtual time; deadlines are set by hand."""

import asyncio

import pytest
from support.downstream import BUSY, READ, Side
from support.network import until

from flintridge.core.response import Response
from flintridge.net.parting import PARTING, PARTING_BYTES, SLOW_READER
from flintridge.net.sender import (
    BAD_COMMANDS,
    LAST_COMMANDS,
    PARTINGS,
    PIPELINED,
    SERVING,
    UNFINISHED,
    UNREAD,
    UNUSED,
)
from flintridge.shutdown import IDLE_CLOSE_DELAY_MS


async def half_a_command(s) -> bytes:
    reader, _ = await s.client(b"ms key7 500 Oa1 Pc=put\r\nhalf")
    await until(lambda: any(not c._parser.idle for c in s.side._connections))
    s.clock.go(UNFINISHED + 250 + 250)
    return await reader.read()


async def silence(s) -> bytes:
    reader, _ = await s.client()
    await until(lambda: s.side._connections)
    s.clock.go(UNUSED + 250)
    return await reader.read()


async def many_bad_commands(s) -> bytes:
    reader, _ = await s.client(b"no\r\n" * 500)
    return await reader.read()


async def a_huge_value(s) -> bytes:
    reader, _ = await s.client(b"ms key7 60000000 Oa1 Pc=put\r\n" + b"x" * PARTING_BYTES)
    return await reader.read()


def test_answers_go_out_in_the_order_of_their_commands(play):
    async def test():
        async with Side() as s:
            reader, writer = await s.client(READ % b"r1", READ % b"r2", b"what\r\n", b"mn\r\n", READ % b"r1")
            await until(lambda: s.counters["requests"] == 2)
            s.core._fail_overdue("r2")
            s.core._fail_overdue("r1")
            said = [await reader.readline() for _ in range(5)]
            assert said[:3] == [b"SERVER_ERROR failed\r\n"] * 2 + [b"CLIENT_ERROR unknown command\r\n"]
            assert said[3] == b"SERVER_ERROR starting\r\n"  # no server is known yet
            assert said[4] == b"CLIENT_ERROR id in use\r\n"
            s.transports.apply(s.members)
            writer.write(b"mn\r\nms k x Oa\r\nmn\r\n")
            assert await reader.read() == b"MN\r\nCLIENT_ERROR bad data length\r\n"  # framing lost: it ends

    play(test)


def test_the_end_of_a_client_is_told_and_a_long_pipeline_waits(play):
    async def test():
        async with Side() as s:
            _, writer = await s.client(*(READ % b"r%d" % i for i in range(PIPELINED + 5)))
            await until(lambda: s.counters["requests"] == PIPELINED)
            await asyncio.sleep(0.01)
            assert s.counters["requests"] == PIPELINED
            for i in range(PIPELINED):
                s.core._fail_overdue(f"r{i}")
            await until(lambda: s.counters["requests"] == PIPELINED + 5)
            writer.close()
            await until(lambda: s.counters["clients_disconnected"] == 5)
            assert s.core.idle

    play(test)


def test_with_no_room_an_idle_client_makes_place_and_a_busy_one_does_not(play):
    async def test():
        async with Side() as s:
            idle, _ = await s.client()
            await until(lambda: s.counters["connections_accepted"] == 1)
            s.clock.go(1)
            for i in range(2):
                await s.client(READ % b"r%d" % i)
                await until(lambda i=i: s.counters["requests"] == i + 1)
            assert await idle.read() == BUSY  # it never asked: its first request may be on its way
            for _ in range(PARTINGS + 1):
                turned, _ = await s.client(READ % b"r9")
                assert await turned.readline() == BUSY  # refused, not lost
            assert s.counters["connections_turned_away"] == PARTINGS + 1 and s.counters["requests"] == 2
            s.clock.go(PARTING)
            await until(lambda: s.side._partings == 0)

    play(test)


def test_leaving_closes_no_connection_while_commands_that_came_together_are_taken(play):
    async def test():
        async with Side() as s:
            s.side.drain.start_drain(s.clock.now() - IDLE_CLOSE_DELAY_MS)
            reader, _ = await s.client(b"mn\r\n", READ % b"r1", b"mn\r\n", READ % b"r2")
            await until(lambda: s.counters["requests"] == 2)
            for uid in ("r1", "r2"):
                s.core._fail_overdue(uid)
            draining, failed = b"SERVER_ERROR draining\r\n", b"SERVER_ERROR failed\r\n"
            assert await reader.read() == (draining + failed) * 2

    play(test)


def test_leaving_serves_what_arrives_closes_between_requests_and_answers_all(play):
    async def test():
        async with Side() as s:
            idle, _ = await s.client()
            busy, _ = await s.client(READ.replace(b"480", b"1900") % b"r1")
            await until(lambda: s.counters["requests"] == 1)
            leaving = asyncio.ensure_future(s.side.leave())
            await asyncio.sleep(0)
            s.clock.go(IDLE_CLOSE_DELAY_MS - 1)
            assert not idle.at_eof()
            s.clock.go(1)
            assert await idle.read() == BUSY  # its first request may be on its way
            _, late = await s.client(READ % b"r2")  # still served
            await until(lambda: s.counters["requests"] == 2)
            late.close()
            await until(lambda: s.counters["clients_disconnected"] == 1)
            unused, _ = await s.client()  # came late and asks for nothing
            await until(lambda: s.counters["connections_accepted"] == 4)
            s.clock.go(SERVING - IDLE_CLOSE_DELAY_MS)
            await until(lambda: not s.side._listening.is_open)
            assert not leaving.done()
            assert await unused.read() == BUSY and not leaving.done()
            s.core._fail_overdue("r1")
            assert await busy.read() == b"SERVER_ERROR failed\r\n"
            await until(lambda: s.clock.go(20) or leaving.done())

    play(test)


@pytest.mark.parametrize(
    ("client", "said"),
    [
        (half_a_command, b"CLIENT_ERROR command not finished in time\r\n"),
        (silence, b""),
        (many_bad_commands, b"CLIENT_ERROR unknown command\r\n" * BAD_COMMANDS),
        (a_huge_value, b"CLIENT_ERROR value too large\r\n"),
    ],
)
def test_a_bad_client_is_told_so_or_closed_soon_and_holds_nothing(play, client, said):
    async def test():
        async with Side() as s:
            assert await client(s) == said
            assert s.counters["requests"] == 0
            for writer in s.kept:
                writer.close()
            await until(lambda: not s.side._connections)

    play(test)


def test_a_connection_is_closed_once_it_is_of_no_use_but_never_with_a_request_open(play):
    async def test():
        async with Side() as s:
            reader, _ = await s.client(READ.replace(b"480", b"1999") % b"r1")
            await until(lambda: s.counters["requests"] == 1)
            s.clock.go(1900)
            s.core._fail_overdue("r1")
            assert await reader.readline() == b"SERVER_ERROR failed\r\n"
            s.clock.go(UNUSED - 1)
            assert s.side._connections
            s.clock.go(251)
            assert await reader.read() == b"" and s.counters["connections_unused"] == 1

    play(test)


def test_a_connection_that_is_parted_from_makes_place_without_a_further_word(play):
    """Guards the new one: an error in making place left it open, owned by nobody, one descriptor less."""

    async def test():
        async with Side() as s:
            parted = [await s.client(b"ms k x Oa\r\n") for _ in range(2)]
            for reader, _ in parted:
                assert await reader.readline() == b"CLIENT_ERROR bad data length\r\n"
            _, asking = await s.client(READ % b"r1")
            await until(lambda: s.counters["requests"] == 1)
            assert s.counters["connections_made_place"] == 1 and len(s.side._connections) == 2
            assert sorted([await reader.read() for reader, _ in parted]) == [b"", b""]
            asking.close()

    play(test)


def test_a_connection_that_came_just_now_does_not_make_place_for_the_next(play):
    """Guards clients against closing one another: the place was full of idle ones that had asked."""

    async def test():
        async with Side() as s:
            idle, _ = await s.client(b"mn\r\n" + READ % b"r0")
            await until(lambda: s.counters["requests"] == 1)
            s.core._fail_overdue("r0")
            s.clock.go(500)
            _, new = await s.client()
            await until(lambda: s.counters["connections_accepted"] == 2)
            await s.client()
            await until(lambda: s.counters["connections_accepted"] == 3)
            new.write(READ % b"r1")
            await until(lambda: s.counters["requests"] == 2)
            assert (await idle.read()).endswith(b"SERVER_ERROR failed\r\n")

    play(test)


def test_half_a_command_makes_place_for_a_client_that_asks(play):
    async def test():
        async with Side() as s:
            half, _ = await s.client(b"mg key7")
            await until(lambda: any(not c._parser.idle for c in s.side._connections))
            for i in range(2):
                await s.client(READ % b"r%d" % i)
                await until(lambda i=i: s.counters["requests"] == i + 1)
            assert await half.read() == BUSY

    play(test)


def test_a_client_that_does_not_read_is_read_no_further_and_cut_off(play):
    """Guards the node's memory: each client could otherwise have it hold all the answers it asks for."""

    async def test():
        async with Side() as s:
            await s.client(*(READ % b"r%d" % i for i in range(1000)))
            await until(lambda: s.counters["requests"])
            (connection,) = s.side._connections

            def served() -> bool:
                for uid, request in list(s.core._open.items()):
                    s.core._mark_answered(uid, request)
                    request.responder.respond(Response(b"x" * 65536, receipt=False))
                return connection._writer.transport.get_write_buffer_size() > UNREAD

            await until(served)
            s.clock.go(SLOW_READER / 2)
            assert s.counters["slow_readers"] == 0 and s.side._connections
            await until(lambda: s.clock.go(100) or s.counters["slow_readers"] == 1)
            assert s.counters["requests"] < 1000

    play(test)


def test_half_a_command_does_not_hold_up_the_end_of_a_node_that_leaves(play):
    """Found by the lab's crowd: a client that had stopped half way kept the process for 2.6 s."""

    async def test():
        async with Side() as s:
            half, _ = await s.client(b"mg key7 v O")
            await until(lambda: any(not c._parser.idle for c in s.side._connections))
            leaving = asyncio.ensure_future(s.side.leave())
            await asyncio.sleep(0)
            s.clock.go(SERVING)
            await until(lambda: not s.side._listening.is_open)
            assert not leaving.done() and not half._eof  # it may still become whole
            s.clock.go(LAST_COMMANDS - SERVING)
            await until(lambda: s.clock.go(20) or leaving.done())
            assert s.clock.now() < 10_000 + LAST_COMMANDS + PARTING + 250  # its client does not close
            assert await half.read() == b""

    play(test)
