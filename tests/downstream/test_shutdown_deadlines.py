"""Tests of shutdown times, which follow the longest request deadline of the settings.

SIGKILL comes after SIGTERM by 0.7 s plus that deadline, of which 3 s count at most. By then each request that
was read has its response, and no connection is open on which a request could be read without a response.
"""

import asyncio
from dataclasses import replace

import pytest
from support.downstream import BUSY, FAILED, READ, DownstreamHarness, run_loop_turns
from support.long_values import LENGTH, LONG_WRITE
from support.network import SETTINGS, until

from flintridge.runtime.clock import NS_PER_MS

NOTICE_MS = 700.0
MAX_DEADLINE_MS = 3_000.0
STEP_MS = 10.0


def settings_with_deadline(deadline_ms: float):
    classes = [replace(each, deadline_ns=int(deadline_ms * NS_PER_MS)) for each in SETTINGS.classes]
    return replace(SETTINGS, classes=tuple(classes))


class ShutdownRun:
    """The shutdown of a node with a given longest deadline, from SIGTERM on."""

    def __init__(self, harness: DownstreamHarness, deadline_ms: float) -> None:
        self.harness = harness
        self.sigterm_at = harness.clock.now()
        self.sigkill_at = self.sigterm_at + NOTICE_MS + min(deadline_ms, MAX_DEADLINE_MS)
        self.shutdown = asyncio.ensure_future(harness.downstream.leave())

    async def steps_until(self, end: float):
        """Advance the clock in steps until `end`; yields after each step."""
        while self.harness.clock.now() < end:
            self.harness.clock.advance(min(STEP_MS, end - self.harness.clock.now()))
            await run_loop_turns(2)
            yield

    async def advance_until(self, end: float) -> None:
        async for _ in self.steps_until(end):
            pass

    def nothing_is_open(self) -> bool:
        connections = self.harness.downstream.connections
        return self.harness.core.idle and all(each.closing for each in connections)

    async def finish(self) -> None:
        await until(lambda: self.harness.clock.advance(20) or self.shutdown.done())


each_deadline = pytest.mark.parametrize("deadline_ms", [100.0, 150.0, 500.0, 2_000.0, 10_000.0])


@each_deadline
def test_shutdown_when_a_client_always_has_the_next_request_written_then_each_one_read_gets_a_response(
    play, deadline_ms
):
    """The connection is never between requests, as its client keeps sending until SIGKILL."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")  # its timeout is its class's deadline
            first = READ.replace(b"480", b"%d" % min(deadline_ms, MAX_DEADLINE_MS))
            reader, writer = await harness.stream_client(first % b"r0")
            await until(lambda: harness.request_count == 1)
            shutdown_run, count, read_at = ShutdownRun(harness, deadline_ms), 0, [harness.clock.now()]
            step_ms = min(deadline_ms, MAX_DEADLINE_MS) / 4
            async for _ in shutdown_run.steps_until(shutdown_run.sigkill_at):
                if harness.request_count > len(read_at):
                    read_at.append(harness.clock.now())
                if harness.clock.now() >= shutdown_run.sigterm_at + (count + 1) * step_ms:
                    count += 1
                    writer.write(request % b"r%d" % count)
            assert shutdown_run.nothing_is_open()
            assert harness.request_count > 1
            # The last request that was read had the whole deadline left, or one second of it.
            assert read_at[-1] <= shutdown_run.sigkill_at - min(deadline_ms, 1_000.0) + STEP_MS
            assert await reader.read() == FAILED * harness.request_count
            writer.close()
            await shutdown_run.finish()

    play(test)


@each_deadline
def test_shutdown_when_each_read_ends_in_a_partial_command_then_each_request_read_gets_a_response(
    play, deadline_ms
):
    """The connection is never between commands either, as if its client wrote hundreds at a time."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")
            reader, writer = await harness.stream_client(request[:10])
            shutdown_run, count = ShutdownRun(harness, deadline_ms), 0
            async for _ in shutdown_run.steps_until(shutdown_run.sigkill_at):
                if len(harness.core.open_requests) < 4:
                    writer.write(request[10:] % b"r%d" % count + request[:10])
                    count += 1
            assert shutdown_run.nothing_is_open()
            assert harness.request_count > 1
            received = await reader.read()
            assert received in (FAILED * harness.request_count, FAILED * harness.request_count + BUSY)
            writer.close()
            await shutdown_run.finish()

    play(test)


@each_deadline
@pytest.mark.parametrize(
    "written",
    [b"", b"mg key7 v O", b"ms key7 5 Or1 Pc=put\r\nhal", LONG_WRITE[:5_000]],
    ids=["nothing", "head", "value", "long_value"],
)
def test_shutdown_when_a_new_connection_has_no_complete_request_then_is_rejected_before_sigkill(
    play, deadline_ms, written
):
    """Nothing that it sends later would be read; since it is rejected, its client may retry elsewhere."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            shutdown_run = ShutdownRun(harness, deadline_ms)
            await shutdown_run.advance_until(shutdown_run.sigterm_at + NOTICE_MS - STEP_MS)
            reader, writer = await harness.stream_client(written)
            await until(lambda: harness.counters["connections_accepted"] == 1)
            await shutdown_run.advance_until(shutdown_run.sigkill_at - 1)
            assert shutdown_run.nothing_is_open()
            assert (await reader.read()).startswith((BUSY, b"CLIENT_ERROR"))
            assert harness.core.memory_budget.reserved == 0
            writer.close()
            await shutdown_run.finish()

    play(test)


@each_deadline
def test_shutdown_when_a_value_waits_for_memory_then_is_rejected_before_sigkill(play, deadline_ms):
    """The value was written completely and read in part; no memory becomes free."""

    async def test():
        settings = settings_with_deadline(deadline_ms)
        async with DownstreamHarness(memory_bytes=LENGTH + 1000, settings=settings) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)
            shutdown_run = ShutdownRun(harness, deadline_ms)
            await shutdown_run.advance_until(shutdown_run.sigterm_at + NOTICE_MS - STEP_MS)
            reader, writer = await harness.stream_client(LONG_WRITE)
            await until(lambda: any(c.has_pending for c in harness.downstream.connections))
            await shutdown_run.advance_until(shutdown_run.sigkill_at - 1)
            assert shutdown_run.nothing_is_open()
            assert await reader.read() == BUSY
            assert harness.core.memory_budget.reserved == LENGTH
            writer.close()
            await shutdown_run.finish()

    play(test)


@each_deadline
def test_shutdown_when_requests_were_read_by_the_end_of_the_notice_then_get_responses_before_sigkill(
    play, deadline_ms
):
    """Their servers never respond. A response is due early enough for a node that stalls for 0.15 s."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")
            shutdown_run, readers = ShutdownRun(harness, deadline_ms), []
            for number, at in enumerate((100.0, 390.0, 600.0, 690.0)):
                await shutdown_run.advance_until(shutdown_run.sigterm_at + at)
                readers.append(await harness.stream_client(request % b"r%d" % number))
                await until(lambda count=number + 1: harness.request_count == count)
            stall_ms = 150.0 if deadline_ms >= 1_000.0 else 0.0
            await shutdown_run.advance_until(shutdown_run.sigkill_at - stall_ms - 1)
            assert shutdown_run.nothing_is_open()
            for reader, _ in readers:
                assert await reader.read() == FAILED
            await shutdown_run.finish()

    play(test)
