"""The rule `cold`: nodes send no more work to a server that is warming up than it can do."""

import math
from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome
from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import EndpointNotified, ServerStateChanged

RULES = ("cold",)

# To allow for chance, a server may get BUDGET_FACTOR times its budget and EXTRA_REQUESTS of mean work more.
BUDGET_FACTOR = 1.1
EXTRA_REQUESTS = 2
FEW_REQUESTS = 30.0  # if a server is allowed fewer requests than this, chance has more effect
FEW_REQUESTS_DEVIATIONS = 3
DEVIATIONS = 2
NOTIFIED_FRACTION = 2 / 3  # a violation needs this fraction of the work to come from notified nodes
CLOCK_TOLERANCE_MS = 100.0  # discovery reports a start in whole milliseconds of another clock


class _ProcessServer(NamedTuple):
    """A process of a node, and a server."""

    node: str
    process_started_ms: float
    server: str


@dataclass(slots=True)
class _NotifiedStarts:
    """When a process was notified of starts of a server, and the latest start that it then knew."""

    notified_ms: list[float] = field(default_factory=list)
    latest_start_ms: list[float] = field(default_factory=list)


class StartNotifications:
    """Which starts of servers each process of a node was notified of, and when."""

    def __init__(self, history: History) -> None:
        self._processes = history.processes
        self._starts: dict[_ProcessServer, _NotifiedStarts] = {}
        for record in history.records:
            if isinstance(record, EndpointNotified):
                self._add(record)

    def _add(self, record: EndpointNotified) -> None:
        process_started_ms = self._processes.at(record.node, record.at_ms).started_ms
        for server, _, up_since_ms in record.endpoints:
            if not up_since_ms:
                continue
            key = _ProcessServer(record.node, process_started_ms, server)
            starts = self._starts.setdefault(key, _NotifiedStarts())
            previous_ms = starts.latest_start_ms[-1] if starts.latest_start_ms else -math.inf
            starts.notified_ms.append(record.at_ms)
            starts.latest_start_ms.append(max(up_since_ms, previous_ms))

    def was_known(self, outcome: AttemptOutcome, started_ms: float) -> bool:
        """Whether the node had been notified of this start or a later one when it started the attempt."""
        record = outcome.record
        process_started_ms = self._processes.at(record.node, record.started_ms).started_ms
        starts = self._starts.get(_ProcessServer(record.node, process_started_ms, record.server))
        if starts is None:
            return False
        count = bisect_right(starts.notified_ms, record.started_ms)
        return count > 0 and starts.latest_start_ms[count - 1] >= started_ms - CLOCK_TOLERANCE_MS


class AttemptWindow(NamedTuple):
    """The attempts in a time window that ends with the last of them, and their total work.

    Attributes:
        outcomes: The attempts. The deque is shared, and changes when the window moves on.
        work_ms: Sum of their work in ms on a core of speed 1.
    """

    outcomes: deque[AttemptOutcome]
    work_ms: float


class _WarmUp(NamedTuple):
    """A server's warm-up.

    Attributes:
        start: The start of the server.
        overload: Its crash by overload during the warm-up; None if there was none.
        arrived: The attempts that arrived during the warm-up, in order.
    """

    start: ServerStateChanged
    overload: ServerStateChanged | None
    arrived: list[AttemptOutcome]


def check(history: History, findings: Findings) -> None:
    """Add all warm-ups in which a server was offered too much work."""
    if not history.scenario.rules.overload_multiple:
        return
    notifications = StartNotifications(history)
    at_caches = [outcome for outcome in history.outcomes.values() if not outcome.record.is_origin]
    work_ms = [outcome.record.work_ms for outcome in at_caches]
    mean_work_ms = sum(work_ms) / len(work_ms) if work_ms else 0.0
    for warm_up in _warm_ups(history, at_caches):
        _check_warm_up(history, warm_up, notifications, mean_work_ms, findings)


def _warm_ups(history: History, at_caches: list[AttemptOutcome]) -> Iterator[_WarmUp]:
    by_server: dict[str, list[AttemptOutcome]] = {}
    for outcome in at_caches:
        if outcome.server in history.server_starts:
            by_server.setdefault(outcome.server, []).append(outcome)
    for server, starts in history.server_starts.items():
        arrived = by_server.get(server, [])
        next_start_ms = [start.at_ms for start in starts[1:]] + [math.inf]
        for start, end_ms in zip(starts, next_start_ms, strict=True):
            if start.initial_fraction >= 1 or start.warm_up_ms <= 0 or start.capacity <= 0:
                continue
            duration_ms = max(start.warm_up_ms, 1000 * history.scenario.rules.slow_start_s)
            until_ms = min(end_ms, start.at_ms + duration_ms)
            in_warm_up = [o for o in arrived if start.at_ms <= o.record.at_ms < until_ms]
            yield _WarmUp(start, _overload(history, start, until_ms), in_warm_up)


