"""Breadth-first search over the states of a small world."""

from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Protocol, Self


class World(Protocol):
    """A state. Nothing in it may change once it was handed out."""

    def steps(self) -> Iterator[tuple[str, Self]]:
        """All that can happen next: what it is, in a few words, and what comes of it."""

    def key(self) -> Hashable:
        """The same for states that cannot be told apart: symmetric ones, those that differ in the time."""

    def broken(self) -> str:
        """Which invariant does not hold, in a sentence; empty where all do."""


@dataclass(slots=True, frozen=True)
class Explored:
    states: int
    depth: int  # steps to the farthest state
    whole: bool  # whether all states were seen
    broken: str = ""
    story: tuple[str, ...] = ()  # the steps to where it broke, as few as there are


def explore(start: World, most: int = 1_000_000) -> Explored:
    """Until an invariant breaks, all states were seen, or `most` of them."""
    came: dict[Hashable, tuple[Hashable | None, str]] = {start.key(): (None, "")}
    line: deque[tuple[World, Hashable, int]] = deque([(start, start.key(), 0)])
    depth = 0
    while line:
        world, key, depth = line.popleft()
        if broken := world.broken():
            return Explored(len(came), depth, False, broken, _story(came, key))
        if len(came) >= most:
            return Explored(len(came), depth, False)
        for what, after in world.steps():
            next_key = after.key()
            if next_key not in came:
                came[next_key] = key, what
                line.append((after, next_key, depth + 1))
    return Explored(len(came), depth, True)


def _story(came: dict[Hashable, tuple[Hashable | None, str]], key: Hashable | None) -> tuple[str, ...]:
    steps: list[str] = []
    while key is not None:
        key, what = came[key]
        steps.append(what)
    return tuple(reversed(steps[:-1]))
