"""Copies: the algebra of every type, all interleavings of a few, planted defects, the rules one by one."""

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from support.paths import ROOT

from flintridge.lab.defects.copies import COPYING, EmptyCopyWins
from flintridge.lab.explore import explore
from flintridge.lab.explore.copies import Copies, Left
from flintridge.lab.partial.copying import random_day
from flintridge.replication.comparison import SyncState
from flintridge.replication.entry import (
    Entry,
    VectorComponent,
    Version,
    active_version,
    by_precedence,
    merge,
    with_write,
)
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.replica import Replica
from flintridge.replication.value_types import VALUE_TYPES, WriteRejectedError, encode_body

play = settings(derandomize=True, deadline=None, database=None, max_examples=100)
NONE = {"writes": 0, "deletes": 0, "asks": 0}
LIMITS = ReplicaLimits(tombstone_ms=1000.0, sync_wait_ms=500.0, max_entries=50, max_entry_bytes=200)
KEY = ("hold", "s1")

# The algebra, of all that writes and merges can bring about

BODIES = {
    "hold": [{"held": True}, {"held": False}],
    "quota": [{"factor": 0.5}, {"factor": 2}],
    "stop": [{"stopped": True, "return_ms": 9}, {"stopped": False}],
    "note": [{"text": "x"}, {"text": "y"}],
}
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 3), st.booleans(), st.integers(0, 2)), min_size=1, max_size=9
)


def brought_about(kind, steps):
    """Three copies of one key, after writes here and words from there."""
    copies, count = [Entry()] * 3, 0
    for i, what, deleted, other in steps:
        if what == 3:
            copies[i] = merge(copies[i], copies[other])
        else:
            count += 1
            body = encode_body(kind, BODIES[kind][what % 2])
            lasts = float("inf") if what else 50.0
            version = Version(
                (("abc"[i], 1), count), float(count), 7 * what + count, body, "", "", lasts, deleted
            )
            copies[i] = with_write(copies[i], version)
    return copies


@pytest.mark.parametrize("kind", VALUE_TYPES)
@play
@given(steps=STEPS)
def test_merge_is_commutative_associative_and_idempotent_and_all_choose_the_same(kind, steps):
    a, b, c = brought_about(kind, steps)
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a and merge(merge(a, b), b) == merge(a, b)
    assert active_version(kind, merge(a, b), 40.0) == active_version(kind, merge(b, a), 40.0)


def both(kind, one, other, later_wins=True):
    versions = [
        Version((("ab"[i], 1), 1), 0.0, i, encode_body(kind, body), "", "", *more)
        for i, (body, *more) in enumerate((one, other))
    ]
    entries = [Entry((one,), (VectorComponent(one.dot[0], 1, 0.0),)) for one in versions]
    order = by_precedence(kind, merge(*entries), 10.0)
    assert len(order) == 2
    return order[0].dot[0][0]


@pytest.mark.parametrize(
    ("kind", "strict", "mild"),
    [
        ("hold", ({"held": True},), ({"held": False},)),
        ("hold", ({"held": True},), ({"held": False}, float("inf"), True)),
        ("hold", ({"held": False},), ({"held": True}, 5.0)),  # over by then
        ("quota", ({"factor": 0.2},), ({"factor": 0.5},)),
        ("stop", ({"stopped": True},), ({"stopped": False},)),
        ("stop", ({"stopped": True}, 900.0), ({"stopped": True}, 90.0)),
    ],
)
def test_of_two_concurrent_writes_the_stricter_counts_whichever_is_newer(kind, strict, mild):
    assert both(kind, strict, mild) == "a" and both(kind, mild, strict) == "b"


def test_the_table_of_the_design_note_is_the_rule():
    text = (ROOT / "docs/design/replication.md").read_text()
    rows = {
        row[0]: tuple(row[1:])
        for row in (re.findall(r"[^|]+", line) for line in text.splitlines() if line.startswith("| `"))
        for row in [[cell.strip().strip("`") for cell in row]]
    }
    assert rows == {one.name: (one.fields, one.rule, one.before_synchronized) for one in VALUE_TYPES.values()}


