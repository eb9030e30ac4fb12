"""Tests of HTTP exchanges with the origin, and of their limits."""

import h11
import pytest
from support.network import make_request
from support.upstream import http_response

from flintridge.api import Outcome
from flintridge.codec.http.exchange import HttpExchange
from flintridge.codec.http.origin import OriginExchange
from flintridge.core.response import Response


@pytest.mark.parametrize(
    ("head", "outcome"),
    [
        (b"200 OK\r\nContent-Length: 2", Outcome.OK),
        (b"500 No\r\nContent-Length: 2", Outcome.ERROR),
        # Without Srv-Declined the request may have been executed.
        (b"503 No\r\nContent-Length: 2", Outcome.ERROR),
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


@pytest.mark.parametrize("length", [2, 70_000])
@pytest.mark.parametrize(
    ("trailing", "malformed"), [(b"", False), (b"HTTP/1.1 200 OK\r\n", False), (b"HT", False), (b"x", True)]
)
def test_origin_response_when_its_body_exceeds_its_length_is_malformed(length, trailing, malformed):
    # Guards against serving a truncated value or receipt. A duplicate of the response does no harm.
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    result = exchange.feed(http_response(b"v" * length) + trailing)
    assert result is not None
    assert result.malformed is malformed
    assert result.outcome is (Outcome.ERROR if malformed else Outcome.OK)
    assert exchange.reusable is (not trailing)


@pytest.mark.parametrize(("fields", "outcome"), [(98, Outcome.OK), (99, Outcome.ERROR)])
def test_origin_response_when_it_has_very_many_header_fields_is_malformed(fields, outcome):
    exchange = OriginExchange(make_request(), "o:1", 100.0)
    exchange.encode_request()
    head = b"HTTP/1.1 200 OK\r\nReq-Id: a1\r\nContent-Length: 2\r\n" + b"a:b\r\n" * fields
    assert exchange.feed(head + b"\r\nok").outcome is outcome
