"""Creates the mechanisms of one node and connects those that depend on each other."""

import random

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueues
from flintridge.policy.attempt_feedback import AttemptFeedback
from flintridge.policy.attempt_timeout import AttemptTimeout
from flintridge.policy.endpoint_state import ServerTable
from flintridge.policy.outlier_detection import OutlierDetection
from flintridge.policy.quota import Quotas
from flintridge.policy.request_coalescing import RequestCoalescing
from flintridge.policy.retry import RetryPolicy
from flintridge.policy.server_selection import ServerSelection
from flintridge.policy.slow_start import SlowStartBudget
from flintridge.policy.stale_connections import StaleConnections
from flintridge.policy.time_budget import TimeBudget
from flintridge.policy.watch_backoff import WatchBackoff


class Mechanisms:
    """The mechanisms of one node and the state that they share.

    Attributes:
        settings: The settings of the policy.
        rng: The only source of randomness; the order of events determines the order of draws.
        watch_backoff: Decides when to call discovery again after a failure.
        table: The table of servers.
        servers: The servers of the table, by name.
        ready: The cache servers that can be picked, by name.
        queues: The queues of requests that wait for a permit.
        cache_limiter: The concurrency limiter of attempts at the cache servers.
        origin_limiter: The concurrency limiter of attempts at the origin.
        time_budget: Divides the time of clients among attempts.
        quotas: The quotas of tenants.
        outliers: Tracks the health of servers.
        slow_start: Limits the work for servers that are warming up.
        selection: Picks the cache server for an attempt.
        coalescing: Keeps the fetches in flight at the origin and the requests that wait for them.
        stale_connections: Decides which idle connections are closed.
        retries: Decides whether, where and until when a request is sent again.
        attempt_timeout: Decides how long to wait for a response.
        feedback: Reports the end of an attempt to the other mechanisms.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        origin_kind = settings.origin_kind if settings.mode is api.CacheMode.ASIDE else None
        limits = settings.limits
        self.settings = settings
        self.rng = rng
        drain_grace_ns = settings.rules.drain_grace_ns
        self.watch_backoff = WatchBackoff(settings.discovery, rng, drain_grace_ns)
        self.table = ServerTable(origin_kind, settings.rules)
        self.servers = self.table.servers
        self.ready = self.table.ready
        self.queues = AdmissionQueues(origin_kind)
        self.cache_limiter = self.queues.caches.limiter
        self.origin_limiter = self.queues.origin.limiter
        self.time_budget = TimeBudget(has_origin=origin_kind is not None)
        self.quotas = Quotas(settings.tenants, settings.fleet_size, rng)
        self.outliers = OutlierDetection(self.table, settings.rules)
        self.slow_start = SlowStartBudget(settings, self.table, rng)
        self.selection = ServerSelection(self.table, self.cache_limiter, self.outliers, self.slow_start)
        self.coalescing = RequestCoalescing()
        self.stale_connections = StaleConnections(limits.conn_idle_ns)
        self.retries = RetryPolicy(limits.max_attempts, drain_grace_ns, has_origin=origin_kind is not None)
        self.attempt_timeout = AttemptTimeout(self.retries, self.stale_connections)
        self.feedback = AttemptFeedback(
            limits.connect_timeout_ns,
            self.quotas,
            self.outliers,
            self.slow_start,
            self.stale_connections,
            rng,
        )
