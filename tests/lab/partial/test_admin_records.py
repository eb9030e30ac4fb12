"""Conversion of admin API responses to records."""

from support.lease_reports import lease_report

from flintridge.lab.partial.admin_records import lease_records


def test_lease_records_of_an_admin_response_are_in_even_fractions():
    lease = {"to": "n1", "life": "2", "amount": 0.25, "ends_in_ms": 900}
    limit = {"name": "floors", "usable": 0.75, "own": 1.0, "lent": [lease, lease], "borrowed": [lease]}
    assert lease_records(500.0, "n0", {"life": "1", "budgets": [limit]}) == [
        lease_report(500.0, "n0", 0.75, "floors", lent=0.5, borrowed=0.25, incarnation="1")
    ]
