"""Checks a scenario for contradictions that its types cannot rule out, such as unknown names."""

from collections.abc import Iterator
from typing import Any

from flintridge.config.fleet_validation import BUDGET_SWITCHES, PERMIT_LEASE_MARGIN_MS
from flintridge.lab.faults.check_faults import check_fault
from flintridge.lab.faults.check_wording import duplicate_names, unknown_name
from flintridge.lab.scenario import model as m
from flintridge.lab.world.settings import ORIGIN_KIND


def check(scenario: m.Scenario) -> list[str]:
    """Return all contradictions of a scenario, each as `path: what is wrong; what is allowed`.

    Args:
        scenario: The decoded scenario.
    """
    found: list[str] = []
    found.extend(_check_names(scenario))
    found.extend(_check_fleet(scenario))
    found.extend(_check_classes(scenario))
    found.extend(_check_budgets(scenario))
    found.extend(_check_spans(scenario, ""))
    for i, fault in enumerate(scenario.faults):
        found.extend(f"faults[{i}].{text}" for text in check_fault(scenario, fault))
    return found


def _check_names(scenario: m.Scenario) -> Iterator[str]:
    yield from duplicate_names("zones", scenario.zones)
    yield from duplicate_names("kinds", [kind.name for kind in scenario.kinds])
    yield from duplicate_names("classes", [request_class.name for request_class in scenario.classes])
    yield from duplicate_names("tenants", [tenant.name for tenant in scenario.tenants])
    for i, kind in enumerate(scenario.kinds):
        if kind.name == ORIGIN_KIND:
            yield f"kinds[{i}].name: {ORIGIN_KIND!r} is reserved for the origin; any other name is allowed"
    for i, zone in enumerate(scenario.nodes.zones):
        yield from unknown_name(f"nodes.zones[{i}]", zone, scenario.zones, "zone")
    for i, tenant in enumerate(scenario.tenants):
        yield from unknown_name(f"tenants[{i}].zone", tenant.zone, scenario.zones, "zone")
    yield from unknown_name("origin.zone", scenario.origin.zone, scenario.zones, "zone")
    yield from unknown_name("discovery.zone", scenario.discovery.zone, scenario.zones, "zone")


def _check_fleet(scenario: m.Scenario) -> Iterator[str]:
    kinds = [kind.name for kind in scenario.kinds]
    for i, group in enumerate(scenario.servers):
        yield from unknown_name(f"servers[{i}].kind", group.kind, kinds, "kind")
        yield from unknown_name(f"servers[{i}].zone", group.zone, scenario.zones, "zone")
    if not any(group.count for group in scenario.servers):
        yield "servers: there are no servers; at least one group needs a count above 0"
    rules = scenario.rules
    for i, kind in enumerate(scenario.kinds):
        if kind.cold_from < rules.slow_start_fraction:
            yield (
                f"kinds[{i}].cold_from: {kind.cold_from:g} is below rules.cold_share, the guaranteed minimum;"
                f" allowed is {rules.slow_start_fraction:g} to 1"
            )
        if kind.cold_s > rules.slow_start_s:
            yield (
                f"kinds[{i}].cold_s: {kind.cold_s:g} is more than rules.cold_s, the guaranteed maximum;"
                f" allowed is 0 to {rules.slow_start_s:g}"
            )


def _check_classes(scenario: m.Scenario) -> Iterator[str]:
    repeats_ms = scenario.origin.repeats_s * 1000
    for i, request_class in enumerate(scenario.classes):
        if request_class.latency_objective_ms > request_class.deadline_ms:
            yield (
                f"classes[{i}].aim_ms: {request_class.latency_objective_ms:g} is more than the deadline;"
                f" allowed is up to deadline_ms ({request_class.deadline_ms:g})"
            )
        if request_class.effect == "keyed" and 0 < repeats_ms < request_class.deduplication_window_ms:
            yield (
                f"classes[{i}].window_ms: {request_class.deduplication_window_ms:g}"
                " is longer than the origin remembers a write's key;"
                f" allowed is up to origin.repeats_s ({repeats_ms:g} ms)"
            )


def _check_budgets(scenario: m.Scenario) -> Iterator[str]:
    budgets = scenario.budgets
    if budgets is None:
        return
    yield from _check_budget_bytes(scenario, budgets)
    values = budgets.by_key()
    if not any(values[key] for key in BUDGET_SWITCHES):
        yield f"budgets: no limit is enabled; one of {', '.join(BUDGET_SWITCHES)} must be set"
    if budgets.tenants and not any(tenant.quota_per_s for tenant in scenario.tenants):
        yield "budgets.tenants: no tenant has a quota_per_s above 0; false is allowed"
    if budgets.strict and not budgets.tenants:
        yield "budgets.strict: quotas are not leased; it must be false while budgets.tenants is"
    yield from _check_budget_permits(scenario, budgets)


def _check_budget_bytes(scenario: m.Scenario, budgets: m.Budgets) -> Iterator[str]:
    if scenario.peers is None:
        yield "budgets: nodes lease limits to their peers only; the scenario needs a table [peers]"
        return
    max_bytes_per_s = scenario.peers.bytes_per_s / 4
    if budgets.bytes_per_s > max_bytes_per_s:
        yield (
            f"budgets.bytes_per_s: {budgets.bytes_per_s:g} is more than a quarter of peers.bytes_per_s;"
            f" allowed is up to {max_bytes_per_s:g}"
        )


def _check_budget_permits(scenario: m.Scenario, budgets: m.Budgets) -> Iterator[str]:
    max_deadline_ms = max(request_class.deadline_ms for request_class in scenario.classes)
    min_lease_ms = max_deadline_ms + PERMIT_LEASE_MARGIN_MS
    values = budgets.by_key()
    for key in ("cache_places", "origin_places"):
        permits = values[key]
        if 0 < permits < scenario.nodes.count:
            yield (
                f"budgets.{key}: {permits} is less than one per node;"
                f" allowed is 0, or at least {scenario.nodes.count}"
            )
        if permits and budgets.lease_ms < min_lease_ms:
            yield (
                f"budgets.lease_ms: {budgets.lease_ms:g} is too short for permits, which are in use as long"
                f" as a client waits; allowed is {min_lease_ms:g} and more"
            )


def _check_spans(table: m.Table, path: str) -> Iterator[str]:
    """Yield a contradiction for each span in the table, at any depth, whose low end is above the high end."""
    for name, value in table.by_key().items():
        path_of_value = f"{path}.{name}".lstrip(".")
        if isinstance(value, m.Table):
            yield from _check_spans(value, path_of_value)
        elif isinstance(value, tuple):
            for i, element in enumerate(value):
                if isinstance(element, m.Table):
                    yield from _check_spans(element, f"{path_of_value}[{i}]")
            if name != "nodes" and _is_span(value) and value[0] > value[1]:
                low, high = value
                yield f"{path_of_value}: {low:g} is above {high:g}; the first must not be above the second"


def _is_span(value: tuple[Any, ...]) -> bool:
    return len(value) == 2 and all(isinstance(end, (int, float)) for end in value)
