"""The passes of a shrinking. Each yields smaller scenarios, the largest reductions first."""

from collections.abc import Callable, Iterator, Sequence
from typing import Any

import msgspec

from flintridge.lab.experiment.jobs import Outcome
from flintridge.lab.result import Result
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

replace = msgspec.structs.replace

AFTER_VIOLATION_S = 3.0  # a violation may be proved by records of events that follow it
MIN_TIME_SAVED_S = 0.4
MIN_LENGTH_S = 1.0
MIN_RATE_PER_S = 0.5
LENGTH_FRACTIONS = (0.25, 0.5, 0.75, 0.9)
RATE_FRACTIONS = (0.1, 0.25, 0.5, 0.75)
RESETTABLE_TABLES = (
    "clients",
    "links",
    "discovery",
    "limits",
    "load",
    "keys",
    "origin",
    "nodes",
    "goal",
    "prices",
)
SIZE_FIELDS = {  # fields of the tables above that are not reset because other passes reduce them
    "load": ("rate_per_s",),
    "keys": ("count",),
    "nodes": ("count",),
    "origin": ("slots", "read_ms"),
}

Candidates = Iterator[tuple[str, Scenario]]
CandidateGenerator = Callable[[Scenario, Outcome], Candidates]


def server_count(scenario: Scenario) -> int:
    """Return the number of cache servers at the start of a run."""
    return sum(group.count for group in scenario.servers)


def _complements(items: Sequence[Any]) -> Iterator[tuple[str, tuple[Any, ...]]]:
    """Yield subsets for delta debugging: none, then all but each half, each quarter ... each single item."""
    count = len(items)
    if count:
        yield f"none of {count}", ()
    size = count // 2
    while size >= 1:
        for start in range(0, count, size):
            removed = "only" if size == 1 else f"{min(size, count - start)}"
            yield f"without {removed} at {start}", (*items[:start], *items[start + size :])
        size //= 2


