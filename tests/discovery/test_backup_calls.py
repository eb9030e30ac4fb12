"""Calls to discovery that are sent again on another connection while they have no response."""

import asyncio

import pytest
from support.network import ManualClock, ScriptedServer, log_and_counters
from support.node import endpoint_list, json_response

from flintridge import api
from flintridge.config.address import Address
from flintridge.discovery.backup_calls import BackedUpCaller
from flintridge.discovery.call import CallTimes, DiscoveryCall
from flintridge.discovery.client import DiscoveryClient
from flintridge.discovery.list_freshness import ListFreshness
from flintridge.lab import virtual
from flintridge.runtime.clock import NS_PER_MS, DeadlineExceededError, SystemClock

LIST = json_response(endpoint_list(1, s1="in_service"))
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
CALL = DiscoveryCall("/api/targets", 3_000.0, 3_000.0, backup_delays_ms=(200.0, 400.0))


async def call_discovery(answers: list, call: DiscoveryCall = CALL, late: bytes | None = None):
    """Call a discovery that gives these answers; returns the response, the time in ms, and the server.

    With `late`, the first connection gets this answer 1 s after the call.
    """
    loop = asyncio.get_running_loop()
    clock = SystemClock(loop)
    counters = log_and_counters()[1]
    async with ScriptedServer(lambda _: answers.pop(0)) as server:
        address = Address("127.0.0.1", server.port)
        caller = BackedUpCaller(lambda: DiscoveryClient(address, clock), clock, counters)
        if late is not None:
            loop.call_later(1.0, lambda: server.writers[0].write(late))
        responses: list = []
        started_at = clock.now()
        try:
            await caller.get(call, responses.append)
            (response,) = responses
            return response, clock.now() - started_at, server
        except (ValueError, DeadlineExceededError) as error:
            return error, clock.now() - started_at, server


@pytest.mark.parametrize(
    ("answers", "taken_ms", "calls"),
    [
        ([LIST], 0, 1),
        ([b"", LIST], 200, 2),
        ([b"", b"", LIST], 600, 3),
        ([b"", BUSY, LIST], 600, 3),
        ([b"", "rst", LIST], 600, 3),
    ],
)
def test_call_when_it_has_no_response_is_sent_again_on_another_connection(answers, taken_ms, calls):
    async def test():
        response, ms, server = await call_discovery(answers)
        assert b"in_service" in response.body
        assert taken_ms <= ms < taken_ms + 50
        assert (len(server.received), server.connections) == (calls, calls)

    virtual.run(test())


def test_call_when_its_response_comes_late_is_not_given_up_for_its_backup():
    async def test():
        response, ms, server = await call_discovery([b"", b"", b""], late=LIST)
        assert b"in_service" in response.body
        assert 1_000 <= ms < 1_050
        assert server.connections == 3

    virtual.run(test())


@pytest.mark.parametrize(
    ("answers", "error", "taken_ms"),
    [
        ([BUSY], "discovery answered with status 503", 0),
        ([b"", b"", b""], "", 3_600),
        ([b"", b"", BUSY], "", 3_200),
    ],
)
def test_call_when_all_fail_then_fails_with_the_last_error(answers, error, taken_ms):
    async def test():
        failure, ms, _ = await call_discovery(answers)
        assert error in str(failure)
        assert taken_ms <= ms < taken_ms + 50

    virtual.run(test())


def test_call_when_a_backup_answers_then_its_connection_is_used_further():
    async def test():
        clock = SystemClock(asyncio.get_running_loop())
        answers = [b"", LIST, LIST]
        async with ScriptedServer(lambda _: answers.pop(0)) as server:
            address = Address("127.0.0.1", server.port)
            caller = BackedUpCaller(lambda: DiscoveryClient(address, clock), clock, log_and_counters()[1])
            await caller.get(CALL, lambda _: None)
            await caller.get(CALL, lambda _: None)
            assert server.connections == 2
            await asyncio.sleep(0.01)
            assert [writer.transport.is_closing() for writer in server.writers] == [True, False]
            caller.close()

    virtual.run(test())


def test_call_when_cancelled_then_leaves_no_call_in_flight():
    async def test():
        clock = SystemClock(asyncio.get_running_loop())
        async with ScriptedServer(lambda _: b"") as server:
            address = Address("127.0.0.1", server.port)
            caller = BackedUpCaller(lambda: DiscoveryClient(address, clock), clock, log_and_counters()[1])
            calling = asyncio.create_task(caller.get(CALL, lambda _: None))
            await asyncio.sleep(0.3)
            calling.cancel()
            await asyncio.gather(calling, return_exceptions=True)
            caller.close()
            await asyncio.sleep(0.01)
            assert all(writer.transport.is_closing() for writer in server.writers)
            assert len(asyncio.all_tasks()) == 1

    virtual.run(test())


