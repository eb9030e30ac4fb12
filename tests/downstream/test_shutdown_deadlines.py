"""A shutdown follows the longest deadline: SIGKILL comes so long, 3 s at most, and 0.7 s after SIGTERM.

What was read has its answer by then, and nothing is left open that could be read and not answered.
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


class Ending:
    """A node with one longest deadline that was told to end."""

    def __init__(self, harness: DownstreamHarness, deadline_ms: float) -> None:
        self.harness = harness
        self.told_at = harness.clock.now()
        self.killed_at = self.told_at + NOTICE_MS + min(deadline_ms, MAX_DEADLINE_MS)
        self.shutdown = asyncio.ensure_future(harness.downstream.leave())

    async def steps_until(self, end: float):
        """Let time go on in steps; yields after each one."""
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
def test_shutdown_when_a_client_always_has_the_next_request_written_then_each_read_is_answered(
    play, deadline_ms
):
    """The connection is never between requests, and its client goes on until the kill."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")  # it waits as long as its class does
            first = READ.replace(b"480", b"%d" % min(deadline_ms, MAX_DEADLINE_MS))
            reader, writer = await harness.stream_client(first % b"r0")
            await until(lambda: harness.request_count == 1)
            ending, count, read_at = Ending(harness, deadline_ms), 0, [harness.clock.now()]
            step_ms = min(deadline_ms, MAX_DEADLINE_MS) / 4
            async for _ in ending.steps_until(ending.killed_at):
                if harness.request_count > len(read_at):
                    read_at.append(harness.clock.now())
                if harness.clock.now() >= ending.told_at + (count + 1) * step_ms:
                    count += 1
                    writer.write(request % b"r%d" % count)
            assert ending.nothing_is_open()
            assert harness.request_count > 1
            # What was read last had its whole time, or a second of it.
            assert read_at[-1] <= ending.killed_at - min(deadline_ms, 1_000.0) + STEP_MS
            assert await reader.read() == FAILED * harness.request_count
            writer.close()
            await ending.finish()

    play(test)


@each_deadline
def test_shutdown_when_the_end_of_each_read_is_half_a_command_then_each_read_is_answered(play, deadline_ms):
    """It is never between commands either: a client that writes hundreds at once."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")
            reader, writer = await harness.stream_client(request[:10])
            ending, count = Ending(harness, deadline_ms), 0
            async for _ in ending.steps_until(ending.killed_at):
                if len(harness.core.open_requests) < 4:
                    writer.write(request[10:] % b"r%d" % count + request[:10])
                    count += 1
            assert ending.nothing_is_open()
            assert harness.request_count > 1
            received = await reader.read()
            assert received in (FAILED * harness.request_count, FAILED * harness.request_count + BUSY)
            writer.close()
            await ending.finish()

    play(test)


@each_deadline
@pytest.mark.parametrize(
    "written",
    [b"", b"mg key7 v O", b"ms key7 5 Or1 Pc=put\r\nhal", LONG_WRITE[:5_000]],
    ids=["nothing", "head", "value", "long_value"],
)
def test_shutdown_when_a_new_connection_has_no_whole_request_then_is_rejected_before_the_kill(
    play, deadline_ms, written
):
    """Whatever it still writes would find nobody: its client may come again elsewhere, as it was told."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            ending = Ending(harness, deadline_ms)
            await ending.advance_until(ending.told_at + NOTICE_MS - STEP_MS)
            reader, writer = await harness.stream_client(written)
            await until(lambda: harness.counters["connections_accepted"] == 1)
            await ending.advance_until(ending.killed_at - 1)
            assert ending.nothing_is_open()
            assert (await reader.read()).startswith((BUSY, b"CLIENT_ERROR"))
            assert harness.core.memory_budget.reserved == 0
            writer.close()
            await ending.finish()

    play(test)


@each_deadline
def test_shutdown_when_a_value_waits_for_memory_then_is_rejected_before_the_kill(play, deadline_ms):
    """All of it was written and part of it read; nobody releases any memory."""

    async def test():
        settings = settings_with_deadline(deadline_ms)
        async with DownstreamHarness(memory_bytes=LENGTH + 1000, settings=settings) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)
            ending = Ending(harness, deadline_ms)
            await ending.advance_until(ending.told_at + NOTICE_MS - STEP_MS)
            reader, writer = await harness.stream_client(LONG_WRITE)
            await until(lambda: any(c.has_pending for c in harness.downstream.connections))
            await ending.advance_until(ending.killed_at - 1)
            assert ending.nothing_is_open()
            assert await reader.read() == BUSY
            assert harness.core.memory_budget.reserved == LENGTH
            writer.close()
            await ending.finish()

    play(test)


@each_deadline
def test_shutdown_when_requests_were_read_by_the_end_of_the_notice_then_are_answered_before_the_kill(
    play, deadline_ms
):
    """Their servers hang throughout. An answer is due so early that a node held up for 0.15 s has it out."""

    async def test():
        async with DownstreamHarness(settings=settings_with_deadline(deadline_ms)) as harness:
            request = READ.replace(b",d=480", b"")
            ending, readers = Ending(harness, deadline_ms), []
            for number, at in enumerate((100.0, 390.0, 600.0, 690.0)):
                await ending.advance_until(ending.told_at + at)
                readers.append(await harness.stream_client(request % b"r%d" % number))
                await until(lambda count=number + 1: harness.request_count == count)
            held_up_ms = 150.0 if deadline_ms >= 1_000.0 else 0.0
            await ending.advance_until(ending.killed_at - held_up_ms - 1)
            assert ending.nothing_is_open()
            for reader, _ in readers:
                assert await reader.read() == FAILED
            await ending.finish()

    play(test)
