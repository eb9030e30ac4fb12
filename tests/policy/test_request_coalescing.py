"""Request coalescing: one fetch at the origin for each key.

Each test fails without the code that prevents the failure it describes.
"""

import pytest
from support.policy import Router, open_request

from flintridge.api import Outcome
from flintridge.policy.open_request import Upstream
from flintridge.policy.request_coalescing import RequestCoalescing


def test_reads_of_one_key_are_coalesced_into_a_fetch():
    router = Router(count=4)
    request_ids = [router.request("k") for _ in range(2)]
    first_server = router.server_of(request_ids[0])
    for request_id in request_ids:
        router.end_attempt(request_id, Outcome.MISS)
    assert [server for server, _ in router.in_flight.values()] == ["10.9.9.9:80"]
    router.end_attempt(request_ids[0], Outcome.OK)
    assert router.server_of(request_ids[1]) == first_server


def test_a_waiting_request_fetches_the_key_after_a_failed_fetch():
    router = Router(count=4)
    request_ids = [router.request("k") for _ in range(2)]
    for request_id in request_ids:
        router.end_attempt(request_id, Outcome.MISS)
    router.end_attempt(request_ids[0], Outcome.ERROR)
    assert router.server_of(request_ids[1]) == "10.9.9.9:80"


def waiting(key: str | None = "k", **changes):
    return open_request(key, **({"queued_for": Upstream.ORIGIN} | changes))


@pytest.mark.parametrize(
    ("fetching", "coming", "follows"),
    [
        ({}, {}, True),
        ({}, {"key": "other"}, False),
        ({}, {"write": True}, False),
        ({"write": True}, {}, False),
        ({"done": True}, {}, False),  # the request has already ended
        ({"key": None}, {"key": None}, False),
    ],
)
def test_only_a_read_follows_a_fetch_and_only_one_of_its_key_that_is_in_flight(fetching, coming, follows):
    coalescing = RequestCoalescing()
    coalescing.start(waiting(**fetching))
    assert coalescing.follow(waiting(**coming)) is follows


def test_the_end_of_a_fetch_returns_waiting_requests_in_order_with_their_preferred_server():
    coalescing = RequestCoalescing()
    fetch, first, gone, answered, last = waiting(), waiting(), waiting(), waiting(), waiting()
    coalescing.start(fetch)
    for request in (first, gone, answered, last):
        assert coalescing.follow(request)
    gone.queued_for = None
    answered.done = True
    assert coalescing.end(fetch, "s1") == [first, last]
    assert first.preferred_server == last.preferred_server == "s1" and gone.preferred_server is None
    assert len(coalescing) == 0 and coalescing.end(fetch, None) == []
    assert not coalescing.follow(first)
