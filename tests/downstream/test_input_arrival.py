"""The lower bound of the arrival of a connection's input."""

from support.network import ManualClock

from flintridge.downstream.input_arrival import InputArrival


class LateClock(ManualClock):
    """A clock whose event loop has been in one iteration for `behind_ms`."""

    behind_ms = 0.0

    def earliest_arrival(self) -> float:
        return self.now() - self.behind_ms


def read(arrival, has_unread=False, is_reading=True) -> float:
    arrival.before_read(has_unread, is_reading)
    arrival.after_read()
    return arrival.arrived_after


def test_input_when_it_is_read_as_it_comes_then_arrived_in_this_iteration():
    clock = LateClock()
    arrival = InputArrival(clock)
    clock.advance(500.0)
    clock.behind_ms = 20.0
    assert read(arrival) == clock.now() - 20.0


def test_input_when_it_waited_in_the_reader_then_may_have_come_since_the_read_before():
    clock = LateClock()
    arrival = InputArrival(clock)
    read_at = clock.now()
    assert read(arrival) == read_at
    clock.advance(300.0)
    assert read(arrival, has_unread=True) == read_at
    clock.advance(300.0)
    assert read(arrival) == clock.now()


def test_input_when_the_transport_was_paused_then_what_the_system_held_may_be_as_old():
    clock = LateClock()
    arrival = InputArrival(clock)
    read_at = clock.now()
    read(arrival)
    clock.advance(300.0)
    assert read(arrival, has_unread=True, is_reading=False) == read_at
    clock.advance(1.0)
    assert read(arrival) == read_at  # the system's part
    clock.advance(1.0)
    assert read(arrival) == clock.now()


def test_input_when_it_flows_without_an_end_then_its_bound_moves_on_with_each_read():
    clock = LateClock()
    arrival = InputArrival(clock)
    for _ in range(5):
        last_read_at = clock.now()
        read(arrival, has_unread=True)
        clock.advance(100.0)
    assert read(arrival, has_unread=True) == last_read_at


def test_input_when_it_waited_with_its_connection_then_is_as_old_and_the_next_is_new():
    clock = LateClock()
    queued_since = clock.now()
    clock.advance(200.0)
    arrival = InputArrival(clock, queued_since)
    assert read(arrival) == queued_since
    clock.advance(100.0)
    assert read(arrival) == clock.now()
