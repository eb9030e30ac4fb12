"""Rules on contents: a client gets the response to its own request, and a server gets what the client sent.

`invented`: a client got a value that no server had sent. `mixed`: the value was for another request.
`altered`: a node forwarded a request with other contents. `malformed`: a server received something that is
no command of a client.
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

STALL_FAULT = "stall"  # the fault that delays nodes between reading the clock and a write
# The most that a server's time may exceed the client's remaining time, whatever explains the difference.
MAX_EXTRA_TIME_MS = 150.0
MIN_TIMEOUT_MS = 1.0  # the shortest time that a node sends to a server


def check(history: History, findings: Findings) -> None:
    """Add all violations of the rules on contents."""
    for case in request_cases(history):
        for response in case.accepted.responses:
            _check_served(history, case, response, findings)
    for attempt in history.client_attempts.values():
        for outcome in attempt.outcomes:
            _check_forwarded(history, attempt, outcome, findings)
    for record in history.records:
        if isinstance(record, MalformedMessage):
            text = f"{record.node} sent {record.server} data that no client sent: {record.text}"
            findings.add("malformed", record.at_ms, text, [record], node=record.node, server=record.server)


def _check_served(
    history: History, case: RequestCase, response: ResponseReceived, findings: Findings
) -> None:
    """`invented`, `mixed`: a server had sent this value or receipt before, and for this request."""
    digest = response.body_digest
    if response.kind != "served" or not digest:
        return
    outcomes = case.attempt.outcomes
    if any(_was_sent(outcome.served, digest, response.at_ms) for outcome in outcomes):
        return
    request_id = case.attempt.request_id
    first_served = history.served_by_digest.get(digest)
    rule = "invented"
    if first_served is None:
        origin = "no server sent"
    elif first_served.request_id != request_id:
        rule = "mixed"
        origin = f"was sent for {first_served.request_id}"
    else:
        origin = "no server had sent by then"
    text = f"{case.request.node} served {request_id} with a value that {origin} (digest {digest})"
    case.report(findings, rule, response.at_ms, text, proof=[*case.proof(), first_served])


def _was_sent(served: AttemptServed | None, digest: str, at_ms: float) -> bool:
    if served is None or served.lost or served.body_digest != digest:
        return False
    return served.at_ms <= at_ms + ROUNDING_MS


def _check_forwarded(
    history: History, attempt: ClientAttempt, outcome: AttemptOutcome, findings: Findings
) -> None:
    """`altered`: a node forwards a request unchanged."""
    record = outcome.record
    accepted = _accepted_before(attempt, record)
    if accepted is None:
        return  # no client sent it: the servers report that as `malformed`
    request = accepted.request
    differences = _differences(request, record)
    extra_ms = _extra_time_ms(history, accepted, record)
    if extra_ms is not None:
        differences.append(f"{extra_ms:.1f} ms more time than the client had left")
    if differences:
        what = f"{record.node} forwarded {attempt.request_id} to {record.server}"
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
    """Return the last request that the attempt's node accepted before the attempt arrived; None if none."""
    for accepted in reversed(attempt.accepted):
        if accepted.request.node == record.node and accepted.request.at_ms <= record.at_ms:
            return accepted
    return None


def _differences(request: RequestSent, record: AttemptReceived) -> list[str]:
    differences: list[str] = []
    if record.key != request.key:
        differences.append(f"key {record.key!r} instead of {request.key!r}")
    if record.write != request.write:
        differences.append("as a write" if record.write else "as a read")
    if request.write and record.value_digest != request.value_digest:
        differences.append(f"value {record.value_digest} instead of {request.value_digest}")
    if record.idempotency_key != request.idempotency_key:
        differences.append(
            f"idempotency key {record.idempotency_key!r} instead of {request.idempotency_key!r}"
        )
    return differences


def _extra_time_ms(history: History, accepted: AcceptedRequest, record: AttemptReceived) -> float | None:
    """Return by how much a server's time exceeds the client's remaining time; None if explained.

    A node counts a request's time from when it read the request. That is later than the sending, by the
    delay of the link or by the commands that the node read before it on the same connection. The `stall`
    fault may also delay the node before it writes. All this explains no more than MAX_EXTRA_TIME_MS. Only a
    request that arrived while the process was paused may have been read any amount of time later without the
    node noticing.
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
        limit_ms = min(limit_ms, history.tolerances.client_round_trip_ms)
    return extra_ms if extra_ms > limit_ms else None
