"""What the log says of an attempt that its server did not complete."""

import asyncio

import pytest
from support.long_values import ANSWER, LENGTH, VALUE
from support.network import RecordedStream, ScriptedServer, until
from support.upstream import UpstreamHarness

from flintridge.api import Outcome
from flintridge.lab import virtual
from flintridge.upstream.long_value_delivery import SERVER_STALL_MS


class LoggingHarness(UpstreamHarness):
    """An upstream harness that records the events of its dispatcher and streams long values to `streamed`."""

    def __init__(self, port: int, monkeypatch) -> None:
        super().__init__(port, start_stream=lambda *_: self.streamed)
        self.streamed = RecordedStream(LENGTH)
        self.events: list[dict] = []
        record = lambda event, **fields: self.events.append({"event": event, **fields})  # noqa: E731
        monkeypatch.setattr(self.dispatcher._log, "event", record)


def test_value_when_it_breaks_after_a_part_was_forwarded_then_the_log_has_how_far_it_got(monkeypatch):
    async def test():
        async with ScriptedServer(lambda _: ANSWER[:9_000]) as server:
            harness = LoggingHarness(server.port, monkeypatch)
            await harness.start()
            await asyncio.sleep(0.05)
            harness.clock.advance(20)
            await until(lambda: harness.streamed.pieces)
            harness.clock.advance(SERVER_STALL_MS)
            await until(lambda: harness.streamed.ended)
            (event,) = harness.events
            received = 9_000 - len(b"VA %d Oa1 h1\r\n" % LENGTH)
            assert (event["event"], event["server"], event["id"]) == ("stream_broken", "s1", "a1")
            assert (event["length"], event["received"], event["forwarded"]) == (LENGTH, received, received)
            assert event["silent_ms"] >= SERVER_STALL_MS
            await harness.dispatcher.close()

    virtual.run(test())


def test_value_when_it_is_given_up_before_its_response_then_the_log_has_how_far_it_got(monkeypatch):
    async def test():
        async with ScriptedServer(lambda _: b"VA 9000 Oa1\r\n" + VALUE[:5_000]) as server:
            harness = LoggingHarness(server.port, monkeypatch)
            await harness.start()
            await asyncio.sleep(0.05)
            harness.clock.advance(401)
            await until(lambda: harness.results)
            (event,) = harness.events
            assert (event["event"], event["length"]) == ("value_abandoned", 9_000)
            assert (event["received"], event["forwarded"]) == (5_000, 0)
            assert harness.counters["values_abandoned"] == 1
            await harness.dispatcher.close()

    virtual.run(test())


def test_request_when_its_server_does_not_read_it_then_the_log_has_the_unwritten_bytes(monkeypatch):
    async def test():
        ended = asyncio.Event()
        listener = await asyncio.start_server(lambda *_: ended.wait(), "127.0.0.1", 0)
        harness = LoggingHarness(listener.sockets[0].getsockname()[1], monkeypatch)
        await harness.start(value=bytes(4 << 20))
        await asyncio.sleep(0.05)
        harness.clock.advance(401)
        await until(lambda: harness.results)
        (event,) = harness.events
        assert (event["event"], event["id"]) == ("request_not_read", "a1")
        assert 0 < event["unwritten"] < 4 << 20
        (result,) = harness.results
        assert (result.outcome, result.partly_written) == (Outcome.CONNECT_FAILED, True)
        await harness.dispatcher.close()
        ended.set()
        listener.close()

    virtual.run(test())


@pytest.mark.parametrize(
    ("limit", "reason"), [("begin_by", "drain_grace"), ("written_by", "deduplication_window")]
)
def test_attempt_when_it_is_not_written_then_the_log_has_the_reason(monkeypatch, limit, reason):
    async def test():
        async with ScriptedServer(lambda _: b"") as server:
            harness = LoggingHarness(server.port, monkeypatch)
            await harness.start(**{limit: -1})
            await until(lambda: harness.results)
            (event,) = harness.events
            assert (event["event"], event["server"], event["id"]) == ("attempt_withdrawn", "s1", "a1")
            assert event["reason"] == reason
            assert harness.counters[f"attempts_withdrawn_{reason}"] == 1
            await harness.dispatcher.close()

    virtual.run(test())
