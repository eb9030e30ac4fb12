"""Tests of client connections on loopback and in virtual time; the tests advance the clock by hand."""

import asyncio

import pytest
from support.downstream import BUSY, ENDPOINT_LIST, FAILED, READ, DownstreamHarness
from support.network import until

from flintridge.codec.memcache.encoder import NO_OP_RESPONSE
from flintridge.core.response import Response
from flintridge.downstream.command_executor import MAX_BAD_COMMANDS
from flintridge.downstream.command_timer import COMMAND_TIMEOUT_MS
from flintridge.downstream.connection import (
    COMMANDS_PER_TURN,
    IDLE_TIMEOUT_MS,
)
from flintridge.downstream.lingering_close import (
    LINGERING_CLOSE_MAX_BYTES,
    LINGERING_CLOSE_MS,
    SLOW_READER_TIMEOUT_MS,
)
from flintridge.downstream.open_connections import MAX_LINGERING_BEYOND_LIMIT
from flintridge.downstream.pipeline import MAX_PIPELINED_COMMANDS
from flintridge.shutdown import IDLE_CLOSE_DELAY_MS, SHUTDOWN_ACCEPT_MS, SHUTDOWN_COMMAND_TIMEOUT_MS


async def send_half_command(harness) -> bytes:
    reader, _ = await harness.stream_client(b"ms key7 500 Oa1 Pc=put\r\nhalf")
    await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
    harness.clock.advance(COMMAND_TIMEOUT_MS + 250 + 250)
    return await reader.read()


async def send_nothing(harness) -> bytes:
    reader, _ = await harness.stream_client()
    await until(lambda: harness.downstream.connections)
    harness.clock.advance(IDLE_TIMEOUT_MS + 250)
    return await reader.read()


async def send_many_bad_commands(harness) -> bytes:
    reader, _ = await harness.stream_client(b"no\r\n" * 500)
    return await reader.read()


async def send_huge_value(harness) -> bytes:
    reader, _ = await harness.stream_client(
        b"ms key7 60000000 Oa1 Pc=put\r\n" + b"x" * LINGERING_CLOSE_MAX_BYTES
    )
    return await reader.read()


