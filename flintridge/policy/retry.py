"""Retries: whether a request may be sent again, to which servers, and until when."""

import math
from collections.abc import Collection
from enum import Enum

from flintridge import api
from flintridge.api import AttemptEnded, DeduplicationScope, Effect, Outcome
from flintridge.policy.open_request import Attempt, OpenRequest
from flintridge.policy.quota import RetryBudget

NS_PER_MS = 1_000_000
STALL_ALLOWANCE_MS = 150.0  # the node may stall for this long between reading the clock and a write


class NonFinalOutcome(Enum):
    """How an attempt ended that did not produce the final response of its request."""

    MISSED = "missed"
    WITHDRAWN = "withdrawn"
    BROKEN = "broken"
    """The response could not be parsed, or the connection broke."""
    REJECTED = "rejected"
    """The server rejected the attempt because it had no capacity."""
    FAILED = "failed"
    """There was no response, or the response was an error."""

    @classmethod
    def of(cls, event: AttemptEnded) -> "NonFinalOutcome":
        """Classify the end of an attempt."""
        outcome = event.outcome
        if outcome is Outcome.MISS:
            return cls.MISSED
        if outcome is Outcome.WITHDRAWN:
            return cls.WITHDRAWN
        if event.malformed or outcome is Outcome.RESET:
            return cls.BROKEN
        return cls.REJECTED if outcome is Outcome.FULL else cls.FAILED


class NextStep(Enum):
    """What to do with a request after an attempt that did not produce its final response."""

    GIVE_UP = "give up"
    SEND_TO_ORIGIN = "send to origin"
    RETRY_SAME_SERVER = "retry same server"
    """Retry once without excluding the server of the attempt."""
    RETRY_OTHER_SERVER = "retry other server"
    """Retry, excluding the server of the attempt from now on."""
    RETRY_ANY_SERVER = "retry any server"
    """Retry without excluding the server of the attempt, because there is no other."""


# By the outcome of the attempt and whether it was sent to the origin.
NEXT_STEPS: dict[tuple[NonFinalOutcome, bool], NextStep] = {
    (NonFinalOutcome.MISSED, False): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.MISSED, True): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.WITHDRAWN, False): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.WITHDRAWN, True): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.BROKEN, False): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.BROKEN, True): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.REJECTED, False): NextStep.RETRY_OTHER_SERVER,
    (NonFinalOutcome.REJECTED, True): NextStep.RETRY_OTHER_SERVER,
    (NonFinalOutcome.FAILED, False): NextStep.RETRY_OTHER_SERVER,
    # The origin's response was lost, but a cache server may have stored the value by now.
    (NonFinalOutcome.FAILED, True): NextStep.RETRY_SAME_SERVER,
}


def minus_stall_allowance(span_ns: int) -> int:
    """Return how much of a time span may be used for the decision to write, in nanoseconds.

    The span is a drain grace period or a deduplication window. If the node stalls right after it last read
    the clock, the write then still happens within the span. Spans can be as short as 300 ms, so the
    allowance is at most half of the span: with less of a window left, no repeat would ever be sent.
    """
    return span_ns - min(int(STALL_ALLOWANCE_MS * NS_PER_MS), span_ns // 2)


class RetryPolicy:
    """Decides whether, where and until when requests are sent again.

    Attributes:
        budget: The retry budget.
        max_attempts: The maximum number of attempts at one request, including the first.
    """

    def __init__(self, max_attempts: int, drain_grace_ns: int, has_origin: bool) -> None:
        self.budget = RetryBudget()
        self.max_attempts = max_attempts
        self._begin_within_ns = minus_stall_allowance(drain_grace_ns) or math.inf
        self._has_origin = has_origin

    def record_send(self, request: OpenRequest, now: int) -> None:
        """Record that an attempt is about to be sent; a first attempt adds to the retry budget."""
        if not request.attempts:
            self.budget.record_first_attempt(now)

    def next_step(
        self,
        request: OpenRequest,
        attempt: Attempt,
        event: AttemptEnded,
        now: int,
        ready: Collection[str],
        origins: Collection[str],
    ) -> NextStep:
        """Decide what to do after an attempt, and record its server in the request's lists.

        Args:
            request: The request, which has no attempt in flight.
            attempt: The attempt that ended last.
            event: The event of its end.
            now: The current instant in nanoseconds.
            ready: The names of the cache servers that can be picked.
            origins: The names of the origins that are ready.
        """
        outcome = NonFinalOutcome.of(event)
        is_retry = outcome is not NonFinalOutcome.WITHDRAWN and outcome is not NonFinalOutcome.MISSED
        if now >= request.event.deadline or (is_retry and not self.budget.try_take(now)):
            return NextStep.GIVE_UP
        if self._has_origin and self.is_last(request):
            return NextStep.SEND_TO_ORIGIN  # on the last attempt, because another cache could only miss
        step = NEXT_STEPS[outcome, attempt.server in origins]
        if step is NextStep.SEND_TO_ORIGIN and self._has_origin:
            return step
        if step is NextStep.RETRY_SAME_SERVER and attempt.server not in request.retried_servers:
            request.retried_servers.append(attempt.server)
            return step
        if outcome is NonFinalOutcome.WITHDRAWN and not set(ready) - {
            attempt.server,
            *request.failed_servers,
        }:
            return NextStep.RETRY_ANY_SERVER  # it is the only server left, and the failure was not its own
        request.failed_servers.append(attempt.server)
        return NextStep.RETRY_OTHER_SERVER

    def is_last(self, request: OpenRequest) -> bool:
        """Return whether the next attempt at a request is the last one that is allowed."""
        return request.attempts_made >= self.max_attempts - 1

    def begin_by(self, now: int) -> float:
        """Return until when an attempt may start to be written, in case a drain of its server begins now."""
        return now + self._begin_within_ns

    def repeat_by(self, request: OpenRequest) -> float:
        """Return the latest instant at which a request may be sent, in nanoseconds; inf means no limit.

        The limit applies to requests that may have been executed already and are not idempotent.
        """
        request_class = request.request_class
        if request.executed_at is None or request_class.effect is Effect.SAFE:
            return math.inf
        if request_class.effect is Effect.KEYED:
            return request.executed_at + minus_stall_allowance(request_class.deduplication_window_ns)
        return request.executed_at - 1

    def is_repeatable(self, request: OpenRequest, now: int) -> bool:
        """Return whether a repeat of a request does no harm, regardless of the server that gets it."""
        request_class = request.request_class
        if request_class.effect is Effect.KEYED:
            covers_all_servers = request_class.deduplication_scope is DeduplicationScope.ALL
            return covers_all_servers and now <= self.repeat_by(request)
        return request_class.effect is Effect.SAFE

    def may_send(self, request: OpenRequest, endpoint: api.Endpoint, now: int) -> bool:
        """Return whether a request may be sent to a server.

        This is so while the deadline and the attempt limit permit it, and if it cannot be executed a second
        time with harm (rule 2).
        """
        is_late = now >= request.event.deadline or now > self.repeat_by(request)
        if is_late or request.attempts_made >= self.max_attempts:
            return False
        first = request.executed_by
        if first is None or self.is_repeatable(request, now):
            return True
        if request.request_class.deduplication_scope is DeduplicationScope.ZONE:
            return first.zone == endpoint.zone
        return first.cell == endpoint.cell

    def may_be_rejected(self, request: OpenRequest, now: int) -> bool:
        """Return whether a request may be rejected, which invites the client to repeat it."""
        return request.executed_at is None or self.is_repeatable(request, now)
