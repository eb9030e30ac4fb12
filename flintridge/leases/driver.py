"""Drives the lease manager: its timer, its messages in the peers' datagrams, its updates to the policy.

The driver makes no decisions and only counts requests. The policy decides on each request within the amounts
of the last update that it received.
"""

import math
from collections.abc import Callable
from dataclasses import replace
from random import Random

from flintridge import api
from flintridge.config.node_config import BudgetsConfig
from flintridge.core.admin_routes import AdminResponse
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.discovery.endpoint_list import EndpointList
from flintridge.leases.configured_limits import configured_limits
from flintridge.leases.demand_meter import DemandMeter
from flintridge.leases.fleet_limit import FLOORS, RETRIES, SLOW_START
from flintridge.leases.lease_manager import LeaseManager
from flintridge.leases.status import limit_status
from flintridge.membership.driver import MembershipDriver
from flintridge.runtime.clock import NS_PER_MS, Clock, Timer
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK_MS = 50.0
# Time within which the older processes of this node have noticed that another one runs.
NOTICE_MS = 4 * COUNT_INTERVAL_MS
RETRIES_INDEX = -1  # key of the allocation of retries in `AllocationUpdate.tenants`
ROUNDING_TOLERANCE = 1e-9  # a permit counts as whole if no more than this fraction of it is missing


class LeaseDriver:
    """The leases of one process with their I/O and timers. Times are float milliseconds of `clock`.

    Attributes:
        config: The table [budgets].
        manager: Decides which leases to request, grant and release.
    """

    def __init__(
        self,
        config: BudgetsConfig,
        settings: api.Settings,
        even_quotas: dict[int, float],
        membership: MembershipDriver,
        endpoints: EndpointList,
        core: RequestLifecycle,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        entropy: Callable[[int], bytes],
    ) -> None:
        """Register with the peers and the core; the policy is not notified before `start`.

        Args:
            config: The table [budgets].
            settings: The policy's settings.
            even_quotas: Even fraction of each tenant's quota in requests a second, by the tenant's position.
            membership: Exchanges datagrams with the peers.
            endpoints: The endpoint list, which shows whether a server is an origin.
            core: Reports requests and attempts, and passes updates to the policy.
            clock: The process's clock.
            log: The process's log.
            counters: The process's counters.
            entropy: Returns the given number of random bytes.
        """
        self.config = config
        self._clock = clock
        self._log = log
        self._counters = counters
        self._membership = membership
        self._core = core
        self._retries_per_s = config.retries_per_s / settings.fleet_size
        now = clock.now()
        limits = configured_limits(config, settings, even_quotas, now)
        self._quota_names = limits.quota_names
        self._permits = limits.permits
        self._demand = DemandMeter(limits, even_quotas, endpoints, now)
        self._last_update: api.AllocationUpdate | None = None
        self._process_count = 1
        self._started = False
        self._timer: Timer | None = None
        peers = tuple(name for name, _ in membership.config.known if name != membership.name)
        rng = Random(entropy(16))
        self.manager = LeaseManager(peers, limits.all(), config.bytes_per_s, now, rng, log.event)
        self._register()

    def _register(self) -> None:
        for usage in self._permits.values():
            self.manager.track_usage(usage.limit.name, usage.even_fractions)
        self._membership.failure_detector.register_topic(self.manager)
        self._core.on_new_request = self._demand.on_new_request
        if self._permits:
            self._core.on_attempts_changed = self._demand.on_attempts_changed

    def start(self) -> None:
        """Notify the policy of the usable amounts, now and at each change."""
        self._started = True
        names = list(self.manager.accounts)
        self._log.event("leases_started", names=names, floor=self.config.floor, lease_ms=self.config.lease_ms)
        self._tick()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def begin_shutdown(self) -> None:
        """Release acquired leases, and let others lease this process's entitlement beyond its floor."""
        self.manager.begin_shutdown(self._clock.now())
        self._send_messages()

    def process_count_changed(self, count: int) -> None:
        """Apply the number of processes of this node that run, this one included."""
        now = self._clock.now()
        notice_ms = NOTICE_MS if count > self._process_count and not self._started else 0.0
        self.manager.process_count_changed(now, count, notice_ms)
        self._process_count = count
        if self._started:
            self._notify_policy()

    def _tick(self) -> None:
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK_MS, self._tick)
        try:
            self._demand.report(now, self.manager)
            self.manager.tick(now)
            self._send_messages()
            self._notify_policy()
        except Exception as error:  # the node must go on serving, whatever fails here
            self._counters.add("leases_errors")
            self._log.error("leases_failed", error)

    def _send_messages(self) -> None:
        members = self._membership.failure_detector.table
        for receiver in self.manager.receivers():
            member = members.find(receiver.name, receiver.incarnation)
            if member is None or not member.reachable:
                self.manager.drop_messages(receiver)
            else:
                self._membership.send_payloads(member)

    def _notify_policy(self) -> None:
        """Send the policy an update if the usable amounts have changed.

        The update also contains the amounts that apply from the first expiry of a lease on, in case no other
        update is sent before.
        """
        now = self._clock.now()
        manager = self.manager
        expiry = manager.first_expiry(now)
        update = self._update(lambda name: manager.usable(name, now))
        if expiry != float("inf"):
            fallback = self._update(lambda name: manager.usable_without_leases(name, now))
            update = replace(update, valid_until=int(expiry * NS_PER_MS), fallback=fallback)
        if update != self._last_update:
            self._last_update = update
            self._core.notify(update)

    def _update(self, usable: Callable[[str], float]) -> api.AllocationUpdate:
        """Build an update; `usable` returns the usable amount of a limit in even fractions."""
        amounts = {name: usable(name) for name in self.manager.accounts}
        tenants = {tenant: amounts[name] for tenant, name in self._quota_names.items()}
        if self._retries_per_s:
            tenants[RETRIES_INDEX] = amounts[RETRIES]
        return api.AllocationUpdate(
            tenants=tenants,
            concurrency_floors=amounts.get(FLOORS, 1.0),
            slow_start=amounts.get(SLOW_START, 1.0),
            cache_permits=self._permit_count(amounts, origin=False),
            origin_permits=self._permit_count(amounts, origin=True),
            retries_per_s=self._retries_per_s,
            retries_per_attempt=self.config.retries_per_attempt if self._retries_per_s else 0.0,
            strict_quotas=self.config.strict,
        )

    def _permit_count(self, amounts: dict[str, float], *, origin: bool) -> float:
        usage = self._permits.get(origin)
        if usage is None:
            return math.inf
        limit = usage.limit
        return math.floor(amounts[limit.name] * limit.total / limit.nodes + ROUNDING_TOLERANCE)

    # The admin API and counters

    def admin_status(self) -> AdminResponse:
        """Respond to GET /admin/budgets."""
        now = self._clock.now()
        reachable = self._membership.reachability
        fields = {
            "name": self._membership.name,
            "life": f"{self._membership.incarnation:x}",
            "alone": self._process_count == 1,
            "heard": reachable.reachable,
            "of": reachable.names,
            "lease_ms": self.config.lease_ms,
            "floor": self.config.floor,
            "strict": self.config.strict,
            "budgets": [
                limit_status(account, self._demand.used(name), now)
                for name, account in self.manager.accounts.items()
            ],
            "counts": {name: self.manager.counts[name] for name in sorted(self.manager.counts)},
        }
        return AdminResponse(200, fields)

    def publish_counters(self) -> None:
        """Update the process's counters to the manager's counts."""
        for name, count in self.manager.counts.items():
            counter = f"leases_{name}"
            self._counters.add(counter, count - self._counters[counter])
