"""Rules on responses to clients: each request gets exactly one final response, in time.

`lost`: a request that a node accepted got no response. `late`: the response came after the client's time.
`double`: there was more than one final response. `garbled`: the response can't be parsed or does not belong
to the request. `held`: see `held_rejections`.
"""

from typing import NamedTuple

from flintridge.lab.judge.findings import Findings
from flintridge.lab.judge.history import History
from flintridge.lab.judge.observations import FINAL_KINDS
from flintridge.lab.judge.rules.held_rejections import MinimumServiceTimes, check_held
from flintridge.lab.judge.rules.request_case import RequestCase, request_cases
from flintridge.lab.judge.tolerances import ROUNDING_MS
from flintridge.lab.records import ResponseReceived

RULES = ("lost", "late", "double", "garbled", "held")

TIMER_TOLERANCE_MS = 1.0  # tolerance of the timer of a client that leaves at the end of its time


class _Loss(NamedTuple):
    """When and how a request was lost."""

    at_ms: float
    description: str


def check(history: History, findings: Findings) -> None:
    """Add all violations of the rules on responses."""
    times = MinimumServiceTimes(history)
    for case in request_cases(history):
        _check_garbled(history, case, findings)
        final = case.accepted.final_response
        if final is not None:
            _check_double(case, final, findings)
            _check_late(history, case, final, findings)
        else:
            _check_lost(history, case, findings)
        check_held(history, case, times, findings)


def _limit_ms(history: History, case: RequestCase) -> float:
    """Return by when the response must have arrived.

    The time that the request waited for the previous request on its connection does not count.
    """
    request = case.request
    due_ms = max(request.at_ms + request.time_left_ms, case.accepted.unblocked_ms)
    return due_ms + history.scenario.rules.answer_slack_ms


def _check_garbled(history: History, case: RequestCase, findings: Findings) -> None:
    """`garbled`: every response can be parsed and belongs to its request."""
    request = case.request
    for response in case.accepted.responses:
        if response.kind == "garbled" and not history.is_excused(case.accepted, response.at_ms):
            what = f"{request.node} responded to {request.request_id}"
            text = f"{what} with bytes that are no response to it: {response.text!r}"
            case.report(findings, "garbled", response.at_ms, text)


def _check_double(case: RequestCase, final: ResponseReceived, findings: Findings) -> None:
    """`double`: a request gets only one final response."""
    kinds = (*FINAL_KINDS, "garbled")
    extra = [r for r in case.accepted.responses if r is not final and r.kind in kinds]
    if extra:
        text = f"{case.request.node} gave {case.request.request_id} {1 + len(extra)} final responses"
        case.report(findings, "double", extra[0].at_ms, text)


def _check_late(history: History, case: RequestCase, final: ResponseReceived, findings: Findings) -> None:
    """`late`: the final response comes within the client's time."""
    if final.at_ms <= _limit_ms(history, case) + ROUNDING_MS:
        return
    if history.is_excused(case.accepted, final.at_ms):
        return
    request = case.request
    late_ms = final.at_ms - request.at_ms - request.time_left_ms
    what = f"{request.node} responded to {request.request_id}"
    text = f"{what} {late_ms:.1f} ms after its client's {request.time_left_ms:.0f} ms"
    case.report(findings, "late", final.at_ms, text)


def _check_lost(history: History, case: RequestCase, findings: Findings) -> None:
    """`lost`: a request that a node accepted gets a final response."""
    loss = _loss(history, case, _limit_ms(history, case))
    if loss is not None:
        request = case.request
        text = f"{request.node} took {request.request_id} at {request.at_ms:.1f} ms and {loss.description}"
        case.report(findings, "lost", loss.at_ms, text)


def _loss(history: History, case: RequestCase, limit_ms: float) -> _Loss | None:
    """Return how a request without a final response was lost; None if that was not the node's fault."""
    accepted = case.accepted
    first = accepted.first_response
    if first is not None:
        return _loss_by_end(history, case, first)
    if accepted.abandoned is not None:
        return _loss_by_silence(history, case, limit_ms)
    if accepted.resent_ms is not None:
        if _may_have_crossed(history, case, accepted.resent_ms):
            return None
        if history.is_excused(accepted, accepted.resent_ms):
            return None
        return _Loss(accepted.resent_ms, "closed its connection after reading it")
    ended_ms = min(limit_ms, history.end_ms)
    if history.end_ms < limit_ms or history.is_excused(accepted, limit_ms):
        return None
    if _client_had_closed(history, case, ended_ms):
        return None
    return _Loss(limit_ms, "never responded")


