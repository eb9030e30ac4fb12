"""Entries: the algebra of merging them, for every type, and which of two concurrent versions applies."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flintridge.replication.entry import (
    Entry,
    VectorComponent,
    Version,
    active_version,
    by_precedence,
    merge,
    with_write,
)
from flintridge.replication.value_types import VALUE_TYPES, encode_body

reproducible = settings(derandomize=True, deadline=None, database=None, max_examples=100)
FOREVER = float("inf")

BODIES = {
    "hold": [{"held": True}, {"held": False}],
    "quota": [{"factor": 0.5}, {"factor": 2}],
    "stop": [{"stopped": True, "return_ms": 9}, {"stopped": False}],
    "note": [{"text": "x"}, {"text": "y"}],
}
MERGE = 3
# A step has a replica, the index of a body or MERGE, whether a write is a tombstone, and the replica to merge
# with.
STEPS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, MERGE), st.booleans(), st.integers(0, 2)),
    min_size=1,
    max_size=9,
)


def apply_steps(type_name, steps):
    """Apply writes and merges to three replicas, and return their entries for one key."""
    entries = [Entry()] * 3
    count = 0
    for replica, action, deleted, source in steps:
        if action == MERGE:
            entries[replica] = merge(entries[replica], entries[source])
            continue
        count += 1
        version = Version(
            dot=(("abc"[replica], 1), count),
            written_at=float(count),
            stamp=7 * action + count,
            body=encode_body(type_name, BODIES[type_name][action % 2]),
            author="",
            reason="",
            lifetime_ms=FOREVER if action else 50.0,
            deleted=deleted,
        )
        entries[replica] = with_write(entries[replica], version)
    return entries


@pytest.mark.parametrize("type_name", VALUE_TYPES)
@reproducible
@given(steps=STEPS)
def test_merge_of_any_entries_is_commutative_associative_and_idempotent(type_name, steps):
    a, b, c = apply_steps(type_name, steps)
    assert merge(a, b) == merge(b, a)
    assert merge(a, merge(b, c)) == merge(merge(a, b), c)
    assert merge(a, a) == a
    assert merge(merge(a, b), b) == merge(a, b)
    assert active_version(type_name, merge(a, b), 40.0) == active_version(type_name, merge(b, a), 40.0)


def first_of_concurrent(type_name, *writes):
    """Return the node, a or b, whose concurrent write applies at 10 ms; that of b has the newer stamp."""
    entries = []
    for stamp, (node, (body, *lifetime_and_deleted)) in enumerate(zip("ab", writes, strict=True)):
        writer = (node, 1)
        encoded = encode_body(type_name, body)
        version = Version((writer, 1), 0.0, stamp, encoded, "", "", *lifetime_and_deleted)
        entries.append(Entry((version,), (VectorComponent(writer, 1, 0.0),)))
    versions = by_precedence(type_name, merge(*entries), 10.0)
    assert len(versions) == 2
    return versions[0].dot[0][0]


@pytest.mark.parametrize(
    ("type_name", "strict", "mild"),
    [
        ("hold", ({"held": True},), ({"held": False},)),
        ("hold", ({"held": True},), ({"held": False}, FOREVER, True)),
        ("hold", ({"held": False},), ({"held": True}, 5.0)),  # expired at 10 ms
        ("quota", ({"factor": 0.2},), ({"factor": 0.5},)),
        ("stop", ({"stopped": True},), ({"stopped": False},)),
        ("stop", ({"stopped": True}, 900.0), ({"stopped": True}, 90.0)),
    ],
)
def test_precedence_when_two_writes_are_concurrent_is_the_stricter_ones_whichever_is_newer(
    type_name, strict, mild
):
    assert first_of_concurrent(type_name, strict, mild) == "a"
    assert first_of_concurrent(type_name, mild, strict) == "b"
