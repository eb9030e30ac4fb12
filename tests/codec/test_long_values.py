"""Long values: whatever the cuts and the ends."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.long_values import ANSWER, CUTS, HTTP, LENGTH, LONG_WRITE, VALUE, pieces_of
from support.network import FIXED, SETTINGS, make_request

from flintridge.api import Outcome
from flintridge.core.request import Request
from flintridge.net.memcache import MAX_VALUE, Announced, BadCommand, CacheExchange, CommandParser
from flintridge.net.origin import OriginExchange


def taken(exchange, pieces: list[bytes]):
    """What may go out as each piece is fed, and the answer."""
    out, answer = [], None
    for piece in pieces:
        assert answer is None
        answer = exchange.feed(piece)
        if exchange.streamed_value is not None:
            out.append(b"".join(exchange.streamed_value.take_chunks()))
    return out, answer


@pytest.mark.parametrize("kind", ["cache", "origin"])
@FIXED
@given(CUTS)
def test_a_long_value_comes_out_as_it_went_in_and_at_once(kind, cuts):
    cache = kind == "cache"
    exchange = CacheExchange(make_request(), 100.0) if cache else OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    data = ANSWER if cache else HTTP
    head = data.index(VALUE[:100])
    fed, out = 0, 0
    for piece in pieces_of(data, cuts):
        answer = exchange.feed(piece)
        fed += len(piece)
        if exchange.streamed_value is not None:
            assert exchange.streamed_value.length == LENGTH
            out += sum(map(len, exchange.streamed_value.take_chunks()))
        # All that came is let out, but for the last byte until the end was seen.
        assert out == max(0, min(fed - head, LENGTH - (0 if answer else 1)))
    assert answer is not None and answer.outcome is Outcome.OK and exchange.reusable


@FIXED
@given(CUTS, st.sampled_from([b"XY", b"\rX", b"\n\r", b"xxxxxx"]))
def test_a_bad_end_is_an_error_and_the_last_byte_never_goes_out(cuts, end):
    out, answer = taken(CacheExchange(make_request(), 100.0), pieces_of(ANSWER[:-2] + end, cuts)[:])
    assert answer is not None and answer.malformed and answer.outcome is Outcome.ERROR
    assert b"".join(out) == VALUE[:-1]


def test_more_than_the_answer_ends_the_connection_but_not_the_answer():
    exchange = CacheExchange(make_request(), 100.0)
    assert exchange.feed(ANSWER + b"VA 2").outcome is Outcome.OK and not exchange.reusable


def test_what_an_exchange_holds_of_a_long_value_is_what_it_was_just_fed():
    exchange = CacheExchange(make_request(), 100.0)
    for piece in pieces_of(ANSWER[:-2], list(range(0, LENGTH, 1000))):
        exchange.feed(piece)
        exchange.streamed_value and exchange.streamed_value.take_chunks()
        assert len(exchange._reader._buffer) == 0 or exchange.streamed_value is None
        assert exchange.streamed_value is None or not exchange.streamed_value._pieces


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nReq-Id: other\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_VALUE + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 70000\r\n\r\n",
    ],
)
def test_what_is_no_good_long_value_does_not_go_through(head):
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    answer = exchange.feed(head + b"x" * 70000)
    assert exchange.streamed_value is None and answer is not None and answer.outcome is Outcome.ERROR


@FIXED
@given(CUTS, st.booleans())
def test_a_long_write_is_whole_or_read_past_and_what_follows_is_read(cuts, room):
    parser, found, announced = CommandParser(SETTINGS), [], 0
    for piece in pieces_of(LONG_WRITE + b"mn\r\n" + LONG_WRITE + b"mn\r\n", cuts):
        todo = parser.feed(piece)
        while todo:
            command = todo.pop(0)
            if isinstance(command, Announced):
                assert command.length == LENGTH and not todo
                announced += 1
                todo = parser.admit(room)
            else:
                found.append(command)
    assert announced == 2 and [type(c).__name__ for c in found] == [
        "Request" if room else "PassedOver", "Hello"
    ] * 2  # fmt: skip
    assert not room or all(c.value == VALUE for c in found if isinstance(c, Request))
    assert parser.idle


def test_a_long_value_with_a_bad_end_ends_the_connection():
    parser = CommandParser(SETTINGS)
    parser.feed(LONG_WRITE[:-2] + b"XY")
    (bad,) = parser.admit(True)
    assert bad == BadCommand("bad data chunk", fatal=True)
