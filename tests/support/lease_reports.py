"""Lease records for tests."""

from flintridge.lab.records import LeaseReported


def lease_report(at_ms, node, usable, limit_name="quota a", **changes):
    """A node's report on one limit."""
    values = {"incarnation": f"l{node}", "allocated": 1.0, "lent": 0.0, "borrowed": 0.0}
    return LeaseReported(at_ms=at_ms, node=node, limit_name=limit_name, usable=usable, **(values | changes))
