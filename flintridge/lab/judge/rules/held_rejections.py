"""The rule `held`: no rejection or failure comes so late that it is of no use to the client."""

import math
from bisect import bisect_right
from itertools import accumulate
from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome
from flintridge.lab.judge.rules.request_case import RequestCase
from flintridge.lab.records import ResponseReceived

MIN_SERVED_ATTEMPTS = 3  # a node must have seen this many before it can know the minimum service time
# Fraction of the minimum service time: with less time left than this, a correct node no longer waits.
USEFUL_FRACTION = 0.5
# A node may assume that an attempt takes up to this fraction of the client's time, even if it took longer
# before. It has to assume this much if it never saw one.
ASSUMED_FRACTION = 0.5


class _ServiceKey(NamedTuple):
    """The key by which a node groups service times."""

    node: str
    process_started_ms: float
    class_name: str
    is_origin: bool


class _ServiceTime(NamedTuple):
    served_ms: float
    duration_ms: float


class _Minimums(NamedTuple):
    """When attempts were served, and the minimum service time up to each of them."""

    served_ms: list[float]
    minimum_ms: list[float]


class MinimumServiceTimes:
    """The minimum service time of attempts, as a node could know it.

    It is kept by process, request class, and whether the server is the origin. At any time, only attempts
    count that were served by then.
    """

    def __init__(self, history: History) -> None:
        self._processes = history.processes
        times: dict[_ServiceKey, list[_ServiceTime]] = {}
        for outcome in history.outcomes.values():
            served = outcome.served
            record = outcome.record
            if served is None or served.lost or not served.body_digest:
                continue
            attempt = history.client_attempts.get(record.request_id)
            if attempt is None or not attempt.accepted:
                continue
            class_name = attempt.accepted[0].request.class_name
            key = self._key(record.node, record.started_ms, class_name, record.is_origin)
            duration_ms = served.at_ms - record.started_ms
            times.setdefault(key, []).append(_ServiceTime(served.at_ms, duration_ms))
        self._minimums: dict[_ServiceKey, _Minimums] = {}
        for key, entries in times.items():
            entries.sort()
            minimum_ms = list(accumulate((entry.duration_ms for entry in entries), min))
            self._minimums[key] = _Minimums([entry.served_ms for entry in entries], minimum_ms)

    def is_unknown(self, node: str, at_ms: float, class_name: str, is_origin: bool) -> bool:
        """Return whether the node's process had seen no served attempt by `at_ms`."""
        minimums = self._minimums.get(self._key(node, at_ms, class_name, is_origin))
        return minimums is None or minimums.served_ms[0] > at_ms

    def at(self, node: str, at_ms: float, class_name: str, is_origin: bool) -> float | None:
        """Return the minimum service time that the node's process had seen by `at_ms`.

        None if it had seen fewer than MIN_SERVED_ATTEMPTS.
        """
        minimums = self._minimums.get(self._key(node, at_ms, class_name, is_origin))
        if minimums is None:
            return None
        count = bisect_right(minimums.served_ms, at_ms)
        return minimums.minimum_ms[count - 1] if count >= MIN_SERVED_ATTEMPTS else None

    def _key(self, node: str, at_ms: float, class_name: str, is_origin: bool) -> _ServiceKey:
        return _ServiceKey(node, self._processes.at(node, at_ms).started_ms, class_name, is_origin)


def check_held(history: History, case: RequestCase, times: MinimumServiceTimes, findings: Findings) -> None:
    """Add a violation if a request's rejection or failure came too late.

    That is the case if nothing was in flight and less time was left than any response of its kind has taken:
    a correct node stops waiting for a permit while a response could still come in time. A node that has seen
    no response of its kind has to assume that one takes half of the client's time.
    """
    request = case.request
    final = case.accepted.final_response
    if final is None or final.kind not in ("refused", "failed") or case.accepted.unblocked_ms > request.at_ms:
        return
    if history.is_excused(case.accepted, final.at_ms) or history.links_disturbed(request.at_ms, final.at_ms):
        return
    outcomes = [o for o in case.node_outcomes if request.at_ms <= o.record.started_ms <= final.at_ms]
    if not outcomes and _is_unknown(case, final.at_ms, times):
        _check_unknown(history, case, final, findings)
    else:
        _check_idle(history, case, final, outcomes, times, findings)


