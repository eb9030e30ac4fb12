"""The metrics of a run: goodput, latency, attempts and the goal. No rule depends on them."""

import math
from collections.abc import Iterable, Sequence

from flintridge.lab.judge.goodput import FRACTION_DIGITS, RequestOutcome, WeightedGoodput, request_outcomes
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome
from flintridge.lab.judge.windows import MS_DIGITS, min_window_goodput, percentiles, windows_of
from flintridge.lab.records import MalformedClientEnded
from flintridge.lab.result import Latency, Result

SECONDS_DIGITS = 3


def fill(result: Result, history: History) -> None:
    """Compute all metrics of a run and store them in `result`."""
    outcomes = list(request_outcomes(history).values())
    goodput = _fill_requests(result, outcomes)
    result.windows = windows_of(history, outcomes)
    result.min_window_goodput = round(min_window_goodput(history.scenario, result.windows), FRACTION_DIGITS)
    _fill_attempts(result, history, len(outcomes))
    result.malformed_unanswered = sum(
        isinstance(record, MalformedClientEnded) and record.outcome == "nothing" for record in history.records
    )
    result.faults = _faults_s(history)
    result.goal = round(_goal(history, result, outcomes, goodput.offered), FRACTION_DIGITS)


def _fill_requests(result: Result, outcomes: list[RequestOutcome]) -> WeightedGoodput:
    """Store the metrics of requests; return the goodput of all of them."""
    total = WeightedGoodput()
    by_class = WeightedGoodput()
    by_tenant = WeightedGoodput()
    for outcome in outcomes:
        total.add(outcome)
        by_class.group(outcome.request_class.name).add(outcome)
        if outcome.tenant:
            by_tenant.group(outcome.tenant).add(outcome)
    served = [outcome for outcome in outcomes if outcome.served_ms is not None]
    within_objective = [outcome for outcome in served if outcome.is_within_objective]
    result.requests = len(outcomes)
    result.served = len(served)
    result.served_within_objective = len(within_objective)
    result.rejected = sum(outcome.is_rejected for outcome in outcomes)
    result.failed = result.requests - result.served - result.rejected
    result.latency_ms = _latency([outcome.latency_ms or 0.0 for outcome in served])
    result.goodput = round(total.fraction, FRACTION_DIGITS)
    weight = sum(outcome.offered_weight for outcome in within_objective)
    result.goodput_within_objective = 1.0
    if total.offered:
        result.goodput_within_objective = round(weight / total.offered, FRACTION_DIGITS)
    result.goodput_by_class = by_class.fractions()
    result.goodput_by_tenant = by_tenant.fractions()
    attempts = sum(outcome.attempt_count for outcome in outcomes)
    result.client_attempts_per_request = _ratio(attempts, result.requests)
    return total


def _ratio(value: float, total: float) -> float:
    return round(value / total, FRACTION_DIGITS) if total else 0.0


def _latency(times_ms: Sequence[float]) -> Latency:
    if not times_ms:
        return Latency()
    p50, p90, p99, p999 = percentiles(times_ms, (50, 90, 99, 99.9))
    maximum = round(max(times_ms), MS_DIGITS)
    return Latency(p50=p50, p90=p90, p99=p99, p999=p999, max=maximum, count=len(times_ms))


def _fill_attempts(result: Result, history: History, request_count: int) -> None:
    counted = [outcome for outcome in history.outcomes.values() if _is_counted(history, outcome)]
    at_origin = sum(outcome.record.is_origin for outcome in counted)
    cross_zone = sum(_is_cross_zone(history, outcome) for outcome in counted)
    result.attempts_per_request = _ratio(len(counted), request_count)
    result.origin_per_request = _ratio(at_origin, request_count)
    result.hit_fraction = _hit_fraction(counted)
    result.wasted_fraction = _wasted_fraction(history, counted)
    result.cross_zone_fraction = _ratio(cross_zone, len(counted))


def _is_counted(history: History, outcome: AttemptOutcome) -> bool:
    attempt = history.client_attempts.get(outcome.record.request_id)
    return attempt is not None and bool(attempt.accepted) and attempt.accepted[0].request.counted


def _hit_fraction(counted: list[AttemptOutcome]) -> float:
    """Return the fraction of served reads at cache servers that found the value."""
    hits = 0
    misses = 0
    for outcome in counted:
        if outcome.served is None or outcome.record.is_origin or outcome.record.write:
            continue
        if outcome.served.outcome == "value":
            hits += 1
        elif outcome.served.outcome == "miss":
            misses += 1
    return _ratio(hits, hits + misses)


def _wasted_fraction(history: History, counted: list[AttemptOutcome]) -> float:
    """Return the fraction of the executed work whose response reached no client in time."""
    done_ms = 0.0
    used_ms = 0.0
    for outcome in counted:
        if not outcome.executed:
            continue
        done_ms += outcome.record.work_ms
        if _reached_client(history, outcome):
            used_ms += outcome.record.work_ms
    return _ratio(done_ms - used_ms, done_ms)


def _reached_client(history: History, outcome: AttemptOutcome) -> bool:
    """Whether a client received the attempt's value or receipt before it stopped waiting."""
    digest = "" if outcome.served is None else outcome.served.body_digest
    if not digest:
        return False
    return any(
        response.kind == "served" and response.body_digest == digest
        for accepted in history.client_attempts[outcome.record.request_id].accepted
        for response in accepted.responses
        if accepted.abandoned is None or response.at_ms <= accepted.abandoned.at_ms
    )


def _is_cross_zone(history: History, outcome: AttemptOutcome) -> bool:
    zone = history.server_zone(outcome.server, outcome.record.is_origin)
    return zone is not None and zone != history.node_zone(outcome.record.node)


def _goal(
    history: History, result: Result, outcomes: Iterable[RequestOutcome], offered_weight: float
) -> float:
    """Return the weighted mean of the goal's goodputs, less the scenario's prices."""
    goal = history.scenario.goal
    prices = history.scenario.prices
    min_class = min(result.goodput_by_class.values(), default=result.goodput)
    min_tenant = min(result.goodput_by_tenant.values(), default=result.goodput)
    terms = [
        (goal.whole, result.goodput),
        (goal.worst_window, result.min_window_goodput),
        (goal.worst_class, min_class),
        (goal.worst_tenant, min_tenant),
    ]
    weights = sum(weight for weight, _ in terms)
    mix = sum(weight * value for weight, value in terms) / weights if weights else result.goodput
    mix -= prices.cross_zone * result.cross_zone_fraction * result.attempts_per_request
    mix -= prices.waste * result.wasted_fraction
    failed_late = sum(outcome.offered_weight for outcome in outcomes if outcome.is_failed_late)
    return mix - prices.late_fail * (failed_late / offered_weight if offered_weight else 0.0)


def _faults_s(history: History) -> list[tuple[str, float, float]]:
    """Return name, start and end (seconds) of each fault; one without an end lasts until the run ends."""
    last_s = max(history.scenario.length_s, history.end_ms / 1000)
    faults: list[tuple[str, float, float]] = []
    for span in history.faults:
        end_s = last_s if span.end_ms == math.inf else span.end_ms / 1000
        faults.append((span.name, round(span.start_ms / 1000, SECONDS_DIGITS), round(end_s, SECONDS_DIGITS)))
    return faults
