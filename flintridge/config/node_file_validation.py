"""Cross-field validation of a node's own format: values that are valid one by one, but conflict.

All checks accept a file in which other values are invalid: an invalid value is `UNSET`, and `UNSET` conflicts
with nothing.
"""

from collections.abc import Iterator, Sequence

from flintridge.config.cross_field import (
    address_faults,
    console_address_faults,
    duplicate_faults,
    member_address_faults,
)
from flintridge.config.faults import UNSET, ConfigFault, all_valid, fault_at
from flintridge.config.fleet_validation import validate_fleet_tables
from flintridge.config.model import Goal, Limits, NodeFile, RequestClass, Rules, Tenant

TENANT_SHARES_TOLERANCE = 1e-6
GOAL_WEIGHTS = ("whole", "worst_window", "worst_class", "worst_tenant", "tail", "availability")


def validate_node_file(file: NodeFile) -> Iterator[ConfigFault]:
    """Report all values of a file that conflict with each other."""
    yield from _addresses_faults(file)
    yield from _names_faults(file)
    yield from _mode_faults(file)
    if all_valid(file.self_index, file.fleet_size) and file.self_index >= file.fleet_size:
        allowed = f"0 to {file.fleet_size - 1}"
        yield fault_at("self_index", file.self_index, f"must be {allowed}, given fleet_size", allowed)
    if all_valid(file.limits):
        yield from _limits_faults(file.limits)
    if all_valid(file.rules):
        yield from _rules_faults(file.rules)
    if all_valid(file.goal):
        yield from _goal_faults(file.goal)
    if all_valid(file.classes):
        yield from _classes_faults(file.classes)
    if all_valid(file.tenants):
        yield from duplicate_faults(file.tenants, "tenants", "name")
        yield from _tenant_shares_faults(file.tenants)
    yield from validate_fleet_tables(file)
    if all_valid(file.known) and file.known is not None and all_valid(file.known.members):
        yield from duplicate_faults(file.known.members, "known.members", "id")
        yield from member_address_faults(file.known.members, "known.members")


def _addresses_faults(file: NodeFile) -> Iterator[ConfigFault]:
    yield from address_faults("listen", file.listen)
    yield from address_faults("discovery", file.discovery)
    yield from address_faults("console", file.console)
    yield from console_address_faults(file)
    if all_valid(file.listen, file.discovery) and file.listen and file.listen == file.discovery:
        yield fault_at("discovery", file.discovery, "is the address that the node itself listens on")


def _names_faults(file: NodeFile) -> Iterator[ConfigFault]:
    """Report duplicate names of zones and kinds, and a `zone` that is missing or not in `zones`."""
    for path in ("zones", "kinds"):
        names = getattr(file, path)
        if not all_valid(names):
            continue
        for i, name in enumerate(names):
            if all_valid(name) and name in names[:i]:
                yield fault_at(f"{path}[{i}]", name, "is a duplicate")
    has_several_zones = all_valid(file.zones) and len(file.zones) > 1
    yield from _reference_faults("zone", file.zone, file.zones, "zones", required=has_several_zones)


def _mode_faults(file: NodeFile) -> Iterator[ConfigFault]:
    if not all_valid(file.mode):
        return
    is_aside = file.mode == "aside"
    yield from _reference_faults("origin_kind", file.origin_kind, file.kinds, "kinds", required=is_aside)
    if not is_aside and all_valid(file.origin_kind) and file.origin_kind is not None:
        reason = "has no effect if mode is 'through'"
        yield fault_at("origin_kind", file.origin_kind, reason, "aside")


def _reference_faults(
    path: str, name: str | None, names: Sequence[str], names_path: str, *, required: bool
) -> Iterator[ConfigFault]:
    """Report a name that is not in the list that it must come from, or that is required and missing."""
    if not all_valid(name, names) or not all_valid(*names):
        return
    allowed = f"named in {names_path}, which is empty"
    if names:
        allowed = f"one of {', '.join(map(repr, names))}"
    if name is None:
        if required:
            yield fault_at(path, UNSET, f"is missing: it must be {allowed}", allowed)
    elif name not in names:
        yield fault_at(path, name, f"is not in {names_path}: it must be {allowed}", allowed)


