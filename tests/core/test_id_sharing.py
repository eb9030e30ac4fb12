"""Sharing of request ids between the processes of a node, on files in a common folder."""

import asyncio
from types import SimpleNamespace

import pytest
from support.network import ManualClock, log_and_counters

from flintridge.core.executed_ids import ID_BYTES, REMEMBERED_MS, BeginResult, ExecutedIds
from flintridge.core.id_sharing import REMOVED_AT_ONCE, IdSharing
from flintridge.lab import virtual

MANY = 10_000


class Process:
    """The ids of a process and their sharing; the test sets how many processes run."""

    def __init__(self, tmp_path, clock) -> None:
        self.folder = tmp_path / "node-ids"
        self.ids = ExecutedIds(clock)
        self.processes = SimpleNamespace(count=1, folder=str(tmp_path / "node"))
        self.sharing = IdSharing(self.processes, self.ids, clock, log_and_counters()[0])

    def count_changed(self, count: int) -> None:
        self.processes.count = count
        self.sharing.process_count_changed(count)

    def execute(self, request_id: str) -> None:
        assert self.ids.try_begin(request_id) is BeginResult.BEGUN
        self.ids.end(request_id, may_have_been_executed=True)

    def may_begin(self, request_id: str) -> bool:
        return self.ids.try_begin(request_id) is BeginResult.BEGUN


def start_second(first: Process, second: Process, clock: ManualClock) -> None:
    """Let the second process start beside the first, up to when it listens."""

    async def wait() -> None:
        waiting = asyncio.ensure_future(second.sharing.wait_for_others())
        await asyncio.sleep(0)
        first.count_changed(2)
        clock.advance(300)
        await waiting

    second.count_changed(2)
    virtual.run(wait())


def test_ids_when_a_process_starts_beside_another_then_are_remembered_by_both(tmp_path):
    clock = ManualClock()
    first, second = Process(tmp_path, clock), Process(tmp_path, clock)
    for number in range(MANY):
        first.execute(f"earlier-{number}")
    assert first.may_begin("open")
    start_second(first, second, clock)
    assert not any(second.may_begin(f"earlier-{number}") for number in (0, 1, MANY - 1))
    assert not second.may_begin("open")
    second.execute("new")
    assert not first.may_begin("new")
    assert len(list(second.folder.iterdir())) < 10  # not a file for each id that was remembered
    clock.advance(5_000)
    first.ids.end("open", may_have_been_executed=True)
    clock.advance(REMEMBERED_MS - 300)
    assert not second.may_begin("open")  # it ended later than the others
    assert second.may_begin("earlier-0")
    clock.advance(301)
    assert first.may_begin("another")  # by now the first process forgets what it remembered
    assert second.may_begin("open")
    assert first.ids.memory.reserved == ID_BYTES
    assert second.ids.memory.reserved == 2 * ID_BYTES


@pytest.mark.parametrize("again", [False, True], ids=["one ends", "another starts and ends"])
def test_id_when_its_process_has_ended_then_is_remembered_by_the_other(tmp_path, again):
    """Guards against claims being removed by the timer of an earlier process's end."""
    clock = ManualClock()
    first = Process(tmp_path, clock)
    for start in range(2 if again else 1):
        other = Process(tmp_path, clock)
        start_second(first, other, clock)
        other.execute(f"executed-{start}")
        other.sharing.close()
        first.count_changed(1)
        clock.advance(REMEMBERED_MS - 1_000)
        assert not first.may_begin(f"executed-{start}")
    clock.advance(1_001)
    assert first.may_begin("executed-0")


def test_files_when_no_other_process_runs_are_removed_in_batches(tmp_path):
    clock = ManualClock()
    first, second = Process(tmp_path, clock), Process(tmp_path, clock)
    start_second(first, second, clock)
    for number in range(2 * REMOVED_AT_ONCE):
        second.execute(f"claimed-{number}")
    files = len(list(first.folder.iterdir()))
    second.sharing.close()
    first.count_changed(1)
    clock.advance(REMEMBERED_MS)
    assert len(list(first.folder.iterdir())) == files - REMOVED_AT_ONCE
    clock.advance(1_000)
    assert list(first.folder.iterdir()) == []


def test_claims_when_a_process_starts_during_their_removal_then_stay(tmp_path):
    """Guards against the claim on an open request being removed with those of processes that have ended."""
    clock = ManualClock()
    first, second = Process(tmp_path, clock), Process(tmp_path, clock)
    start_second(first, second, clock)
    for number in range(2 * REMOVED_AT_ONCE):
        second.execute(f"claimed-{number}")
    assert first.may_begin("open")
    second.sharing.close()
    first.count_changed(1)
    clock.advance(REMEMBERED_MS)
    third = Process(tmp_path, clock)
    start_second(first, third, clock)
    clock.advance(1_000)
    assert not third.may_begin("open")
