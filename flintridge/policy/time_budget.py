"""Time budgets: the part of a client's time that one attempt may take, so that the client can be answered.

A request may need an attempt at each upstream: a read that misses at a cache server goes on to the origin.
Each attempt may fail and be retried once. The client's time is divided evenly among all of these.
"""

ATTEMPTS_PER_UPSTREAM = 2  # an attempt, and its retry if it fails


class TimeBudget:
    """Divides the time of clients among the attempts that their requests may need."""

    def __init__(self, has_origin: bool) -> None:
        """`has_origin`: whether reads that miss and writes go to an origin."""
        self._has_origin = has_origin

    def attempt_ns(self, timeout_ns: float, is_write: bool) -> float:
        """Return how long one attempt at a request may take, in nanoseconds.

        Args:
            timeout_ns: How long the client of the request waits, in nanoseconds.
            is_write: Whether it is a write, which needs one upstream only.
        """
        upstreams = 2 if self._has_origin and not is_write else 1
        return timeout_ns / (upstreams * ATTEMPTS_PER_UPSTREAM)
