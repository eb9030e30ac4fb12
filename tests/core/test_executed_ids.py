"""Ids of requests that must not be executed twice."""

import pytest
from support.core import ScriptedPolicy
from support.network import SETTINGS, ManualClock, RecordingResponder, log_and_counters, make_request

from flintridge import api
from flintridge.core.executed_ids import MAX_REMEMBERED_IDS, REMEMBERED_MS, ExecutedIds
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.open_requests import IdInUseError
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult
from flintridge.runtime.shared_ids import SharedIds


def test_id_when_it_may_have_been_executed_then_is_remembered_for_some_time():
    clock = ManualClock()
    ids = ExecutedIds(clock)
    assert ids.try_begin("a") and not ids.try_begin("a")
    ids.end("a", may_have_been_executed=True)
    clock.advance(REMEMBERED_MS)
    assert not ids.try_begin("a")
    clock.advance(1)
    assert ids.try_begin("a")
    ids.end("a", may_have_been_executed=False)
    assert ids.try_begin("a")


def test_ids_when_there_are_very_many_then_the_oldest_are_forgotten():
    ids = ExecutedIds(ManualClock())
    for number in range(MAX_REMEMBERED_IDS + 1):
        assert ids.try_begin(str(number))
        ids.end(str(number), may_have_been_executed=True)
    assert len(list(ids)) == MAX_REMEMBERED_IDS
    assert ids.try_begin("0") and not ids.try_begin("1")


def test_id_when_another_process_has_claimed_it_then_does_not_begin(tmp_path):
    log, _ = log_and_counters()
    clock = ManualClock()
    processes = [ExecutedIds(clock), ExecutedIds(clock)]
    for ids in processes:
        ids.claims = SharedIds(str(tmp_path / "node"), log)
        ids.claims.open()
    first, second = processes
    assert first.try_begin("a") and not second.try_begin("a")
    first.end("a", may_have_been_executed=True)
    assert not second.try_begin("a")
    clock.advance(REMEMBERED_MS + 1)
    assert second.try_begin("b")  # does not wait for the first process
    assert first.try_begin("c")
    assert second.try_begin("a")
    second.claims.remove_all()
    assert list((tmp_path / "node-ids").iterdir()) == []


@pytest.mark.parametrize("outcome", [api.Outcome.OK, api.Outcome.CANCELLED, api.Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [0, 1])
def test_request_when_its_client_left_and_its_id_comes_again_then_is_executed_once(outcome, class_index):
    log, counters = log_and_counters()
    policy = ScriptedPolicy()
    core = RequestLifecycle(policy, SETTINGS, ManualClock(), 1 << 20, log, counters)
    request = make_request("a", value=b"x", class_index=class_index)
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
