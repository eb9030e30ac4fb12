"""The judge's rules on leased limits: the sum that all nodes may use, and the requests at the servers."""

import itertools

import msgspec
import pytest
from support.lease_reports import lease_report

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.rules import fleet_limits as rules
from flintridge.lab.records import AttemptReceived, NodeStateChanged, RequestSent
from flintridge.lab.scenario.model import Scenario

attempt_ids = itertools.count(1)


def scenario_with_quota(count=4, strict=True):
    table = {
        "nodes": {"count": count},
        "peers": {},
        "budgets": {"tenants": True, "strict": strict},
        "tenants": [{"name": "a", "quota_per_s": 20.0}, {"name": "free"}],
        "length_s": 20.0,
    }
    return msgspec.convert(table, Scenario)


def node_state(at_ms, node, state):
    return NodeStateChanged(at_ms=at_ms, node=node, state=state)


def request(at_ms, node="n0", tenant="a", is_admitted=True):
    """Return the records of a request that is admitted and reaches a server, or is rejected."""
    request_id = f"{tenant}{node}{at_ms}"
    records = [
        RequestSent(
            at_ms=at_ms,
            node=node,
            connection=1,
            request_id=request_id,
            first_request_id=request_id,
            attempt_number=0,
            scheduled_ms=at_ms,
            class_name="read",
            tenant=tenant,
            key="k",
            write=False,
            time_left_ms=500.0,
        )
    ]
    if is_admitted:
        records.append(
            AttemptReceived(
                at_ms=at_ms + 2,
                started_ms=at_ms + 1,
                node=node,
                server="s1",
                is_origin=False,
                connection=1,
                attempt_id=next(attempt_ids),
                request_id=request_id,
                key="k",
                write=False,
                time_left_ms=400.0,
            )
        )
    return records


def violations(records, scenario, backend="virtual"):
    findings = Findings(rules.RULES)
    rules.check(History(sorted(records, key=lambda record: record.at_ms), scenario, backend), findings)
    return findings.counts, [violation.text for violation in findings.violations]


def starts(count=4):
    return [node_state(-5000.0, f"n{i}", "started") for i in range(count)]


def test_usable_sum_above_the_number_of_nodes_at_one_instant_is_a_violation():
    valid = [
        lease_report(500.0, "n0", 2.5),
        lease_report(500.0, "n1", 0.25),
        lease_report(500.0, "n2", 0.25),
        lease_report(500.0, "n3", 1),
    ]
    other = [
        lease_report(500.0, "n0", 4.0, "floors"),
        lease_report(1000.0, "n0", 4.0),
    ]  # of another limit, and of another time
    assert violations([*starts(), *valid, *other], scenario_with_quota())[0]["budget_sum"] == 0
    over = [*valid, lease_report(500.0, "n3", 0.01)]
    counts, texts = violations([*starts(), *over], scenario_with_quota())
    assert counts["budget_sum"] == 1
    assert texts == ["5 processes may use 4.010 parts of quota a; there are 4"]
    # Admin APIs are requested one after another, so both grantor and lessee may report a lease's amount.
    assert violations([*starts(), *over], scenario_with_quota(), "loopback")[0]["budget_sum"] == 0


# Requests that the rule allows beyond the rate of 30 a second for a quota of 20: 30, 8 for each of the 4
# processes, and 15.5 for each process that first sees the tenant. Here that is one process, n0.
BURST = 30 + 4 * 8 + 15


@pytest.mark.parametrize(
    ("count", "seconds", "over"),
    [(30 + BURST, 1.0, 0), (30 + BURST + 1, 1.0, 1), (60 + BURST, 2.0, 0), (60 + BURST + 1, 2.0, 1)],
)
def test_requests_of_a_tenant_at_servers_beyond_its_quota_are_a_violation(count, seconds, over):
    records = [record for i in range(count) for record in request(1000.0 + i * seconds * 1000 / count)]
    counts, texts = violations([*starts(), *records], scenario_with_quota())
    assert counts["quota_sum"] == over
    assert len(texts) == over
    assert all(f"{count} requests of a asked within {seconds:g} s" in text for text in texts)
    # No violation by a tenant without a quota, by requests that reach no server, or if quotas are not strict.
    free = [record for i in range(count) for record in request(1000.0 + i, tenant="free")]
    rejected = [record for i in range(count) for record in request(1000.0 + i, is_admitted=False)]
    assert violations([*starts(), *free, *rejected], scenario_with_quota())[0]["quota_sum"] == 0
    assert violations([*starts(), *records], scenario_with_quota(strict=False))[0]["quota_sum"] == 0


def test_each_process_that_starts_has_a_token_bucket_of_its_own():
    first = [*request(500.0), *request(501.0, "n1")]  # both are sent before the window of the requests below
    many = [record for i in range(30 + BURST - 15) for record in request(3000.0 + i * 10)]
    assert violations([*starts(), *first, *many], scenario_with_quota())[0]["quota_sum"] == 0
    more = [record for i in range(30) for record in request(3000.0 + i * 10, "n1")]
    counts, _ = violations([*starts(), *first, *many, *more], scenario_with_quota())
    assert counts["quota_sum"] >= 1
    restart = [node_state(2500.0, "n1", "killed"), node_state(2600.0, "n1", "started")]
    fewer = [record for i in range(14) for record in request(3000.0 + i * 10, "n1")]
    assert violations([*starts(), *first, *many, *fewer], scenario_with_quota())[0]["quota_sum"] == 1
    assert (
        violations([*starts(), *first, *restart, *many, *fewer], scenario_with_quota())[0]["quota_sum"] == 0
    )
