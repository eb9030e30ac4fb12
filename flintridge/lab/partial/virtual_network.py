"""Virtual time, and links that lose, delay, duplicate and are cut.

Times are float milliseconds. All random draws come from one seed.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

TICK_MS = 100.0

Direction = tuple[str, str]  # from a node, to a node


@dataclass(slots=True)
class Link:
    """One direction between two nodes, or between any two.

    Attributes:
        loss: Fraction of datagrams that are lost.
        delay_ms: Least time on the way.
        jitter_ms: Up to so much more; more than the gap between two datagrams reorders them.
        duplication: Fraction of datagrams that arrive twice.
        is_cut: Whether nothing arrives.
    """

    loss: float = 0.0
    delay_ms: float = 0.3
    jitter_ms: float = 0.2
    duplication: float = 0.0
    is_cut: bool = False


class VirtualNetwork:
    """Calls at instants of virtual time, and the links between nodes.

    Attributes:
        now: The time.
        rng: Of all random draws.
        names: The nodes.
        default_link: What each direction does unless it has a link of its own.
        links: The directions' own links.
    """

    def __init__(self, names: tuple[str, ...], seed: int, default_link: Link) -> None:
        """Begin at the instant 0, with no call scheduled."""
        self.now = 0.0
        self.rng = Random(seed)
        self.names = names
        self.default_link = default_link
        self.links: dict[Direction, Link] = {}
        self._calls: list[tuple[float, int, Callable[[], None]]] = []  # by time, then by order of entry
        self._call_numbers = itertools.count()

    # Time

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have `call` called at that instant, in ms of virtual time."""
        heapq.heappush(self._calls, (when, next(self._call_numbers), call))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> float | None:
        """Advance the time by `duration_ms`, or until a condition holds.

        Args:
            duration_ms: For how long at most.
            until: The condition, checked every `TICK_MS`.

        Returns:
            The instant at which the condition was seen to hold; None where it was not, or there is none.
        """
        end = self.now + duration_ms
        next_check_at = self.now
        while self._calls and self._calls[0][0] <= end:
            when, _, call = heapq.heappop(self._calls)
            if until is not None and when >= next_check_at:
                if until():
                    self.at(when, call)
                    return self.now
                next_check_at = when + TICK_MS
            self.now = when
            call()
        self.now = end
        return self.now if until is not None and until() else None

    # Links

    def link(self, source: str, target: str) -> Link:
        """Return that direction's own link, which begins as the default one."""
        default = self.default_link
        link = Link(default.loss, default.delay_ms, default.jitter_ms, default.duplication, default.is_cut)
        return self.links.setdefault((source, target), link)

    def current_link(self, source: str, target: str) -> Link:
        """Return the link that applies to that direction."""
        return self.links.get((source, target), self.default_link)

    def cut(self, group: tuple[str, ...], peers: tuple[str, ...], both: bool = True) -> None:
        """Cut all links from `group` to `peers`, and those back where `both`."""
        for name, peer in itertools.product(group, peers):
            self.link(name, peer).is_cut = True
            if both:
                self.link(peer, name).is_cut = True

    def heal(self) -> None:
        """Make all links the default one again."""
        self.links.clear()
