"""Slow start: how much of its capacity a server has by now, and the sum of that over a fleet.

A server's warmth rises evenly from its start on, so the sum of many is worked out from the sums of their
weight roots and of their starts, without a look at each. Servers change their phase by a heap of instants.
"""

import heapq
import itertools
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from flintridge import api

UNITS = 1 << 64  # of 1.0: sums are whole numbers, exact, so no order of changes makes them differ
SPARE_INSTANTS = (
    64  # of servers that left before; more than those of the others besides, and the heap is made anew
)


def warmth_at(endpoint: api.Endpoint, rules: api.Rules, now: int) -> float:
    """The fraction of its capacity that a server has at an instant."""
    age_ns = now - endpoint.started_at
    if endpoint.started_at == 0 or not rules.slow_start_ns or age_ns >= rules.slow_start_ns:
        return 1.0
    minimum = rules.slow_start_fraction
    return minimum + (1 - minimum) * max(age_ns, 0) / rules.slow_start_ns


def weight_root(weight: float, max_weight: float) -> float:
    """The root of a weight against the largest, 1 where none is told: it counts for points and for caps."""
    if weight == max_weight or not weight or not max_weight:
        return 1.0
    return math.sqrt(min(1.0, weight / max_weight))


@dataclass(slots=True, eq=False)
class WarmUp:
    """A server that is not warm yet, as it counts in the sums."""

    endpoint: api.Endpoint
    root: int  # in UNITS
    is_rising: bool = False  # its start is over


@dataclass(slots=True)
class KindSums:
    """Of the servers of one kind; roots in UNITS."""

    warm: int = 0
    cold: int = 0  # of those whose start is still to come
    rising: int = 0
    rising_by_start: int = 0  # each root times its server's start in nanoseconds


class WarmthSums:
    """The sums over servers of warmth times weight root, by kind.

    Attributes:
        sizes: How many servers there are of each kind.
    """

    def __init__(self, rules: api.Rules) -> None:
        self.sizes: Counter[int] = Counter()
        self._rules = rules
        self._has_slow_start = bool(rules.slow_start_ns) and rules.slow_start_fraction < 1
        self._sums: defaultdict[int, KindSums] = defaultdict(KindSums)
        self._max_weight = 0.0  # against which the roots are reckoned
        self._warm_ups: dict[str, WarmUp] = {}
        self._instants: list[tuple[int, int, WarmUp]] = []  # heap: when the next phase begins
        self._order = itertools.count()

    def add(self, endpoint: api.Endpoint) -> None:
        """Count a server."""
        self.sizes[endpoint.kind] += 1
        root = self._root(endpoint)
        if self._has_slow_start and endpoint.started_at:
            self._sums[endpoint.kind].cold += root
            warm_up = self._warm_ups[endpoint.server] = WarmUp(endpoint, root)
            self._push(endpoint.started_at, warm_up)
        else:
            self._sums[endpoint.kind].warm += root

    def remove(self, endpoint: api.Endpoint) -> None:
        """Count a server no more that was added with this endpoint."""
        self.sizes[endpoint.kind] -= 1
        if not self.sizes[endpoint.kind]:
            del self.sizes[endpoint.kind]
        sums = self._sums[endpoint.kind]
        warm_up = self._warm_ups.pop(endpoint.server, None)
        if warm_up is None:
            sums.warm -= self._root(endpoint)
        elif warm_up.is_rising:
            sums.rising -= warm_up.root
            sums.rising_by_start -= warm_up.root * endpoint.started_at
        else:
            sums.cold -= warm_up.root

    def warming(self, now: int) -> int:
        """How many servers are not warm yet."""
        self._advance(now)
        return len(self._warm_ups)

    def totals(self, now: int) -> dict[int, float]:
        """The sum of warmth times weight root, by kind."""
        self._advance(now)
        return {kind: self._total(self._sums[kind], now) for kind in self.sizes}

    def weigh_against(self, max_weight: float, endpoints: Iterable[api.Endpoint]) -> None:
        """Reckon all roots anew where the largest weight has changed, which it seldom does.

        Args:
            max_weight: The largest weight from now on.
            endpoints: All servers that count.
        """
        if max_weight == self._max_weight:
            return
        self._max_weight = max_weight
        self.sizes.clear()
        self._sums.clear()
        self._warm_ups.clear()
        self._instants.clear()
        for endpoint in endpoints:
            self.add(endpoint)

    def _total(self, sums: KindSums, now: int) -> float:
        minimum = self._rules.slow_start_fraction
        total = sums.warm / UNITS
        if sums.cold or sums.rising:
            total += minimum * ((sums.cold + sums.rising) / UNITS)
            age_ns = (now * sums.rising - sums.rising_by_start) / UNITS
            total += (1 - minimum) * age_ns / self._rules.slow_start_ns
        return total

    def _root(self, endpoint: api.Endpoint) -> int:
        return int(weight_root(endpoint.weight, self._max_weight) * UNITS)

    def _push(self, at: int, warm_up: WarmUp) -> None:
        if len(self._instants) > 2 * len(self._warm_ups) + SPARE_INSTANTS:
            current = [entry for entry in self._instants if self._is_current(entry[2])]
            self._instants[:] = current
            heapq.heapify(self._instants)
        heapq.heappush(self._instants, (at, next(self._order), warm_up))

    def _is_current(self, warm_up: WarmUp) -> bool:
        return self._warm_ups.get(warm_up.endpoint.server) is warm_up

    def _advance(self, now: int) -> None:
        while self._instants and self._instants[0][0] <= now:
            warm_up = heapq.heappop(self._instants)[2]
            if not self._is_current(warm_up):
                continue
            endpoint = warm_up.endpoint
            sums = self._sums[endpoint.kind]
            by_start = warm_up.root * endpoint.started_at
            if warm_up.is_rising:
                sums.rising -= warm_up.root
                sums.rising_by_start -= by_start
                sums.warm += warm_up.root
                del self._warm_ups[endpoint.server]
            else:
                sums.cold -= warm_up.root
                sums.rising += warm_up.root
                sums.rising_by_start += by_start
                warm_up.is_rising = True
                self._push(endpoint.started_at + self._rules.slow_start_ns, warm_up)
