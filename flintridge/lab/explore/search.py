"""Breadth-first search over the states of a small system."""

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple, Protocol, Self


class State(Protocol):
    """A state of the system. Nothing in it may change once it was handed out."""

    def transitions(self) -> Iterator[tuple[str, Self]]:
        """Yield all that can happen next: a description in a few words, and the state after it."""

    def canonical_key(self) -> Hashable:
        """Return the same key for states that behave the same: symmetric ones, or at another time."""

    def violated_invariant(self) -> str:
        """Return which invariant does not hold, in a sentence; empty where all do."""


@dataclass(slots=True, frozen=True)
class ExplorationResult:
    """What an exploration found.

    Attributes:
        states: How many distinct states were reached.
        depth: How many transitions lead to the farthest.
        is_complete: Whether all states were reached.
        violation: The violated invariant; empty where all held.
        path: The transitions that lead to the violation, as few as there are.
    """

    states: int
    depth: int
    is_complete: bool
    violation: str = ""
    path: tuple[str, ...] = ()


class _Arrival(NamedTuple):
    """From which state, by what transition, a state was first reached."""

    previous_key: Hashable | None
    transition: str


class _QueuedState(NamedTuple):
    state: State
    key: Hashable
    depth: int


def explore(start: State, max_states: int = 1_000_000) -> ExplorationResult:
    """Search until an invariant is violated, all states were reached, or `max_states` of them."""
    start_key = start.canonical_key()
    arrivals: dict[Hashable, _Arrival] = {start_key: _Arrival(None, "")}
    queue: deque[_QueuedState] = deque([_QueuedState(start, start_key, 0)])
    depth = 0
    while queue:
        state, key, depth = queue.popleft()
        violation = state.violated_invariant()
        if violation:
            path = _path(arrivals, key)
            return ExplorationResult(len(arrivals), depth, is_complete=False, violation=violation, path=path)
        if len(arrivals) >= max_states:
            return ExplorationResult(len(arrivals), depth, is_complete=False)
        for transition, next_state in state.transitions():
            next_key = next_state.canonical_key()
            if next_key not in arrivals:
                arrivals[next_key] = _Arrival(key, transition)
                queue.append(_QueuedState(next_state, next_key, depth + 1))
    return ExplorationResult(len(arrivals), depth, is_complete=True)


def _path(arrivals: dict[Hashable, _Arrival], key: Hashable) -> tuple[str, ...]:
    """Return the transitions from the start to the state of that key."""
    transitions: list[str] = []
    arrival = arrivals[key]
    while arrival.previous_key is not None:
        transitions.append(arrival.transition)
        arrival = arrivals[arrival.previous_key]
    return tuple(reversed(transitions))
