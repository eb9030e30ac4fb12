"""Breadth-first search over the states of a small system."""

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import NamedTuple, Protocol, Self


class State(Protocol):
    """A state of the system; it must not change after the search has received it."""

    def transitions(self) -> Iterator[tuple[str, Self]]:
        """Yield each possible transition: a short description and the state after it."""

    def canonical_key(self) -> Hashable:
        """Return a key that is equal for equivalent states, such as symmetric or time-shifted ones."""

    def violated_invariant(self) -> str:
        """Return a sentence on an invariant that does not hold; empty if all hold."""


@dataclass(slots=True, frozen=True)
class ExplorationResult:
    """The result of an exploration.

    Attributes:
        states: The number of distinct states reached.
        depth: The number of transitions to the state that was examined last, which is the most distant.
        is_complete: Whether all reachable states were examined.
        violation: A sentence on the violated invariant; empty if none was violated.
        path: The descriptions of the transitions on a shortest path to the violation.
    """

    states: int
    depth: int
    is_complete: bool
    violation: str = ""
    path: tuple[str, ...] = ()


class _Arrival(NamedTuple):
    """The state from which a state was first reached, and the transition."""

    previous_key: Hashable | None
    transition: str


class _QueuedState(NamedTuple):
    state: State
    key: Hashable
    depth: int


def explore(start: State, max_states: int = 1_000_000) -> ExplorationResult:
    """Search until an invariant is violated, all states are examined, or `max_states` states are reached."""
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
    """Return the descriptions of the transitions from the start to the state with that key."""
    transitions: list[str] = []
    arrival = arrivals[key]
    while arrival.previous_key is not None:
        transitions.append(arrival.transition)
        arrival = arrivals[arrival.previous_key]
    return tuple(reversed(transitions))