def test_responses_when_completed_out_of_order_then_go_out_in_command_order(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            reader, writer = await harness.stream_client(
                READ % b"r1", READ % b"r2", b"what\r\n", b"mn\r\n", READ % b"r1"
            )
            await until(lambda: harness.request_count == 2)
            harness.fail("r2")
            harness.fail("r1")
            responses = [await reader.readline() for _ in range(5)]
            assert responses[:3] == [FAILED] * 2 + [b"CLIENT_ERROR unknown command\r\n"]
            assert responses[3] == b"SERVER_ERROR starting\r\n"  # no server is known yet
            assert responses[4] == b"CLIENT_ERROR id in use\r\n"
            harness.endpoints.apply(ENDPOINT_LIST)
            writer.write(b"mn\r\nms k x Oa\r\nmn\r\n")
            # Framing is lost, so the connection closes after the error.
            assert await reader.read() == b"MN\r\nCLIENT_ERROR bad data length\r\n"

    play(test)


def test_pipeline_when_full_then_waits_and_a_disconnect_reaches_the_core(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            _, writer = await harness.stream_client(
                *(READ % b"r%d" % i for i in range(MAX_PIPELINED_COMMANDS + 5))
            )
            await until(lambda: harness.request_count == MAX_PIPELINED_COMMANDS)
            await asyncio.sleep(0.01)
            assert harness.request_count == MAX_PIPELINED_COMMANDS
            for i in range(MAX_PIPELINED_COMMANDS):
                harness.fail(f"r{i}")
            await until(lambda: harness.request_count == MAX_PIPELINED_COMMANDS + 5)
            writer.close()
            await until(lambda: harness.counters["clients_disconnected"] == 5)
            assert harness.core.idle

    play(test)


def test_connection_limit_when_reached_then_idle_is_evicted_and_new_rejected(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            idle, _ = await harness.stream_client()
            await until(lambda: harness.counters["connections_accepted"] == 1)
            harness.clock.advance(1)
            for i in range(2):
                await harness.stream_client(READ % b"r%d" % i)
                await until(lambda i=i: harness.request_count == i + 1)
            assert await idle.read() == BUSY  # its first request may be in transit
            for _ in range(MAX_LINGERING_BEYOND_LIMIT + 1):
                rejected, _ = await harness.stream_client(READ % b"r9")
                assert await rejected.readline() == BUSY  # rejected, not lost
            assert (
                harness.counters["connections_rejected"] == MAX_LINGERING_BEYOND_LIMIT + 1
                and harness.request_count == 2
            )
            harness.clock.advance(LINGERING_CLOSE_MS)
            await until(lambda: harness.downstream.connections.lingering_rejected == 0)

    play(test)


def test_drain_when_commands_arrive_together_then_all_get_responses_before_the_close(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            harness.downstream.shutdown.start_drain(harness.clock.now() - IDLE_CLOSE_DELAY_MS)
            reader, _ = await harness.stream_client(b"mn\r\n", READ % b"r1", b"mn\r\n", READ % b"r2")
            await until(lambda: harness.request_count == 2)
            for uid in ("r1", "r2"):
                harness.fail(uid)
            draining = b"SERVER_ERROR draining\r\n"
            assert await reader.read() == (draining + FAILED) * 2

    play(test)


def test_shutdown_when_requests_arrive_then_serves_them_and_closes_between_requests(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            idle, _ = await harness.stream_client()
            busy, _ = await harness.stream_client(READ.replace(b"480", b"1900") % b"r1")
            await until(lambda: harness.request_count == 1)
            shutdown = asyncio.ensure_future(harness.downstream.leave())
            await asyncio.sleep(0)
            harness.clock.advance(IDLE_CLOSE_DELAY_MS - 1)
            assert not idle.at_eof()
            harness.clock.advance(1)
            assert await idle.read() == BUSY  # its first request may be in transit
            _, late = await harness.stream_client(READ % b"r2")  # still served
            await until(lambda: harness.request_count == 2)
            late.close()
            await until(lambda: harness.counters["clients_disconnected"] == 1)
            unused, _ = await harness.stream_client()  # accepted late, sends nothing
            await until(lambda: harness.counters["connections_accepted"] == 4)
            harness.clock.advance(SHUTDOWN_ACCEPT_MS - IDLE_CLOSE_DELAY_MS)
            await until(lambda: not harness.downstream._listener.is_open)
            assert not shutdown.done()
            assert await unused.read() == BUSY and not shutdown.done()
            harness.fail("r1")
            assert await busy.read() == FAILED
            await until(lambda: harness.clock.advance(20) or shutdown.done())

    play(test)


@pytest.mark.parametrize(
    ("client", "expected"),
    [
        (send_half_command, b"CLIENT_ERROR command not finished in time\r\n"),
        (send_nothing, BUSY),  # a first request that crosses the close is discarded and needs a rejection
        (send_many_bad_commands, b"CLIENT_ERROR unknown command\r\n" * MAX_BAD_COMMANDS),
        (send_huge_value, b"CLIENT_ERROR value too large\r\n"),
    ],
)
def test_bad_client_when_it_errs_or_stalls_then_is_closed_soon_with_nothing_open(play, client, expected):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            assert await client(harness) == expected
            assert harness.request_count == 0
            for writer in harness.clients:
                writer.close()
            await until(lambda: not harness.downstream.connections)

    play(test)


def test_idle_timeout_when_a_request_is_open_then_starts_after_its_response(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            reader, _ = await harness.stream_client(READ.replace(b"480", b"1999") % b"r1")
            await until(lambda: harness.request_count == 1)
            harness.clock.advance(1900)
            harness.fail("r1")
            assert await reader.readline() == FAILED
            harness.clock.advance(IDLE_TIMEOUT_MS - 1)
            assert harness.downstream.connections
            harness.clock.advance(251)
            assert await reader.read() == b"" and harness.counters["connections_idle_timeout"] == 1

    play(test)


def test_eviction_when_already_closing_after_an_error_then_writes_nothing_more(play):
    """Guards the new connection: an error in the eviction leaked it together with its file descriptor."""

    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            closing = [await harness.stream_client(b"ms k x Oa\r\n") for _ in range(2)]
            for reader, _ in closing:
                assert await reader.readline() == b"CLIENT_ERROR bad data length\r\n"
            _, requesting = await harness.stream_client(READ % b"r1")
            await until(lambda: harness.request_count == 1)
            assert harness.counters["connections_evicted"] == 1 and len(harness.downstream.connections) == 2
            assert sorted([await reader.read() for reader, _ in closing]) == [b"", b""]
            requesting.close()

    play(test)


def test_eviction_when_a_connection_is_new_then_an_older_idle_one_is_chosen(play):
    """Guards against new connections that evict each other.

    The connection limit had been reached by idle connections that had sent requests.
    """

    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            idle, _ = await harness.stream_client(b"mn\r\n" + READ % b"r0")
            await until(lambda: harness.request_count == 1)
            harness.fail("r0")
            harness.clock.advance(500)
            _, new = await harness.stream_client()
            await until(lambda: harness.counters["connections_accepted"] == 2)
            await harness.stream_client()
            await until(lambda: harness.counters["connections_accepted"] == 3)
            new.write(READ % b"r1")
            await until(lambda: harness.request_count == 2)
            assert (await idle.read()).endswith(FAILED)

    play(test)


def test_eviction_when_a_connection_has_a_partial_command_then_is_chosen(play):
    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            half, _ = await harness.stream_client(b"mg key7")
            await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
            for i in range(2):
                await harness.stream_client(READ % b"r%d" % i)
                await until(lambda i=i: harness.request_count == i + 1)
            assert await half.read() == BUSY

    play(test)


def test_slow_reader_when_it_reads_nothing_then_reading_stops_and_it_is_aborted(play):
    """Guards the node's memory, which would otherwise hold all responses of a client that reads none."""

    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            await harness.stream_client(*(READ % b"r%d" % i for i in range(1000)))
            await until(lambda: harness.request_count)
            (connection,) = harness.downstream.connections

            def served() -> bool:
                for request in list(harness.core.open_requests):
                    harness.take_responder(request.id).respond(Response(b"x" * 65536, receipt=False))
                return connection.has_unread_responses

            await until(served)
            harness.clock.advance(SLOW_READER_TIMEOUT_MS / 2)
            assert harness.counters["slow_readers"] == 0 and harness.downstream.connections
            await until(lambda: harness.clock.advance(100) or harness.counters["slow_readers"] == 1)
            assert harness.request_count < 1000

    play(test)


def test_shutdown_when_a_partial_command_was_received_then_ends_in_bounded_time(play):
    """A client that had stopped in the middle of a command delayed the end of the process by 2.6 s."""

    async def test():
        async with DownstreamHarness(connection_limit=2, endpoints_known=False) as harness:
            half, _ = await harness.stream_client(b"mg key7 v O")
            await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
            shutdown = asyncio.ensure_future(harness.downstream.leave())
            await asyncio.sleep(0)
            harness.clock.advance(SHUTDOWN_ACCEPT_MS)
            await until(lambda: not harness.downstream._listener.is_open)
            assert not shutdown.done() and not half._eof  # the command may still be completed
            harness.clock.advance(SHUTDOWN_COMMAND_TIMEOUT_MS - SHUTDOWN_ACCEPT_MS)
            await until(lambda: harness.clock.advance(20) or shutdown.done())
            # The client does not close its side, so the lingering close takes its whole time.
            assert harness.clock.now() < 10_000 + SHUTDOWN_COMMAND_TIMEOUT_MS + LINGERING_CLOSE_MS + 250
            assert await half.read() == BUSY

    play(test)


def test_client_when_another_sends_many_commands_at_once_then_is_answered_before_most_of_them():
    commands = 20_000

    async def test():
        async with DownstreamHarness() as harness:
            flooding, _ = await harness.stream_client(b"mn\r\n" * commands)
            await until(lambda: flooding._buffer)
            other, _ = await harness.stream_client(b"mn\r\n")
            assert await other.readline() == NO_OP_RESPONSE
            answered = len(flooding._buffer) // len(NO_OP_RESPONSE)
            assert 0 < answered < commands // 10

    asyncio.run(test())


def test_client_when_many_others_send_many_commands_then_is_answered_before_each_had_a_turn():
    crowd_size = 60

    async def test():
        async with DownstreamHarness(connection_limit=2 * crowd_size) as harness:
            crowd = [await harness.stream_client() for _ in range(crowd_size)]
            other_reader, other_writer = await harness.stream_client()
            await until(lambda: harness.downstream.connection_count == crowd_size + 1)
            for _, writer in crowd:
                writer.write(b"mn\r\n" * 500)
            other_writer.write(b"mn\r\n")
            assert await other_reader.readline() == NO_OP_RESPONSE
            answered = sum(len(reader._buffer) // len(NO_OP_RESPONSE) for reader, _ in crowd)
            assert 0 < answered < crowd_size * COMMANDS_PER_TURN

    asyncio.run(test())
