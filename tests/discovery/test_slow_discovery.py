"""Discovery that is up but slow: a response that is late, or comes in pieces, is still accepted.

Guards against lists that never change: each call was given up after a fixed time, and its response dropped
though it was on its way; the next call met the same slowness. The tests run whole nodes in virtual time.
"""

import asyncio
from dataclasses import replace

import pytest
from support.network import SETTINGS, ManualClock, ScriptedServer, log_and_counters, until
from support.node import json_response
from support.slow_discovery import GRACE_MS, SlowDiscovery, node_beside

from flintridge.api import DiscoveryMode, EndpointState, UpdateKind
from flintridge.config.address import Address
from flintridge.discovery.call import LATE_RESPONSE_MS, LIST_TIMEOUT_MS
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.discovery.watcher import DiscoveryWatcher
from flintridge.lab import virtual

LONGEST_PAUSE_S = 0.5  # the first pause after a failed call
SLOW_FOR_S = 20.0  # how long discovery is slow before the change
CHANGE_OFFSETS_S = (0.0, 0.7, 1.3, 2.1, 2.9, 3.7)  # so that the change meets calls in different stages
KNOWN_LIMIT_S = 60.0

each_mode = pytest.mark.parametrize("mode", [DiscoveryMode.POLLED, DiscoveryMode.PUSHED])


def seconds_until_known(
    mode: DiscoveryMode, delay_s: float = 0.0, pauses_s: tuple[float, ...] = ()
) -> list[float]:
    """How long a node needs to learn of a drain at several instants while discovery is slow."""

    async def measure(offset_s: float) -> float:
        discovery = SlowDiscovery()
        async with node_beside(discovery, mode) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 1.0)
            await asyncio.sleep(5)
            discovery.delay_s = delay_s
            discovery.pauses_s = pauses_s
            await asyncio.sleep(SLOW_FOR_S + offset_s)
            discovery.change(2, s1="terminating", s2="in_service")
            return await notified.seconds_until(EndpointState.DRAINING, KNOWN_LIMIT_S)

    return [virtual.run(measure(offset_s)) for offset_s in CHANGE_OFFSETS_S]


@each_mode
@pytest.mark.parametrize("delay_s", [1.0, 2.5, 3.5, 5.0, 8.0])
def test_drain_when_each_answer_is_late_then_is_known_after_two_calls_at_most(mode, delay_s):
    known_s = seconds_until_known(mode, delay_s=delay_s)
    assert max(known_s) <= 2 * delay_s + LONGEST_PAUSE_S


@each_mode
@pytest.mark.parametrize("pauses_s", [(0.8,), (2.5,), (0.7, 0.7, 0.7), (1.0,) * 5])
def test_drain_when_answers_come_in_pieces_then_is_known_after_two_calls_at_most(mode, pauses_s):
    known_s = seconds_until_known(mode, pauses_s=pauses_s)
    assert max(known_s) <= 2 * sum(pauses_s) + LONGEST_PAUSE_S


@each_mode
@pytest.mark.parametrize("delay_s", [1.5, 2.5, 4.0])
def test_drain_when_discovery_serves_one_call_at_a_time_then_is_known_after_two_calls_at_most(mode, delay_s):
    """Guards against a node that calls more often than discovery can answer: no call was answered in time."""

    async def test() -> None:
        discovery = SlowDiscovery(serves_one_at_a_time=True)
        async with node_beside(discovery, mode) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 1.0)
            await asyncio.sleep(5)
            discovery.delay_s = delay_s
            await asyncio.sleep(60)
            calls = discovery.calls
            await asyncio.sleep(240)
            assert discovery.calls - calls <= 240 / delay_s
            discovery.change(2, s1="terminating", s2="in_service")
            known_s = await notified.seconds_until(EndpointState.DRAINING, KNOWN_LIMIT_S)
            assert known_s <= 2 * delay_s + LONGEST_PAUSE_S

    virtual.run(test())


