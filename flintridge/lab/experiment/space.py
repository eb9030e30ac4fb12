"""The space of random scenarios: `draw` returns a scenario that is always valid and of bounded cost.

The work of a request is scaled to the fleet instead of the request rate to the capacity. A run therefore has
at most `MAX_REQUESTS` first attempts for any size of the fleet, and the cost of a search is predictable. The
loads on the cache servers and on the origin are drawn from 0.2 to 1.1 of their capacity when warm. At least
one of the two loads is moderate (below 0.85), so that a run does not begin with both of them overloaded.
"""

from random import Random

import msgspec

from flintridge.lab.experiment.fluid import flows, span_mean
from flintridge.lab.experiment.random_values import log_uniform
from flintridge.lab.experiment.space_faults import draw_faults
from flintridge.lab.experiment.space_fleet import (
    draw_discovery,
    draw_fleet,
    draw_links,
    draw_nodes,
    draw_origin,
)
from flintridge.lab.experiment.space_load import (
    draw_classes,
    draw_clients,
    draw_keys,
    draw_limits,
    draw_load,
    draw_tenants,
)
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

VERSION = 2  # incremented with any change after which the same seed draws a different scenario
MAX_REQUESTS = 5_000
ZONES = ("east", "west", "north")


def draw(generator: Random, name: str, about: str = "") -> Scenario:
    """Draw a scenario.

    Args:
        generator: The generator for all draws; the same state gives the same scenario.
        name: The name of the scenario.
        about: The description of the scenario.

    Returns:
        A valid scenario: all values are within the ranges of the scenario format.
    """
    length = round(generator.uniform(8, 25), 1)
    warmup = round(generator.uniform(4, 8), 1)
    zones = ZONES[: generator.choices((1, 2, 3), (3, 4, 2))[0]]
    fleet = draw_fleet(generator, zones)
    count = sum(group.count for group in fleet.groups)
    # The rate is drawn from at least 7 per second and server. Otherwise requests to a large fleet would be
    # scaled to seconds of work each.
    rate = round(min(log_uniform(generator, max(40, 7 * count), 500), MAX_REQUESTS / (length + warmup)), 1)
    unscaled = Scenario(
        name=name,
        about=about,
        length_s=length,
        warmup_s=warmup,
        zones=zones,
        nodes=draw_nodes(generator),
        kinds=fleet.kinds,
        servers=fleet.groups,
        origin=draw_origin(generator),
        discovery=draw_discovery(generator),
        links=draw_links(generator),
        classes=draw_classes(generator),
        tenants=draw_tenants(generator, rate),
        keys=draw_keys(generator),
        load=draw_load(generator, rate, len(zones)),
        clients=draw_clients(generator),
        limits=draw_limits(generator),
        goal=model.Goal(whole=0.5, worst_window=0.3, worst_class=0.1, worst_tenant=0.1),
        wall_limit_s=300.0,
    )
    scaled = _scaled(generator, _with_memory(generator, unscaled))
    return _checked(msgspec.structs.replace(scaled, faults=draw_faults(generator, scaled)))


def contradictions(scenario: Scenario) -> list[str]:
    """Return the reasons why a scenario is invalid: values out of range, or contradictory faults."""
    try:
        msgspec.convert(msgspec.to_builtins(scenario), Scenario)
    except msgspec.ValidationError as error:
        return [str(error)]
    from flintridge.lab.faults.check import check

    found: list[str] = check(scenario)
    return found


def _checked(scenario: Scenario) -> Scenario:
    """Return a scenario as decoded from its file, so that a run from the file plays the same."""
    return msgspec.convert(msgspec.to_builtins(scenario), Scenario)


def _with_memory(generator: Random, scenario: Scenario) -> Scenario:
    """Draw the memory of the servers: together they can hold from 0.4 to 3 times the size of all keys."""
    servers = sum(group.count for group in scenario.servers)
    required_mb = scenario.keys.count * span_mean(scenario.keys.size_bytes) / 1e6
    memory_mb = max(0.3, required_mb * log_uniform(generator, 0.4, 3) / servers)
    kinds = tuple(msgspec.structs.replace(kind, memory_mb=round(memory_mb, 3)) for kind in scenario.kinds)
    return msgspec.structs.replace(scenario, kinds=kinds)


def _scaled(generator: Random, scenario: Scenario) -> Scenario:
    """Scale request work and origin to random loads, and objectives and deadlines to the work."""
    moderate_load = generator.uniform(0.2, 0.85)
    any_load = generator.uniform(0.2, 1.1)
    cache_load = moderate_load
    origin_load = any_load
    if generator.random() >= 0.5:
        cache_load = any_load
        origin_load = moderate_load
    factor = cache_load / flows(scenario).cache_load
    classes = tuple(_with_times(cls, factor, span_mean(scenario.origin.read_ms)) for cls in scenario.classes)
    scenario = msgspec.structs.replace(scenario, classes=classes)
    required_slots = flows(scenario).origin_load * scenario.origin.slots / origin_load
    slots = max(1, round(required_slots))
    # The read time compensates for the rounding to whole slots.
    read_ms = min(400.0, round(span_mean(scenario.origin.read_ms) * slots / required_slots, 3))
    origin = msgspec.structs.replace(scenario.origin, slots=slots, read_ms=read_ms)
    return msgspec.structs.replace(scenario, origin=origin)


def _with_times(cls: model.RequestClass, factor: float, origin_ms: float) -> model.RequestClass:
    """Convert relative times to milliseconds.

    The work is multiplied by `factor`. The drawn objective is a multiple of the work, the drawn deadline a
    multiple of the objective.
    """
    work_ms = span_mean(cls.work_ms) * factor
    objective_ms = round(min(6000.0, max(250.0, work_ms * cls.latency_objective_ms, 8 * origin_ms)))
    deadline_ms = float(round(objective_ms * cls.deadline_ms))
    return msgspec.structs.replace(
        cls,
        work_ms=round(work_ms, 3),
        latency_objective_ms=float(objective_ms),
        deadline_ms=deadline_ms,
        deduplication_window_ms=deadline_ms if cls.effect == "keyed" else cls.deduplication_window_ms,
    )
