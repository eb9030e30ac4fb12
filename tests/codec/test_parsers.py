"""The protocol state machines: random cuts of what is valid, random garbage, and what each message means."""

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED, SETTINGS, HandClock, make_request

from flintridge.api import Outcome
from flintridge.core.response import Response
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.net import memcache
from flintridge.net.memcache import BadCommand, CacheExchange, CacheProbe, CommandParser, Hello
from flintridge.net.origin import HttpExchange, OriginExchange, OriginProbe

READ = b"mg key7 v Oa1 Pc=read,t=acme,d=480,h=12000,size=18\r\n"


WRITE = b"ms key7 7 Oa2 Pc=put,t=acme,d=900,k=5c0f,r=1\r\nhe\r\nllo\r\n"


STREAM = READ + WRITE + b"mn\r\nfly away\r\nmg key7 v q\r\n" + READ


def cut(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({c % (len(data) + 1) for c in cuts})
    return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]


def commands(parts: list[bytes]) -> list:
    parser = CommandParser(SETTINGS)
    return [command for part in parts for command in parser.feed(part)]


def answered(exchange, parts: list[bytes]):
    return next((a for part in parts if (a := exchange.feed(part)) is not None), None)


CUTS = st.lists(st.integers(0, 400), max_size=12)


VALUE = b"VA 7 Oa1 h0 Z Lqps=7,util=0.61\r\nva\r\nlue\r\n"


STATS = b"STAT qps 12.5\r\nSTAT util 0.4\r\nEND\r\n"


HTTP = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSrv-Load: qps=3\r\n\r\n"
HTTP += b"4\r\nva\r\n\r\n3\r\nlue\r\n0\r\n\r\n"


@FIXED
@given(CUTS)
def test_cut_commands_parse_as_whole(cuts):
    assert commands(cut(STREAM, cuts)) == commands([STREAM])


@FIXED
@given(CUTS)
def test_cut_answers_parse_as_whole(cuts):
    for make, text in (
        (lambda: CacheExchange(make_request(), 100.0), VALUE),
        (CacheProbe, STATS),
        (lambda: OriginExchange(make_request(), "o:1", 100.0), HTTP),
    ):
        whole, parted = make(), make()
        assert whole.encode_request() == parted.encode_request()
        expected = answered(whole, [text])
        assert expected is not None and expected.outcome is Outcome.OK
        assert answered(parted, [p for p in cut(text, cuts) if p]) == expected
        assert parted.reusable and whole.reusable


PIECES = st.one_of(
    st.binary(max_size=60),
    st.sampled_from(
        [b"mg ", b"ms k 5 ", b"VA 3 Oa1", b"\r\n", b" Oa1", b"HD", b"HTTP/1.1 200 OK\r\n", READ, HTTP]
    ),
)


@FIXED
@given(st.lists(PIECES, max_size=12))
def test_garbage_crashes_no_parser(pieces):
    for command in commands(pieces):
        assert not isinstance(command, BadCommand) or command.reason.isprintable()
    exchanges = [
        CacheExchange(make_request(), 1.0),
        CacheProbe(),
        OriginExchange(make_request(), "o:1", 100.0),
        OriginProbe("o"),
    ]
    for exchange in exchanges:
        exchange.encode_request()
        answered(exchange, [p for p in pieces if p])
        exchange.end()
    transports = EndpointList((), (), SETTINGS, HandClock())
    for piece in pieces:
        with pytest.raises(ValueError, match="list"):
            transports.parse(piece)


def test_commands_mean_what_they_say():
    read, write, hello, *_ = commands([STREAM])
    assert (read.id, read.key, read.timeout_ms, read.work_us, read.size) == (b"a1", b"key7", 480, 12000, 18)
    assert (read.class_index, read.write, read.retry) == (0, False, False)
    assert (write.class_index, write.value, write.retry) == (1, b"he\r\nllo", True)
    assert isinstance(hello, Hello)


