"""Code that never rests is ended: without time advancing, or beyond a limit of real time."""

import asyncio
import signal
import threading

import pytest

from flintridge.lab.virtual import LivelockError, run
from flintridge.lab.virtual.handles import NetworkEvent
from flintridge.lab.virtual.livelock import LivelockDetector


async def spins_by_callbacks():
    loop = asyncio.get_running_loop()

    def again():
        loop.call_soon(again)

    again()
    await asyncio.sleep(1)


async def spins_by_sleeps_of_no_time():
    while True:
        await asyncio.sleep(0)


async def spins_by_timers_of_no_time():
    while True:
        await asyncio.wait([asyncio.ensure_future(asyncio.sleep(1e-13))])


@pytest.mark.parametrize("code", [spins_by_callbacks, spins_by_sleeps_of_no_time, spins_by_timers_of_no_time])
def test_loop_when_handles_run_on_while_time_stands_still_then_names_the_host(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    with pytest.raises(LivelockError, match=r"^bad: 5000 handles .* bad: ") as caught:
        run(main(), max_handles_at_once=5000)
    assert caught.value.host == "bad"


async def burns():
    while True:
        pass


async def burns_and_survives_what_is_raised():
    while True:
        try:
            await burns()
        except Exception:
            continue
        except BaseException:
            while True:
                pass


async def spins_in_time():
    while True:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("code", [burns, burns_and_survives_what_is_raised, spins_in_time])
def test_loop_when_real_time_is_over_then_no_code_outlives_it(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    before = signal.getsignal(signal.SIGALRM)
    with pytest.raises(LivelockError, match=r"^(bad|lab): the limit of real time"):
        run(main(), wall_limit_s=0.1)
    assert signal.getsignal(signal.SIGALRM) is before
    assert signal.getitimer(signal.ITIMER_REAL)[0] == 0


def test_loop_when_real_time_is_over_in_another_thread_then_ends_between_handles():
    hosts = []

    def play():
        try:
            run(spins_in_time(), wall_limit_s=0.05)
        except LivelockError as error:
            hosts.append(error.host)

    thread = threading.Thread(target=play)
    thread.start()
    thread.join(30)
    assert hosts == ["lab"]


def test_detector_when_time_advances_by_less_than_a_step_then_still_counts():
    detector = LivelockDetector(max_handles=20, start_s=1.0)
    detector.handles += 12
    assert detector.handles == detector.noted_from
    detector.time_advanced(1.0 + 1e-9)
    detector.handles += 1
    assert detector.handles > detector.noted_from
    detector.time_advanced(1.1)
    assert detector.handles == 0


def test_detector_when_a_handle_is_one_too_many_then_raises_and_keeps_the_error():
    detector = LivelockDetector(max_handles=1, start_s=1.0)
    handle = NetworkEvent(print, (), None)
    detector.handles += 1
    detector.note(handle, "a")
    detector.handles += 1
    with pytest.raises(LivelockError, match=r"^b: 1 handles ran .*: a: print, b: print$"):
        detector.note(handle, "b")
    assert detector.error is not None


def test_detector_when_real_time_is_over_between_handles_then_only_keeps_the_error():
    detector = LivelockDetector(max_handles=1, start_s=1.0)
    detector.wall_limit_exceeded(None, None, None)
    assert str(detector.error) == "lab: the limit of real time is over: between handles"
