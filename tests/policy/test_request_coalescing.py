"""Request coalescing: one fetch at the origin for each key.

Each test fails without the code that answers its failure.
"""

from support.policy import Router

from flintridge.api import Outcome


def test_reads_of_one_key_are_coalesced_into_a_fetch():
    router = Router(count=4)
    request_ids = [router.request("k") for _ in range(2)]
    missed_at = router.server_of(request_ids[0])
    for request_id in request_ids:
        router.end_attempt(request_id, Outcome.MISS)
    assert [server for server, _ in router.in_flight.values()] == ["10.9.9.9:80"]
    router.end_attempt(request_ids[0], Outcome.OK)
    assert router.server_of(request_ids[1]) == missed_at


def test_a_failed_fetch_is_taken_over():
    router = Router(count=4)
    request_ids = [router.request("k") for _ in range(2)]
    for request_id in request_ids:
        router.end_attempt(request_id, Outcome.MISS)
    router.end_attempt(request_ids[0], Outcome.ERROR)
    assert router.server_of(request_ids[1]) == "10.9.9.9:80"
