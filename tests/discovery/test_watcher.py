"""The watch on discovery, on loopback and in virtual time."""

import asyncio

import h11
import orjson
import pytest
from support.network import SETTINGS, ManualClock, ScriptedServer, log_and_counters, until
from support.node import endpoint_list, json_response

from flintridge.api import UpdateKind
from flintridge.config.address import Address
from flintridge.discovery import client as client_module
from flintridge.discovery.client import DiscoveryClient, date_header_ms
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.discovery.watcher import DiscoveryWatcher
from flintridge.lab import virtual
from flintridge.runtime.streams import TrackingReader


def response(status: int, body: bytes, headers: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n%b" % (status, headers, len(body), body)


def test_watch_when_a_call_fails_then_notifies_else_continues_from_each_response(play):
    async def test():
        clock, updates = ManualClock(), []
        responses = [
            response(200, orjson.dumps({"revision": 43, "complete": False, "members": []})),
            response(200, b'{"revision":44}'),
            response(503, b""),
            response(200, orjson.dumps({"revision": 50, "complete": True, "members": []})),
            b"",
        ]
        async with ScriptedServer(lambda _: responses.pop(0)) as peer:
            endpoints = EndpointList((), (), SETTINGS, clock)
            endpoints.apply({"revision": 41, "complete": True, "members": []})
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", peer.port), endpoints, clock, updates.append, *log_and_counters()
            )
            watcher.watch(True)
            watcher.watch(True)  # no second watch is started
            await until(lambda: len(updates) == 1)
            assert (updates[0].kind, updates[0].version) == (UpdateKind.DELTA, 43) and len(peer.received) == 1
            await until(lambda: clock.due[0][2] is not None)
            clock.advance(150)  # well before the 200 ms within which the next call must start
            await until(lambda: len(updates) == 2)
            assert b"after=43&wait_ms=" in peer.received[1] and updates[1].kind is UpdateKind.FAILED
            clock.advance(60_000)
            await asyncio.sleep(0.01)
            assert len(peer.received) == 2  # the policy decides when to poll again
            watcher.watch(True)
            await until(lambda: len(updates) == 3)
            assert updates[2].kind is UpdateKind.FAILED
            watcher.fetch()
            await until(lambda: len(updates) == 4)
            assert b"GET /api/targets HTTP" in peer.received[3] and updates[3].kind is UpdateKind.FULL
            watcher.watch(True)  # a call without a response ends too
            await until(lambda: len(peer.received) == 5)
            clock.advance(60_000)
            await until(lambda: len(updates) == 5)
            assert updates[4].kind is UpdateKind.FAILED
            await watcher.close()

    play(test)


def test_watch_when_discovery_was_replaced_at_its_address_then_fetches_the_list_of_the_new_one(play):
    """The revisions of the new process are lower: its changes are no changes to the known list."""

    async def test():
        clock, updates = ManualClock(), []
        responses = [
            response(200, orjson.dumps({"revision": 3, "complete": False, "members": []})),
            response(200, orjson.dumps({"revision": 3, "complete": True, "members": []})),
            b"",
        ]
        async with ScriptedServer(lambda _: responses.pop(0)) as peer:
            endpoints = EndpointList((), (), SETTINGS, clock)
            endpoints.apply({"revision": 41, "complete": True, "members": []})
            log, counters = log_and_counters()
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", peer.port), endpoints, clock, updates.append, log, counters
            )
            watcher.watch(True)
            await until(lambda: clock.advance(10) or updates)
            assert [(update.kind, update.version) for update in updates] == [(UpdateKind.FULL, 3)]
            assert counters["endpoint_list_revision_went_back"] == 1
            await until(lambda: clock.advance(10) or len(peer.received) == 3)
            targets = [data.split(b" ")[1].partition(b"&")[0] for data in peer.received]
            assert targets == [b"/api/targets?after=41", b"/api/targets", b"/api/targets?after=3"]
            await watcher.close()

    play(test)


