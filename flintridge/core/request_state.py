"""States of an open request, and the table of transitions between them.

    WAITING <--attempts--> IN_FLIGHT
       |                       |
    responded              responded
       v                       v
    FINISHED <--attempts--> RESPONDED

The side effects (responses, timers, events) are in `flintridge.core.lifecycle`.
"""

from enum import Enum

from flintridge.errors import FlintridgeError


class RequestState(Enum):
    """State of a request on its way to its final response."""

    WAITING = "waiting"
    """No final response and no attempt in flight."""
    IN_FLIGHT = "in flight"
    """No final response; attempts are in flight."""
    RESPONDED = "responded"
    """Has its final response, or the client has left; attempts are still in flight."""
    FINISHED = "finished"
    """Has its final response, or the client has left, and no attempt is in flight: it can be removed."""


class RequestEvent(Enum):
    """An event that changes the state of a request."""

    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"
    """Other attempts are still in flight."""
    LAST_ATTEMPT_ENDED = "last attempt ended"
    """No other attempt is in flight."""
    RESPONDED = "responded"
    """The request got its final response, or its client left."""


TRANSITIONS: dict[RequestState, dict[RequestEvent, RequestState]] = {
    RequestState.WAITING: {
        RequestEvent.ATTEMPT_STARTED: RequestState.IN_FLIGHT,
        RequestEvent.RESPONDED: RequestState.FINISHED,
    },
    RequestState.IN_FLIGHT: {
        RequestEvent.ATTEMPT_STARTED: RequestState.IN_FLIGHT,
        RequestEvent.ATTEMPT_ENDED: RequestState.IN_FLIGHT,
        RequestEvent.LAST_ATTEMPT_ENDED: RequestState.WAITING,
        RequestEvent.RESPONDED: RequestState.RESPONDED,
    },
    RequestState.RESPONDED: {
        RequestEvent.ATTEMPT_STARTED: RequestState.RESPONDED,
        RequestEvent.ATTEMPT_ENDED: RequestState.RESPONDED,
        RequestEvent.LAST_ATTEMPT_ENDED: RequestState.FINISHED,
    },
    RequestState.FINISHED: {
        # When the policy handles the end of the last attempt, it may send another one, which is withdrawn.
        RequestEvent.ATTEMPT_STARTED: RequestState.RESPONDED,
    },
}


class IllegalTransitionError(FlintridgeError, RuntimeError):
    """An event is not allowed in the current state of a request."""


def next_state(state: RequestState, event: RequestEvent) -> RequestState:
    """Return the state after an event.

    Raises:
        IllegalTransitionError: The event is not allowed in this state.
    """
    following = TRANSITIONS[state].get(event)
    if following is None:
        raise IllegalTransitionError(f"{event.value} while the request is {state.value}")
    return following
