"""Replicas: tombstones, synchronization, comparisons, clocks, conflicts, unknown types and digests."""

import pytest
from support.replication import KEY, make_replica, pull

from flintridge.replication.comparison import IncompatibleDigestsError, SyncState
from flintridge.replication.entry import by_precedence
from flintridge.replication.hybrid_clock import MAX_STAMP
from flintridge.replication.limits import ReplicaLimits
from flintridge.replication.value_types import encode_body

HELD = encode_body("hold", {"held": True})
RELEASED = encode_body("hold", {"held": False})
NOTE_X = ("note", "x")
NOTE_Y = ("note", "y")


def test_tombstone_when_expired_still_removes_the_version_from_a_replica_that_was_unreachable():
    a = make_replica("a")
    b = make_replica("b")
    a.mark_synchronized()
    b.mark_synchronized()
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    a.write(2.0, KEY, b"", "", "", deleted=True)
    a.write(3.0, NOTE_X, b"", "", "")
    b.write(3.0, NOTE_Y, b"", "", "")
    a.expire(1e6)
    assert KEY not in a.entries
    pull(a, b, 1e6)
    pull(b, a, 1e6)
    assert a.active_version(KEY, 1e6) is None
    assert b.active_version(KEY, 1e6) is None
    b.expire(1e6 + 2_000.0)
    a.expire(1e6 + 2_000.0)
    assert b.active_version(NOTE_X, 1e6)
    assert a.active_version(NOTE_Y, 1e6)
    assert a.root() == b.root()


def test_tombstone_when_replicas_are_equal_expires_without_a_comparison():
    a = make_replica("a")
    b = make_replica("b")
    a.write(0.0, KEY, b"", "", "")
    a.write(1.0, KEY, b"", "", "", deleted=True)
    b.receive(2.0, KEY, a.entries[KEY])
    b.expire(5_000.0)
    assert KEY in b.entries  # a write of another process may still be in flight
    b.receive_root(5_000.0, a.writer, a.root(), peer_synchronized=True, peer_writes=a.write_count)
    b.expire(5_000.0)
    assert KEY not in b.entries


def test_tombstone_when_expired_in_one_replica_is_not_sent_back_by_the_other():
    a = make_replica("a")
    b = make_replica("b")
    a.write(0.0, KEY, b"", "", "")
    a.write(1.0, KEY, b"", "", "", deleted=True)
    pull(b, a, 2.0)
    a.expire(9_000.0)
    pull(a, b, 9_000.0)
    assert KEY not in a.entries
    assert KEY in b.entries
    b.expire(9_000.0)
    assert a.root() == b.root()


def test_synchronization_when_a_synchronized_peer_is_reachable_is_complete_only_with_it():
    source = make_replica("a")
    source.mark_synchronized()
    source.write(0.0, KEY, b"", "", "")
    unsynchronized = make_replica("b")
    replica = make_replica("c", now=400.0)
    pull(replica, unsynchronized, 410.0)
    assert replica.sync_state is SyncState.SYNCHRONIZING
    pull(source, replica, 410.0)
    assert source.active_version(KEY, 410.0)  # an entry that a source lacks is not deleted
    replica.receive_root(600.0, source.writer, source.root(), peer_synchronized=True, peer_writes=1)
    replica.expire(1_000.0)
    assert replica.sync_state is SyncState.SYNCHRONIZING  # a synchronized peer has sent a message
    pull(replica, source, 1_000.0)
    assert replica.sync_state is SyncState.SYNCHRONIZED
    assert replica.active_version(KEY, 1_000.0)


def test_synchronization_when_the_reachable_source_delivers_nothing_ends_after_six_waits():
    source = make_replica("a")
    source.mark_synchronized()
    source.write(0.0, KEY, b"", "", "")
    replica = make_replica("d")
    for now in range(0, 3_000, 100):
        replica.receive_root(now, source.writer, source.root(), peer_synchronized=True, peer_writes=1)
        replica.expire(float(now))
    assert replica.sync_state is SyncState.UNSYNCHRONIZED
    replica.receive_root(3_000.0, source.writer, source.root(), peer_synchronized=True, peer_writes=1)
    replica.expire(3_000.0)
    assert replica.sync_state is SyncState.SYNCHRONIZED


def test_synchronization_when_no_synchronized_peer_is_reachable_ends_after_the_wait():
    replica = make_replica("b")
    replica.expire(499.0)
    assert replica.sync_state is not SyncState.SYNCHRONIZED
    replica.expire(500.0)
    assert replica.sync_state is SyncState.SYNCHRONIZED