def test_watch_when_moved_then_ends_the_old_call_and_starts_with_the_full_list(play):
    async def test():
        clock, updates = ManualClock(), []
        full_list = response(200, orjson.dumps({"revision": 3, "complete": True, "members": []}))
        responses = [response(503, b""), full_list, b""]
        async with ScriptedServer(lambda _: b"") as old, ScriptedServer(lambda _: responses.pop(0)) as new:
            endpoints = EndpointList((), (), SETTINGS, clock)
            endpoints.apply({"revision": 41, "complete": True, "members": []})
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", old.port), endpoints, clock, updates.append, *log_and_counters()
            )
            watcher.watch(True)
            await until(lambda: old.received)
            watcher.change_address(Address("127.0.0.1", new.port))
            watcher.watch(True)  # no second watch is started
            await until(lambda: updates)  # without any time passing
            assert [t.kind for t in updates] == [UpdateKind.FAILED]
            assert not old.writers[0].transport.is_closing()  # a response may be on its way
            watcher.watch(True)  # as the policy requests; there was no full list yet
            await until(lambda: len(updates) == 2)
            await until(lambda: old.writers[0].transport.is_closing())
            assert (updates[1].kind, updates[1].version) == (UpdateKind.FULL, 3)
            await until(lambda: clock.due[0][2] is not None)
            clock.advance(150)
            await until(lambda: len(new.received) == 3)
            targets = [call.split()[1] for call in new.received]
            assert targets[:2] == [b"/api/targets"] * 2 and targets[2].startswith(b"/api/targets?after=3&")
            assert len(old.received) == 1 and new.connections == 2
            await watcher.close()

    play(test)


@pytest.mark.parametrize("iterations", range(16))
@pytest.mark.parametrize("is_confirmed", [True, False], ids=["watch", "confirmation"])
def test_watch_when_moved_as_a_response_of_the_old_address_arrives_then_uses_the_list_of_the_new_one(
    iterations, is_confirmed
):
    async def test():
        clock, updates = ManualClock(), []
        old_change = response(200, orjson.dumps({"revision": 50, "complete": False, "members": []}))
        new_list = response(200, orjson.dumps({"revision": 3, "complete": True, "members": []}))
        old_answers = [old_change] * (2 if is_confirmed else 1) + [b""]
        new_answers = [new_list, b""]
        async with (
            ScriptedServer(lambda _: old_answers.pop(0)) as old,
            ScriptedServer(lambda _: new_answers.pop(0)) as new,
        ):
            endpoints = EndpointList((), (), SETTINGS, clock)
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", old.port), endpoints, clock, updates.append, *log_and_counters()
            )
            watcher.watch(True)
            if is_confirmed:
                await until(lambda: updates)
                await until(lambda: any(timer[2] is not None for timer in clock.due))
                clock.advance(150)
            for _ in range(iterations):
                await asyncio.sleep(0)
            watcher.change_address(Address("127.0.0.1", new.port))
            updates.clear()
            await until(lambda: any(update.version == 3 for update in updates))
            await until(lambda: any(timer[2] is not None for timer in clock.due))
            clock.advance(150)
            await until(lambda: len(new.received) == 2)
            targets = [call.split()[1] for call in new.received]
            assert targets[0] == b"/api/targets"
            assert targets[1].startswith(b"/api/targets?after=3&")
            versions = [update.version for update in updates]
            assert versions in ([3], [50, 3])  # that of the old address never replaces the new one
            await watcher.close()

    asyncio.run(test())


@pytest.mark.parametrize(("servers", "most_reads"), [(10, 2), (800, 6), (3_200, 20)])
def test_list_when_it_is_long_then_is_read_in_few_iterations(monkeypatch, servers, most_reads):
    """Guards against drains that become known late because a busy node reads 2 KiB in each iteration."""
    reads = []
    feed_data = TrackingReader.feed_data

    def counted(reader, data):
        reads.append(len(data))
        feed_data(reader, data)

    async def test():
        phases = {f"s{number}": "in_service" for number in range(servers)}
        full_list = json_response(endpoint_list(1, **phases))
        async with ScriptedServer(lambda _: full_list) as peer:
            client = DiscoveryClient(Address("127.0.0.1", peer.port), ManualClock())
            monkeypatch.setattr(client_module, "TrackingReader", CountingReader)
            received = await client.get("/api/targets")
            assert len(orjson.loads(received.body)["members"]) == servers
            client.close()

    class CountingReader(TrackingReader):
        feed_data = counted

    asyncio.run(test())
    assert len(reads) <= most_reads


