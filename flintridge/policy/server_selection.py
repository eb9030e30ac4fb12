"""Server selection by consistent hashing with bounded loads.

An attempt goes to the first server clockwise of its key that has fewer attempts in flight than its cap.
"""

import math

from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.endpoint_state import Server, ServerTable
from flintridge.policy.hash_ring import NUMBER_MASK, POINTS, position_of
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.outlier_detection import UNHEALTHY, OutlierDetection
from flintridge.policy.server_fractions import ServerFractions
from flintridge.policy.slow_start import SlowStartBudget, weight_root

LOAD_SLACK = 0.5  # a server may have this fraction more attempts in flight than the average
# For a node with about one attempt in flight per server, a second one is chance and not load.
MIN_CAP = 2
MIN_CAP_UNHEALTHY = 1


def cap_of(fraction: float, root: float, average: float) -> int:
    """Return the number of attempts that a server may have in flight.

    Args:
        fraction: The server's fraction of keys and of the cap.
        root: The root of its weight; `fraction` is lower while the server is unhealthy or warming up.
        average: The average number of attempts in flight, including the new one, per fraction of 1.
    """
    minimum = MIN_CAP if fraction >= UNHEALTHY * root else MIN_CAP_UNHEALTHY
    return max(minimum, math.ceil((1 + LOAD_SLACK) * average * fraction))


class ServerSelection:
    """Picks the cache server for the next attempt at a request.

    Attributes:
        slow_start: The budget of servers that are warming up.
    """

    def __init__(
        self,
        table: ServerTable,
        cache_limiter: ConcurrencyLimiter,
        outliers: OutlierDetection,
        slow_start: SlowStartBudget,
    ) -> None:
        self._table = table
        self._cache_limiter = cache_limiter
        self._outliers = outliers
        self.slow_start = slow_start

    def pick(self, request: OpenRequest, now: int) -> str | None:
        """Pick a server for the next attempt at a request.

        This is the server that has just stored the key, or else the first server clockwise that is free, or
        else the first server clockwise that is in connect backoff.

        Args:
            request: The request; its failed servers are excluded.
            now: The current instant in nanoseconds.

        Returns:
            The name of the server; None if no server can take the request now.
        """
        if not self._table.ready:
            return None
        fractions = self._outliers.fresh_fractions(now)
        if not fractions.sum:  # no server may take a request yet: all start later, and the cold share is 0
            return None
        average = (self._cache_limiter.inflight + 1) / fractions.sum
        if request.preferred_server is not None and self._takes(
            request.preferred_server, request, fractions, average, now
        ):
            return request.preferred_server
        return self._first_clockwise(request, fractions, average, now)

    def is_within_budget(self, server: Server, request: OpenRequest, now: int) -> bool:
        """Return whether the slow start budget of a server allows to send it a request."""
        return self.slow_start.is_within_budget(server.endpoint, server.warm_up, request.work, now)

    def _takes(
        self, name: str, request: OpenRequest, fractions: ServerFractions, average: float, now: int
    ) -> bool:
        """Return whether the preferred server can take a request."""
        server = self._table.ready.get(name)
        if server is None or name in request.failed_servers:
            return False
        root = weight_root(server.endpoint.weight, self._table.max_weight)
        return self._is_free(server, cap_of(fractions[name], root, average), request, now)

    def _first_clockwise(
        self, request: OpenRequest, fractions: ServerFractions, average: float, now: int
    ) -> str | None:
        table = self._table
        ready = table.ready
        computed = fractions.computed
        seen = set(request.failed_servers)
        remaining = len(ready) - sum(name in ready for name in seen)
        last_resort: str | None = None
        for entry in table.ring.walk(position_of(request.event.key or request.event.id)):
            if not remaining:
                break
            name = table.names[entry >> 8 & NUMBER_MASK]
            candidate = ready.get(name)
            if candidate is None or name in seen:  # None: not ready any more, but still on the ring
                continue
            fraction = computed.get(name) or fractions[name]
            root = weight_root(candidate.endpoint.weight, table.max_weight)
            if entry & 0xFF >= fraction * root * POINTS:
                continue
            seen.add(name)
            remaining -= 1
            if candidate.connect_backoff.until > now:
                if last_resort is None and self.is_within_budget(candidate, request, now):
                    last_resort = name
            elif self._is_free(candidate, cap_of(fraction, root, average), request, now):
                return name
        return last_resort

    def _is_free(self, server: Server, cap: int, request: OpenRequest, now: int) -> bool:
        return server.inflight < cap and self.is_within_budget(server, request, now)
