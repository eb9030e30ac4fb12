"""Slow start: how warm a server is, the sum of that over a fleet, and what may be sent there meanwhile.

A server's warmth rises evenly from its start on, so the sum of many is worked out from the sums of their
weight roots and of their starts, without a look at each. Servers change their phase by a heap of instants.
"""

import heapq
import itertools
import math
import random
from collections import Counter, defaultdict, deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from flintridge import api

NS_PER_S = 1_000_000_000
FIXED_POINT_ONE = 1 << 64  # of 1.0: sums are whole numbers, exact, so no order of changes makes them differ
MAX_STALE_PHASE_CHANGES = (
    64  # of servers that left; more besides those of the others, and the heap is made anew
)
SLOW_START_BUDGET_FRACTION = 0.5  # of what rule 4 allows: the estimate of capacity may be that far off
WORK_SMOOTHING = 0.05  # the weight of one request in the mean
WARM_WORK_DECAY = 0.9  # a window: what a quiet hour leaves of what warm servers were seen to do


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
    """A server that is not warm yet, as it counts in the sums.

    Attributes:
        endpoint: The server.
        root: Of its weight, in FIXED_POINT_ONE.
        is_rising: Whether its start is over.
    """

    endpoint: api.Endpoint
    root: int
    is_rising: bool = False


@dataclass(slots=True)
class KindSums:
    """Sums over the servers of one kind, of their weights' roots in FIXED_POINT_ONE.

    Attributes:
        warm: Of those that have all of their capacity.
        unstarted: Of those whose start is still to come.
        rising: Of those in between.
        rising_by_start: Of these, each root times its server's start in nanoseconds.
    """

    warm: int = 0
    unstarted: int = 0
    rising: int = 0
    rising_by_start: int = 0


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
        self._phase_changes: list[tuple[int, int, WarmUp]] = []  # heap: when the next phase begins
        self._order = itertools.count()

    def add(self, endpoint: api.Endpoint) -> None:
        """Count a server."""
        self.sizes[endpoint.kind] += 1
        root = self._root(endpoint)
        if self._has_slow_start and endpoint.started_at:
            self._sums[endpoint.kind].unstarted += root
            warm_up = WarmUp(endpoint, root)
            self._warm_ups[endpoint.server] = warm_up
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
            sums.unstarted -= warm_up.root

    def count_warming(self, now: int) -> int:
        """How many servers are not warm yet."""
        self._advance(now)
        return len(self._warm_ups)

    def totals(self, now: int) -> dict[int, float]:
        """The sum of warmth times weight root, by kind."""
        self._advance(now)
        return {kind: self._total(self._sums[kind], now) for kind in self.sizes}

    def set_max_weight(self, max_weight: float, endpoints: Iterable[api.Endpoint]) -> None:
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
        self._phase_changes.clear()
        for endpoint in endpoints:
            self.add(endpoint)

    def _total(self, sums: KindSums, now: int) -> float:
        minimum = self._rules.slow_start_fraction
        total = sums.warm / FIXED_POINT_ONE
        if sums.unstarted or sums.rising:
            total += minimum * ((sums.unstarted + sums.rising) / FIXED_POINT_ONE)
            age_ns = (now * sums.rising - sums.rising_by_start) / FIXED_POINT_ONE
            total += (1 - minimum) * age_ns / self._rules.slow_start_ns
        return total

    def _root(self, endpoint: api.Endpoint) -> int:
        return int(weight_root(endpoint.weight, self._max_weight) * FIXED_POINT_ONE)

    def _push(self, at: int, warm_up: WarmUp) -> None:
        if len(self._phase_changes) > 2 * len(self._warm_ups) + MAX_STALE_PHASE_CHANGES:
            current = [entry for entry in self._phase_changes if self._is_current(entry[2])]
            self._phase_changes[:] = current
            heapq.heapify(self._phase_changes)
        heapq.heappush(self._phase_changes, (at, next(self._order), warm_up))

    def _is_current(self, warm_up: WarmUp) -> bool:
        return self._warm_ups.get(warm_up.endpoint.server) is warm_up

    def _advance(self, now: int) -> None:
        while self._phase_changes and self._phase_changes[0][0] <= now:
            warm_up = heapq.heappop(self._phase_changes)[2]
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
                sums.unstarted -= warm_up.root
                sums.rising += warm_up.root
                sums.rising_by_start += by_start
                warm_up.is_rising = True
                self._push(endpoint.started_at + self._rules.slow_start_ns, warm_up)


class SentWork(NamedTuple):
    """An attempt that was sent to a server while it was warming up.

    Attributes:
        sent_at: In nanoseconds.
        work: As expected, in milliseconds.
    """

    sent_at: int
    work: float


