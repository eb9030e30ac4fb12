"""Parsing errors: the position and the reason that are reported."""

import pytest
from support.configuration import fault_lines

from flintridge.config.decoding import decode
from flintridge.config.model import NodeFile


@pytest.mark.parametrize(
    ("file", "text", "reason"),
    [
        ("a.toml", b"a = 1\nb = = 2", "a.toml: line 2, column 5: not TOML: Invalid value"),
        ("a.toml", b"a = 1\na = 2", "line 2, column 6: not TOML: Cannot overwrite a value"),
        ("a.toml", b'a = "', "line 1, column 6: not TOML"),
        ("a.toml", b"a = 1\nb = '\xff'", "line 2, column 6: not UTF-8 text"),
        ("a.toml", b"a = " + b"[" * 10**5, "not TOML: nested too deeply"),
        ("a.toml", b"a = 1" + b"0" * 5000, "not TOML: "),
        ("a.json", b'{"a": 1,\n "b": }', "a.json: line 2, column 7: not JSON: Expecting value"),
        ("a.json", b'{"a": 1, "a": 2}', "'a' is a duplicate name in an object"),
        ("a.json", b'{"a": NaN}', "NaN is not a JSON value"),
        ("a.json", b"[" * 10**5, "not JSON: nested too deeply"),
        ("a.json", b"[1]", "a.json: [1]: must be a table"),
        ("a.json", b'{"classes": [{"name": "\\ud800"}]}', "contains an unpaired surrogate"),
        ("a.json", b'{"\\ud800": 1, "classes": [{"name": "a"}]}', "'\\ud800': 1: unknown name"),
    ],
)
def test_decode_when_text_cannot_be_parsed_then_reports_line_and_column(file, text, reason):
    (line,) = fault_lines(decode, file, text, NodeFile)
    assert reason in line
    assert line.isprintable()
