"""The entries of one process: writes and their bounds, conflicts, stamps."""

import pytest
from support.replication import KEY, make_replica

from flintridge.replication.value_types import WriteRejectedError, encode_body

HELD = encode_body("hold", {"held": True})
RELEASED = encode_body("hold", {"held": False})
HOUR_MS = 3_600_000.0


def test_release_when_it_has_seen_the_hold_ends_it_and_otherwise_conflicts_with_it():
    a = make_replica("a")
    b = make_replica("b")
    a.write(0.0, KEY, HELD, "ann", "disk")
    b.receive(1.0, KEY, a.entries[KEY])
    b.write(2.0, KEY, RELEASED, "bob", "well", deleted=True)
    a.write(2.0, KEY, HELD, "ann", "again")
    a.receive(3.0, KEY, b.entries[KEY])
    assert a.active_version(KEY, 3.0).reason == "again"
    assert len(a.entries[KEY].versions) == 2
    assert a.counts["conflicts"] == 1
    assert list(a.conflicting_keys()) == [KEY]
    a.write(4.0, KEY, RELEASED, "ann", "seen both", deleted=True)
    b.receive(5.0, KEY, a.entries[KEY])
    assert b.active_version(KEY, 5.0) is None
    assert not list(b.conflicting_keys())


def test_write_when_beyond_a_bound_is_rejected_and_nothing_is_written():
    replica = make_replica()
    with pytest.raises(WriteRejectedError, match=r"bytes; entry_bytes allows 200"):
        replica.write(0.0, KEY, b"x" * 200, "", "")
    with pytest.raises(WriteRejectedError, match="longer than 0 ms"):
        replica.write(0.0, KEY, b"", "", "", lifetime_ms=0.0)
    for i in range(50):
        replica.write(0.0, ("note", str(i)), b"", "", "")
    with pytest.raises(WriteRejectedError, match="allowed: 50"):
        replica.write(0.0, ("note", "more"), b"", "", "")
    replica.write(0.0, ("note", "7"), b"", "", "", deleted=True)
    assert len(replica.entries) == 50


@pytest.mark.parametrize("step_ms", [-HOUR_MS, -5_000.0, 5_000.0, HOUR_MS])
def test_stamps_when_the_wall_clock_is_stepped_between_two_writes_keep_their_order(step_ms):
    replica = make_replica(time_of_day_offset=1e12)
    earlier = replica.write(0.0, KEY, b"", "", "")
    replica.stamps.time_of_day_offset += step_ms
    later = replica.write(1.0, ("hold", "s2"), b"", "", "")
    assert later.stamp > earlier.stamp
