"""What the policy says of how long a send's reasons hold, and of repeats."""

import math

import pytest
from support.policy import MS, Router

from flintridge import api
from flintridge.api import Outcome


@pytest.mark.parametrize(("discovery", "longest"), [("pushed", 500), ("on_request", 2_000)])
def test_after_discovery_was_down_the_next_call_is_soon_where_a_notice_counts_at_once(discovery, longest):
    """Where lists are pushed, what the agent gets at its return counts as told at that moment."""
    router = Router(discovery=api.DiscoveryMode(discovery))
    pauses = []
    for _ in range(8):
        actions = router.notify(api.EndpointUpdate(api.UpdateKind.FAILED))
        (timer,) = [action for action in actions if isinstance(action, api.SetTimer)]
        pauses.append((timer.at - router.now) / MS)
        router.now = timer.at
    assert longest / 2 <= max(pauses) <= longest and min(pauses) >= 250


def test_a_send_says_until_when_it_may_begin_and_be_written():
    router = Router()
    request_id = router.request("k", cls=1)
    grace, window = router.settings.rules.drain_grace_ns, router.settings.classes[1].deduplication_window_ns
    first, sent_at = router.sends[-1], router.now
    assert (first.begin_by, first.written_by) == (sent_at + grace, math.inf)
    router.now += 10 * MS
    router.end_attempt(request_id, Outcome.RESET)
    again = router.sends[-1]
    assert again is not first and again.id == request_id
    assert (again.begin_by, again.written_by) == (router.now + grace, sent_at + window)


@pytest.mark.parametrize(("after", "answer"), [(400, api.Reject), (401, api.Fail)])
def test_a_request_is_rejected_only_while_its_deduplication_window_is_open_else_failed(after, answer):
    """Found in review: beyond its window a repeat runs twice, so `busy` said what is not true."""
    router = Router(limits=api.Limits(max_attempts=1))
    request_id = router.request("k", cls=1)
    router.now += after * MS
    router.end_attempt(request_id, Outcome.ERROR)
    assert isinstance(router.final_responses[request_id], answer)