@pytest.mark.parametrize("is_slow_still", [False, True])
def test_drain_when_discovery_was_slow_and_the_watch_breaks_then_is_known_within_the_grace(is_slow_still):
    """Guards against calls without a backup after one slow response: the next one may have none at all."""

    async def test() -> None:
        discovery = SlowDiscovery(1.9)
        async with node_beside(discovery, DiscoveryMode.PUSHED) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 2.0)
            discovery.delay_s = 0.8 if is_slow_still else 0.0
            await asyncio.sleep(8.5 if is_slow_still else 1.0)
            discovery.next_delays_s.append(3_600.0)
            discovery.reset_connections()
            discovery.change(2, s1="terminating", s2="in_service")
            assert await notified.seconds_until(EndpointState.DRAINING, 10.0) <= GRACE_MS / 1_000

    virtual.run(test())


def test_reload_when_the_old_discovery_was_slow_then_calls_to_the_new_one_have_backups():
    """Guards against a new discovery that counts as slow like the old one while its first call is silent."""

    async def test() -> None:
        old = SlowDiscovery(2.5)
        new = SlowDiscovery(3_600.0)
        await new.open()
        async with node_beside(old, DiscoveryMode.PUSHED) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 3.0)
            await asyncio.sleep(5)
            notified.node.reload(replace(notified.config, discovery=Address("127.0.0.1", new.port)))
            await asyncio.sleep(2 * GRACE_MS / 4 / 1_000)
            assert new.calls == 2
        new.close()

    virtual.run(test())


@each_mode
@pytest.mark.parametrize("delay_s", [2.5, 3.5, 5.0])
def test_reload_when_the_new_discovery_is_slow_then_its_first_answer_is_used(mode, delay_s):
    async def test() -> None:
        old = SlowDiscovery()
        new = SlowDiscovery(delay_s)
        await new.open()
        async with node_beside(old, mode) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 1.0)
            await asyncio.sleep(5)
            new.change(2, s1="terminating", s2="in_service")
            notified.node.reload(replace(notified.config, discovery=Address("127.0.0.1", new.port)))
            known_s = await notified.seconds_until(EndpointState.DRAINING, KNOWN_LIMIT_S)
            assert known_s < delay_s + 0.05
        new.close()

    virtual.run(test())


@each_mode
def test_calls_when_discovery_never_answers_then_are_not_more_than_one_late_and_one_new(mode):
    """A discovery that is crowded must not get more calls because late responses are awaited."""

    async def test() -> None:
        discovery = SlowDiscovery()
        async with node_beside(discovery, mode) as notified:
            await notified.node.start()
            await notified.seconds_until(EndpointState.READY, 1.0)
            await asyncio.sleep(5)
            discovery.delay_s = 3_600.0
            await asyncio.sleep(SLOW_FOR_S)
            calls = discovery.calls
            most_in_flight = 0
            for _ in range(600):
                await asyncio.sleep(0.1)
                most_in_flight = max(most_in_flight, discovery.calls_in_flight)
            connections = 3 if mode is DiscoveryMode.PUSHED else 2  # of each call that confirms the list
            assert most_in_flight <= 2 * connections
            # A call fails after 3 s, or 3 s after its last backup, and the next one follows after a pause.
            shortest_round_s = (LIST_TIMEOUT_MS + GRACE_MS / 4) / 1_000
            assert discovery.calls - calls <= 60 / shortest_round_s * connections

    virtual.run(test())


LIST_9 = json_response({"revision": 9, "complete": True, "members": []})
LIST_8 = json_response({"revision": 8, "complete": True, "members": []})
CHANGE_8 = json_response({"revision": 8, "complete": False, "members": []})


