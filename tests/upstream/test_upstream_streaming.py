"""Long values from servers are forwarded no faster than their clients read."""

import asyncio

import pytest
from support.long_values import ANSWER, LENGTH
from support.network import RecordedStream, ScriptedServer, until
from support.upstream import UpstreamHarness

from flintridge.api import Outcome
from flintridge.lab import virtual
from flintridge.runtime.clock import SystemClock
from flintridge.runtime.streams import VALUE_READ_BYTES as READ_AT_A_TIME
from flintridge.upstream.long_value_delivery import (
    FIRST_BYTE_MS,
    SERVER_STALL_MS,
    STREAM_WINDOW_BYTES,
)

PIECE_MS = 200
ATTEMPT_MS = 600.0
LONG_LENGTH = 20 * 5_000
SHORT_LENGTH = 20 * 3_000


class StreamingHarness(UpstreamHarness):
    """An upstream harness that streams long values to `streamed`."""

    def __init__(self, port: int, **changes) -> None:
        # Too little memory to collect a long value before it is forwarded.
        changes = {"value_memory_bytes": STREAM_WINDOW_BYTES} | changes
        super().__init__(port, start_stream=self._start_stream, **changes)
        self.streamed = RecordedStream(0)
        self.started_lengths: list[int] = []
        self.outcomes_when_due: list[Outcome] = []
        self.ended_at_ms: list[float] = []  # since the harness was created
        created_at = self.clock.now()
        report_end = self.dispatcher._report_end

        def record_end(attempt, result) -> None:
            self.ended_at_ms.append(round(self.clock.now() - created_at, 3))
            report_end(attempt, result)

        self.dispatcher._report_end = record_end

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


