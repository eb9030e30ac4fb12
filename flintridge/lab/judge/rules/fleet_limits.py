"""Rules on fleet-wide limits: the nodes that lease parts of a limit to one another stay within the whole.

`budget_sum` applies in virtual time, where all nodes report at the same instant. A part is an even share of
a limit. The sum of the parts that all processes may use, with those lent and borrowed, never exceeds the
number of nodes.

`quota_sum` applies to runs in which requests beyond a quota are rejected. It is judged only by what arrived
at the servers and the origin. In any window of T seconds, the requests of a tenant that reached any of them
are at most

    R * (T + D) + R + 8 * processes + (R / nodes + 8) * new processes    with R = QUOTA_FACTOR * quota_per_s

A node takes a token from its bucket when it admits a request, and the request may wait before it is sent to a
server. So a request counts at the time when its client sent it. `D` is the maximum time from the sending to
the admission: the delay of the client's link and, in real time, the lateness of a process. After a pause, a
process admits the requests that were sent during the pause, but its bucket holds no more tokens for that. The
buckets are filled at rates whose sum is at most R at each instant, which gives R * (T + D). At the start of
the window, a process's bucket holds at most the tokens of one second, or 8 if that is more: at most
R + 8 * processes over all processes. A bucket is full when its process first sees the tenant. By then the
process has borrowed nothing, because it needed nothing, so it has at most an even part: R / nodes + 8 for
each such new process.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.process_history import ProcessLifetime
from flintridge.lab.records import LeaseReported, RequestSent
from flintridge.lab.scenario.model import Tenant

RULES = ("budget_sum", "quota_sum")

# The documented values, not those of the nodes' code, so that a mistake in that code can't change the judge.
QUOTA_FACTOR = 1.5  # all nodes together may admit this multiple of a tenant's quota
MIN_BUCKET_SIZE = 8  # requests that a process may admit at once, whatever its rate
WINDOWS_S = (1.0, 2.0, 5.0)
ROUNDING_PARTS = 1e-6  # covers rounding errors of floating-point sums


class _Report(NamedTuple):
    """An instant at which nodes reported their parts of a limit."""

    at_ms: float
    limit_name: str


class _TenantRequests(NamedTuple):
    """The records of a tenant's requests.

    Attributes:
        admitted: The requests that reached any server, ordered by when their clients sent them.
        first_seen_ms: When each process was first sent a request of the tenant, in order of time.
    """

    admitted: list[RequestSent]
    first_seen_ms: list[float]


def check(history: History, findings: Findings) -> None:
    """Add all violations of fleet-wide limits."""
    if not history.is_real_time:
        _check_parts(history, findings)
    budgets = history.scenario.budgets
    if budgets is not None and budgets.tenants and budgets.strict:
        for tenant in history.scenario.tenants:
            if tenant.quota_per_s:
                _check_quota(history, tenant, findings)


def _check_parts(history: History, findings: Findings) -> None:
    """`budget_sum`: the sum of the parts of all processes is at most the number of nodes."""
    nodes = history.scenario.nodes.count
    by_instant: dict[_Report, list[LeaseReported]] = {}
    for record in history.records:
        if isinstance(record, LeaseReported):
            by_instant.setdefault(_Report(record.at_ms, record.limit_name), []).append(record)
    for report, leases in by_instant.items():
        usable = sum(lease.usable for lease in leases)
        if usable > nodes + ROUNDING_PARTS:
            what = f"{len(leases)} processes may use {usable:.3f} parts of {report.limit_name}"
            findings.add("budget_sum", report.at_ms, f"{what}; there are {nodes}", leases)


def _check_quota(history: History, tenant: Tenant, findings: Findings) -> None:
    """`quota_sum`: the nodes admit no more requests of a tenant than its quota allows.

    Adds only the first violation of each tenant and length of window.
    """
    requests = _tenant_requests(history, tenant.name)
    for seconds in WINDOWS_S:
        _check_window(history, tenant, requests, seconds, findings)


def _check_window(
    history: History, tenant: Tenant, requests: _TenantRequests, seconds: float, findings: Findings
) -> None:
    rate = QUOTA_FACTOR * tenant.quota_per_s
    admission_delay_s = (history.tolerances.client_ms + history.tolerances.limit_ms) / 1000
    processes = [process for found in history.processes.by_node.values() for process in found]
    first = 0
    for last, request in enumerate(requests.admitted):
        end_ms = request.at_ms
        start_ms = end_ms - seconds * 1000
        while requests.admitted[first].at_ms < start_ms:
            first += 1
        count = last - first + 1
        limit = rate * (seconds + admission_delay_s + 1)
        if count <= limit:  # the usual case; skips the costly terms
            continue
        new_processes = bisect_right(requests.first_seen_ms, end_ms)
        new_processes -= bisect_left(requests.first_seen_ms, start_ms)
        limit += MIN_BUCKET_SIZE * _living_count(processes, start_ms, end_ms)
        limit += (rate / history.scenario.nodes.count + MIN_BUCKET_SIZE) * new_processes
        if count > limit:
            text = (
                f"{count} requests of {tenant.name} asked within {seconds:g} s reached servers; its quota of"
                f" {tenant.quota_per_s:g} a second allows at most {limit:.1f}"
            )
            findings.add("quota_sum", end_ms, text, requests.admitted[first : last + 1])
            return


def _tenant_requests(history: History, tenant: str) -> _TenantRequests:
    sent = [r for r in history.records if isinstance(r, RequestSent) and r.tenant == tenant]
    first_seen_ms: dict[tuple[str, float], float] = {}
    for record in sent:
        process = history.processes.at(record.node, record.at_ms)
        first_seen_ms.setdefault((record.node, process.started_ms), record.at_ms)
    # A request that was sent more than once counts at its first sending.
    admitted = {
        record.request_id: record
        for record in reversed(sent)
        if history.client_attempts[record.request_id].outcomes
    }
    return _TenantRequests(
        sorted(admitted.values(), key=lambda record: record.at_ms), sorted(first_seen_ms.values())
    )


def _living_count(processes: Sequence[ProcessLifetime], since_ms: float, until_ms: float) -> int:
    """Return how many processes lived at any time of this span."""
    return sum(
        process.started_ms <= until_ms and (process.end is None or process.end.at_ms >= since_ms)
        for process in processes
    )
