"""The time limits of failure detection, by the fleet's size and byte budget."""

import pytest

from flintridge.membership.detection_times import MIN_MAX_AGE_MS, SUSPICION_MS, DetectionTimes


@pytest.mark.parametrize(
    ("fleet_size", "bytes_per_s", "max_age_ms", "suspicion_ms"),
    [
        (3, 8_000.0, MIN_MAX_AGE_MS + 300.0, SUSPICION_MS),
        (99, 8_000.0, MIN_MAX_AGE_MS + 9_900.0, 2 * SUSPICION_MS),
        (99, 100.0, MIN_MAX_AGE_MS + 59_400.0, 2 * SUSPICION_MS),
        (99, 2 * 3_300.0, MIN_MAX_AGE_MS + 11_880.0, 2 * SUSPICION_MS),
    ],
)
def test_times_when_computed_for_a_fleet_then_follow_its_size_and_bytes(
    fleet_size, bytes_per_s, max_age_ms, suspicion_ms
):
    times = DetectionTimes.for_fleet(fleet_size, bytes_per_s)
    assert times.max_age_ms == pytest.approx(max_age_ms)
    assert times.suspicion_ms == pytest.approx(suspicion_ms)
