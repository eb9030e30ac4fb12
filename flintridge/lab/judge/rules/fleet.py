"""Rules on the fleet: draining servers get nothing new, cold ones no more than they can bear."""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from flintridge.lab.judge.facts import TINY_MS, AttemptOutcome, History
from flintridge.lab.judge.findings import Findings
from flintridge.lab.records import AttemptReceived, EndpointNotified, NodeStateChanged, ServerStateChanged

RULES = ("drain", "cold")

COLD_SLACK = 1.1  # of the budget, and
COLD_REQUESTS = 2  # usual requests, for chance
FEW_REQUESTS = 30.0  # that a cold server is allowed; with fewer, chance weighs more
TOLD_PART = 2 / 3  # of the work that must come from nodes that were told
CLOCK_MS = 100.0  # a start is told in whole milliseconds of another clock


def check(day: History, findings: Findings) -> None:
    _drains(day, findings)
    _cold(day, findings)


@dataclass(slots=True)
class Heard:
    """What one process of a node was told of the list."""

    out: dict[str, EndpointNotified] = field(
        default_factory=dict
    )  # servers that are to get nothing new, since when
    named: dict[str, None] = field(default_factory=dict)
    complete: EndpointNotified | None = None  # the first complete list

    def take(self, told: EndpointNotified) -> None:
        listed: dict[str, None] = {}
        for server, phase, _ in told.endpoints:
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

    def out_since(self, server: str, started: float) -> EndpointNotified | None:
        """What told first that a server is out, if nothing told otherwise since.

        One that no list ever named, as an old list may have had it, is out since the first complete one; not
        if it `started` later: what reached it was sent to the one that had its address before.
        """
        if server in self.named:
            return self.out.get(server)
        return self.complete if self.complete is not None and started < self.complete.at_ms else None


def _drains(day: History, findings: Findings) -> None:
    grace = day.scenario.rules.drain_grace_ms + day.slacks.limit
    heard: dict[str, Heard] = {}
    for record in day.records:
        match record:
            case EndpointNotified():
                heard.setdefault(record.node, Heard()).take(record)
            case NodeStateChanged(state="started"):
                heard[record.node] = Heard()
            case AttemptReceived():
                starts = day.starts.get(record.server)
                started = starts[0].at_ms if starts else -math.inf
                told = heard[record.node].out_since(record.server, started) if record.node in heard else None
                if told is not None and record.started_ms > told.at_ms + grace + TINY_MS:
                    _drain_broken(record, told, findings)


def _drain_broken(record: AttemptReceived, told: EndpointNotified, findings: Findings) -> None:
    late_ms = record.started_ms - told.at_ms
    text = (
        f"{record.node} sent {record.request_id} to {record.server} {late_ms:.1f} ms after it was "
        f"told (revision {told.revision}{', deemed' if told.assumed else ''}) that it is leaving or gone"
    )
    findings.add(
        "drain",
        record.started_ms,
        text,
        [told, record],
        uid=record.request_id,
        node=record.node,
        server=record.server,
    )


# Cold servers


class StartsTold:
    """Which starts of servers each process of a node was told of, and when."""

    def __init__(self, day: History) -> None:
        self._day = day
        self._at: dict[tuple[str, float, str], tuple[list[float], list[float]]] = {}
        for record in day.records:
            if not isinstance(record, EndpointNotified):
                continue
            began = day.lives.at(record.node, record.at_ms).started
            for server, _, up_since in record.endpoints:
                if up_since:
                    times, starts = self._at.setdefault((record.node, began, server), ([], []))
                    times.append(record.at_ms)
                    starts.append(max(up_since, starts[-1] if starts else -math.inf))

    def knew(self, sent: AttemptOutcome, started: float) -> bool:
        """Whether the node had been told of this start, or of a later one, when it sent."""
        record = sent.record
        life = self._day.lives.at(record.node, record.started_ms).started
        times, starts = self._at.get((record.node, life, record.server), ([], []))
        told = bisect_right(times, record.started_ms)
        return told > 0 and starts[told - 1] >= started - CLOCK_MS


