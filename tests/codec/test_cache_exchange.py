"""Tests of exchanges with cache servers: forwarded commands, and the results of responses."""

import pytest
from support.codec import READ, WRITE, parse_commands
from support.network import make_request
from support.upstream import http_response

from flintridge.api import Outcome
from flintridge.codec.http.origin import OriginExchange
from flintridge.codec.memcache.exchange import CacheExchange
from flintridge.codec.memcache.syntax import MAX_RECEIPT_BYTES


def test_command_when_forwarded_differs_only_in_the_remaining_time():
    (read,), (write,) = parse_commands([READ]), parse_commands([WRITE])
    assert b"".join(CacheExchange(read, 123.9).encode_request()) == READ.replace(b"d=480", b"d=123")
    assert b"".join(CacheExchange(write, 0.2).encode_request()) == WRITE.replace(b"d=900", b"d=1")


@pytest.mark.parametrize(
    ("line", "outcome", "cache_status"),
    [
        (b"EN Oa1\r\n", Outcome.MISS, None),
        (b"EN Oa1 h0 Z\r\n", Outcome.MISS, 3),
        (b"VA 0 Oa1 h1\r\n\r\n", Outcome.OK, 1),
        (b"SERVER_ERROR failed\r\n", Outcome.ERROR, None),
        (b"SERVER_ERROR busy\r\n", Outcome.FULL, None),
        (b"VA 0 Oother\r\n\r\n", Outcome.ERROR, None),  # a response to another command is never forwarded
        (b"HD Oa1 c7\r\n", Outcome.ERROR, None),
        (b"VA 4194305 Oa1\r\n", Outcome.ERROR, None),
        (b"VA 2 Oa1\r\nabcd", Outcome.ERROR, None),
        (b"VA 2 Oa1 " + b"x" * 3000, Outcome.ERROR, None),
        (b"VA 3000000000 Oa1\r\n", Outcome.ERROR, None),
        (b"\x93", Outcome.ERROR, None),  # garbage is rejected without waiting for its end
        # A load report that cannot be read does not invalidate the response.
        (b"VA 2 Oa1 h1 L\xff=,qps=\r\nok\r\n", Outcome.OK, 1),
    ],
)
def test_cache_response_when_parsed_has_its_outcome_and_cache_status(line, outcome, cache_status):
    result = CacheExchange(make_request(), 1.0).feed(line)
    assert (result.outcome, result.cache_status) == (outcome, cache_status)


@pytest.mark.parametrize(
    ("receipt", "outcome"),
    [
        (b"r7", Outcome.OK),
        (b"x" * MAX_RECEIPT_BYTES, Outcome.OK),
        (b"x" * (MAX_RECEIPT_BYTES + 1), Outcome.ERROR),
        (b"", Outcome.ERROR),
        (b"r\x00", Outcome.ERROR),
        (b"r\n7", Outcome.ERROR),
        (b"r\xff", Outcome.ERROR),
    ],
)
def test_receipt_when_it_cannot_be_forwarded_is_malformed_from_cache_servers_and_the_origin(receipt, outcome):
    # Guards against forwarding a receipt that one codec checks and the other does not.
    cache = CacheExchange(make_request(value=b"v"), 1.0)
    assert cache.feed(b"HD Oa1 c%b\r\n" % receipt).outcome is outcome
    origin = OriginExchange(make_request(value=b"v"), "o:1", 1.0)
    origin.encode_request()
    assert origin.feed(http_response(receipt)).outcome is outcome


def test_cache_response_when_more_bytes_follow_makes_the_connection_not_reusable():
    exchange = CacheExchange(make_request(), 1.0)
    assert exchange.feed(b"EN Oa1\r\nEN").outcome is Outcome.MISS
    assert not exchange.reusable
