"""What a node's requests and attempts need of each fleet-wide limit, as the request core reports them."""

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
        """Counting begins at `now`.

        Args:
            limits: The limits that are leased.
            even_quotas: An even fraction of each tenant's quota, in requests a second, by position.
            endpoints: Which servers are the origin.
            now: The time.
        """
        self._quota_names = limits.quota_names
        self._permits = limits.permits
        self._even_quotas = even_quotas
        self._endpoints = endpoints
        self._tenant_rates = {tenant: RequestRate(now) for tenant in limits.quota_names}
        self._request_rate = RequestRate(now)

    def on_new_request(self, tenant: int) -> None:
        """A request of a tenant, by position, was received."""
        self._request_rate.add()
        rate = self._tenant_rates.get(tenant)
        if rate is not None:
            rate.add()

    def on_attempts_changed(self, attempt: UpstreamAttempt, change: int) -> None:
        """An attempt began, where `change` is positive, or has ended."""
        if change < 0:
            for usage in self._permits.values():
                usage.end(attempt)
            return
        with contextlib.suppress(EndpointNotListedError):  # it cannot be sent
            limited = self._permits.get(self._endpoints[attempt.server].origin)
            if limited is not None:
                limited.start(attempt)

    def report(self, now: float, manager: LeaseManager) -> None:
        """Report the request rate and the demand for each limit; no demand of a process that shuts down."""
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
        """What was used of a limit of late, in its unit; requests a second where these show its demand."""
        for usage in self._permits.values():
            if usage.limit.name == name:
                return float(usage.count)
        for tenant, quota_name in self._quota_names.items():
            if quota_name == name:
                return self._tenant_rates[tenant].per_s
        return self._request_rate.per_s
