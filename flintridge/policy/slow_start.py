"""Slow start: the warmth of servers, its sum over a fleet, and the work budget of servers that warm up.

The warmth of a server is the fraction of its capacity that it has. It rises linearly from the start of the
server on, so the sum over many servers follows from the sums of their weight roots and start times, without
a loop over the servers. A heap holds the instants at which servers enter their next phase.
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
# 1.0 as a fixed-point number. Integer sums are exact, so they do not depend on the order of changes.
FIXED_POINT_ONE = 1 << 64
# The heap is rebuilt when it has more entries than twice the number of warming servers plus this.
MAX_STALE_PHASE_CHANGES = 64
# A fraction of the work that rule 4 (`Rules.overload_multiple`) allows: the estimate of a server's capacity
# may be that far off.
SLOW_START_BUDGET_FRACTION = 0.5
WORK_SMOOTHING = 0.05  # the weight of one request in the exponential moving average
# Factor per window by which the observed work of warm servers decays, for example in an hour of low load.
WARM_WORK_DECAY = 0.9


def warmth_at(endpoint: api.Endpoint, rules: api.Rules, now: int) -> float:
    """Return the fraction of its full capacity that a server has at the instant `now`."""
    age_ns = now - endpoint.started_at
    if endpoint.started_at == 0 or not rules.slow_start_ns or age_ns >= rules.slow_start_ns:
        return 1.0
    minimum = rules.slow_start_fraction
    return minimum + (1 - minimum) * max(age_ns, 0) / rules.slow_start_ns


def weight_root(weight: float, max_weight: float) -> float:
    """Return the square root of a weight relative to the largest weight, or 1 if a weight is unknown.

    The fraction of a server has it as a factor, so its cap follows the root. The number of its ring points
    has it as a factor once more, so its keys follow the weight itself.
    """
    if weight == max_weight or not weight or not max_weight:
        return 1.0
    return math.sqrt(min(1.0, weight / max_weight))


@dataclass(slots=True, eq=False)
class WarmUp:
    """A server that is not warm yet, with its contribution to the sums.

    Attributes:
        endpoint: The endpoint of the server.
        root: The root of its weight, in units of 1 / FIXED_POINT_ONE.
        is_rising: Whether the server has started, so that its warmth is rising.
    """

    endpoint: api.Endpoint
    root: int
    is_rising: bool = False


@dataclass(slots=True)
class KindSums:
    """Sums of the weight roots of the servers of one kind, in units of 1 / FIXED_POINT_ONE.

    Attributes:
        warm: The sum over servers that have their full capacity.
        unstarted: The sum over servers whose start time is in the future.
        rising: The sum over all other servers, whose warmth is rising.
        rising_by_start: The sum over the same servers of the root times the start time in nanoseconds.
    """

    warm: int = 0
    unstarted: int = 0
    rising: int = 0
    rising_by_start: int = 0


class WarmthSums:
    """The sum of warmth times weight root over all servers of each kind.

    Attributes:
        sizes: The number of servers of each kind.
    """

    def __init__(self, rules: api.Rules) -> None:
        self.sizes: Counter[int] = Counter()
        self._rules = rules
        self._has_slow_start = bool(rules.slow_start_ns) and rules.slow_start_fraction < 1
        self._sums: defaultdict[int, KindSums] = defaultdict(KindSums)
        self._max_weight = 0.0  # the weight that roots are relative to
        self._warm_ups: dict[str, WarmUp] = {}
        self._phase_changes: list[tuple[int, int, WarmUp]] = []  # heap: instant, tie-breaker, server
        self._order = itertools.count()

    def add(self, endpoint: api.Endpoint) -> None:
        """Add a server to the sums."""
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
        """Remove a server that was added with this endpoint from the sums."""
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
        """Return the number of servers that are not warm yet."""
        self._advance(now)
        return len(self._warm_ups)

    def totals(self, now: int) -> dict[int, float]:
        """Return the sum of warmth times weight root for each kind."""
        self._advance(now)
        return {kind: self._total(self._sums[kind], now) for kind in self.sizes}

    def set_max_weight(self, max_weight: float, endpoints: Iterable[api.Endpoint]) -> None:
        """Recompute all sums if the largest weight has changed, which is rare.

        Args:
            max_weight: The new largest weight.
            endpoints: The endpoints of all servers that are in the sums.
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
    """An attempt at a server that was warming up.

    Attributes:
        sent_at: The instant at which it was sent, in nanoseconds.
        work: The expected work in milliseconds.
    """

    sent_at: int
    work: float


