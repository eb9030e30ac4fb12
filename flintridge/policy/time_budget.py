"""Time budgets: the part of a client's time that one attempt may take, so that the client can be answered.

A request may need an attempt at each upstream: a read that misses at a cache server goes on to the origin.
Each attempt may fail and be retried once. The client's time is divided evenly among all of these.
"""

ATTEMPTS_PER_UPSTREAM = 2  # an attempt, and its retry if it fails
# The weight of one request in the exponential moving average of client timeouts. A few clients with unusual
# timeouts must not decide for all others which attempts are slow.
TIMEOUT_SMOOTHING = 0.05


class TimeBudget:
    """Divides the time of clients among the attempts that their requests may need."""

    def __init__(self, has_origin: bool) -> None:
        """`has_origin`: whether reads that miss and writes go to an origin."""
        self._has_origin = has_origin
        self._mean_timeouts_ns: dict[int, float] = {}  # by request class

    def record(self, class_index: int, timeout_ns: int) -> None:
        """Record how long the client of a new request waits, in nanoseconds."""
        mean_ns = self._mean_timeouts_ns.get(class_index, float(timeout_ns))
        self._mean_timeouts_ns[class_index] = mean_ns + TIMEOUT_SMOOTHING * (timeout_ns - mean_ns)

    def usual_attempt_ns(self, class_index: int, is_write: bool) -> float:
        """Return how long an attempt at a request of a class may usually take, in nanoseconds.

        Args:
            class_index: The request class, of which a request was recorded.
            is_write: Whether the request is a write.
        """
        return self.attempt_ns(self._mean_timeouts_ns[class_index], is_write)

    def attempt_ns(self, timeout_ns: float, is_write: bool) -> float:
        """Return how long one attempt at a request may take, in nanoseconds.

        Args:
            timeout_ns: How long the client of the request waits, in nanoseconds.
            is_write: Whether it is a write, which needs one upstream only.
        """
        upstreams = 2 if self._has_origin and not is_write else 1
        return timeout_ns / (upstreams * ATTEMPTS_PER_UPSTREAM)
