"""What a scenario could serve at best, reckoned as flows, and how much of that its faults take away.

Estimates of a few percent, to scale random days and to rank them; no run is judged by them.
"""

from functools import singledispatch
from typing import Any

import msgspec
import numpy as np

from flintridge.lab.scenario import model
from flintridge.lab.scenario.model import Scenario

SHARED_HIT_FRACTION = 0.8  # of one cache's hits, where keys go past full servers to others
COLD_SHARE = 0.4  # of the ramp that a cold server's missing capacity amounts to, about


def middle(span: model.Span) -> float:
    """The mean of a Span."""
    return sum(span) / len(span) if isinstance(span, tuple) else float(span)


class Flows(msgspec.Struct, kw_only=True, frozen=True):
    """Per request of the mix, and what there is of it a second."""

    hit: float  # share of reads that a cache server holds
    writes: float  # share of requests
    cache_work_ms: float  # at cache servers
    cache_ms: float  # work-milliseconds a second of all cache servers when warm
    origin_use_ms: float  # of origin slots
    origin_ms: float  # slot-milliseconds a second
    rate: float  # first tries a second

    @property
    def cache_load(self) -> float:
        return self.rate * self.cache_work_ms / self.cache_ms if self.cache_ms else float("inf")

    @property
    def origin_load(self) -> float:
        return self.rate * self.origin_use_ms / self.origin_ms

    @property
    def load(self) -> float:
        """Of whichever is the bottleneck; above 1 not all can be served."""
        return max(self.cache_load, self.origin_load)

    @property
    def bound(self) -> float:
        """The share of requests that can be served: what the caches can do, and of what has to go to the
        origin no more than it can do."""
        through = 1 / max(1.0, self.origin_load)
        elsewhere = self.writes + (1 - self.writes) * (1 - self.hit)
        return min(1 / max(1.0, self.cache_load), 1 - elsewhere * (1 - through))


def popularity(keys: model.Keys) -> "np.ndarray[Any, np.dtype[np.float64]]":
    """Shares of the requests, most popular first."""
    weights: np.ndarray[Any, np.dtype[np.float64]] = (
        np.arange(1, keys.count + 1, dtype=np.float64) + keys.offset
    ) ** -keys.zipf
    weights /= weights.sum()
    return weights


def hit_share(scenario: Scenario) -> float:
    """Of reads, about half-way through the day: keys that fit all memory and were asked for before, as far as
    their copies are not void by then (of age, or by a write or a change at the origin)."""
    keys, kinds = scenario.keys, {kind.name: kind for kind in scenario.kinds}
    memory = sum(group.count * kinds[group.kind].memory_mb for group in scenario.servers) * 1e6
    shares = popularity(keys)
    fit = int(min(keys.count, memory / max(1.0, middle(keys.size_bytes))))
    asked = scenario.load.rate_per_s * (scenario.warmup_s + scenario.length_s / 2)
    seen = 1 - np.exp(-shares * asked)
    writes = sum(c.share for c in scenario.classes if c.write) / sum(c.share for c in scenario.classes)
    # Reads a second of each key against all that voids its copy.
    reads = shares * scenario.load.rate_per_s * (1 - writes)
    voids = shares * scenario.load.rate_per_s * writes + keys.change_per_s / keys.count
    if keys.ttl_s:
        voids = voids + 1 / keys.ttl_s
    fresh = reads / (reads + voids) if writes < 1 else np.zeros(keys.count)
    return SHARED_HIT_FRACTION * float((shares * seen * fresh)[:fit].sum())


def flows(scenario: Scenario) -> Flows:
    """The mix of classes over the fleet when warm."""
    kinds = {kind.name: kind for kind in scenario.kinds}
    hit, origin = hit_share(scenario), scenario.origin
    whole = sum(c.share for c in scenario.classes)
    cache_work = origin_use = writes = 0.0
    total = sum(group.count for group in scenario.servers) or 1
    miss_work = sum(group.count * kinds[group.kind].miss_work for group in scenario.servers) / total
    for cls in scenario.classes:
        share = cls.share / whole
        if cls.write:
            writes += share
            origin_use += share * middle(origin.read_ms) * origin.write_times
        else:
            cache_work += share * middle(cls.work_ms) * (hit + (1 - hit) * miss_work)
            origin_use += share * (1 - hit) * middle(origin.read_ms)
    speeds = (g.count * kinds[g.kind].cores * middle(kinds[g.kind].speed) for g in scenario.servers)
    return Flows(
        hit=hit,
        writes=writes,
        cache_work_ms=cache_work,
        cache_ms=1000 * sum(speeds),
        origin_use_ms=origin_use,
        origin_ms=1000.0 * origin.slots,
        rate=scenario.load.rate_per_s,
    )


def severity(scenario: Scenario) -> float:
    """The share of the day's service that its faults take from a node that does everything right, from 0 to
    0.95; what several take is combined as if they struck at random."""
    left = 1.0
    for fault in scenario.faults:
        left *= 1 - min(0.95, max(0.0, _taken(fault, scenario)))
    return min(0.95, 1 - left)


@singledispatch
def _taken(fault: model.Fault, day: Scenario) -> float:
    """Of the day's service; nothing for those that a node should not feel (a reload, bad clients)."""
    return 0.0