def _loss_by_end(history: History, case: RequestCase, first: ResponseReceived) -> _Loss | None:
    """Return the loss of a request whose connection ended; None if that was not the node's fault."""
    if first.kind not in ("closed", "reset"):
        return None  # the rule `garbled` covers this
    end_ms = first.at_ms
    if history.is_excused(case.accepted, end_ms) and not _closed_under_attempt(history, case, end_ms):
        return None
    if _client_had_closed(history, case, end_ms) or _may_have_crossed(history, case, end_ms):
        return None
    later_ms = end_ms - case.request.at_ms
    return _Loss(end_ms, f"ended its connection ({first.kind}) {later_ms:.1f} ms later")


def _client_had_closed(history: History, case: RequestCase, until_ms: float) -> bool:
    """Whether the client had closed the connection itself by then, for any request on it."""
    closed_ms = history.client_closed_ms.get(case.request.connection)
    return closed_ms is not None and closed_ms <= until_ms + ROUNDING_MS


def _closed_under_attempt(history: History, case: RequestCase, at_ms: float) -> bool:
    """Whether the node itself closed the connection after SIGTERM, having forwarded the request.

    A request that arrives too long after SIGTERM need not be accepted. If it is accepted all the same, it
    must get a response, unless the process is killed first.
    """
    sent_ms = case.request.at_ms
    process = history.processes.at(case.request.node, sent_ms)
    if process.termination is None or process.was_paused(sent_ms, at_ms):
        return False
    end = process.end
    if end is not None and end.state != "exited" and end.at_ms <= at_ms + history.tolerances.limit_ms:
        return False
    return case.was_forwarded_by(at_ms)


def _may_have_crossed(history: History, case: RequestCase, at_ms: float) -> bool:
    """Whether the node may have closed the connection between requests, before it read this one.

    A node that closes the connection after reading the request is not excused: then it has forwarded the
    request, or the end arrives later than a close that was already under way when the request was sent.
    """
    if case.accepted.resent_ms is None or case.was_forwarded_by(at_ms):
        return False
    return at_ms - case.request.at_ms <= history.tolerances.client_round_trip_ms


def _loss_by_silence(history: History, case: RequestCase, limit_ms: float) -> _Loss | None:
    """Return the loss of a request whose client waited its whole time; None if not the node's fault."""
    request = case.request
    abandoned = case.accepted.abandoned
    assert abandoned is not None
    waited_ms = abandoned.at_ms - request.at_ms
    if abandoned.left_early or waited_ms < request.time_left_ms - TIMER_TOLERANCE_MS:
        return None
    closed_ms = abandoned.at_ms + abandoned.lingers_ms
    if history.is_excused(case.accepted, closed_ms):
        return None
    connection = request.connection
    if history.client_closed_ms.get(connection, abandoned.at_ms) < abandoned.at_ms - ROUNDING_MS:
        return None
    if case.accepted.unblocked_ms > request.at_ms + request.time_left_ms - case.response_margin_ms:
        return None  # its response had to wait for that of the previous request on the connection
    closed_ms = min(closed_ms, history.client_closed_ms.get(connection, closed_ms), history.end_ms)
    if closed_ms < limit_ms - TIMER_TOLERANCE_MS and not _is_surely_unresponsive(history, case, closed_ms):
        return None
    description = (
        f"never responded: the client left after {waited_ms:.1f} ms of {request.time_left_ms:.0f} ms"
    )
    return _Loss(closed_ms, description)


def _is_surely_unresponsive(history: History, case: RequestCase, closed_ms: float) -> bool:
    """Whether no response can have been on its way to a client that left within the rule's tolerance.

    A correct node responds a little before the client's time is over. The delay of the link, or in real time
    the lateness of the machine, may be longer than that margin. Then a node counts as unresponsive only if it
    had received a serving response long before, or made no attempt at all.
    """
    tolerances = history.tolerances
    margin_ms = case.response_margin_ms
    if not history.is_real_time and 2 * tolerances.client_ms - 2 < margin_ms / 2:
        return True
    early_ms = closed_ms - margin_ms - tolerances.client_round_trip_ms - tolerances.server_round_trip_ms
    outcomes = case.node_outcomes
    if not outcomes:  # a request without attempts must get a response within half of its time
        return case.request.time_left_ms / 2 > margin_ms + tolerances.client_round_trip_ms
    for outcome in outcomes:
        served = outcome.served
        if served is not None and outcome.response_digest and served.at_ms < early_ms:
            return True
    return False