def test_comparison_when_its_source_dies_continues_with_another_and_nothing_is_sent_twice():
    a = make_replica("a")
    b = make_replica("b")
    a.mark_synchronized()
    b.mark_synchronized()
    for i in range(40):
        a.write(0.0, ("note", str(i)), b"x", "", "")
    pull(b, a, 1.0)
    replica = make_replica("c")
    for _ in range(2):
        replica.apply_chunk(2.0, a.writer, a.make_chunk(replica.next_request(a.writer), max_bytes=500))
    received = len(replica.entries)
    replica.abandon_comparison(a.writer)
    remaining = b.make_chunk(replica.next_request(b.writer), max_bytes=1 << 20)
    assert 0 < received < 40
    assert len(remaining.entries) == 40 - received
    assert replica.apply_chunk(3.0, b.writer, remaining)
    assert replica.root() == a.root()
    assert replica.sync_state is SyncState.SYNCHRONIZED
    assert not replica.apply_chunk(3.0, b.writer, remaining)
    assert replica.counts["chunks_out_of_order"] == 1


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize(("writer_ahead_ms", "reader_ahead_ms"), [(HOUR_MS, 0.0), (0.0, -HOUR_MS)])
def test_entry_when_its_writers_clock_is_ahead_or_the_readers_behind_is_accepted_and_logged_once(
    writer_ahead_ms, reader_ahead_ms
):
    events = []
    a = make_replica("a", time_of_day_offset=1e12 + writer_ahead_ms)
    b = make_replica(
        "b",
        time_of_day_offset=1e12 + reader_ahead_ms,
        log_event=lambda event, **fields: events.append((event, fields.get("accepted"))),
    )
    a.mark_synchronized()
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    assert b.receive(2.0, KEY, a.entries[KEY])  # the entry arrives again, as a rumor
    assert b.active_version(KEY, 2.0)
    assert b.complete_up_to == {a.writer: 1}
    assert b.counts["clock_ahead"] == 1
    assert events == [("state_clock_ahead", True), ("state_synchronized", None)]
    assert b.root() == a.root()


def test_entry_when_its_stamp_leaves_no_room_for_later_ones_is_rejected_and_not_counted_as_received():
    events = []
    a = make_replica("a", time_of_day_offset=1e12)
    b = make_replica(
        "b",
        time_of_day_offset=1e12,
        log_event=lambda event, **fields: events.append((event, fields.get("accepted"))),
    )
    a.mark_synchronized()
    a.stamps.observe(MAX_STAMP)
    a.write(0.0, KEY, b"", "", "")
    a.write(0.0, ("hold", "s2"), b"", "", "")
    pull(b, a, 1.0)
    assert not b.entries
    assert b.counts["clock_ahead"] == 2
    assert events == [("state_clock_ahead", False)] * 2 + [("state_synchronized", None)]
    assert b.write(2.0, KEY, b"", "", "").stamp < MAX_STAMP
    assert not b.complete_up_to.get(a.writer)


def test_newer_write_when_its_writers_clock_was_stepped_back_an_hour_wins_over_an_older_one_it_never_saw():
    a, b, c = (make_replica(node, time_of_day_offset=1e12) for node in "abc")
    key = ("note", "n")  # of two concurrent notes the newer one is first
    older = a.write(0.0, key, b"", "", "")
    b.stamps.time_of_day_offset -= HOUR_MS
    # b has not received a's note, but it observes the later stamp of c, so its own stamps follow both.
    c.write(1_000.0, ("note", "other"), b"", "", "")
    pull(b, c, 1_000.0)
    newer = b.write(60_000.0, key, b"", "", "")
    pull(a, b, 60_001.0)
    assert [version.dot for version in by_precedence("note", a.entries[key], 60_001.0)] == [
        newer.dot,
        older.dot,
    ]


def test_newer_write_when_its_writers_clock_was_stepped_back_an_hour_replaces_what_it_has_seen():
    a, b = (make_replica(node, time_of_day_offset=1e12) for node in "ab")
    a.write(0.0, KEY, b"", "", "")
    b.stamps.time_of_day_offset -= HOUR_MS
    pull(b, a, 1.0)
    released = b.write(2.0, KEY, b"", "", "", deleted=True)
    pull(a, b, 3.0)
    assert [version.dot for version in a.entries[KEY].versions] == [released.dot]
    assert a.active_version(KEY, 3.0) is None


def test_entry_when_its_type_is_unknown_is_stored_and_passed_on_unchanged():
    a = make_replica("a")
    b = make_replica("b")
    c = make_replica("c")
    a.write(0.0, ("later", "x"), b"\xc1 not read here", "", "")
    pull(b, a, 1.0)
    pull(c, b, 2.0)
    assert c.entries["later", "x"] == a.entries["later", "x"]


def test_digests_when_replicas_hold_the_same_are_equal_and_differ_after_a_deletion():
    a = make_replica("a")
    b = make_replica("b")
    a.write(0.0, KEY, b"", "", "")
    pull(b, a, 1.0)
    assert a.root() == b.root()
    b.write(2.0, KEY, b"", "", "", deleted=True)
    assert a.root() != b.root()
    assert sum(x != y for x, y in zip(a.digests, b.digests, strict=True)) == 1


def test_request_when_it_has_another_number_of_buckets_is_rejected():
    request = make_replica("a", limits=ReplicaLimits(bucket_count=2)).next_request(("b", 1))
    with pytest.raises(IncompatibleDigestsError, match="has 2 digests; expected: 256"):
        make_replica("b").make_chunk(request)
