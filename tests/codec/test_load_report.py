"""Tests of the parser for load reports."""

import pytest

from flintridge.codec.load_report import parse_load_report


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"", {}),
        (b"qps=12.5,util=0.4", {"qps": 12.5, "util": 0.4}),
        (b"qps=many,util=nan,cold=inf,=3,alone,ok=1", {"ok": 1.0}),
    ],
)
def test_load_report_when_parsed_has_its_finite_numbers_only(text, report):
    assert parse_load_report(text) == report
