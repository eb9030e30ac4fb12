"""Random days: `draw` makes a scenario from a generator, always a valid one and of bounded cost.

Work is scaled to the fleet, not the rate to the capacity: a day holds at most `MOST_REQUESTS` first tries
whatever the size of its fleet, so that a search knows what a day costs. The load on the cache servers and on
the origin is drawn, from 0.2 to 1.1 of what they can do when warm, at least one of them being usual (below
0.85), so that a day is not lost from the start on both sides.
"""

import math
import random
from collections.abc import Callable
from typing import Any, Literal

import msgspec

from flintridge.lab.experiment.fluid import flows, middle
from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario
from flintridge.lab.scenario.system_faults import ERRORS_OF_CALL

VERSION = 2  # of the space: the same seed draws another day after any change here
MOST_REQUESTS = 5_000
ZONES = ("east", "west", "north")
Random = random.Random
Maker = Callable[[random.Random, Scenario], Any]


def draw(dice: Random, name: str, about: str = "") -> Scenario:
    """A day. Every draw is within the format's ranges; an error here is a mistake of this module."""
    length = round(dice.uniform(8, 25), 1)
    warmup = round(dice.uniform(4, 8), 1)
    zones = ZONES[: dice.choices((1, 2, 3), (3, 4, 2))[0]]
    kinds, servers = _fleet(dice, zones)
    count = sum(group.count for group in servers)
    # At least so many a server, or requests of a great fleet would take seconds of work each.
    rate = round(min(_log(dice, max(40, 7 * count), 500), MOST_REQUESTS / (length + warmup)), 1)
    rough = Scenario(
        name=name,
        about=about,
        length_s=length,
        warmup_s=warmup,
        zones=zones,
        nodes=_nodes(dice),
        kinds=kinds,
        servers=servers,
        origin=_origin(dice),
        discovery=_discovery(dice),
        links=_links(dice),
        classes=_classes(dice),
        tenants=_tenants(dice, rate),
        keys=_keys(dice),
        load=_load(dice, rate, len(zones)),
        clients=_clients(dice),
        limits=_limits(dice),
        goal=model.Goal(whole=0.5, worst_window=0.3, worst_class=0.1, worst_tenant=0.1),
        wall_limit_s=300.0,
    )
    scaled = _scaled(dice, _with_memory(dice, rough))
    return _checked(msgspec.structs.replace(scaled, faults=_faults(dice, scaled)))


def contradictions(scenario: Scenario) -> list[str]:
    """What the timeline's own check says, and what the format's ranges say."""
    try:
        msgspec.convert(msgspec.to_builtins(scenario), Scenario)
    except msgspec.ValidationError as error:
        return [str(error)]
    from flintridge.lab.faults.check import check

    found: list[str] = check(scenario)
    return found


def _checked(scenario: Scenario) -> Scenario:
    """As it would be read from its file, so that a found day plays the same from there."""
    return msgspec.convert(msgspec.to_builtins(scenario), Scenario)


def _log(dice: Random, low: float, high: float) -> float:
    """Even over ratios."""
    return math.exp(dice.uniform(math.log(low), math.log(high)))


def _sometimes(dice: Random, chance: float, low: float, high: float) -> float:
    """0, or with this chance something from the range."""
    hit, value = dice.random() < chance, dice.uniform(low, high)
    return round(value, 3) if hit else 0.0


def _about(dice: Random, value: float, spread: float) -> tuple[float, float]:
    """A Span round a value."""
    return round(value * (1 - dice.uniform(0, spread)), 3), round(value * (1 + dice.uniform(0, spread)), 3)


# The fleet


def _fleet(dice: Random, zones: tuple[str, ...]) -> tuple[tuple[model.Kind, ...], tuple[model.Group, ...]]:
    count = round(_log(dice, 3, 40))
    names = ("box", "big", "old")[: dice.choices((1, 2, 3), (5, 3, 1))[0]]
    kinds = tuple(_kind(dice, name, count) for name in names)
    dealt: dict[tuple[str, str], int] = {}
    for i in range(count):
        # The first servers go round all zones, so that none is without one unless there are too few.
        zone = zones[i] if i < len(zones) else dice.choice(zones)
        place = (dice.choice(names), zone)
        dealt[place] = dealt.get(place, 0) + 1
    used = [kind for kind in kinds if any(place[0] == kind.name for place in dealt)]
    groups = tuple(
        model.Group(kind=kind, count=number, zone=zone, weight=dice.choice((1.0, 1.0, 1.0, 2.0, 0.5)))
        for (kind, zone), number in sorted(dealt.items())
    )
    return tuple(used), groups


