"""Tests of all codecs with valid input that is split at random, and with random garbage."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.codec import CUTS, HTTP, READ, STATS, VALUE, feed_all, parse_commands, split_at
from support.network import FIXED, SETTINGS, ManualClock, make_request

from flintridge.api import Outcome
from flintridge.codec.http.origin import OriginExchange, OriginHealthCheck
from flintridge.codec.memcache.commands import InvalidCommand
from flintridge.codec.memcache.exchange import CacheExchange, CacheHealthCheck
from flintridge.discovery.endpoint_list import EndpointList

PIECES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [b"mg ", b"ms k 5 ", b"VA 3 Oa1", b"\r\n", b" Oa1", b"HD", b"HTTP/1.1 200 OK\r\n", READ, HTTP]
    ),
)


@FIXED
@given(CUTS)
def test_responses_when_cut_anywhere_parse_the_same(cuts):
    for make, text in (
        (lambda: CacheExchange(make_request(), 100.0), VALUE),
        (CacheHealthCheck, STATS),
        (lambda: OriginExchange(make_request(), "o:1", 100.0), HTTP),
    ):
        unsplit, split = make(), make()
        assert unsplit.encode_request() == split.encode_request()
        expected = feed_all(unsplit, [text])
        assert expected is not None
        assert expected.outcome is Outcome.OK
        assert feed_all(split, [p for p in split_at(text, cuts) if p]) == expected
        assert split.reusable
        assert unsplit.reusable


def test_response_when_it_cannot_be_read_is_malformed_and_informational_ones_are_skipped():
    for text in (b"VA 0 Oother\r\n\r\n", b"VA x Oa1\r\n", b"%"):
        assert CacheExchange(make_request(), 1.0).feed(text).malformed
    assert not CacheExchange(make_request(), 1.0).feed(b"SERVER_ERROR failed\r\n").malformed
    early = b"HTTP/1.1 103 Early\r\n\r\n" * 2
    for text, malformed in (
        (early + HTTP, False),
        (HTTP.replace(b"Srv-Load", b"Req-Id"), True),
        (b"?\r\n", True),
    ):
        exchange = OriginExchange(make_request(), "o:1", 100.0)
        exchange.encode_request()
        assert exchange.feed(text).malformed is malformed


@FIXED
@given(st.lists(PIECES, max_size=12))
def test_parsers_when_fed_garbage_do_not_crash(pieces):
    for command in parse_commands(pieces):
        assert not isinstance(command, InvalidCommand) or command.reason.isprintable()
    exchanges = [
        CacheExchange(make_request(), 1.0),
        CacheHealthCheck(),
        OriginExchange(make_request(), "o:1", 100.0),
        OriginHealthCheck("o"),
    ]
    for exchange in exchanges:
        exchange.encode_request()
        feed_all(exchange, [p for p in pieces if p])
        exchange.end()
    endpoints = EndpointList((), (), SETTINGS, ManualClock())
    for piece in pieces:
        with pytest.raises(ValueError, match="list"):
            endpoints.apply_json(piece)