def _overload(history: History, start: ServerStateChanged, until_ms: float) -> ServerStateChanged | None:
    """Return the server's crash by overload during the warm-up; None if there was none."""
    for overload in history.server_overloads.get(start.server, ()):
        if start.at_ms < overload.at_ms <= until_ms:
            return overload
    return None


def capacity(start: ServerStateChanged, at_ms: float) -> float:
    """Return the capacity of a server that is warming up, in work-milliseconds per millisecond."""
    warmth = min(1.0, (at_ms - start.at_ms) / start.warm_up_ms) if start.warm_up_ms else 1.0
    return start.capacity * (start.initial_fraction + (1 - start.initial_fraction) * warmth)


def allowed_by_settings(
    history: History, start: ServerStateChanged, at_ms: float, mean_work_ms: float
) -> float:
    """Return the work (ms) that the nodes' settings allow a server in a window that ends at `at_ms`.

    The settings allow N requests of mean work. To allow for chance, twice the square root of N and 2 more
    requests are added, or three times the root and 3 more if N is under 30. The number of nodes has no
    effect.
    """
    rules = history.scenario.rules
    warmth = min(1.0, (at_ms - start.at_ms) / (1000 * rules.slow_start_s)) if rules.slow_start_s else 1.0
    fraction = rules.slow_start_fraction + (1 - rules.slow_start_fraction) * warmth
    budget_ms = rules.overload_multiple * start.capacity * fraction * rules.overload_window_ms
    count = budget_ms / mean_work_ms if mean_work_ms else 0.0
    deviations = FEW_REQUESTS_DEVIATIONS if count < FEW_REQUESTS else DEVIATIONS
    return budget_ms + (deviations * math.sqrt(count) + deviations) * mean_work_ms


def windows(arrived: list[AttemptOutcome], span_ms: float) -> Iterator[AttemptWindow]:
    """Yield, for each attempt, the window of `span_ms` that ends with it."""
    window: deque[AttemptOutcome] = deque()
    work_ms = 0.0
    for outcome in arrived:
        window.append(outcome)
        work_ms += outcome.record.work_ms
        while window[0].record.at_ms <= outcome.record.at_ms - span_ms:
            work_ms -= window.popleft().record.work_ms
        yield AttemptWindow(window, work_ms)


def _check_warm_up(
    history: History,
    warm_up: _WarmUp,
    notifications: StartNotifications,
    mean_work_ms: float,
    findings: Findings,
) -> None:
    """`cold`: no window of a warm-up has more work than allowed, mostly from nodes that knew of the start.

    Adds at most one violation per start. A server that crashed by overload had been offered too much, so the
    last window before the crash has no allowance beyond the budget. Otherwise an excess is allowed for
    chance, up to the lesser of two limits: the budget by the server's own capacity plus a tenth and two
    requests, and the limit by the nodes' settings.
    """
    rules = history.scenario.rules
    start = warm_up.start
    for window in windows(warm_up.arrived, rules.overload_window_ms):
        now_ms = window.outcomes[-1].record.at_ms
        budget_ms = rules.overload_multiple * capacity(start, now_ms) * rules.overload_window_ms
        allowed_ms = BUDGET_FACTOR * budget_ms + EXTRA_REQUESTS * mean_work_ms
        allowed_ms = min(allowed_ms, allowed_by_settings(history, start, now_ms, mean_work_ms))
        is_last_before_overload = warm_up.overload is not None and window.outcomes[-1] is warm_up.arrived[-1]
        if window.work_ms <= allowed_ms and not (
            is_last_before_overload and window.work_ms > budget_ms - ROUNDING_MS
        ):
            continue
        known_ms = sum(
            outcome.record.work_ms
            for outcome in window.outcomes
            if notifications.was_known(outcome, start.at_ms)
        )
        if known_ms < NOTIFIED_FRACTION * window.work_ms:
            continue
        text = (
            f"{start.server}, started {now_ms - start.at_ms:.0f} ms before, was offered "
            f"{window.work_ms:.0f} ms of work within {rules.overload_window_ms:.0f} ms "
            f"({known_ms:.0f} ms of it by nodes that were notified of its start); "
            f"{min(budget_ms, allowed_ms):.0f} ms are allowed"
            f"{'; it crashed' if warm_up.overload is not None else ''}"
        )
        proof = [start, *(outcome.record for outcome in window.outcomes), warm_up.overload]
        findings.add("cold", now_ms, text, proof, server=start.server)
        return