def test_watch_when_discovery_ends_the_connection_between_two_calls_then_the_list_is_confirmed_first(play):
    """Guards against a drain that is known late because the call after that gets no response."""

    async def test():
        clock, updates = ManualClock(), []
        answer = response(200, orjson.dumps({"revision": 42, "complete": False, "members": []}))
        answers = [answer] * 4 + [b""]
        async with ScriptedServer(lambda _: answers.pop(0)) as peer:
            endpoints = EndpointList((), (), SETTINGS, clock)
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", peer.port), endpoints, clock, updates.append, *log_and_counters()
            )
            watcher.watch(True)
            for calls in range(1, 5):
                await until(lambda calls=calls: len(updates) == calls)
                peer.writers[-1].close()
                for _ in range(20):
                    await asyncio.sleep(0.001)
                clock.advance(150)
                await until(lambda calls=calls: len(peer.received) == calls + 1)
            waits_ms = [int(call.split(b"wait_ms=")[1].split()[0]) for call in peer.received]
            assert waits_ms == [20, 20, 4_000, 20, 4_000]
            await watcher.close()

    play(test)


DATES_MS = {
    b"Thu, 01 Jan 1970 00:00:05 GMT": 5_000.0,
    b"Thu, 01 Jan 1970 00:00:05 -0000": 5_000.0,
    b"Thu, 01 Jan 1970 02:00:05 +0200": 5_000.0,
    b"": None,
    b"soon": None,
    b"Thu, 41 Jan 1970 00:00:05 GMT": None,
    b"Thu, 01 Jan 99999 00:00:05 GMT": None,
    b"\xffThu, 01 Jan 1970 00:00:05 GMT": None,
}


@pytest.mark.parametrize(("value", "date_ms"), DATES_MS.items())
def test_date_header_when_parsed_then_is_unix_time_or_none_if_it_is_no_date(value, date_ms):
    assert date_header_ms(h11.Response(status_code=200, headers=[(b"Date", value)])) == date_ms


def test_date_header_when_missing_then_is_none():
    assert date_header_ms(h11.Response(status_code=200, headers=[])) is None


class CorrectionLog:
    """A log that remembers the corrections of the Unix origin."""

    def __init__(self) -> None:
        self.corrections: list[dict] = []

    def event(self, event: str, **fields: object) -> None:
        if event == "unix_origin_corrected":
            self.corrections.append(fields)

    def error(self, event: str, error: BaseException, **fields: object) -> None:
        raise error


def test_date_of_a_list_when_the_wall_clock_differs_then_corrects_starts_and_is_logged_once(play):
    async def test():
        clock, updates, log = ManualClock(at=10_000.0), [], CorrectionLog()
        entry = {"id": "a", "host_port": "127.0.0.1:5", "phase": "in_service", "up_since_ms": 4_000}
        text = orjson.dumps({"revision": 43, "complete": True, "members": [entry]})
        dated = response(200, text, b"Date: Thu, 01 Jan 1970 00:00:05 GMT\r\n")
        async with ScriptedServer(lambda _: dated) as peer:
            endpoints = EndpointList((), (), SETTINGS, clock)
            address = Address("127.0.0.1", peer.port)
            watcher = DiscoveryWatcher(address, endpoints, clock, updates.append, log, log_and_counters()[1])
            for calls in (1, 2):
                watcher.fetch()
                await until(lambda calls=calls: len(updates) == calls)
            # By `Date`, the Unix time at the instant 10 s is 5 s, so the server is one second old.
            assert [update.endpoints[0].started_at for update in updates] == [9_000_000_000] * 2
            assert log.corrections == [{"evidence": "date", "before_ms": 0, "after_ms": 5_500}]
            await watcher.close()

    play(test)


def test_watch_when_calls_fail_and_discovery_answers_again_then_the_log_has_the_age_of_the_list():
    async def test():
        clock, events = ManualClock(), []
        empty = response(200, orjson.dumps({"revision": 42, "complete": False, "members": []}))
        responses = [response(503, b""), response(503, b""), empty]
        async with ScriptedServer(lambda _: responses.pop(0)) as peer:
            endpoints = EndpointList((), (), SETTINGS, clock)
            log, counters = log_and_counters()
            log.event = lambda event, **fields: events.append({"event": event, **fields})
            updates = []
            watcher = DiscoveryWatcher(
                Address("127.0.0.1", peer.port), endpoints, clock, updates.append, log, counters
            )
            for calls in range(1, 4):
                clock.advance(300)
                watcher.watch(True)
                await until(lambda calls=calls: len(updates) == calls)
            first, second, recovered = events
            assert (first["event"], first["call"], first["failures"]) == (
                "endpoint_list_failed",
                "changes",
                1,
            )
            assert (second["list_age_ms"], second["failures"]) == (600, 2)
            assert (recovered["event"], recovered["list_age_ms"]) == ("endpoint_list_recovered", 900)
            assert counters.histograms()["list_age_ms"]["count"] == 1
            await watcher.close()

    virtual.run(test())
