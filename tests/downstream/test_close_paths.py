"""What was read is answered, whichever way its connection is closed; what crosses each close is forced."""

import asyncio

import pytest
from support.core import ScriptedPolicy
from support.downstream import BUSY, FAILED, LONG_DEADLINE_READ, READ, DownstreamHarness, run_loop_turns
from support.long_values import LENGTH, LONG_WRITE
from support.network import until

from flintridge.downstream.connection import IDLE_TIMEOUT_MS
from flintridge.shutdown import SHUTDOWN_ACCEPT_MS, SHUTDOWN_COMMAND_TIMEOUT_MS


async def only_connection(harness):
    await until(lambda: harness.downstream.connections)
    (connection,) = harness.downstream.connections
    return connection


def run_as_bytes_arrive(connection, before=lambda: None, after=lambda: None) -> None:
    """Run calls in the step in which the next bytes are taken from the kernel, with none of them parsed."""
    feed = connection._reader.feed_data

    def crossing(data: bytes) -> None:
        connection._reader.feed_data = feed
        before()
        feed(data)
        after()

    connection._reader.feed_data = crossing


@pytest.mark.parametrize("count", [1, 3])
def test_eviction_when_requests_were_read_and_not_parsed_then_all_are_answered(play, count):
    """The one `busy` of an eviction answers one request; what came behind it was read and lost."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client()
            connection = await only_connection(harness)
            evicted = []
            run_as_bytes_arrive(
                connection, after=lambda: evicted.append(harness.downstream.connections.evict_one())
            )
            writer.write(b"".join(READ % b"r%d" % number for number in range(count)))
            await until(lambda: harness.request_count == count)
            assert evicted == [False]
            for number in range(count):
                harness.fail(f"r{number}")
            assert await reader.readexactly(len(FAILED) * count) == FAILED * count

    play(test)


def test_shutdown_when_a_request_is_read_at_its_very_end_then_is_answered(play):
    """Taken from the kernel in the step in which the last connections are closed, and not parsed yet."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client(b"mg key7 v Or1 Pc=read")
            connection = await only_connection(harness)
            await until(lambda: connection.has_half_command)
            shutdown = asyncio.ensure_future(harness.downstream.leave())
            await run_loop_turns(1)
            harness.clock.advance(SHUTDOWN_ACCEPT_MS)
            await run_loop_turns()
            harness.clock.advance(SHUTDOWN_COMMAND_TIMEOUT_MS - SHUTDOWN_ACCEPT_MS - 1)
            await run_loop_turns()
            run_as_bytes_arrive(connection, before=lambda: harness.clock.advance(20))
            writer.write(b",t=acme,d=480\r\n")
            await until(lambda: harness.request_count == 1)
            harness.fail("r1")
            assert await reader.read() == FAILED
            writer.close()
            await until(lambda: harness.clock.advance(20) or shutdown.done())

    play(test)


def test_end_when_a_request_is_pending_then_is_read_no_further_and_closed_once_that_is_answered(play):
    """Of a client that always has more written: what it reads now could not be answered before SIGKILL."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client(READ % b"r1", b"mg key7 v O")
            connection = await only_connection(harness)
            await until(lambda: harness.request_count == 1 and connection.has_half_command)
            connection.end()
            writer.write(b"r2 Pc=read,t=acme,d=480\r\n" + READ % b"r3")
            await run_loop_turns()
            assert harness.request_count == 1 and not connection.closing
            harness.fail("r1")
            connection.end()
            assert await reader.read() == FAILED + BUSY  # the half one can't become whole any more
            await run_loop_turns()
            assert harness.request_count == 1

    play(test)


def test_idle_timeout_when_nothing_was_ever_requested_then_says_busy(play):
    """A first request that crosses the close is read past: its client has no other connection to go by."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client()
            await only_connection(harness)
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            writer.write(READ % b"r1")
            assert await reader.read() == BUSY
            assert harness.counters["connections_idle_timeout"] == 1 and harness.request_count == 0

    play(test)


def test_broken_stream_when_commands_behind_wait_for_memory_then_none_is_sent_on(play):
    """Their responses can't be written any more, and sent on they would run for nobody, or twice."""

    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000, policy=ScriptedPolicy()) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # by somebody else
            reader, _ = await harness.stream_client(
                LONG_DEADLINE_READ % b"r1", LONG_WRITE, LONG_DEADLINE_READ % b"r2"
            )
            await until(lambda: harness.request_count == 1)
            stream = harness.take_responder("r1").start_stream(10)
            stream.write([b"0123"])
            await run_loop_turns()
            stream.abort()
            harness.core.memory_budget.release(LENGTH)
            await run_loop_turns()
            assert harness.request_count == 1
            assert harness.counters["connection_errors"] == 0
            assert harness.core.memory_budget.reserved == 0
            assert await reader.read() == b"VA 10 Or1\r\n0123"

    play(test)


def test_broken_stream_when_commands_behind_wait_for_a_slow_reader_then_none_is_sent_on(play):
    async def test():
        async with DownstreamHarness(policy=ScriptedPolicy()) as harness:
            reader, _ = await harness.stream_client(LONG_DEADLINE_READ % b"r1", LONG_DEADLINE_READ % b"r2")
            await until(lambda: harness.request_count == 2)
            reader._transport.pause_reading()
            connection = await only_connection(harness)
            stream = harness.take_responder("r1").start_stream(64 << 20)
            while connection._transport.get_write_buffer_size() < 1 << 20:
                stream.write([b"x" * (1 << 20)])
            harness.clients[0].write(LONG_DEADLINE_READ % b"r3" + LONG_DEADLINE_READ % b"r4")
            await until(lambda: harness.request_count == 3)  # the next one waits until something is read
            await run_loop_turns()
            stream.abort()
            reader._transport.resume_reading()
            received = await reader.read(1 << 20)
            while received:
                received = await reader.read(1 << 20)
            await run_loop_turns()
            assert harness.request_count == 3 and harness.core.idle

    play(test)
