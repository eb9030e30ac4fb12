"""The demand for each limit, measured from the requests and attempts that the core reports."""

from types import SimpleNamespace

import pytest

from flintridge import api
from flintridge.config.node_config import BudgetsConfig
from flintridge.discovery.endpoint_list import EndpointNotListedError
from flintridge.leases.configured_limits import configured_limits
from flintridge.leases.demand_meter import DemandMeter
from flintridge.leases.fleet_limit import CACHE_PERMITS, FLOORS, ORIGIN_PERMITS

CONFIG = BudgetsConfig(tenants=True, floors=True, cache_permits=20, origin_permits=10)
SETTINGS = api.Settings(tenants=(api.Tenant("acme", 100.0), api.Tenant("free")), fleet_size=4)
EVEN_QUOTAS = {0: 25.0, 1: 0.0}
QUOTA = "quota acme"


class Endpoints(dict):
    """Servers by id; a missing server is not listed."""

    def __missing__(self, server):
        raise EndpointNotListedError(server)


class Manager:
    """Records the reported demand."""

    def __init__(self) -> None:
        self.requests_per_s = 0.0
        self.shutting_down = False
        self.demand = {}

    def set_demand(self, name, even_fractions):
        self.demand[name] = even_fractions


@pytest.fixture
def meter():
    endpoints = Endpoints(
        cache=SimpleNamespace(origin=False),
        origin=SimpleNamespace(origin=True),
    )
    return DemandMeter(configured_limits(CONFIG, SETTINGS, EVEN_QUOTAS, 0.0), EVEN_QUOTAS, endpoints, 0.0)


def attempt(number, server):
    return SimpleNamespace(id="r", number=number, server=server)


def test_limits_of_a_configuration_are_those_that_it_switches_on():
    limits = configured_limits(CONFIG, SETTINGS, EVEN_QUOTAS, 0.0)
    assert limits.quota_names == {0: QUOTA}
    assert [limit.name for limit in limits.all()] == [QUOTA, FLOORS, CACHE_PERMITS, ORIGIN_PERMITS]
    assert limits.all()[0].total == 100.0


def test_demand_of_a_quota_is_its_tenants_request_rate_in_even_fractions(meter):
    manager = Manager()
    for _ in range(100):
        meter.on_new_request(0)
        meter.on_new_request(1)
    meter.report(1_000.0, manager)
    # After a second, the half-life of the fast average, the estimate is half of the true rate.
    assert manager.demand[QUOTA] == pytest.approx(2.0)
    assert manager.requests_per_s == pytest.approx(100.0)
    assert meter.used(QUOTA) == pytest.approx(50.0)
    assert meter.used(FLOORS) == pytest.approx(100.0)


def test_demand_of_permits_is_the_peak_of_attempts_in_flight(meter):
    manager = Manager()
    for number in range(1, 6):
        meter.on_attempts_changed(attempt(number, "cache"), 1)
    meter.on_attempts_changed(attempt(6, "origin"), 1)
    meter.on_attempts_changed(attempt(7, "gone"), 1)
    meter.report(0.0, manager)
    assert manager.demand[CACHE_PERMITS] == 5 * 4 / 20
    assert manager.demand[ORIGIN_PERMITS] == 1 * 4 / 10
    for number in range(1, 8):
        meter.on_attempts_changed(attempt(number, "cache"), -1)
    assert meter.used(CACHE_PERMITS) == 0.0
    assert meter.used(ORIGIN_PERMITS) == 0.0
    meter.report(50.0, manager)
    assert 0.9 < manager.demand[CACHE_PERMITS] < 1.0


def test_demand_when_the_process_shuts_down_is_not_reported(meter):
    manager = Manager()
    manager.shutting_down = True
    meter.on_new_request(0)
    meter.on_attempts_changed(attempt(1, "cache"), 1)
    meter.report(1_000.0, manager)
    assert manager.demand == {}
    assert manager.requests_per_s > 0
