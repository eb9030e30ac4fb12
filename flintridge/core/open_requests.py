"""The requests that are open at a node, by id, and what is kept of each."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from flintridge.core.memory_budget import MemoryBudget
from flintridge.core.request import Request, UpstreamAttempt
from flintridge.core.request_state import RequestEvent, RequestState, next_state
from flintridge.core.response import Responder
from flintridge.errors import FlintridgeError
from flintridge.runtime.clock import Timer


class IdInUseError(FlintridgeError, ValueError):
    """A request with this id is still open here."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that was taken in, until it has its final response and its attempts have ended.

    Attributes:
        id: Its id, as the policy knows it.
        request: As it was read.
        responder: The client's end of it.
        reserved_bytes: Of the memory budget, for its value.
        deadline: Its response is due then, in float milliseconds.
        deadline_timer: Fails it if nobody else responds in time.
        state: Where it is on its way to its final response.
        attempts: All of them, in order.
        in_flight: How many of them have not ended.
        withdrawn: How many of them ended without being sent.
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

    @property
    def responded(self) -> bool:
        """Whether it has its final response, or its client has left."""
        return self.state is RequestState.RESPONDED or self.state is RequestState.FINISHED

    def add_attempt(self, attempt: UpstreamAttempt) -> None:
        """An attempt starts.

        Args:
            attempt: The next one, by its number.
        """
        self.state = next_state(self.state, RequestEvent.ATTEMPT_STARTED)
        self.attempts.append(attempt)
        self.in_flight += 1

    def end_attempt(self, withdrawn: bool) -> None:
        """One of the attempts in flight has ended.

        Args:
            withdrawn: Whether it was never sent.
        """
        last = self.in_flight == 1
        event = RequestEvent.LAST_ATTEMPT_ENDED if last else RequestEvent.ATTEMPT_ENDED
        self.state = next_state(self.state, event)
        self.in_flight -= 1
        if withdrawn:
            self.withdrawn += 1

    def mark_responded(self) -> None:
        """It gets its final response now, or its client has left: what has not begun is not written."""
        self.state = next_state(self.state, RequestEvent.RESPONDED)
        self.cancel_timer()
        for attempt in self.attempts:
            attempt.request_ended = True

    def cancel_timer(self) -> None:
        """Nobody is to fail it any more."""
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()


class OpenRequests:
    """All open requests, in the order in which they were taken in."""

    def __init__(self, memory_budget: MemoryBudget) -> None:
        """Begin with none.

        Args:
            memory_budget: Gets back what is reserved for a request with its end.
        """
        self._memory_budget = memory_budget
        self._by_id: dict[str, OpenRequest] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(self._by_id.values())

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    @property
    def unanswered(self) -> int:
        """How many await their final response."""
        return sum(not request.responded for request in self)

    def add(self, request: OpenRequest) -> None:
        """Take in a request, whose id is not in use."""
        self._by_id[request.id] = request

    def get(self, request_id: str) -> OpenRequest | None:
        """The open request with this id; None where there is none."""
        return self._by_id.get(request_id)

    def get_unanswered(self, request_id: str) -> OpenRequest | None:
        """The request with this id if it awaits its final response."""
        request = self._by_id.get(request_id)
        if request is None or request.responded:
            return None
        return request

    def mark_responded(self, request: OpenRequest) -> None:
        """It gets its final response now, or its client has left."""
        request.mark_responded()
        self.forget_if_finished(request.id)

    def take_unanswered(self, request_id: str) -> OpenRequest | None:
        """A request that the caller responds to now, for good; None where it has its final response."""
        request = self.get_unanswered(request_id)
        if request is not None:
            self.mark_responded(request)
        return request

    def forget_if_finished(self, request_id: str) -> None:
        """Release what is kept of a request that has its final response and no attempt in flight."""
        request = self._by_id.get(request_id)
        if request is not None and request.state is RequestState.FINISHED:
            del self._by_id[request_id]
            self._memory_budget.release(request.reserved_bytes)

    def close(self) -> None:
        """Forget all of them; none gets a response."""
        for request in self:
            request.cancel_timer()
            self._memory_budget.release(request.reserved_bytes)
        self._by_id.clear()
