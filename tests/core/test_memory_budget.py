"""The memory budget: reserved before use, released whatever happens."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, HandClock

from flintridge.core.memory_budget import MemoryBudget


def test_room_is_had_in_the_order_of_asking_or_not_in_time():
    clock, told = HandClock(), []
    room = MemoryBudget(100, clock)
    assert room.try_reserve(80)
    room.wait(60, 1000, lambda kept: told.append(("first", kept)))
    room.wait(10, 500, lambda kept: told.append(("second", kept)))
    assert not room.try_reserve(5) and told == []  # it does not pass by those who wait
    clock.go(500)
    assert told == [("second", False)]
    room.release(80)
    assert told[1:] == [("first", True)] and room.reserved == 60
    room.wait(101, 1000, lambda kept: told.append(("too much", kept)))
    assert told[2:] == [("too much", False)]


@FIXED
@given(st.lists(st.tuples(st.integers(0, 120), st.integers(0, 3)), max_size=40))
def test_all_room_is_given_back_whatever_happens(steps):
    clock = HandClock()
    room, held, leaving = MemoryBudget(100, clock), [], []

    def done(count):
        return lambda kept: held.append(count) if kept else None

    for count, step in steps:
        if step == 0:
            leaving.append(room.wait(count, 300, done(count)))
        elif step == 1 and held:
            room.release(held.pop(0))
        elif step == 2 and leaving:
            leaving.pop(0)()
        else:
            clock.go(100)
        assert 0 <= room.reserved <= 100 and room.reserved == sum(held)
    clock.go(300)
    while held:
        room.release(held.pop())
    assert room.reserved == 0 and not room._waiting
