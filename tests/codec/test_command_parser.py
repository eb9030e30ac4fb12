"""Commands of memcache clients: valid, invalid, and cut anywhere."""

import pytest
from hypothesis import given
from support.codec import CUTS, READ, STREAM, parse_commands, split_at
from support.network import FIXED

from flintridge.codec.memcache.commands import InvalidCommand, NoOp


@FIXED
@given(CUTS)
def test_commands_when_cut_anywhere_parse_the_same(cuts):
    assert parse_commands(split_at(STREAM, cuts)) == parse_commands([STREAM])


def test_command_when_valid_becomes_a_request_or_a_no_op():
    read, write, no_op, *_ = parse_commands([STREAM])
    assert (read.id, read.key, read.timeout_ms, read.work_us, read.size) == (b"a1", b"key7", 480, 12000, 18)
    assert (read.class_index, read.write, read.retry) == (0, False, False)
    assert (write.class_index, write.value, write.retry) == (1, b"he\r\nllo", True)
    assert isinstance(no_op, NoOp)


@pytest.mark.parametrize(
    ("text", "reason", "framing_holds"),
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
def test_command_when_invalid_is_reported_and_skipped_if_the_framing_holds(text, reason, framing_holds):
    bad, *rest = parse_commands([text, READ])
    assert bad == InvalidCommand(reason, fatal=not framing_holds)
    assert rest == (parse_commands([READ]) if framing_holds else [])