def _kind(dice: Random, name: str, servers: int) -> model.Kind:
    return model.Kind(
        name=name,
        cores=dice.choice((1, 2, 4) if servers < 10 else (1, 2) if servers < 20 else (1,)),
        speed=_about(dice, _log(dice, 0.5, 2), 0.3),
        speed_cv=_sometimes(dice, 0.5, 0.05, 0.4),
        slots_per_core=dice.choice((1, 1, 2, 4)),
        queue_per_core=_about(dice, dice.uniform(1, 6), 0.2),
        crowd_at=round(dice.uniform(4, 14), 1),
        crowd=_sometimes(dice, 0.7, 0.02, 0.12),
        cold_from=dice.choice((0.32, 0.4, 0.6, 1.0)),
        cold_s=round(dice.uniform(3, 9), 1),
        connections=dice.choice((96, 256, 1024)),
        handshake_ms=round(dice.uniform(0.2, 4), 2),
        idle_s=dice.choice((1.0, 2.0, 5.0, 10.0)),
        error_rate=_sometimes(dice, 0.3, 0.001, 0.02),
        pause_every_s=_sometimes(dice, 0.2, 3, 15),
        pause_ms=_about(dice, dice.uniform(40, 300), 0.3),
        drops_cancelled=dice.choice(("queued", "all", "none")),
        miss_work=round(dice.uniform(0.03, 0.3), 3),
    )


def _nodes(dice: Random) -> model.Nodes:
    return model.Nodes(
        count=dice.choices((1, 2, 3, 4, 5), (2, 4, 4, 2, 1))[0],
        sockets=dice.choice((256, 512, 1024)),
        start_ms=_about(dice, dice.uniform(150, 800), 0.3),
    )


def _origin(dice: Random) -> model.Origin:
    return model.Origin(
        read_ms=round(_log(dice, 15, 150), 1),
        sigma=round(dice.uniform(0.1, 0.8), 2),
        write_times=round(dice.uniform(1, 2.5), 2),
        queue_s=round(dice.uniform(0.3, 2), 2),
        crowd=_sometimes(dice, 0.4, 0.005, 0.05),
        shares_fetches=dice.random() < 0.3,
    )


def _discovery(dice: Random) -> model.Discovery:
    return model.Discovery(
        notice_s=_about(dice, dice.uniform(0.3, 2.5), 0.5),
        silent_s=_about(dice, dice.uniform(3, 10), 0.3),
        call_ms=_about(dice, _log(dice, 2, 80), 0.3),
        timeout_ms=dice.choice((1000.0, 3000.0)),
    )


def _links(dice: Random) -> model.Links:
    return model.Links(
        same_ms=_about(dice, _log(dice, 0.05, 1), 0.4),
        cross_ms=_about(dice, _log(dice, 1, 25), 0.3),
        client_ms=_about(dice, _log(dice, 0.1, 5), 0.3),
        jitter=round(dice.uniform(0, 0.5), 2),
        cut=_sometimes(dice, 0.4, 0.01, 0.2),
    )


# The load


def _classes(dice: Random) -> tuple[model.RequestClass, ...]:
    """Reads, and mostly writes: work is in parts of the mean, which `_scaled` makes milliseconds."""
    found = [_class(dice, "read", 1.0, write=False)]
    if dice.random() < 0.3:
        found.append(_class(dice, "page", dice.uniform(0.1, 0.6), write=False))
    if dice.random() < 0.7:
        found.append(_class(dice, "put", dice.uniform(0.02, 0.25), write=True, effect="keyed"))
    if dice.random() < 0.4:
        found.append(_class(dice, "pay", dice.uniform(0.01, 0.15), write=True, effect="unsafe"))
    return tuple(found)


def _class(dice: Random, name: str, share: float, *, write: bool, effect: Any = "safe") -> model.RequestClass:
    return model.RequestClass(
        name=name,
        share=round(share, 3),
        work_ms=round(_log(dice, 0.4, 2.5), 3),
        spread=dice.choice(("none", "exponential", "lognormal", "lognormal")),
        cv=round(dice.uniform(0.3, 1.5), 2),
        latency_objective_ms=dice.uniform(5, 14),
        deadline_ms=dice.uniform(1.6, 3),
        priority_weight=dice.choice((1.0, 1.0, 2.0, 3.0)),
        late_weight_fraction=round(dice.uniform(0.1, 0.6), 2),
        effect=effect,
        write=write,
    )


