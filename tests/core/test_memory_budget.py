"""The memory budget: bytes are reserved before use and always released."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, ManualClock

from flintridge.core.memory_budget import MemoryBudget


def test_reservation_when_bytes_are_awaited_then_is_granted_in_order_or_times_out():
    clock = ManualClock()
    decisions = []
    budget = MemoryBudget(100, clock)
    assert budget.try_reserve(80)
    budget.wait(60, 1000, lambda granted: decisions.append(("first", granted)))
    budget.wait(10, 500, lambda granted: decisions.append(("second", granted)))
    assert not budget.try_reserve(5) and decisions == []  # waiting reservations come first
    clock.advance(500)
    assert decisions == [("second", False)]
    budget.release(80)
    assert decisions[1:] == [("first", True)] and budget.reserved == 60
    budget.wait(101, 1000, lambda granted: decisions.append(("too much", granted)))
    assert decisions[2:] == [("too much", False)]


@FIXED
@given(st.lists(st.tuples(st.integers(0, 120), st.integers(0, 3)), max_size=40))
def test_budget_when_reservations_are_granted_cancelled_or_late_then_all_bytes_are_released(steps):
    clock = ManualClock()
    budget = MemoryBudget(100, clock)
    reserved = []
    waiting = []

    def on_decision(count):
        return lambda granted: reserved.append(count) if granted else None

    for count, step in steps:
        if step == 0:
            waiting.append(budget.wait(count, 300, on_decision(count)))
        elif step == 1 and reserved:
            budget.release(reserved.pop(0))
        elif step == 2 and waiting:
            waiting.pop(0)()
        else:
            clock.advance(100)
        assert 0 <= budget.reserved <= 100 and budget.reserved == sum(reserved)
    clock.advance(300)
    while reserved:
        budget.release(reserved.pop())
    assert budget.reserved == 0 and not budget._waiting


def test_child_budget_when_its_parent_is_used_up_then_waits_until_others_release():
    clock = ManualClock()
    parent = MemoryBudget(100, clock)
    values = MemoryBudget(80, clock, parent)
    connections = MemoryBudget(50, clock, parent)
    decisions = []
    assert connections.try_reserve(50)
    assert not connections.try_reserve(1)  # its own limit
    assert not values.try_reserve(60)  # the parent's
    values.wait(60, 1000, decisions.append)
    connections.charge(20)  # in use already: beyond the limit
    assert (parent.reserved, connections.reserved, decisions) == (70, 70, [])
    connections.release(30)
    assert decisions == [True] and parent.reserved == 100
    values.wait(101, 1000, decisions.append)
    assert decisions == [True, False]
    values.release(60)
    connections.release(40)
    assert parent.reserved == 0
