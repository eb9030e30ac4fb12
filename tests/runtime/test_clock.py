"""The clock: how long the input that an iteration of the event loop reads may have waited."""

from flintridge.runtime.clock import ArrivalTrackingSelector


def test_earliest_arrival_when_input_was_there_at_once_then_is_the_previous_select(monkeypatch):
    times_s = iter([1.0, *(2.0, 2.0), *(2.3, 2.3), *(2.3, 2.9), *(3.2, 3.2)])
    monkeypatch.setattr("flintridge.runtime.clock.time.monotonic", lambda: next(times_s))
    selector = ArrivalTrackingSelector()
    earliest = []
    for _ in range(4):  # at once, at once, after a wait, and at once behind that
        selector.select(0)
        earliest.append(selector.earliest_arrival_s)
    assert earliest == [1.0, 2.0, 2.9, 2.9]
    selector.close()
