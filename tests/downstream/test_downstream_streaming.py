"""Tests of long values that are streamed to and from clients."""

import asyncio

import pytest
from support.core import ScriptedPolicy
from support.downstream import DownstreamHarness
from support.long_values import LENGTH, LONG_WRITE, VALUE
from support.network import until
from support.upstream import READ

from flintridge.codec.memcache.encoder import FAILED_RESPONSE
from flintridge.downstream.command_input import CommandInput
from flintridge.downstream.command_timer import COMMAND_TIMEOUT_MS
from flintridge.downstream.lingering_close import SLOW_READER_TIMEOUT_MS
from flintridge.downstream.value_memory import MAX_MEMORY_WAIT_MS, MEMORY_WAIT_FRACTION
from flintridge.lab import virtual
from flintridge.runtime.streams import UNRESERVED_READ_BYTES


class StreamingHarness(DownstreamHarness):
    """A listener whose requests are completed by the test; checks at the end that no memory is reserved."""

    def __init__(self, memory_bytes: int) -> None:
        super().__init__(memory_bytes=memory_bytes, policy=ScriptedPolicy(), endpoints_known=False)

    async def __aexit__(self, *_) -> None:
        self.downstream.close()
        self.core.close()
        await asyncio.sleep(0.1)
        assert self.core.memory_budget.reserved == 0


def test_stream_when_responses_precede_it_then_waits_and_an_abort_closes_the_connection():
    async def test():
        async with StreamingHarness(1 << 20) as harness:
            reader, _ = await harness.stream_client(READ % b"a1", READ % b"a2", READ % b"a3")
            await until(lambda: harness.request_count == 3)
            second = harness.take_responder("a2").start_stream(10)
            waiting = asyncio.ensure_future(second.wait_writable())
            await asyncio.sleep(0.1)
            assert not waiting.done()  # the first response is still pending
            harness.take_responder("a1").fail()
            await waiting
            second.write([b"0123"])
            assert await reader.readexactly(36) == b"SERVER_ERROR failed\r\nVA 10 Oa2\r\n0123"
            harness.take_responder("a3").fail()
            await second.wait_writable()
            second.write([b"456789"])
            second.end()
            assert await reader.readexactly(29) == b"456789\r\nSERVER_ERROR failed\r\n"
            reader, _ = await harness.stream_client(READ % b"b1")
            await until(lambda: harness.request_count == 4)
            third = harness.take_responder("b1").start_stream(10)
            third.write([b"0123"])
            third.abort()
            assert await reader.read() == b"VA 10 Ob1\r\n0123"

    virtual.run(test())


def test_stream_when_the_client_reads_slowly_then_waits_but_not_for_one_that_reads_nothing():
    async def test():
        async with StreamingHarness(1 << 20) as harness:
            reader, writer = await harness.stream_client(READ % b"a1")
            await until(lambda: harness.request_count == 1)
            stream = harness.take_responder("a1").start_stream(4 << 20)
            reader._transport.pause_reading()
            for _ in range(64):
                stream.write([b"x" * 65536])
            waiting = asyncio.ensure_future(stream.wait_writable())
            for _ in range(4):
                await asyncio.sleep(0.1)
                harness.clock.advance(SLOW_READER_TIMEOUT_MS - 1)
                reader._transport.resume_reading()
                await reader.read(200_000)
                reader._transport.pause_reading()
            await asyncio.sleep(0.1)
            assert not waiting.done()
            harness.clock.advance(SLOW_READER_TIMEOUT_MS)
            await asyncio.sleep(0.1)
            harness.clock.advance(SLOW_READER_TIMEOUT_MS)
            with pytest.raises(ConnectionError):
                await waiting
            stream.abort()
            writer.close()

    virtual.run(test())


