"""Rules on attempts of nodes at servers.

`twice`: a request is executed twice only if that is harmless, and it has two attempts in flight only if
hedged requests are allowed. `attempts`: a node makes no more attempts for a request than allowed.
`after_answer`: a node makes no attempt for a request that it has already responded to.
"""

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AttemptOutcome, ClientAttempt
from flintridge.lab.judge.rules.request_case import RequestCase, records_of
from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import AnyRecord
from flintridge.lab.scenario.model import RequestClass

RULES = ("twice", "attempts", "after_answer")

FORWARDING_TOLERANCE_MS = 1.0  # a node's last attempt may start this long after the response


def check(history: History, findings: Findings) -> None:
    """Add all violations of the rules on attempts."""
    for attempt in history.client_attempts.values():
        if not attempt.accepted or not attempt.outcomes:
            continue
        request_class = history.request_class(attempt.accepted[0].request.class_name)
        for node in dict.fromkeys(outcome.record.node for outcome in attempt.outcomes):
            outcomes = [outcome for outcome in attempt.outcomes if outcome.record.node == node]
            outcomes.sort(key=lambda outcome: outcome.record.started_ms)
            _check_count(history, attempt, outcomes, findings)
            for i in range(1, len(outcomes)):
                _check_repeat(history, attempt, request_class, outcomes[:i], outcomes[i], findings)
        for accepted in attempt.accepted:
            case = RequestCase(attempt, accepted)
            _check_rejection(case, request_class, findings)
            _check_after_response(history, case, findings)


def _check_repeat(
    history: History,
    attempt: ClientAttempt,
    request_class: RequestClass,
    earlier: list[AttemptOutcome],
    outcome: AttemptOutcome,
    findings: Findings,
) -> None:
    """`twice`: a repeat is harmless, and overlaps no earlier attempt unless hedging is allowed."""
    record = outcome.record
    reason = None
    if request_class.effect != "safe":
        reason = _double_execution_reason(history, request_class, earlier, outcome)
    if reason is None and not history.scenario.limits.hedged_requests:
        reason = _overlap_reason(history, earlier, outcome)
    if reason is None:
        return
    what = f"{record.node} sent {record.request_id} ({request_class.name}, {request_class.effect})"
    findings.add(
        "twice",
        record.started_ms,
        f"{what} to {record.server} again {reason}",
        _proof(attempt, [*earlier, outcome]),
        request_id=record.request_id,
        node=record.node,
        server=record.server,
    )


def _double_execution_reason(
    history: History, request_class: RequestClass, earlier: list[AttemptOutcome], outcome: AttemptOutcome
) -> str | None:
    """Return why the request may be executed a second time; None if it can't be."""
    started_ms = outcome.record.started_ms
    maybe_executed = [o for o in earlier if not o.is_not_executed_by(started_ms)]
    if not maybe_executed:
        return None
    first = maybe_executed[0].record
    after_ms = started_ms - first.started_ms
    if request_class.effect == "unsafe":
        return f"{after_ms:.1f} ms after an attempt at {first.server} that may have been executed"
    window_ms = request_class.deduplication_window_ms
    if after_ms > window_ms + history.tolerances.limit_ms + ROUNDING_MS:
        what = f"{after_ms:.1f} ms after the first attempt that may have been executed"
        return f"{what}, beyond the deduplication window of {window_ms:.0f} ms"
    if request_class.deduplication_scope == "all" or _deduplicate_together(
        history, request_class.deduplication_scope, maybe_executed[0], outcome
    ):
        return None
    return f"outside the {request_class.deduplication_scope} of {first.server}, which may have executed it"


def _deduplicate_together(
    history: History, scope: str, first: AttemptOutcome, second: AttemptOutcome
) -> bool:
    """Whether two attempts went to servers that share the deduplication of repeats."""
    if first.server == second.server:
        return True
    if scope == "zone":
        first_zone = history.server_zone(first.server, first.record.is_origin)
        return first_zone == history.server_zone(second.server, second.record.is_origin)
    return _cell(history, first.server) == _cell(history, second.server)


def _cell(history: History, server: str) -> int:
    starts = history.server_starts.get(server)
    return starts[-1].cell if starts else -1


def _overlap_reason(history: History, earlier: list[AttemptOutcome], outcome: AttemptOutcome) -> str | None:
    """Return which earlier attempt was still in flight on an open connection; None if none was.

    Only an attempt counts whose end was seen, and later than the delay of the links explains: an attempt on a
    broken connection has no recorded end.
    """
    started_ms = outcome.record.started_ms
    if history.links_disturbed(earlier[0].record.started_ms, started_ms):
        return None
    latest_ms = started_ms + history.tolerances.server_round_trip_ms
    for other in earlier:
        finished_ms = other.finished_ms
        if finished_ms is not None and finished_ms > latest_ms:
            return f"while its attempt at {other.server} was still in flight"
    return None


def _check_rejection(case: RequestCase, request_class: RequestClass, findings: Findings) -> None:
    """`twice`: a rejection tells the client that a retry is harmless, so no server may have executed it."""
    if request_class.effect == "safe":
        return
    if request_class.effect == "keyed" and request_class.deduplication_scope == "all":
        return
    final = case.accepted.final_response
    if final is None or final.kind != "refused":
        return
    for outcome in case.node_outcomes:
        if outcome.record.started_ms <= final.at_ms and not outcome.is_not_executed_by(final.at_ms):
            what = f"{case.request.request_id} ({request_class.name}, {request_class.effect})"
            text = f"{case.request.node} rejected {what}, which {outcome.server} may have executed"
            case.report(findings, "twice", final.at_ms, text, server=outcome.server)
            return


def _check_count(
    history: History, attempt: ClientAttempt, outcomes: list[AttemptOutcome], findings: Findings
) -> None:
    """`attempts`: a node makes no more attempts for a request than allowed."""
    limit = history.scenario.limits.max_attempts
    if len(outcomes) <= limit:
        return
    record = outcomes[limit].record
    text = f"{record.node} made {len(outcomes)} attempts for {attempt.request_id}, {limit} are allowed"
    findings.add(
        "attempts",
        record.at_ms,
        text,
        _proof(attempt, outcomes),
        request_id=attempt.request_id,
        node=record.node,
    )


def _check_after_response(history: History, case: RequestCase, findings: Findings) -> None:
    """`after_answer`: a node starts no attempt for a request after its final response.

    An attempt on a new connection may have been decided before the response, so it may be late by the time
    that connecting may take.
    """
    final = case.accepted.final_response
    if final is None:
        return
    for outcome in case.node_outcomes:
        record = outcome.record
        tolerance_ms = FORWARDING_TOLERANCE_MS + history.tolerances.limit_ms
        if history.first_attempt_on.get(record.connection) == record.attempt_id:
            connect_ms = history.scenario.limits.connect_timeout_ms
            tolerance_ms += connect_ms + history.tolerances.server_round_trip_ms
        if record.started_ms > final.at_ms + tolerance_ms:
            late_ms = record.started_ms - final.at_ms
            text = (
                f"{record.node} sent {case.request.request_id} to {record.server} {late_ms:.1f} ms after "
                f"the final response to its client"
            )
            case.report(findings, "after_answer", record.started_ms, text, server=record.server)
            return


def _proof(attempt: ClientAttempt, outcomes: list[AttemptOutcome]) -> list[AnyRecord | None]:
    records: list[AnyRecord | None] = [accepted.request for accepted in attempt.accepted]
    return records + records_of(outcomes)
