"""An open request and its attempts: the value that the mechanisms of the policy share."""

from dataclasses import dataclass, field
from enum import Enum

from flintridge import api
from flintridge.api import NEVER_EXECUTED, Outcome

NS_PER_MS = 1_000_000
SLOW_FRACTION = 0.5  # an attempt that takes more of its latency objective counts as slow
UNKNOWN_WORK = 1.0
MAX_WITHDRAWN = 32  # attempts at a request that do not count; guards against one that never ends


class Upstream(Enum):
    """Where an attempt goes: each has permits and an admission queue of its own."""

    CACHES = "caches"
    """To a cache server; without an origin of this node's own, anywhere."""
    ORIGIN = "origin"


@dataclass(slots=True)
class Attempt:
    """One attempt at a request.

    Attributes:
        server: Where it was sent.
        sent_at: In nanoseconds.
        idle_ns: How long its connection was unused; None: it had to be opened.
        open: Whether it is in flight.
    """

    server: str
    sent_at: int
    idle_ns: int | None
    open: bool = True


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without its final response, or with attempts in flight.

    Attributes:
        event: As it was received.
        request_class: Its class.
        slow_after_ns: An attempt that takes longer counts as slow.
        work: As expected, in milliseconds; UNKNOWN_WORK where nothing is known.
        first_arrived_at: When its client sent it first, as far as known.
        arrived_at: When it was received, in nanoseconds.
        over_quota: Whether it is beyond its tenant's quota.
        queued_for: Whose permit it waits for; None: it waits for none.
        missed_by: The first server that missed: it stores what the origin answers.
        preferred_server: The server that has just stored its key.
        attempts: All of them, in order.
        ended_count: How many of them have ended ...
        withdrawn_count: ... and how many of these without having been sent.
        failed_servers: Those that it is not sent to again.
        retried_servers: Those that were asked once more.
        executed_at: When the first ended attempt was sent that may have been executed.
        executed_by: The server of that attempt.
        done: Whether it has its final response, or nobody waits for one.
    """

    event: api.RequestReceived
    request_class: api.RequestClass
    slow_after_ns: float
    work: float
    first_arrived_at: int
    arrived_at: int
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
    def received(cls, event: api.RequestReceived, request_class: api.RequestClass, now: int) -> "OpenRequest":
        """A request that arrives now."""
        slow_after_ns = SLOW_FRACTION * request_class.latency_objective_ns
        work = UNKNOWN_WORK if event.work_ns is None else event.work_ns / NS_PER_MS
        return cls(event, request_class, slow_after_ns, work, now, now)

    @property
    def attempts_made(self) -> int:
        """How many attempts count: those that were withdrawn were never sent."""
        return len(self.attempts) - min(self.withdrawn_count, MAX_WITHDRAWN)

    @property
    def is_unsent(self) -> bool:
        """Whether nothing was ever written for it."""
        return self.withdrawn_count == len(self.attempts)

    @property
    def is_in_flight(self) -> bool:
        """Whether one of its attempts is."""
        return self.ended_count < len(self.attempts)

    def open_attempt(self, position: int) -> Attempt | None:
        """The attempt at a position; None: there is none there, or it has ended."""
        if not 0 <= position < len(self.attempts):
            return None
        attempt = self.attempts[position]
        return attempt if attempt.open else None

    def record_end(self, attempt: Attempt, outcome: Outcome, endpoint: api.Endpoint) -> None:
        """Take in how an attempt ended, and what the server may have done by it.

        Args:
            attempt: One that is open.
            outcome: Of it.
            endpoint: The server.
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
