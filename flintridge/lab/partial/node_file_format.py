"""Conversion of a node's configuration in the lab to the JSON object of its configuration file."""

from collections.abc import Mapping
from typing import Any

from flintridge import api
from flintridge.config.node_config import NodeConfig

NS_PER_MS = 1e6
NS_PER_S = 1e9
ENDPOINT_KEYS = ("id", "host_port", "phase", "locality", "flavor", "cell", "size", "up_since_ms")

JsonObject = dict[str, Any]  # with the keys of node.toml


def to_node_file(config: NodeConfig) -> JsonObject:
    """Return the object that `flintridge.config.node_file.parse_node_file` parses to an equal `config`.

    The `peers` table is left out, because the peers' addresses are those of the relays and not part of
    `config`.
    """
    settings = config.settings
    zones = list(config.zones)
    kinds = list(config.kinds)
    table: JsonObject = {
        "name": config.name,
        "listen": str(config.listen),
        "discovery": str(config.discovery),
        "seed": f"{config.seed:x}",
        "zones": zones,
        "kinds": kinds,
        "mode": settings.mode.value,
        "watch": settings.discovery.value,
        "load_reports": settings.load_reporting.value,
        "worth_by": "work" if settings.weight_by_work else "request",
        "over_share_worth": settings.over_quota_weight,
        "fleet_size": settings.fleet_size,
        "self_index": settings.self_index,
        "machine": {"sockets": config.sockets, "memory_mb": config.memory_mb},
        "classes": [_request_class(request_class) for request_class in settings.classes],
        "tenants": [
            {"name": tenant.name, "quota_per_s": tenant.quota_per_s, "share": tenant.share}
            for tenant in settings.tenants
        ],
        "limits": _limits(settings.limits),
        "rules": _rules(settings.rules),
        "prices": {name: getattr(settings.prices, name) for name in api.Prices.__dataclass_fields__},
        "goal": {name: getattr(settings.goal, name) for name in api.Goal.__dataclass_fields__},
        "log": {"level": config.log_level, "repeats_per_s": config.log_repeats_per_s},
    }
    if zones:
        table["zone"] = zones[settings.zone]
    if settings.origin_kind >= 0:
        table["origin_kind"] = kinds[settings.origin_kind]
    if config.console is not None:
        table["console"] = str(config.console)
    if config.known is not None:
        table["known"] = _known_endpoints(config.known)
    return table


def _request_class(request_class: api.RequestClass) -> JsonObject:
    table: JsonObject = {
        "name": request_class.name,
        "aim_ms": request_class.latency_objective_ns / NS_PER_MS,
        "deadline_ms": request_class.deadline_ns / NS_PER_MS,
        "worth": request_class.priority_weight,
        "late_share": request_class.late_weight_fraction,
        "effect": request_class.effect.value,
        "stream": request_class.stream,
        "aim_stretch": request_class.objective_work_factor,
    }
    # A node's file allows these keys for keyed classes only; the platform's settings have them for all.
    if request_class.effect is api.Effect.KEYED:
        table["group"] = request_class.deduplication_scope.value
        table["window_ms"] = request_class.deduplication_window_ns / NS_PER_MS
    return table


def _limits(limits: api.Limits) -> JsonObject:
    return {
        "max_attempts": limits.max_attempts,
        "second_copies": limits.hedged_requests,
        "cancel": limits.cancel,
        "probes": limits.health_checks,
        "peers": limits.peer_messages,
        "retry_after": limits.retry_after,
        "max_retry_after_ms": limits.max_retry_after_ns / NS_PER_MS if limits.retry_after else 0,
        "max_open": limits.max_open,
        "connect_timeout_ms": limits.connect_timeout_ns / NS_PER_MS,
        "conn_idle_s": limits.conn_idle_ns / NS_PER_S,
    }


def _rules(rules: api.Rules) -> JsonObject:
    return {
        "answer_slack_ms": rules.answer_slack_ns / NS_PER_MS,
        "ask_within_s": rules.poll_interval_ns / NS_PER_S,
        "drain_grace_ms": rules.drain_grace_ns / NS_PER_MS,
        "cold_share": rules.slow_start_fraction,
        "cold_s": rules.slow_start_ns / NS_PER_S,
        "fall_multiple": rules.overload_multiple,
        "fall_ms": rules.overload_window_ns / NS_PER_MS,
    }


def _known_endpoints(known: Mapping[str, Any]) -> JsonObject:
    endpoints = [
        {key: endpoint[key] for key in ENDPOINT_KEYS if key in endpoint}
        for endpoint in known.get("members", ())
    ]
    return {
        "revision": known.get("revision", 0),
        "complete": known.get("complete", True),
        "members": endpoints,
    }
