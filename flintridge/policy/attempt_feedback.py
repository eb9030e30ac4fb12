"""Attempt feedback: reports the end of an attempt to the mechanisms that learn from it."""

import random

from flintridge.api import AttemptEnded, Outcome
from flintridge.policy.concurrency_limiter import ConcurrencyLimiter, RoundResult
from flintridge.policy.endpoint_state import Server
from flintridge.policy.open_request import Attempt, OpenRequest
from flintridge.policy.outlier_detection import OutlierDetection
from flintridge.policy.quota import Quotas
from flintridge.policy.slow_start import SlowStartBudget
from flintridge.policy.stale_connections import StaleConnections

LOAD_INDEPENDENT_OUTCOMES = (Outcome.CANCELLED, Outcome.WITHDRAWN, Outcome.CONNECT_FAILED)


class AttemptFeedback:
    """Reports the end of an attempt to each mechanism, unless the outcome has a cause unrelated to it."""

    def __init__(
        self,
        connect_timeout_ns: int,
        quotas: Quotas,
        outliers: OutlierDetection,
        slow_start: SlowStartBudget,
        stale_connections: StaleConnections,
        rng: random.Random,
    ) -> None:
        self._connect_timeout_ns = connect_timeout_ns
        self._quotas = quotas
        self._outliers = outliers
        self._slow_start = slow_start
        self._stale_connections = stale_connections
        self._rng = rng

    def record(
        self,
        request: OpenRequest,
        attempt: Attempt,
        server: Server,
        limiter: ConcurrencyLimiter,
        event: AttemptEnded,
        is_cache: bool,
        now: int,
    ) -> None:
        """Record the end of an attempt.

        Args:
            request: The request of the attempt.
            attempt: The attempt, which is no longer counted as in flight.
            server: The server that it was sent to.
            limiter: The limiter that granted its permit.
            event: The event of its end.
            is_cache: Whether it was sent to a cache server and not to the origin.
            now: The current instant in nanoseconds.
        """
        outcome = event.outcome
        is_success = outcome is Outcome.OK or outcome is Outcome.MISS
        is_failure = not (is_success or event.malformed or outcome is Outcome.RESET)
        is_stale = self._stale_connections.explains(outcome, attempt.idle_ns)
        may_indicate_load = outcome not in LOAD_INDEPENDENT_OUTCOMES and not is_stale
        if is_success or (may_indicate_load and not self._outliers.is_unhealthy(server, now)):
            connect_ns = self._connect_timeout_ns if is_cache and attempt.idle_ns is None else 0
            work_ns = request.event.work_ns or 0  # subtracted, as a heavy request does not indicate load
            is_slow = is_failure or event.latency_ns - work_ns - connect_ns > request.slow_after_ns
            result = limiter.record(now, is_slow, attempt.sent_at)
            if result is not RoundResult.RUNNING:
                self._quotas.record_round(result is RoundResult.BAD)
        if is_cache:
            self._stale_connections.record(server, outcome, attempt.idle_ns, now)
            if not event.partly_written:
                server.connect_backoff.record(outcome, now, self._rng)
            if not is_stale:
                expected_ns = request.event.work_ns or limiter.mean_latency_ns(request)
                self._outliers.record(server, expected_ns, event, now, is_failure)
        if outcome is Outcome.OK:
            limiter.record_latency(request, event.latency_ns)
            if is_cache:
                self._slow_start.record_served(server.endpoint, request.work, now)
