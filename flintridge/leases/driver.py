"""Drives the lease manager: its timer, its messages over the peers' datagrams, its updates to the policy.

It decides nothing. A request is only counted here, and takes from what the policy was last notified of.
"""

import contextlib
import math
from collections.abc import Callable
from dataclasses import replace
from random import Random

from flintridge import api
from flintridge.config.node_config import BudgetsConfig
from flintridge.core.admin_routes import AdminResponse
from flintridge.core.lifecycle import RequestLifecycle
from flintridge.core.request import UpstreamAttempt
from flintridge.discovery.endpoint_list import EndpointList, EndpointNotListedError
from flintridge.leases.demand import RequestRate
from flintridge.leases.fleet_limit import (
    CACHE_PERMITS,
    EVEN_FRACTION_UNITS,
    FLOORS,
    ORIGIN_PERMITS,
    RETRIES,
    SLOW_START,
    FleetLimit,
    LeaseTerms,
)
from flintridge.leases.lease_manager import LeaseManager
from flintridge.leases.permits import PermitUsage
from flintridge.leases.status import limit_status
from flintridge.membership.driver import MembershipDriver
from flintridge.runtime.clock import NS_PER_MS, Clock, Timer, to_ms
from flintridge.runtime.worker_processes import COUNT_INTERVAL_MS
from flintridge.telemetry.counters import Counters
from flintridge.telemetry.log import EventLog

TICK_MS = 50.0
NOTICE_MS = 4 * COUNT_INTERVAL_MS  # within which an older process of this node has noticed that another runs
RETRIES_INDEX = -1  # of `AllocationUpdate.tenants`, where the policy finds its allocation of retries
ROUNDING = 1e-9  # a permit more is whole if not more than this is missing


class LeaseDriver:
    """The leases of one process, with their I/O and timers. Times are float milliseconds of `clock`.

    Attributes:
        config: The table [budgets].
        manager: Decides on leases.
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
        """Register with the peers and the core; nothing is notified before `start`.

        Args:
            config: The table [budgets].
            settings: The policy's settings.
            even_quotas: An even fraction of each tenant's quota, in requests a second, by position.
            membership: Exchanges datagrams with the peers.
            endpoints: Tells which attempts go to the origin.
            core: Reports requests and attempts, and takes updates.
            clock: The process's clock.
            log: The process's log.
            counters: The process's counters.
            entropy: Returns so many random bytes.
        """
        self.config = config
        self._clock = clock
        self._log = log
        self._counters = counters
        self._membership = membership
        self._endpoints = endpoints
        self._core = core
        self._even_quotas = even_quotas
        self._retries_per_s = config.repeats_per_s / settings.fleet_size
        now = clock.now()
        self._quota_names = _quota_names(config, settings, even_quotas)
        self._permits = _permit_usages(config, settings, now)
        limits = [
            *_rate_limits(config, settings, self._quota_names, even_quotas),
            *(usage.limit for usage in self._permits.values()),
        ]
        self._tenant_rates = {tenant: RequestRate(now) for tenant in self._quota_names}
        self._request_rate = RequestRate(now)
        peers = tuple(name for name, _ in membership.config.known if name != membership.name)
        self.manager = LeaseManager(
            peers, tuple(limits), config.bytes_per_s, now, Random(entropy(16)), log.event
        )
        for usage in self._permits.values():
            self.manager.track_usage(usage.limit.name, usage.even_fractions)
        membership.failure_detector.register_topic(self.manager)
        core.on_new_request = self._on_new_request
        if self._permits:
            core.on_attempts_changed = self._on_attempts_changed
        self._last_update: api.AllocationUpdate | None = None
        self._process_count = 1
        self._started = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Notify the policy of what may be used, from now on at each change."""
        self._started = True
        names = list(self.manager.accounts)
        self._log.event("leases_started", names=names, floor=self.config.floor, lease_ms=self.config.lease_ms)
        self._tick()

    def close(self) -> None:
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def begin_shutdown(self) -> None:
        """Release what is borrowed; others may borrow this node's entitlement beyond its floor."""
        self.manager.begin_shutdown(self._clock.now())
        self._send_messages()

    def process_count_changed(self, count: int) -> None:
        """So many processes of this node run, this one included."""
        now = self._clock.now()
        if count > 1 and self._process_count == 1:
            self.manager.process_joined(now, 0.0 if self._started else NOTICE_MS)
        elif count == 1 and self._process_count > 1:
            self.manager.process_left(now)
        self._process_count = count
        if self._started:
            self._notify_policy()

    def _on_new_request(self, tenant: int) -> None:
        self._request_rate.add()
        rate = self._tenant_rates.get(tenant)
        if rate is not None:
            rate.add()

    def _on_attempts_changed(self, attempt: UpstreamAttempt, change: int) -> None:
        if change < 0:
            for usage in self._permits.values():
                usage.end(attempt)
            return
        with contextlib.suppress(EndpointNotListedError):  # it cannot be sent
            limited = self._permits.get(self._endpoints[attempt.server].origin)
            if limited is not None:
                limited.start(attempt)

    def _tick(self) -> None:
        now = self._clock.now()
        self._timer = self._clock.call_at(now + TICK_MS, self._tick)
        try:
            self._report_demand(now)
            self.manager.tick(now)
            self._send_messages()
            self._notify_policy()
        except Exception as error:  # the node must serve on whatever fails here
            self._counters.add("leases_errors")
            self._log.error("leases_failed", error)

    def _report_demand(self, now: float) -> None:
        self._request_rate.update(now)
        self.manager.requests_per_s = self._request_rate.per_s
        for tenant, rate in self._tenant_rates.items():
            rate.update(now)
            if not self.manager.shutting_down:
                self.manager.set_demand(self._quota_names[tenant], rate.per_s / self._even_quotas[tenant])
        for usage in self._permits.values():
            peak = usage.update_peak(now)
            if not self.manager.shutting_down:
                self.manager.set_demand(usage.limit.name, peak)

    def _send_messages(self) -> None:
        members = self._membership.failure_detector.table
        for receiver in self.manager.receivers():
            member = members.find(receiver.name, receiver.incarnation)
            if member is None or not member.reachable:
                self.manager.drop_messages(receiver)
            else:
                self._membership.send_payloads(member)

    def _notify_policy(self) -> None:
        """Notify of a change of what may be used.

        The update tells as well what holds from the first expiry on if no other update comes before.
        """
        now = self._clock.now()
        manager = self.manager
        expiry = manager.first_expiry(now)
        update = self._update(lambda name: manager.usable(name, now))
        if expiry != float("inf"):
            fallback = self._update(lambda name: manager.usable_after_leases(name, now))
            update = replace(update, valid_until=int(expiry * NS_PER_MS), fallback=fallback)
        if update != self._last_update:
            self._last_update = update
            self._core.notify(update)

    def _update(self, usable: Callable[[str], float]) -> api.AllocationUpdate:
        """The update in which `usable` tells what may be used of a limit, in even fractions."""
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
            retries_per_attempt=self.config.repeat_share if self._retries_per_s else 0.0,
            strict_quotas=self.config.strict,
        )

    def _permit_count(self, amounts: dict[str, float], *, origin: bool) -> float:
        usage = self._permits.get(origin)
        if usage is None:
            return math.inf
        limit = usage.limit
        return math.floor(amounts[limit.name] * limit.total / limit.nodes + ROUNDING)

    # For staff

    def admin_status(self) -> AdminResponse:
        """The response to GET /admin/budgets."""
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
                limit_status(account, self._used(name), now)
                for name, account in self.manager.accounts.items()
            ],
            "counts": {name: self.manager.counts[name] for name in sorted(self.manager.counts)},
        }
        return AdminResponse(200, fields)

    def _used(self, name: str) -> float:
        """What was used of a limit of late, in its unit; requests a second where these tell its demand."""
        for usage in self._permits.values():
            if usage.limit.name == name:
                return float(usage.count)
        for tenant, quota_name in self._quota_names.items():
            if quota_name == name:
                return self._tenant_rates[tenant].per_s
        return self._request_rate.per_s

    def export_counters(self) -> None:
        """Add the manager's counts to the process's counters."""
        for name, count in self.manager.counts.items():
            counter = f"leases_{name}"
            self._counters.add(counter, count - self._counters[counter])