def _tenants(dice: Random, rate: float) -> tuple[model.Tenant, ...]:
    if dice.random() < 0.6:
        return ()
    names = ("acme", "birch", "cedar")[: dice.randint(2, 3)]
    shares = [round(dice.uniform(0.2, 1), 2) for _ in names]
    quotas = dice.random() < 0.5
    return tuple(
        model.Tenant(
            name=name,
            share=share,
            usage=dice.choice((1.0, 1.0, 0.5, 2.0)),
            quota_per_s=round(1.1 * rate * share / sum(shares), 1) if quotas else 0.0,
        )
        for name, share in zip(names, shares, strict=True)
    )


def _keys(dice: Random) -> model.Keys:
    return model.Keys(
        count=round(_log(dice, 200, 10_000)),
        zipf=round(dice.uniform(0.75, 1.2), 2),
        offset=round(dice.uniform(1, 20), 1),
        drift_per_s=_sometimes(dice, 0.4, 0.1, 3),
        size_bytes=round(_log(dice, 100, 4000)),
        size_sigma=round(dice.uniform(0.1, 1), 2),
        change_per_s=_sometimes(dice, 0.4, 0.1, 5),
        ttl_s=dice.choice((0.0, 0.0, 0.0, 20.0, 40.0)),
    )


def _with_memory(dice: Random, day: Scenario) -> Scenario:
    """Memory for a share of all keys, counted as one cache."""
    servers = sum(group.count for group in day.servers)
    need = day.keys.count * middle(day.keys.size_bytes) / 1e6
    each = max(0.3, need * _log(dice, 0.4, 3) / servers)
    kinds = tuple(msgspec.structs.replace(kind, memory_mb=round(each, 3)) for kind in day.kinds)
    return msgspec.structs.replace(day, kinds=kinds)


def _load(dice: Random, rate: float, zones: int) -> model.Load:
    return model.Load(
        rate_per_s=rate,
        shape=dice.choice(("flat", "flat", "wave", "bursty")),
        swing=round(dice.uniform(0.1, 0.5), 2),
        period_s=round(dice.uniform(4, 20), 1),
        zone_skew=_sometimes(dice, 0.3, 0.1, 0.5) if zones > 1 else 0.0,
        hints=dice.choice(("none", "rough", "rough", "exact")),
        tells_size=dice.random() < 0.7,
    )


def _clients(dice: Random) -> model.Clients:
    return model.Clients(
        retries=dice.randint(0, 4),
        try_share=round(dice.uniform(0.4, 0.9), 2),
        backoff_ms=_about(dice, _log(dice, 20, 400), 0.3),
        backoff=dice.choice(("none", "fixed", "jitter")),
        honour=round(dice.uniform(0, 1), 2),
        marks_retry=dice.random() < 0.7,
        leave_early=_sometimes(dice, 0.3, 0.01, 0.1),
        idle_s=dice.choice((1.0, 3.0, 10.0)),
        pools=dice.choice((1, 4, 8, 16)),
        once=_sometimes(dice, 0.25, 0.02, 0.2),
        pipeline=dice.choice((1, 1, 1, 4, 16)),
        notice_s=_about(dice, dice.uniform(0.3, 2), 0.3),
    )


def _limits(dice: Random) -> model.Limits:
    return model.Limits(
        max_attempts=dice.randint(3, 8),
        hedged_requests=dice.random() < 0.7,
        cancel=dice.random() < 0.8,
        health_checks=dice.random() < 0.3,
        max_open=dice.choice((500, 20_000)),
    )


# Work to fit the fleet


def _scaled(dice: Random, day: Scenario) -> Scenario:
    """Work and origin such that the drawn loads come out; aims and deadlines in proportion to the work."""
    usual, other = dice.uniform(0.2, 0.85), dice.uniform(0.2, 1.1)
    cache_load, origin_load = (usual, other) if dice.random() < 0.5 else (other, usual)
    factor = cache_load / flows(day).cache_load
    classes = tuple(_timed(cls, factor, middle(day.origin.read_ms)) for cls in day.classes)
    day = msgspec.structs.replace(day, classes=classes)
    need = flows(day).origin_load * day.origin.slots / origin_load  # in slots
    slots = max(1, round(need))
    # What rounding to whole slots took or gave is made up for by their speed.
    read_ms = min(400.0, round(middle(day.origin.read_ms) * slots / need, 3))
    origin = msgspec.structs.replace(day.origin, slots=slots, read_ms=read_ms)
    return msgspec.structs.replace(day, origin=origin)


