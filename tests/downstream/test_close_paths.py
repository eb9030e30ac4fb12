"""Requests that were read get a response, however their connection is closed.

Each test forces input to cross the close.
"""

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
    """Run functions before and after the next bytes are read from the kernel, but before they are parsed."""
    feed = connection._reader.feed_data

    def feed_and_run(data: bytes) -> None:
        connection._reader.feed_data = feed
        before()
        feed(data)
        after()

    connection._reader.feed_data = feed_and_run


@pytest.mark.parametrize("count", [1, 3])
def test_eviction_when_requests_were_read_and_not_parsed_then_all_get_responses(play, count):
    """An eviction sends only one `busy`: of several requests that had been read, the others were lost."""

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


def test_shutdown_when_a_request_is_read_at_its_very_end_then_gets_a_response(play):
    """It is read from the kernel in the iteration in which the last connections close, but not parsed yet."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client(b"mg key7 v Or1 Pc=read")
            connection = await only_connection(harness)
            await until(lambda: connection.has_partial_command)
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


def test_end_input_when_a_request_is_pending_then_reading_stops_and_it_closes_after_the_response(play):
    """The client always has more requests written; one read now would get no response before SIGKILL."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client(READ % b"r1", b"mg key7 v O")
            connection = await only_connection(harness)
            await until(lambda: harness.request_count == 1 and connection.has_partial_command)
            connection.end_input()
            writer.write(b"r2 Pc=read,t=acme,d=480\r\n" + READ % b"r3")
            await run_loop_turns()
            assert harness.request_count == 1 and not connection.closing
            harness.fail("r1")
            connection.end_input()
            assert await reader.read() == FAILED + BUSY  # the partial command can't be completed any more
            await run_loop_turns()
            assert harness.request_count == 1

    play(test)


def test_idle_timeout_when_nothing_was_ever_requested_then_sends_busy(play):
    """A first request that crosses the close is discarded; without `busy` the request is lost."""

    async def test():
        async with DownstreamHarness() as harness:
            reader, writer = await harness.stream_client()
            await only_connection(harness)
            harness.clock.advance(IDLE_TIMEOUT_MS + 250)
            writer.write(READ % b"r1")
            assert await reader.read() == BUSY
            assert harness.counters["connections_idle_timeout"] == 1 and harness.request_count == 0

    play(test)


def test_broken_stream_when_later_commands_wait_for_memory_then_none_is_forwarded(play):
    """Their responses can't be written any more; if forwarded, they would run for no client, or twice."""

    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000, policy=ScriptedPolicy()) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # on behalf of another connection
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


def test_broken_stream_when_later_commands_wait_for_a_slow_reader_then_none_is_forwarded(play):
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
            await until(lambda: harness.request_count == 3)  # the next command waits until the client reads
            await run_loop_turns()
            stream.abort()
            reader._transport.resume_reading()
            received = await reader.read(1 << 20)
            while received:
                received = await reader.read(1 << 20)
            await run_loop_turns()
            assert harness.request_count == 3 and harness.core.idle

    play(test)
