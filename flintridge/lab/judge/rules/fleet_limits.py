"""Rules on fleet-wide limits of which nodes lease one another parts: all together stay within the whole.

`budget_sum`, in virtual time, where all nodes report in one instant: their parts of a limit, whatever they
lent and borrowed, are never more than there are nodes.

`quota_sum`, in runs in which what is beyond a quota is rejected: judged by what arrived at the servers and
the origin alone. In any window of T seconds, the requests of a tenant that got to any of them are at most

    R * (T + D) + R + 8 * processes + (R / nodes + 8) * new processes    with R = QUOTA_FACTOR * quota_per_s

A request takes from its node's bucket when it is admitted, and may wait before it is sent. So it counts at
the time of its sending by the client; `D` is what may lie between that and its admission: the client's
link, and in real time how late a process may be. A process that stands still admits later what was sent
meanwhile, but its bucket holds no more for that. Buckets are filled at rates that add up to at most R at
each instant, which gives R * (T + D). At the window's start a process's bucket holds at most what it gets
in a second, or 8 where that is less: over all processes at most R + 8 * processes. A bucket is full when
its process first sees the tenant. By then it has borrowed nothing, as it needed nothing, and so has at most
an even part: R / nodes + 8 for each such new process.
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

# As the nodes promise it, not as they have it: a mistake there must not move the checker.
QUOTA_FACTOR = 1.5  # what all nodes may admit of a tenant, in multiples of its quota
MIN_BUCKET_SIZE = 8  # requests that a process may admit at once, whatever its rate
WINDOWS_S = (1.0, 2.0, 5.0)
ROUNDING_PARTS = 1e-6  # for sums of floating point


class _Report(NamedTuple):
    """An instant in which nodes reported a limit."""

    at_ms: float
    limit_name: str


class _TenantRequests(NamedTuple):
    """What was seen of a tenant.

    Attributes:
        admitted: Its requests that got to any server, by their sending.
        first_seen_ms: When each process first saw it, in order of time.
    """

    admitted: list[RequestSent]
    first_seen_ms: list[float]


def check(history: History, findings: Findings) -> None:
    """Add what the use of fleet-wide limits violates."""
    if not history.is_real_time:
        _check_parts(history, findings)
    budgets = history.scenario.budgets
    if budgets is not None and budgets.tenants and budgets.strict:
        for tenant in history.scenario.tenants:
            if tenant.quota_per_s:
                _check_quota(history, tenant, findings)


def _check_parts(history: History, findings: Findings) -> None:
    """`budget_sum`: the parts of all processes are no more than there are nodes."""
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
    """`quota_sum`: the nodes admit no more of a tenant than its quota lets them.

    One violation of a tenant and length of window at the most: the first.
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
        if count <= limit:  # mostly, and cheaper
            continue
        new_processes = bisect_right(requests.first_seen_ms, end_ms)
        new_processes -= bisect_left(requests.first_seen_ms, start_ms)
        limit += MIN_BUCKET_SIZE * _living_count(processes, start_ms, end_ms)
        limit += (rate / history.scenario.nodes.count + MIN_BUCKET_SIZE) * new_processes
        if count > limit:
            text = (
                f"{count} requests of {tenant.name} asked within {seconds:g} s got to servers; its quota of"
                f" {tenant.quota_per_s:g} a second lets {limit:.1f} in at the most"
            )
            findings.add("quota_sum", end_ms, text, requests.admitted[first : last + 1])
            return


def _tenant_requests(history: History, tenant: str) -> _TenantRequests:
    sent = [r for r in history.records if isinstance(r, RequestSent) and r.tenant == tenant]
    first_seen_ms: dict[tuple[str, float], float] = {}
    for record in sent:
        process = history.processes.at(record.node, record.at_ms)
        first_seen_ms.setdefault((record.node, process.started_ms), record.at_ms)
    # A request that was sent more than once counts at the first time.
    admitted = {
        record.request_id: record
        for record in reversed(sent)
        if history.client_attempts[record.request_id].outcomes
    }
    return _TenantRequests(
        sorted(admitted.values(), key=lambda record: record.at_ms), sorted(first_seen_ms.values())
    )


def _living_count(processes: Sequence[ProcessLifetime], since_ms: float, until_ms: float) -> int:
    """How many processes lived at any time between these."""
    return sum(
        process.started_ms <= until_ms and (process.end is None or process.end.at_ms >= since_ms)
        for process in processes
    )
