"""Watch backoff: the pauses after failed calls to discovery."""

import random

import pytest
from support.policy import MS

from flintridge.api import DiscoveryMode
from flintridge.policy.watch_backoff import WatchBackoff


@pytest.mark.parametrize(
    ("discovery", "factors"),
    [(DiscoveryMode.POLLED, (1, 2, 4, 4, 1)), (DiscoveryMode.PUSHED, (1, 1, 1, 1, 1))],
)
def test_pauses_double_twice_if_the_list_is_polled_and_stay_short_if_it_is_pushed(discovery, factors):
    backoff = WatchBackoff(discovery, random.Random(1))
    pauses = [backoff.record_failure() for _ in range(4)]
    backoff.record_success()
    pauses.append(backoff.record_failure())
    for pause, factor in zip(pauses, factors, strict=True):
        assert 250 * MS * factor <= pause <= 500 * MS * factor
