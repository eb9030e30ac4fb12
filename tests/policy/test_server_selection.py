"""Server selection: one ring, and how far a walk goes.

Each test fails without the code that answers its failure.
"""

from support.policy import Router, S

from flintridge import api
from flintridge.api import Outcome, UpdateKind


def test_a_key_has_one_server_in_all_zones_in_calm_and_under_load():
    """Copies in each zone cost the origin as many times the fetches; a fleet that took them in calm and
    changed to one ring in trouble missed nearly all of its keys just when the origin had no room."""
    listed = tuple(api.Endpoint(f"10.0.{z}.{i}:80", zone=z) for z in range(3) for i in range(4))
    picked: list[list[str]] = []
    for zone in range(3):
        for trouble in (False, True):
            router = Router(count=1, prices=api.Prices(cross_zone=0.06), zone=zone)
            router.notify(api.EndpointUpdate(UpdateKind.FULL, 2, listed))
            if trouble:
                router.balancer.origin.decreased_at = router.balancer.caches.decreased_at = router.now
            servers = []
            for i in range(30):
                servers.append(router.server_of(request_id := router.request(f"k{i}")))
                router.end_attempt(request_id, Outcome.OK)
            picked.append(servers)
    assert all(servers == picked[0] for servers in picked)
    assert len({server.split(".")[2] for server in picked[0]}) == 3


def test_the_walk_ends_once_no_server_is_left_also_after_a_failure():
    """Guards the node's core in a zone loss: each pick then walked the whole ring, about 1 ms of CPU."""

    router = Router(count=4)
    ring = router.balancer.table.ring
    walk = ring.walk
    walked: list[int] = []

    def counted(place):
        for entry in walk(place):
            walked.append(entry)
            yield entry

    ring.walk = counted
    request_id = router.request("k")
    request = router.balancer.open_requests[request_id]
    request.failed_servers = list(router.balancer.ready)
    walked.clear()
    assert router.balancer.selection.pick(request, router.now) is None
    assert len(walked) <= 1  # the first entry is at hand before the walk is seen to be over
    request.failed_servers = request.failed_servers[:1]
    for server in router.balancer.servers.values():
        server.connect_backoff.until = router.now + S
    walked.clear()
    assert router.balancer.selection.pick(request, router.now) in router.balancer.ready
    assert 0 < len(walked) < len(ring.entries) / 4
