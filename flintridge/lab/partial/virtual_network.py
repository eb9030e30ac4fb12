"""Virtual time, and links that lose, delay and duplicate datagrams and can be cut.

Times are float milliseconds. All random draws come from one seed.
"""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

TICK_MS = 100.0

Direction = tuple[str, str]  # sending node, receiving node


@dataclass(slots=True)
class Link:
    """The properties of one direction between two nodes, or the default of all directions.

    Attributes:
        loss: The fraction of datagrams that are lost.
        delay_ms: The smallest delay of a datagram.
        jitter_ms: The largest random addition to the delay. Two datagrams that are sent within a shorter
            time may be reordered.
        duplication: The fraction of datagrams that arrive twice.
        is_cut: Whether all datagrams are lost.
    """

    loss: float = 0.0
    delay_ms: float = 0.3
    jitter_ms: float = 0.2
    duplication: float = 0.0
    is_cut: bool = False


class VirtualNetwork:
    """A scheduler of calls in virtual time, and the links between nodes.

    Attributes:
        now: The virtual time, in ms.
        rng: The source of all random draws.
        names: The names of the nodes.
        default_link: The link of each direction that has none of its own.
        links: The links of single directions.
    """

    def __init__(self, names: tuple[str, ...], seed: int, default_link: Link) -> None:
        """Create a network at virtual time 0 with no scheduled call.

        Args:
            names: The names of the nodes.
            seed: The seed of all random draws.
            default_link: The link of each direction that has none of its own.
        """
        self.now = 0.0
        self.rng = Random(seed)
        self.names = names
        self.default_link = default_link
        self.links: dict[Direction, Link] = {}
        self._calls: list[tuple[float, int, Callable[[], None]]] = []  # by time, then by scheduling order
        self._call_numbers = itertools.count()

    # Time

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Schedule `call` at `when`, in ms of virtual time."""
        heapq.heappush(self._calls, (when, next(self._call_numbers), call))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> float | None:
        """Make the scheduled calls and advance the time by `duration_ms`, or until a condition holds.

        Args:
            duration_ms: The longest time to advance.
            until: The condition, checked every `TICK_MS`; None for no condition.

        Returns:
            The time of the check at which the condition held; None if it did not hold or there is none.
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
        """Return the direction's own link; it is created as a copy of the default link."""
        default = self.default_link
        link = Link(default.loss, default.delay_ms, default.jitter_ms, default.duplication, default.is_cut)
        return self.links.setdefault((source, target), link)

    def current_link(self, source: str, target: str) -> Link:
        """Return the direction's own link if it has one, or the default link."""
        return self.links.get((source, target), self.default_link)

    def cut(self, group: tuple[str, ...], peers: tuple[str, ...], both: bool = True) -> None:
        """Cut all links from `group` to `peers`, and those from `peers` to `group` if `both`."""
        for name, peer in itertools.product(group, peers):
            self.link(name, peer).is_cut = True
            if both:
                self.link(peer, name).is_cut = True

    def heal(self) -> None:
        """Return all directions to the default link."""
        self.links.clear()
