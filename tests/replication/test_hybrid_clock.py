"""Stamps of a hybrid logical clock: their order, and which are ahead of the time of day."""

import pytest

from flintridge.replication.hybrid_clock import STAMP_SHIFT_BITS, HybridClock

MAX_LEAD_MS = 60_000.0


def test_stamps_when_time_stands_still_or_runs_backwards_increase():
    clock = HybridClock(1e12, MAX_LEAD_MS)
    stamps = [clock.next_stamp(now) for now in (5.0, 5.0, 4.0, 6.0)]
    assert stamps == sorted(set(stamps))
    assert stamps[0] >> STAMP_SHIFT_BITS == 10**12 + 5


def test_next_stamp_when_a_later_one_was_observed_is_later_still():
    clock = HybridClock(0.0, MAX_LEAD_MS)
    observed = 1 << 40
    clock.observe(observed)
    clock.observe(1)
    assert clock.next_stamp(0.0) == observed + 1


@pytest.mark.parametrize(("lead_ms", "is_ahead"), [(59_999, False), (60_000, False), (60_001, True)])
def test_stamp_when_beyond_the_lead_at_the_time_of_its_write_is_ahead(lead_ms, is_ahead):
    clock = HybridClock(1_000.0, MAX_LEAD_MS)
    stamp = (1_000 + 500 + lead_ms) << STAMP_SHIFT_BITS
    assert clock.is_ahead(stamp, written_at=500.0) is is_ahead
