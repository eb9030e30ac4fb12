"""Virtual time: the order of timers, times that are rounded or invalid, and deadlocks."""

import asyncio

import pytest

from flintridge.lab.virtual import DeadlockError, run


def test_time_when_timers_are_set_then_jumps_and_equal_times_keep_their_order():
    async def main():
        loop = asyncio.get_running_loop()
        seen = []
        at_s = loop.time() + 3600
        for i in range(5):
            loop.call_at(at_s, seen.append, i)
        loop.call_later(1, seen.append, "early")
        await asyncio.sleep(3600)
        timers = [loop.call_later(900, seen.append, None) for _ in range(10_000)]
        for timer in timers[1:]:
            timer.cancel()
        assert len(loop._scheduled) < 200  # cancelled timers do not accumulate
        late = loop.call_later(-1, seen.append, "due")
        while "due" not in seen:  # passes without a step of time do not delay a due timer
            await asyncio.sleep(0)
        late.cancel()
        return loop.time(), seen

    time_s, seen = run(main(), start_s=50.0)
    assert time_s == pytest.approx(3650)
    assert seen == ["early", 0, 1, 2, 3, 4, "due"]


def test_time_when_rounding_puts_a_timer_just_ahead_of_now_then_reaches_it():
    """Guards against a livelock in code that waits until a time in milliseconds, as nodes do."""

    async def main():
        loop = asyncio.get_running_loop()
        for i in range(2000):
            at_ms = loop.time() * 1000 + i / 7
            while loop.time() * 1000 < at_ms:
                reached = loop.create_future()
                loop.call_at(at_ms / 1000, reached.set_result, None)
                await reached

    run(main(), max_handles_at_once=1000)


def test_timer_when_its_time_is_nan_then_raises():
    async def main():
        with pytest.raises(ValueError, match="NaN"):
            asyncio.get_running_loop().call_at(float("nan"), print)

    run(main())


def test_loop_when_nothing_can_run_then_the_error_names_the_waiting_tasks():
    async def waits():
        await asyncio.get_running_loop().create_future()

    async def main():
        network = asyncio.get_running_loop().network
        network.host("a").run(waits())
        network.host("b").run(asyncio.sleep(1))
        await network.host("b").run(waits())

    with pytest.raises(DeadlockError, match=r"lab: task .*main, a: task .*waits, b: task .*waits$"):
        run(main())
