"""Code that runs without end is stopped: at one virtual time, or beyond a limit of real time."""

import asyncio
import signal
import threading

import pytest

from flintridge.lab.virtual import LivelockError, run
from flintridge.lab.virtual.handles import NetworkEvent
from flintridge.lab.virtual.livelock import LivelockDetector


async def loops_by_callbacks():
    loop = asyncio.get_running_loop()

    def again():
        loop.call_soon(again)

    again()
    await asyncio.sleep(1)


async def loops_by_sleeps_of_0_s():
    while True:
        await asyncio.sleep(0)


async def loops_by_timers_of_1e_13_s():
    while True:
        await asyncio.wait([asyncio.ensure_future(asyncio.sleep(1e-13))])


@pytest.mark.parametrize("code", [loops_by_callbacks, loops_by_sleeps_of_0_s, loops_by_timers_of_1e_13_s])
def test_loop_when_handles_run_without_end_at_one_time_then_names_the_host(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    with pytest.raises(LivelockError, match=r"^bad: 5000 handles .* bad: ") as caught:
        run(main(), max_handles_at_once=5000)
    assert caught.value.host == "bad"


async def blocks():
    while True:
        pass


async def blocks_and_suppresses_errors():
    while True:
        try:
            await blocks()
        except Exception:
            continue
        except BaseException:
            while True:
                pass


async def loops_in_virtual_time():
    while True:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("code", [blocks, blocks_and_suppresses_errors, loops_in_virtual_time])
def test_loop_when_the_wall_limit_is_exceeded_then_stops_any_code(code):
    async def main():
        await asyncio.get_running_loop().network.host("bad").run(code())

    before = signal.getsignal(signal.SIGALRM)
    with pytest.raises(LivelockError, match=r"^(bad|lab): the limit of real time"):
        run(main(), wall_limit_s=0.1)
    assert signal.getsignal(signal.SIGALRM) is before
    assert signal.getitimer(signal.ITIMER_REAL)[0] == 0


def test_loop_when_the_wall_limit_is_exceeded_in_another_thread_then_stops_between_handles():
    hosts = []

    def play():
        try:
            run(loops_in_virtual_time(), wall_limit_s=0.05)
        except LivelockError as error:
            hosts.append(error.host)

    thread = threading.Thread(target=play)
    thread.start()
    thread.join(30)
    assert hosts == ["lab"]


def test_detector_when_time_advances_by_less_than_a_step_then_keeps_counting():
    detector = LivelockDetector(max_handles=20, start_s=1.0)
    detector.handles += 12
    assert detector.handles == detector.note_threshold
    detector.time_advanced(1.0 + 1e-9)
    detector.handles += 1
    assert detector.handles > detector.note_threshold
    detector.time_advanced(1.1)
    assert detector.handles == 0


def test_detector_when_a_handle_exceeds_the_limit_then_raises_and_stores_the_error():
    detector = LivelockDetector(max_handles=1, start_s=1.0)
    handle = NetworkEvent(print, (), None)
    detector.handles += 1
    detector.note(handle, "a")
    detector.handles += 1
    with pytest.raises(LivelockError, match=r"^b: 1 handles ran .*: a: print, b: print$"):
        detector.note(handle, "b")
    assert detector.error is not None


def test_detector_when_the_wall_limit_is_exceeded_between_handles_then_only_stores_the_error():
    detector = LivelockDetector(max_handles=1, start_s=1.0)
    detector.wall_limit_exceeded(None, None, None)
    assert str(detector.error) == "lab: the limit of real time is exceeded: between handles"
