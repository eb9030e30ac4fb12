"""The lab's parser of memcache commands."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.lab.world.memcache import CommandKind, CommandReader

STREAM = b"mg k O1 v\r\nmg k v Ou1 Pc=read,d=480\r\nms k 6 Ou2 Pc=put,d=9,k=i\r\na\r\nb\r\n\r\nmn\r\n"
STREAM += b"stats load\r\n"


@FIXED
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_commands_when_cut_anywhere_are_the_same(cuts):
    reader, found, started = CommandReader(), [], {}
    for a, b in pairwise([0, *sorted(cuts), len(STREAM)]):
        for command in reader.feed(STREAM[a:b], float(a)):
            found.append((command.kind.value, command.request_id, command.time_left_ms, command.value))
            started[command.kind.value] = command.started_at
    read, write = ("mg", "u1", 480.0, None), ("ms", "u2", 9.0, b"a\r\nb\r\n")
    assert found == [
        ("bad", "", 0.0, None),
        read,
        write,
        ("mn", "", 0.0, None),
        ("stats load", "", 0.0, None),
    ]
    starts = {kind: STREAM.index(text) for kind, text in (("mg", b"mg k v"), ("ms", b"ms"), ("mn", b"mn"))}
    for kind, start in starts.items():
        assert started[kind] == max(cut for cut in (0, *cuts) if cut <= start)


@pytest.mark.parametrize(
    ("line", "fatal"),
    [
        (b"mg k v Ou1", False),
        (b"mg k v O Pd=1", False),
        (b"mg k v Ou1 Pc=read", False),
        (b"mg k v Ou1 Pd=0", False),
        (b"mg k v Ou1 Pd=nan", False),
        (b"mg k v Ou1 Pd=1,d=1", False),
        (b"mg k v Ou1 Pd=1,", False),
        (b"mg " + b"k" * 251 + b" v Ou1 Pd=1", False),
        (b"mg k  v Ou1 Pd=1", False),
        (b"get k", False),
        (b"", False),
        (b"ms k 65537 Ou1 Pd=1", True),
        (b"ms k 07 Ou1 Pd=1", True),
        (b"ms k 1 Ou1 Pd=x", True),
        (b"ms k 1 Ou1 Pd=1\r\nabc", True),
        (b"x" * 5000, True),
    ],
)
def test_a_command_when_no_client_may_send_it_is_malformed(line, fatal):
    [bad, *rest] = CommandReader().feed(line + b"\r\nmn\r\n", 0.0)
    assert (bad.kind, bad.fatal, len(rest)) == (CommandKind.MALFORMED, fatal, 0 if fatal else 1)
