"""A node's configuration in its own format, from what the lab tells it in the platform's."""

from typing import Any

from flintridge import api
from flintridge.config.node_config import NodeConfig

MS, S = 1e6, 1e9


def own_format(config: NodeConfig) -> dict[str, Any]:
    """What `flintridge.config.node_file.parse_node_file` makes `config` of again, as a JSON object. `peers`
    is left out: its addresses are another thing."""
    settings = config.settings
    zones, kinds = list(config.zones), list(config.kinds)
    made: dict[str, Any] = {
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
        "classes": [_class(cls) for cls in settings.classes],
        "tenants": [
            {"name": one.name, "quota_per_s": one.quota_per_s, "share": one.share} for one in settings.tenants
        ],
        "limits": _limits(settings.limits),
        "rules": _rules(settings.rules),
        "prices": {name: getattr(settings.prices, name) for name in api.Prices.__dataclass_fields__},
        "goal": {name: getattr(settings.goal, name) for name in api.Goal.__dataclass_fields__},
        "log": {"level": config.log_level, "repeats_per_s": config.log_repeats_per_s},
    }
    if zones:
        made["zone"] = zones[settings.zone]
    if settings.origin_kind >= 0:
        made["origin_kind"] = kinds[settings.origin_kind]
    if config.console is not None:
        made["console"] = str(config.console)
    if config.known is not None:
        made["known"] = _known(config.known)
    return made


def _class(cls: api.RequestClass) -> dict[str, Any]:
    keyed = cls.effect is api.Effect.KEYED
    return {
        "name": cls.name,
        "aim_ms": cls.latency_objective_ns / MS,
        "deadline_ms": cls.deadline_ns / MS,
        "worth": cls.priority_weight,
        "late_share": cls.late_weight_fraction,
        "effect": cls.effect.value,
        "stream": cls.stream,
        "aim_stretch": cls.objective_work_factor,
        # Of keyed classes alone; the platform's settings name them for all.
        **(
            {"group": cls.deduplication_scope.value, "window_ms": cls.deduplication_window_ns / MS}
            if keyed
            else {}
        ),
    }


def _limits(limits: api.Limits) -> dict[str, Any]:
    return {
        "max_attempts": limits.max_attempts,
        "second_copies": limits.hedged_requests,
        "cancel": limits.cancel,
        "probes": limits.health_checks,
        "peers": limits.peer_messages,
        "retry_after": limits.retry_after,
        "max_retry_after_ms": limits.max_retry_after_ns / MS if limits.retry_after else 0,
        "max_open": limits.max_open,
        "connect_timeout_ms": limits.connect_timeout_ns / MS,
        "conn_idle_s": limits.conn_idle_ns / S,
    }


def _rules(rules: api.Rules) -> dict[str, Any]:
    return {
        "answer_slack_ms": rules.answer_slack_ns / MS,
        "ask_within_s": rules.poll_interval_ns / S,
        "drain_grace_ms": rules.drain_grace_ns / MS,
        "cold_share": rules.slow_start_fraction,
        "cold_s": rules.slow_start_ns / S,
        "fall_multiple": rules.overload_multiple,
        "fall_ms": rules.overload_window_ns / MS,
    }


NAMES = ("id", "host_port", "phase", "locality", "flavor", "cell", "size", "up_since_ms")


def _known(known: Any) -> dict[str, Any]:
    members = [{name: one[name] for name in NAMES if name in one} for one in known.get("members", ())]
    return {"revision": known.get("revision", 0), "complete": known.get("complete", True), "members": members}
