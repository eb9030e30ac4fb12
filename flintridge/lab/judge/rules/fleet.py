"""Rules on the fleet: draining servers get nothing new, cold ones no more than they can bear."""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from flintridge.lab.judge.facts import TINY_MS, Day, Sent
from flintridge.lab.judge.findings import Findings
from flintridge.lab.records import Attempt, NodeSaid, ServerSaid, Told

RULES = ("drain", "cold")

COLD_SLACK = 1.1  # of the budget, and
COLD_REQUESTS = 2  # usual requests, for chance
FEW_REQUESTS = 30.0  # that a cold server is allowed; with fewer, chance weighs more
TOLD_PART = 2 / 3  # of the work that must come from nodes that were told
CLOCK_MS = 100.0  # a start is told in whole milliseconds of another clock


def check(day: Day, findings: Findings) -> None:
    _drains(day, findings)
    _cold(day, findings)


@dataclass(slots=True)
class Heard:
    """What one process of a node was told of the list."""

    out: dict[str, Told] = field(default_factory=dict)  # servers that are to get nothing new, since when
    named: dict[str, None] = field(default_factory=dict)
    complete: Told | None = None  # the first complete list

    def take(self, told: Told) -> None:
        listed: dict[str, None] = {}
        for server, phase, _ in told.members:
            listed[server] = None
            self.named[server] = None
            if phase == "in_service":
                self.out.pop(server, None)
            else:
                self.out.setdefault(server, told)
        if told.complete:
            self.complete = self.complete or told
            for server in self.named:
                if server not in listed:
                    self.out.setdefault(server, told)

    def out_since(self, server: str, started: float) -> Told | None:
        """What told first that a server is out, if nothing told otherwise since.

        One that no list ever named, as an old list may have had it, is out since the first complete one; not
        if it `started` later: what reached it was sent to the one that had its address before.
        """
        if server in self.named:
            return self.out.get(server)
        return self.complete if self.complete is not None and started < self.complete.t else None


def _drains(day: Day, findings: Findings) -> None:
    grace = day.scenario.rules.drain_grace_ms + day.slacks.limit
    heard: dict[str, Heard] = {}
    for record in day.records:
        match record:
            case Told():
                heard.setdefault(record.node, Heard()).take(record)
            case NodeSaid(state="started"):
                heard[record.node] = Heard()
            case Attempt():
                starts = day.starts.get(record.server)
                started = starts[0].t if starts else -math.inf
                told = heard[record.node].out_since(record.server, started) if record.node in heard else None
                if told is not None and record.began > told.t + grace + TINY_MS:
                    _drain_broken(record, told, findings)


def _drain_broken(record: Attempt, told: Told, findings: Findings) -> None:
    text = (
        f"{record.node} sent {record.uid} to {record.server} {record.began - told.t:.1f} ms after it was "
        f"told (revision {told.revision}{', deemed' if told.deemed else ''}) that it is leaving or gone"
    )
    findings.add(
        "drain",
        record.began,
        text,
        [told, record],
        uid=record.uid,
        node=record.node,
        server=record.server,
    )


# Cold servers


