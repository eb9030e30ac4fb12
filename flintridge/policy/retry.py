"""Retries: whether a request may be sent again, where, and until when."""

import math
from collections.abc import Collection
from enum import Enum

from flintridge import api
from flintridge.api import AttemptEnded, DeduplicationScope, Effect, Outcome
from flintridge.policy.open_request import Attempt, OpenRequest
from flintridge.policy.quota import RetryBudget

NS_PER_MS = 1_000_000
STALL_ALLOWANCE_MS = 150.0  # a node may be held up for so long between a look at the clock and a write


class NonFinalOutcome(Enum):
    """How an attempt ended that did not give its request the final response."""

    MISSED = "missed"
    WITHDRAWN = "withdrawn"
    BROKEN = "broken"
    """Its response could not be read, or its connection broke."""
    REJECTED = "rejected"
    """The server had no capacity for it."""
    FAILED = "failed"
    """No response, or an error."""

    @classmethod
    def of(cls, event: AttemptEnded) -> "NonFinalOutcome":
        """The kind of an attempt's end."""
        outcome = event.outcome
        if outcome is Outcome.MISS:
            return cls.MISSED
        if outcome is Outcome.WITHDRAWN:
            return cls.WITHDRAWN
        if event.malformed or outcome is Outcome.RESET:
            return cls.BROKEN
        return cls.REJECTED if outcome is Outcome.FULL else cls.FAILED


class NextStep(Enum):
    """What comes after an attempt that did not give its request the final response."""

    GIVE_UP = "give up"
    SEND_TO_ORIGIN = "send to origin"
    RETRY_SAME_SERVER = "retry same server"
    """The server of the attempt is not left out."""
    RETRY_OTHER_SERVER = "retry other server"
    """It is left out from now on."""
    RETRY_ANY_SERVER = "retry any server"
    """It is not left out, for want of another."""


NEXT_STEPS: dict[tuple[NonFinalOutcome, bool], NextStep] = {  # by whether the attempt was at the origin
    (NonFinalOutcome.MISSED, False): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.MISSED, True): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.WITHDRAWN, False): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.WITHDRAWN, True): NextStep.SEND_TO_ORIGIN,
    (NonFinalOutcome.BROKEN, False): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.BROKEN, True): NextStep.RETRY_SAME_SERVER,
    (NonFinalOutcome.REJECTED, False): NextStep.RETRY_OTHER_SERVER,
    (NonFinalOutcome.REJECTED, True): NextStep.RETRY_OTHER_SERVER,
    (NonFinalOutcome.FAILED, False): NextStep.RETRY_OTHER_SERVER,
    (
        NonFinalOutcome.FAILED,
        True,
    ): NextStep.RETRY_SAME_SERVER,  # what it answered was lost: it is stored by now
}


def minus_stall_allowance(span_ns: int) -> int:
    """How much of a drain's grace or a deduplication window a write may be decided in, in nanoseconds.

    A stall right behind the last look at the clock then still ends within the span. Spans go down to 300 ms,
    so the allowance takes no more than a half: with less of a window left no repeat would ever be sent.
    """
    return span_ns - min(int(STALL_ALLOWANCE_MS * NS_PER_MS), span_ns // 2)


class RetryPolicy:
    """Whether, where and until when requests are sent again.

    Attributes:
        budget: Of retries.
        max_attempts: Of one request, its first one included.
    """

    def __init__(self, max_attempts: int, drain_grace_ns: int, has_origin: bool) -> None:
        self.budget = RetryBudget()
        self.max_attempts = max_attempts
        self._begin_within_ns = minus_stall_allowance(drain_grace_ns) or math.inf
        self._has_origin = has_origin

    def record_send(self, request: OpenRequest, now: int) -> None:
        """Take in that an attempt at a request is about to be sent: the first allows for some retries."""
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
        """Decide what comes after an attempt, and note at the request which servers were asked.

        Args:
            request: Without attempts in flight.
            attempt: The one that ended last.
            event: How it ended.
            now: In nanoseconds.
            ready: The cache servers that can be picked.
            origins: The origins that can be asked.
        """
        outcome = NonFinalOutcome.of(event)
        is_retry = outcome is not NonFinalOutcome.WITHDRAWN and outcome is not NonFinalOutcome.MISSED
        if now >= request.event.deadline or (is_retry and not self.budget.try_take(now)):
            return NextStep.GIVE_UP
        if self._has_origin and self.is_last(request):
            return NextStep.SEND_TO_ORIGIN  # the last attempt is kept for it: another cache can only miss
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
            return NextStep.RETRY_ANY_SERVER  # it is the only one, and no fault of it
        request.failed_servers.append(attempt.server)
        return NextStep.RETRY_OTHER_SERVER

    def is_last(self, request: OpenRequest) -> bool:
        """Whether the next attempt at a request is the last one."""
        return request.attempts_made >= self.max_attempts - 1

    def begin_by(self, now: int) -> float:
        """The latest instant at which an attempt may begin, should its server be notified of a drain now."""
        return now + self._begin_within_ns

    def repeat_by(self, request: OpenRequest) -> float:
        """The latest instant at which a request may be sent, in nanoseconds; inf: no limit."""
        request_class = request.request_class
        if request.executed_at is None or request_class.effect is Effect.SAFE:
            return math.inf
        if request_class.effect is Effect.KEYED:
            return request.executed_at + minus_stall_allowance(request_class.deduplication_window_ns)
        return request.executed_at - 1

    def is_repeatable(self, request: OpenRequest, now: int) -> bool:
        """Whether a repeat of a request does no harm, at whichever server."""
        request_class = request.request_class
        if request_class.effect is Effect.KEYED:
            covers_all_servers = request_class.deduplication_scope is DeduplicationScope.ALL
            return covers_all_servers and now <= self.repeat_by(request)
        return request_class.effect is Effect.SAFE

    def may_send(self, request: OpenRequest, endpoint: api.Endpoint, now: int) -> bool:
        """Whether a request may be sent to a server: within rule 2, the limit of attempts, and in time."""
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
        """Whether a repeat by the client does no harm, to which a rejection invites."""
        return request.executed_at is None or self.is_repeatable(request, now)
