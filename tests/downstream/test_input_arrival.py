"""Tests of the lower bound for the arrival time of a connection's input."""

from support.network import ManualClock

from flintridge.downstream.input_arrival import BACKLOG_BYTES, CATCH_UP_MS, InputArrival

READ_BYTES = 10


class LateClock(ManualClock):
    """A clock whose event loop has been in one iteration for `behind_ms`."""

    behind_ms = 0.0

    def earliest_arrival(self) -> float:
        return self.now() - self.behind_ms


class Input:
    """A connection's input, of which each read returns READ_BYTES."""

    def __init__(self, clock, queued_since=None) -> None:
        self.arrival = InputArrival(clock, queued_since)
        self.position = 0

    def read(self, has_unread=False, is_reading=True, waiting_bytes=0) -> float:
        """Read, after which `waiting_bytes` wait; returns the bound."""
        self.arrival.before_read(has_unread, is_reading)
        self.position += READ_BYTES
        self.arrival.after_read(self.position, waiting_bytes)
        return self.arrival.arrived_after


def test_input_when_it_is_read_on_arrival_then_arrived_in_this_iteration():
    clock = LateClock()
    connection = Input(clock)
    clock.advance(500.0)
    clock.behind_ms = 20.0
    assert connection.read() == clock.now() - 20.0


def test_input_when_it_waited_in_the_reader_then_may_have_arrived_since_the_previous_read():
    clock = LateClock()
    connection = Input(clock)
    read_at = clock.now()
    assert connection.read() == read_at
    clock.advance(300.0)
    assert connection.read(has_unread=True) == read_at
    clock.advance(300.0)
    assert connection.read() == clock.now()


def test_input_when_the_transport_was_paused_then_bytes_in_the_kernel_may_be_as_old():
    clock = LateClock()
    connection = Input(clock)
    read_at = clock.now()
    connection.read()
    clock.advance(300.0)
    assert connection.read(has_unread=True, is_reading=False, waiting_bytes=READ_BYTES) == read_at
    clock.advance(1.0)
    assert connection.read() == read_at  # the bytes that waited in the kernel
    clock.advance(1.0)
    assert connection.read() == clock.now()


def test_input_when_it_arrives_continuously_then_its_bound_advances_with_each_read():
    clock = LateClock()
    connection = Input(clock)
    for _ in range(5):
        last_read_at = clock.now()
        connection.read(has_unread=True)
        clock.advance(100.0)
    assert connection.read(has_unread=True) == last_read_at


def test_input_when_its_connection_waited_for_accept_then_is_as_old_and_the_next_is_new():
    clock = LateClock()
    queued_since = clock.now()
    clock.advance(200.0)
    connection = Input(clock, queued_since)
    assert connection.read() == queued_since
    clock.advance(100.0)
    assert connection.read() == clock.now()


def test_input_when_it_waited_and_is_read_in_many_pieces_then_all_of_it_is_as_old():
    clock = LateClock()
    connection = Input(clock)
    read_at = clock.now()
    connection.read(waiting_bytes=50 * READ_BYTES)
    clock.advance(1_000.0)
    for left in reversed(range(50)):
        assert connection.read(waiting_bytes=left * READ_BYTES) == 10_000.0
        clock.advance(1.0)
    assert connection.read() == clock.now() > read_at + 1_000.0


def test_input_when_some_always_waits_then_its_bound_follows_its_position():
    clock = LateClock()
    connection = Input(clock)
    for _ in range(40):
        connection.read(waiting_bytes=10 * READ_BYTES)
        clock.advance(10.0)
    # It was beyond the bytes that waited eleven reads ago.
    assert connection.read(waiting_bytes=10 * READ_BYTES) == clock.now() - 11 * 10.0


def test_input_when_much_waited_in_a_pause_then_what_follows_may_have_been_held_back_as_long():
    clock = LateClock()
    connection = Input(clock)
    paused_at = clock.now()
    connection.read()
    clock.advance(500.0)
    assert connection.read(is_reading=False, waiting_bytes=BACKLOG_BYTES) == paused_at
    for _ in range(3_000):  # all bytes that waited, and more that its client's kernel held back
        clock.advance(0.02)
        assert connection.read(waiting_bytes=READ_BYTES) == paused_at


def test_input_when_little_waits_for_some_time_after_a_pause_then_is_new_again():
    clock = LateClock()
    connection = Input(clock)
    paused_at = clock.now()
    connection.read()
    clock.advance(500.0)
    connection.read(is_reading=False, waiting_bytes=BACKLOG_BYTES)
    connection.position += BACKLOG_BYTES
    assert connection.read() == paused_at
    clock.advance(CATCH_UP_MS - 1.0)
    assert connection.read() == paused_at
    clock.advance(1.0)
    assert connection.read() == clock.now()


def test_input_when_much_arrives_at_once_on_an_idle_connection_then_is_as_new_as_its_first_bytes():
    clock = LateClock()
    connection = Input(clock)
    connection.read()
    clock.advance(2_000.0)
    arrived_at = clock.now()
    assert connection.read(waiting_bytes=BACKLOG_BYTES) == arrived_at
    clock.advance(1.0)
    assert connection.read(waiting_bytes=BACKLOG_BYTES) == arrived_at