class StartsTold:
    """Which starts of servers each process of a node was told of, and when."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._at: dict[tuple[str, float, str], tuple[list[float], list[float]]] = {}
        for record in day.records:
            if not isinstance(record, Told):
                continue
            began = day.lives.at(record.node, record.t).started
            for server, _, up_since in record.members:
                if up_since:
                    times, starts = self._at.setdefault((record.node, began, server), ([], []))
                    times.append(record.t)
                    starts.append(max(up_since, starts[-1] if starts else -math.inf))

    def knew(self, sent: Sent, started: float) -> bool:
        """Whether the node had been told of this start, or of a later one, when it sent."""
        record = sent.record
        life = self._day.lives.at(record.node, record.began).started
        times, starts = self._at.get((record.node, life, record.server), ([], []))
        told = bisect_right(times, record.began)
        return told > 0 and starts[told - 1] >= started - CLOCK_MS


def _cold(day: Day, findings: Findings) -> None:
    if not day.scenario.rules.fall_multiple:
        return
    told = StartsTold(day)
    by_server: dict[str, list[Sent]] = {}
    for sent in day.sent.values():
        if not sent.record.origin and sent.record.server in day.starts:
            by_server.setdefault(sent.record.server, []).append(sent)
    works = [sent.record.work_ms for sent in day.sent.values() if not sent.record.origin]
    usual = sum(works) / len(works) if works else 0.0
    for server, starts in day.starts.items():
        arrived = by_server.get(server, [])
        ends = [start.t for start in starts[1:]] + [math.inf]
        for start, end in zip(starts, ends, strict=True):
            if start.cold_from < 1 and start.cold_ms > 0 and start.capacity > 0:
                until = min(end, start.t + max(start.cold_ms, 1000 * day.scenario.rules.cold_s))
                mine = [sent for sent in arrived if start.t <= sent.record.t < until]
                _pushed(day, start, _fell(day, start, until), mine, told, usual, findings)


def _fell(day: Day, start: ServerSaid, until: float) -> ServerSaid | None:
    """Its falling over while it warmed up, if it did."""
    return next((fall for fall in day.falls.get(start.server, ()) if start.t < fall.t <= until), None)


def capacity(start: ServerSaid, t: float) -> float:
    """Work-milliseconds a millisecond of a server that is warming up, at `t`."""
    warm = min(1.0, (t - start.t) / start.cold_ms) if start.cold_ms else 1.0
    return start.capacity * (start.cold_from + (1 - start.cold_from) * warm)


def allowed_by_settings(day: Day, start: ServerSaid, t: float, usual: float) -> float:
    """Work that a cold server may be offered in a window that ends at `t`, as the settings tell nodes of it.

    N requests of mean work, as many as its capacity by the settings allows, and for chance twice the root of
    N and 2 more; where N is under 30, three times the root and 3 more. How many nodes there are is no matter.
    """
    rules = day.scenario.rules
    warm = min(1.0, (t - start.t) / (1000 * rules.cold_s)) if rules.cold_s else 1.0
    share = rules.cold_share + (1 - rules.cold_share) * warm
    budget = rules.fall_multiple * start.capacity * share * rules.fall_ms
    count = budget / usual if usual else 0.0
    times = 3 if count < FEW_REQUESTS else 2
    return budget + (times * math.sqrt(count) + times) * usual


def _windows(arrived: list[Sent], span: float) -> Iterator[tuple[deque[Sent], float]]:
    """The attempts of each window that ends with one of them, and the work of all in it."""
    window: deque[Sent] = deque()
    work = 0.0
    for sent in arrived:
        window.append(sent)
        work += sent.record.work_ms
        while window[0].record.t <= sent.record.t - span:
            work -= window.popleft().record.work_ms
        yield window, work


def _pushed(
    day: Day,
    start: ServerSaid,
    fall: ServerSaid | None,
    arrived: list[Sent],
    told: StartsTold,
    usual: float,
    findings: Findings,
) -> None:
    """One breach a start: more work within a window than the rule allows, most of it from nodes that knew.

    A server that fell had been offered too much, and gets no more; else some is allowed beyond for chance:
    the lesser of a tenth of what the machine bears with two requests, and of what the settings allow.
    """
    rules = day.scenario.rules
    for window, work in _windows(arrived, rules.fall_ms):
        now = window[-1].record.t
        budget = rules.fall_multiple * capacity(start, now) * rules.fall_ms
        last = fall is not None and window[-1] is arrived[-1]
        allowed = COLD_SLACK * budget + COLD_REQUESTS * usual
        allowed = min(allowed, allowed_by_settings(day, start, now, usual))
        if work <= allowed and not (last and work > budget - TINY_MS):
            continue
        known = sum(sent.record.work_ms for sent in window if told.knew(sent, start.t))
        if known < TOLD_PART * work:
            continue
        text = (
            f"{start.server}, started {now - start.t:.0f} ms before, was offered {work:.0f} ms of work "
            f"within {rules.fall_ms:.0f} ms ({known:.0f} ms of it by nodes that were told of its start); "
            f"{min(budget, allowed):.0f} ms are allowed{'; it fell' if fall is not None else ''}"
        )
        lines = [start, *(sent.record for sent in window), fall]
        findings.add("cold", now, text, lines, server=start.server)
        return
