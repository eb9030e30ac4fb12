"""Tests of clients that stop in the middle of a command and stay connected.

Such a client must get an error or a close within 3 s of connecting.
"""

import asyncio

import pytest
from support.downstream import FAILED, LONG_DEADLINE_READ, DownstreamHarness, run_loop_turns
from support.long_values import LENGTH, LONG_WRITE
from support.network import until

from flintridge.downstream.value_memory import MEMORY_WAIT_FRACTION

DUE_MS = 3_000.0
CLIENT_TIMEOUT_MS = 900.0  # `d` of the long writes
NODE_STALL_MS = 150.0  # how long a node may stall before it writes
NOT_FINISHED = b"CLIENT_ERROR command not finished in time\r\n"
PARTIAL_READ = b"mg key7 v Oh1 Pc=read"
PARTIAL_WRITE = b"ms key7 500 Oh1 Pc=put\r\nhalf"
PARTIAL_LONG_WRITE = LONG_WRITE[:5_000]
PARTIAL_IN_SEVERAL_READS = LONG_WRITE[:60_000]  # larger than one read: the rest is read once memory is free
each_partial_command = pytest.mark.parametrize(
    "half", [PARTIAL_READ, PARTIAL_WRITE, PARTIAL_LONG_WRITE], ids=["head", "value", "long_value"]
)


class StoppedClient:
    """A client that stopped in the middle of a command, and the node that it is connected to."""

    def __init__(self, harness: DownstreamHarness, reader: asyncio.StreamReader) -> None:
        self.harness = harness
        self.reader = reader
        self.connected_at = harness.clock.now()

    async def advance_until(self, after_ms: float) -> None:
        """Advance the clock in steps until `after_ms` after the client connected."""
        while self.harness.clock.now() < self.connected_at + after_ms:
            self.harness.clock.advance(min(50.0, self.connected_at + after_ms - self.harness.clock.now()))
            await run_loop_turns(1)

    async def receive_until_due(self) -> bytes:
        """Return what the client has received when its error or close is due."""
        await self.advance_until(DUE_MS - NODE_STALL_MS)
        await run_loop_turns()
        return await asyncio.wait_for(self.reader.read(1 << 16), 5)


async def stopped_client(harness: DownstreamHarness, *parts: bytes) -> StoppedClient:
    reader, _ = await harness.stream_client(*parts)
    await until(lambda: harness.counters["connections_accepted"] == len(harness.clients))
    return StoppedClient(harness, reader)


@each_partial_command
@pytest.mark.parametrize("service", ["serving", "draining", "leaving"])
def test_partial_command_when_its_client_stays_then_ends_in_time_in_any_service_state(play, half, service):
    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(harness, half)
            await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
            shutdown = None
            if service == "draining":
                harness.downstream.shutdown.start_drain(harness.clock.now())
                harness.downstream.start_drain()
            elif service == "leaving":
                shutdown = asyncio.ensure_future(harness.downstream.leave())
            received = await stopped.receive_until_due()
            assert received.startswith((b"CLIENT_ERROR", b"SERVER_ERROR"))
            assert harness.core.memory_budget.reserved == 0
            if shutdown is not None:
                await until(lambda: harness.clock.advance(20) or shutdown.done())

    play(test)


def test_partial_value_when_it_waited_for_memory_first_then_the_wait_counts(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # on behalf of another connection
            stopped = await stopped_client(harness, PARTIAL_IN_SEVERAL_READS)
            await stopped.advance_until(MEMORY_WAIT_FRACTION * CLIENT_TIMEOUT_MS - 50)
            harness.core.memory_budget.release(LENGTH)
            assert await stopped.receive_until_due() == NOT_FINISHED
            assert harness.core.memory_budget.reserved == 0

    play(test)


def test_value_when_it_waited_for_memory_in_the_kernel_then_its_time_counts_from_its_arrival():
    """A value that is read in many pieces after the wait was answered up to a second after its time."""

    async def test():
        length = 150_000
        command = b"ms key7 %d Oa1 Pc=put,d=900\r\n%b\r\n" % (length, bytes(length))
        async with DownstreamHarness(memory_bytes=length) as harness:
            assert harness.core.memory_budget.try_reserve(length)  # on behalf of another connection
            _, writer = await harness.stream_client(command)
            await until(lambda: not writer.transport.get_write_buffer_size())
            arrived_at = harness.clock.now()
            await until(lambda: harness.core.memory_budget._waiting)
            harness.clock.advance(MEMORY_WAIT_FRACTION * CLIENT_TIMEOUT_MS - 50)
            harness.core.memory_budget.release(length)
            await until(lambda: harness.request_count)
            (request,) = harness.core.open_requests
            assert request.deadline < arrived_at + request.request.timeout_ms

    asyncio.run(test())


def test_partial_value_when_it_is_skipped_for_lack_of_memory_then_the_wait_counts(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)
            stopped = await stopped_client(harness, PARTIAL_IN_SEVERAL_READS)
            assert (await stopped.receive_until_due()) == NOT_FINISHED

    play(test)


@each_partial_command
def test_partial_command_when_requests_before_it_were_pending_then_ends_in_time(play, half):
    """Writing the late response to the last of them must not restart the timeout of the partial command."""

    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(
                harness, LONG_DEADLINE_READ % b"r1", LONG_DEADLINE_READ % b"r2", half
            )
            await until(lambda: harness.request_count == 2)
            harness.fail("r1")
            await stopped.advance_until(1_700)
            harness.fail("r2")
            assert await stopped.receive_until_due() == FAILED * 2 + NOT_FINISHED

    play(test)


def test_partial_command_when_its_client_was_idle_before_it_then_ends_in_time(play):
    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(harness)
            await stopped.advance_until(1_900)
            harness.clients[0].write(PARTIAL_READ)
            await until(lambda: any(c.has_partial_command for c in harness.downstream.connections))
            assert await stopped.receive_until_due() == NOT_FINISHED

    play(test)


def test_command_when_it_begins_late_but_keeps_arriving_then_is_executed(play):
    """A well-behaved client may take 2 s to send a head, even if it was idle before."""

    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(harness)
            await stopped.advance_until(1_500)
            parts = [b"mg key7 v O", b"slow Pc=", b"read,t=a", b"cme,d=", b"48", b"0\r\n"]
            for number, part in enumerate(parts):
                await stopped.advance_until(1_500 + number * 400)
                harness.clients[0].write(part)
                await run_loop_turns()
            await until(lambda: harness.request_count == 1)
            harness.fail("slow")
            assert await stopped.reader.readline() == FAILED

    play(test)


def test_partial_value_when_its_client_disconnects_while_it_waits_for_memory_then_none_stays_reserved(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # on behalf of another connection
            await stopped_client(harness, PARTIAL_LONG_WRITE)
            await until(lambda: any(c.has_pending for c in harness.downstream.connections))
            harness.clients[0].close()
            await run_loop_turns()
            harness.core.memory_budget.release(LENGTH)
            await until(lambda: not harness.downstream.connections)
            assert harness.core.memory_budget.reserved == 0

    play(test)