def _during(fault: model.TimedFault, day: Scenario, *, forever: bool = False, tail_s: float = 0.0) -> float:
    """Of the day; `forever` where a length of 0 means until its end."""
    left = max(0.0, day.length_s - fault.at_s)
    lasts = left if forever and not fault.for_s else min(left, fault.for_s + tail_s)
    return lasts / day.length_s


def _struck(fault: model.ServerFault, day: Scenario) -> float:
    """The share of all servers."""
    among = sum(
        g.count
        for g in day.servers
        if fault.kind in ("", g.kind) and (fault.zone in ("", g.zone) or g.zone is None)
    )
    total = sum(g.count for g in day.servers) or 1
    chosen = len(fault.ids) or fault.count or fault.share * among
    return min(among, chosen) / total


def _cold_s(day: Scenario) -> float:
    return COLD_SHARE * max(kind.cold_s * (1 - kind.cold_from) for kind in day.kinds)


def _beyond_caches(day: Scenario) -> float:
    """The share of requests that need the origin."""
    found = flows(day)
    return found.writes + (1 - found.writes) * (1 - found.hit)


@_taken.register
def _(fault: model.ServerFault, day: Scenario) -> float:
    """Crash, Silence, Replace: the servers are away, and cold after that."""
    away = _during(fault, day, forever=not isinstance(fault, model.Replace), tail_s=_cold_s(day))
    return _struck(fault, day) * away


@_taken.register(model.Resets)
@_taken.register(model.QuickErrors)
@_taken.register(model.Spoilt)
@_taken.register(model.LostAnswers)
def _(fault: model.Resets | model.QuickErrors | model.Spoilt | model.LostAnswers, day: Scenario) -> float:
    return 0.5 * fault.part * _struck(fault, day) * _during(fault, day)


@_taken.register
def _(fault: model.Slowness, day: Scenario) -> float:
    return (1 - 1 / fault.factor) * _struck(fault, day) * _during(fault, day)


@_taken.register
def _(fault: model.Stale, day: Scenario) -> float:
    return 0.1 * _struck(fault, day) * _during(fault, day)


@_taken.register
def _(fault: model.Crowding, day: Scenario) -> float:
    return fault.part * _struck(fault, day) * _during(fault, day)


@_taken.register
def _(fault: model.Drain, day: Scenario) -> float:
    tail = _cold_s(day) if fault.back else day.length_s
    return _struck(fault, day) * _during(fault, day, tail_s=tail)


@_taken.register
def _(fault: model.Churn, day: Scenario) -> float:
    servers = sum(group.count for group in day.servers) or 1
    return min(1.0, _cold_s(day) / fault.every_s / servers) * _during(fault, day)


@_taken.register
def _(fault: model.ZoneLoss, day: Scenario) -> float:
    servers = sum(g.count for g in day.servers) or 1
    lost = sum(
        g.count if g.zone else g.count / len(day.zones) for g in day.servers if g.zone in (None, fault.zone)
    )
    zones = day.nodes.zones or day.zones
    with_nodes = zones.count(fault.zone) / len(zones) if fault.nodes else 0.0
    return max(lost / servers, with_nodes) * _during(fault, day, tail_s=_cold_s(day) if fault.cold else 0.0)


@_taken.register
def _(fault: model.Cut, day: Scenario) -> float:
    return 0.3 * _during(fault, day)


@_taken.register
def _(fault: model.SlowLink, day: Scenario) -> float:
    return 0.1 * _during(fault, day)


@_taken.register
def _(fault: model.Flush, day: Scenario) -> float:
    return fault.part * 0.3 * min(1.0, 10.0 / day.length_s)


@_taken.register
def _(fault: model.HotKey, day: Scenario) -> float:
    return 0.5 * fault.part * _during(fault, day)


@_taken.register
def _(fault: model.Burst, day: Scenario) -> float:
    return max(0.0, 1 - 1 / fault.factor if fault.factor else 0.0) * _during(fault, day)


@_taken.register
def _(fault: model.OriginSlow, day: Scenario) -> float:
    return (1 - 1 / fault.factor) * _beyond_caches(day) * _during(fault, day)


@_taken.register
def _(fault: model.OriginDown, day: Scenario) -> float:
    return _beyond_caches(day) * _during(fault, day)


@_taken.register(model.DiscoveryDown)
@_taken.register(model.DiscoveryStale)
@_taken.register(model.DiscoverySlow)
def _(fault: model.TimedFault, day: Scenario) -> float:
    return 0.05 * _during(fault, day)


@_taken.register
def _(fault: model.NodeKill, day: Scenario) -> float:
    """Until clients go elsewhere, if there is anywhere to go."""
    part = min(1.0, (len(fault.nodes) or fault.count) / day.nodes.count)
    if part == 1:
        return _during(fault, day, forever=True)
    return part * min(_during(fault, day, forever=True), 2 * middle(day.clients.notice_s) / day.length_s)


@_taken.register
def _(fault: model.NodePause, day: Scenario) -> float:
    return min(1.0, (len(fault.nodes) or fault.count) / day.nodes.count) * _during(fault, day)


@_taken.register
def _(fault: model.NodeRestart, day: Scenario) -> float:
    return 0.02
