"""Measures the demand for each fleet-wide limit, from the requests and attempts that the core reports."""

import contextlib

from flintridge.core.request import UpstreamAttempt
from flintridge.discovery.endpoint_list import EndpointList, EndpointNotListedError
from flintridge.leases.configured_limits import ConfiguredLimits
from flintridge.leases.demand import RequestRate
from flintridge.leases.lease_manager import LeaseManager


class DemandMeter:
    """Counts requests and attempts, and reports the demand for each limit. Times are float milliseconds."""

    def __init__(
        self,
        limits: ConfiguredLimits,
        even_quotas: dict[int, float],
        endpoints: EndpointList,
        now: float,
    ) -> None:
        """Start counting at `now`.

        Args:
            limits: The leased limits.
            even_quotas: Even fraction of each tenant's quota in requests a second, by the tenant's position.
            endpoints: The endpoint list, which shows whether a server is an origin.
            now: The current time.
        """
        self._quota_names = limits.quota_names
        self._permits = limits.permits
        self._even_quotas = even_quotas
        self._endpoints = endpoints
        self._tenant_rates = {tenant: RequestRate(now) for tenant in limits.quota_names}
        self._request_rate = RequestRate(now)

    def on_new_request(self, tenant: int) -> None:
        """Count a new request of the tenant at that position."""
        self._request_rate.add()
        rate = self._tenant_rates.get(tenant)
        if rate is not None:
            rate.add()

    def on_attempts_changed(self, attempt: UpstreamAttempt, change: int) -> None:
        """Record that an attempt has begun (`change` is positive) or ended (`change` is negative)."""
        if change < 0:
            for usage in self._permits.values():
                usage.end(attempt)
            return
        with contextlib.suppress(EndpointNotListedError):  # an attempt to an unlisted server can't be sent
            limited = self._permits.get(self._endpoints[attempt.server].origin)
            if limited is not None:
                limited.start(attempt)

    def report(self, now: float, manager: LeaseManager) -> None:
        """Report the request rate and, unless the process is shutting down, the demand for each limit."""
        self._request_rate.update(now)
        manager.requests_per_s = self._request_rate.per_s
        for tenant, rate in self._tenant_rates.items():
            rate.update(now)
            if not manager.shutting_down:
                manager.set_demand(self._quota_names[tenant], rate.per_s / self._even_quotas[tenant])
        for usage in self._permits.values():
            peak = usage.update_peak(now)
            if not manager.shutting_down:
                manager.set_demand(usage.limit.name, peak)

    def used(self, name: str) -> float:
        """Recent use of a limit, in its unit; the request rate if the limit's demand follows from that."""
        for usage in self._permits.values():
            if usage.limit.name == name:
                return float(usage.count)
        for tenant, quota_name in self._quota_names.items():
            if quota_name == name:
                return self._tenant_rates[tenant].per_s
        return self._request_rate.per_s
