"""Mapping of the platform's settings, a JSON object, to the policy's `flintridge.api.Settings`."""

from collections.abc import Mapping
from typing import Any

from flintridge import api

EFFECTS: Mapping[str, api.Effect] = {
    "retryable": api.Effect.SAFE,
    "dedup": api.Effect.KEYED,
    "fragile": api.Effect.UNSAFE,
}

# These tables map keys of the JSON to fields of `flintridge.api`; other keys are ignored.
CLASS_KEYS: Mapping[str, str] = {
    "name": "name",
    "sloNs": "latency_objective_ns",
    "hardLimitNs": "deadline_ns",
    "points": "priority_weight",
    "lateShare": "late_weight_fraction",
    "effect": "effect",
    "group": "deduplication_scope",
    "windowNs": "deduplication_window_ns",
    "stream": "stream",
    "aimStretch": "objective_work_factor",
}
TENANT_KEYS: Mapping[str, str] = {"name": "name", "quotaPerS": "quota_per_s", "share": "share"}
RULE_KEYS: Mapping[str, str] = {
    "answerSlackNs": "answer_slack_ns",
    "askWithinNs": "poll_interval_ns",
    "drainGraceNs": "drain_grace_ns",
    "coldShare": "slow_start_fraction",
    "coldNs": "slow_start_ns",
    "fallMultiple": "overload_multiple",
    "fallNs": "overload_window_ns",
}
LIMIT_KEYS: Mapping[str, str] = {
    "attemptsCap": "max_attempts",
    "parallelTries": "hedged_requests",
    "cancel": "cancel",
    "probes": "health_checks",
    "mayTell": "peer_messages",
    "retryAfter": "retry_after",
    "maxRetryAfterNs": "max_retry_after_ns",
    "maxOpen": "max_open",
    "connectTimeoutNs": "connect_timeout_ns",
    "connIdleNs": "conn_idle_ns",
}
PRICE_KEYS: Mapping[str, str] = {
    "crossZone": "cross_zone",
    "waste": "waste",
    "lateFail": "late_fail",
    "connection": "connection",
    "handshake": "handshake",
    "origin": "origin",
    "probe": "probe",
    "peer": "peer",
    "moves": "moves",
    "discovery": "discovery",
}
GOAL_KEYS: Mapping[str, str] = {
    "whole": "whole",
    "worstWindow": "worst_window",
    "worstClass": "worst_class",
    "worstTenant": "worst_tenant",
    "tail": "tail",
    "tailSlack": "tail_slack",
    "availability": "availability",
    "fullAtNines": "full_at_nines",
}
SETTINGS_KEYS: Mapping[str, str] = {
    "fleetSize": "fleet_size",
    "selfIndex": "self_index",
    "zone": "zone",
    "overShareWorth": "over_quota_weight",
}


def settings_from(config: dict[str, Any]) -> api.Settings:
    """Build the policy's settings.

    Args:
        config: The decoded JSON object; missing and null keys have the defaults of `flintridge.api`.

    Raises:
        ValueError, KeyError, TypeError, AttributeError: A value has the wrong type or is not allowed.
    """
    family = config.get("familyInfo", {})
    values = _renamed(config, SETTINGS_KEYS)
    if config.get("services"):
        values["classes"] = tuple(_request_class(service) for service in config["services"])
    tenants = config.get("tenants") or ()
    return api.Settings(
        **values,
        tenants=tuple(api.Tenant(**_renamed(tenant, TENANT_KEYS)) for tenant in tenants),
        rules=api.Rules(**_renamed(config.get("rules", {}), RULE_KEYS)),
        limits=api.Limits(**_renamed(config.get("permissions", {}), LIMIT_KEYS)),
        prices=api.Prices(**_renamed(config.get("prices", {}), PRICE_KEYS)),
        goal=api.Goal(**_renamed(config.get("goal", {}), GOAL_KEYS)),
        discovery=api.DiscoveryMode(config.get("discovery", "pushed")),
        mode=api.CacheMode(family.get("mode", "through")),
        origin_kind=family.get("originKind", -1),
        load_reporting=api.LoadReporting(config.get("report", {}).get("how", "none")),
        weight_by_work=config.get("worthBy") == "work",
    )


def _request_class(service: dict[str, Any]) -> api.RequestClass:
    values = _renamed(service, CLASS_KEYS)
    if "effect" in values:
        values["effect"] = EFFECTS[values["effect"]]
    if "deduplication_scope" in values:
        values["deduplication_scope"] = api.DeduplicationScope(values["deduplication_scope"])
    return api.RequestClass(**values)


def _renamed(source: dict[str, Any], fields_by_key: Mapping[str, str]) -> dict[str, Any]:
    return {field: source[key] for key, field in fields_by_key.items() if source.get(key) is not None}
