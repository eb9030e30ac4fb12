"""The state of an open request and its attempts, which the mechanisms of the policy share."""

from dataclasses import dataclass, field
from enum import Enum

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Outcome

NS_PER_MS = 1_000_000
UNKNOWN_WORK = 1.0  # milliseconds; assumed if the work of a request is unknown
# At most this many withdrawn attempts per request are not counted, so that every request ends eventually.
MAX_WITHDRAWN = 32


class Upstream(Enum):
    """The groups of servers that have their own permits and admission queue."""

    CACHES = "caches"
    """The cache servers; without a configured origin, all servers."""
    ORIGIN = "origin"


@dataclass(slots=True)
class Attempt:
    """One attempt at a request.

    Attributes:
        server: The name of the server that it was sent to.
        sent_at: The instant at which it was sent, in nanoseconds.
        idle_ns: How long its connection had been idle, in nanoseconds; None if it had to be opened.
        open: Whether the attempt is in flight.
    """

    server: str
    sent_at: int
    idle_ns: int | None
    open: bool = True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has no final response yet or still has attempts in flight.

    Attributes:
        event: The event with which the request was received.
        request_class: The class of the request.
        attempt_budget_ns: The part of the client's time that one attempt may take, in nanoseconds.
        slow_after_ns: An attempt that takes longer than this counts as slow, in nanoseconds: the part of the
            time that clients of the class usually have.
        work: The expected work in milliseconds; UNKNOWN_WORK if unknown.
        over_quota: Whether the request is over its tenant's quota.
        queued_for: The upstream whose permit the request waits for; None if it does not wait.
        missed_by: The first cache server that missed, which stores the response of the origin.
        preferred_server: The server that has just stored the value of the key.
        attempts: All attempts in order.
        ended_count: The number of attempts that have ended.
        withdrawn_count: The number of ended attempts that were never sent.
        failed_servers: The servers that the request is not sent to again.
        retried_servers: The servers that already got a second attempt.
        executed_at: The instant at which the first attempt was sent that ended and may have been executed.
        executed_by: The endpoint of that attempt.
        done: Whether the request has its final response or its client no longer waits for one.
    """

    event: api.RequestReceived
    request_class: api.RequestClass
    attempt_budget_ns: float
    slow_after_ns: float
    work: float
    over_quota: bool = False
    queued_for: Upstream | None = None
    missed_by: str | None = None
    preferred_server: str | None = None
    attempts: list[Attempt] = field(default_factory=list)
    ended_count: int = 0
    withdrawn_count: int = 0
    failed_servers: list[str] = field(default_factory=list)
    retried_servers: list[str] = field(default_factory=list)
    executed_at: int | None = None
    executed_by: api.Endpoint | None = None
    done: bool = False

    @classmethod
    def received(
        cls,
        event: api.RequestReceived,
        request_class: api.RequestClass,
        attempt_budget_ns: float,
        slow_after_ns: float,
    ) -> "OpenRequest":
        """Create the state of a request that was received."""
        work = UNKNOWN_WORK if event.work_ns is None else event.work_ns / NS_PER_MS
        return cls(event, request_class, attempt_budget_ns, slow_after_ns, work)

    @property
    def attempts_made(self) -> int:
        """The number of attempts that count against the limit; withdrawn ones do not, up to MAX_WITHDRAWN."""
        return len(self.attempts) - min(self.withdrawn_count, MAX_WITHDRAWN)

    @property
    def is_in_flight(self) -> bool:
        """Whether an attempt is in flight."""
        return self.ended_count < len(self.attempts)

    def open_attempt(self, position: int) -> Attempt | None:
        """Return the attempt with this index, or None if there is none or it has ended."""
        if not 0 <= position < len(self.attempts):
            return None
        attempt = self.attempts[position]
        return attempt if attempt.open else None

    def record_end(self, attempt: Attempt, outcome: Outcome, endpoint: api.Endpoint) -> None:
        """Record the end of an attempt, and whether the server may have executed the request.

        Args:
            attempt: The attempt, which is open.
            outcome: The outcome of the attempt.
            endpoint: The endpoint of its server.
        """
        attempt.open = False
        self.ended_count += 1
        if outcome is Outcome.WITHDRAWN:
            self.withdrawn_count += 1
        if outcome is Outcome.MISS and self.missed_by is None:
            self.missed_by = attempt.server
        if outcome not in NEVER_EXECUTED and self.executed_at is None:
            self.executed_at = attempt.sent_at
            self.executed_by = endpoint
