"""Tests of the parser for HTTP dates."""

from datetime import UTC, datetime
from email.utils import format_datetime

import pytest
from hypothesis import given
from hypothesis import strategies as st

from flintridge.codec.http.date import parse_date_ms


@given(st.datetimes(min_value=datetime(1970, 1, 1), max_value=datetime(9999, 12, 31)))
def test_date_when_written_by_the_standard_library_then_is_read_to_the_second(moment):
    whole = moment.replace(microsecond=0, tzinfo=UTC)
    assert parse_date_ms(format_datetime(whole, usegmt=True).encode()) == whole.timestamp() * 1000


def test_date_when_it_is_a_leap_second_then_is_the_last_second_that_unix_time_has():
    assert parse_date_ms(b"Sat, 31 Dec 2016 23:59:60 GMT") == parse_date_ms(b"Sat, 31 Dec 2016 23:59:59 GMT")


def test_date_when_it_has_an_offset_then_it_is_applied():
    at_gmt = parse_date_ms(b"Sun, 06 Nov 1994 08:49:37 GMT")
    assert parse_date_ms(b"Sun, 06 Nov 1994 10:19:37 +0130") == at_gmt
    assert parse_date_ms(b"Sun, 06 Nov 1994 07:49:37 -0100") == at_gmt


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"now",
        b"0",
        b"Sun, 31 Feb 2026 00:00:00 GMT",
        b"Sun, 06 Nov 1994 24:00:00 GMT",
        b"Sun, 06 Nov 0000 08:49:37 GMT",
        b"Sun, 06 Nov 1994 08:49:37 +9900",
        b"Sunday, 06-Nov-94 08:49:37 GMT",
        b"Sun, 06 Nov 1994 08:49:37 GMT, Sun, 06 Nov 1994 08:49:37 GMT",
        b"\xff" * 29,
    ],
)
def test_date_when_it_is_not_a_valid_instant_then_is_none(value):
    assert parse_date_ms(value) is None