def _timed(cls: model.RequestClass, factor: float, origin_ms: float) -> model.RequestClass:
    """To milliseconds: the objective came as a multiple of the work, `deadline_ms` of the objective."""
    work = middle(cls.work_ms) * factor
    aim = round(min(6000.0, max(250.0, work * cls.latency_objective_ms, 8 * origin_ms)))
    deadline = float(round(aim * cls.deadline_ms))
    return msgspec.structs.replace(
        cls,
        work_ms=round(work, 3),
        latency_objective_ms=float(aim),
        deadline_ms=deadline,
        deduplication_window_ms=deadline if cls.effect == "keyed" else cls.deduplication_window_ms,
    )


# Faults


def _faults(dice: Random, day: Scenario) -> tuple[Any, ...]:
    count = dice.choices((0, 1, 2, 3, 4, 5), (1, 4, 4, 3, 2, 1))[0]
    found = [maker(dice, day) for maker in dice.choices(_MAKERS, k=count)]
    return tuple(sorted((fault for fault in found if fault is not None), key=lambda fault: fault.at_s))


def _when(dice: Random, day: Scenario, low: float = 0.5, high: float = 0.5) -> dict[str, Any]:
    """A beginning, and a length from `low` seconds to a share `high` of the day, over before its end."""
    at = round(dice.uniform(0, 0.75) * day.length_s, 1)
    lasts = min(_log(dice, low, max(low * 1.1, high * day.length_s)), day.length_s - at - 0.2)
    return {"at_s": at, "for_s": round(max(0.2, lasts), 1)}