def test_long_write_when_no_memory_is_free_then_is_rejected_in_time_else_reserved():
    async def test():
        async with StreamingHarness(LENGTH + 1000) as harness:
            half, half_writer = await harness.stream_client(LONG_WRITE[:5000])
            await until(lambda: harness.core.memory_budget.reserved == LENGTH)
            rejected, rejected_writer = await harness.stream_client(
                LONG_WRITE.replace(b"Oa1", b"Oa2"), b"mn\r\n"
            )
            await asyncio.sleep(0.2)
            harness.clock.advance(MEMORY_WAIT_FRACTION * 900 - 1)
            await asyncio.sleep(0.2)
            assert harness.core.memory_budget._waiting
            harness.clock.advance(1)
            responses = b"SERVER_ERROR busy\r\nSERVER_ERROR starting\r\n"
            assert await rejected.readexactly(len(responses)) == responses  # framing is intact
            assert harness.counters["values_waited_for_memory"] == 1
            waiting, _ = await harness.stream_client(LONG_WRITE.replace(b"Oa1", b"Oa3"))
            await asyncio.sleep(0.2)
            half_writer.write(LONG_WRITE[5000:])
            await until(lambda: harness.request_count == 1)
            assert bytes(harness.core.open_requests.get("a1").request.value) == VALUE
            harness.fail("a1")
            assert await half.readline() == b"SERVER_ERROR failed\r\n"
            await until(lambda: harness.request_count == 2)  # it had waited for memory
            harness.fail("a3")
            assert await waiting.readline() == b"SERVER_ERROR failed\r\n"
            assert harness.core.memory_budget.reserved == 0
            unfinished, unfinished_writer = await harness.stream_client(LONG_WRITE[:90_00])
            await until(lambda: harness.core.memory_budget.reserved == LENGTH)
            harness.clock.advance(COMMAND_TIMEOUT_MS + 250)
            assert (await unfinished.read()).startswith(b"CLIENT_ERROR")
            await until(lambda: harness.core.memory_budget.reserved == 0)
            for writer in (rejected_writer, unfinished_writer):
                writer.close()

    virtual.run(test())


@pytest.mark.parametrize(
    ("options", "longest_ms"),
    [
        (b"c=put,d=900", 450),
        (b"c=put,d=100", 50),
        (b"c=put,d=4000", MAX_MEMORY_WAIT_MS),
        (b"c=put", MAX_MEMORY_WAIT_MS),  # as long as its class allows
    ],
)
def test_long_write_when_no_memory_is_free_then_is_rejected_while_its_client_still_waits(options, longest_ms):
    """Guards against a rejection after the client has given up, when it cannot try elsewhere any more."""

    async def test():
        async with StreamingHarness(LENGTH + 1000) as harness:
            assert harness.core.memory_budget.try_reserve(LENGTH)  # on behalf of another connection
            reader, writer = await harness.stream_client(LONG_WRITE.replace(b"c=put,d=900", options))
            await until(lambda: harness.core.memory_budget._waiting)
            harness.clock.advance(longest_ms - 1)
            await asyncio.sleep(0.2)
            assert harness.core.memory_budget._waiting
            harness.clock.advance(1)
            assert await reader.readline() == b"SERVER_ERROR busy\r\n"
            harness.core.memory_budget.release(LENGTH)
            writer.close()

    virtual.run(test())


@pytest.mark.parametrize("end", [b"\r\n", b"XY"])
def test_long_write_when_it_is_skipped_then_takes_few_turns_and_what_follows_is_answered(monkeypatch, end):
    # Guards against a late rejection: each turn of the event loop may be long.
    reads = 0
    read = CommandInput.read

    async def counted_read(command_input: CommandInput) -> bytes:
        nonlocal reads
        reads += 1
        return await read(command_input)

    monkeypatch.setattr(CommandInput, "read", counted_read)
    monkeypatch.setattr(CommandInput, "allow_read_ahead", lambda _: None)  # memory is short
    length = 1 << 20
    write = b"ms key7 %d Oa1 Pc=put,d=900\r\n" % length + bytes(length) + end

    async def test():
        async with StreamingHarness(LENGTH) as harness:  # never enough for this value
            reader, writer = await harness.stream_client(write + b"mn\r\n")
            answer = await reader.readline()
            if end == b"\r\n":
                assert answer == b"SERVER_ERROR busy\r\n"
                assert await reader.readline() == b"SERVER_ERROR starting\r\n"
            else:
                assert answer.startswith(b"CLIENT_ERROR")
            assert reads < length // UNRESERVED_READ_BYTES / 4
            writer.close()

    asyncio.run(test())


def test_long_write_when_its_id_is_in_use_then_releases_its_memory():
    async def test():
        async with StreamingHarness(3 * LENGTH) as harness:
            first, _ = await harness.stream_client(LONG_WRITE)
            await until(lambda: harness.request_count == 1)
            second, _ = await harness.stream_client(LONG_WRITE)
            assert await second.readline() == b"CLIENT_ERROR id in use\r\n"
            assert harness.core.memory_budget.reserved == LENGTH
            harness.fail("a1")
            assert await first.readline() == FAILED_RESPONSE

    virtual.run(test())
