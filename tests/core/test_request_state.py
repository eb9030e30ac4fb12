"""The state table of a request: every listed transition works, and every other one raises."""

from itertools import product

import pytest

from flintridge.core.request_state import (
    TRANSITIONS,
    IllegalTransitionError,
    RequestEvent,
    RequestState,
    next_state,
)
from flintridge.errors import FlintridgeError

WAITING = RequestState.WAITING
IN_FLIGHT = RequestState.IN_FLIGHT
RESPONDED = RequestState.RESPONDED
FINISHED = RequestState.FINISHED
STARTED = RequestEvent.ATTEMPT_STARTED
ENDED = RequestEvent.ATTEMPT_ENDED
LAST_ENDED = RequestEvent.LAST_ATTEMPT_ENDED

LEGAL = [
    (WAITING, STARTED, IN_FLIGHT),
    (WAITING, RequestEvent.RESPONDED, FINISHED),
    (IN_FLIGHT, STARTED, IN_FLIGHT),
    (IN_FLIGHT, ENDED, IN_FLIGHT),
    (IN_FLIGHT, LAST_ENDED, WAITING),
    (IN_FLIGHT, RequestEvent.RESPONDED, RESPONDED),
    (RESPONDED, STARTED, RESPONDED),
    (RESPONDED, ENDED, RESPONDED),
    (RESPONDED, LAST_ENDED, FINISHED),
    (FINISHED, STARTED, RESPONDED),
]
ILLEGAL = sorted(
    set(product(RequestState, RequestEvent)) - {(state, event) for state, event, _ in LEGAL}, key=str
)


@pytest.mark.parametrize(("state", "event", "following"), LEGAL)
def test_next_state_when_the_table_has_the_event_then_returns_its_state(state, event, following):
    assert next_state(state, event) is following


@pytest.mark.parametrize(("state", "event"), ILLEGAL)
def test_next_state_when_the_table_does_not_have_the_event_then_raises(state, event):
    with pytest.raises(
        IllegalTransitionError, match=f"{event.value} while the request is {state.value}"
    ) as raised:
        next_state(state, event)
    assert isinstance(raised.value, FlintridgeError)


def test_table_when_counted_then_has_every_state_and_no_other_transition():
    assert set(TRANSITIONS) == set(RequestState)
    assert sum(len(events) for events in TRANSITIONS.values()) == len(LEGAL)
