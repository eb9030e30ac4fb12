"""Processes: which handles are suspended while they are halted, and the order in which they resume."""

import asyncio
from contextvars import Context

import pytest

from flintridge.lab.virtual.handles import VirtualHandle, VirtualTimer
from flintridge.lab.virtual.machine import Machine
from flintridge.lab.virtual.process import CURRENT_PROCESS, Process


class ManualScheduler:
    """A scheduler whose time is set by the test and that records events and handles."""

    def __init__(self, now_s: float = 1000.0) -> None:
        self.now_s = now_s
        self.events: list = []
        self.requeued: list = []

    def time(self) -> float:
        return self.now_s

    def schedule_network_event(self, when_s, callback, *args) -> None:
        self.events.append((when_s, callback, args))

    def requeue(self, handles) -> None:
        self.requeued.extend(handles)

    def run_events(self) -> None:
        for when_s, callback, args in self.events:
            self.now_s = when_s
            callback(*args)


@pytest.fixture
def process():
    return Process(Machine("a"))


def test_process_when_created_then_its_context_refers_to_it(process):
    assert process.context[CURRENT_PROCESS] is process


def test_process_when_a_stall_ends_then_timers_run_after_arrivals(process):
    scheduler = ManualScheduler()
    process.stall(scheduler, 1000.5)
    assert process.halted
    timer = VirtualTimer(1000.2, print, (), None, Context())
    arrival = VirtualHandle(print, (), None, Context())
    process.suspended_handles.extend([timer, arrival])
    scheduler.run_events()
    assert scheduler.requeued == [arrival, timer]
    assert not process.halted


def test_process_when_paused_during_a_stall_then_its_end_resumes_nothing(process):
    scheduler = ManualScheduler()
    process.stall(scheduler, 1000.5)
    process.paused = True
    process.suspended_handles.append("handle")
    scheduler.run_events()
    assert process.halted
    process.paused = False
    process.resume_handles(scheduler)
    assert scheduler.requeued == ["handle"]


def test_process_when_a_stall_was_extended_then_its_first_end_resumes_nothing(process):
    scheduler = ManualScheduler()
    process.stall(scheduler, 1000.5)
    scheduler.now_s = 1000.1
    process.stall(scheduler, 1000.9)
    _, first_end, args = scheduler.events[0]
    scheduler.now_s = 1000.5
    first_end(*args)
    assert process.halted


def test_process_when_just_stalled_then_data_may_have_arrived_since_the_start_of_the_stall(process):
    scheduler = ManualScheduler()
    process.stall(scheduler, 1000.5)
    scheduler.now_s = 1000.5
    assert process.earliest_arrival_s(scheduler) == 1000.0
    scheduler.now_s = 1000.6
    assert process.earliest_arrival_s(scheduler) == 1000.6


@pytest.mark.parametrize(("unaccepted", "full"), [(0, True), (1, False)])
def test_process_when_connections_wait_to_be_accepted_then_they_use_no_descriptor(process, unaccepted, full):
    process.host.max_connections = 2
    process.connections.update({"first": None, "second": None})
    process.unaccepted = unaccepted
    assert process.out_of_descriptors is full


def test_process_when_it_ends_then_its_tasks_are_closed_only_on_demand(process):
    closed = []

    async def wait():
        try:
            await asyncio.get_running_loop().create_future()
        finally:
            closed.append(True)

    async def main():
        task = asyncio.ensure_future(wait())
        process.adopt(task)
        await asyncio.sleep(0)
        assert process.pending() == [task]
        process.end()
        assert process.pending() == []
        assert closed == []
        process.close_abandoned_tasks()
        assert closed == [True]

    asyncio.run(main())