@dataclass(slots=True)
class WarmUpUse:
    """The work that this node sent to a server that is warming up, within the last overload window.

    Attributes:
        sends: The attempts, the oldest first; None if there were none yet.
        work: The sum of their expected work in milliseconds.
        draw: The random number from 0 to 1 that decides whether a first attempt may be sent in a window.
        draw_expires_at: The instant until which `draw` is valid, in nanoseconds.
    """

    sends: deque[SentWork] | None = None
    work: float = 0.0
    draw: float = 0.0
    draw_expires_at: int = 0


class ReadyServers(Protocol):
    """What the slow start budget needs to know about the servers that can be picked.

    Attributes:
        mean_weight: The mean weight of the servers that have a weight.
        warmth_sums: The warmth sums of the servers.
    """

    mean_weight: float
    warmth_sums: WarmthSums

    @property
    def ready(self) -> Collection[str]:
        """The names of the servers."""


class SlowStartBudget:
    """Limits the work that this node sends to servers that are warming up.

    The limit is derived from the work of warm servers that the node has observed, and from the quotas.

    Attributes:
        mean_work: The mean expected work of requests in milliseconds; 0 before the first request.
        warm_work: A decaying maximum of the work that a warm server did for this node in one overload
            window, in milliseconds.
        allocated: This node's allocation, as a multiple of an even share among all nodes.
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
        self._quota_requests = quotas_per_s * window_ns / NS_PER_S  # allowed by all quotas in one window
        deadline_ns = min((each.deadline_ns for each in settings.classes), default=0)
        # A server with a lower capacity could not serve a request while its client waits.
        self._min_requests = window_ns / max(1, deadline_ns)
        self._window_started_at = 0
        self._window_work = 0.0  # served by all warm servers in this window

    def warmth(self, endpoint: api.Endpoint, now: int) -> float:
        """Return the fraction of its full capacity that a server has at the instant `now`."""
        return warmth_at(endpoint, self._rules, now)

    def record_request(self, work: float) -> None:
        """Record the expected work of a received request, in milliseconds."""
        self.mean_work = self.mean_work + WORK_SMOOTHING * (work - self.mean_work) if self.mean_work else work

    def record_send(self, endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> None:
        """Record an attempt that is sent to a cache server."""
        if self.warmth(endpoint, now) >= 1:
            return
        if use.sends is None:
            use.sends = deque()
        use.sends.append(SentWork(now, work))
        use.work += work

    def record_served(self, endpoint: api.Endpoint, work: float, now: int) -> None:
        """Record a request that a cache server served, to estimate the capacity of warm servers."""
        window_ns = self._rules.overload_window_ns
        if not window_ns or self.warmth(endpoint, now) < 1:
            return
        age_ns = now - self._window_started_at
        if age_ns >= window_ns:
            warm = len(self._servers.ready) - self._servers.warmth_sums.count_warming(now)
            if warm and self._window_started_at:
                observed_work = self._window_work / warm * window_ns / age_ns
                self.warm_work = max(observed_work, WARM_WORK_DECAY * self.warm_work)
            self._window_started_at = now
            self._window_work = 0.0
        self._window_work += work

    def is_within_budget(self, endpoint: api.Endpoint, use: WarmUpUse, work: float, now: int) -> bool:
        """Return whether a request may be sent to a server; for a warm server this is always true.

        Args:
            endpoint: The endpoint of the server.
            use: The work that this node has already sent to the server.
            work: The expected work of the request in milliseconds.
            now: The current instant in nanoseconds.
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
        # A budget below one request is kept on average: a random draw in each window decides on a request.
        use.work = 0.0
        if now >= use.draw_expires_at:
            use.draw = self._rng.random()
            use.draw_expires_at = now + rules.overload_window_ns
        return use.draw * max(self.mean_work, work) <= budget

    def node_work(self) -> float:
        """Return this node's share of the work that a warm server can do in one overload window, in ms."""
        requests = self._quota_requests / max(1, len(self._servers.ready)) or self._min_requests
        even_share = requests * self.mean_work / self._fleet_size
        return max(self.warm_work, even_share * self.allocated)