def _cold(day: History, findings: Findings) -> None:
    if not day.scenario.rules.overload_multiple:
        return
    told = StartsTold(day)
    by_server: dict[str, list[AttemptOutcome]] = {}
    for sent in day.sent.values():
        if not sent.record.is_origin and sent.record.server in day.starts:
            by_server.setdefault(sent.record.server, []).append(sent)
    works = [sent.record.work_ms for sent in day.sent.values() if not sent.record.is_origin]
    usual = sum(works) / len(works) if works else 0.0
    for server, starts in day.starts.items():
        arrived = by_server.get(server, [])
        ends = [start.at_ms for start in starts[1:]] + [math.inf]
        for start, end in zip(starts, ends, strict=True):
            if start.initial_fraction < 1 and start.warm_up_ms > 0 and start.capacity > 0:
                until = min(end, start.at_ms + max(start.warm_up_ms, 1000 * day.scenario.rules.slow_start_s))
                mine = [sent for sent in arrived if start.at_ms <= sent.record.at_ms < until]
                _pushed(day, start, _fell(day, start, until), mine, told, usual, findings)


def _fell(day: History, start: ServerStateChanged, until: float) -> ServerStateChanged | None:
    """Its falling over while it warmed up, if it did."""
    return next((fall for fall in day.falls.get(start.server, ()) if start.at_ms < fall.at_ms <= until), None)


def capacity(start: ServerStateChanged, t: float) -> float:
    """Work-milliseconds a millisecond of a server that is warming up, at `t`."""
    warm = min(1.0, (t - start.at_ms) / start.warm_up_ms) if start.warm_up_ms else 1.0
    return start.capacity * (start.initial_fraction + (1 - start.initial_fraction) * warm)


def allowed_by_settings(day: History, start: ServerStateChanged, t: float, usual: float) -> float:
    """Work that a cold server may be offered in a window that ends at `t`, as the settings tell nodes of it.

    N requests of mean work, as many as its capacity by the settings allows, and for chance twice the root of
    N and 2 more; where N is under 30, three times the root and 3 more. How many nodes there are is no matter.
    """
    rules = day.scenario.rules
    warm = min(1.0, (t - start.at_ms) / (1000 * rules.slow_start_s)) if rules.slow_start_s else 1.0
    share = rules.slow_start_fraction + (1 - rules.slow_start_fraction) * warm
    budget = rules.overload_multiple * start.capacity * share * rules.overload_window_ms
    count = budget / usual if usual else 0.0
    times = 3 if count < FEW_REQUESTS else 2
    return budget + (times * math.sqrt(count) + times) * usual


def _windows(arrived: list[AttemptOutcome], span: float) -> Iterator[tuple[deque[AttemptOutcome], float]]:
    """The attempts of each window that ends with one of them, and the work of all in it."""
    window: deque[AttemptOutcome] = deque()
    work = 0.0
    for sent in arrived:
        window.append(sent)
        work += sent.record.work_ms
        while window[0].record.at_ms <= sent.record.at_ms - span:
            work -= window.popleft().record.work_ms
        yield window, work


def _pushed(
    day: History,
    start: ServerStateChanged,
    fall: ServerStateChanged | None,
    arrived: list[AttemptOutcome],
    told: StartsTold,
    usual: float,
    findings: Findings,
) -> None:
    """One violation a start: more work within a window than the rule allows, most of it from nodes that knew.

    A server that fell had been offered too much, and gets no more; else some is allowed beyond for chance:
    the lesser of a tenth of what the machine bears with two requests, and of what the settings allow.
    """
    rules = day.scenario.rules
    for window, work in _windows(arrived, rules.overload_window_ms):
        now = window[-1].record.at_ms
        budget = rules.overload_multiple * capacity(start, now) * rules.overload_window_ms
        last = fall is not None and window[-1] is arrived[-1]
        allowed = COLD_SLACK * budget + COLD_REQUESTS * usual
        allowed = min(allowed, allowed_by_settings(day, start, now, usual))
        if work <= allowed and not (last and work > budget - TINY_MS):
            continue
        known = sum(sent.record.work_ms for sent in window if told.knew(sent, start.at_ms))
        if known < TOLD_PART * work:
            continue
        text = (
            f"{start.server}, started {now - start.at_ms:.0f} ms before, was offered {work:.0f} ms of work "
            f"within {rules.overload_window_ms:.0f} ms "
            f"({known:.0f} ms of it by nodes that were told of its start); "
            f"{min(budget, allowed):.0f} ms are allowed{'; it fell' if fall is not None else ''}"
        )
        lines = [start, *(sent.record for sent in window), fall]
        findings.add("cold", now, text, lines, server=start.server)
        return
