"""The fleet-wide limits of a node's configuration."""

from dataclasses import dataclass, replace

from flintridge import api
from flintridge.config.node_config import BudgetsConfig
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
from flintridge.leases.permits import PermitUsage
from flintridge.runtime.clock import to_ms


@dataclass(slots=True, frozen=True)
class ConfiguredLimits:
    """The fleet-wide limits of which a node leases parts.

    Attributes:
        quota_names: Names of the limits on tenants' quotas, by the tenant's position in the settings.
        rates: Limits on rates.
        permits: Limits on attempts in flight with their usage, by whether the attempts are at the origin.
    """

    quota_names: dict[int, str]
    rates: tuple[FleetLimit, ...]
    permits: dict[bool, PermitUsage]

    def all(self) -> tuple[FleetLimit, ...]:
        """All limits, in the order in which processes report them."""
        return (*self.rates, *(usage.limit for usage in self.permits.values()))


def configured_limits(
    config: BudgetsConfig, settings: api.Settings, even_quotas: dict[int, float], now: float
) -> ConfiguredLimits:
    """Build the limits that a node's configuration enables.

    Args:
        config: The table [budgets].
        settings: The policy's settings.
        even_quotas: Even fraction of each tenant's quota in requests a second, by the tenant's position.
        now: The current time in milliseconds.
    """
    quota_names = _quota_names(config, settings, even_quotas)
    return ConfiguredLimits(
        quota_names=quota_names,
        rates=_rate_limits(config, settings, quota_names, even_quotas),
        permits=_permit_usages(config, settings, now),
    )


def _quota_names(
    config: BudgetsConfig, settings: api.Settings, even_quotas: dict[int, float]
) -> dict[int, str]:
    """Names of the limits on tenants' quotas, by the tenant's position."""
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
) -> tuple[FleetLimit, ...]:
    """Build the limits on rates."""
    terms = _terms(config)
    nodes = settings.fleet_size
    limits = [
        FleetLimit(name, even_quotas[tenant] * nodes, "requests a second", nodes, terms)
        for tenant, name in quota_names.items()
    ]
    if config.floors:
        limits.append(FleetLimit(FLOORS, float(nodes), "even parts", nodes, terms))
    if config.slow_start:
        limits.append(FleetLimit(SLOW_START, float(nodes), "even parts", nodes, terms))
    if config.retries_per_s:
        limits.append(FleetLimit(RETRIES, config.retries_per_s, "repeats a second", nodes, terms))
    return tuple(limits)


def _permit_usages(config: BudgetsConfig, settings: api.Settings, now: float) -> dict[bool, PermitUsage]:
    """Build the limits on attempts in flight, by whether the attempts are at the origin."""
    # An attempt that is in flight when its lease expires may go on until the deadline of its request.
    completion_ms = max(to_ms(request_class.deadline_ns) for request_class in settings.classes)
    nodes = settings.fleet_size
    usages = {}
    for origin, name, count in (
        (False, CACHE_PERMITS, config.cache_permits),
        (True, ORIGIN_PERMITS, config.origin_permits),
    ):
        if count:
            terms = replace(_terms(config), completion_ms=completion_ms)
            limit = FleetLimit(name, float(count), "places", nodes, terms)
            usages[origin] = PermitUsage(limit, now)
    return usages