def _smaller_counts(current: int, minimum: int = 1) -> Iterator[int]:
    """Yield smaller integers: the minimum, a quarter, half and three quarters of `current`, and one less."""
    counts = dict.fromkeys([minimum, current // 4, current // 2, current * 3 // 4, current - 1])
    yield from (count for count in counts if minimum <= count < current)


def _fewer_faults(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with subsets of the faults."""
    for text, faults in _complements(scenario.faults):
        yield text, replace(scenario, faults=faults)


def _shorter_run(scenario: Scenario, outcome: Outcome) -> Candidates:
    """Yield runs that end shortly after the first violation, then at fractions of the length.

    After these, yield runs with a shorter warm-up.
    """
    ends = []
    if isinstance(outcome, Result) and outcome.violations:
        first_ms = min(violation.at_ms for violation in outcome.violations)
        ends.append(max(MIN_LENGTH_S, first_ms / 1000 + AFTER_VIOLATION_S))
    ends += [scenario.length_s * fraction for fraction in LENGTH_FRACTIONS]
    for end_s in dict.fromkeys(round(end, 1) for end in ends):
        if MIN_LENGTH_S <= end_s < scenario.length_s - MIN_TIME_SAVED_S:
            yield f"{end_s:g} s", _truncated(scenario, end_s)
    for warmup_s in (0.0, round(scenario.warmup_s / 2, 1)):
        if warmup_s < scenario.warmup_s - MIN_TIME_SAVED_S:
            yield f"{warmup_s:g} s of warm-up", replace(scenario, warmup_s=warmup_s)


def _truncated(scenario: Scenario, end_s: float) -> Scenario:
    """End a run at `end_s`: drop faults that begin later, and end the others before it."""
    faults = []
    for fault in scenario.faults:
        if fault.at_s >= end_s:
            continue
        if isinstance(fault, model.TimedFault) and fault.at_s + fault.for_s > end_s:
            fault = replace(fault, for_s=round(max(0.1, end_s - fault.at_s - 0.1), 1))
        faults.append(fault)
    return replace(scenario, length_s=end_s, faults=tuple(faults))


def _earlier_faults(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield shorter runs, in which all faults begin earlier by the same time."""
    if not scenario.faults:
        return
    first_s = min(fault.at_s for fault in scenario.faults)
    for start_s in (0.5, round(first_s / 2, 1)):
        if start_s < first_s - MIN_TIME_SAVED_S:
            shifted = tuple(
                replace(fault, at_s=round(fault.at_s - first_s + start_s, 3)) for fault in scenario.faults
            )
            length_s = round(max(MIN_LENGTH_S, scenario.length_s - first_s + start_s), 1)
            yield f"{first_s - start_s:g} s earlier", replace(scenario, faults=shifted, length_s=length_s)


def _lower_rate(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with lower request rates."""
    for fraction in RATE_FRACTIONS:
        rate = round(scenario.load.rate_per_s * fraction, 1)
        if rate >= MIN_RATE_PER_S:
            yield f"{rate:g} a second", replace(scenario, load=replace(scenario.load, rate_per_s=rate))


def _fewer_nodes(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with fewer nodes."""
    for count in _smaller_counts(scenario.nodes.count):
        faults = tuple(_limited_to_nodes(fault, count) for fault in scenario.faults)
        nodes = replace(scenario.nodes, count=count)
        yield f"{count} nodes", replace(scenario, nodes=nodes, faults=faults)


def _limited_to_nodes(fault: Any, count: int) -> Any:
    """Limit a fault that affects nodes to the first `count` nodes."""
    if not hasattr(fault, "nodes") or isinstance(fault, model.ZoneLoss):
        return fault
    nodes = tuple(number for number in fault.nodes if number < count)
    return replace(fault, nodes=nodes, count=min(fault.count, count))


def _fewer_servers(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with fewer servers, each with load and origin scaled in proportion and unchanged.

    After these, yield scenarios with subsets of the server groups.
    """
    total = server_count(scenario)
    for count in _smaller_counts(total):
        groups = _distributed(scenario.servers, count)
        smaller = _without_unused_kinds(replace(scenario, servers=groups))
        fraction = count / total
        rate = max(1.0, round(scenario.load.rate_per_s * fraction, 1))
        load = replace(scenario.load, rate_per_s=rate)
        slots = max(1, round(scenario.origin.slots * fraction))
        origin = replace(scenario.origin, slots=slots)
        yield f"{count} servers and their load", replace(smaller, load=load, origin=origin)
        yield f"{count} servers", smaller
    if len(scenario.servers) > 1:
        for text, remaining in _complements(scenario.servers):
            if remaining and sum(group.count for group in remaining):
                yield f"groups {text}", _without_unused_kinds(replace(scenario, servers=remaining))


def _distributed(groups: tuple[model.Group, ...], count: int) -> tuple[model.Group, ...]:
    """Distribute `count` servers in proportion to the group sizes, the remainder to the first groups."""
    total = sum(group.count for group in groups)
    counts = [group.count * count // total for group in groups]
    for i in range(count - sum(counts)):
        counts[i % len(counts)] += 1
    resized = (replace(group, count=number) for group, number in zip(groups, counts, strict=True))
    return tuple(group for group in resized if group.count)


def _without_unused_kinds(scenario: Scenario) -> Scenario:
    """Remove unused kinds of servers with their faults, and limit other faults to the remaining servers."""
    used = {group.kind for group in scenario.servers}
    kinds = tuple(kind for kind in scenario.kinds if kind.name in used)
    total = server_count(scenario)
    faults = []
    for fault in scenario.faults:
        if isinstance(fault, model.ServerFault):
            if fault.kind not in ("", *used):
                continue
            fault = replace(fault, count=min(fault.count, total))
        faults.append(fault)
    return replace(scenario, kinds=kinds or scenario.kinds, faults=tuple(faults))


def _fewer_zones(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios in which one zone is merged into another."""
    for removed in scenario.zones:
        remaining = tuple(zone for zone in scenario.zones if zone != removed)
        if remaining:
            yield f"{removed} into {remaining[0]}", _zone_merged(scenario, removed, remaining)


def _zone_merged(scenario: Scenario, removed: str, remaining: tuple[str, ...]) -> Scenario:
    """Move servers, nodes, faults, origin and discovery from the removed zone to the first remaining one."""

    def merged_zone(zone: str | None) -> str | None:
        return remaining[0] if zone == removed else zone

    groups = tuple(replace(group, zone=merged_zone(group.zone)) for group in scenario.servers)
    faults = []
    for fault in scenario.faults:
        if isinstance(fault, model.ServerFault | model.ZoneLoss) and fault.zone == removed:
            fault = replace(fault, zone=remaining[0])
        elif isinstance(fault, model.Cut | model.SlowLink):
            fault = replace(fault, zone=merged_zone(fault.zone), other=merged_zone(fault.other))
            if fault.zone == fault.other:
                continue
        faults.append(fault)
    node_zones = tuple(str(merged_zone(zone)) for zone in scenario.nodes.zones)
    return replace(
        scenario,
        zones=remaining,
        servers=groups,
        faults=tuple(faults),
        nodes=replace(scenario.nodes, zones=node_zones),
        origin=replace(scenario.origin, zone=merged_zone(scenario.origin.zone)),
        discovery=replace(scenario.discovery, zone=merged_zone(scenario.discovery.zone)),
    )


def _fewer_classes(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with subsets of the request classes, then with subsets of the tenants."""
    for text, classes in _complements(scenario.classes):
        if classes:
            yield f"classes {text}", replace(scenario, classes=classes)
    for text, tenants in _complements(scenario.tenants):
        yield f"tenants {text}", replace(scenario, tenants=tenants)


def _simpler_kinds(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield fleets with a single kind of server, then kinds with default values."""
    if len(scenario.kinds) > 1:
        for kind in scenario.kinds:
            groups = tuple(replace(group, kind=kind.name) for group in scenario.servers)
            yield f"all {kind.name}", _without_unused_kinds(replace(scenario, servers=groups))
    for i, kind in enumerate(scenario.kinds):
        for text, simpler in _with_defaults(kind, keep=("name",)):
            kinds = (*scenario.kinds[:i], simpler, *scenario.kinds[i + 1 :])
            yield f"{kind.name}: {text}", replace(scenario, kinds=kinds)


def _fewer_keys(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with fewer keys."""
    total = scenario.keys.count
    for count in dict.fromkeys([1, 10, total // 10, total // 2]):
        if 1 <= count < total:
            yield f"{count} keys", replace(scenario, keys=replace(scenario.keys, count=count))


def _smaller_faults(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield each fault with half of its length, and each fault of several servers limited to one server."""
    for i, fault in enumerate(scenario.faults):
        before = scenario.faults[:i]
        after = scenario.faults[i + 1 :]
        if isinstance(fault, model.TimedFault) and fault.for_s > 0.5:
            half = replace(fault, for_s=round(fault.for_s / 2, 1))
            yield f"fault {i} for {half.for_s:g} s", replace(scenario, faults=(*before, half, *after))
        if isinstance(fault, model.ServerFault) and (fault.share or fault.count > 1):
            one = replace(fault, share=0.0, count=1)
            yield f"fault {i} of one server", replace(scenario, faults=(*before, one, *after))


def _default_tables(scenario: Scenario, _: Outcome) -> Candidates:
    """Yield scenarios with default values for all, half or single fields of a table, except its sizes."""
    for name in RESETTABLE_TABLES:
        for text, simpler in _with_defaults(getattr(scenario, name), keep=SIZE_FIELDS.get(name, ())):
            yield f"{name}: {text}", replace(scenario, **{name: simpler})


def _with_defaults(table: Any, keep: tuple[str, ...]) -> Iterator[tuple[str, Any]]:
    """Yield a table with fields reset to their defaults: all fields, then each half, then each field.

    Args:
        table: A struct of the scenario.
        keep: The names of the fields that are not reset.
    """
    fields = {
        field.name: field
        for field in msgspec.structs.fields(table)
        if field.name not in keep
        and field.default is not msgspec.NODEFAULT
        and getattr(table, field.name) != field.default
    }
    defaults = {name: field.default for name, field in fields.items()}
    if len(defaults) > 1:
        yield "defaults", replace(table, **defaults)
    names = list(defaults)
    if len(names) > 3:
        middle = len(names) // 2
        for text, half in (("first", names[:middle]), ("second", names[middle:])):
            yield f"defaults, {text} half", replace(table, **{name: defaults[name] for name in half})
    for name, value in defaults.items():
        yield f"default {fields[name].encode_name}", replace(table, **{name: value})


# The passes that reduce the cost of a run most come first, so that later passes play cheaper scenarios.
PASSES: tuple[tuple[str, CandidateGenerator], ...] = (
    ("faults", _fewer_faults),
    ("seconds", _shorter_run),
    ("earlier", _earlier_faults),
    ("rate", _lower_rate),
    ("nodes", _fewer_nodes),
    ("servers", _fewer_servers),
    ("zones", _fewer_zones),
    ("classes", _fewer_classes),
    ("kinds", _simpler_kinds),
    ("keys", _fewer_keys),
    ("fault sizes", _smaller_faults),
    ("values", _default_tables),
)
