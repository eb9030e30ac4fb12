"""Attempt timeouts: how long to wait for a response before the request is sent to another server."""

from flintridge.api import Effect
from flintridge.policy.admission_queue import AdmissionQueue
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter
from flintridge.policy.open_request import OpenRequest
from flintridge.policy.retry import RetryPolicy, minus_stall_allowance
from flintridge.policy.stale_connections import StaleConnections

NS_PER_S = 1_000_000_000
TIMEOUT_LATENCY_FACTOR = 4.0  # a timeout is at least this multiple of the mean latency
RECOVERED_AFTER_NS = 5 * NS_PER_S  # this long after the last decrease of a limit, there is spare capacity


class AttemptTimeout:
    """Computes the timeout of each attempt."""

    def __init__(self, retries: RetryPolicy, stale_connections: StaleConnections) -> None:
        self._retries = retries
        self._stale_connections = stale_connections

    def timeout_ns(self, request: OpenRequest, queue: AdmissionQueue, now: int) -> int:
        """Return how long to wait for the response to an attempt that starts now.

        Args:
            request: The request, whose attempts already include the new one.
            queue: The queue of the limiter that granted the permit.
            now: The current instant in nanoseconds.

        Returns:
            The timeout in nanoseconds, at least the duration beyond which an attempt counts as slow. 0 waits
            until the client's deadline, because a repeat could do harm, add to the load or be late.
        """
        may_be_repeated = (
            not self._retries.is_last(request)
            and self._has_capacity(queue.limiter, now)
            and self._retries.is_repeatable(request, now)
        )
        if not may_be_repeated:
            return 0
        request_class = request.request_class
        slow_ns = (request.event.work_ns or 0) + int(request.slow_after_ns)
        timeout_ns = max(slow_ns, int(TIMEOUT_LATENCY_FACTOR * queue.limiter.mean_latency_ns(request)))
        if timeout_ns > queue.latest_start(request) - now:
            return 0
        if request_class.effect is Effect.SAFE:
            return timeout_ns
        return timeout_ns if timeout_ns < minus_stall_allowance(request_class.deduplication_window_ns) else 0

    def _has_capacity(self, limiter: ConcurrencyLimiter, now: int) -> bool:
        """Return whether there is capacity for repeats, or the network drops connections.

        In the second case, the missing responses do not indicate load.
        """
        is_recovered = now > limiter.decreased_at + RECOVERED_AFTER_NS
        return is_recovered or self._stale_connections.is_detected
