from support.policy import Router, S, members

from flintridge import api
from flintridge.api import UpdateKind


def test_the_policy_subscribes_if_the_list_has_to_be_polled():
    assert api.Watch() in Router().first
    assert Router(discovery=api.DiscoveryMode.PUSHED).first == []


def test_a_failed_subscription_is_retried_with_growing_pauses():
    router = Router()
    pauses = []
    for _ in range(6):
        (timer,) = router.notify(api.EndpointUpdate(UpdateKind.FAILED))
        assert isinstance(timer, api.SetTimer)
        pauses.append(timer.at - router.now)
        router.now = timer.at
        router.timers.clear()
        assert router.notify(api.TimerFired(timer.token)) == [api.Watch()]
    assert pauses[0] < S < pauses[-1] < router.settings.rules.poll_interval_ns
    assert len(router.balancer.ready) == 5  # the old list is kept


def test_a_server_absent_from_a_full_list_is_removed():
    router = Router(count=5)
    router.notify(api.EndpointUpdate(UpdateKind.FULL, 2, members(3)))
    assert list(router.balancer.ready) == [m.server for m in members(3)[:-1]]


def test_a_delta_is_applied_to_the_current_list():
    router = Router(count=3)
    router.notify(api.EndpointUpdate(UpdateKind.DELTA, 2, (api.Endpoint("10.0.0.7:80"),)))
    assert "10.0.0.7:80" in router.balancer.ready and len(router.balancer.ready) == 4