def _whom(dice: Random, day: Scenario) -> dict[str, Any]:
    """One server, a few, a share, or all of a zone or kind."""
    how = dice.choices(("one", "share", "zone", "kind"), (4, 4, 1, 1))[0]
    if how == "one":
        return {"count": dice.randint(1, max(1, min(3, sum(g.count for g in day.servers) // 2)))}
    if how == "share":
        return {"share": round(_log(dice, 0.1, 0.8), 2)}
    if how == "zone":
        zone = dice.choice(sorted({g.zone for g in day.servers if g.zone}))
        return {"zone": zone, "share": round(dice.uniform(0.3, 1), 2)}
    return {"kind": dice.choice([kind.name for kind in day.kinds]), "share": round(dice.uniform(0.3, 1), 2)}


def _chosen(make: Callable[..., Any], **extra: Callable[[Random], Any]) -> Callable[[Random, Scenario], Any]:
    """A maker of a fault of servers with parameters of its own."""

    def maker(dice: Random, day: Scenario) -> Any:
        own = {name: draw_one(dice) for name, draw_one in extra.items()}
        return make(**_when(dice, day), **_whom(dice, day), **own)

    return maker


def _lasting(make: Callable[..., Any], **extra: Callable[[Random], Any]) -> Callable[[Random, Scenario], Any]:
    def maker(dice: Random, day: Scenario) -> Any:
        return make(**_when(dice, day), **{name: draw_one(dice) for name, draw_one in extra.items()})

    return maker


def _two_zones(
    make: Callable[..., Any], **extra: Callable[[Random], Any]
) -> Callable[[Random, Scenario], Any]:
    def maker(dice: Random, day: Scenario) -> Any:
        if len(day.zones) < 2:
            return None
        zone, other = dice.sample(day.zones, 2)
        own = {name: draw_one(dice) for name, draw_one in extra.items()}
        return make(**_when(dice, day), zone=zone, other=other, **own)

    return maker


def _zone_loss(dice: Random, day: Scenario) -> Any:
    if len(day.zones) < 2:
        return None
    how: Literal["silent", "reset", "die"] = dice.choice(("silent", "reset", "die"))
    nodes, cold = dice.random() < 0.3, dice.random() < 0.6
    # With its nodes only where others are left.
    homes = {day.zones[i % len(day.zones)] for i in range(day.nodes.count)}
    zone = dice.choice(day.zones)
    return model.ZoneLoss(
        **_when(dice, day), zone=zone, how=how, nodes=nodes and bool(homes - {zone}), cold=cold
    )


def _of_nodes(make: Callable[..., Any], high: float) -> Callable[[Random, Scenario], Any]:
    def maker(dice: Random, day: Scenario) -> Any:
        return make(**_when(dice, day, 0.3, high), count=dice.randint(1, max(1, day.nodes.count - 1)))

    return maker


def _of_all_or_some(make: Callable[..., Any], **extra: Callable[[Random], Any]) -> Maker:
    """A maker of a fault of the nodes' operating systems: of all of them (0), or of some."""

    def maker(dice: Random, day: Scenario) -> Any:
        own = {name: draw_one(dice) for name, draw_one in extra.items()}
        return make(**_when(dice, day), count=dice.randint(0, day.nodes.count), **own)

    return maker


def _system_call_errors(dice: Random, day: Scenario) -> Any:
    """Rare ones, and half of all calls."""
    call = dice.choice(tuple(ERRORS_OF_CALL))
    errors = tuple(dice.sample(ERRORS_OF_CALL[call], k=dice.randint(1, 3)))
    part = round(_log(dice, 0.01, 0.5 if call in ("accept", "connect", "socket") else 0.05), 3)
    count = dice.randint(0, day.nodes.count)
    return model.SystemCallErrors(**_when(dice, day), call=call, errors=errors, part=part, count=count)


def _clock_step(dice: Random, day: Scenario) -> Any:
    """By seconds or by an hour, forward or back."""
    seconds = dice.choice((round(_log(dice, 0.5, 60), 1), 3600.0)) * dice.choice((-1, 1))
    at = _when(dice, day)["at_s"]
    return model.ClockStep(at_s=at, seconds=seconds, count=dice.randint(0, day.nodes.count))


def _reload(dice: Random, day: Scenario) -> Any:
    return model.Reload(at_s=_when(dice, day)["at_s"], count=dice.randint(0, day.nodes.count))


def _flush(dice: Random, day: Scenario) -> Any:
    return model.Flush(at_s=_when(dice, day)["at_s"], part=round(dice.uniform(0.2, 1), 2))


def _part(low: float, high: float) -> Callable[[Random], float]:
    return lambda dice: round(_log(dice, low, high), 3)


def _one_of(*values: Any) -> Callable[[Random], Any]:
    return lambda dice: dice.choice(values)


_MAKERS: tuple[Callable[[Random, Scenario], Any], ...] = (
    _chosen(model.Crash),
    _chosen(model.Silence),
    _chosen(model.Resets, part=_part(0.02, 0.6)),
    _chosen(model.QuickErrors, part=_part(0.05, 1)),
    _chosen(model.Slowness, factor=_part(2, 100)),
    _chosen(model.Spoilt, part=_part(0.01, 0.3)),
    _chosen(model.LostAnswers, part=_part(0.01, 0.3)),
    _chosen(model.Stale, after_ms=_part(100, 2000), silent=_one_of(False, False, True)),
    _chosen(model.Crowding, part=_part(0.2, 0.8)),
    _chosen(model.Drain, back=_one_of(True, False)),
    _chosen(model.Replace, same_address=_one_of(True, False)),
    _lasting(model.Churn, every_s=_part(0.5, 4), same_address=_one_of(True, False)),
    _zone_loss,
    _two_zones(model.Cut, how=_one_of("silent", "reset")),
    _two_zones(model.SlowLink, add_ms=_part(10, 400)),
    _flush,
    _lasting(model.HotKey, part=_part(0.1, 0.8)),
    _lasting(model.Burst, factor=_part(1.3, 4), ramp_s=_one_of(0.0, 0.5, 2.0)),
    _lasting(model.OriginSlow, factor=_part(1.5, 20)),
    _lasting(model.OriginDown, how=_one_of("declines", "errors", "silent", "refuses")),
    _lasting(model.DiscoveryDown, how=_one_of("refuses", "errors", "silent", "garbage")),
    _lasting(model.DiscoveryStale),
    _lasting(model.DiscoverySlow, factor=_part(3, 60)),
    _of_nodes(model.NodeKill, 0.5),
    _of_nodes(model.NodeRestart, 0.3),
    _of_nodes(model.NodePause, 0.15),
    _of_nodes(model.NodeDrain, 0.3),
    _reload,
    _lasting(model.BadClients, per_s=_part(1, 20)),
    _system_call_errors,
    _of_all_or_some(model.ShortIo, part=_part(0.02, 0.5), most_bytes=_one_of(1, 7, 64, 512)),
    _of_all_or_some(model.Stall, part=_part(0.001, 0.02), most_ms=_part(5, 150)),
    _clock_step,
)
