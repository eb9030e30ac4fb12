"""The mechanisms of one node, put together: each with those that it asks."""

import random

from flintridge import api
from flintridge.policy.admission_queue import AdmissionQueues
from flintridge.policy.attempt_feedback import AttemptFeedback
from flintridge.policy.attempt_timeout import AttemptTimeout
from flintridge.policy.endpoint_state import ServerTable
from flintridge.policy.outlier_detection import OutlierDetection
from flintridge.policy.quota import Quotas
from flintridge.policy.rejected_requests import RejectedRequests
from flintridge.policy.request_coalescing import RequestCoalescing
from flintridge.policy.retry import RetryPolicy
from flintridge.policy.server_selection import ServerSelection
from flintridge.policy.slow_start import SlowStartBudget
from flintridge.policy.stale_connections import StaleConnections
from flintridge.policy.watch_backoff import WatchBackoff


class Mechanisms:
    """All that a node's decisions know.

    Attributes:
        settings: Given at the start.
        rng: The source of all rng, in the order of events.
        watch_backoff: How long until discovery is called again.
        table: The servers.
        servers: Of the table, by name.
        ready: The cache servers that can be picked, by name.
        queues: Who waits for a permit.
        cache_limiter: The limiter of attempts at the cache servers.
        origin_limiter: The limiter of attempts at the origin.
        quotas: Of tenants.
        rejected: Requests that were rejected before.
        outliers: The health of servers.
        slow_start: What servers that are warming up may be sent.
        selection: Which cache server is next.
        coalescing: Fetches at the origin, and who follows them.
        stale_connections: Which idle connections are closed.
        retries: Whether, where and until when a request is sent again.
        attempt_timeout: How long a response is waited for.
        feedback: What the end of an attempt tells the others.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        origin_kind = settings.origin_kind if settings.mode is api.CacheMode.ASIDE else None
        limits = settings.limits
        self.settings = settings
        self.rng = rng
        self.watch_backoff = WatchBackoff(settings.discovery, rng)
        self.table = ServerTable(origin_kind, settings.rules)
        self.servers = self.table.servers
        self.ready = self.table.ready
        self.queues = AdmissionQueues(origin_kind)
        self.cache_limiter = self.queues.caches.limiter
        self.origin_limiter = self.queues.origin.limiter
        self.quotas = Quotas(settings.tenants, settings.fleet_size, rng)
        self.rejected = RejectedRequests(settings.classes, limits.max_open)
        self.outliers = OutlierDetection(self.table, settings.rules)
        self.slow_start = SlowStartBudget(settings, self.table, rng)
        self.selection = ServerSelection(self.table, self.cache_limiter, self.outliers, self.slow_start)
        self.coalescing = RequestCoalescing()
        self.stale_connections = StaleConnections(limits.conn_idle_ns)
        drain_grace_ns = settings.rules.drain_grace_ns
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
