"""Attempts at requests: created from a `Send`, checked before they start, reported as `AttemptEnded`."""

from flintridge import api
from flintridge.core.open_requests import OpenRequest
from flintridge.core.request import UpstreamAttempt
from flintridge.core.response import AttemptResult
from flintridge.runtime.clock import NS_PER_MS, to_ms, to_ns


def new_attempt(send: api.Send, request: OpenRequest, now: float) -> UpstreamAttempt:
    """Create the next attempt at a request.

    Args:
        send: The policy's action.
        request: The request to send.
        now: Milliseconds of the node's clock.
    """
    deadline = request.deadline
    if send.timeout_ns:
        deadline = min(deadline, now + to_ms(send.timeout_ns))
    return UpstreamAttempt(
        send.id,
        len(request.attempts),
        send.server,
        request.request,
        now,
        deadline,
        begin_by=send.begin_by / NS_PER_MS,
        written_by=send.written_by / NS_PER_MS,
        check_client=request.responder.check_client,
        response_due=request.deadline,
        hold_later_commands=request.responder.hold_later_commands,
    )


def unsent_outcome(attempt: UpstreamAttempt, request: OpenRequest, max_attempts: int) -> api.Outcome | None:
    """Return the outcome of an attempt that must not be sent; None if it may be sent.

    Args:
        attempt: An attempt at the request that has not started.
        request: The request of the attempt.
        max_attempts: How many attempts may be sent for one request.
    """
    now = attempt.sent_at
    sent_before = attempt.number - request.withdrawn
    if request.responded or sent_before >= max_attempts or now >= request.deadline:
        return api.Outcome.WITHDRAWN
    if attempt.deadline <= now:
        return api.Outcome.TIMEOUT
    return None


def attempt_ended_event(
    attempt: UpstreamAttempt, result: AttemptResult, now: float, final: bool
) -> api.AttemptEnded:
    """Create the policy event for the end of an attempt.

    Args:
        attempt: The attempt that ended.
        result: How it ended.
        now: Milliseconds of the node's clock.
        final: Whether the request has its final response.
    """
    return api.AttemptEnded(
        id=attempt.id,
        attempt=attempt.number,
        server=attempt.server,
        outcome=result.outcome,
        latency_ns=max(0, to_ns(now - attempt.sent_at)),
        final=final,
        cache_status=result.cache_status,
        load=result.load,
        malformed=result.malformed,
        partly_written=result.partly_written,
    )
