"""Builds the settings of a node, in the platform's format, from the scenario."""

from typing import Any

from flintridge.lab.scenario.model import Goal, Limits, Prices, RequestClass, Rules, Scenario
from flintridge.lab.world.memcache import MAX_PIPELINED

ORIGIN_KIND = "origin"
"""Name of the origin's kind, which is added to the scenario's kinds."""

OVER_QUOTA_WEIGHT = 0.05  # fraction of the priority weight, for requests beyond the quota of their tenant
TICK_MS = 5.0
_EFFECTS = {"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}

Settings = dict[str, Any]
"""Settings in the platform's format; durations are in nanoseconds."""


def node_settings(scenario: Scenario, fleet_size: int, index: int, zone: str) -> Settings:
    """Return the `settings` object of a node.

    Args:
        scenario: The scenario.
        fleet_size: Number of nodes.
        index: Position of the node among all nodes, from 0.
        zone: Zone of the node.

    Raises:
        ValueError: The scenario has no such zone.
    """
    kinds = [kind.name for kind in scenario.kinds]
    return {
        "clientHabits": {"marksRetry": scenario.clients.marks_retry},
        "discovery": "on_request",
        "family": "cache",
        "familyInfo": _family(scenario, len(kinds)),
        "fleetSize": fleet_size,
        "goal": _goal(scenario.goal),
        "kinds": [*kinds, ORIGIN_KIND],
        "overShareWorth": OVER_QUOTA_WEIGHT,
        "permissions": _permissions(scenario),
        "prices": _prices(scenario.prices),
        "report": _report(scenario.limits),
        "rules": _rules(scenario.rules),
        "selfIndex": index,
        "services": [_service(cls) for cls in scenario.classes],
        "tenants": _tenants(scenario),
        "tickNs": _ns(TICK_MS),
        "tier": 0,
        "tiers": ["caches"],
        "weights": "nominal",
        "worthBy": "request",
        "zone": scenario.zones.index(zone),
        "zones": list(scenario.zones),
    }


def _ns(ms: float) -> int:
    return round(ms * 1_000_000)


def _family(scenario: Scenario, origin_kind: int) -> Settings:
    return {
        "mode": "aside",
        "originKind": origin_kind,
        "originFallMultiple": scenario.origin.fall_multiple,
        "originFallNs": _ns(scenario.origin.fall_ms),
        "reportX0": "the share of hits of late",
    }


def _service(cls: RequestClass) -> Settings:
    return {
        "name": cls.name,
        "effect": _EFFECTS[cls.effect],
        "group": cls.deduplication_scope,
        "windowNs": _ns(cls.deduplication_window_ms),
        "sloNs": _ns(cls.latency_objective_ms),
        "hardLimitNs": _ns(cls.deadline_ms),
        "lateShare": cls.late_weight_fraction,
        "points": cls.priority_weight,
        "stream": False,
    }


def _tenants(scenario: Scenario) -> list[Settings]:
    total = sum(tenant.share for tenant in scenario.tenants)
    return [
        {"name": tenant.name, "quotaPerS": tenant.quota_per_s, "share": tenant.share / total}
        for tenant in scenario.tenants
    ]


def _permissions(scenario: Scenario) -> Settings:
    limits = scenario.limits
    return {
        "attemptsCap": limits.max_attempts,
        "parallelTries": limits.hedged_requests,
        "cancel": limits.cancel,
        "probes": limits.health_checks,
        "mayTell": limits.peer_messages,
        "retryAfter": limits.retry_after,
        "maxRetryAfterNs": _ns(limits.max_retry_after_ms),
        "maxOpen": limits.max_open,
        "connectTimeoutNs": _ns(limits.connect_timeout_ms),
        "connIdleNs": _ns(1000 * min(kind.idle_s for kind in scenario.kinds)),
        "streamsPerConn": MAX_PIPELINED,
    }


def _report(limits: Limits) -> Settings:
    return {"how": "probe" if limits.health_checks else "none", "names": ["qps", "util", "x0"]}


def _rules(rules: Rules) -> Settings:
    return {
        "answerSlackNs": _ns(rules.answer_slack_ms),
        "askWithinNs": _ns(1000 * rules.poll_interval_s),
        "drainGraceNs": _ns(rules.drain_grace_ms),
        "fallMultiple": rules.overload_multiple,
        "fallNs": _ns(rules.overload_window_ms),
        "coldShare": rules.slow_start_fraction,
        "coldNs": _ns(1000 * rules.slow_start_s),
    }


def _prices(prices: Prices) -> dict[str, float]:
    named = {
        "crossZone": prices.cross_zone,
        "waste": prices.waste,
        "lateFail": prices.late_fail,
        "probe": prices.probe,
    }
    free = ("connection", "discovery", "handshake", "moves", "origin", "peer")
    return named | dict.fromkeys(free, 0.0)


def _goal(goal: Goal) -> dict[str, float]:
    return {
        "whole": goal.whole,
        "worstWindow": goal.worst_window,
        "worstClass": goal.worst_class,
        "worstTenant": goal.worst_tenant,
    }