class SlowServer:
    """A server that writes a value in equal pieces, one every `piece_ms`, and then may hang."""

    def __init__(self, length: int, pieces: int, written_pieces: int, piece_ms: float) -> None:
        self._pause_s = piece_ms / 1000
        self._head = b"VA %d Oa1\r\n" % length
        self._pieces = [bytes(length // pieces)] * pieces
        self._written_pieces = written_pieces

    async def serve(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n")
        writer.write(self._head)
        for piece in self._pieces[: self._written_pieces]:
            await asyncio.sleep(self._pause_s)
            writer.write(piece)
        if self._written_pieces == len(self._pieces):
            writer.write(b"\r\n")


async def receive_slow_value(
    length: int,
    written_pieces: int,
    behind: bool,
    memory_bytes: int = 1 << 20,
    due_ms: float = 20_000.0,
    piece_ms: float = PIECE_MS,
) -> StreamingHarness:
    """Attempt a read at a SlowServer that writes 20 pieces, with or without a command behind it.

    The attempt has ATTEMPT_MS. It is watched until the response is due, in `due_ms` of virtual time.
    """
    server = SlowServer(length, 20, written_pieces, piece_ms)
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    clock = SystemClock(asyncio.get_running_loop())
    port = listener.sockets[0].getsockname()[1]
    harness = StreamingHarness(port, clock=clock, value_memory_bytes=memory_bytes)
    attempt = harness.make_attempt(wait=ATTEMPT_MS, response_due=due_ms)
    attempt.hold_later_commands = lambda: not behind
    harness.dispatcher.start(attempt)
    await asyncio.sleep((due_ms + 1) / 1000)
    harness.outcomes_when_due = harness.outcomes
    await harness.dispatcher.close()
    listener.close()
    return harness


@pytest.mark.parametrize("behind", [False, True])
def test_long_value_when_its_server_writes_slowly_then_is_passed_on_in_time_and_not_cut_off(behind):
    harness = virtual.run(receive_slow_value(LONG_LENGTH, 20, behind))
    assert harness.streamed.ended == "whole"
    assert sum(map(len, harness.streamed.pieces)) == LONG_LENGTH


@pytest.mark.parametrize(("written_pieces", "how"), [(3, "cut"), (20, "whole")])
def test_value_when_the_last_responses_are_due_is_ended_if_its_server_is_silent_and_not_if_it_writes(
    written_pieces, how
):
    async def test():
        server = SlowServer(LONG_LENGTH, 20, written_pieces, PIECE_MS)
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        clock = SystemClock(asyncio.get_running_loop())
        harness = StreamingHarness(listener.sockets[0].getsockname()[1], clock=clock)
        harness.dispatcher.start(harness.make_attempt(response_due=20_000.0))
        await asyncio.sleep(1.0)  # of virtual time; a silent server has been so for 400 ms
        harness.respond_by = clock.now() + 1_000.0
        await asyncio.sleep(0.99)
        assert harness.streamed.ended is None
        await asyncio.sleep(0.02 if how == "cut" else 3.0)
        assert harness.streamed.ended == how
        await harness.dispatcher.close()
        listener.close()

    virtual.run(test())


def test_value_when_its_turn_comes_late_in_a_shutdown_then_fails_before_the_process_may_be_killed():
    async def test():
        async with ScriptedServer(lambda _: ANSWER) as server:
            harness = StreamingHarness(server.port)
            harness.streamed.open.clear()  # its turn has not come
            attempt = harness.make_attempt(response_due=5_000.0)
            memory = harness.dispatcher.value_memory
            assert memory.try_reserve(memory.total)  # on behalf of another value
            harness.dispatcher.start(attempt)
            await until(lambda: harness.started_lengths)
            harness.respond_by = harness.clock.now() + 100.0
            harness.streamed.open.set()
            await asyncio.sleep(0.01)
            harness.clock.advance(99.0)
            await asyncio.sleep(0.01)
            assert harness.streamed.ended is None
            harness.clock.advance(1.0)
            await until(lambda: harness.streamed.ended == "cut")
            assert harness.streamed.pieces == []
            await harness.dispatcher.close()

    virtual.run(test())


def test_short_value_when_it_waited_for_memory_and_its_server_is_slow_then_fails_as_it_becomes_due():
    due_ms = 2_000.0
    slow_value = receive_slow_value(SHORT_LENGTH, 20, True, STREAM_WINDOW_BYTES, due_ms)
    harness = virtual.run(slow_value)
    assert (harness.streamed.pieces, harness.streamed.ended) == ([], "cut")


@pytest.mark.parametrize(("written_pieces", "starts"), [(20, 1), (1, 0)])
def test_long_value_when_its_server_pauses_as_long_as_before_then_is_passed_on_as_it_becomes_due(
    written_pieces, starts
):
    # At 2,300 ms the last piece came 700 ms before, as long after the other.
    slow_value = receive_slow_value(LONG_LENGTH, written_pieces, True, due_ms=2_300.0, piece_ms=800.0)
    assert len(virtual.run(slow_value).started_lengths) == starts


def test_long_value_when_its_server_hangs_then_is_not_passed_on_before_requests_behind_it():
    harness = virtual.run(receive_slow_value(LONG_LENGTH, 1, behind=True))
    assert harness.started_lengths == [] and harness.outcomes == [Outcome.TIMEOUT]


@pytest.mark.parametrize("memory_bytes", [1 << 20, STREAM_WINDOW_BYTES])
@pytest.mark.parametrize("behind", [False, True])
@pytest.mark.parametrize("length", [SHORT_LENGTH, LONG_LENGTH])
def test_value_when_its_server_sends_the_head_alone_then_its_response_does_not_begin(
    length, behind, memory_bytes
):
    harness = virtual.run(receive_slow_value(length, 0, behind, memory_bytes, due_ms=2_000.0))
    assert harness.outcomes_when_due == [Outcome.TIMEOUT] and harness.started_lengths == []


@pytest.mark.parametrize(
    ("due_ms", "ends_at_ms"),
    [(800.0, ATTEMPT_MS), (1_500.0, 1_500.0 - ATTEMPT_MS), (5_000.0, FIRST_BYTE_MS)],
)
def test_value_when_its_server_sends_the_head_alone_then_is_given_up_in_time_for_a_retry(due_ms, ends_at_ms):
    harness = virtual.run(receive_slow_value(LONG_LENGTH, 0, behind=False, due_ms=due_ms))
    assert harness.ended_at_ms == pytest.approx([ends_at_ms], abs=1.0)  # and the network's delay


@pytest.mark.parametrize("written_pieces", [20, 3])
def test_short_value_when_its_server_writes_slowly_then_is_not_cut_off_unless_it_stops(written_pieces):
    harness = virtual.run(receive_slow_value(SHORT_LENGTH, written_pieces, behind=True))
    assert harness.outcomes == [Outcome.OK if written_pieces == 20 else Outcome.TIMEOUT]
    if written_pieces == 20:
        assert harness.results[0].response.body == bytes(SHORT_LENGTH)
