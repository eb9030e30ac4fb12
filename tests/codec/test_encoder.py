"""Tests of the responses to memcache clients."""

from flintridge.codec.memcache.encoder import encode_rejection, encode_response
from flintridge.core.response import Response


def test_encoder_when_given_responses_and_rejections_writes_the_clients_protocol():
    assert b"".join(encode_response(b"a1", Response(b"va\r\n", False))) == b"VA 4 Oa1\r\nva\r\n\r\n"
    assert b"".join(encode_response(b"a1", Response(b"77", True))) == b"HD Oa1 c77\r\n"
    assert b"".join(encode_rejection(0)) == b"SERVER_ERROR busy\r\n"
    assert b"".join(encode_rejection(80.2)) == b"SERVER_ERROR busy 81\r\n"