def _quota_names(
    config: BudgetsConfig, settings: api.Settings, even_quotas: dict[int, float]
) -> dict[int, str]:
    """The names of the limits of tenants' quotas, by the tenant's position."""
    return {
        tenant: f"quota {tenant_settings.name}"
        for tenant, tenant_settings in enumerate(settings.tenants)
        if config.tenants and even_quotas.get(tenant)
    }


def _terms(config: BudgetsConfig) -> LeaseTerms:
    floor = max(1, round(config.floor * EVEN_FRACTION_UNITS))
    return LeaseTerms(EVEN_FRACTION_UNITS, floor, config.lease_ms)


def _rate_limits(
    config: BudgetsConfig,
    settings: api.Settings,
    quota_names: dict[int, str],
    even_quotas: dict[int, float],
) -> list[FleetLimit]:
    """The limits on what is done a second."""
    terms = _terms(config)
    nodes = settings.fleet_size
    limits = [
        FleetLimit(name, even_quotas[tenant] * nodes, "requests a second", nodes, terms)
        for tenant, name in quota_names.items()
    ]
    if config.floors:
        limits.append(FleetLimit(FLOORS, float(nodes), "even parts", nodes, terms))
    if config.cold:
        limits.append(FleetLimit(SLOW_START, float(nodes), "even parts", nodes, terms))
    if config.repeats_per_s:
        limits.append(FleetLimit(RETRIES, config.repeats_per_s, "repeats a second", nodes, terms))
    return limits


def _permit_usages(config: BudgetsConfig, settings: api.Settings, now: float) -> dict[bool, PermitUsage]:
    """The limits on attempts in flight, by whether they are at the origin."""
    # What is in flight when a lease expires stays in flight for as long as its client waits.
    completion_ms = max(to_ms(request_class.deadline_ns) for request_class in settings.classes)
    nodes = settings.fleet_size
    usages = {}
    for origin, name, count in (
        (False, CACHE_PERMITS, config.cache_places),
        (True, ORIGIN_PERMITS, config.origin_places),
    ):
        if count:
            terms = replace(_terms(config), completion_ms=completion_ms)
            limit = FleetLimit(name, float(count), "places", nodes, terms)
            usages[origin] = PermitUsage(limit, now)
    return usages