class WatchedDiscovery:
    """A watcher with a manual clock whose first call is overdue, and its second one in flight."""

    def __init__(self, server: ScriptedServer) -> None:
        self.server = server
        self.clock = ManualClock()
        self.updates: list = []
        self.endpoints = EndpointList((), (), SETTINGS, self.clock)
        self.endpoints.apply({"revision": 5, "complete": True, "members": []})
        self.log, self.counters = log_and_counters()
        self.watcher = DiscoveryWatcher(
            Address("127.0.0.1", server.port),
            self.endpoints,
            self.clock,
            self.updates.append,
            self.log,
            self.counters,
        )

    async def wait_until_overdue(self) -> None:
        """Send a call, and let its response become overdue."""
        self.watcher.watch(True)
        await until(lambda: len(self.server.received) == 1)
        self.clock.advance(1_500)
        await until(lambda: len(self.server.received) == 2)  # the backup of the first call
        self.clock.advance(LIST_TIMEOUT_MS)
        await until(lambda: self.updates)
        assert self.updates.pop().kind is UpdateKind.FAILED

    async def call_twice(self) -> None:
        """Let the response to a call become overdue, and send another call."""
        await self.wait_until_overdue()
        self.watcher.watch(True)
        await until(lambda: len(self.server.received) == 3)

    async def run_loop(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0.001)


def test_responses_when_the_late_one_comes_first_then_an_older_one_does_not_replace_it(play):
    """The second call was answered with an older state than the first one, and its response took longer."""

    async def test() -> None:
        async with ScriptedServer(lambda _: b"") as server:
            watched = WatchedDiscovery(server)
            await watched.call_twice()
            server.writers[0].write(LIST_9)
            await until(lambda: watched.updates)
            server.writers[2].write(CHANGE_8)
            await until(lambda: watched.counters["endpoint_list_overtaken"] == 1)
            watched.clock.advance(150)
            await until(lambda: len(server.received) == 4)
            assert b"after=9&" in server.received[3]
            assert [update.version for update in watched.updates] == [9]
            await watched.watcher.close()

    play(test)


@pytest.mark.parametrize("late", [LIST_8, CHANGE_8], ids=["list", "change"])
def test_responses_when_the_newer_call_is_answered_first_then_the_late_one_is_not_accepted(play, late):
    async def test() -> None:
        async with ScriptedServer(lambda _: b"") as server:
            watched = WatchedDiscovery(server)
            await watched.call_twice()
            server.writers[2].write(LIST_9)
            await until(lambda: watched.updates)
            server.writers[0].write(late)
            await watched.run_loop()
            assert [update.version for update in watched.updates] == [9]
            assert watched.endpoints.revision == 9
            await watched.watcher.close()

    play(test)


def test_response_when_it_comes_before_the_next_call_then_the_watch_goes_on_from_it(play):
    """The policy pauses after an overdue call; a call that was answered meanwhile needs no new one."""

    async def test() -> None:
        async with ScriptedServer(lambda _: b"") as server:
            watched = WatchedDiscovery(server)
            await watched.wait_until_overdue()
            server.writers[0].write(LIST_9)
            await until(lambda: watched.updates)
            await until(lambda: len(server.received) == 3)
            watched.watcher.watch(True)  # as the policy requests after its pause
            await watched.run_loop()
            assert len(server.received) == 3
            assert b"after=9&" in server.received[2]
            await watched.watcher.close()

    play(test)


def test_response_when_it_never_comes_then_its_call_is_ended(play):
    async def test() -> None:
        async with ScriptedServer(lambda _: b"") as server:
            watched = WatchedDiscovery(server)
            await watched.call_twice()
            watched.clock.advance(LATE_RESPONSE_MS)
            await until(lambda: server.writers[0].transport.is_closing())
            await watched.watcher.close()

    play(test)


def test_starts_when_a_late_response_does_not_report_a_server_then_it_may_have_started_since_its_call():
    """Guards against a clock that is corrected because a late response shows an older state."""
    clock = ManualClock(at=100_000.0)
    endpoints = EndpointList((), (), SETTINGS, clock)
    endpoints.apply_json(b'{"revision":1,"complete":true,"members":[]}', requested_at=92_000.0)
    started_at_unix_ms = 94_000.0 + 500.0  # 6 s before the late response arrived; see `ManualClock.from_unix`
    entry = b'{"id":"a","host_port":"127.0.0.1:5","phase":"in_service","up_since_ms":%d}' % started_at_unix_ms
    clock.advance(100)
    update = endpoints.apply_json(b'{"revision":2,"complete":false,"members":[%b]}' % entry)
    assert update.endpoints[0].started_at == 94_000_000_000
    assert endpoints.starts.correction_ms == 0