def _classes_faults(classes: Sequence[RequestClass]) -> Iterator[ConfigFault]:
    for i, request_class in enumerate(classes):
        if all_valid(request_class):
            yield from _class_faults(request_class, f"classes[{i}]")
    yield from duplicate_faults(classes, "classes", "name")


def _class_faults(request_class: RequestClass, path: str) -> Iterator[ConfigFault]:
    objective_ms = request_class.latency_objective_ms
    deadline_ms = request_class.deadline_ms
    if all_valid(objective_ms, deadline_ms) and objective_ms > deadline_ms:
        allowed = f"at most the deadline_ms of {deadline_ms:g}"
        yield fault_at(f"{path}.aim_ms", objective_ms, f"must be {allowed}", allowed)
    if not all_valid(request_class.effect) or request_class.effect == "keyed":
        return
    reason = f"is allowed only with effect 'keyed', and the effect of this class is {request_class.effect!r}"
    window_ms = request_class.deduplication_window_ms
    if all_valid(window_ms) and window_ms > 0:
        yield fault_at(f"{path}.window_ms", window_ms, reason, "0")
    scope = request_class.deduplication_scope
    if all_valid(scope) and scope != "all":
        yield fault_at(f"{path}.group", scope, reason, "'all'")


def _tenant_shares_faults(tenants: Sequence[Tenant]) -> Iterator[ConfigFault]:
    if not all_valid(*tenants) or not all_valid(*(tenant.share for tenant in tenants)):
        return
    shares_sum = sum(tenant.share for tenant in tenants)
    if shares_sum > 1 + TENANT_SHARES_TOLERANCE:
        yield fault_at("tenants", f"shares of {shares_sum:g} in total", "must not be more than 1", "<= 1")


def _limits_faults(limits: Limits) -> Iterator[ConfigFault]:
    maximum_ms = limits.max_retry_after_ms
    if all_valid(limits.retry_after, maximum_ms) and maximum_ms > 0 and not limits.retry_after:
        reason = "has no effect while retry_after is false"
        yield fault_at("limits.max_retry_after_ms", maximum_ms, reason, "0")
    if not all_valid(limits.max_attempts, limits.hedged_requests):
        return
    if limits.hedged_requests and limits.max_attempts < 2:
        reason = "must be at least 2 while second_copies is true"
        yield fault_at("limits.max_attempts", limits.max_attempts, reason, ">= 2")


def _rules_faults(rules: Rules) -> Iterator[ConfigFault]:
    if all_valid(rules.slow_start_fraction, rules.slow_start_s):
        yield from _slow_start_faults(rules.slow_start_fraction, rules.slow_start_s)
    if not all_valid(rules.overload_multiple, rules.overload_window_ms):
        return
    if rules.overload_multiple > 0 and not rules.overload_window_ms > 0:
        yield _overload_fault("fall_ms", "fall_multiple")
    if rules.overload_window_ms > 0 and not rules.overload_multiple > 0:
        yield _overload_fault("fall_multiple", "fall_ms")


def _slow_start_faults(fraction: float, duration_s: float) -> Iterator[ConfigFault]:
    if duration_s > 0 and fraction == 1:
        reason = "has no effect: with a cold_share of 1, servers start at full capacity"
        yield fault_at("rules.cold_s", duration_s, reason, "0, or a cold_share < 1")
    if duration_s == 0 and fraction < 1:
        reason = "has no effect: with a cold_s of 0, servers have full capacity from the start"
        yield fault_at("rules.cold_share", fraction, reason, "1, or a cold_s > 0")


def _overload_fault(missing: str, present: str) -> ConfigFault:
    reason = f"must be above 0 because {present} is: one is a load, the other how long servers withstand it"
    return fault_at(f"rules.{missing}", 0, reason, "> 0")


def _goal_faults(goal: Goal) -> Iterator[ConfigFault]:
    weights = [getattr(goal, name) for name in GOAL_WEIGHTS]
    if all_valid(*weights) and not any(weights):
        reason = f"has no weight: one of {', '.join(GOAL_WEIGHTS)} must be above 0"
        yield fault_at("goal", 0, reason)
