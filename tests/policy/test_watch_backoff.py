"""Watch backoff: the pauses after failed calls to discovery."""

import random

import pytest
from support.policy import MS, S

from flintridge.api import DiscoveryMode
from flintridge.policy.watch_backoff import WatchBackoff


@pytest.mark.parametrize(
    ("discovery", "factors"),
    [(DiscoveryMode.POLLED, (1, 2, 4, 4, 1)), (DiscoveryMode.PUSHED, (1, 1, 1, 1, 1))],
)
def test_pauses_double_twice_if_the_list_is_polled_and_stay_short_if_it_is_pushed(discovery, factors):
    backoff = WatchBackoff(discovery, random.Random(1), 2 * S)
    pauses = [backoff.record_failure() for _ in range(4)]
    backoff.record_success()
    pauses.append(backoff.record_failure())
    for pause, factor in zip(pauses, factors, strict=True):
        assert 250 * MS * factor <= pause <= 500 * MS * factor


@pytest.mark.parametrize("grace_ms", [200, 500, 1_000, 1_900])
@pytest.mark.parametrize("seed", range(5))
def test_pauses_leave_time_for_a_third_call_within_the_grace_if_the_list_is_pushed(grace_ms, seed):
    backoff = WatchBackoff(DiscoveryMode.PUSHED, random.Random(seed), grace_ms * MS)
    pauses = [backoff.record_failure() for _ in range(20)]
    assert pauses[0] <= grace_ms * MS / 4
    assert pauses[0] + pauses[1] <= 0.75 * grace_ms * MS
    assert max(pauses) <= 0.6 * grace_ms * MS
    assert (
        min(pauses[2:]) >= 0.25 * min(500, grace_ms) * MS
    )  # an overloaded discovery is not called too often
    backoff.record_success()
    assert backoff.record_failure() <= grace_ms * MS / 4


def test_pauses_without_a_grace_are_those_of_a_grace_of_200_ms_if_the_list_is_pushed():
    backoffs = [WatchBackoff(DiscoveryMode.PUSHED, random.Random(1), grace) for grace in (0, 200 * MS)]
    without_grace, with_grace = ([backoff.record_failure() for _ in range(9)] for backoff in backoffs)
    assert without_grace == with_grace
    assert min(without_grace) >= 25 * MS
