"""Rules on bytes: what is served was made for the request, and what is forwarded is what the client sent.

`invented`: no server had made a value that a client got. `mixed`: it was made for another request.
`altered`: a request was forwarded as another one. `malformed`: what a server got is no command.
"""

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import AcceptedRequest, AttemptOutcome, ClientAttempt
from flintridge.lab.judge.rules.request_case import RequestCase, request_cases
from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import (
    AttemptReceived,
    AttemptServed,
    MalformedMessage,
    RequestSent,
    ResponseReceived,
)

RULES = ("invented", "mixed", "altered", "malformed")

STALL_FAULT = "stall"  # nodes are held up between reading the clock and a write
MAX_EXTRA_TIME_MS = 150.0  # that a server may be given beyond what the client has left, whatever explains it
MIN_TIMEOUT_MS = 1.0  # that a server is given


def check(history: History, findings: Findings) -> None:
    """Add what bytes violate."""
    for case in request_cases(history):
        for response in case.accepted.responses:
            _check_served(history, case, response, findings)
    for attempt in history.client_attempts.values():
        for outcome in attempt.outcomes:
            _check_forwarded(history, attempt, outcome, findings)
    for record in history.records:
        if isinstance(record, MalformedMessage):
            text = f"{record.node} sent {record.server} what no client sent: {record.text}"
            findings.add("malformed", record.at_ms, text, [record], node=record.node, server=record.server)


def _check_served(
    history: History, case: RequestCase, response: ResponseReceived, findings: Findings
) -> None:
    """`invented`, `mixed`: a server made the value or receipt for this very request, and sent it before."""
    digest = response.body_digest
    if response.kind != "served" or not digest:
        return
    outcomes = case.attempt.outcomes
    if any(_was_made(outcome.served, digest, response.at_ms) for outcome in outcomes):
        return
    request_id = case.attempt.request_id
    first_served = history.served_by_digest.get(digest)
    rule = "invented"
    if first_served is None:
        origin = "no server made"
    elif first_served.request_id != request_id:
        rule = "mixed"
        origin = f"was made for {first_served.request_id}"
    else:
        origin = "no server had made by then"
    text = f"{case.request.node} served {request_id} a value that {origin} (token {digest})"
    case.report(findings, rule, response.at_ms, text, proof=[*case.proof(), first_served])


def _was_made(served: AttemptServed | None, digest: str, at_ms: float) -> bool:
    if served is None or served.lost or served.body_digest != digest:
        return False
    return served.at_ms <= at_ms + ROUNDING_MS


def _check_forwarded(
    history: History, attempt: ClientAttempt, outcome: AttemptOutcome, findings: Findings
) -> None:
    """`altered`: a node forwards a request as it came."""
    record = outcome.record
    accepted = _accepted_before(attempt, record)
    if accepted is None:
        return  # sent by no client: the servers' own check reports that
    request = accepted.request
    differences = _differences(request, record)
    extra_ms = _extra_time_ms(history, accepted, record)
    if extra_ms is not None:
        differences.append(f"{extra_ms:.1f} ms more to wait than the client had left")
    if differences:
        what = f"{record.node} passed {attempt.request_id} on to {record.server}"
        findings.add(
            "altered",
            record.at_ms,
            f"{what} with {', '.join(differences)}",
            [request, record],
            request_id=attempt.request_id,
            node=record.node,
            server=record.server,
        )


def _accepted_before(attempt: ClientAttempt, record: AttemptReceived) -> AcceptedRequest | None:
    """The last time that the attempt's node had accepted the request by then."""
    for accepted in reversed(attempt.accepted):
        if accepted.request.node == record.node and accepted.request.at_ms <= record.at_ms:
            return accepted
    return None


def _differences(request: RequestSent, record: AttemptReceived) -> list[str]:
    differences: list[str] = []
    if record.key != request.key:
        differences.append(f"key {record.key!r} for {request.key!r}")
    if record.write != request.write:
        differences.append("a write" if record.write else "a read")
    if request.write and record.value_digest != request.value_digest:
        differences.append(f"value {record.value_digest} for {request.value_digest}")
    if record.idempotency_key != request.idempotency_key:
        differences.append(f"idempotency key {record.idempotency_key!r} for {request.idempotency_key!r}")
    return differences


def _extra_time_ms(history: History, accepted: AcceptedRequest, record: AttemptReceived) -> float | None:
    """How much longer a server was told to work than its client would wait; None where that is explained.

    A node counts from when it read the request: later than the sending by the bytes' passage, or by the
    commands that it read first on the same connection; and it may be held up before it writes, in a run that
    plays that. This explains no more than MAX_EXTRA_TIME_MS. Only a request that came while its process stood
    still may have been read later without its knowing.
    """
    request = accepted.request
    remaining_ms = request.at_ms + request.time_left_ms - record.started_ms
    extra_ms = record.time_left_ms - max(MIN_TIMEOUT_MS, remaining_ms)
    process = history.processes.at(request.node, request.at_ms)
    if process.was_paused(request.at_ms, request.at_ms + history.tolerances.client_ms):
        return None
    limit_ms = MAX_EXTRA_TIME_MS + history.tolerances.limit_ms
    is_explained = (
        accepted.previous is not None
        or process.was_paused(request.at_ms, record.started_ms)
        or history.had_fault(STALL_FAULT, request.at_ms, record.started_ms)
    )
    if not is_explained:
        limit_ms = min(limit_ms, history.tolerances.client_round_ms)
    return extra_ms if extra_ms > limit_ms else None
