"""The table of servers: the reuse of numbers, and no growth over time.

Each test fails without the code that prevents the failure it describes.
"""

from support.policy import MS, Router, S, members

from flintridge import api
from flintridge.api import EndpointState, Outcome, UpdateKind


def end_all(router: Router) -> None:
    """End all attempts, and those that get the permits of the ended ones."""
    while router.in_flight:
        router.end_attempt(next(iter(router.in_flight))[0], Outcome.FULL, final=True)


def test_the_state_of_the_policy_does_not_grow_as_servers_and_requests_come_and_go():
    """Guards long runs, as servers are replaced by others with new ids, some with attempts in flight."""
    router = Router(count=3)
    listed = members(3)
    sizes = []
    for i in range(60):
        new = api.Endpoint(f"new-{i}:80")
        router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2 + i, (new,)))
        for j in range(12):
            router.request(f"k{i}-{j}")
        gone = [api.Endpoint(new.server, EndpointState.GONE)]
        router.notify(
            api.EndpointUpdate(
                *((UpdateKind.FULL, 2 + i, listed) if i % 2 else (UpdateKind.DELTA, 2 + i, gone))
            )
        )
        router.advance(30 * MS)
        end_all(router)
        rejected = router.request("k", deadline=router.now)
        assert rejected in router.final_responses
        router.advance(3 * S)
        end_all(router)
        b = router.balancer
        sizes.append(
            [
                len(x)
                for x in (
                    b.servers,
                    b.table.names,
                    b.table.ring.entries,
                    b.open_requests,
                    b.timers,
                    b.outliers.fractions,
                )
            ]
        )
    assert sizes[-1] == sizes[19] and len(router.balancer.servers) == 4


def test_a_reused_number_identifies_only_its_new_server():
    router = Router(count=3)
    out = router.request("k")
    server = router.server_of(out)
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint(server, EndpointState.GONE),)))
    assert server in router.balancer.servers  # an attempt is in flight there
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 3, (api.Endpoint("new:80"),)))
    router.end_attempt(out, Outcome.RESET, final=True)
    assert server not in router.balancer.servers
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 4, (api.Endpoint("newer:80"),)))
    names = {s: router.balancer.table.names[known.number] for s, known in router.balancer.servers.items()}
    assert all(s == name for s, name in names.items()) and len(names) == 5
