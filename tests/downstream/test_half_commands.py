"""A client that stops in the middle of a request and stays: an error or a close is due 3 s after it came."""

import asyncio

import pytest
from support.downstream import FAILED, LONG_DEADLINE_READ, DownstreamHarness, run_loop_turns
from support.long_values import LENGTH, LONG_WRITE
from support.network import until

from flintridge.downstream.value_memory import MEMORY_WAIT_MS

DUE_MS = 3_000.0
HELD_UP_MS = 150.0  # so long a node may be held up before it writes
NOT_FINISHED = b"CLIENT_ERROR command not finished in time\r\n"
HALF_READ = b"mg key7 v Oh1 Pc=read"
HALF_WRITE = b"ms key7 500 Oh1 Pc=put\r\nhalf"
HALF_LONG_WRITE = LONG_WRITE[:5_000]
HALF_IN_PIECES = LONG_WRITE[:60_000]  # more than is read at a time: the rest is read once there is memory
each_half = pytest.mark.parametrize(
    "half", [HALF_READ, HALF_WRITE, HALF_LONG_WRITE], ids=["head", "value", "long_value"]
)


class Stopped:
    """A client that stopped half way, and the node that it is connected to."""

    def __init__(self, harness: DownstreamHarness, reader: asyncio.StreamReader) -> None:
        self.harness = harness
        self.reader = reader
        self.connected_at = harness.clock.now()

    async def advance_until(self, after_ms: float) -> None:
        """Let time go on in steps up to so long after the client connected."""
        while self.harness.clock.now() < self.connected_at + after_ms:
            self.harness.clock.advance(min(50.0, self.connected_at + after_ms - self.harness.clock.now()))
            await run_loop_turns(1)

    async def pass_until_due(self) -> bytes:
        """What it has received when its error or close is due."""
        await self.advance_until(DUE_MS - HELD_UP_MS)
        await run_loop_turns()
        return await asyncio.wait_for(self.reader.read(1 << 16), 5)


async def stopped_client(harness: DownstreamHarness, *parts: bytes) -> Stopped:
    reader, _ = await harness.stream_client(*parts)
    await until(lambda: harness.counters["connections_accepted"] == len(harness.clients))
    return Stopped(harness, reader)


@each_half
@pytest.mark.parametrize("service", ["serving", "draining", "leaving"])
def test_half_command_when_its_client_stays_then_ends_in_time_whatever_the_node_is_at(play, half, service):
    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(harness, half)
            await until(lambda: any(c.has_half_command for c in harness.downstream.connections))
            shutdown = None
            if service == "draining":
                harness.downstream.shutdown.start_drain(harness.clock.now())
                harness.downstream.start_drain()
            elif service == "leaving":
                shutdown = asyncio.ensure_future(harness.downstream.leave())
            received = await stopped.pass_until_due()
            assert received.startswith((b"CLIENT_ERROR", b"SERVER_ERROR"))
            assert harness.core.memory_budget.reserved == 0
            if shutdown is not None:
                await until(lambda: harness.clock.advance(20) or shutdown.done())

    play(test)


def test_half_value_when_it_waited_for_memory_first_then_the_wait_counts(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # by somebody else
            stopped = await stopped_client(harness, HALF_IN_PIECES)
            await stopped.advance_until(MEMORY_WAIT_MS - 50)
            harness.core.memory_budget.release(LENGTH)
            assert await stopped.pass_until_due() == NOT_FINISHED
            assert harness.core.memory_budget.reserved == 0

    play(test)


def test_half_value_when_it_is_skipped_for_want_of_memory_then_the_wait_counts(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)
            stopped = await stopped_client(harness, HALF_IN_PIECES)
            assert (await stopped.pass_until_due()) == NOT_FINISHED

    play(test)


@each_half
def test_half_command_when_requests_before_it_were_pending_then_ends_in_time(play, half):
    """The last of them has its response late; written, it must not begin the time of the half anew."""

    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(
                harness, LONG_DEADLINE_READ % b"r1", LONG_DEADLINE_READ % b"r2", half
            )
            await until(lambda: harness.request_count == 2)
            harness.fail("r1")
            await stopped.advance_until(1_700)
            harness.fail("r2")
            assert await stopped.pass_until_due() == FAILED * 2 + NOT_FINISHED

    play(test)


def test_half_command_when_its_client_rested_before_it_then_ends_in_time(play):
    async def test():
        async with DownstreamHarness() as harness:
            stopped = await stopped_client(harness)
            await stopped.advance_until(1_900)
            harness.clients[0].write(HALF_READ)
            await until(lambda: any(c.has_half_command for c in harness.downstream.connections))
            assert await stopped.pass_until_due() == NOT_FINISHED

    play(test)


def test_command_when_it_begins_late_but_keeps_coming_then_is_taken(play):
    """A good client may take 2 s for a head, also where it rested before."""

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


def test_half_value_when_its_client_leaves_as_it_waits_for_memory_then_none_stays_reserved(play):
    async def test():
        async with DownstreamHarness(memory_bytes=LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # by somebody else
            await stopped_client(harness, HALF_LONG_WRITE)
            await until(lambda: any(c.has_pending for c in harness.downstream.connections))
            harness.clients[0].close()
            await run_loop_turns()
            harness.core.memory_budget.release(LENGTH)
            await until(lambda: not harness.downstream.connections)
            assert harness.core.memory_budget.reserved == 0

    play(test)
