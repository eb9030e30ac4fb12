"""The JSON of one limit in GET /admin/budgets, whose names are part of the admin API."""

from flintridge.leases.account import Account
from flintridge.leases.allocation import Allocation, ProcessId
from flintridge.leases.fleet_limit import EVEN_FRACTION_UNITS, FleetLimit, LeaseTerms
from flintridge.leases.messages import LeaseRequest
from flintridge.leases.status import limit_status

TERMS = LeaseTerms(EVEN_FRACTION_UNITS, floor=250, lease_ms=4_000.0)
LONG_AGO = -1e9


def test_status_of_a_limit_has_its_public_names_in_their_order():
    allocation = Allocation(TERMS, LONG_AGO)
    account = Account(FleetLimit("quota acme", 100.0, "requests a second", 3, TERMS), allocation)
    account.demand = 1_234.5
    allocation.receive(0.0, ProcessId("n2", 255), LeaseRequest(1, 250, 0.0))
    request = allocation.request(0.0, "n3", 125)
    grantor = Allocation(TERMS, LONG_AGO)
    allocation.receive(0.0, ProcessId("n3", 7), grantor.receive(0.0, ProcessId("n1", 1), request))
    status = limit_status(account, 12.345, 1_000.0)
    assert list(status.items()) == [
        ("name", "quota acme"),
        ("whole", 100.0),
        ("unit", "requests a second"),
        ("even", 33.333),
        ("own", 1.0),
        ("usable", 0.875),
        ("need", 1.234),
        ("used", 12.3),
        ("lent", [{"to": "n2", "life": "ff", "amount": 0.25, "ends_in_ms": 3163}]),
        ("borrowed", [{"from": "n3", "amount": 0.125, "ends_in_ms": 3000}]),
    ]
    assert list(status["lent"][0]) == ["to", "life", "amount", "ends_in_ms"]
    assert list(status["borrowed"][0]) == ["from", "amount", "ends_in_ms"]


def test_status_of_a_limit_when_its_leases_have_expired_has_none():
    allocation = Allocation(TERMS, LONG_AGO)
    account = Account(FleetLimit("floors", 3.0, "even parts", 3, TERMS), allocation)
    allocation.receive(0.0, ProcessId("n2", 255), LeaseRequest(1, 250, 0.0))
    status = limit_status(account, 0.0, 10_000.0)
    assert status["usable"] == 1.0
    assert (status["lent"], status["borrowed"]) == ([], [])
