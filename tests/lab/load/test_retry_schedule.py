"""The retry schedule of one request, without a client."""

import random

import pytest

from flintridge.lab.load.retry_schedule import RetryPolicy, RetrySchedule
from flintridge.lab.scenario.model import RequestClass

DEADLINE_MS = 1000.0


def schedule(effect="safe", scope="all", follows_retry_after=False, **changes) -> RetrySchedule:
    values = {"max_retries": 2, "backoff": "fixed", "backoff_ms": 100.0, "max_retry_after_ms": 500.0}
    request_class = RequestClass(
        name="x",
        effect=effect,
        write=effect != "safe",
        deduplication_window_ms=300,
        deduplication_scope=scope,
    )
    return RetrySchedule(RetryPolicy(**(values | changes)), request_class, DEADLINE_MS, follows_retry_after)


def next_attempt_ms(retries, now_ms=0.0, is_harmless=False, retry_after_ms=0.0):
    return retries.next_attempt_ms(now_ms, is_harmless, retry_after_ms, random.Random(1))


def test_retries_when_all_are_used_then_end():
    retries = schedule()
    due_ms = []
    for _ in range(3):
        retries.start_attempt()
        due_ms.append(next_attempt_ms(retries))
    assert due_ms == [100.0, 100.0, None]


@pytest.mark.parametrize(("now_ms", "due_ms"), [(895.0, 995.0), (895.1, None)])
def test_retry_when_too_little_time_would_be_left_then_is_not_sent(now_ms, due_ms):
    assert next_attempt_ms(schedule(), now_ms) == due_ms


@pytest.mark.parametrize(
    ("effect", "scope", "is_harmless", "is_retried"),
    [
        ("safe", "all", False, True),
        ("unsafe", "all", False, False),
        ("unsafe", "all", True, True),
        ("keyed", "all", False, True),
        ("keyed", "zone", False, False),
        ("keyed", "zone", True, True),
    ],
)
def test_retry_when_the_attempt_may_have_been_executed_then_depends_on_the_effect(
    effect, scope, is_harmless, is_retried
):
    due_ms = next_attempt_ms(schedule(effect, scope), is_harmless=is_harmless)
    assert (due_ms is not None) is is_retried


@pytest.mark.parametrize(("now_ms", "due_ms"), [(250.0, 350.0), (250.1, None)])
def test_retry_when_the_deduplication_window_has_ended_then_is_not_sent(now_ms, due_ms):
    retries = schedule("keyed")
    retries.attempt_sent(50.0)
    retries.attempt_sent(200.0)  # the window starts with the first attempt
    assert next_attempt_ms(retries, now_ms, is_harmless=True) == due_ms


@pytest.mark.parametrize(
    ("follows", "retry_after_ms", "due_ms"),
    [(True, 300.0, 300.0), (True, 900.0, 500.0), (True, 0.0, 100.0), (False, 300.0, 100.0)],
)
def test_delay_when_the_node_sends_retry_after_then_follows_it_up_to_the_maximum(
    follows, retry_after_ms, due_ms
):
    retries = schedule(follows_retry_after=follows)
    assert next_attempt_ms(retries, retry_after_ms=retry_after_ms) == due_ms


def test_delay_when_there_is_no_retry_after_then_follows_the_kind_of_backoff():
    assert next_attempt_ms(schedule(backoff="none")) == 0.0
    jitter = 0.5 + random.Random(1).random()
    assert next_attempt_ms(schedule(backoff="jitter")) == pytest.approx(100.0 * jitter)
