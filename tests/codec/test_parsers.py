"""The protocol state machines: random cuts of what is valid, random garbage, and what each message means."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, SETTINGS, HandClock, make_request

from flintridge.api import Outcome
from flintridge.codec.http.exchange import HttpExchange
from flintridge.codec.http.origin import OriginExchange, OriginHealthCheck
from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import InvalidCommand, NoOp
from flintridge.codec.memcache.encoder import encode_rejection, encode_response
from flintridge.codec.memcache.exchange import CacheExchange, CacheHealthCheck
from flintridge.core.response import Response
from flintridge.discovery.endpoint_list import EndpointList

READ = b"mg key7 v Oa1 Pc=read,t=acme,d=480,h=12000,size=18\r\n"


WRITE = b"ms key7 7 Oa2 Pc=put,t=acme,d=900,k=5c0f,r=1\r\nhe\r\nllo\r\n"


STREAM = READ + WRITE + b"mn\r\nfly away\r\nmg key7 v q\r\n" + READ


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({c % (len(data) + 1) for c in cuts})
    return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]


def parse_commands(pieces: list[bytes]) -> list:
    parser = CommandParser(SETTINGS)
    return [command for piece in pieces for command in parser.feed(piece)]


def feed_all(exchange, pieces: list[bytes]):
    return next((a for piece in pieces if (a := exchange.feed(piece)) is not None), None)


CUTS = st.lists(st.integers(0, 400), max_size=12)


VALUE = b"VA 7 Oa1 h0 Z Lqps=7,util=0.61\r\nva\r\nlue\r\n"


STATS = b"STAT qps 12.5\r\nSTAT util 0.4\r\nEND\r\n"


HTTP = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSrv-Load: qps=3\r\n\r\n"
HTTP += b"4\r\nva\r\n\r\n3\r\nlue\r\n0\r\n\r\n"


@FIXED
@given(CUTS)
def test_commands_when_cut_anywhere_parse_the_same(cuts):
    assert parse_commands(cut(STREAM, cuts)) == parse_commands([STREAM])


@FIXED
@given(CUTS)
def test_responses_when_cut_anywhere_parse_the_same(cuts):
    for make, text in (
        (lambda: CacheExchange(make_request(), 100.0), VALUE),
        (CacheHealthCheck, STATS),
        (lambda: OriginExchange(make_request(), "o:1", 100.0), HTTP),
    ):
        whole, parted = make(), make()
        assert whole.encode_request() == parted.encode_request()
        expected = feed_all(whole, [text])
        assert expected is not None and expected.outcome is Outcome.OK
        assert feed_all(parted, [p for p in cut(text, cuts) if p]) == expected
        assert parted.reusable and whole.reusable


PIECES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [b"mg ", b"ms k 5 ", b"VA 3 Oa1", b"\r\n", b" Oa1", b"HD", b"HTTP/1.1 200 OK\r\n", READ, HTTP]
    ),
)


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
    endpoints = EndpointList((), (), SETTINGS, HandClock())
    for piece in pieces:
        with pytest.raises(ValueError, match="list"):
            endpoints.parse(piece)


def test_command_when_valid_becomes_a_request_or_a_no_op():
    read, write, no_op, *_ = parse_commands([STREAM])
    assert (read.id, read.key, read.timeout_ms, read.work_us, read.size) == (b"a1", b"key7", 480, 12000, 18)
    assert (read.class_index, read.write, read.retry) == (0, False, False)
    assert (write.class_index, write.value, write.retry) == (1, b"he\r\nllo", True)
    assert isinstance(no_op, NoOp)


@pytest.mark.parametrize(
    ("text", "reason", "framing_holds"),
    [
        (b"fly\r\n", "unknown command", True),
        (b"mg " + b"k" * 251 + b" v Oa\r\n", "bad key", True),
        (b"mg k\x01 v Oa\r\n", "bad key", True),
        (b"mg k v\r\n", "no id", True),
        (b"mg k Oa\r\n", "bad flag", True),
        (b"mg k v Oa Pc=none\r\n", "unknown class", True),
        (b"mg k v Oa Pt=none\r\n", "unknown tenant", True),
        (b"mg k v Oa Pd=-4\r\n", "bad number", True),
        (b"mg k v Oa Pd=nan\r\n", "bad number", True),
        (b"mg k v Oa Pd=1,d=2\r\n", "bad list of names and values", True),
        (b"ms k 3 v Oa\r\nabc\r\n", "bad flag", True),
        (b"ms k 4194305 Oa\r\n", "value too large", False),
        (b"ms k many Oa\r\n", "bad data length", False),
        (b"ms k 3 Oa\r\nabcd\r\n", "bad data chunk", False),
        (b"ms k 99999999 Oa\r\n", "value too large", False),
        (b"m" * 2100, "line too long", False),
    ],
)
def test_command_when_invalid_is_reported_and_skipped_if_the_framing_holds(text, reason, framing_holds):
    bad, *rest = parse_commands([text, READ])
    assert bad == InvalidCommand(reason, fatal=not framing_holds)
    assert rest == (parse_commands([READ]) if framing_holds else [])


def test_command_when_forwarded_differs_only_in_the_remaining_time():
    (read,), (write,) = parse_commands([READ]), parse_commands([WRITE])
    assert b"".join(CacheExchange(read, 123.9).encode_request()) == READ.replace(b"d=480", b"d=123")
    assert b"".join(CacheExchange(write, 0.2).encode_request()) == WRITE.replace(b"d=900", b"d=1")


def test_encoder_when_given_responses_and_rejections_writes_the_clients_protocol():
    assert b"".join(encode_response(b"a1", Response(b"va\r\n", False))) == b"VA 4 Oa1\r\nva\r\n\r\n"
    assert b"".join(encode_response(b"a1", Response(b"77", True))) == b"HD Oa1 c77\r\n"
    assert b"".join(encode_rejection(0)) == b"SERVER_ERROR busy\r\n"
    assert b"".join(encode_rejection(80.2)) == b"SERVER_ERROR busy 81\r\n"


@pytest.mark.parametrize(
    ("line", "outcome", "cache_status"),
    [
        (b"EN Oa1\r\n", Outcome.MISS, None),
        (b"EN Oa1 h0 Z\r\n", Outcome.MISS, 3),
        (b"VA 0 Oa1 h1\r\n\r\n", Outcome.OK, 1),
        (b"SERVER_ERROR failed\r\n", Outcome.ERROR, None),
        (b"SERVER_ERROR busy\r\n", Outcome.FULL, None),
        (b"VA 0 Oother\r\n\r\n", Outcome.ERROR, None),  # a response to another command is never passed on
        (b"HD Oa1 c7\r\n", Outcome.ERROR, None),
        (b"VA 4194305 Oa1\r\n", Outcome.ERROR, None),
        (b"VA 2 Oa1\r\nabcd", Outcome.ERROR, None),
        (b"VA 2 Oa1 " + b"x" * 3000, Outcome.ERROR, None),
        (b"VA 3000000000 Oa1\r\n", Outcome.ERROR, None),
        (b"\x93", Outcome.ERROR, None),  # noise is not waited upon to its end
        # A load report that cannot be read does not invalidate the response.
        (b"VA 2 Oa1 h1 L\xff=,qps=\r\nok\r\n", Outcome.OK, 1),
    ],
)
def test_cache_response_when_parsed_has_its_outcome_and_cache_status(line, outcome, cache_status):
    result = CacheExchange(make_request(), 1.0).feed(line)
    assert (result.outcome, result.cache_status) == (outcome, cache_status)


def test_cache_response_when_more_follows_makes_the_connection_not_reusable():
    exchange = CacheExchange(make_request(), 1.0)
    assert exchange.feed(b"EN Oa1\r\nEN").outcome is Outcome.MISS and not exchange.reusable


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


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (b"200 OK\r\nContent-Length: 2", Outcome.OK),
        (b"500 No\r\nContent-Length: 2", Outcome.ERROR),
        (b"503 No\r\nContent-Length: 2", Outcome.ERROR),  # without the origin's word it may have run
        (b"503 No\r\nSrv-Declined: 1\r\nContent-Length: 2", Outcome.FULL),
        (b"504 No\r\nSrv-Declined: 1\r\nContent-Length: 2", Outcome.FULL),
        (b"200 OK\r\nContent-Length: 70000", None),
        (b"200 OK\r\nContent-Length: x", Outcome.ERROR),
    ],
)
def test_origin_response_when_parsed_has_its_outcome(head, outcome):
    exchange = OriginExchange(make_request(value=b"v"), "o:1", 123.9)
    assert b"".join(exchange.encode_request()) == (
        b"PUT /key7 HTTP/1.1\r\nHost: o:1\r\nReq-Id: a1\r\nReq-Extra: c=read,t=acme,d=123,k=5c0f\r\n"
        b"Content-Length: 1\r\n\r\nv"
    )
    result = exchange.feed(b"HTTP/1.1 " + head + b"\r\n\r\nok")
    assert (result and result.outcome) == outcome
    if outcome is Outcome.OK:
        assert result.response == Response(b"ok", receipt=True)


def test_http_body_when_over_the_limit_is_an_error():
    exchange = HttpExchange(b"GET", b"/", [(b"Host", b"o")], max_body_bytes=3)
    exchange.encode_request()
    with pytest.raises(h11.RemoteProtocolError):
        exchange.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd")
