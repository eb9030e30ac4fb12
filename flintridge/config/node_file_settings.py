"""Mapping of the settings in a node's own format to the policy's `flintridge.api.Settings`."""

from typing import Any

import msgspec

from flintridge import api
from flintridge.config.model import NodeFile, RequestClass

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


def policy_settings(file: NodeFile) -> api.Settings:
    """Build the policy's settings from a valid file."""
    return api.Settings(
        classes=tuple(map(_request_class, file.classes)),
        tenants=tuple(api.Tenant(tenant.name, tenant.quota_per_s, tenant.share) for tenant in file.tenants),
        rules=api.Rules(**_in_nanoseconds(file.rules)),
        limits=api.Limits(**_in_nanoseconds(file.limits)),
        prices=api.Prices(**msgspec.structs.asdict(file.prices)),
        goal=api.Goal(**msgspec.structs.asdict(file.goal)),
        fleet_size=file.fleet_size,
        self_index=file.self_index,
        zone=0 if file.zone is None else file.zones.index(file.zone),
        discovery=api.DiscoveryMode(file.discovery_mode),
        mode=api.CacheMode(file.mode),
        origin_kind=-1 if file.origin_kind is None else file.kinds.index(file.origin_kind),
        load_reporting=api.LoadReporting(file.load_reporting),
        weight_by_work=file.weight_by == "work",
        over_quota_weight=file.over_quota_weight,
    )


def _request_class(request_class: RequestClass) -> api.RequestClass:
    values = _in_nanoseconds(request_class)
    values["effect"] = api.Effect(request_class.effect)
    values["deduplication_scope"] = api.DeduplicationScope(request_class.deduplication_scope)
    return api.RequestClass(**values)


def _in_nanoseconds(section: msgspec.Struct) -> dict[str, Any]:
    """Return the values by field name; `_ms` and `_s` fields become `_ns` fields in whole nanoseconds."""
    values = {}
    for field, value in msgspec.structs.asdict(section).items():
        if field.endswith("_ms"):
            values[f"{field[:-3]}_ns"] = round(value * NS_PER_MS)
        elif field.endswith("_s") and not field.endswith("_per_s"):
            values[f"{field[:-2]}_ns"] = round(value * NS_PER_S)
        else:
            values[field] = value
    return values
