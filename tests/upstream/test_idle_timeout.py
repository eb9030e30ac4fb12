"""The idle timeout of connections, learned from those that were dropped silently."""

import pytest

from flintridge.upstream.idle_timeout import (
    LEARNED_FRACTION,
    MIN_IDLE_MS,
    OBSERVATION_TTL_MS,
    IdleTimeout,
    Reuse,
    learn_idle_timeout_ms,
)

CONFIGURED_MS = 4_000.0


def reuses(*idle_and_lost: tuple[float, bool]) -> list[Reuse]:
    return [Reuse(0.0, idle_ms, lost) for idle_ms, lost in idle_and_lost]


@pytest.mark.parametrize(
    ("observed", "expected_ms"),
    [
        ([], CONFIGURED_MS),
        ([(2_000, True)], CONFIGURED_MS),  # one loss is not enough
        ([(2_000, True), (1_000, True)], LEARNED_FRACTION * 1_000),
        ([(2_000, True), (1_000, True), (500, False)], LEARNED_FRACTION * 1_000),
        ([(2_000, True), (1_500, False), (1_000, True)], LEARNED_FRACTION * 1_000),
        # Only half of them were lost.
        (
            [(2_000, True), (1_500, False), (1_200, False), (1_000, True)],
            CONFIGURED_MS,
        ),
    ],
)
def test_idle_timeout_when_most_connections_as_idle_were_lost_is_below_their_idle_time(observed, expected_ms):
    assert learn_idle_timeout_ms(reuses(*observed), CONFIGURED_MS) == expected_ms
    assert learn_idle_timeout_ms(reuses(*reversed(observed)), CONFIGURED_MS) == expected_ms


def test_idle_timeout_when_nothing_was_learned_for_a_while_is_the_configured_one():
    timeout = IdleTimeout(5_000.0)
    assert timeout.current_ms == CONFIGURED_MS
    timeout.record_reuse(100.0, 1_000.0, lost=True)
    timeout.record_reuse(200.0, 1_000.0, lost=True)
    assert timeout.current_ms == LEARNED_FRACTION * 1_000
    timeout.expire_learned_timeout(200.0 + OBSERVATION_TTL_MS - 1)
    assert timeout.current_ms == LEARNED_FRACTION * 1_000
    timeout.expire_learned_timeout(200.0 + OBSERVATION_TTL_MS)
    assert timeout.current_ms == CONFIGURED_MS


def test_idle_timeout_when_recently_used_connections_are_lost_learns_nothing():
    timeout = IdleTimeout(5_000.0)
    for now in range(5):
        timeout.record_reuse(float(now), MIN_IDLE_MS - 1, lost=True)
    assert timeout.current_ms == CONFIGURED_MS


def test_idle_timeout_when_a_loss_has_expired_does_not_count_it():
    timeout = IdleTimeout(5_000.0)
    timeout.record_reuse(0.0, 1_000.0, lost=True)
    timeout.record_reuse(OBSERVATION_TTL_MS, 1_000.0, lost=True)
    assert timeout.current_ms == CONFIGURED_MS