@pytest.mark.parametrize("mode", list(api.DiscoveryMode))
@pytest.mark.parametrize("grace_ms", [500, 1_000, 2_000, 10_000])
def test_times_when_one_call_after_a_failure_has_no_response_then_the_list_is_renewed_within_the_grace(
    mode, grace_ms
):
    rules = api.Rules(drain_grace_ns=grace_ms * NS_PER_MS)
    times = CallTimes.of(api.Settings(rules=rules, discovery=mode))
    confirmation = times.confirmation(1)
    first_backup_ms = confirmation.backup_delays_ms[0]
    if mode is api.DiscoveryMode.PUSHED:
        assert first_backup_ms <= grace_ms / 4
        assert times.full_list().backup_delays_ms == confirmation.backup_delays_ms
    else:
        pause_ms = 500
        assert times.watch(1).first_byte_ms + pause_ms + first_backup_ms <= max(6_000, 5_000 + grace_ms)
        assert times.full_list().backup_delays_ms == ()


def test_times_without_a_grace_then_calls_are_not_all_sent_at_once():
    times = CallTimes.of(api.Settings(discovery=api.DiscoveryMode.PUSHED, rules=api.Rules(drain_grace_ns=0)))
    assert times.full_list().backup_delays_ms == (50.0, 100.0)


@pytest.mark.parametrize("mode", list(api.DiscoveryMode))
def test_call_when_its_response_stops_within_the_list_then_fails_soon(mode):
    """Guards against a drain that is known late because the connection fell silent within its response."""

    async def test():
        rules = api.Rules(drain_grace_ns=2_000 * NS_PER_MS)
        times = CallTimes.of(api.Settings(rules=rules, discovery=mode))
        failure, ms, _ = await call_discovery([LIST[:-10]], times.watch(1))
        assert isinstance(failure, DeadlineExceededError)
        stall_ms = 500 if mode is api.DiscoveryMode.PUSHED else 1_000
        assert stall_ms <= ms < stall_ms + 50

    virtual.run(test())


@pytest.mark.parametrize(
    ("service_ms", "overdue_ms", "has_backups"),
    [
        (0.0, 3_000, True),
        (1_400.0, 3_000, True),
        (1_500.0, 3_000, False),
        (2_000.0, 4_000, False),
        (9_000.0, 5_000, False),
    ],
)
def test_call_when_discovery_is_slow_then_is_awaited_for_longer_and_has_no_backups(
    service_ms, overdue_ms, has_backups
):
    rules = api.Rules(drain_grace_ns=2_000 * NS_PER_MS)
    times = CallTimes.of(api.Settings(rules=rules, discovery=api.DiscoveryMode.PUSHED))
    for call in (times.confirmation(1), times.full_list()):
        adapted = call.adapted_to(service_ms)
        assert (adapted.first_byte_ms, adapted.response_ms) == (overdue_ms, overdue_ms)
        assert bool(adapted.backup_delays_ms) is has_backups


@pytest.mark.parametrize(
    ("service_ms", "overdue_ms"), [(0.0, 3_000), (500.0, 3_000), (1_200.0, 4_400), (9_000.0, 5_000)]
)
def test_watch_call_when_discovery_is_slow_then_its_silence_is_still_detected_within_6_s(
    service_ms, overdue_ms
):
    rules = api.Rules(drain_grace_ns=2_000 * NS_PER_MS)
    watch = CallTimes.of(api.Settings(rules=rules)).watch(1).adapted_to(service_ms)
    assert watch.first_byte_ms == overdue_ms
    assert watch.response_ms == max(4_000, overdue_ms)


@pytest.mark.parametrize(
    ("responses_ms", "service_ms"),
    [
        ([(2_600.0, 2_000.0), (620.0, 20.0)], 600.0),
        ([(620.0, 20.0), (2_700.0, 2_000.0)], 600.0),
        ([(620.0, 20.0), (1_900.0, 2_000.0), (620.0, 20.0)], 600.0),
        ([(1_900.0, 20.0)], 0.0),
        ([(1_900.0, 20.0), (2_010.0, 2_000.0)], 10.0),
        ([(1_900.0, 20.0), (1_900.0, 20.0), (2_010.0, 2_000.0)], 10.0),
    ],
    ids=["slow", "slow watch", "early change", "one response", "quick again", "quick after two slow ones"],
)
def test_service_time_is_that_of_two_responses_in_a_row(responses_ms, service_ms):
    freshness = ListFreshness(ManualClock())
    for response_ms, wait_ms in responses_ms:
        freshness.record_service_time(response_ms, wait_ms)
    assert freshness.service_ms == service_ms
