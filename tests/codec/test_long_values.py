"""Tests of long values that are split at any position, with valid and malformed terminators."""

import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.codec import complete_commands
from support.long_values import ANSWER, CUTS, HTTP, LENGTH, LONG_WRITE, VALUE, pieces_of
from support.network import FIXED, SETTINGS, make_request

from flintridge.api import Outcome
from flintridge.codec.http.origin import OriginExchange
from flintridge.codec.long_value import MAX_VALUE_BYTES
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import InvalidCommand, ValueAnnounced
from flintridge.codec.memcache.exchange import CacheExchange
from flintridge.core.request import Request


def feed_all(exchange, pieces: list[bytes]):
    """Feed all pieces; returns the chunks of the value after each piece, and the result."""
    out, result = [], None
    for piece in pieces:
        assert result is None
        result = exchange.feed(piece)
        if exchange.streamed_value is not None:
            out.append(b"".join(exchange.streamed_value.take_chunks()))
    return out, result


@pytest.mark.parametrize("kind", ["cache", "origin"])
@FIXED
@given(CUTS)
def test_long_value_when_cut_anywhere_is_returned_unchanged_and_without_delay(kind, cuts):
    cache = kind == "cache"
    exchange = CacheExchange(make_request(), 100.0) if cache else OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    data = ANSWER if cache else HTTP
    head = data.index(VALUE[:100])
    fed, out = 0, 0
    for piece in pieces_of(data, cuts):
        result = exchange.feed(piece)
        fed += len(piece)
        if exchange.streamed_value is not None:
            assert exchange.streamed_value.length == LENGTH
            out += sum(map(len, exchange.streamed_value.take_chunks()))
        # All bytes that arrived are returned, except the last one until the terminator was seen.
        assert out == max(0, min(fed - head, LENGTH - (0 if result else 1)))
    assert result is not None
    assert result.outcome is Outcome.OK
    assert exchange.reusable


@FIXED
@given(CUTS, st.sampled_from([b"XY", b"\rX", b"\n\r", b"xxxxxx"]))
def test_long_value_when_its_terminator_is_malformed_withholds_the_last_byte(cuts, end):
    out, result = feed_all(CacheExchange(make_request(), 100.0), pieces_of(ANSWER[:-2] + end, cuts)[:])
    assert result is not None
    assert result.malformed
    assert result.outcome is Outcome.ERROR
    assert b"".join(out) == VALUE[:-1]


@pytest.mark.parametrize("value", [b"ok", VALUE], ids=["short", "long"])
@pytest.mark.parametrize("missing", [-500, 0, 500])
@pytest.mark.parametrize("coding_first", [False, True])
def test_origin_response_when_it_has_two_lengths_is_malformed(value, missing, coding_first):
    # Guards against serving a truncated value: the chunks delimit the body, but Content-Length was announced.
    lengths = [b"Content-Length: %d\r\n" % max(0, len(value) - missing), b"Transfer-Encoding: chunked\r\n"]
    head = b"HTTP/1.1 200 OK\r\nReq-Id: a1\r\n" + b"".join(reversed(lengths) if coding_first else lengths)
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    result = exchange.feed(head + b"\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(value), value))
    assert result is not None
    assert (result.outcome, result.malformed) == (Outcome.ERROR, True)
    assert exchange.streamed_value is None
    assert not exchange.reusable


def test_long_value_when_more_bytes_follow_is_served_on_a_connection_that_is_not_reusable():
    exchange = CacheExchange(make_request(), 100.0)
    assert exchange.feed(ANSWER + b"VA 2").outcome is Outcome.OK
    assert not exchange.reusable


def test_exchange_when_a_long_value_arrives_retains_only_what_it_was_just_fed():
    exchange = CacheExchange(make_request(), 100.0)
    for piece in pieces_of(ANSWER[:-2], list(range(0, LENGTH, 1000))):
        exchange.feed(piece)
        exchange.streamed_value and exchange.streamed_value.take_chunks()
        assert len(exchange._parser._buffer) == 0 or exchange.streamed_value is None
        assert exchange.streamed_value is None or not exchange.streamed_value._chunks


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nReq-Id: other\r\nContent-Length: 70000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_VALUE_BYTES + 1),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11170\r\n",
        b"HTTP/1.1 500 Oh\r\nContent-Length: 70000\r\n\r\n",
    ],
)
def test_origin_response_when_it_is_not_a_valid_long_value_is_not_streamed(head):
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    result = exchange.feed(head + b"x" * 70000)
    assert exchange.streamed_value is None
    assert result is not None
    assert result.outcome is Outcome.ERROR


@FIXED
@given(CUTS, st.booleans())
def test_long_write_when_admitted_or_not_is_complete_or_skipped_and_parsing_continues(cuts, admitted):
    parser, found, announced = CommandParser(SETTINGS), [], 0
    for piece in pieces_of(LONG_WRITE + b"mn\r\n" + LONG_WRITE + b"mn\r\n", cuts):
        parser.feed(piece)
        while (command := parser.next_command()) is not None:
            if isinstance(command, ValueAnnounced):
                assert command.length == LENGTH
                assert parser.next_command() is None
                announced += 1
                parser.admit_value(admitted)
            else:
                found.append(command)
    assert announced == 2
    assert [type(c).__name__ for c in found] == ["Request" if admitted else "ValueSkipped", "NoOp"] * 2
    assert not admitted or all(c.value == VALUE for c in found if isinstance(c, Request))
    assert parser.idle


@pytest.mark.parametrize("admitted", [True, False])
def test_long_write_when_its_terminator_is_malformed_is_fatal(admitted):
    # Guards against parsing the rest of a wrongly measured value as commands, even if the value is skipped.
    parser = CommandParser(SETTINGS)
    (bad,) = complete_commands(parser, LONG_WRITE[:-2] + b"XY", admitted)
    assert bad == InvalidCommand("bad data chunk", fatal=True)


def test_written_value_when_it_arrived_in_pieces_then_occupies_no_more_than_its_length():
    parser = CommandParser(SETTINGS)
    head, _, rest = LONG_WRITE.partition(b"\r\n")
    parser.feed(head + b"\r\n")
    assert isinstance(parser.next_command(), ValueAnnounced)
    parser.admit_value(True)
    command = None
    for start in range(0, len(rest), 1_000):
        assert command is None
        parser.feed(rest[start : start + 1_000])
        command = parser.next_command()
    assert isinstance(command, Request)
    assert command.value == VALUE
    assert sys.getsizeof(command.value) <= LENGTH + 100
