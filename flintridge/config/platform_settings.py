"""The platform's settings, a JSON object, as settings of the policy."""

from typing import Any

from flintridge import api

EFFECTS = {"retryable": api.Effect.SAFE, "dedup": api.Effect.KEYED, "fragile": api.Effect.UNSAFE}

# Names in the settings -> names in `flintridge.api`; whatever is not named here is skipped.
CLASS_KEYS = {
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
TENANT_KEYS = {"name": "name", "quotaPerS": "quota_per_s", "share": "share"}
RULE_KEYS = {
    "answerSlackNs": "answer_slack_ns",
    "askWithinNs": "poll_interval_ns",
    "drainGraceNs": "drain_grace_ns",
    "coldShare": "slow_start_fraction",
    "coldNs": "slow_start_ns",
    "fallMultiple": "overload_multiple",
    "fallNs": "overload_window_ns",
}
LIMIT_KEYS = {
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
PRICE_KEYS = {
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
GOAL_KEYS = {
    "whole": "whole",
    "worstWindow": "worst_window",
    "worstClass": "worst_class",
    "worstTenant": "worst_tenant",
    "tail": "tail",
    "tailSlack": "tail_slack",
    "availability": "availability",
    "fullAtNines": "full_at_nines",
}
TOP_KEYS = {
    "fleetSize": "fleet_size",
    "selfIndex": "self_index",
    "zone": "zone",
    "overShareWorth": "over_quota_weight",
}


def _known(source: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {ours: source[theirs] for theirs, ours in names.items() if source.get(theirs) is not None}


def class_from(config: dict[str, Any]) -> api.RequestClass:
    values = _known(config, CLASS_KEYS)
    if "effect" in values:
        values["effect"] = EFFECTS[values["effect"]]
    if "deduplication_scope" in values:
        values["deduplication_scope"] = api.DeduplicationScope(values["deduplication_scope"])
    return api.RequestClass(**values)


def settings_from(config: dict[str, Any]) -> api.Settings:
    """The settings an instance is given; absent keys take the defaults of `flintridge.api`."""
    family = config.get("familyInfo", {})
    values = _known(config, TOP_KEYS)
    if config.get("services"):
        values["classes"] = tuple(class_from(c) for c in config["services"])
    return api.Settings(
        **values,
        tenants=tuple(api.Tenant(**_known(t, TENANT_KEYS)) for t in config.get("tenants") or ()),
        rules=api.Rules(**_known(config.get("rules", {}), RULE_KEYS)),
        limits=api.Limits(**_known(config.get("permissions", {}), LIMIT_KEYS)),
        prices=api.Prices(**_known(config.get("prices", {}), PRICE_KEYS)),
        goal=api.Goal(**_known(config.get("goal", {}), GOAL_KEYS)),
        discovery=api.DiscoveryMode(config.get("discovery", "pushed")),
        mode=api.CacheMode(family.get("mode", "through")),
        origin_kind=family.get("originKind", -1),
        load_reporting=api.LoadReporting(config.get("report", {}).get("how", "none")),
        weight_by_work=config.get("worthBy") == "work",
    )
