"""The clients' parser of responses."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.load.responses import ResponseParser
from flintridge.lab.record_log import body_digest

RESPONSES = [
    (b"VA 5 Oa1\r\nhello\r\n", ("served", "a1", body_digest(b"hello"), 0)),
    (b"VA 0 Oa1\r\n\r\n", ("served", "a1", body_digest(b""), 0)),
    (b"VA 4 Oa1\r\n\r\n\r\n\r\n", ("served", "a1", body_digest(b"\r\n\r\n"), 0)),
    (b"HD Oa2 cw1.x\r\n", ("served", "a2", body_digest(b"w1.x"), 0)),
    (b"SERVER_ERROR busy\r\n", ("refused", "", "", 0)),
    (b"SERVER_ERROR busy 250\r\n", ("refused", "", "", 250)),
    (b"SERVER_ERROR failed\r\n", ("failed", "", "", 0)),
    (b"CLIENT_ERROR bad number\r\n", ("error", "", "", 0)),
    (b"ERROR\r\n", ("error", "", "", 0)),
    (b"MN\r\n", ("ready", "", "", 0)),
]


MALFORMED = [
    *(b"VA -1 Oa\r\n", b"VA 05 Oa\r\n", b"VA 65537 Oa\r\n", b"VA 5\r\n", b"VA 5 Oa x\r\n", b"VA 5 O\r\n"),
    *(b"VA 3 Oa\r\nabcde\r\n", b"HD Oa\r\n", b"HD Oa c\r\n", b"HD Oa w1\r\n", b"EN Oa\r\n", b"\r\n"),
    *(b"SERVER_ERROR busy -4\r\n", b"SERVER_ERROR busy 1 2\r\n", b"ERROR x\r\n", b"MN x\r\n", b"\x00\xff"),
    *(b"VA " + b"1" * 3000, b"SERVER_ERROR " + b"x" * 3000, b"hello"),
]


@given(st.lists(st.sampled_from(RESPONSES), max_size=6), st.lists(st.integers(1, 9), min_size=1))
@FIXED
def test_responses_when_they_arrive_in_any_pieces_then_are_parsed_completely(responses, sizes):
    data = b"".join(data for data, _ in responses)
    sizes = itertools.cycle(sizes)
    parser = ResponseParser()
    parsed = []
    while data:
        size = next(sizes)
        parsed += parser.feed(data[:size])
        data = data[size:]
    fields = [(one.kind, one.request_id, one.body_digest, one.retry_after_ms) for one in parsed]
    assert fields == [expected for _, expected in responses]
    assert not parser.is_partial


@pytest.mark.parametrize("data", MALFORMED)
def test_parser_when_bytes_are_no_response_then_reports_garbled_and_reads_no_more(data):
    parser = ResponseParser()
    parsed = parser.feed(b"MN\r\n" + data + b"MN\r\n")
    assert [one.kind for one in parsed] == ["ready", "garbled"]
    assert len(parsed[1].text) <= 120 and parser.feed(b"MN\r\n") == []


@given(st.lists(st.binary(max_size=40), max_size=5))
@FIXED
def test_parser_when_fed_random_bytes_then_raises_nothing(pieces):
    parser = ResponseParser()
    for piece in pieces:
        parser.feed(piece)
