"""Request coalescing: one fetch at the origin for each key.

Each test fails without the code that answers its failure.
"""

from support.policy import Router

from flintridge.api import Outcome


def test_reads_of_one_key_are_coalesced_into_a_fetch():
    router = Router(count=4)
    uids = [router.ask("k") for _ in range(2)]
    missed_at = router.server_of(uids[0])
    for uid in uids:
        router.end(uid, Outcome.MISS)
    assert [server for server, _ in router.out.values()] == ["10.9.9.9:80"]
    router.end(uids[0], Outcome.OK)
    assert router.server_of(uids[1]) == missed_at


def test_a_failed_fetch_is_taken_over():
    router = Router(count=4)
    uids = [router.ask("k") for _ in range(2)]
    for uid in uids:
        router.end(uid, Outcome.MISS)
    router.end(uids[0], Outcome.ERROR)
    assert router.server_of(uids[1]) == "10.9.9.9:80"
