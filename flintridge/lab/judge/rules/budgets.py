"""Rules on budgets that nodes lend one another: what all may use together stays within the whole.

`budget_sum`, in virtual time, where all nodes are looked at in one instant: their parts of a budget, whatever
they lent and borrowed, are never more than there are nodes.

`quota_sum`, on days on which what is beyond a quota is refused: judged by what arrived at the servers and the
origin alone. In any window of T seconds, the requests of a tenant that got to any of them are at most

    R * (T + D) + R + 8 * lives + (R / nodes + 8) * beginners        with R = QUOTA_SLACK * quota_per_s

A request takes from its node's bucket when it is taken in, and may wait before it is sent. So it counts at
the time of its asking; `D` is what may lie between that and its being taken in: the client's link, and in
real time how late a process may be. A process that stands still lets in later what was asked meanwhile, but
its bucket holds no more for that. Buckets are filled at rates that add up to at most R at each instant, which
gives R * (T + D). At the window's begin a process's bucket holds at most what it gets in a second, or 8 where
that is less: over all processes at most R + 8 * lives. A bucket is full when its process first sees the
tenant. By then it has borrowed nothing, as it needed nothing, and so has at most an even part: R / nodes + 8
for each such beginner.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Sequence

from flintridge.lab.judge.facts import History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.lives import ProcessLifetime
from flintridge.lab.records import LeaseReported, RequestSent

RULES = ("budget_sum", "quota_sum")

# As the nodes promise it, not as they have it: a mistake there must not move the judge.
QUOTA_SLACK = 1.5  # what all nodes may let in of a tenant, in multiples of its quota
BUCKET_LEAST = 8  # requests that a process may let in at once, whatever its rate
WINDOWS_S = (1.0, 2.0, 5.0)
TINY = 1e-6  # even parts; for sums of floating point


def check(day: History, findings: Findings) -> None:
    if not day.loopback:
        _budget_sum(day, findings)
    budgets = day.scenario.budgets
    if budgets is not None and budgets.tenants and budgets.strict:
        for tenant in day.scenario.tenants:
            if tenant.quota_per_s:
                _quota_sum(day, findings, tenant.name, tenant.quota_per_s)


def _budget_sum(day: History, findings: Findings) -> None:
    nodes = day.scenario.nodes.count
    looks: dict[tuple[float, str], list[LeaseReported]] = {}
    for record in day.records:
        if isinstance(record, LeaseReported):
            looks.setdefault((record.at_ms, record.limit_name), []).append(record)
    for (t, budget), held in looks.items():
        usable = sum(one.usable for one in held)
        if usable > nodes + TINY:
            text = f"{len(held)} processes may use {usable:.3f} parts of {budget}; there are {nodes}"
            findings.add("budget_sum", t, text, held)


def _quota_sum(day: History, findings: Findings, tenant: str, quota: float) -> None:
    """One violation of a tenant and length of window at the most: the first."""
    let_in, first_seen = _let_in(day, tenant)
    times = [asked.at_ms for asked in let_in]
    rate = QUOTA_SLACK * quota
    late_s = (day.slacks.client + day.slacks.limit) / 1000
    lives = [life for found in day.lives.by_node.values() for life in found]
    for seconds in WINDOWS_S:
        begin = 0
        for end, t in enumerate(times):
            since = t - seconds * 1000
            while times[begin] < since:
                begin += 1
            count = end - begin + 1
            most = rate * (seconds + late_s + 1)
            if count <= most:  # mostly, and cheaper
                continue
            beginners = bisect_right(first_seen, t) - bisect_left(first_seen, since)
            most += BUCKET_LEAST * _living(lives, since, t)
            most += (rate / day.scenario.nodes.count + BUCKET_LEAST) * beginners
            if count > most:
                text = (
                    f"{count} requests of {tenant} asked within {seconds:g} s got to servers; its quota of"
                    f" {quota:g} a second lets {most:.1f} in at the most"
                )
                findings.add("quota_sum", t, text, let_in[begin : end + 1])
                break


def _let_in(day: History, tenant: str) -> tuple[list[RequestSent], list[float]]:
    """The tenant's requests that got to any server, by their asking; and when each process first saw it."""
    asked = [record for record in day.records if isinstance(record, RequestSent) and record.tenant == tenant]
    first: dict[tuple[str, float], float] = {}
    for record in asked:
        life = day.lives.at(record.node, record.at_ms)
        first.setdefault((record.node, life.started), record.at_ms)
    found = {record.request_id: record for record in reversed(asked) if day.tries[record.request_id].sent}
    return sorted(found.values(), key=lambda record: record.at_ms), sorted(first.values())


def _living(lives: Sequence[ProcessLifetime], since: float, until: float) -> int:
    """How many processes lived at any time between these."""
    return sum(life.started <= until and (life.end is None or life.end.at_ms >= since) for life in lives)
