"""The receive queue: bytes are read in order, whatever the sizes of segments and reads."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.virtual.receive_queue import ReceiveQueue


@FIXED
@given(st.lists(st.binary(min_size=1, max_size=30), max_size=12), st.integers(1, 40))
def test_take_when_called_until_empty_then_returns_all_bytes_in_order_within_the_limit(segments, limit):
    queue = ReceiveQueue()
    for number, data in enumerate(segments):
        queue.append(data, float(number))
    taken = []
    while queue.size:
        taken.append(queue.take(limit))
        assert 0 < len(taken[-1][0]) <= limit
    assert b"".join(data for data, _ in taken) == b"".join(segments)
    times_s = [sent_at_s for _, sent_at_s in taken]
    assert times_s == sorted(times_s)
    assert not queue.segments


def test_take_when_a_segment_exceeds_the_limit_then_the_rest_keeps_its_send_time():
    queue = ReceiveQueue()
    queue.append(b"abcdef", 1.0)
    queue.append(b"gh", 2.0)
    assert queue.take(4) == (b"abcd", 1.0)
    assert queue.take(4) == (b"efgh", 1.0)


def test_clear_when_data_is_unread_then_drops_it():
    queue = ReceiveQueue()
    queue.append(b"a", 1.0)
    queue.clear()
    assert queue.size == 0
    assert not queue.segments
