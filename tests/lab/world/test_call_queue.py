"""Calls to discovery, at times that the tests pass in."""

import pytest
from support.lab_discovery import endpoint, endpoint_list

from flintridge.lab.world.call_queue import CallQueue, ClosedCalls
from flintridge.lab.world.endpoint_list import Phase


def run_queue(queue: CallQueue, until: float) -> list[tuple[float, int, int, int]]:
    """Return all responses as time, key, status and number of endpoints; advances the queue only at `due`."""
    responses, calls = [], 0
    while (due := queue.due()) is not None and due <= until:
        responses += [(due, r.call.key, r.status, len(r.changes)) for r in queue.advance(due)]
        calls += 1
        assert calls < 1000, "the queue stays due without end"
    return responses


def test_calls_when_queued_are_served_in_turn_and_fail_after_the_timeout():
    queue = CallQueue(endpoint_list(0.0, 0.0, "a", "b"), call_ms=100.0, endpoint_ms=10.0, timeout_ms=250.0)
    for key in range(5):
        queue.arrive(0.0, key, "n0", 0, 0.0)
    queue.remove(1)  # a call whose caller has gone is not served
    expected = [(120.0, 0, 200, 2), (240.0, 2, 200, 2), (250.0, 4, 503, 0), (360.0, 3, 200, 2)]
    assert run_queue(queue, 1e6) == expected


def test_a_watch_when_the_list_changes_is_answered_and_otherwise_ends_empty():
    model = endpoint_list(0.0, 0.0, "a")
    queue = CallQueue(model, call_ms=100.0, endpoint_ms=10.0, timeout_ms=3000.0)
    queue.arrive(0.0, 1, "n0", model.revision, 5000.0)
    queue.arrive(0.0, 2, "n1", model.revision, 400.0)
    queue.arrive(0.0, 3, "n1", model.revision, 0.0)
    assert run_queue(queue, 450.0) == [(300.0, 3, 200, 0), (400.0, 2, 200, 0)]
    model.observe(1000.0, endpoint(phase=Phase.TERMINATING))
    model.advance(1000.0)
    assert queue.advance(1000.0) == [] and run_queue(queue, 1e6) == [(1010.0, 1, 200, 1)]
    # A change that is listed while a call is served is not missed, and a long wait is limited to a minute.
    queue.arrive(2000.0, 4, "n0", model.revision, 1e9)
    queue.advance(2000.0)
    model.observe(2050.0, endpoint())
    model.advance(2050.0)
    queue.advance(2050.0)
    assert run_queue(queue, 1e6) == [(2110.0, 4, 200, 1)]
    queue.arrive(3000.0, 5, "n0", model.revision, 1e9)
    assert run_queue(queue, 1e6) == [(63_000.0, 5, 200, 0)]


STATUS_OF_MODE = {"errors": 503, "garbage": 200, "silent": None, "refuses": None}


@pytest.mark.parametrize(("mode", "status"), STATUS_OF_MODE.items())
def test_open_calls_when_discovery_goes_down_are_ended(mode, status):
    model = endpoint_list(0.0, 0.0, "a")
    queue = CallQueue(model, 100.0, 10.0, 3000.0)
    queue.arrive(0.0, 1, "n0", model.revision, 5000.0)
    queue.advance(100.0)
    queue.arrive(100.0, 2, "n0", 0, 0.0)
    ended = queue.set_down(mode)
    assert [call.key for call in ended.calls] == [1, 2]
    assert [r.status for r in ended.responses] == ([] if status is None else [status] * 2)
    response = queue.arrive(150.0, 3, "n0", 0, 0.0).response
    assert (response and response.status) == status and queue.advance(1e5) == [] and queue.due() is None
    assert queue.set_down("") == ClosedCalls([], [])
    queue.arrive(200.0, 4, "n0", 0, 0.0)
    assert run_queue(queue, 1e6) == [(310.0, 4, 200, 1)]