@pytest.mark.parametrize(
    ("kind", "body", "says"),
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
def test_a_bad_body_is_refused_in_a_line(kind, body, says):
    with pytest.raises(WriteRejectedError, match=says) as told:
        encode_body(kind, body)
    assert "\n" not in str(told.value)


# Every interleaving


@pytest.mark.parametrize(
    ("size", "left", "written", "states"),
    [
        (3, {"writes": 2, "deletes": 1}, False, 500),
        (3, {"deletes": 1, "asks": 1, "ticks": 2}, True, 300),
        (2, {"writes": 2, "deletes": 1, "asks": 1}, False, 900),
        (2, {"writes": 1, "asks": 2, "restarts": 1, "losses": 1}, False, 300),
        (2, {"writes": 1, "deletes": 1, "says": 1, "ticks": 2}, False, 300),
    ],
)
def test_copies_come_to_be_the_same_and_nothing_is_lost_or_returns(size, left, written, states):
    """The longer searches are a command: benchmarks/copies_search.py."""
    found = explore(Copies.begin(size, Left(**NONE | left), written=written))
    assert found.whole and not found.broken, (found.broken, found.story)
    assert found.states > states


# What has to happen for a defect to show, where two writes, a deletion and a call do not do.
SHOWN = {
    "DeletionForgottenEarly": (2, False, {"writes": 1, "deletes": 1, "doubles": 1, "ticks": 2}),
    "SliceTakenTwiceCounts": (2, True, {"asks": 1, "doubles": 1, "restarts": 1}),
    "DotReused": (2, False, {"writes": 2, "asks": 2, "restarts": 1}),
    "ReturnedBelieved": (2, True, {"deletes": 1, "ticks": 2}),
    "KeptByTheReturned": (2, True, {"deletes": 1, "ticks": 2, "asks": 2}),
    "WholeFromPart": (2, True, {"asks": 2, "restarts": 1}),
    "AnySourceWillDo": (2, True, {"asks": 2, "restarts": 2}),
    "FirstSliceIsAll": (2, True, {"asks": 1, "restarts": 1}),
}


@pytest.mark.parametrize("defect", COPYING, ids=lambda defect: defect.__name__)
def test_each_planted_defect_is_found_with_its_story(defect):
    size, written, left = SHOWN.get(defect.__name__, (2, False, {"writes": 2, "deletes": 1, "asks": 1}))
    start = Copies.begin(size, Left(**NONE | left), defect, written)
    found = explore(start)
    assert defect.__doc__ and found.broken and found.story, (defect.__doc__, found.states)


@pytest.mark.parametrize("seed", range(2))
def test_random_days_of_five_nodes_lose_nothing_that_two_had_and_nothing_deleted_returns(seed):
    """More of them are a command: benchmarks/replica_days.py."""
    day = random_day(seed, length_ms=30_000.0)
    assert day.acknowledged > 30 and day.kills and day.cuts and not day.wrong


def test_the_judge_of_days_knows_a_copy_that_an_empty_one_empties():
    assert "is lost" in random_day(0, length_ms=30_000.0, make=EmptyCopyWins).wrong[0]


# Clause by clause


def copy(name="a", life=1, now=0.0, **more):
    return Replica((name, life), LIMITS, now, **more)


def pull(one, other, now):
    """All of `other`, as if their clocks were one."""
    while not one.apply_chunk(
        now, other.writer, other.make_chunk(one.next_request(other.writer), max_bytes=1)
    ):
        pass


def test_a_release_that_has_seen_the_hold_ends_it_and_one_that_has_not_is_a_conflict_of_both():
    a, b = copy("a"), copy("b")
    a.write(0.0, KEY, encode_body("hold", {"held": True}), "ann", "disk")
    b.receive(1.0, KEY, a.entries[KEY])
    b.write(2.0, KEY, encode_body("hold", {"held": False}), "bob", "well", deleted=True)
    a.write(2.0, KEY, encode_body("hold", {"held": True}), "ann", "again")
    a.receive(3.0, KEY, b.entries[KEY])
    assert a.active_version(KEY, 3.0).reason == "again" and len(a.entries[KEY].versions) == 2
    assert a.counts["conflicts"] == 1 and list(a.conflicting_keys()) == [KEY]
    a.write(4.0, KEY, encode_body("hold", {"held": False}), "ann", "seen both", deleted=True)
    b.receive(5.0, KEY, a.entries[KEY])
    assert b.active_version(KEY, 5.0) is None and not list(b.conflicting_keys())


def test_what_is_beyond_a_bound_is_refused_to_its_writer_and_nothing_is_written():
    a = copy()
    with pytest.raises(WriteRejectedError, match=r"bytes are over entry_bytes of 200"):
        a.write(0.0, KEY, b"x" * 200, "", "")
    with pytest.raises(WriteRejectedError, match="longer than 0 ms"):
        a.write(0.0, KEY, b"", "", "", lifetime_ms=0.0)
    for i in range(50):
        a.write(0.0, ("note", str(i)), b"", "", "")
    with pytest.raises(WriteRejectedError, match="allowed: 50"):
        a.write(0.0, ("note", "more"), b"", "", "")
    a.write(0.0, ("note", "7"), b"", "", "", deleted=True)
    assert len(a.entries) == 50


def test_a_deletion_is_forgotten_in_time_and_one_that_was_away_for_ever_ends_its_own():
    a, b = copy("a"), copy("b")
    a.mark_synchronized(), b.mark_synchronized()
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    a.write(2.0, KEY, b"", "", "", deleted=True)
    a.write(3.0, ("note", "x"), b"", "", "")
    b.write(3.0, ("note", "y"), b"", "", "")
    a.expire(1e6)
    assert KEY not in a.entries
    pull(a, b, 1e6)
    pull(b, a, 1e6)
    assert a.active_version(KEY, 1e6) is None and b.active_version(KEY, 1e6) is None
    b.expire(1e6 + 2_000.0)
    a.expire(1e6 + 2_000.0)
    assert (
        b.active_version(("note", "x"), 1e6) and a.active_version(("note", "y"), 1e6) and a.root() == b.root()
    )


def test_copies_that_are_the_same_forget_a_deletion_without_a_comparison():
    a, b = copy("a"), copy("b")
    a.write(0.0, KEY, b"", "", "")
    a.write(1.0, KEY, b"", "", "", deleted=True)
    b.receive(2.0, KEY, a.entries[KEY])
    b.expire(5_000.0)
    assert KEY in b.entries  # a write of another one may be on its way still
    b.receive_root(5_000.0, a.writer, a.root(), peer_synchronized=True, peer_writes=a.write_count)
    b.expire(5_000.0)
    assert KEY not in b.entries


def test_copies_do_not_hand_one_another_what_both_have_forgotten_before():
    a, b = copy("a"), copy("b")
    a.write(0.0, KEY, b"", "", "")
    a.write(1.0, KEY, b"", "", "", deleted=True)
    pull(b, a, 2.0)
    a.expire(9_000.0)
    pull(a, b, 9_000.0)
    assert KEY not in a.entries and KEY in b.entries
    b.expire(9_000.0)
    assert a.root() == b.root()


def test_emptiness_never_counts_and_the_state_is_had_only_from_one_that_has_it():
    a, b, c = copy("a"), copy("b"), copy("c", now=400.0)
    a.mark_synchronized()
    a.write(0.0, KEY, b"", "", "")
    pull(c, b, 410.0)
    assert c.sync_state is SyncState.SYNCHRONIZING
    pull(a, c, 410.0)
    assert a.active_version(KEY, 410.0)
    c.receive_root(600.0, a.writer, a.root(), peer_synchronized=True, peer_writes=1)
    c.expire(1_000.0)
    assert c.sync_state is SyncState.SYNCHRONIZING  # one that has caught up was heard
    pull(c, a, 1_000.0)
    assert c.sync_state is SyncState.SYNCHRONIZED and c.active_version(KEY, 1_000.0)
    late = copy("d")
    for now in range(0, 3_000, 100):
        late.receive_root(now, a.writer, a.root(), peer_synchronized=True, peer_writes=1)
        late.expire(float(now))
    assert late.sync_state is SyncState.UNSYNCHRONIZED
    late.receive_root(3_000.0, a.writer, a.root(), peer_synchronized=True, peer_writes=1)
    late.expire(3_000.0)
    assert late.sync_state is SyncState.SYNCHRONIZED  # it is heard, but gives nothing
    b.expire(499.0)
    assert b.sync_state is not SyncState.SYNCHRONIZED
    b.expire(500.0)
    assert b.sync_state is SyncState.SYNCHRONIZED  # nobody was heard for the stated time


def test_a_pass_whose_source_dies_goes_on_with_another_and_sends_nothing_twice():
    a, b = copy("a"), copy("b")
    a.mark_synchronized(), b.mark_synchronized()
    for i in range(40):
        a.write(0.0, ("note", str(i)), b"x", "", "")
    pull(b, a, 1.0)
    new = copy("c")
    for _ in range(2):
        new.apply_chunk(2.0, a.writer, a.make_chunk(new.next_request(a.writer), max_bytes=500))
    had = len(new.entries)
    new.abandon_comparison(a.writer)
    rest = b.make_chunk(new.next_request(b.writer), max_bytes=1 << 20)
    assert 0 < had < 40 and len(rest.entries) == 40 - had
    assert (
        new.apply_chunk(3.0, b.writer, rest)
        and new.root() == a.root()
        and new.sync_state is SyncState.SYNCHRONIZED
    )
    assert not new.apply_chunk(3.0, b.writer, rest) and new.counts["chunks_out_of_order"] == 1


def test_a_stamp_far_ahead_is_not_taken_and_not_believed_to_be_had():
    told = []
    hour = 3_600_000.0
    a = copy("a", time_of_day_offset=1e12 + hour)
    b = copy("b", time_of_day_offset=1e12, log_event=lambda event, **fields: told.append(event))
    a.mark_synchronized()
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    assert (
        not b.entries and b.counts["clock_ahead"] == 1 and told == ["state_clock_ahead", "state_synchronized"]
    )
    pull(a, b, 2.0)
    assert a.active_version(KEY, 2.0)
    b.time_of_day_offset += hour
    pull(b, a, 3.0)
    assert b.active_version(KEY, 3.0)  # once the clocks are right


def test_a_type_that_is_not_known_is_kept_and_passed_on_untouched():
    a, b, c = copy("a"), copy("b"), copy("c")
    a.write(0.0, ("later", "x"), b"\xc1 not read here", "", "")
    pull(b, a, 1.0)
    pull(c, b, 2.0)
    assert c.entries[("later", "x")] == a.entries[("later", "x")]


def test_digests_are_the_same_for_copies_that_hold_the_same_and_differ_where_one_has_ended_it():
    a, b = copy("a"), copy("b")
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    assert a.root() == b.root()
    b.write(2.0, KEY, b"", "", "", deleted=True)
    assert a.root() != b.root() and sum(x != y for x, y in zip(a.digests, b.digests, strict=True)) == 1
