"""Types of entries: the table in the design document, and bodies that are rejected."""

import re

import pytest
from support.paths import ROOT

from flintridge.replication.value_types import VALUE_TYPES, WriteRejectedError, encode_body


def test_table_in_the_design_document_matches_the_types():
    text = (ROOT / "docs/design/replication.md").read_text()
    rows = {}
    for line in text.splitlines():
        if line.startswith("| `"):
            name, *cells = [cell.strip().strip("`") for cell in re.findall(r"[^|]+", line)]
            rows[name] = tuple(cells)
    assert rows == {
        value_type.name: (value_type.fields, value_type.rule, value_type.before_synchronized)
        for value_type in VALUE_TYPES.values()
    }


@pytest.mark.parametrize(
    ("type_name", "body", "message"),
    [
        ("hold", {"held": 1}, "true or false"),
        ("hold", {"held": True, "x": 1}, "unknown field x"),
        ("quota", {"factor": True}, "from 0 to 10"),
        ("quota", {"factor": 11}, "from 0 to 10"),
        ("note", {"text": ""}, "not empty"),
        ("stop", {"stopped": True, "return_ms": -1}, "from 0"),
        ("list", {}, "unknown type list; allowed: hold, quota, stop, note"),
    ],
)
def test_body_when_malformed_is_rejected_in_one_line(type_name, body, message):
    with pytest.raises(WriteRejectedError, match=message) as raised:
        encode_body(type_name, body)
    assert "\n" not in str(raised.value)
