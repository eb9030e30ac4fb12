"""Rules on responses to clients: exactly one final one for each request, in time, and none held back.

`lost`: a request that a node accepted got no response. `late`: it came after the client's time. `double`:
there was more than one. `garbled`: it can't be read. `held`: see `held_rejections`.
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

TIMER_MS = 1.0  # of a client that leaves at its time


class _Loss(NamedTuple):
    """When and how a request was lost."""

    at_ms: float
    description: str


def check(history: History, findings: Findings) -> None:
    """Add what responses violate."""
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
    """By when a response must have come; time behind others on its connection does not count."""
    request = case.request
    due_ms = max(request.at_ms + request.time_left_ms, case.accepted.unblocked_ms)
    return due_ms + history.scenario.rules.answer_slack_ms


def _check_garbled(history: History, case: RequestCase, findings: Findings) -> None:
    """`garbled`: what came can't be a response to the request."""
    request = case.request
    for response in case.accepted.responses:
        if response.kind == "garbled" and not history.is_excused(case.accepted, response.at_ms):
            what = f"{request.node} answered {request.request_id}"
            text = f"{what} with bytes that are no answer to it: {response.text!r}"
            case.report(findings, "garbled", response.at_ms, text)


def _check_double(case: RequestCase, final: ResponseReceived, findings: Findings) -> None:
    """`double`: a request has one final response."""
    kinds = (*FINAL_KINDS, "garbled")
    extra = [r for r in case.accepted.responses if r is not final and r.kind in kinds]
    if extra:
        text = f"{case.request.node} gave {case.request.request_id} {1 + len(extra)} final answers"
        case.report(findings, "double", extra[0].at_ms, text)


def _check_late(history: History, case: RequestCase, final: ResponseReceived, findings: Findings) -> None:
    """`late`: the final response comes within the client's time."""
    if final.at_ms <= _limit_ms(history, case) + ROUNDING_MS:
        return
    if history.is_excused(case.accepted, final.at_ms):
        return
    request = case.request
    late_ms = final.at_ms - request.at_ms - request.time_left_ms
    what = f"{request.node} answered {request.request_id}"
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
    """How a request without a final response was lost; None where it was not the node's fault."""
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
        return _Loss(accepted.resent_ms, "ended its connection after it had read it")
    over_ms = min(limit_ms, history.end_ms)
    if history.end_ms < limit_ms or history.is_excused(accepted, limit_ms):
        return None
    if _client_had_closed(history, case, over_ms):
        return None
    return _Loss(limit_ms, "never answered")


def _loss_by_end(history: History, case: RequestCase, first: ResponseReceived) -> _Loss | None:
    """Of a request whose connection ended."""
    if first.kind not in ("closed", "reset"):
        return None  # what was garbled has a rule of its own
    end_ms = first.at_ms
    if history.is_excused(case.accepted, end_ms) and not _closed_under_attempt(history, case, end_ms):
        return None
    if _client_had_closed(history, case, end_ms) or _may_have_crossed(history, case, end_ms):
        return None
    later_ms = end_ms - case.request.at_ms
    return _Loss(end_ms, f"ended its connection ({first.kind}) {later_ms:.1f} ms later")


def _client_had_closed(history: History, case: RequestCase, until_ms: float) -> bool:
    """Whether its client had closed the connection itself, over another request on it."""
    closed_ms = history.client_closed_ms.get(case.request.connection)
    return closed_ms is not None and closed_ms <= until_ms + ROUNDING_MS


def _closed_under_attempt(history: History, case: RequestCase, at_ms: float) -> bool:
    """Whether the node itself ended a connection after SIGTERM on a request that it had forwarded.

    What comes too long after SIGTERM need not be accepted; what was accepted all the same must be responded
    to, unless the process was killed first.
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

    Guards against a node that closes on what it has read: it then had forwarded it, or the end came later
    than one that was already under way.
    """
    if case.accepted.resent_ms is None or case.was_forwarded_by(at_ms):
        return False
    return at_ms - case.request.at_ms <= history.tolerances.client_round_ms


def _loss_by_silence(history: History, case: RequestCase, limit_ms: float) -> _Loss | None:
    """Of a client that waited for its whole time and left."""
    request = case.request
    abandoned = case.accepted.abandoned
    assert abandoned is not None
    waited_ms = abandoned.at_ms - request.at_ms
    if abandoned.left_early or waited_ms < request.time_left_ms - TIMER_MS:
        return None
    closed_ms = abandoned.at_ms + abandoned.lingers_ms
    if history.is_excused(case.accepted, closed_ms):
        return None
    connection = request.connection
    if history.client_closed_ms.get(connection, abandoned.at_ms) < abandoned.at_ms - ROUNDING_MS:
        return None
    if case.accepted.unblocked_ms > request.at_ms + request.time_left_ms - case.response_margin_ms:
        return None  # its response had to wait for that of another request of the same client
    closed_ms = min(closed_ms, history.client_closed_ms.get(connection, closed_ms), history.end_ms)
    if closed_ms < limit_ms - TIMER_MS and not _is_surely_unresponsive(history, case, closed_ms):
        return None
    description = f"never answered: the client left after {waited_ms:.1f} ms of {request.time_left_ms:.0f}"
    return _Loss(closed_ms, description)


def _is_surely_unresponsive(history: History, case: RequestCase, closed_ms: float) -> bool:
    """Whether no response can have been on its way to a client that left within the rule's tolerance.

    A sound node responds a little before the client's time is over. Where the bytes, or the machine's own lag
    in real time, may take longer than that, only a node counts as silent that had a response to give long
    before, or never did a thing.
    """
    tolerances = history.tolerances
    margin_ms = case.response_margin_ms
    if not history.is_real_time and 2 * tolerances.client_ms - 2 < margin_ms / 2:
        return True
    early_ms = closed_ms - margin_ms - tolerances.client_round_ms - tolerances.server_round_ms
    outcomes = case.node_outcomes
    if not outcomes:  # a request without attempts is responded to by half of its time
        return case.request.time_left_ms / 2 > margin_ms + tolerances.client_round_ms
    for outcome in outcomes:
        served = outcome.served
        if served is not None and outcome.response_digest and served.at_ms < early_ms:
            return True
    return False