@pytest.mark.parametrize(
    ("text", "reason", "goes_on"),
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
def test_bad_commands_are_told_and_the_next_is_taken_where_framing_holds(text, reason, goes_on):
    bad, *rest = commands([text, READ])
    assert bad == BadCommand(reason, fatal=not goes_on)
    assert rest == (commands([READ]) if goes_on else [])


def test_a_command_is_passed_on_as_it_came_but_for_the_time_left():
    (read,), (write,) = commands([READ]), commands([WRITE])
    assert b"".join(CacheExchange(read, 123.9).encode_request()) == READ.replace(b"d=480", b"d=123")
    assert b"".join(CacheExchange(write, 0.2).encode_request()) == WRITE.replace(b"d=900", b"d=1")


def test_clients_get_answers_in_client_form():
    assert b"".join(memcache.served_parts(b"a1", Response(b"va\r\n", False))) == b"VA 4 Oa1\r\nva\r\n\r\n"
    assert b"".join(memcache.served_parts(b"a1", Response(b"77", True))) == b"HD Oa1 c77\r\n"
    assert b"".join(memcache.defer_parts(0)) == b"SERVER_ERROR busy\r\n"
    assert b"".join(memcache.defer_parts(80.2)) == b"SERVER_ERROR busy 81\r\n"


@pytest.mark.parametrize(
    ("line", "outcome", "note"),
    [
        (b"EN Oa1\r\n", Outcome.MISS, None),
        (b"EN Oa1 h0 Z\r\n", Outcome.MISS, 3),
        (b"VA 0 Oa1 h1\r\n\r\n", Outcome.OK, 1),
        (b"SERVER_ERROR failed\r\n", Outcome.ERROR, None),
        (b"SERVER_ERROR busy\r\n", Outcome.FULL, None),
        (b"VA 0 Oother\r\n\r\n", Outcome.ERROR, None),  # an answer to another command is never passed on
        (b"HD Oa1 c7\r\n", Outcome.ERROR, None),
        (b"VA 4194305 Oa1\r\n", Outcome.ERROR, None),
        (b"VA 2 Oa1\r\nabcd", Outcome.ERROR, None),
        (b"VA 2 Oa1 " + b"x" * 3000, Outcome.ERROR, None),
        (b"VA 3000000000 Oa1\r\n", Outcome.ERROR, None),
        (b"\x93", Outcome.ERROR, None),  # noise is not waited upon to its end
        (b"VA 2 Oa1 h1 L\xff=,qps=\r\nok\r\n", Outcome.OK, 1),  # an unreadable report spoils no answer
    ],
)
def test_what_a_cache_server_answers(line, outcome, note):
    answer = CacheExchange(make_request(), 1.0).feed(line)
    assert (answer.outcome, answer.cache_status) == (outcome, note)


def test_more_than_the_answer_makes_a_connection_unfit_for_another():
    exchange = CacheExchange(make_request(), 1.0)
    assert exchange.feed(b"EN Oa1\r\nEN").outcome is Outcome.MISS and not exchange.reusable


def test_only_what_cannot_be_read_counts_as_spoilt_and_answers_ahead_of_the_origins_are_passed_over():
    for text in (b"VA 0 Oother\r\n\r\n", b"VA x Oa1\r\n", b"%"):
        assert CacheExchange(make_request(), 1.0).feed(text).malformed
    assert not CacheExchange(make_request(), 1.0).feed(b"SERVER_ERROR failed\r\n").malformed
    early = b"HTTP/1.1 103 Early\r\n\r\n" * 2
    for text, spoilt in (
        (early + HTTP, False),
        (HTTP.replace(b"Srv-Load", b"Req-Id"), True),
        (b"?\r\n", True),
    ):
        exchange = OriginExchange(make_request(), "o:1", 100.0)
        exchange.encode_request()
        assert exchange.feed(text).malformed is spoilt


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
def test_what_the_origin_answers(head, outcome):
    exchange = OriginExchange(make_request(value=b"v"), "o:1", 123.9)
    assert b"".join(exchange.encode_request()) == (
        b"PUT /key7 HTTP/1.1\r\nHost: o:1\r\nReq-Id: a1\r\nReq-Extra: c=read,t=acme,d=123,k=5c0f\r\n"
        b"Content-Length: 1\r\n\r\nv"
    )
    answer = exchange.feed(b"HTTP/1.1 " + head + b"\r\n\r\nok")
    assert (answer and answer.outcome) == outcome
    if outcome is Outcome.OK:
        assert answer.response == Response(b"ok", receipt=True)


def test_a_body_is_bounded():
    exchange = HttpExchange(b"GET", b"/", [(b"Host", b"o")], limit=3)
    exchange.encode_request()
    with pytest.raises(h11.RemoteProtocolError):
        exchange.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd")
