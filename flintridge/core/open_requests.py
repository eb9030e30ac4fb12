"""The open requests of a node, by id, and their state."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from flintridge.api import NEVER_EXECUTED, Outcome
from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.request_state import RequestEvent, RequestState, next_state
from flintridge.core.response import Responder
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Timer


class IdInUseError(FlintridgeError, ValueError):
    """A request with this id is still open at this node."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """An accepted request that lacks its final response or has attempts in flight.

    Attributes:
        id: The request's id, as the policy knows it.
        request: The request as it was read.
        responder: Delivers the response to the client.
        reserved_bytes: Bytes of the memory budget that are reserved for its value.
        deadline: When the response is due, in float milliseconds of the node's clock.
        deadline_timer: Fails the request if it has no response in time.
        state: Its state.
        attempts: All attempts, in order.
        in_flight: Number of attempts that have not ended.
        is_guarded: Whether the request must not be executed again under the same id.
        may_have_been_executed: Whether an attempt has ended that a server may have executed.
        withdrawn: Number of attempts that ended without being sent.
    """

    id: str
    request: Request
    responder: Responder
    reserved_bytes: int
    deadline: float = math.inf
    deadline_timer: Timer | None = None
    state: RequestState = RequestState.WAITING
    attempts: list[UpstreamAttempt] = field(default_factory=list)
    in_flight: int = 0
    withdrawn: int = 0
    is_guarded: bool = False
    may_have_been_executed: bool = False

    @property
    def responded(self) -> bool:
        """Whether the request has its final response or its client has left."""
        return self.state is RequestState.RESPONDED or self.state is RequestState.FINISHED

    def add_attempt(self, attempt: UpstreamAttempt) -> None:
        """Record that an attempt starts.

        Args:
            attempt: The attempt with the next number.
        """
        self.state = next_state(self.state, RequestEvent.ATTEMPT_STARTED)
        self.attempts.append(attempt)
        self.in_flight += 1

    def end_attempt(self, outcome: Outcome) -> None:
        """Record that one of the attempts in flight has ended with `outcome`."""
        last = self.in_flight == 1
        event = RequestEvent.LAST_ATTEMPT_ENDED if last else RequestEvent.ATTEMPT_ENDED
        self.state = next_state(self.state, event)
        self.in_flight -= 1
        if outcome is Outcome.WITHDRAWN:
            self.withdrawn += 1
        if outcome not in NEVER_EXECUTED:
            self.may_have_been_executed = True

    def mark_responded(self) -> None:
        """Record the final response or the client's departure; attempts not yet begun are not written."""
        self.state = next_state(self.state, RequestEvent.RESPONDED)
        self.cancel_timer()
        for attempt in self.attempts:
            attempt.request_ended = True

    def cancel_timer(self) -> None:
        """Cancel the timer that would fail the request at its deadline."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


class OpenRequests:
    """All open requests, in the order in which they were accepted."""

    def __init__(
        self,
        memory_budget: MemoryBudget,
        request_memory: MemoryBudget | None = None,
        request_bytes: int = 0,
        on_removed: Callable[[OpenRequest], None] | None = None,
    ) -> None:
        """Start without requests.

        Args:
            memory_budget: The bytes reserved for a request are released to it when the request ends.
            request_memory: Each request takes `request_bytes` of it until it ends; None: no limit.
            request_bytes: The memory of one request in bytes, without its value.
            on_removed: Called with each request that is removed.
        """
        self._on_removed = on_removed
        self._memory_budget = memory_budget
        self._request_memory = request_memory
        self._request_bytes = request_bytes
        self._by_id: dict[str, OpenRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(self._by_id.values())

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    @property
    def unanswered(self) -> int:
        """Number of requests without a final response."""
        return sum(not request.responded for request in self)

    def add(self, request: OpenRequest) -> None:
        """Add a request, whose id must not be in use."""
        self._by_id[request.id] = request
        if self._request_memory is not None:
            self._request_memory.charge(self._request_bytes)

    def get(self, request_id: str) -> OpenRequest | None:
        """Return the open request with this id, or None."""
        return self._by_id.get(request_id)

    def get_unanswered(self, request_id: str) -> OpenRequest | None:
        """Return the request with this id if it has no final response yet, or None."""
        request = self._by_id.get(request_id)
        if request is None or request.responded:
            return None
        return request

    def mark_responded(self, request: OpenRequest) -> None:
        """Record the final response or the client's departure."""
        request.mark_responded()
        self.remove_if_finished(request.id)

    def take_unanswered(self, request_id: str) -> OpenRequest | None:
        """Return a request that the caller responds to now, marked as responded; None if it already is."""
        request = self.get_unanswered(request_id)
        if request is not None:
            self.mark_responded(request)
        return request

    def remove_if_finished(self, request_id: str) -> None:
        """Remove a request that has its final response and no attempt in flight, and release its memory."""
        request = self._by_id.get(request_id)
        if request is not None and request.state is RequestState.FINISHED:
            del self._by_id[request_id]
            self._release(request)

    def close(self) -> None:
        """Remove all requests without a response."""
        for request in self:
            request.cancel_timer()
            self._release(request)
        self._by_id.clear()

    def _release(self, request: OpenRequest) -> None:
        """Release what a removed request held."""
        if self._on_removed is not None:
            self._on_removed(request)
        self._memory_budget.release(request.reserved_bytes)
        if self._request_memory is not None:
            self._request_memory.release(self._request_bytes)
