"""Discovery without its sockets: the list, the calls in turn, and who counts as told."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from flintridge.lab.scenario.model import Discovery as Spec
from flintridge.lab.scenario.model import Span
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.discovery_calls import Call, Desk, Reply
from flintridge.lab.world.discovery_deemed import Deemed
from flintridge.lab.world.discovery_list import Change, Entry, Roll
from flintridge.lab.world.draws import draw

__all__ = ["Call", "Change", "Deemed", "Desk", "Discovery", "Entry", "Reply", "Roll", "Told"]


@dataclass(slots=True, frozen=True)
class Told:
    """A node counts as told of these entries."""

    node: str
    revision: int
    complete: bool
    entries: tuple[Entry, ...]
    deemed: bool


class Discovery:
    """One service for all nodes, at whatever addresses. All times are ms of the day.

    `cut` tells whether no call of a node can come through at present. `slow` and `stale_since` may be set at
    any time; `set_down` is a call, since it ends others.
    """

    def __init__(self, spec: Spec, ask_within_ms: float, seeds: Seeds, cut: Callable[[str], bool]) -> None:
        rng = seeds.of("discovery")
        self.roll = Roll(
            rng.randrange(20, 2000),
            _drawer(spec.notice_s, seeds.of("discovery/notice")),
            _drawer(spec.silent_s, seeds.of("discovery/silent")),
        )
        self.desk = Desk(self.roll, draw(rng, spec.call_ms), spec.line_ms, spec.timeout_ms)
        self.deemed = Deemed(self.roll, ask_within_ms, cut)

    @property
    def slow(self) -> float:
        return self.desk.slow

    @slow.setter
    def slow(self, factor: float) -> None:
        self.desk.slow = factor

    @property
    def stale_since(self) -> float | None:
        return self.roll.stale_since

    @stale_since.setter
    def stale_since(self, since: float | None) -> None:
        self.roll.stale_since = since

    @property
    def down(self) -> str:
        return self.desk.down

    def set_down(self, now: float, how: str) -> list[Reply]:
        """ "" or refuses, errors, silent, garbage; what is written to the calls that this ends."""
        ended, replies = self.desk.set_down(how)
        for call in ended:
            self.deemed.failed(now, call.node, call.key)
        return replies

    def call(self, now: float, key: int, node: str, after: int, wait_ms: float) -> Reply | None:
        """A node's call, by a key that is new for each; after 0 the whole list. An answer only if discovery
        is down and says so; all others come from `advance`."""
        call, reply = self.desk.arrive(now, key, node, after, wait_ms)
        self.deemed.asked(now, node, key, call.until)
        if self.down:
            self.deemed.failed(now, node, key)
        return reply

    def hang_up(self, now: float, key: int, broken: bool = False) -> None:
        """The caller is gone; `broken`: by a reset."""
        if (call := self.desk.leave(key)) is not None:
            self.deemed.hung_up(now, call.node, key, broken)

    def advance(self, now: float) -> list[Reply]:
        """List what is due, and go on with the calls; the answers to write."""
        self.roll.advance(now)
        return self.desk.advance(now)

    def due(self) -> float | None:
        """When `advance` has something to do next, if nothing else happens."""
        times = [at for at in (self.roll.due(), self.desk.due()) if at is not None]
        return min(times) if times else None

    def written(self, now: float, reply: Reply, left: bool) -> Told | None:
        """An answer was written; `left`: its bytes are on their way. What the node is told by it."""
        call = reply.call
        if reply.garbage or reply.status != 200:
            self.deemed.failed(now, call.node, call.key)
            return None
        self.deemed.answered(now, call.node, call.key, reply.revision, call.watches, left)
        if not left or not (reply.changes or reply.complete):
            return None
        return _told(call.node, reply.revision, reply.complete, reply.changes, False)

    def node_started(self, now: float, node: str) -> Told:
        """A new process of a node is given the whole list as its known one; what it is told by that."""
        self.deemed.started(now, node, self.roll.revision)
        return _told(node, self.roll.revision, True, self.roll.whole(), False)

    def check(self, now: float) -> list[Told]:
        """Who counts as told by now without having been."""
        found = self.deemed.check(now)
        return [_told(node, revision, False, changes, True) for node, revision, changes in found]


def _told(
    node: str, revision: int, complete: bool, changes: tuple[Change, ...] | list[Change], deemed: bool
) -> Told:
    return Told(node, revision, complete, tuple(change.entry for change in changes), deemed)


def _drawer(span_s: Span, rng: random.Random) -> Callable[[], float]:
    """Draws milliseconds from a span of seconds, one at a time."""
    return lambda: draw(rng, span_s) * 1000
