"""Mapping of the settings in a node's own format to the policy's `flintridge.api.Settings`."""

from collections.abc import Mapping
from typing import Any

import msgspec

from flintridge import api
from flintridge.config.model import NodeFile, RequestClass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000

# Keys of the format, with times in nanoseconds -> fields of `flintridge.api`; all others are the same.
CLASS_FIELDS: Mapping[str, str] = {
    "aim_ns": "latency_objective_ns",
    "worth": "priority_weight",
    "late_share": "late_weight_fraction",
    "group": "deduplication_scope",
    "window_ns": "deduplication_window_ns",
    "aim_stretch": "objective_work_factor",
}
RULE_FIELDS: Mapping[str, str] = {
    "ask_within_ns": "poll_interval_ns",
    "cold_share": "slow_start_fraction",
    "cold_ns": "slow_start_ns",
    "fall_multiple": "overload_multiple",
    "fall_ns": "overload_window_ns",
}
LIMIT_FIELDS: Mapping[str, str] = {
    "second_copies": "hedged_requests",
    "probes": "health_checks",
    "peers": "peer_messages",
}


def policy_settings(file: NodeFile) -> api.Settings:
    """Build the policy's settings from a valid file."""
    return api.Settings(
        classes=tuple(map(_request_class, file.classes)),
        tenants=tuple(api.Tenant(tenant.name, tenant.quota_per_s, tenant.share) for tenant in file.tenants),
        rules=api.Rules(**_renamed(_in_nanoseconds(file.rules), RULE_FIELDS)),
        limits=api.Limits(**_renamed(_in_nanoseconds(file.limits), LIMIT_FIELDS)),
        prices=api.Prices(**msgspec.structs.asdict(file.prices)),
        goal=api.Goal(**msgspec.structs.asdict(file.goal)),
        fleet_size=file.fleet_size,
        self_index=file.self_index,
        zone=0 if file.zone is None else file.zones.index(file.zone),
        discovery=api.DiscoveryMode(file.watch),
        mode=api.CacheMode(file.mode),
        origin_kind=-1 if file.origin_kind is None else file.kinds.index(file.origin_kind),
        load_reporting=api.LoadReporting(file.load_reports),
        weight_by_work=file.worth_by == "work",
        over_quota_weight=file.over_share_worth,
    )


def _request_class(request_class: RequestClass) -> api.RequestClass:
    values = _renamed(_in_nanoseconds(request_class), CLASS_FIELDS)
    values["effect"] = api.Effect(request_class.effect)
    values["deduplication_scope"] = api.DeduplicationScope(request_class.group)
    return api.RequestClass(**values)


def _renamed(values: dict[str, Any], fields_by_key: Mapping[str, str]) -> dict[str, Any]:
    return {fields_by_key.get(key, key): value for key, value in values.items()}


def _in_nanoseconds(section: msgspec.Struct) -> dict[str, Any]:
    """The section's values by key, with times as whole nanoseconds under keys that end in `_ns`."""
    values = {}
    for key, value in msgspec.structs.asdict(section).items():
        if key.endswith("_ms"):
            values[f"{key[:-3]}_ns"] = round(value * NS_PER_MS)
        elif key.endswith("_s") and not key.endswith("_per_s"):
            values[f"{key[:-2]}_ns"] = round(value * NS_PER_S)
        else:
            values[key] = value
    return values
