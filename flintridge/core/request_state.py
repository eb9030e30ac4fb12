"""States of an open request, and the table of transitions between them.

    WAITING <--attempts--> IN_FLIGHT
       |                       |
    responded              responded
       v                       v
    FINISHED <--attempts--> RESPONDED

What happens besides (responses, timers, events) stands in `flintridge.core.lifecycle`.
"""

from enum import Enum

from flintridge.errors import FlintridgeError


class RequestState(Enum):
    """Where a request is on its way to its final response."""

    WAITING = "waiting"
    """It has no final response, and no attempt is in flight."""
    IN_FLIGHT = "in flight"
    """It has no final response; attempts are in flight."""
    RESPONDED = "responded"
    """It has its final response, or its client has left; attempts are in flight."""
    FINISHED = "finished"
    """It has its final response, or its client has left, and no attempt is in flight: it can be forgotten."""


class RequestEvent(Enum):
    """What changes the state of a request."""

    ATTEMPT_STARTED = "attempt started"
    ATTEMPT_ENDED = "attempt ended"
    """Others are still in flight."""
    LAST_ATTEMPT_ENDED = "last attempt ended"
    """No other is in flight."""
    RESPONDED = "responded"
    """It got its final response, or its client left."""


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
        # The policy, when it is notified of the last attempt's end, may send another one, which is withdrawn.
        RequestEvent.ATTEMPT_STARTED: RequestState.RESPONDED,
    },
}


class IllegalTransitionError(FlintridgeError, RuntimeError):
    """Something happened to a request that cannot happen in its state."""


def next_state(state: RequestState, event: RequestEvent) -> RequestState:
    """The state that follows.

    Raises:
        IllegalTransitionError: The event cannot happen in this state.
    """
    following = TRANSITIONS[state].get(event)
    if following is None:
        raise IllegalTransitionError(f"{event.value} while the request is {state.value}")
    return following