@dataclass(slots=True)
class WarmUpUse:
    """What this node has sent to a server that is warming up, within the last rule window.

    Attributes:
        sends: The oldest first; None: none yet.
        work: Of all of them, in milliseconds.
        draw: Of this rule window's first send, 0 to 1.
        draw_expires_at: In nanoseconds.
    """

    sends: deque[SentWork] | None = None
    work: float = 0.0
    draw: float = 0.0
    draw_expires_at: int = 0


class ReadyServers(Protocol):
    """What has to be known of the servers that can be picked.

    Attributes:
        mean_weight: Of those that have a weight.
        warmth_sums: Of all.
    """

    mean_weight: float
    warmth_sums: WarmthSums

    @property
    def ready(self) -> Collection[str]:
        """Their names."""


class SlowStartBudget:
    """How much work this node sends to servers that are warming up, by what it sees warm ones do.

    Attributes:
        mean_work: Of requests, in milliseconds; 0: none came yet.
        warm_work: The most that this node saw a warm server do in a rule window, in milliseconds; it fades.
        allocated: What this node may send of the fleet's work there, in even parts.
    """

    def __init__(self, settings: api.Settings, servers: ReadyServers, rng: random.Random) -> None:
        self.mean_work = 0.0
        self.warm_work = 0.0
        self.allocated = 1.0
        self._rules = settings.rules
        self._servers = servers
        self._rng = rng
        self._fleet_size = settings.fleet_size
        window_ns = settings.rules.overload_window_ns
        quotas_per_s = sum(tenant.quota_per_s for tenant in settings.tenants)
        self._quota_requests = quotas_per_s * window_ns / NS_PER_S  # in a rule window
        objective_ns = min((each.latency_objective_ns for each in settings.classes), default=0)
        self._min_requests = window_ns / max(1, objective_ns)  # of one server; fewer would be of no use
        self._window_started_at = 0
        self._window_work = 0.0  # of all warm servers

    def warmth(self, endpoint: api.Endpoint, now: int) -> float:
        """The fraction of its capacity that a server has by now."""
        return warmth_at(endpoint, self._rules, now)

    def record_request(self, work: float) -> None:
        """Take in the expected work of a request that was received, in milliseconds."""
        self.mean_work = self.mean_work + WORK_SMOOTHING * (work - self.mean_work) if self.mean_work else work

    def record_send(self, endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> None:
        """Take in an attempt that is sent to a cache server."""
        if self.warmth(endpoint, now) >= 1:
            return
        if use.sends is None:
            use.sends = deque()
        use.sends.append(SentWork(now, work))
        use.work += work

    def record_served(self, endpoint: api.Endpoint, work: float, now: int) -> None:
        """Take in a request that a cache server served: the windows of warm ones show what they can do."""
        window_ns = self._rules.overload_window_ns
        if not window_ns or self.warmth(endpoint, now) < 1:
            return
        age_ns = now - self._window_started_at
        if age_ns >= window_ns:
            warm = len(self._servers.ready) - self._servers.warmth_sums.count_warming(now)
            if warm and self._window_started_at:
                seen = self._window_work / warm * window_ns / age_ns
                self.warm_work = max(seen, WARM_WORK_DECAY * self.warm_work)
            self._window_started_at = now
            self._window_work = 0.0
        self._window_work += work

    def is_within_budget(self, endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> bool:
        """Whether a server may be sent a request; one that is warm always may.

        Args:
            endpoint: The server.
            use: What it was sent.
            work: Of the request, in milliseconds.
            now: In nanoseconds.
        """
        rules = self._rules
        warmth = self.warmth(endpoint, now)
        if warmth == 1 or not rules.overload_multiple or not rules.overload_window_ns:
            return True
        while use.sends and use.sends[0].sent_at <= now - rules.overload_window_ns:
            use.work -= use.sends.popleft().work
        weight = (endpoint.weight or self._servers.mean_weight) / self._servers.mean_weight
        budget = SLOW_START_BUDGET_FRACTION * rules.overload_multiple * warmth * self.node_work() * weight
        if use.sends:
            return use.work + work <= budget
        use.work = 0.0  # less than one request is kept by rng
        if now >= use.draw_expires_at:
            use.draw = self._rng.random()
            use.draw_expires_at = now + rules.overload_window_ns
        return use.draw * max(self.mean_work, work) <= budget

    def node_work(self) -> float:
        """This node's part of what a warm server can do in a rule window, in milliseconds."""
        requests = self._quota_requests / max(1, len(self._servers.ready)) or self._min_requests
        even = requests * self.mean_work / self._fleet_size
        return max(self.warm_work, even * self.allocated)
