"""The figures of a day: worth, latency, attempts, and each second of it. They break no rule."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import numpy as np

from flintridge.lab.judge.facts import AttemptOutcome, History
from flintridge.lab.records import (
    MalformedClientEnded,
    RequestAbandoned,
    RequestNotAccepted,
    RequestSent,
    ResponseReceived,
)
from flintridge.lab.result import Latency, Result, Window
from flintridge.lab.scenario.model import RequestClass, Scenario

DIGITS = 6  # of figures that are shares
MS_DIGITS = 3


@dataclass(slots=True, eq=False)
class Wish:
    """What a client wanted: its first try with all that followed from it."""

    due: float
    cls: RequestClass
    tenant: str
    tries: int = 0
    served_at: float | None = None
    last_word: str = ""  # the kind of the last answer
    last_at: float = math.inf

    @property
    def latency(self) -> float | None:
        return None if self.served_at is None else self.served_at - self.due

    @property
    def in_aim(self) -> bool:
        took = self.latency
        return took is not None and took <= self.cls.latency_objective_ms

    @property
    def asked(self) -> float:
        return self.cls.priority_weight

    @property
    def got(self) -> float:
        took = self.latency
        if took is None or took > self.cls.deadline_ms:
            return 0.0
        return (
            self.cls.priority_weight
            if self.in_aim
            else self.cls.priority_weight * self.cls.late_weight_fraction
        )


@dataclass(slots=True)
class Worth:
    """Worth asked and got by some part of the requests."""

    asked: float = 0.0
    got: float = 0.0
    parts: dict[str, "Worth"] = field(default_factory=dict)

    def add(self, wish: Wish) -> None:
        self.asked += wish.asked
        self.got += wish.got

    def of(self, name: str) -> "Worth":
        return self.parts.setdefault(name, Worth())

    @property
    def share(self) -> float:
        return self.got / self.asked if self.asked else 1.0

    def shares(self) -> dict[str, float]:
        return {name: round(part.share, DIGITS) for name, part in sorted(self.parts.items()) if part.asked}


def wishes_of(day: History) -> dict[str, Wish]:
    """The counted first tries by uid, with what became of each, in the order of their asking."""
    wishes: dict[str, Wish] = {}
    of_uid: dict[str, Wish] = {}
    over: set[str] = set()
    for record in day.records:
        if isinstance(record, RequestSent | RequestNotAccepted) and record.counted:
            wish = wishes.get(record.first_request_id)
            if wish is None:
                wish = wishes[record.first_request_id] = Wish(
                    record.scheduled_ms, day.cls(record.class_name), record.tenant
                )
            if record.request_id not in of_uid:
                wish.tries += 1
            of_uid[record.request_id] = wish
            if isinstance(record, RequestNotAccepted):
                wish.last_word, wish.last_at = "never_taken", record.at_ms
        elif isinstance(record, RequestAbandoned):
            over.add(record.request_id)  # what comes after that is of no use to its client
        elif isinstance(record, ResponseReceived) and (wish := of_uid.get(record.request_id)) is not None:
            if record.request_id in over:
                continue
            wish.last_word, wish.last_at = record.kind, record.at_ms
            if record.kind == "served" and wish.served_at is None:
                wish.served_at = record.at_ms
    return wishes


def fill(result: Result, day: History) -> None:
    """All figures of the day into `result`."""
    wishes = wishes_of(day)
    whole, classes, tenants = Worth(), Worth(), Worth()
    for wish in wishes.values():
        whole.add(wish)
        classes.of(wish.cls.name).add(wish)
        if wish.tenant:
            tenants.of(wish.tenant).add(wish)
    count = len(wishes)
    served = [wish for wish in wishes.values() if wish.served_at is not None]
    result.requests = count
    result.served = len(served)
    result.served_within_objective = sum(wish.in_aim for wish in served)
    result.rejected = sum(w.last_word == "refused" and w.served_at is None for w in wishes.values())
    result.failed = count - result.served - result.rejected
    result.latency_ms = _latency([wish.latency or 0.0 for wish in served])
    result.goodput = round(whole.share, DIGITS)
    in_aim = sum(wish.asked for wish in served if wish.in_aim)
    result.goodput_within_objective = round(in_aim / whole.asked, DIGITS) if whole.asked else 1.0
    result.goodput_by_class, result.goodput_by_tenant = classes.shares(), tenants.shares()
    result.client_attempts_per_request = _per(sum(wish.tries for wish in wishes.values()), count)
    result.windows = _windows(day, wishes.values())
    result.min_window_goodput = round(_worst_window(day.scenario, result.windows), DIGITS)
    _attempts(result, day, count)
    result.malformed_unanswered = sum(
        isinstance(r, MalformedClientEnded) and r.outcome == "nothing" for r in day.records
    )
    result.faults = _faults(day)
    result.goal = round(_goal(day, result, wishes.values(), whole), DIGITS)


def _per(part: float, whole: float) -> float:
    return round(part / whole, DIGITS) if whole else 0.0


def _latency(times: Sequence[float]) -> Latency:
    if not times:
        return Latency()
    p50, p90, p99, p999 = _percentiles(times, (50, 90, 99, 99.9))
    most = round(max(times), MS_DIGITS)
    return Latency(p50=p50, p90=p90, p99=p99, p999=p999, max=most, count=len(times))


def _percentiles(times: Sequence[float], at: tuple[float, ...]) -> list[float]:
    """Of the times seen, each the least that so many in a hundred do not exceed."""
    found = np.percentile(np.asarray(times), at, method="inverted_cdf")
    return [round(float(value), MS_DIGITS) for value in found]


# Seconds


def _windows(day: History, wishes: Iterable[Wish]) -> list[Window]:
    count = max(1, math.ceil(day.scenario.length_s))
    windows = [Window(t_s=float(second)) for second in range(count)]
    times: list[list[float]] = [[] for _ in windows]
    for wish in wishes:
        at = min(count - 1, max(0, math.floor(wish.due / 1000)))
        window = windows[at]
        window.requests += 1
        window.offered_weight += wish.asked
        window.achieved_weight += wish.got
        if (took := wish.latency) is not None:
            window.served += 1
            window.within_objective += wish.in_aim
            times[at].append(took)
        elif wish.last_word == "refused":
            window.rejected += 1
        else:
            window.failed += 1
    for window, took_all in zip(windows, times, strict=True):
        if took_all:
            window.p50, window.p99 = _percentiles(took_all, (50, 99))
    _seen(day, windows)
    return windows


def _seen(day: History, windows: list[Window]) -> None:
    """Attempts by when they arrived, and what was in flight at each server, as the mean over the second."""
    for sent in day.sent.values():
        record = sent.record
        at = math.floor(record.at_ms / 1000)
        if 0 <= at < len(windows):
            windows[at].attempts += 1
            windows[at].origin_attempts += record.is_origin
        _fly(windows, sent)
    for window in windows:
        window.in_flight = {name: round(held, MS_DIGITS) for name, held in sorted(window.in_flight.items())}


def _fly(windows: list[Window], sent: AttemptOutcome) -> None:
    record, ended = sent.record, sent.ended
    end = record.at_ms + record.time_left_ms if ended is None else ended
    end = min(end, 1000.0 * len(windows))
    at = max(0.0, record.at_ms)
    while at < end:
        second = math.floor(at / 1000)
        until = min(end, 1000.0 * (second + 1))
        held = windows[second].in_flight
        held[record.server] = held.get(record.server, 0.0) + (until - at) / 1000
        at = until


def _worst_window(scenario: Scenario, windows: list[Window]) -> float:
    """The least goodput of any stretch of so many seconds, moved on by one second at a time."""
    span = min(len(windows), max(1, round(scenario.goal.window_s)))
    least = 1.0
    for first in range(len(windows) - span + 1):
        part = windows[first : first + span]
        asked = sum(window.offered_weight for window in part)
        if asked:
            least = min(least, sum(window.achieved_weight for window in part) / asked)
    return least


# Attempts


def _attempts(result: Result, day: History, count: int) -> None:
    counted = [sent for sent in day.sent.values() if _counted(day, sent)]
    result.attempts_per_request = _per(len(counted), count)
    result.origin_per_request = _per(sum(sent.record.is_origin for sent in counted), count)
    result.hit_fraction = _hits(counted)
    result.wasted_fraction = _wasted(day, counted)
    crossing = sum(_crosses(day, sent) for sent in counted)
    result.cross_zone_fraction = _per(crossing, len(counted))


def _counted(day: History, sent: AttemptOutcome) -> bool:
    this = day.tries.get(sent.record.request_id)
    return this is not None and bool(this.takens) and this.takens[0].asked.counted


def _hits(counted: list[AttemptOutcome]) -> float:
    reads = [s.made.outcome for s in counted if s.made and not s.record.is_origin and not s.record.write]
    values = sum(outcome == "value" for outcome in reads)
    return _per(values, values + sum(outcome == "miss" for outcome in reads))


def _wasted(day: History, counted: list[AttemptOutcome]) -> float:
    """Of the work that was done, the part whose answer no client got."""
    done = used = 0.0
    for sent in counted:
        if not sent.ran:
            continue
        done += sent.record.work_ms
        made = sent.made
        if made is not None and made.body_digest and _got(day, sent.record.request_id, made.body_digest):
            used += sent.record.work_ms
    return _per(done - used, done)


def _got(day: History, uid: str, token: str) -> bool:
    return any(
        answer.kind == "served" and answer.body_digest == token
        for taken in day.tries[uid].takens
        for answer in taken.answers
        if taken.gave_up is None or answer.at_ms <= taken.gave_up.at_ms
    )


def _crosses(day: History, sent: AttemptOutcome) -> bool:
    zone = day.zone(sent.record.server, sent.record.is_origin)
    return zone is not None and zone != day.node_zone(sent.record.node)


# The goal


def _goal(day: History, result: Result, wishes: Iterable[Wish], whole: Worth) -> float:
    """The scenario's mix, each part by its weight, less the prices."""
    goal, prices = day.scenario.goal, day.scenario.prices
    parts = [(goal.whole, result.goodput), (goal.worst_window, result.min_window_goodput)]
    parts.append((goal.worst_class, min(result.goodput_by_class.values(), default=result.goodput)))
    parts.append((goal.worst_tenant, min(result.goodput_by_tenant.values(), default=result.goodput)))
    weights = sum(weight for weight, _ in parts)
    mix = sum(weight * value for weight, value in parts) / weights if weights else result.goodput
    mix -= prices.cross_zone * result.cross_zone_fraction * result.attempts_per_request
    mix -= prices.waste * result.wasted_fraction
    late = sum(wish.asked for wish in wishes if _failed_late(wish))
    return mix - prices.late_fail * (late / whole.asked if whole.asked else 0.0)


def _failed_late(wish: Wish) -> bool:
    """Unserved, and its client only knew after the aim."""
    return wish.served_at is None and wish.last_at - wish.due > wish.cls.latency_objective_ms


def _faults(day: History) -> list[tuple[str, float, float]]:
    """Names with seconds from and to; what was not seen to end goes on to the end of the day."""
    last = max(day.scenario.length_s, day.end / 1000)
    return [
        (name, round(a / 1000, 3), round(last if b == math.inf else b / 1000, 3)) for name, a, b in day.faults
    ]
