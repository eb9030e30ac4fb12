"""Time limits of sends and of repeats, and the calls to discovery after a failure."""

import math
from dataclasses import replace

import pytest
from support.policy import MS, Router, settings

from flintridge import api
from flintridge.api import Outcome


@pytest.mark.parametrize(("discovery", "longest"), [("pushed", 500), ("on_request", 2_000)])
def test_after_discovery_was_down_the_next_call_is_sooner_if_the_list_is_pushed(discovery, longest):
    """A pushed change counts as announced once discovery is back, so the node has to call soon."""
    rules = replace(settings().rules, drain_grace_ns=2_000 * MS)
    router = Router(discovery=api.DiscoveryMode(discovery), rules=rules)
    pauses = []
    for _ in range(8):
        actions = router.notify(api.EndpointUpdate(api.UpdateKind.FAILED))
        (timer,) = [action for action in actions if isinstance(action, api.SetTimer)]
        pauses.append((timer.at - router.now) / MS)
        router.now = timer.at
    assert longest / 2 <= max(pauses) <= longest and min(pauses) >= 250


def with_spans(grace_ms: int, window_ms: int) -> dict:
    """Settings with this drain grace period and this deduplication window of the keyed class."""
    usual = settings()
    read, keyed, unsafe = usual.classes
    keyed = replace(keyed, deduplication_window_ns=window_ms * MS)
    return {
        "classes": (read, keyed, unsafe),
        "rules": replace(usual.rules, drain_grace_ns=grace_ms * MS),
    }


@pytest.mark.parametrize(
    ("span_ms", "usable_ms"), [(5000, 4850), (500, 350), (400, 250), (300, 150), (200, 100), (1, 0.5)]
)
def test_a_send_says_until_when_it_may_begin_and_be_written_with_time_for_a_stall(span_ms, usable_ms):
    """A node may stall for 150 ms after it last read the clock; of a short span, half remains usable."""
    router = Router(**with_spans(span_ms, span_ms))
    request_id = router.request("k", cls=1)
    first, sent_at = router.sends[-1], router.now
    assert (first.begin_by, first.written_by) == (sent_at + usable_ms * MS, math.inf)
    router.end_attempt(request_id, Outcome.RESET)
    again = router.sends[-1]
    assert again is not first and again.id == request_id
    assert (again.begin_by, again.written_by) == (router.now + usable_ms * MS, sent_at + usable_ms * MS)


def test_a_send_when_drains_have_no_grace_then_may_begin_at_any_time():
    router = Router(**with_spans(0, 400))
    router.request("k", cls=1)
    assert router.sends[-1].begin_by == math.inf


@pytest.mark.parametrize(("after", "further"), [(250, 1), (251, 0)])
def test_a_keyed_request_is_sent_again_only_with_time_for_a_stall_in_its_window(after, further):
    router = Router()
    request_id = router.request("k", cls=1)
    router.now += after * MS
    router.end_attempt(request_id, Outcome.RESET)
    assert router.attempts_made[request_id] == 1 + further


@pytest.mark.parametrize(("after", "answer"), [(250, api.Reject), (251, api.Fail)])
def test_a_request_is_rejected_only_while_its_deduplication_window_is_open_else_failed(after, answer):
    """Guards against rejections after the window (found in review).

    `busy` tells the client that a repeat is safe, but after the window it would be executed twice. The window
    is 400 ms, and the rejection may be written 150 ms after the decision.
    """
    router = Router(limits=api.Limits(max_attempts=1))
    request_id = router.request("k", cls=1)
    router.now += after * MS
    router.end_attempt(request_id, Outcome.ERROR)
    assert isinstance(router.final_responses[request_id], answer)
