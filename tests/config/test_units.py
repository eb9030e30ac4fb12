"""Suggestions for unknown keys and for values with a wrong unit."""

import pytest
from support.configuration import fault_lines

from flintridge.config.decoding import decode
from flintridge.config.model import NodeFile


@pytest.mark.parametrize(
    ("line", "reason"),
    [
        ('aim = "1.2s"', "classes[0].aim: '1.2s': wrong unit: it is aim_ms (milliseconds)"),
        ("aim_s = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aim_ns = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aimSeconds = 1", "wrong unit: it is aim_ms (milliseconds)"),
        ("aimMs = 1", "unknown name: did you mean aim_ms?"),
        ('aim_ms = "1.2s"', "write 1200, the unit is part of the name"),
        ('aim_ms = "12"', "'12': must be a number > 0"),
        ("aim_ms = nan", "nan: must be a number > 0"),
        ("aim_ms = inf", "inf: must be a number > 0"),
        ("aim_ms = 1979-05-27", "must be a number > 0"),
        (f"aim_ms = 0x{'f' * 5000}", "must be > 0 and <= 86400000"),
        ("qqq = 1", "unknown name: the known names are name, aim_ms, deadline_ms,"),
        ('"a\\nb" = 1', "classes[0].'a\\nb': 1: unknown name"),
        ('"" = 1', "classes[0].'': 1: unknown name"),
    ],
)
def test_decode_when_a_name_or_its_unit_is_wrong_then_suggests_the_right_one(line, reason):
    text = f'[[classes]]\nname = "a"\n{line}\n'
    (fault,) = fault_lines(decode, "n.toml", text.encode(), NodeFile)
    assert reason in fault
