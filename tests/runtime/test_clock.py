"""The clock: how long what a turn of the loop reads may have waited."""

from flintridge.runtime.clock import ArrivalTrackingSelector


def test_what_a_turn_of_the_loop_reads_may_have_come_since_the_turn_before(monkeypatch):
    times = iter([1.0, *(2.0, 2.0), *(2.3, 2.3), *(2.3, 2.9), *(3.2, 3.2)])
    monkeypatch.setattr("flintridge.runtime.clock.time.monotonic", lambda: next(times))
    turns = ArrivalTrackingSelector()
    since = []
    for _ in range(4):  # at once, at once, after a wait, and at once behind that
        turns.select(0)
        since.append(turns.earliest_arrival_s)
    assert since == [1.0, 2.0, 2.9, 2.9]
    turns.close()
