"""The clock: tracking of the arrival of input, timeouts, and steps of the wall clock."""

import asyncio
from types import SimpleNamespace

import pytest
from support.network import ManualClock

from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import (
    ArrivalTrackingSelector,
    DeadlineExceededError,
    SystemClock,
    with_timeout,
)


def test_earliest_arrival_when_select_returned_without_waiting_then_is_the_previous_select(monkeypatch):
    times_s = iter([1.0, *(2.0, 2.0), *(2.3, 2.3), *(2.3, 2.9), *(3.2, 3.2)])
    monkeypatch.setattr("flintridge.runtime.clock.time.monotonic", lambda: next(times_s))
    selector = ArrivalTrackingSelector()
    earliest = []
    for _ in range(4):  # returns immediately, immediately, after a wait, and immediately again
        selector.select(0)
        earliest.append(selector.earliest_arrival_s)
    assert earliest == [1.0, 2.0, 2.9, 2.9]
    selector.close()


def test_with_timeout_when_the_awaitable_completes_in_time_then_returns_its_result():
    clock = ManualClock()

    async def respond() -> str:
        await asyncio.sleep(0)
        return "done"

    assert asyncio.run(with_timeout(clock, 10.0, respond())) == "done"
    assert [call for _, _, call, _ in clock.due] == [None]  # the timer is cancelled


def test_with_timeout_when_the_timeout_expires_first_then_raises_an_error_other_than_oserror():
    async def test():
        clock = ManualClock()
        waiting = asyncio.ensure_future(with_timeout(clock, 10.0, asyncio.Event().wait()))
        await asyncio.sleep(0)
        clock.advance(9.0)
        await asyncio.sleep(0)
        assert not waiting.done()
        clock.advance(1.0)
        with pytest.raises(DeadlineExceededError) as raised:
            await waiting
        assert isinstance(raised.value, FlintridgeError)
        assert not isinstance(raised.value, OSError)

    asyncio.run(test())


def test_with_timeout_when_its_task_is_also_cancelled_then_raises_the_cancellation():
    async def test():
        clock = ManualClock()
        waiting = asyncio.ensure_future(with_timeout(clock, 10.0, asyncio.Event().wait()))
        await asyncio.sleep(0)
        clock.advance(10.0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    asyncio.run(test())


@pytest.mark.parametrize("step_s", [-3_600.0, -5.0, 5.0, 3_600.0])
def test_system_clock_when_the_wall_clock_is_stepped_then_keeps_its_time_and_conversions(monkeypatch, step_s):
    times_s = {"wall": 1_700_000_000.0, "loop": 50.0}
    monkeypatch.setattr("flintridge.runtime.clock.time.time", lambda: times_s["wall"])
    clock = SystemClock(SimpleNamespace(time=lambda: times_s["loop"]))
    instant = clock.from_unix(1_699_999_999_000.0)
    assert instant == 49_000.0
    times_s["wall"] += step_s
    times_s["loop"] += 10.0
    assert (clock.now(), clock.from_unix(1_699_999_999_000.0)) == (60_000.0, instant)
