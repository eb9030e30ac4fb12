"""Long values from servers are forwarded no faster than their clients read."""

import asyncio

import pytest
from support.long_values import ANSWER, LENGTH
from support.network import RecordedStream, ScriptedServer, until
from support.upstream import UpstreamHarness

from flintridge.lab import virtual
from flintridge.runtime.streams import VALUE_READ_BYTES as READ_AT_A_TIME
from flintridge.upstream.long_value_delivery import SERVER_STALL_MS, STREAM_WINDOW_BYTES


class StreamingHarness(UpstreamHarness):
    """An upstream harness that streams long values to `streamed`."""

    def __init__(self, port: int) -> None:
        # Too little to collect a long value before it is forwarded.
        super().__init__(port, start_stream=self._start_stream, value_memory_bytes=STREAM_WINDOW_BYTES)
        self.streamed = RecordedStream(0)
        self.started_lengths: list[int] = []

    def _start_stream(self, _attempt, value):
        self.started_lengths.append(value.length)
        return self.streamed


def test_long_value_when_the_client_reads_slowly_is_read_no_faster_from_the_server():
    async def test():
        length = 2 << 20
        big = b"VA %d Oa1\r\n" % length + b"x" * length + b"\r\n"
        async with ScriptedServer(lambda _: big) as server:
            harness = StreamingHarness(server.port)
            harness.streamed.open.clear()
            await harness.start()
            await until(lambda: harness.started_lengths)
            await asyncio.sleep(1)  # of virtual time
            (writer,) = server.writers
            unread_bytes = writer.transport.get_write_buffer_size()
            assert unread_bytes > length - 512 * 1024
            assert harness.streamed.pieces == []
            assert harness.streamed.ended is None
            harness.streamed.open.set()
            await until(lambda: harness.streamed.ended == "whole")
            assert sum(map(len, harness.streamed.pieces)) == length
            assert max(map(len, harness.streamed.pieces)) <= READ_AT_A_TIME
            await harness.dispatcher.close()

    virtual.run(test())


@pytest.mark.parametrize("how", ["end", "bad end", "silence"])
def test_long_value_when_it_fails_midway_is_aborted_and_not_retried(how):
    async def test():
        text = {"end": ANSWER[:-3000], "bad end": ANSWER[:-2] + b"XY", "silence": ANSWER[:-9]}[how]
        async with ScriptedServer(lambda _: text) as server:
            harness = StreamingHarness(server.port)
            await harness.start()
            await until(lambda: harness.streamed.pieces)
            if how == "end":
                server.writers[0].close()
            if how == "silence":
                await asyncio.sleep(0.1)
                assert harness.streamed.ended is None
                harness.clock.advance(SERVER_STALL_MS)
            await until(lambda: harness.streamed.ended == "cut")
            assert sum(map(len, harness.streamed.pieces)) < LENGTH
            assert server.connections == 1
            await harness.dispatcher.close()

    virtual.run(test())