def _check_unknown(history: History, case: RequestCase, final: ResponseReceived, findings: Findings) -> None:
    """Check that a request whose kind was never served was rejected with half of its time left."""
    request = case.request
    tolerances = history.tolerances
    waited_ms = final.at_ms - request.at_ms
    # With so little time, an attempt may have ended before its connection was open, which leaves no record.
    if request.time_left_ms < tolerances.server_round_trip_ms:
        return
    if waited_ms > ASSUMED_FRACTION * request.time_left_ms + tolerances.client_round_trip_ms:
        text = (
            f"{request.node} {final.kind} {request.request_id}, without any attempt, after {waited_ms:.1f} "
            f"ms of its {request.time_left_ms:.0f} ms, before it served any request of this class"
        )
        case.report(findings, "held", final.at_ms, text)


def _check_idle(
    history: History,
    case: RequestCase,
    final: ResponseReceived,
    outcomes: list[AttemptOutcome],
    times: MinimumServiceTimes,
    findings: Findings,
) -> None:
    """Check that a request with nothing in flight was rejected before a response would be too late."""
    request = case.request
    since_ms = _idle_since_ms(outcomes, final.at_ms) if outcomes else request.at_ms
    if since_ms is None:
        return
    minimum_ms = _minimum_ms(case, since_ms, times)
    if minimum_ms is None:
        return
    idle_ms = final.at_ms - since_ms
    margin_ms = max(0.0, case.response_margin_ms - history.tolerances.client_round_trip_ms)
    assumed_ms = min(minimum_ms, ASSUMED_FRACTION * request.time_left_ms)
    useful_ms = USEFUL_FRACTION * (assumed_ms + margin_ms)
    remaining_ms = request.time_left_ms - (final.at_ms - request.at_ms)
    if idle_ms > minimum_ms + history.tolerances.server_round_trip_ms and remaining_ms < useful_ms:
        text = (
            f"{request.node} {final.kind} {request.request_id} with {remaining_ms:.1f} ms left and nothing "
            f"in flight for {idle_ms:.1f} ms, though every response took at least {minimum_ms:.1f} ms"
        )
        case.report(findings, "held", final.at_ms, text)


def _is_unknown(case: RequestCase, at_ms: float, times: MinimumServiceTimes) -> bool:
    """Return whether the node had seen no response that tells how long an attempt may take."""
    request = case.request
    kinds = (True,) if request.write else (True, False)
    return all(times.is_unknown(request.node, at_ms, request.class_name, is_origin) for is_origin in kinds)


def _idle_since_ms(outcomes: list[AttemptOutcome], at_ms: float) -> float | None:
    """Return since when nothing was in flight for a request; None if something was or may have been."""
    last_ms = -math.inf
    for outcome in outcomes:
        finished_ms = outcome.finished_ms
        if finished_ms is None or finished_ms > at_ms:
            return None
        last_ms = max(last_ms, finished_ms)
    return last_ms


def _minimum_ms(case: RequestCase, since_ms: float, times: MinimumServiceTimes) -> float | None:
    """Return the minimum time of a further attempt, as the node knew it; None if it did not know.

    What counts is what the node knew when it started to wait, because a correct node may estimate then how
    long waiting is useful. A read that missed may go to the origin, or to a cache server that has stored the
    key since.
    """
    request = case.request
    at_origin_ms = times.at(request.node, since_ms, request.class_name, is_origin=True)
    if request.write:
        return at_origin_ms
    at_cache_ms = times.at(request.node, since_ms, request.class_name, is_origin=False)
    if at_origin_ms is None or at_cache_ms is None:
        return None
    return min(at_origin_ms, at_cache_ms)
