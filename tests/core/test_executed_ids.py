"""Ids of requests that must not be executed twice."""

import tracemalloc

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, RecordingResponder, log_and_counters, make_request

from flintridge import api
from flintridge.core.executed_ids import (
    ID_BYTES,
    MEMORY_FRACTION,
    REMEMBERED_MS,
    BeginResult,
    ExecutedIds,
)
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.open_requests import IdInUseError
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult
from flintridge.runtime.shared_ids import SharedIds

WRITES_PER_S = 320  # the most that a node of the fleet receives


def execute(ids: ExecutedIds, request_id: str) -> None:
    """Begin a request and end it as one that may have been executed."""
    assert ids.try_begin(request_id) is BeginResult.BEGUN
    ids.end(request_id, may_have_been_executed=True)


def test_id_when_it_may_have_been_executed_then_is_remembered_for_some_time():
    clock = ManualClock()
    ids = ExecutedIds(clock)
    assert ids.try_begin("a") is BeginResult.BEGUN
    assert ids.try_begin("a") is BeginResult.IN_USE
    ids.end("a", may_have_been_executed=True)
    clock.advance(REMEMBERED_MS)
    assert ids.try_begin("a") is BeginResult.IN_USE
    clock.advance(1)
    assert ids.try_begin("a") is BeginResult.BEGUN
    ids.end("a", may_have_been_executed=False)
    assert ids.try_begin("a") is BeginResult.BEGUN


@pytest.mark.parametrize("load", [1, 3])
def test_ids_when_there_are_very_many_then_each_is_remembered_its_whole_time(load):
    """Guards against an id being forgotten early because many others came after it."""
    clock = ManualClock()
    ids = ExecutedIds(clock)
    interval_ms = 1000 / (load * WRITES_PER_S)
    count = int(REMEMBERED_MS / interval_ms)
    for number in range(3 * count):
        execute(ids, str(number))
        oldest = number - count + 1
        if oldest >= 0:
            assert ids.try_begin(str(oldest)) is BeginResult.IN_USE
        clock.advance(interval_ms)
    assert len(list(ids.remembered_digests())) <= count + 1


def test_id_when_it_could_not_be_remembered_then_does_not_begin_until_others_are_forgotten():
    clock = ManualClock()
    process_memory = MemoryBudget(int(2 * ID_BYTES / MEMORY_FRACTION), clock)
    ids = ExecutedIds(clock, process_memory)
    execute(ids, "a")
    assert ids.try_begin("open") is BeginResult.BEGUN
    assert ids.try_begin("b") is BeginResult.NO_MEMORY
    assert ids.try_begin("a") is BeginResult.IN_USE
    clock.advance(REMEMBERED_MS + 1)
    assert ids.try_begin("b") is BeginResult.BEGUN
    for request_id in ("open", "b"):
        ids.end(request_id, may_have_been_executed=False)
    assert process_memory.reserved == 0


def test_ids_when_they_are_remembered_use_no_more_memory_than_is_reserved():
    ids = ExecutedIds(ManualClock())
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(10_000):
            execute(ids, f"a-long-request-id-{number}")
        used_bytes = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert used_bytes <= ids.memory.reserved == 10_000 * ID_BYTES


def test_write_when_its_id_could_not_be_remembered_then_is_rejected_as_not_executed():
    log, counters = log_and_counters()
    policy, clock = ScriptedPolicy(), ManualClock()
    core = RequestLifecycle(policy, SETTINGS, clock, 1 << 20, log, counters, MemoryBudget(1 << 20, clock))
    core.executed_ids.memory.charge(core.executed_ids.memory.total)
    responder = RecordingResponder()
    core.submit(make_request("a", value=b"x", class_index=1), responder, reserved_bytes=0)
    assert responder.responses == [("busy", 0.0)]
    assert counters["requests_shed_for_ids"] == 1
    assert len(core.open_requests) == 0
    core.submit(make_request("b", class_index=0), RecordingResponder())  # safe to execute again
    assert len(core.open_requests) == 1


def test_id_when_another_process_has_claimed_it_then_does_not_begin(tmp_path):
    log, _ = log_and_counters()
    clock = ManualClock()
    processes = [ExecutedIds(clock), ExecutedIds(clock)]
    for ids in processes:
        ids.claims = SharedIds(str(tmp_path / "node"), log)
        ids.claims.open()
    first, second = processes
    assert first.try_begin("a") is BeginResult.BEGUN
    assert second.try_begin("a") is BeginResult.IN_USE
    first.end("a", may_have_been_executed=True)
    assert second.try_begin("a") is BeginResult.IN_USE
    clock.advance(REMEMBERED_MS + 1)
    assert second.try_begin("b") is BeginResult.BEGUN  # does not wait for the first process
    assert first.try_begin("c") is BeginResult.BEGUN
    assert second.try_begin("a") is BeginResult.BEGUN
    second.claims.remove(second.claims.give_up_all())
    assert list((tmp_path / "node-ids").iterdir()) == []


@pytest.mark.parametrize("outcome", [api.Outcome.OK, api.Outcome.CANCELLED, api.Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [0, 1])
@pytest.mark.parametrize("value", [b"x", None], ids=["write", "read"])
def test_request_when_its_client_left_and_its_id_comes_again_then_is_executed_once(
    outcome, class_index, value
):
    log, counters = log_and_counters()
    policy = ScriptedPolicy()
    core = RequestLifecycle(policy, SETTINGS, ManualClock(), 1 << 20, log, counters)
    request = make_request("a", value=value, class_index=class_index)
    core.submit(request, RecordingResponder())
    entry = core.open_requests.get("a")
    attempt = UpstreamAttempt("a", 0, "s1", request, 0.0, 1.0)
    entry.add_attempt(attempt)
    core.client_disconnected("a")
    core.attempt_ended(attempt, AttemptResult(outcome))
    assert len(core.open_requests) == 0
    is_safe = SETTINGS.classes[class_index].effect is api.Effect.SAFE
    if is_safe or outcome is api.Outcome.CONNECT_FAILED:
        core.submit(request, RecordingResponder())
    else:
        with pytest.raises(IdInUseError):
            core.submit(request, RecordingResponder())
